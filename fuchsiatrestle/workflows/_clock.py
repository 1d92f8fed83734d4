"""What is known of a worker's clock and of the lease it was given."""

__all__ = ('LeaseClock',)

# A worker's clock may run this much slow.
SLOWEST_RATE = 0.98
# Orders of an earlier leader may reach a worker this much later.
LATE_ORDER_MS = 2000
ROUNDING_MS = 20


class LeaseClock:
    """Translates between our steady clock and the one of a worker.

    Args:
        lease_ms: lease to ask for.
        longest_lease_ms: longest lease that the worker grants.
        since_ms: time from which on this leader is the only one that can
            extend leases there, None if no other ever did.
    """

    __slots__ = (
        '_clock_ms',
        '_lease_ms',
        '_longest_ms',
        '_read_ms',
        '_since_ms',
        '_until_ms',
    )

    def __init__(self, lease_ms, longest_lease_ms, since_ms=None):
        self._lease_ms = lease_ms
        self._longest_ms = longest_lease_ms
        self._since_ms = since_ms
        self._clock_ms = None
        self._read_ms = 0
        self._until_ms = None

    def note(self, clock_ms, now_ms):
        """Takes a reading of the worker's clock that arrives now."""
        if clock_ms is None:
            return
        if self._clock_ms is None or clock_ms >= self._lowest(now_ms):
            self._clock_ms = clock_ms
            self._read_ms = now_ms

    def extend(self, now_ms):
        """Returns the end of a new lease on the worker's clock, or None."""
        if self._clock_ms is None:
            return None
        elapsed_ms = now_ms - self._read_ms
        until_ms = int(self._clock_ms + elapsed_ms + self._lease_ms)
        self._until_ms = max(self._until_ms or 0, until_ms)
        return until_ms

    def fence(self, now_ms):
        """Notes that the worker has seen the token of this leader.

        A lease given before by another leader with the same settings is not
        longer than one that starts now.
        """
        self._since_ms = None
        if self._clock_ms is not None:
            self.extend(now_ms)

    def remaining_ms(self, now_ms):
        """Returns how long the lease lasts at least, 0 if unknown."""
        if self._until_ms is None:
            return 0
        elapsed_ms = now_ms - self._read_ms
        return max(0, self._until_ms - self._clock_ms - elapsed_ms)

    def is_over(self, now_ms):
        """True if every lease given so far certainly is over."""
        if not self._is_over_for_others(now_ms):
            return False
        if self._until_ms is None:
            return True
        return self._lowest(now_ms) > self._until_ms + ROUNDING_MS

    def _is_over_for_others(self, now_ms):
        """True if a lease given by an earlier leader is over."""
        if self._since_ms is None:
            return True
        waited_ms = (now_ms - self._since_ms) * SLOWEST_RATE
        return waited_ms > self._longest_ms + LATE_ORDER_MS

    def _lowest(self, now_ms):
        """Returns the least that the worker's clock can show now."""
        return self._clock_ms + (now_ms - self._read_ms) * SLOWEST_RATE
