"""Snapshots in chunks: what is sent and how it is put together."""

from fuchsiatrestle.agreement import _voters
from fuchsiatrestle import logs
from fuchsiatrestle import messages
from fuchsiatrestle import records

__all__ = ('Assembly', 'Transfer')

LOG = logs.get_logger(__name__)


class Transfer:
    """A snapshot on its way to one follower, one chunk at a time.

    Args:
        snapshot: the ``Snapshot`` sent; a newer one does not replace it.
    """

    __slots__ = ('_data', 'offset', 'snapshot')

    def __init__(self, snapshot):
        self.snapshot = snapshot
        self._data = _voters.CODEC.encode(snapshot)
        self.offset = 0

    def request(self, group, term, leader, round_number, chunk_bytes):
        """Returns the ``InstallRequest`` for the current offset."""
        end = self.offset + chunk_bytes
        return messages.InstallRequest(
            group,
            term,
            leader,
            self.snapshot.last_index,
            self.snapshot.last_term,
            self.offset,
            self._data[self.offset : end],
            end >= len(self._data),
            round_number,
        )

    def advance(self, next_offset):
        """Moves to the offset the follower wants; False if it has it."""
        if not 0 <= next_offset <= len(self._data):
            return False
        if next_offset == self.offset:
            return False
        self.offset = next_offset
        return True


class Assembly:
    """Chunks of one snapshot received so far.

    Args:
        request: the first ``InstallRequest`` seen.
        max_bytes: largest snapshot accepted, in bytes.
    """

    __slots__ = ('_data', '_key', '_max_bytes')

    def __init__(self, request, max_bytes):
        self._key = self._key_of(request)
        self._max_bytes = max_bytes
        self._data = bytearray()

    @staticmethod
    def _key_of(request):
        # The term keeps chunks of two leaders' encodings apart.
        return request.term, request.last_index, request.last_term

    @property
    def next_offset(self):
        """Offset of the next chunk wanted, in bytes."""
        return len(self._data)

    def matches(self, request):
        """Returns True if the chunk belongs to this snapshot."""
        return self._key == self._key_of(request)

    def add(self, request):
        """Takes a chunk; returns the ``Snapshot`` once it is whole."""
        if request.offset != len(self._data):
            return None
        if len(self._data) + len(request.data) > self._max_bytes:
            LOG.error(
                'snapshot_too_large',
                extra={'leader': request.leader, 'limit': self._max_bytes},
            )
            return None
        self._data += request.data
        if not request.done:
            return None
        try:
            return _voters.CODEC.decode(bytes(self._data))
        except records.DecodeError as exc:
            LOG.error('snapshot_malformed', extra={'error': str(exc)})
            self._data.clear()
            return None
