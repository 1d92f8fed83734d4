"""Keeps the tail latency of serving tasks under its target, without I/O.

The interference of best-effort tasks changes within seconds, and the leader
knows it only from measurements that are half a second old.  So it does not
wait for certainty: it halts all best-effort runs that may be the cause, stops
those that are known to interfere, so that their tasks run on another worker,
and resumes the others when the tail latency has dropped.

Runs that are not known to interfere may still disturb together.  Their pace
is lowered step by step while the tail latency is near its target and raised
again below that, as a halt would throw away the time of all of them.

A run with a limited pace was placed although it may interfere, as no other
worker was left for it.  It is not moved for that, but runs at a ``PaceLimit``.
"""

from fuchsiatrestle.workflows import _interference
from fuchsiatrestle.workflows import _pace_limits
from fuchsiatrestle.workflows import _runs
from fuchsiatrestle.workflows import _tails

__all__ = ('PaceControl',)

FULL_PACE_PERCENT = 100
HALTED_PACE_PERCENT = 0
# Step by which the pace of all runs on a worker changes, and the lowest pace
# before they are halted, in percent of the full pace.
PACE_STEP_PERCENT = 25
MIN_SHARED_PACE_PERCENT = 25
# Limits on the largest ratio of a tail latency on a worker to its target.  At
# or above HALT_SUSPECTS_RATIO the best-effort runs that may interfere are
# halted.  If there are none, or their halt did not help, all other best-effort
# runs are slowed by a step at or above SLOW_ALL_RATIO, by two at or above
# SLOW_MORE_RATIO, and halted at or above HALT_ALL_RATIO, or if they are at the
# lowest pace already.  Below RAISE_RATIO slowed runs are raised by a step, and
# below RESUME_RATIO the halted ones that are not known to interfere run again.
HALT_SUSPECTS_RATIO = 0.85
SLOW_ALL_RATIO = 0.95
SLOW_MORE_RATIO = 1.1
HALT_ALL_RATIO = 1.3
RAISE_RATIO = 0.85
RESUME_RATIO = 0.72
# If a tail latency stays over its target for this long, all best-effort runs
# are halted, as the lowest pace may leave it slightly over the target.  Three
# changes of pace fit into this time, and the halt shows before 4 s are over.
MAX_OVER_TARGET_MS = 2500
# Measurements cover half a second, so a change of pace shows fully only after
# this time; until then no run is resumed.
SETTLE_MS = 700
# Once runs on a worker have been halted for this long, all halted runs there
# are stopped, so that their tasks can run on other workers.  A task that saves
# its progress loses little by that, so it waits only until its worker had
# time to settle.
MAX_HALT_MS = 2500
MAX_SAVED_HALT_MS = 1000
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
        '_over_target_since_ms',
        '_pace_changed_ms',
        '_pace_limits',
        '_runs_halted_since_ms',
        '_shared_pace_percent',
        '_window',
        '_worst_tail_ratio',
    )

    def __init__(self, interference_model, worker_name=''):
        self._interference_model = interference_model
        self._runs_halted_since_ms = None
        # Since when lists show a tail latency over its target, None if not.
        self._over_target_since_ms = None
        # Pace of the runs that are neither halted nor limited, and when it
        # was changed last.
        self._shared_pace_percent = FULL_PACE_PERCENT
        self._pace_changed_ms = 0
        # ``PaceLimit`` by image of the runs with a limited pace.
        self._pace_limits = {}
        self._window = _tails.TailWindow(worker_name, interference_model)
        self._worst_tail_ratio = 0.0

    @property
    def is_tail_calm(self):
        """True if best-effort runs would run at their full paces."""
        return self._worst_tail_ratio < RESUME_RATIO

    @property
    def may_add_run(self):
        """False while one more best-effort run would be slowed or halted."""
        return (
            self._worst_tail_ratio < RAISE_RATIO
            and self._runs_halted_since_ms is None
        )

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
            self._over_target_since_ms = None
            self._shared_pace_percent = FULL_PACE_PERCENT
            return []
        if self._worst_tail_ratio <= 1:
            self._over_target_since_ms = None
        elif self._over_target_since_ms is None:
            self._over_target_since_ms = now_ms
        if not any(
            run.wanted_pace_percent == HALTED_PACE_PERCENT
            for run in best_effort_runs
        ):
            # The halted runs have ended or are being stopped.
            self._end_halt()
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

    def _end_halt(self):
        """Forgets since when runs are halted; the tail may yet settle."""
        if self._runs_halted_since_ms is not None:
            self._pace_changed_ms = max(
                self._pace_changed_ms, self._runs_halted_since_ms
            )
            self._runs_halted_since_ms = None

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
        if self._must_halt_suspects(suspect_runs, now_ms):
            self._halt_runs(suspect_runs, now_ms)
        elif self._must_halt_all(now_ms):
            self._halt_runs(best_effort_runs, now_ms)
        elif self._worst_tail_ratio >= SLOW_ALL_RATIO:
            if any(run.wanted_pace_percent for run in best_effort_runs):
                self._lower_shared_pace(now_ms)
        elif (
            self._worst_tail_ratio < RESUME_RATIO
            and self._has_pace_change_settled(now_ms)
        ):
            self._runs_halted_since_ms = None
            self._raise_shared_pace(now_ms)
            for pace_limit in self._pace_limits.values():
                pace_limit.raise_if_due(now_ms)
            for run in best_effort_runs:
                run.wanted_pace_percent = self._find_full_pace(
                    run, serving_images
                )
        elif (
            self._worst_tail_ratio < RAISE_RATIO
            and self._runs_halted_since_ms is None
        ):
            self._raise_shared_pace(now_ms)
        self._apply_shared_pace(best_effort_runs)

    def _must_halt_suspects(self, suspect_runs, now_ms):
        """True if the runs that may interfere are halted, and no others.

        It is False as well once their halt shows in the measured tail: the
        others then disturb the serving tasks, too, if it is still high.
        """
        if not suspect_runs or self._worst_tail_ratio < HALT_SUSPECTS_RATIO:
            return False
        return (
            any(run.wanted_pace_percent for run in suspect_runs)
            or self._runs_halted_since_ms is None
            or now_ms - self._runs_halted_since_ms < SETTLE_MS
        )

    def _must_halt_all(self, now_ms):
        """True if slower runs would not protect the serving tasks."""
        if self._worst_tail_ratio >= HALT_ALL_RATIO:
            return True
        if (
            self._over_target_since_ms is not None
            and now_ms - self._over_target_since_ms >= MAX_OVER_TARGET_MS
        ):
            return True
        return (
            self._worst_tail_ratio >= SLOW_MORE_RATIO
            and self._shared_pace_percent <= MIN_SHARED_PACE_PERCENT
            and self._has_pace_change_settled(now_ms)
        )

    def _lower_shared_pace(self, now_ms):
        if not self._has_pace_change_settled(now_ms):
            return
        steps = 2 if self._worst_tail_ratio >= SLOW_MORE_RATIO else 1
        self._shared_pace_percent = max(
            MIN_SHARED_PACE_PERCENT,
            self._shared_pace_percent - steps * PACE_STEP_PERCENT,
        )
        self._pace_changed_ms = now_ms

    def _raise_shared_pace(self, now_ms):
        if (
            self._shared_pace_percent == FULL_PACE_PERCENT
            or not self._has_pace_change_settled(now_ms)
        ):
            return
        self._shared_pace_percent += PACE_STEP_PERCENT
        self._pace_changed_ms = now_ms

    def _apply_shared_pace(self, best_effort_runs):
        """Gives the shared pace to all runs without another pace."""
        for run in best_effort_runs:
            if (
                run.wanted_pace_percent != HALTED_PACE_PERCENT
                and not run.shares_cpu
                and not run.is_pace_limited
            ):
                run.wanted_pace_percent = self._shared_pace_percent

    def _find_full_pace(self, run, serving_images):
        """Returns the pace of a run while the tail is calm, in percent."""
        if run.shares_cpu:
            return _runs.SHARED_PACE_PERCENT
        if (
            not run.is_pace_limited
            or self._severity(serving_images, run) == _Severity.LIGHT
        ):
            return self._shared_pace_percent
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

    def _has_pace_change_settled(self, now_ms):
        last_pace_change_ms = max(
            self._runs_halted_since_ms or 0, self._pace_changed_ms
        )
        return (
            not last_pace_change_ms
            or now_ms - last_pace_change_ms >= SETTLE_MS
        )

    def _runs_to_move(self, best_effort_runs, serving_images, now_ms):
        """Returns the halted runs to be stopped.

        These are the runs that are known to interfere, unless the tail is
        calm here or their pace is limited, and all halted runs once the halt
        has lasted ``MAX_HALT_MS``, or ``MAX_SAVED_HALT_MS``.  A verdict that
        is wrong, or that holds for larger shares of a worker only, stops
        nothing where no harm is measured.
        """
        runs_to_move = [
            run
            for run in best_effort_runs
            if self._worst_tail_ratio >= HALT_SUSPECTS_RATIO
            and not run.is_pace_limited
            and self._severity(serving_images, run) == _Severity.HEAVY
        ]
        for run in best_effort_runs:
            run.stops_once_halted = run in runs_to_move
        for run in runs_to_move:
            run.want_halt(now_ms)
        return [
            run
            for run in best_effort_runs
            if run.wanted_pace_percent == HALTED_PACE_PERCENT
            and _must_move(
                run,
                now_ms,
                is_due=run in runs_to_move or self._is_move_due(run, now_ms),
            )
        ]

    def _is_move_due(self, run, now_ms):
        """True if a halted run is to be stopped as the halt lasts."""
        if self._runs_halted_since_ms is None:
            return False
        max_halt_ms = (
            MAX_SAVED_HALT_MS if run.step.checkpoints else MAX_HALT_MS
        )
        return now_ms - self._runs_halted_since_ms >= max_halt_ms

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
