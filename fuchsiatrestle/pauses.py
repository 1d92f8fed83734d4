"""Tells whether something arrived before the machine was suspended."""

import collections
import time

__all__ = ('PauseDetector', 'read_boottime_ms', 'read_suspended_ms')

# Two clocks are read one after the other; growth of their difference up to
# this is not taken for a suspension.
MAX_READING_GAP_MS = 5
# Of more suspensions than this, the oldest are forgotten.
MAX_SUSPENSIONS = 64


def read_suspended_ms():
    """Returns for how long the machine has been suspended since its boot.

    The monotonic clock omits that time.  It is 0 on systems that do not tell.
    """
    if not hasattr(time, 'CLOCK_BOOTTIME'):
        return 0
    boottime_ns = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
    monotonic_ns = time.clock_gettime_ns(time.CLOCK_MONOTONIC)
    return (boottime_ns - monotonic_ns) // 1000000


def read_boottime_ms():
    """Returns a monotonic time in milliseconds that counts suspensions.

    It omits them on systems that do not tell.
    """
    clock = getattr(time, 'CLOCK_BOOTTIME', time.CLOCK_MONOTONIC)
    return time.clock_gettime_ns(clock) // 1000000


class PauseDetector:
    """Notices suspensions of the machine.

    Args:
        read_suspended: function that returns what ``read_suspended_ms`` does.
    """

    __slots__ = ('_read_suspended', '_suspended_ms', '_suspensions')

    def __init__(self, read_suspended=read_suspended_ms):
        self._read_suspended = read_suspended
        self._suspended_ms = read_suspended()
        # For each suspension, the time at which its end was noticed, and how
        # long it was.
        self._suspensions = collections.deque(maxlen=MAX_SUSPENSIONS)

    def check(self, now_ms):
        """Notices the end of a suspension; to be called at short intervals.

        Args:
            now_ms: monotonic time, in milliseconds.
        """
        suspended_ms = self._read_suspended()
        growth_ms = suspended_ms - self._suspended_ms
        if growth_ms > MAX_READING_GAP_MS:
            self._suspensions.append((now_ms, growth_ms))
        # A pause of this process between the two readings makes it smaller.
        self._suspended_ms = max(self._suspended_ms, suspended_ms)

    def has_resumed_since(self, time_ms, now_ms):
        """Returns True if a suspension may have ended since a time.

        Args:
            time_ms: monotonic time, in milliseconds.
            now_ms: the present monotonic time.
        """
        return self.find_suspended_ms(time_ms, now_ms) > 0

    def find_suspended_ms(self, time_ms, now_ms):
        """Returns for how long the machine may have been suspended since.

        Args:
            time_ms: monotonic time, in milliseconds.
            now_ms: the present monotonic time.
        """
        self.check(now_ms)
        return sum(
            length_ms
            for resumed_ms, length_ms in self._suspensions
            if time_ms <= resumed_ms
        )
