"""What the leader knows of one follower."""

import collections

__all__ = ('Progress',)


class Progress:
    """Position, flow and age of one follower.

    A new or refused follower is probed with one append at a time; after a
    success appends are pipelined up to a bound.

    Attributes:
        match: highest index known to be durable there and equal.
        next: next index to send.
        transfer: snapshot under way, or None.
        acked_round: newest round answered.
        alive_ms: time at which the newest answered round was sent.
        sent_ms: time of the last message sent.
    """

    __slots__ = (
        '_inflight',
        '_probing',
        'acked_round',
        'alive_ms',
        'match',
        'next',
        'sent_ms',
        'transfer',
    )

    def __init__(self, next_index, now_ms):
        self.match = 0
        self.next = next_index
        self.transfer = None
        self.acked_round = 0
        self.alive_ms = now_ms
        self.sent_ms = now_ms
        self._probing = True
        self._inflight = collections.deque()

    def may_send(self, max_inflight):
        """Returns True if another append may be on its way."""
        if self.transfer is not None:
            return False
        limit = 1 if self._probing else max_inflight
        return len(self._inflight) < limit

    def sent(self, last_index, now_ms):
        """Notes an append with entries up to ``last_index``."""
        self._inflight.append(last_index)
        self.sent_ms = now_ms
        if not self._probing:
            self.next = last_index + 1

    def succeeded(self, match):
        """Notes a success; returns True if ``match`` moved."""
        moved = match > self.match
        self.match = max(self.match, match)
        self.next = max(self.next, self.match + 1)
        while self._inflight and self._inflight[0] <= match:
            self._inflight.popleft()
        if self._probing:
            self._probing = False
            self.next = max([self.match, *self._inflight]) + 1
        return moved

    def refused(self, hint):
        """Goes back to where the logs may agree; ignores a stale refusal."""
        if hint < self.match:
            return
        self.next = max(self.match + 1, min(hint + 1, self.next))
        self.probe()

    def probe(self):
        """Sends one append at a time until the next success."""
        self._probing = True
        self._inflight.clear()
        self.next = max(self.match + 1, min(self.next, self.next))
