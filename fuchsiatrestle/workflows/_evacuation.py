"""Keeps starts out of evacuated data centres, and moves tasks out of them.

Addresses the loss of a data centre that its operators foresee: what would be
started there would be lost with it.  Tasks that lose little by it move
elsewhere while there is room; the others end by themselves.  When an
evacuation ends, its workers may be cold and slow, and get work only as far as
warm ones have no room.
"""

from fuchsiatrestle import logs
from fuchsiatrestle import metrics
from fuchsiatrestle.workflows import _fleet
from fuchsiatrestle.workflows import _placement
from fuchsiatrestle.workflows import _policies
from fuchsiatrestle.workflows import _runs

__all__ = ('EvacuationPolicy',)

# A batch task with less work left than this is not moved.  A move takes about
# 1 s (stop, list, agreement, start), and estimates are off by a factor of up
# to 5.
MIN_MOVED_WORK_MS = 5000
# Share of the processor time of the usable workers that has to stay free after
# all moves in progress; else capacity elsewhere counts as short.
MIN_FREE_CPU_SHARE = 0.15
# Largest number of batch tasks of a service that move at the same time.
MAX_BATCH_MOVES = 8
# Shortest time between two searches for tasks to move.  A search looks at all
# runs in the evacuated data centres, and there may be a hundred rounds a
# second, while a move takes about 1 s.
MOVE_INTERVAL_MS = 250
# A move that takes longer no longer keeps others from beginning.  The new run
# may wait for a worker, or the workflow may have ended.
MAX_MOVE_MS = 10_000

EVACUATED_DATA_CENTRES = metrics.declare(
    'evacuations.data_centres', 'Data centres that are evacuated.'
)
MOVED_RUNS = metrics.declare(
    'evacuations.moved', 'Runs stopped to continue in another data centre.'
)

LOG = logs.get_logger(__name__)


class EvacuationPolicy(_policies.PlacementPolicy):
    """Follows the agreed evacuations of data centres.

    Args:
        dispatch_state: ``DispatchState``.
    """

    def __init__(self, dispatch_state):
        self._dispatch_state = dispatch_state
        self._evacuations = dispatch_state.workflow_store.evacuations
        # Names as of the last round.
        self._evacuated_names = []
        # Time of the stop and the ``Run`` of each task that moves, by task id.
        self._moves = {}
        # True if this round looks for tasks to move, and the earliest time of
        # the next one that does.
        self._moves_tasks = False
        self._next_moves_ms = 0

    def find_start_obstacle(self, worker):
        """Returns ``evacuated`` for a worker in an evacuated data centre."""
        if self._evacuations.is_evacuated(worker.record.data_centre):
            return 'evacuated'
        return ''

    def may_use(self, worker):
        """Returns False for a worker in an evacuated data centre."""
        return not self.find_start_obstacle(worker)

    def start_round(self, ready_groups, wall_ms):
        """Logs changes, marks the cold workers, and limits the searches."""
        if not self._evacuations.is_used:
            return
        names = self._evacuations.list_evacuated_names()
        if names != self._evacuated_names:
            self._log_changes(names)
            self._evacuated_names = names
        self._moves_tasks = (
            bool(names) and self._dispatch_state.now_ms >= self._next_moves_ms
        )
        if self._moves_tasks:
            self._next_moves_ms = (
                self._dispatch_state.now_ms + MOVE_INTERVAL_MS
            )
        for worker in self._dispatch_state.fleet:
            worker.is_cold = (
                worker.cold_until_ms > self._dispatch_state.now_ms
                and self._evacuations.was_evacuated(worker.record.data_centre)
            )

    def _log_changes(self, names):
        metrics.gauge(EVACUATED_DATA_CENTRES, len(names))
        for name in sorted({*names, *self._evacuated_names}):
            if name in names and name in self._evacuated_names:
                continue
            workers = [
                worker
                for worker in self._dispatch_state.fleet
                if worker.record.data_centre == name
            ]
            LOG.info(
                'evacuation_started' if name in names else 'evacuation_ended',
                extra={
                    'data_centre': name,
                    'workers': len(workers),
                    'runs': sum(len(worker.runs) for worker in workers),
                    'token': self._dispatch_state.token,
                },
            )

    # Moves

    def acts_after_groups(self):
        """Returns True at intervals while a data centre is evacuated."""
        return self._moves_tasks

    def stop_runs(self, pool_round):
        """Stops runs in evacuated data centres that can go on elsewhere.

        Nothing is stopped while another group waits in the service, as it
        would have to share the capacity with the stopped tasks.
        """
        self._forget_ended_moves()
        if any(not group.step.fills for group in pool_round.waiting_groups):
            return []
        spare_cpu = self._find_spare_cpu(pool_round)
        stopped_workers = []
        # What keeps a task of a step from moving holds for its other tasks.
        kept_steps = set()
        for worker, run in self._find_movable_runs(pool_round.pool):
            task_id = run.live_run.task
            step_key = _runs.make_step_key(task_id)
            if step_key in kept_steps:
                continue
            needed_cpu = 0 if run.step.fills else run.step.cpu
            if needed_cpu > spare_cpu or not self._may_begin_move(
                run, pool_round
            ):
                kept_steps.add(step_key)
                continue
            spare_cpu -= needed_cpu
            self._moves[task_id] = self._dispatch_state.now_ms, run
            metrics.count(MOVED_RUNS)
            self._dispatch_state.stop_run(run, 'evacuated')
            stopped_workers.append(worker)
        return stopped_workers

    def _find_movable_runs(self, pool):
        """Yields (``Worker``, ``Run``) pairs of runs that lose little."""
        for worker in self._dispatch_state.fleet:
            if (
                worker.record.pool != pool
                or worker.state != _fleet.READY
                or worker.is_unresponsive
                or not self.find_start_obstacle(worker)
            ):
                continue
            for run in list(worker.runs.values()):
                if _is_at_work(worker, run) and _loses_little(run):
                    yield worker, run

    def _may_begin_move(self, run, pool_round):
        """True if a run may be stopped now to go on elsewhere."""
        moved_runs = [
            moved_run
            for _, moved_run in self._moves.values()
            if moved_run.step.lasts == run.step.lasts
            and self._find_pool(moved_run) == pool_round.pool
        ]
        if len(moved_runs) >= (1 if run.step.lasts else MAX_BATCH_MOVES):
            return False
        if not _has_room_for(
            len(moved_runs) + 1, run, pool_round.usable_workers
        ):
            return False
        return not run.step.lasts or (
            self._count_missing_tasks(run) < run.step.may_miss
        )

    def _find_pool(self, run):
        worker = self._dispatch_state.fleet.get(run.live_run.worker)
        return worker.record.pool if worker else ''

    def _find_spare_cpu(self, pool_round):
        """Returns the processor time that moved tasks may reserve.

        It is in thousandths of a core.
        """
        workers = pool_round.usable_workers
        total_cpu = sum(worker.record.cpu for worker in workers)
        free_cpu = sum(worker.capacity.free_cpu for worker in workers)
        moving_cpu = sum(
            run.step.cpu
            for _, run in self._moves.values()
            if not run.step.fills and self._find_pool(run) == pool_round.pool
        )
        return free_cpu - moving_cpu - MIN_FREE_CPU_SHARE * total_cpu

    def _count_missing_tasks(self, run):
        """Returns how many other tasks of a run's step are not at work."""
        task_id = run.live_run.task
        workflow = self._dispatch_state.workflow_store.find_workflow(
            task_id.workflow_id
        )
        step_key = _runs.make_step_key(task_id)
        other_ids = {
            live_run.task
            for live_run in workflow.live_runs()
            if _runs.make_step_key(live_run.task) == step_key
            and live_run.task != task_id
        }
        working_count = sum(
            self._is_task_at_work(workflow.tasks[other_id])
            for other_id in other_ids
        )
        return run.step.count - 1 - working_count

    def _is_task_at_work(self, task):
        for live_run in task.live_runs.values():
            worker, run = self._dispatch_state.find_worker_and_run(live_run)
            if run is not None and _is_at_work(worker, run):
                return not worker.is_unresponsive
        return False

    def _forget_ended_moves(self):
        """Forgets the moves of tasks that are at work again, or have ended."""
        store = self._dispatch_state.workflow_store
        for task_id, (began_ms, run) in list(self._moves.items()):
            workflow = store.open_workflows.get(task_id.workflow_id)
            task = workflow.tasks[task_id] if workflow else None
            if (
                task is None
                or task.is_done
                or self._is_task_at_work(task)
                or self._dispatch_state.now_ms - began_ms >= MAX_MOVE_MS
            ):
                del self._moves[task_id]


def _is_at_work(worker, run):
    """True if the present process of a worker has listed a run as running."""
    return run.phase == _runs.Phase.RUNNING and run.is_listed


def _loses_little(run):
    """True for a run whose task loses little if it goes on elsewhere.

    The members of a gang run under one number, so a move of one would take
    the work of all.
    """
    step = run.step
    if step is None or step.gang:
        return False
    if step.lasts:
        return step.may_miss > 0
    remaining_ms = step.estimate_ms * (100 - run.progress_percent) / 100
    return step.checkpoints and remaining_ms >= MIN_MOVED_WORK_MS


def _has_room_for(count, run, workers):
    """True if so many tasks like that of a run find room elsewhere.

    Args:
        count: the number of tasks; those that move already count as well, as
            they may not have been placed yet.
        run: the ``Run``.
        workers: the workers that may be used.
    """
    for worker in workers:
        count -= _count_room(run, worker)
        if count <= 0:
            return True
    return False


def _count_room(run, worker):
    """Returns how many tasks like that of a run find room on a worker.

    A best-effort task needs unused processor time, beside no serving task that
    it might disturb.
    """
    step = run.step
    task_id = run.live_run.task
    capacity = worker.capacity
    if worker.is_cold or not _placement.has_room(step, task_id, worker):
        return 0
    free_cpu = capacity.free_cpu
    if step.fills:
        if worker.serving_images:
            return 0
        free_cpu = int(capacity.unused_cpu)
    count = capacity.count_fitting_tasks(step, free_cpu)
    if step.most_per_worker:
        allowed_count = max(
            0, step.most_per_worker - capacity.count_step_runs(task_id)
        )
        return allowed_count if count is None else min(count, allowed_count)
    return MAX_BATCH_MOVES if count is None else count
