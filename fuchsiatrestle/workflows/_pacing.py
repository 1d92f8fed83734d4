"""Keeps the tails of serving tasks under their targets; decisions only.

Answers the interference of tasks that fill, which shifts within seconds and
is known only from figures half a second old: they are slowed at once when a
tail nears its target, moved away when that does not help, and let go again
slowly.
"""

__all__ = ('PaceControl',)

FULL_PACE = 100
# Shares of the target at which tasks that fill are slowed, halted, let go.
SLOW_AT = 0.8
HALT_AT = 1.0
RELEASE_AT = 0.55
SLOWED_BY = 0.5
LOWEST_PACE = 15
RELEASE_STEP = 20
# Figures cover half a second; an older pace has to show in them first.
SETTLE_MS = 700
# A halted task that fills is worth more elsewhere after this time.
MOVE_AFTER_MS = 2500
KEEP_AWAY_MS = 6000


class PaceControl:
    """Pace of the tasks that fill on one worker.

    Attributes:
        pace: share of their speed, in percent.
        away_until_ms: no task that fills is placed here before.
    """

    __slots__ = ('_changed_ms', '_halted_ms', 'away_until_ms', 'pace')

    def __init__(self):
        self.pace = FULL_PACE
        self.away_until_ms = 0
        self._changed_ms = 0
        self._halted_ms = None

    def observe(self, worst, now_ms):
        """Takes the highest tail, as a share of its target; None for none."""
        if worst is None:
            self._set(FULL_PACE, now_ms)
        elif worst >= HALT_AT:
            self._set(0, now_ms)
        elif now_ms - self._changed_ms < SETTLE_MS:
            return
        elif worst >= SLOW_AT:
            lower = int(self.pace * SLOWED_BY)
            self._set(lower if lower >= LOWEST_PACE else 0, now_ms)
        elif worst < RELEASE_AT:
            self._set(min(FULL_PACE, self.pace + RELEASE_STEP), now_ms)

    def should_move(self, now_ms):
        """True if halted tasks should go to another worker."""
        if self._halted_ms is None:
            return False
        return now_ms - self._halted_ms >= MOVE_AFTER_MS

    def keep_away(self, now_ms):
        """Notes that the tasks that fill are moved off this worker."""
        self.away_until_ms = now_ms + KEEP_AWAY_MS

    def _set(self, pace, now_ms):
        if pace == self.pace:
            return
        self.pace = pace
        self._changed_ms = now_ms
        self._halted_ms = now_ms if pace == 0 else None
