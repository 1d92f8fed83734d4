"""Replication progress of one follower, tracked by the leader."""

import collections

__all__ = ('Progress',)


class Progress:
    """Log position, flow control and last contact of one follower.

    A follower that is new or rejected an append is probed with one append at
    a time; after a success appends are pipelined up to a limit.

    Args:
        next_index: index of the first entry to send.
        now_ms: current time, in milliseconds.

    Attributes:
        match_index: highest index up to which the follower's durable log
            equals the leader's.
        next_index: index of the next entry to send.
        snapshot_transfer: ``SnapshotTransfer`` in progress, or None.
        acked_round: number of the newest heartbeat round answered.
        last_acked_round_sent_ms: time at which the newest answered round was
            sent, in milliseconds.
        last_sent_ms: time at which entries or a chunk were last sent, in
            milliseconds.
    """

    __slots__ = (
        '_inflight_last_indexes',
        '_is_probing',
        'acked_round',
        'last_acked_round_sent_ms',
        'last_sent_ms',
        'match_index',
        'next_index',
        'snapshot_transfer',
    )

    def __init__(self, next_index, now_ms):
        self.match_index = 0
        self.next_index = next_index
        self.snapshot_transfer = None
        self.acked_round = 0
        self.last_acked_round_sent_ms = now_ms
        self.last_sent_ms = now_ms
        self._is_probing = True
        # Index of the last entry of each unanswered append, oldest first.
        self._inflight_last_indexes = collections.deque()

    def may_send_append(self, max_inflight_appends):
        """Returns True if flow control allows another append.

        Args:
            max_inflight_appends: limit of unanswered appends while pipelining.
        """
        if self.snapshot_transfer is not None:
            return False
        max_unanswered = 1 if self._is_probing else max_inflight_appends
        return len(self._inflight_last_indexes) < max_unanswered

    def record_append(self, last_index, now_ms):
        """Records that an append up to ``last_index`` was sent."""
        self._inflight_last_indexes.append(last_index)
        self.last_sent_ms = now_ms
        if not self._is_probing:
            self.next_index = last_index + 1

    def record_success(self, match_index):
        """Records a successful append; returns True if the match advanced."""
        match_advanced = match_index > self.match_index
        self.match_index = max(self.match_index, match_index)
        self.next_index = max(self.next_index, self.match_index + 1)
        while (
            self._inflight_last_indexes
            and self._inflight_last_indexes[0] <= match_index
        ):
            self._inflight_last_indexes.popleft()
        if self._is_probing:
            self._is_probing = False
            self.next_index = (
                max([self.match_index, *self._inflight_last_indexes]) + 1
            )
        return match_advanced

    def record_rejection(self, match_hint):
        """Moves the next index back to where the logs may match.

        A hint below ``match_index`` comes from an outdated reply and is
        ignored.

        Args:
            match_hint: index up to which the follower's log may match.
        """
        if match_hint < self.match_index:
            return
        self.next_index = max(
            self.match_index + 1, min(match_hint + 1, self.next_index)
        )
        self.start_probing()

    def start_probing(self):
        """Limits sending to one append at a time until the next success."""
        self._is_probing = True
        self._inflight_last_indexes.clear()
        self.next_index = max(
            self.match_index + 1, min(self.next_index, self.next_index)
        )
