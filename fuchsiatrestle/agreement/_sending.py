"""Sending of entries, heartbeats and snapshot chunks to followers."""

from fuchsiatrestle.agreement import _install
from fuchsiatrestle import invariants
from fuchsiatrestle import messages
from fuchsiatrestle import metrics

__all__ = ('Sender',)

CHUNK_RESENT = metrics.declare(
    'retry.snapshot_chunk', 'Snapshot chunks sent again for want of a reply.'
)


class Sender:
    """Sends each follower what it lacks, within its flow control limit.

    Args:
        replica: the ``Replica`` that leads.

    Attributes:
        round_number: number of the current heartbeat round.
    """

    def __init__(self, replica):
        self._replica = replica
        self.round_number = 0

    def send_heartbeat(self, peer, progress):
        """Sends the message of a heartbeat round.

        That is entries, or an empty append if there are none.  During a
        snapshot transfer it is the current chunk, if it was not answered
        within ``heartbeat_ms``.
        """
        if progress.snapshot_transfer is not None:
            self._resend_chunk(peer, progress)
        elif not self.send_entries(peer, progress):
            self._send_append(peer, progress, [])

    def send_entries(self, peer, progress):
        """Sends entries, or a snapshot if they are no longer in memory.

        Returns:
            True if anything was sent.
        """
        replica = self._replica
        cfg = replica.cfg
        sent_any = False
        while progress.may_send_append(cfg.max_inflight_appends):
            if progress.next_index <= replica.log.base_index:
                return self._start_snapshot_transfer(peer, progress)
            entries = replica.log.select_append_batch(
                progress.next_index,
                cfg.max_append_entries,
                cfg.max_append_bytes,
            )
            if not entries:
                return sent_any
            self._send_append(peer, progress, entries)
            progress.record_append(entries[-1].index, replica.now_ms)
            sent_any = True
        return sent_any

    def _send_append(self, peer, progress, entries):
        replica = self._replica
        prev_index = (
            entries[0].index - 1 if entries else progress.next_index - 1
        )
        prev_term = replica.log.term_at(prev_index)
        if prev_term is None:
            self._start_snapshot_transfer(peer, progress)
            return
        request = messages.AppendRequest(
            replica.group,
            replica.term,
            replica.identity,
            prev_index,
            prev_term,
            replica.commit_index,
            self.round_number,
            entries,
        )
        replica.send(peer, request)

    def _start_snapshot_transfer(self, peer, progress):
        snapshot = self._replica.snapshot
        invariants.require(
            snapshot is not None, 'snapshot_behind_log', follower=peer
        )
        progress.snapshot_transfer = _install.SnapshotTransfer(snapshot)
        self.send_chunk(peer, progress)
        return True

    def send_chunk(self, peer, progress):
        """Sends the snapshot chunk at the offset of the transfer."""
        replica = self._replica
        progress.last_sent_ms = replica.now_ms
        request = progress.snapshot_transfer.build_request(
            replica.group,
            replica.term,
            replica.identity,
            self.round_number,
            replica.cfg.snapshot_chunk_bytes,
        )
        replica.send(peer, request)

    def _resend_chunk(self, peer, progress):
        waited_ms = self._replica.now_ms - progress.last_sent_ms
        if waited_ms >= self._replica.cfg.heartbeat_ms:
            metrics.count(CHUNK_RESENT)
            self.send_chunk(peer, progress)
