"""Keeps the tail latency of serving tasks under its target, without I/O.

The interference of best-effort tasks changes within seconds, and the leader
knows it only from measurements that are half a second old.  So it does not
wait for certainty: it halts all best-effort runs that may be the cause, stops
those that are known to interfere, so that their tasks run on another worker,
and resumes the others when the tail latency has dropped.

A run with a limited pace was placed although it may interfere, as no other
worker was left for it.  It is not moved for that, but runs at a ``PaceLimit``.
"""

from fuchsiatrestle.workflows import _interference
from fuchsiatrestle.workflows import _pace_limits
from fuchsiatrestle.workflows import _runs
from fuchsiatrestle.workflows import _tails

__all__ = ('PaceControl',)

FULL_PACE_PERCENT = 100
HALF_PACE_PERCENT = 50
HALTED_PACE_PERCENT = 0
# Limits on the largest ratio of a tail latency on a worker to its target.  At
# or above HALT_SUSPECTS_RATIO the best-effort runs that may interfere are
# halted.  If there are none, all best-effort runs are slowed to half pace at
# or above SLOW_ALL_RATIO, and halted at or above HALT_ALL_RATIO.  Below
# RESUME_RATIO the runs that are not known to interfere run at full pace again.
HALT_SUSPECTS_RATIO = 0.85
SLOW_ALL_RATIO = 0.95
HALT_ALL_RATIO = 1.1
RESUME_RATIO = 0.72
# Measurements cover half a second, so a change of pace shows fully only after
# this time; until then no run is resumed.
SETTLE_MS = 700
# Once runs on a worker have been halted for this long, all halted runs there
# are stopped, so that their tasks can run on other workers.
MAX_HALT_MS = 2500
# A run that its worker has not halted after this long is stopped.
MAX_HALT_ORDER_MS = 1500

_Severity = _interference.Severity


class PaceControl:
    """Decides the paces of the best-effort runs of one worker.

    Args:
        interference_model: ``InterferenceModel``, which is also updated.
        worker_name: id of the worker.
    """

    __slots__ = (
        '_interference_model',
        '_last_slowdown_ms',
        '_pace_limits',
        '_runs_halted_since_ms',
        '_window',
        '_worst_tail_ratio',
    )

    def __init__(self, interference_model, worker_name=''):
        self._interference_model = interference_model
        self._runs_halted_since_ms = None
        self._last_slowdown_ms = 0
        # ``PaceLimit`` by image of the runs with a limited pace.
        self._pace_limits = {}
        self._window = _tails.TailWindow(worker_name, interference_model)
        self._worst_tail_ratio = 0.0

    @property
    def is_tail_calm(self):
        """True if best-effort runs would run at their full paces."""
        return self._worst_tail_ratio < RESUME_RATIO

    def decide_paces(self, running_runs, capacity_cpu, now_ms):
        """Learns from the newest measurements and sets the wanted paces.

        Args:
            running_runs: list of the running ``Run`` values of the worker.
            capacity_cpu: processor time of the worker, in thousandths of a
                core.
            now_ms: monotonic time.

        Returns:
            The runs to be stopped, so that their tasks run elsewhere.  The
            others have their ``wanted_pace_percent`` set.
        """
        best_effort_runs = [run for run in running_runs if run.is_best_effort]
        serving_runs = [
            run
            for run in running_runs
            if run.is_serving and run.measurement is not None
        ]
        self._window.add_sample(
            best_effort_runs, serving_runs, capacity_cpu, now_ms
        )
        self._worst_tail_ratio = max(
            (
                run.measurement / run.step.tail_target_ms
                for run in serving_runs
            ),
            default=0.0,
        )
        if not best_effort_runs:
            self._runs_halted_since_ms = None
            return []
        serving_images = {run.step.image for run in serving_runs}
        self._update_pace_limits(best_effort_runs, now_ms)
        self._set_paces(best_effort_runs, serving_images, now_ms)
        return self._runs_to_move(best_effort_runs, serving_images, now_ms)

    def find_limit_percent(self, image):
        """Returns the limit on the pace of an image's runs, in percent.

        Args:
            image: the image.

        Returns:
            The limit, ``FULL_PACE_PERCENT`` if there is none.
        """
        pace_limit = self._pace_limits.get(image)
        return pace_limit.percent if pace_limit else FULL_PACE_PERCENT

    def find_unlimited_runs(self, running_runs):
        """Returns the runs with a limited pace that need none any more.

        Args:
            running_runs: list of the running ``Run`` values of the worker.
        """
        serving_images = {
            run.step.image for run in running_runs if run.is_serving
        }
        return [
            run
            for run in running_runs
            if run.is_pace_limited
            and run.pace_percent == FULL_PACE_PERCENT
            and self._severity(serving_images, run) == _Severity.LIGHT
        ]

    def _update_pace_limits(self, best_effort_runs, now_ms):
        limited_images = {
            run.step.image for run in best_effort_runs if run.is_pace_limited
        }
        self._pace_limits = {
            image: (
                self._pace_limits.get(image) or _pace_limits.PaceLimit(now_ms)
            )
            for image in limited_images
        }

    def _set_paces(self, best_effort_runs, serving_images, now_ms):
        suspect_runs = [
            run
            for run in best_effort_runs
            if self._severity(serving_images, run) != _Severity.LIGHT
            or _may_be_halted_first(run)
        ]
        if self._worst_tail_ratio >= HALT_SUSPECTS_RATIO and suspect_runs:
            self._halt_runs(suspect_runs, now_ms)
        elif self._worst_tail_ratio >= HALT_ALL_RATIO:
            self._halt_runs(best_effort_runs, now_ms)
        elif self._worst_tail_ratio >= SLOW_ALL_RATIO:
            self._slow_runs(best_effort_runs, now_ms)
        elif (
            self._worst_tail_ratio < RESUME_RATIO
            and self._has_pace_change_settled(now_ms)
        ):
            self._runs_halted_since_ms = None
            for pace_limit in self._pace_limits.values():
                pace_limit.raise_if_due(now_ms)
            for run in best_effort_runs:
                run.wanted_pace_percent = self._find_full_pace(
                    run, serving_images
                )

    def _find_full_pace(self, run, serving_images):
        """Returns the pace of a run while the tail is calm, in percent."""
        if run.shares_cpu:
            return _runs.SHARED_PACE_PERCENT
        if (
            not run.is_pace_limited
            or self._severity(serving_images, run) == _Severity.LIGHT
        ):
            return FULL_PACE_PERCENT
        return self._pace_limits[run.step.image].percent

    def _halt_runs(self, runs, now_ms):
        disturbing_images = {
            run.step.image
            for run in runs
            if run.is_pace_limited
            and run.wanted_pace_percent != HALTED_PACE_PERCENT
        }
        for image in disturbing_images:
            self._pace_limits[image].lower(now_ms)
        for run in runs:
            run.want_halt(now_ms)
        if self._runs_halted_since_ms is None:
            self._runs_halted_since_ms = now_ms

    def _slow_runs(self, runs, now_ms):
        self._last_slowdown_ms = now_ms
        for run in runs:
            run.wanted_pace_percent = min(
                run.wanted_pace_percent, HALF_PACE_PERCENT
            )

    def _has_pace_change_settled(self, now_ms):
        last_pace_change_ms = max(
            self._runs_halted_since_ms or 0, self._last_slowdown_ms
        )
        return (
            not last_pace_change_ms
            or now_ms - last_pace_change_ms >= SETTLE_MS
        )

    def _runs_to_move(self, best_effort_runs, serving_images, now_ms):
        """Returns the halted runs to be stopped.

        These are the runs that are known to interfere, unless their pace is
        limited, and all halted runs once the halt has lasted ``MAX_HALT_MS``.
        """
        is_move_due = (
            self._runs_halted_since_ms is not None
            and now_ms - self._runs_halted_since_ms >= MAX_HALT_MS
        )
        runs_to_move = [
            run
            for run in best_effort_runs
            if not run.is_pace_limited
            and self._severity(serving_images, run) == _Severity.HEAVY
        ]
        for run in runs_to_move:
            run.want_halt(now_ms)
        return [
            run
            for run in best_effort_runs
            if run.wanted_pace_percent == HALTED_PACE_PERCENT
            and _must_move(
                run, now_ms, is_due=is_move_due or run in runs_to_move
            )
        ]

    def _severity(self, serving_images, run):
        return self._interference_model.worst_severity(
            serving_images, run.step.image
        )


def _may_be_halted_first(run):
    """True for a run that shares processor time and is not halted yet.

    Without it the others may leave the tail calm.
    """
    return run.shares_cpu and run.wanted_pace_percent != HALTED_PACE_PERCENT


def _must_move(run, now_ms, *, is_due):
    """True if a run that is to be halted has to be stopped instead.

    Args:
        run: the ``Run``.
        now_ms: monotonic time.
        is_due: True if it is to be moved once it is halted.
    """
    if run.pace_percent == HALTED_PACE_PERCENT:
        return is_due
    return now_ms - run.halt_wanted_ms >= MAX_HALT_ORDER_MS
