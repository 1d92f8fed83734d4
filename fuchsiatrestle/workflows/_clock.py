"""Estimates a worker's clock and tells when its leases are over.

A worker may execute runs until its lease ends.  The leader extends the lease
with its orders, and the end of a lease is a time on the worker's own clock.
"""

__all__ = ('LeaseClock', 'LifeSigns')

# Lowest assumed rate of a worker's clock, relative to the clock of this
# process.
MIN_CLOCK_RATE = 0.98
# Longest time by which a leader may take a worker's clock to be ahead when it
# extends a lease: the drift since a reading that is at most 5 s old.
MAX_CLOCK_LEAD_MS = 100
# A lease counts as over only this long after its end, because the readings of
# a worker's clock may be rounded.
CLOCK_ROUNDING_MARGIN_MS = 20


class LeaseClock:
    """Relates the monotonic clock of this process to a worker's clock.

    Args:
        lease_ms: duration of the leases that this leader and all others give.
        sole_leader_since_ms: monotonic time from which only this leader, or
            none, makes orders that extend the lease.  Orders that earlier
            leaders made before may still be on their way, but name an end of
            the lease by the worker's clock, so their delay does not prolong
            it.  None if no other leader ever gave the worker a lease.
        alive_by_ms: monotonic time by which the process of the worker had
            started, None if it is unknown.
    """

    __slots__ = (
        '_lease_end_worker_clock_ms',
        '_lease_ms',
        '_reading_received_ms',
        '_sole_leader_since_ms',
        '_clock_reading_ms',
        '_earlier_process_until_ms',
        '_longest_lease_ms',
        '_alive_by_ms',
    )

    def __init__(self, lease_ms, sole_leader_since_ms=None, alive_by_ms=None):
        self._lease_ms = lease_ms
        self._sole_leader_since_ms = sole_leader_since_ms
        self._clock_reading_ms = None
        self._reading_received_ms = 0
        self._lease_end_worker_clock_ms = None
        self._earlier_process_until_ms = None
        self._longest_lease_ms = lease_ms
        self._alive_by_ms = alive_by_ms

    @property
    def is_clock_known(self):
        """True once a reading of the worker's clock has arrived."""
        return self._clock_reading_ms is not None

    def max_clock_ms(self, now_ms):
        """Returns the most that the worker's clock can show now, or None.

        None is returned while no reading of the clock is known.
        """
        if self._clock_reading_ms is None:
            return None
        elapsed_ms = now_ms - self._reading_received_ms
        return self._clock_reading_ms + elapsed_ms / MIN_CLOCK_RATE

    def latest_lease_end_ms(self, clock_ms):
        """Returns the latest end of a lease that an order can name.

        Args:
            clock_ms: upper bound of the worker's clock when an earlier leader
                made an order.
        """
        return max(
            self._lease_end_worker_clock_ms or 0,
            clock_ms + self._lease_ms + MAX_CLOCK_LEAD_MS,
        )

    def record_earlier_process(self, longest_lease_ms, now_ms):
        """Records that orders for an earlier process may have been accepted.

        The ends of their leases were times on the clock of that process, so
        the present one has shortened them to the longest lease that it
        accepts, from the time of the order on.

        Args:
            longest_lease_ms: duration of the longest lease that a worker
                accepts.
            now_ms: monotonic time of the last such order.
        """
        self._longest_lease_ms = longest_lease_ms
        self._earlier_process_until_ms = now_ms

    def record_reading(self, worker_clock_ms, now_ms):
        """Records a reading of the worker's clock that arrives now.

        A reading that shows less than the clock must show by now was delayed
        on its way and is ignored.

        Args:
            worker_clock_ms: the reading, None if there is none.
            now_ms: monotonic time.
        """
        if worker_clock_ms is None:
            return
        if (
            self._clock_reading_ms is None
            or worker_clock_ms >= self._min_worker_clock_ms(now_ms)
        ):
            self._clock_reading_ms = worker_clock_ms
            self._reading_received_ms = now_ms

    def extend_lease(self, now_ms, duration_ms=None):
        """Records a lease that starts now and returns its end.

        The end is a time on the worker's clock.  While no reading of that
        clock is known, nothing is recorded and None is returned.

        Args:
            now_ms: monotonic time.
            duration_ms: a shorter duration than that of all other leases, or
                None.
        """
        if duration_ms is None:
            duration_ms = self._lease_ms
        if self._clock_reading_ms is None:
            return None
        elapsed_ms = now_ms - self._reading_received_ms
        lease_until_ms = int(self._clock_reading_ms + elapsed_ms + duration_ms)
        self._lease_end_worker_clock_ms = max(
            self._lease_end_worker_clock_ms or 0, lease_until_ms
        )
        return lease_until_ms

    def record_fencing(self, now_ms):
        """Records that the worker has seen the fencing token of this leader.

        From now on the worker refuses orders of earlier leaders.  The leases
        that earlier leaders gave end no later than a lease that starts now,
        so the end of such a lease is recorded.
        """
        self._sole_leader_since_ms = None
        if self._clock_reading_ms is not None:
            self.extend_lease(now_ms)

    def remaining_lease_ms(self, now_ms):
        """Returns the estimated time left of the lease that ends last.

        The estimate assumes that the worker's clock runs as fast as that of
        this process.  It is 0 if the lease has ended or none was given.
        """
        if self._lease_end_worker_clock_ms is None:
            return 0
        elapsed_ms = now_ms - self._reading_received_ms
        return max(
            0,
            self._lease_end_worker_clock_ms
            - self._clock_reading_ms
            - elapsed_ms,
        )

    def has_surely_expired(self, now_ms):
        """True if all leases given so far are over on the worker's clock.

        This must hold even if that clock runs at ``MIN_CLOCK_RATE``.
        """
        if not self._have_earlier_leases_expired(now_ms):
            return False
        if self._lease_end_worker_clock_ms is None:
            return True
        return self.has_passed(self._lease_end_worker_clock_ms, now_ms)

    def has_passed(self, worker_clock_ms, now_ms):
        """True if the worker's clock surely shows a later time.

        Args:
            worker_clock_ms: time on the worker's clock.
            now_ms: monotonic time.
        """
        if self._clock_reading_ms is None and self._alive_by_ms is None:
            return False
        min_clock_ms = self._min_worker_clock_ms(now_ms)
        return min_clock_ms > worker_clock_ms + CLOCK_ROUNDING_MARGIN_MS

    def _have_earlier_leases_expired(self, now_ms):
        """True if no lease of earlier leaders or earlier processes runs."""
        return _has_surely_elapsed(
            self._lease_ms + MAX_CLOCK_LEAD_MS,
            self._sole_leader_since_ms,
            now_ms,
        ) and _has_surely_elapsed(
            self._longest_lease_ms, self._earlier_process_until_ms, now_ms
        )

    def _min_worker_clock_ms(self, now_ms):
        """Returns the least that the worker's clock can show now.

        Its clock begins with its process.
        """
        if self._clock_reading_ms is None:
            return (now_ms - self._alive_by_ms) * MIN_CLOCK_RATE
        return (
            self._clock_reading_ms
            + (now_ms - self._reading_received_ms) * MIN_CLOCK_RATE
        )


class LifeSigns:
    """Tells between which times one process of a worker was certainly alive.

    It gave the answer to a poll after the poll was sent.  Its clock begins
    with it, and may be slow but is not fast.  So a later reading shows that at
    least so much time has passed since.
    """

    __slots__ = ('_newest_reading_ms', '_start_ms', 'born_after_ms')

    def __init__(self):
        # Monotonic time up to which its clock had not shown 0 yet, and its
        # newest reading; None before the first answer and reading.
        self._start_ms = None
        self._newest_reading_ms = None
        # Monotonic time before which it had not started, None if unknown.
        self.born_after_ms = None

    def record_answer(self, clock_ms, sent_ms):
        """Records the answer of the process to a poll.

        Args:
            clock_ms: its clock in the answer, None if it does not tell.
            sent_ms: monotonic time at which the poll was made.
        """
        if clock_ms is None:
            return
        self.record_reading(clock_ms)
        start_ms = sent_ms - clock_ms
        if self._start_ms is None or start_ms > self._start_ms:
            self._start_ms = start_ms
        born_after_ms = (
            sent_ms - clock_ms / MIN_CLOCK_RATE - CLOCK_ROUNDING_MARGIN_MS
        )
        if self.born_after_ms is None or born_after_ms > self.born_after_ms:
            self.born_after_ms = born_after_ms

    def record_reading(self, clock_ms):
        """Records a reading of the clock, in a message of any age.

        Args:
            clock_ms: the reading, None if there is none.
        """
        if clock_ms is not None:
            self._newest_reading_ms = max(
                clock_ms, self._newest_reading_ms or 0
            )

    @property
    def alive_until_ms(self):
        """Monotonic time at which it was certainly alive, None if unknown."""
        if self._start_ms is None:
            return None
        return (
            self._start_ms + self._newest_reading_ms - CLOCK_ROUNDING_MARGIN_MS
        )


def _has_surely_elapsed(duration_ms, since_ms, now_ms):
    """True if a duration has passed on any worker's clock, or never began."""
    if since_ms is None:
        return True
    return (now_ms - since_ms) * MIN_CLOCK_RATE > duration_ms
