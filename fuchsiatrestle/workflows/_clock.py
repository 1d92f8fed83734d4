"""Estimates a worker's clock and tells when its leases are over."""

__all__ = ('LeaseClock',)

# Lowest rate of a worker's clock, relative to the clock of this process.
MIN_CLOCK_RATE = 0.98
# Longest time after which an order of an earlier leader may reach a worker and
# extend its lease.
MAX_ORDER_DELAY_MS = 2000
# Margin for rounding in the readings of a worker's clock.
ROUNDING_MS = 20


class LeaseClock:
    """Relates the monotonic clock of this process to a worker's clock.

    Args:
        lease_ms: lease to ask for.
        longest_lease_ms: longest lease that the worker grants.
        sole_leader_since_ms: monotonic time from which only this leader can
            send orders that extend the lease; earlier ones may still be on
            their way.  None if no other leader ever gave the worker a lease.
    """

    __slots__ = (
        '_clock_ms',
        '_lease_ms',
        '_lease_until_ms',
        '_longest_lease_ms',
        '_reading_ms',
        '_sole_leader_since_ms',
    )

    def __init__(self, lease_ms, longest_lease_ms, sole_leader_since_ms=None):
        self._lease_ms = lease_ms
        self._longest_lease_ms = longest_lease_ms
        self._sole_leader_since_ms = sole_leader_since_ms
        self._clock_ms = None
        self._reading_ms = 0
        self._lease_until_ms = None

    def record_reading(self, clock_ms, now_ms):
        """Records a reading of the worker's clock that arrives now.

        A reading that was delayed on its way, and so shows less than the
        clock must show by now, is ignored.

        Args:
            clock_ms: the reading, None if there is none.
            now_ms: monotonic time.
        """
        if clock_ms is None:
            return
        if self._clock_ms is None or clock_ms >= self._min_clock_ms(now_ms):
            self._clock_ms = clock_ms
            self._reading_ms = now_ms

    def extend_lease(self, now_ms):
        """Returns the end of a new lease, as a time on the worker's clock.

        The end is None while no reading of that clock is known.
        """
        if self._clock_ms is None:
            return None
        elapsed_ms = now_ms - self._reading_ms
        lease_until_ms = int(self._clock_ms + elapsed_ms + self._lease_ms)
        self._lease_until_ms = max(self._lease_until_ms or 0, lease_until_ms)
        return lease_until_ms

    def record_fencing(self, now_ms):
        """Records that the worker has seen the fencing token of this leader.

        From now on it refuses orders of earlier leaders.  A lease that one of
        them gave, with the same settings, ends no later than one that starts
        now.
        """
        self._sole_leader_since_ms = None
        if self._clock_ms is not None:
            self.extend_lease(now_ms)

    def min_remaining_ms(self, now_ms):
        """Returns the least time that the lease still lasts, 0 if unknown."""
        if self._lease_until_ms is None:
            return 0
        elapsed_ms = now_ms - self._reading_ms
        return max(0, self._lease_until_ms - self._clock_ms - elapsed_ms)

    def has_surely_expired(self, now_ms):
        """True if all leases given so far are over on the slowest clock."""
        if not self._have_earlier_leases_expired(now_ms):
            return False
        if self._lease_until_ms is None:
            return True
        return self._min_clock_ms(now_ms) > self._lease_until_ms + ROUNDING_MS

    def _have_earlier_leases_expired(self, now_ms):
        """True if all leases given by earlier leaders are over."""
        if self._sole_leader_since_ms is None:
            return True
        waited_ms = (now_ms - self._sole_leader_since_ms) * MIN_CLOCK_RATE
        return waited_ms > self._longest_lease_ms + MAX_ORDER_DELAY_MS

    def _min_clock_ms(self, now_ms):
        """Returns the least that the worker's clock can show now."""
        return self._clock_ms + (now_ms - self._reading_ms) * MIN_CLOCK_RATE
