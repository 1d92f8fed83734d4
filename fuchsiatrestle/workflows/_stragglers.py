"""Adds a second run of a task that takes unusually long.

A few tasks take several times as long as others of their kind, and a workflow
waits for its last task.  While no other work waits, such a task gets one more
run on another worker, if its step allows that.  The first run that ends as
done counts.  A run and its copy are equal in all other respects: their
placements, ends and losses are agreed one by one.
"""

import statistics

from fuchsiatrestle import logs
from fuchsiatrestle import metrics
from fuchsiatrestle.state import commands
from fuchsiatrestle.workflows import _groups
from fuchsiatrestle.workflows import _placement
from fuchsiatrestle.workflows import _policies
from fuchsiatrestle.workflows import _runs

__all__ = ('StragglerCopies',)

# Interval at which the runs are checked; a copy saves seconds.
CHECK_INTERVAL_MS = 500
# A run straggles once it has taken this many times the expected time.
STRAGGLER_FACTOR = 2
# The rest of the run has to take this many times the expected time, by its
# progress: a copy takes it once, and may end later than the run.
MIN_REST_FACTOR = 1.5
# Runs are not copied before this time.  Placement, agreement and start of a
# copy take some 100 ms, and its progress is listed once a second.
MIN_ELAPSED_MS = 1000
# Number of ended tasks of a step from which on their median counts.
MIN_ENDED_TASKS = 2
# Share of the processor time of a service's workers that copies may reserve.
# It bounds the work that is done twice if many tasks are taken for stragglers.
MAX_COPY_CPU_SHARE = 0.05
# Time from the decision to copy a task to the next one, as its start may have
# been refused.
COPY_RETRY_MS = 5000

COPIES_STARTED = metrics.declare(
    'workflows.copies_started', 'Second runs of straggling tasks.'
)
COPIES_WON = metrics.declare(
    'workflows.copies_won',
    'Second runs of straggling tasks that ended as done before the first.',
)
LOST_COPY_CPU_MS = metrics.declare(
    'workflows.lost_copy_cpu_ms',
    'Core-milliseconds reserved by second runs that were of no use.',
)

LOG = logs.get_logger(__name__)


class _Copy:
    """The agreed second run of a task.

    Attributes:
        live_run: its ``LiveRun``.
        cpu: processor time that it reserves, in thousandths of a core.
        is_beaten: True once the other run has ended as done.
    """

    __slots__ = ('cpu', 'is_beaten', 'live_run')

    def __init__(self, live_run, cpu):
        self.live_run = live_run
        self.cpu = cpu
        self.is_beaten = False


class _Straggler:
    """A run that gets a copy if there is room and budget.

    Attributes:
        worker: its ``Worker``.
        run: the ``Run``.
        workflow: the ``Workflow``.
        elapsed_ms: time that it has taken.
        expected_ms: time that runs of its kind take.
        expected_by: source of that time for the log: ``step`` or ``kind``.
    """

    __slots__ = (
        'elapsed_ms',
        'expected_by',
        'expected_ms',
        'run',
        'worker',
        'workflow',
    )

    def __init__(
        self, worker, run, workflow, elapsed_ms, expected_ms, expected_by
    ):
        self.worker = worker
        self.run = run
        self.workflow = workflow
        self.elapsed_ms = elapsed_ms
        self.expected_ms = expected_ms
        self.expected_by = expected_by

    @property
    def delay_factor(self):
        """Its time as a multiple of the expected one."""
        return self.elapsed_ms / max(1, self.expected_ms)


class StragglerCopies(_policies.PlacementPolicy):
    """Places copies of straggling tasks within a budget.

    Args:
        dispatch_state: ``DispatchState``.
    """

    def __init__(self, dispatch_state):
        self._dispatch_state = dispatch_state
        self._wall_ms = 0
        self._is_due = False
        self._next_check_ms = dispatch_state.now_ms
        # Earliest time of the next copy, by task id.
        self._retry_ms_by_task = {}
        # Run times of the tasks that are done, by ``_runs.make_step_key``.
        self._run_times_ms_by_step = {}
        # Agreed placement time of each live run, by task id and run number.
        self._placed_ms_by_run = {}
        # ``_Copy`` by task id, until the end of the copy is agreed.
        self._copies_by_task = {}
        for live_run in sorted(
            dispatch_state.workflow_store.live_runs(),
            key=lambda live_run: live_run.run,
        ):
            self._record_placement(live_run)

    # Agreed progress

    def record_command(self, command):
        """Learns run times of ended tasks; counts placed and ended copies."""
        if not isinstance(command, commands.RecordProgress):
            return
        for run_end in command.ends:
            self._record_end(run_end, command.now_ms)
        for lost_run in command.lost:
            placed_ms = self._placed_ms_by_run.pop(
                (lost_run.task, lost_run.run), None
            )
            if placed_ms is not None:
                self._end_copy(
                    lost_run,
                    lost_run.reason,
                    placed_ms if lost_run.never_ran else command.now_ms,
                )
        for live_run in command.placed:
            if self._dispatch_state.workflow_store.is_live_run(
                live_run.task, live_run.run
            ) and self._record_placement(live_run):
                metrics.count(COPIES_STARTED)

    def _record_placement(self, live_run):
        """Returns True if an agreed live run is a copy."""
        step = self._dispatch_state.find_step(live_run.task)
        if step is None or not step.copies:
            return False
        self._placed_ms_by_run[live_run.task, live_run.run] = (
            live_run.placed_ms
        )
        task = self._find_workflow(live_run.task).tasks[live_run.task]
        if live_run.run == min(task.live_runs):
            return False
        self._copies_by_task[live_run.task] = _Copy(live_run, step.cpu)
        return True

    def _record_end(self, run_end, now_ms):
        placed_ms = self._placed_ms_by_run.pop(
            (run_end.task, run_end.run), None
        )
        if placed_ms is None:
            return
        workflow = self._find_workflow(run_end.task)
        copy = self._copies_by_task.get(run_end.task)
        if run_end.how == 'done' and not (copy and copy.is_beaten):
            if workflow and not workflow.tasks[run_end.task].checkpoint:
                self._run_times_ms_by_step.setdefault(
                    _runs.make_step_key(run_end.task), []
                ).append(now_ms - placed_ms)
        if copy is None:
            return
        if run_end.run == copy.live_run.run:
            self._end_copy(run_end, run_end.how, now_ms)
        elif run_end.how == 'done':
            copy.is_beaten = True

    def _end_copy(self, ended_run, how, ended_ms):
        """Counts the end of a run if it is a copy.

        Args:
            ended_run: its ``RunEnd`` or ``RunLost``.
            how: how it ended.
            ended_ms: agreed time of the end.
        """
        copy = self._copies_by_task.get(ended_run.task)
        if copy is None or copy.live_run.run != ended_run.run:
            return
        del self._copies_by_task[ended_run.task]
        took_ms = max(0, ended_ms - copy.live_run.placed_ms)
        has_won = how == 'done' and not copy.is_beaten
        if has_won:
            metrics.count(COPIES_WON)
        else:
            metrics.count(LOST_COPY_CPU_MS, copy.cpu * took_ms // 1000)
        LOG.info(
            'copy_ended',
            extra={
                'workflow': ended_run.task.workflow_id,
                'task': _runs.format_task_id(ended_run.task),
                'run': ended_run.run,
                'worker': copy.live_run.worker,
                'how': how,
                'won': has_won,
                'took_ms': took_ms,
                'cpu': copy.cpu,
            },
        )

    # Rounds

    def start_round(self, ready_groups, wall_ms):
        """Decides whether the runs are checked in this round."""
        now_ms = self._dispatch_state.now_ms
        self._wall_ms = wall_ms
        self._is_due = now_ms >= self._next_check_ms
        if not self._is_due:
            return
        self._next_check_ms = now_ms + CHECK_INTERVAL_MS
        self._retry_ms_by_task = {
            task_id: retry_ms
            for task_id, retry_ms in self._retry_ms_by_task.items()
            if retry_ms > now_ms
        }
        open_workflows = self._dispatch_state.workflow_store.open_workflows
        self._run_times_ms_by_step = {
            step_key: run_times_ms
            for step_key, run_times_ms in self._run_times_ms_by_step.items()
            if step_key[0] in open_workflows
        }

    def acts_after_groups(self):
        """Returns True if the runs are checked in this round."""
        return self._is_due

    def find_placements(self, pool_round):
        """Yields copies while nothing else waits and the budget lasts."""
        if any(not group.step.fills for group in pool_round.waiting_groups):
            return
        copy_cpu = self._count_copy_cpu(pool_round.pool)
        budget_cpu = MAX_COPY_CPU_SHARE * sum(
            worker.record.cpu for worker in pool_round.usable_workers
        )
        stragglers = sorted(
            self._find_stragglers(pool_round.pool),
            key=lambda straggler: straggler.delay_factor,
            reverse=True,
        )
        for straggler in stragglers:
            step = straggler.run.step
            if copy_cpu + step.cpu > budget_cpu:
                continue
            worker = _choose_worker(straggler, pool_round)
            if worker is None:
                continue
            copy_cpu += step.cpu
            self._log_copy(straggler, worker, copy_cpu, budget_cpu)
            task_id = straggler.run.live_run.task
            self._retry_ms_by_task[task_id] = (
                self._dispatch_state.now_ms + COPY_RETRY_MS
            )
            group = _groups.Group(
                straggler.workflow, task_id.occurrence, task_id.step, [task_id]
            )
            yield _policies.Placement(group, task_id, worker)

    def _count_copy_cpu(self, pool):
        """Returns the processor time that the copies of a service reserve."""
        return sum(
            copy.cpu
            for copy in self._copies_by_task.values()
            if self._dispatch_state.fleet.get(copy.live_run.worker).record.pool
            == pool
        )

    def _find_stragglers(self, pool):
        """Yields the ``_Straggler`` values of a service."""
        expectations = {}
        for worker in self._dispatch_state.fleet:
            if worker.record.pool != pool:
                continue
            for run in worker.runs.values():
                if (
                    run.step is not None
                    and run.step.copies
                    and run.phase == _runs.Phase.RUNNING
                    and run.started_ms is not None
                ):
                    straggler = self._check_run(worker, run, expectations)
                    if straggler is not None:
                        yield straggler

    def _check_run(self, worker, run, expectations):
        """Returns the ``_Straggler`` for a run, or None.

        What excludes most runs comes first.

        Args:
            worker: the ``Worker``.
            run: the ``Run``.
            expectations: results of ``_find_expected_ms`` by step key; the
                missing one is added.
        """
        elapsed_ms = self._find_elapsed_ms(run)
        if elapsed_ms < MIN_ELAPSED_MS:
            return None
        task_id = run.live_run.task
        workflow = self._dispatch_state.workflow_store.open_workflows.get(
            task_id.workflow_id
        )
        if workflow is None:
            return None
        step_key = _runs.make_step_key(task_id)
        if step_key not in expectations:
            expectations[step_key] = self._find_expected_ms(workflow, task_id)
        expected_ms, expected_by = expectations[step_key]
        if expected_ms is None or elapsed_ms < STRAGGLER_FACTOR * expected_ms:
            return None
        percent = run.progress_percent
        if percent > 0:
            rest_ms = elapsed_ms * (100 - percent) / percent
            if rest_ms < max(MIN_REST_FACTOR * expected_ms, MIN_ELAPSED_MS):
                return None
        if not self._may_copy(workflow, run):
            return None
        return _Straggler(
            worker, run, workflow, elapsed_ms, expected_ms, expected_by
        )

    def _may_copy(self, workflow, run):
        """True if a run is the only one of its task and may be copied.

        If the run and its copy both fail, the task must not have failed more
        often than is allowed.
        """
        if run.live_run.task in self._retry_ms_by_task:
            return False
        task = workflow.tasks[run.live_run.task]
        queue = self._dispatch_state.workflow_store.current_queue(workflow)
        return (
            workflow.may_copy(run.live_run.task)
            and not task.is_done
            and list(task.live_runs) == [run.live_run.run]
            and not task.possible_worker_crashes
            and task.failures + 2 <= queue.max_failures
        )

    def _find_elapsed_ms(self, run):
        """Returns for how long a run has been executing."""
        if run.adopted and run.live_run.placed_ms:
            return max(0, self._wall_ms - run.live_run.placed_ms)
        return self._dispatch_state.now_ms - run.started_ms

    def _find_expected_ms(self, workflow, task_id):
        """Returns the expected run time of a task and its source.

        The run times of the same step count, in the agreed state if there
        are enough.  Until half of its tasks have ended, these are the fast
        ones, and the learned run time counts if it is longer.

        Args:
            workflow: the ``Workflow``.
            task_id: id of the task.

        Returns:
            Milliseconds, and ``step`` or ``kind``; None and an empty string
            if nothing is known.
        """
        step = workflow.get_step(task_id)
        agreed_median_ms = workflow.median_run_ms(task_id.step)
        if agreed_median_ms is not None:
            return agreed_median_ms, 'step'
        ended_ms = self._run_times_ms_by_step.get(
            _runs.make_step_key(task_id), ()
        )
        candidates = []
        if len(ended_ms) >= MIN_ENDED_TASKS:
            step_median_ms = statistics.median(ended_ms)
            if 2 * len(ended_ms) >= step.count:
                return step_median_ms, 'step'
            candidates.append((step_median_ms, 'step'))
        run_times = self._dispatch_state.workflow_store.run_times
        kind = workflow.queue.name, task_id.step, step
        if run_times.has_samples(*kind):
            candidates.append((run_times.estimate_ms(*kind), 'kind'))
        return max(candidates, default=(None, ''))

    def _find_workflow(self, task_id):
        return self._dispatch_state.workflow_store.find_workflow(
            task_id.workflow_id
        )

    def _log_copy(self, straggler, worker, copy_cpu, budget_cpu):
        self._dispatch_state.log_run(
            'run_copied',
            straggler.run,
            copy_worker=worker.name,
            elapsed_ms=straggler.elapsed_ms,
            expected_ms=int(straggler.expected_ms),
            expected_by=straggler.expected_by,
            percent=straggler.run.progress_percent,
            copy_cpu=copy_cpu,
            budget_cpu=int(budget_cpu),
        )


def _choose_worker(straggler, pool_round):
    """Returns the ``Worker`` for the copy of a straggler, or None.

    Of those with room, it prefers warm ones, those that starts reach, those
    near the data, and the one on which the least processor time remains.
    """
    step = straggler.run.step
    task_id = straggler.run.live_run.task
    return min(
        (
            worker
            for worker in pool_round.workers_for(
                step, ignores_reservations=False
            )
            if worker is not straggler.worker
            and _placement.has_room(step, task_id, worker)
        ),
        key=lambda worker: (
            worker.is_cold,
            worker.failed_start_count,
            bool(step.data_rack)
            and step.data_rack not in worker.record.labels,
            worker.capacity.free_cpu,
            worker.name,
        ),
        default=None,
    )
