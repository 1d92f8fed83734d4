"""Tells whether something arrived before the machine was suspended."""

import time

__all__ = ('PauseDetector', 'read_suspended_ms')

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


class PauseDetector:
    """Notices suspensions of the machine.

    Args:
        read_suspended: function that returns what ``read_suspended_ms`` does.
    """

    __slots__ = ('_read_suspended', '_resumed_ms', '_suspended_ms')

    def __init__(self, read_suspended=read_suspended_ms):
        self._read_suspended = read_suspended
        self._suspended_ms = read_suspended()
        # Time at which the end of the last suspension was noticed.
        self._resumed_ms = -1

    def check(self, now_ms):
        """Notices the end of a suspension; to be called at short intervals.

        Args:
            now_ms: monotonic time, in milliseconds.
        """
        suspended_ms = self._read_suspended()
        if suspended_ms > self._suspended_ms + MAX_READING_GAP_MS:
            self._resumed_ms = now_ms
        self._suspended_ms = suspended_ms

    def has_resumed_since(self, time_ms, now_ms):
        """Returns True if a suspension may have ended since a time.

        Args:
            time_ms: monotonic time, in milliseconds.
            now_ms: the present monotonic time.
        """
        self.check(now_ms)
        return time_ms <= self._resumed_ms
