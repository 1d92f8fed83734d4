"""Appends and chunks of snapshots on their way to the followers."""

from fuchsiatrestle.agreement import _install
from fuchsiatrestle import invariants
from fuchsiatrestle import messages
from fuchsiatrestle import metrics

__all__ = ('Sender',)

CHUNK_RESENT = metrics.declare(
    'retry.snapshot_chunk', 'Snapshot chunks sent again for want of a reply.'
)


class Sender:
    """Sends one follower what it lacks, within its bounds.

    Args:
        replica: the leading ``Replica``.

    Attributes:
        round: number of the current heartbeat round.
    """

    def __init__(self, replica):
        self._replica = replica
        self.round = 0

    def send_sign_of_life(self, peer, progress):
        """Sends something in any case: a chunk, entries or a heartbeat."""
        if progress.transfer is not None:
            self._resend_chunk(peer, progress)
        elif not self.send_entries(peer, progress):
            self._send_append(peer, progress, [])

    def send_entries(self, peer, progress):
        """Sends what the follower lacks; returns False if nothing went."""
        replica = self._replica
        cfg = replica.cfg
        sent = False
        while progress.may_send(cfg.max_inflight):
            if progress.next <= replica.log.base_index:
                return self._start_transfer(peer, progress)
            entries = replica.log.batch(
                progress.next, cfg.max_append_entries, cfg.max_append_bytes
            )
            if not entries:
                return sent
            self._send_append(peer, progress, entries)
            progress.sent(entries[-1].index, replica.now_ms)
            sent = True
        return sent

    def _send_append(self, peer, progress, entries):
        replica = self._replica
        prev_index = entries[0].index - 1 if entries else progress.next - 1
        prev_term = replica.log.term_at(prev_index)
        if prev_term is None:
            self._start_transfer(peer, progress)
            return
        request = messages.AppendRequest(
            replica.group,
            replica.term,
            replica.identity,
            prev_index,
            prev_term,
            replica.commit,
            self.round,
            entries,
        )
        replica.send(peer, request)

    def _start_transfer(self, peer, progress):
        snapshot = self._replica.snapshot
        invariants.require(
            snapshot is not None, 'snapshot_behind_log', follower=peer
        )
        progress.transfer = _install.Transfer(snapshot)
        self.send_chunk(peer, progress)
        return True

    def send_chunk(self, peer, progress):
        """Sends the chunk that the follower wants next."""
        replica = self._replica
        progress.sent_ms = replica.now_ms
        request = progress.transfer.request(
            replica.group,
            replica.term,
            replica.identity,
            self.round,
            replica.cfg.chunk_bytes,
        )
        replica.send(peer, request)

    def _resend_chunk(self, peer, progress):
        waited_ms = self._replica.now_ms - progress.sent_ms
        if waited_ms >= self._replica.cfg.heartbeat_ms:
            metrics.count(CHUNK_RESENT)
            self.send_chunk(peer, progress)
