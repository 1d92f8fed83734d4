"""Peak of a measured value over the last one to two time windows."""

__all__ = ('RecentPeak',)

PEAK_WINDOW_MS = 300_000


class RecentPeak:
    """Keeps the largest value of the current and the previous window.

    Args:
        window_ms: length of a window; a value counts for one to two windows.
    """

    __slots__ = (
        '_current_peak',
        '_previous_peak',
        '_window_ms',
        '_window_start_ms',
    )

    def __init__(self, window_ms=PEAK_WINDOW_MS):
        self._window_ms = window_ms
        self._window_start_ms = None
        self._current_peak = 0
        self._previous_peak = 0

    def record_value(self, value, now_ms):
        """Records one measurement."""
        if self._window_start_ms is None:
            self._window_start_ms = now_ms
        elapsed_ms = now_ms - self._window_start_ms
        if elapsed_ms >= self._window_ms:
            is_adjacent = elapsed_ms < 2 * self._window_ms
            self._previous_peak = self._current_peak if is_adjacent else 0
            self._current_peak = 0
            self._window_start_ms = now_ms
        self._current_peak = max(self._current_peak, value)

    @property
    def value(self):
        """Peak of this and the previous window, 0 without a measurement."""
        return max(self._current_peak, self._previous_peak)
