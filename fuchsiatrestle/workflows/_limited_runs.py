"""Decides which best-effort tasks run at a limited pace, and on which workers.

Whether an image disturbs serving tasks is estimated from its runs beside them.
An estimate that keeps an image off every worker is examined again only by
running the image, so it must not keep its tasks waiting without a bound.  Nor
must tasks that are placed before others and use all processor time.

A task of a workflow of which nothing runs therefore shares processor time on a
worker where its image disturbs nothing: it runs slowly beside the other runs,
then claims the time that gets free next, and has it for itself in the end (see
``Run.shares_cpu`` and ``Worker.update_cpu_sharing``).  If the image disturbs
serving tasks everywhere, the pace of the run is limited by their tails.
"""

from fuchsiatrestle.workflows import _interference
from fuchsiatrestle.workflows import _placement
from fuchsiatrestle.workflows import _runs

__all__ = ('LimitedRunPlanner',)

# Shortest time between two rounds; a round is costly while many groups wait.
ROUND_INTERVAL_MS = 500
# Largest number of workers that a round looks at, over all its groups; it
# bounds the processor time of a round in a large service.
MAX_CANDIDATES = 10_000


class LimitedRunPlanner:
    """Finds workers for best-effort tasks that are kept off every worker.

    Args:
        dispatch_state: ``DispatchState``.
        interference_model: the ``InterferenceModel``.
        wait_times: ``WaitTimes`` of the waiting groups.
    """

    def __init__(self, dispatch_state, interference_model, wait_times):
        self._dispatch_state = dispatch_state
        self._interference_model = interference_model
        self._wait_times = wait_times
        self._next_round_ms = dispatch_state.now_ms
        # For tasks of a step without runs, and for others.
        self._first_task_placer = _placement.LeastDisturbance(
            interference_model, shares_cpu=True
        )
        self._further_task_placer = _placement.LeastDisturbance(
            interference_model, shares_cpu=False
        )
        # For tasks of a workflow of which nothing runs.
        self._shared_cpu_placer = _placement.SharedCpu(interference_model)

    def start_round_if_due(self):
        """Returns True if a round is due, and starts the next interval."""
        now_ms = self._dispatch_state.now_ms
        if now_ms < self._next_round_ms:
            return False
        self._next_round_ms = now_ms + ROUND_INTERVAL_MS
        return True

    def find_placer(self, group):
        """Returns the ``Placer`` of an overdue best-effort group, or None.

        Args:
            group: the ``Group``.
        """
        now_ms = self._dispatch_state.now_ms
        if not group.step.fills:
            return None
        if not self._wait_times.is_overdue(group, now_ms):
            return None
        if not group.workflow.has_live_run(
            group.occurrence, group.step_number
        ):
            return self._first_task_placer
        if self._wait_times.is_overdue_beside_runs(group, now_ms):
            return self._further_task_placer
        return None

    def choose_workers(self, pool_round):
        """Yields workers for overdue groups, one task of each or a whole gang.

        Each task has to be placed before the next one is asked for.

        Args:
            pool_round: the ``PlacementRound``, after all groups were tried.

        Yields:
            The ``Group``, the task id, the ``Worker``, and True if the pace
            is to be limited.
        """
        for group, placer in self._find_overdue_groups(pool_round):
            workers = pool_round.workers_for(
                group.step, ignores_reservations=True
            )
            if not group.step.gang:
                group = group.first_task_alone()
            if not group.workflow.is_running and not group.step.gang:
                assignments = self._shared_cpu_placer.choose_workers(
                    group, workers
                )
                if assignments:
                    for task_id, worker in assignments:
                        yield group, task_id, worker, False
                    continue
            elif not pool_round.is_mostly_free and self._suits_any(
                group, workers
            ):
                # Such a worker is busy with best-effort tasks that go first.
                continue
            for task_id, worker in placer.choose_workers(group, workers):
                yield group, task_id, worker, True

    def _find_overdue_groups(self, pool_round):
        """Returns (``Group``, ``Placer``) pairs, the longest wait first."""
        groups_and_placers = [
            (group, self.find_placer(group))
            for group in pool_round.waiting_groups
            if not group.is_suspected
        ]
        groups_and_placers = [
            (group, placer)
            for group, placer in groups_and_placers
            if placer is not None
        ]
        now_ms = self._dispatch_state.now_ms
        groups_and_placers.sort(
            key=lambda pair: self._wait_times.longest_wait_ms(pair[0], now_ms),
            reverse=True,
        )
        worker_count = max(1, len(pool_round.usable_workers))
        return groups_and_placers[: max(1, MAX_CANDIDATES // worker_count)]

    def _suits_any(self, group, workers):
        """True if a worker with room would let a run go on at its full pace.

        The processor time that best-effort tasks use there does not count.
        """
        task_id = group.waiting_task_ids[0]
        return any(
            self._may_run_freely(group.step, worker)
            and _placement.has_room(group.step, task_id, worker)
            for worker in workers
        )

    def _may_run_freely(self, step, worker):
        """True if a new run would be neither slowed nor halted on a worker.

        Its image is known to disturb nothing there, and the tail is not near
        its target.
        """
        if not worker.may_add_best_effort_run:
            return False
        severity = self._interference_model.worst_severity(
            worker.serving_images, step.image
        )
        return severity == _interference.Severity.LIGHT

    def stop_runs_for_others(self, pool_round):
        """Stops runs with a limited pace whose memory other tasks wait for.

        Such runs may take long, and tasks of other kinds go before them.

        Args:
            pool_round: the ``PlacementRound``, after all groups were tried.

        Returns:
            A list of the ``Worker`` values with stopped runs.
        """
        stopping_workers = []
        if not any(map(_limited_runs, pool_round.usable_workers)):
            return stopping_workers
        for group in pool_round.waiting_groups:
            if group.step.fills or not self._wait_times.is_overdue(
                group, self._dispatch_state.now_ms
            ):
                continue
            for worker in pool_round.workers_for(
                group.step, ignores_reservations=True
            ):
                if self._stop_runs_for(group, worker):
                    stopping_workers.append(worker)
                    break
        return stopping_workers

    def stop_run_to_move(self, pool_round):
        """Stops one run with a limited pace that ends sooner elsewhere.

        The other worker has unused processor time for it, and its image
        disturbs nothing there.

        Args:
            pool_round: the ``PlacementRound``, after all groups were tried.

        Returns:
            The ``Worker`` of the stopped run, None if there is none.
        """
        most_unused_cpu = max(
            (
                worker.capacity.unused_cpu
                for worker in pool_round.usable_workers
            ),
            default=0,
        )
        for worker in pool_round.usable_workers:
            for run in _limited_runs(worker):
                if (
                    run.step.cpu <= most_unused_cpu
                    and not run.step.gang
                    and worker.is_slow_run(run)
                    and self._suits_another(run, worker, pool_round)
                ):
                    self._dispatch_state.stop_run(run, 'moved')
                    return worker
        return None

    def _suits_another(self, run, worker, pool_round):
        task_id = run.live_run.task
        return any(
            other is not worker
            and run.step.cpu <= other.capacity.unused_cpu
            and self._may_run_freely(run.step, other)
            and _placement.has_room(run.step, task_id, other)
            for other in pool_round.usable_workers
        )

    def _stop_runs_for(self, group, worker):
        """Returns True if it stops runs with whose memory a group fits."""
        limited_runs = _limited_runs(worker)
        memory_mb = sum(run.step.memory_mb for run in limited_runs)
        if not limited_runs or not _placement.has_room(
            group.step, group.waiting_task_ids[0], worker, memory_mb
        ):
            return False
        for run in limited_runs:
            self._dispatch_state.stop_run(run, 'memory_needed')
        return True


def _limited_runs(worker):
    """Returns the runs of a worker whose pace is limited, for any reason."""
    return [
        run
        for run in worker.runs.values()
        if (run.is_pace_limited or run.shares_cpu)
        and run.phase == _runs.Phase.RUNNING
    ]
