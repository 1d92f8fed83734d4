"""Keeps the tails of serving tasks under their targets; decisions only.

Answers the interference of tasks that fill, which shifts within seconds and
is known only from figures half a second old.  Those that may be the cause are
halted at once, those that are known to be are moved away, and the others are
let go again when the tails have calmed down.
"""

from fuchsiatrestle.workflows import _interference
from fuchsiatrestle.workflows import _tails

__all__ = ('PaceControl',)

FULL_PACE = 100
HALVED = 50
HALTED = 0
# Shares of the target at which suspects are halted, all are slowed, all are
# halted, all go on.
SUSPECT_AT = 0.85
SLOW_AT = 0.95
HALT_AT = 1.1
RELEASE_AT = 0.72
# Figures cover half a second; an older pace has to show in them first.
SETTLE_MS = 700
# A halted task that fills is worth more elsewhere after this time.
MOVE_AFTER_MS = 2500

_Verdict = _interference.Verdict


class PaceControl:
    """Decides on the runs that fill on one worker.

    Args:
        interference: what is known of pairs of images.
        worker: id of the worker.
    """

    __slots__ = (
        '_halted_ms',
        '_interference',
        '_slowed_ms',
        '_window',
        '_worst',
    )

    def __init__(self, interference, worker=''):
        self._interference = interference
        self._halted_ms = None
        self._slowed_ms = 0
        self._window = _tails.TailWindow(worker, interference)
        self._worst = 0.0

    def observe(self, runs, capacity_cpu, now_ms):
        """Learns from the newest figures and decides.

        Args:
            runs: running ``Run`` values of the worker.
            capacity_cpu: processor time of the worker, in thousandths of a
                core.
            now_ms: monotonic time.

        Returns:
            The runs to be stopped; the paces wanted are set on the others.
        """
        filling = [run for run in runs if run.fills]
        serving = [
            run for run in runs if run.serves and run.figure is not None
        ]
        self._window.observe(filling, serving, capacity_cpu, now_ms)
        self._worst = max(
            (run.figure / run.step.tail_target_ms for run in serving),
            default=0.0,
        )
        if not filling:
            self._halted_ms = None
            return []
        images = {run.step.image for run in serving}
        self._set_paces(filling, images, now_ms)
        return self._to_move(filling, images, now_ms)

    def _set_paces(self, filling, images, now_ms):
        suspects = [
            run
            for run in filling
            if self._verdict(images, run) != _Verdict.LIGHT
        ]
        if self._worst >= SUSPECT_AT and suspects:
            self._halt(suspects, now_ms)
        elif self._worst >= HALT_AT:
            self._halt(filling, now_ms)
        elif self._worst >= SLOW_AT:
            self._slow(filling, now_ms)
        elif self._worst < RELEASE_AT and self._settled(now_ms):
            self._halted_ms = None
            for run in filling:
                run.wanted_pace = FULL_PACE

    def _halt(self, runs, now_ms):
        for run in runs:
            run.wanted_pace = HALTED
        if self._halted_ms is None:
            self._halted_ms = now_ms

    def _slow(self, runs, now_ms):
        self._slowed_ms = now_ms
        for run in runs:
            run.wanted_pace = min(run.wanted_pace, HALVED)

    def _settled(self, now_ms):
        changed_ms = max(self._halted_ms or 0, self._slowed_ms)
        return not changed_ms or now_ms - changed_ms >= SETTLE_MS

    def _to_move(self, filling, images, now_ms):
        """Returns what is known to disturb, or has been halted for long."""
        late = (
            self._halted_ms is not None
            and now_ms - self._halted_ms >= MOVE_AFTER_MS
        )
        for run in filling:
            if self._verdict(images, run) == _Verdict.HEAVY:
                run.wanted_pace = HALTED
        return [
            run
            for run in filling
            if run.wanted_pace == HALTED
            and run.pace == HALTED
            and (late or self._verdict(images, run) == _Verdict.HEAVY)
        ]

    def _verdict(self, images, run):
        return self._interference.worst(images, run.step.image)
