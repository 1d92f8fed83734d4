"""Tells whether this replica still leads a term for certain."""

import time

__all__ = ('Leadership', 'read_suspended_ms')

# Two clocks are read one after the other; growth of their difference up to
# this is not taken for a suspension.
MAX_READING_GAP_MS = 5


def read_suspended_ms():
    """Returns for how long the machine has been suspended since its boot.

    The monotonic clock omits that time.  It is 0 on systems that do not tell.
    """
    if not hasattr(time, 'CLOCK_BOOTTIME'):
        return 0
    boottime_ns = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
    monotonic_ns = time.clock_gettime_ns(time.CLOCK_MONOTONIC)
    return (boottime_ns - monotonic_ns) // 1000000


class Leadership:
    """The term that this replica leads, and until when that is confirmed.

    The replica task publishes both; other tasks only read them.
    """

    __slots__ = (
        '_confirmed_since_ms',
        '_confirmed_until_ms',
        '_led_term',
        '_resumed_ms',
        '_suspended_ms',
    )

    def __init__(self):
        self._led_term = None
        self._confirmed_since_ms = 0
        self._confirmed_until_ms = 0
        self._suspended_ms = read_suspended_ms()
        # Time at which the end of the last suspension was noticed.
        self._resumed_ms = -1

    def publish(self, replica):
        """Takes over the state of the ``agreement.Replica`` after a step."""
        is_leader = replica.role.name == 'leader'
        self._led_term = replica.term if is_leader else None
        self._confirmed_until_ms = replica.leadership_confirmed_until_ms
        self._confirmed_since_ms = (
            self._confirmed_until_ms - replica.cfg.election_min_ms
        )

    def leads(self, term):
        """Returns True if this replica led a term at its last event.

        Another replica may have been elected since.
        """
        return term == self._led_term

    def may_order(self, term, now_ms):
        """Returns True if no other replica can have been elected since.

        The machine must not have been suspended since the round was sent
        that confirms the leadership.

        Args:
            term: the term of the dispatcher that made the order.
            now_ms: monotonic time, in milliseconds.
        """
        self._notice_suspension(now_ms)
        return (
            term == self._led_term
            and now_ms < self._confirmed_until_ms
            and self._confirmed_since_ms > self._resumed_ms
        )

    def _notice_suspension(self, now_ms):
        suspended_ms = read_suspended_ms()
        if suspended_ms > self._suspended_ms + MAX_READING_GAP_MS:
            self._resumed_ms = now_ms
        self._suspended_ms = suspended_ms
