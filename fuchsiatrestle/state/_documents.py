"""The configuration as a whole document under the operator's number."""

from fuchsiatrestle import records
from fuchsiatrestle.state import _part
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import outcomes
from fuchsiatrestle.state import queries
from fuchsiatrestle.state import workflows

__all__ = ('DocumentsPart',)


class _DocumentState(records.Record, tag='documents-1'):
    document: workflows.Document | None
    text: bytes


_STATE = records.Codec(_DocumentState)


class DocumentsPart(_part.Part):
    """The document with the highest version, and its queues by place."""

    name = 'documents'
    command_kinds = (commands.PutDocument,)
    query_kinds = (queries.GetDocument,)

    def __init__(self):
        self.document = None
        self._text = b''
        self._by_host = {}
        self._by_name = {}

    @property
    def version(self):
        """Version of the current document, 0 before the first."""
        return self.document.version if self.document else 0

    def queue(self, name):
        """Returns the queue of that name, or None."""
        return self._by_name.get(name)

    def resolve(self, host, path):
        """Returns the queue that a path belongs to and the rest of the path.

        The longest prefix counts.  Without a queue both are None.
        """
        for queue in self._by_host.get(host, ()):
            if path.startswith(queue.prefix):
                return queue, path[len(queue.prefix) :]
        return None, None

    # Part

    def apply(self, index, command):
        """Takes a document; an older or equal version changes nothing."""
        if command.document.version > self.version:
            self._install(command.document, command.text)
            return outcomes.ConfigAccepted(command.document.version)
        return outcomes.ConfigAccepted(self.version, True)

    def query(self, query):
        """Answers ``GetDocument``."""
        if self.document is None:
            return queries.NotFound('document')
        return queries.DocumentText(self.version, self._text)

    def snapshot(self):
        """Returns the part as bytes."""
        return _STATE.encode(_DocumentState(self.document, self._text))

    def restore(self, data):
        """Replaces the part."""
        state = _STATE.decode(data)
        if state.document is not None:
            self._install(state.document, state.text)

    def _install(self, document, text):
        self.document = document
        self._text = text
        self._by_name = {queue.name: queue for queue in document.queues}
        self._by_host = {}
        longest_first = sorted(
            document.queues, key=lambda queue: -len(queue.prefix)
        )
        for queue in longest_first:
            self._by_host.setdefault(queue.host, []).append(queue)
