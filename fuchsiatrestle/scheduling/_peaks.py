"""Peak of a measured value over the last one to two time windows."""

__all__ = ('RecentPeak',)

PEAK_WINDOW_MS = 300_000


class RecentPeak:
    """Keeps the largest value of the current and the previous window.

    Args:
        window_ms: length of a window; a value counts for one to two windows.
    """

    __slots__ = ('_current', '_previous', '_since_ms', '_window_ms')

    def __init__(self, window_ms=PEAK_WINDOW_MS):
        self._window_ms = window_ms
        self._since_ms = None
        self._current = 0
        self._previous = 0

    def record(self, value, now_ms):
        """Records one measurement."""
        if self._since_ms is None:
            self._since_ms = now_ms
        elapsed = now_ms - self._since_ms
        if elapsed >= self._window_ms:
            is_adjacent = elapsed < 2 * self._window_ms
            self._previous = self._current if is_adjacent else 0
            self._current = 0
            self._since_ms = now_ms
        self._current = max(self._current, value)

    @property
    def value(self):
        """Peak of this and the previous window, 0 without a measurement."""
        return max(self._current, self._previous)
