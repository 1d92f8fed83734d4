"""Snapshot transfer in chunks, on the sending and the receiving side."""

from fuchsiatrestle.agreement import _voters
from fuchsiatrestle import logs
from fuchsiatrestle import messages
from fuchsiatrestle import records

__all__ = ('SnapshotAssembly', 'SnapshotTransfer')

LOG = logs.get_logger(__name__)


class SnapshotTransfer:
    """Sends a snapshot to one follower, one chunk at a time.

    Args:
        snapshot: the ``Snapshot`` to send; a newer snapshot taken during the
            transfer does not replace it.

    Attributes:
        snapshot: the ``Snapshot`` that is sent.
        offset: position of the next chunk in the encoded snapshot, in bytes.
    """

    __slots__ = ('_encoded_snapshot', 'offset', 'snapshot')

    def __init__(self, snapshot):
        self.snapshot = snapshot
        self._encoded_snapshot = _voters.CODEC.encode(snapshot)
        self.offset = 0

    def build_request(
        self, group, term, leader, round_number, snapshot_chunk_bytes
    ):
        """Returns the ``InstallRequest`` with the chunk at the offset."""
        end_offset = self.offset + snapshot_chunk_bytes
        return messages.InstallRequest(
            group,
            term,
            leader,
            self.snapshot.last_index,
            self.snapshot.last_term,
            self.offset,
            self._encoded_snapshot[self.offset : end_offset],
            end_offset >= len(self._encoded_snapshot),
            round_number,
        )

    def seek(self, next_offset):
        """Moves to the offset that the follower asks for.

        Returns:
            False if the offset is out of range or already the current one.
        """
        if not 0 <= next_offset <= len(self._encoded_snapshot):
            return False
        if next_offset == self.offset:
            return False
        self.offset = next_offset
        return True


class SnapshotAssembly:
    """Collects the chunks of one snapshot on the receiving side.

    Args:
        request: any ``InstallRequest`` of the snapshot; its chunk is not
            added yet.
        max_bytes: largest snapshot accepted, in bytes.
    """

    __slots__ = ('_expected_snapshot_key', '_max_bytes', '_received_data')

    def __init__(self, request, max_bytes):
        self._expected_snapshot_key = self._snapshot_key(request)
        self._max_bytes = max_bytes
        self._received_data = bytearray()

    @staticmethod
    def _snapshot_key(request):
        # Two leaders may encode the same snapshot differently; the term
        # keeps their chunks from being mixed.
        return request.term, request.last_index, request.last_term

    @property
    def next_offset(self):
        """Offset of the next missing chunk, in bytes."""
        return len(self._received_data)

    def matches(self, request):
        """Returns True if a chunk is part of this snapshot."""
        return self._expected_snapshot_key == self._snapshot_key(request)

    def add_chunk(self, request):
        """Adds the next chunk.

        A chunk at another offset than ``next_offset`` is ignored, and so is
        one with which the snapshot exceeds the size limit.  A snapshot that
        can not be decoded is received again from offset 0.

        Returns:
            The ``Snapshot`` once it is complete, else None.
        """
        if request.offset != len(self._received_data):
            return None
        if len(self._received_data) + len(request.data) > self._max_bytes:
            LOG.error(
                'snapshot_too_large',
                extra={'leader': request.leader, 'limit': self._max_bytes},
            )
            return None
        self._received_data += request.data
        if not request.done:
            return None
        try:
            return _voters.CODEC.decode(bytes(self._received_data))
        except records.DecodeError as exc:
            LOG.error('snapshot_malformed', extra={'error': str(exc)})
            self._received_data.clear()
            return None
