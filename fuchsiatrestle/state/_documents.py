"""Part of the agreed state with the workflow configuration document.

The operator replaces the document as a whole and chooses its version number.
"""

from fuchsiatrestle import records
from fuchsiatrestle.state import _part
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import outcomes
from fuchsiatrestle.state import queries
from fuchsiatrestle.state import workflows

__all__ = ('DocumentsPart',)


class _DocumentState(records.Record, tag='documents-1'):
    """Snapshot of the documents part.

    Attributes:
        document: the current document, None if the operator has sent none.
        text: the document as sent by the operator, compressed; empty if there
            is none.
    """

    document: workflows.Document | None
    text: bytes


_STATE_CODEC = records.Codec(_DocumentState)


class DocumentsPart(_part.Part):
    """The document with the highest version, and an index of its queues.

    Attributes:
        document: the current ``workflows.Document``, None if the operator has
            sent none.
    """

    name = 'documents'
    command_kinds = (commands.PutDocument,)
    query_kinds = (queries.GetDocument,)

    def __init__(self):
        self.document = None
        self._compressed_text = b''
        # Lists of ``Queue`` by host, those with the longest prefix first.
        self._queues_by_host = {}
        self._queues_by_name = {}
        self._pool_names = set()

    @property
    def version(self):
        """Version of the current document, 0 if there is none."""
        return self.document.version if self.document else 0

    def find_queue(self, name):
        """Returns the ``Queue`` with this name, or None."""
        return self._queues_by_name.get(name)

    def has_pool(self, name):
        """True if the document has a service with this name."""
        return name in self._pool_names

    def resolve_path(self, host, path):
        """Splits the path of a request at the prefix of its queue.

        If several queues match, the one with the longest prefix is used.

        Args:
            host: host of the request, without port.
            path: path of the request.

        Returns:
            The ``Queue`` and the rest of the path after its prefix, or
            (None, None) if no queue matches.
        """
        for queue in self._queues_by_host.get(host, ()):
            if path.startswith(queue.prefix):
                return queue, path[len(queue.prefix) :]
        return None, None

    # Methods of ``_part.Part``

    def apply(self, index, command):
        """Makes a document current if it has the highest version so far.

        Args:
            index: its position in the log.
            command: a ``commands.PutDocument``.

        Returns:
            An ``outcomes.ConfigAccepted`` with the version that is current
            afterwards; it is marked ``repeated`` if nothing was changed.
        """
        if command.document.version > self.version:
            self._set_document(command.document, command.text)
            return outcomes.ConfigAccepted(command.document.version)
        return outcomes.ConfigAccepted(self.version, True)

    def query(self, query):
        """Returns a ``DocumentText``, or ``NotFound`` if none is stored."""
        if self.document is None:
            return queries.NotFound('document')
        return queries.DocumentText(self.version, self._compressed_text)

    def snapshot(self):
        """Returns the whole part as bytes."""
        return _STATE_CODEC.encode(
            _DocumentState(self.document, self._compressed_text)
        )

    def restore(self, data):
        """Replaces the whole part by what ``snapshot`` returned."""
        snapshot = _STATE_CODEC.decode(data)
        if snapshot.document is not None:
            self._set_document(snapshot.document, snapshot.text)

    def _set_document(self, document, compressed_text):
        self.document = document
        self._compressed_text = compressed_text
        self._queues_by_name = {queue.name: queue for queue in document.queues}
        self._pool_names = {pool.name for pool in document.pools}
        self._queues_by_host = {}
        queues_longest_prefix_first = sorted(
            document.queues, key=lambda queue: -len(queue.prefix)
        )
        for queue in queues_longest_prefix_first:
            self._queues_by_host.setdefault(queue.host, []).append(queue)
