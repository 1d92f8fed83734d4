"""Limits the pace of best-effort runs that may disturb serving tasks.

An image may disturb the serving tasks on every worker that there is.  A run of
it still has to make progress, so it gets the share of its processor time that
leaves the tail latencies under their targets.  The share is found as by a
sender on a congested link: it doubles until the tail is disturbed, is halved
then, and rises in small steps from there on.
"""

__all__ = ('PaceLimit',)

INITIAL_PERCENT = 10
MIN_PERCENT = 1
MAX_PERCENT = 100
# Percent points by which a limit that was lowered before rises at a time.
RAISE_STEP_PERCENT = 1
# A measured tail shows a change of pace fully only after this time.
RAISE_INTERVAL_MS = 1000


class PaceLimit:
    """Limit on the pace of the runs of one image on a worker.

    Attributes:
        percent: the limit, in percent of the full pace.
    """

    __slots__ = ('_changed_ms', '_doubles_below_percent', 'percent')

    def __init__(self, now_ms):
        self.percent = INITIAL_PERCENT
        self._doubles_below_percent = MAX_PERCENT
        self._changed_ms = now_ms

    def lower(self, now_ms):
        """Halves the limit after a disturbed tail.

        Args:
            now_ms: monotonic time.
        """
        self.percent = max(MIN_PERCENT, self.percent // 2)
        self._doubles_below_percent = self.percent
        self._changed_ms = now_ms

    def raise_if_due(self, now_ms):
        """Raises the limit after a calm tail, at most once an interval.

        Args:
            now_ms: monotonic time.
        """
        if now_ms - self._changed_ms < RAISE_INTERVAL_MS:
            return
        self._changed_ms = now_ms
        if self.percent < self._doubles_below_percent:
            raised_percent = 2 * self.percent
        else:
            raised_percent = self.percent + RAISE_STEP_PERCENT
        self.percent = min(MAX_PERCENT, raised_percent)
