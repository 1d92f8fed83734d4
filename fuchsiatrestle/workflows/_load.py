"""Measures how much work waits for the workers and how fast they drain it.

It is used under a load that exceeds the capacity, to estimate when a new
workflow would be served.  Work is reserved processor time times estimated run
time, in thousandths of a core times milliseconds; rates are in thousandths of
a core.

Tasks that compete for the same capacity form a lane: the tasks of a service
with the same label, with or without accelerators.  Best-effort tasks reserve
no processor time and use what others leave, and each of their images may use
other workers, so each image has a lane of its own.
"""

import bisect
import collections
import itertools

from fuchsiatrestle.workflows import _due_times
from fuchsiatrestle.workflows import _runs

__all__ = (
    'Demand',
    'DrainMeter',
    'LoadView',
    'RunTimeEstimates',
    'SubmissionHistory',
    'WaitingWorkTable',
    'find_lane',
)

# Window of ended tasks and of submissions.
WINDOW_MS = 60_000
# Window of the throughput of best-effort tasks, as a multiple of their mean
# run time, and its lower bound.  In a shorter one, the ends depend on when
# the tasks happened to start.
THROUGHPUT_RUN_TIMES = 3
MIN_THROUGHPUT_MS = 5000
# Number of ended tasks from which the drain rate of a lane is known.
MIN_ENDED_RUNS = 8
# The processor time in use is the largest one of this time, as it is low for
# a moment between the end of a task and the next placement.
BUSY_CPU_MEMORY_MS = 1500

# A workflow is large if its work is in the largest tenth of what the queue
# has submitted.
LARGE_QUANTILE = 0.9
MIN_SUBMISSIONS_FOR_LARGE = 20
MAX_SUBMISSIONS = 2000
QUANTILE_INTERVAL_MS = 1000
# Largest number of steps, over its occurrences, that are measured one by one
# for a workflow.
MAX_MEASURED_STEPS = 512
# Bounds of the share of the large workflows in the work of a queue.
MIN_LARGE_SHARE = 0.1
MAX_LARGE_SHARE = 0.5


class RunTimeEstimates:
    """Estimated run times of tasks.

    Args:
        run_times: the ``RunTimes`` of tasks that are done, None to use what
            callers declare.
    """

    def __init__(self, run_times):
        self._run_times = run_times

    def estimate_ms(self, queue_name, step_number, step):
        """Returns the estimated run time of a task.

        Args:
            queue_name: name of the queue.
            step_number: number of the step in its workflow.
            step: the ``Step``.
        """
        if self._run_times is None:
            return step.estimate_ms
        return self._run_times.estimate_ms(queue_name, step_number, step)


class Lane(
    collections.namedtuple('Lane', 'pool fills image label is_special')
):
    """Key of the tasks that compete for the same capacity.

    ``is_special`` is True for tasks with accelerators.
    """

    __slots__ = ()

    @property
    def is_restricted(self):
        """True if its tasks can use only part of the processor time."""
        return self.fills or bool(self.label) or self.is_special


def find_lane(pool, step):
    """Returns the ``Lane`` of a step.

    Args:
        pool: name of the service.
        step: the ``Step``.
    """
    return Lane(
        pool,
        step.fills,
        step.image if step.fills else '',
        step.label,
        step.accelerators > 0,
    )


class Demand:
    """What a workflow asks for in one occurrence.

    Args:
        queue: its ``Queue``.
        spec: its ``WorkflowSpec``.
        estimates: ``RunTimeEstimates``.

    Attributes:
        queue: its ``Queue``.
        longest_path_ms: estimated length of its longest path.
        objective_ms: time in which it should be completed.
        lanes: ``Lane`` of each step.
        task_work: work of a task of each step.
        work_by_lane: its whole work by lane.
        entry_steps: (``Lane``, ``Step``) of each step that waits for none.
    """

    __slots__ = (
        '_path_ms_from_step',
        'entry_steps',
        'lanes',
        'longest_path_ms',
        'objective_ms',
        'queue',
        'task_work',
        'work_by_lane',
    )

    def __init__(self, queue, spec, estimates):
        self.queue = queue
        self.lanes = [find_lane(queue.pool, step) for step in spec.steps]
        run_ms = [
            estimates.estimate_ms(queue.name, step_number, step)
            for step_number, step in enumerate(spec.steps)
        ]
        self.task_work = [
            max(step.cpu, 1) * step_ms
            for step, step_ms in zip(spec.steps, run_ms)
        ]
        self._path_ms_from_step = list(run_ms)
        for step_number in reversed(range(len(spec.steps))):
            for earlier in spec.steps[step_number].after:
                self._path_ms_from_step[earlier] = max(
                    self._path_ms_from_step[earlier],
                    run_ms[earlier] + self._path_ms_from_step[step_number],
                )
        self.longest_path_ms = max(self._path_ms_from_step, default=0)
        self.objective_ms = (
            queue.stretch * self.longest_path_ms + queue.target_ms
        )
        self.work_by_lane = collections.Counter()
        for step, lane, work in zip(spec.steps, self.lanes, self.task_work):
            self.work_by_lane[lane] += step.count * work
        self.entry_steps = [
            (lane, step)
            for lane, step in zip(self.lanes, spec.steps)
            if not step.after
        ]

    def find_path_ms(self, step_number):
        """Returns the estimated length of the longest path from a step on.

        Args:
            step_number: number of the step, which is part of the path.

        Returns:
            Milliseconds.
        """
        return self._path_ms_from_step[step_number]


class _EndedRuns:
    """Runs that have ended in a lane lately, with their sums.

    Attributes:
        estimated_work: estimated work of those that are done.
        used_work: processor time that all of them have reserved.
        run_ms: their run times.
    """

    __slots__ = ('_runs', 'estimated_work', 'run_ms', 'used_work')

    def __init__(self):
        self.estimated_work = 0
        self.used_work = 0
        self.run_ms = 0
        # (end, estimated work, used work, run time), the oldest first.
        self._runs = collections.deque()

    def __len__(self):
        return len(self._runs)

    def add(self, ended_ms, estimated_work, used_work, run_ms):
        """Adds a run; times are in ms."""
        self._runs.append((ended_ms, estimated_work, used_work, run_ms))
        self.estimated_work += estimated_work
        self.used_work += used_work
        self.run_ms += run_ms

    def remove_old(self, oldest_ms):
        """Removes the runs that ended up to a time since the epoch."""
        while self._runs and self._runs[0][0] <= oldest_ms:
            _, estimated_work, used_work, run_ms = self._runs.popleft()
            self.estimated_work -= estimated_work
            self.used_work -= used_work
            self.run_ms -= run_ms

    def find_drained_work(self, since_ms):
        """Returns the estimated work of runs that ended after a time."""
        drained_work = 0
        for ended_ms, estimated_work, _, _ in reversed(self._runs):
            if ended_ms <= since_ms:
                break
            drained_work += estimated_work
        return drained_work


class DrainMeter:
    """Measures how the tasks that ended compare with their estimates.

    Args:
        workflow_store: the part of the replicated state with the workflows.
        estimates: ``RunTimeEstimates``.
    """

    def __init__(self, workflow_store, estimates):
        self._workflow_store = workflow_store
        self._estimates = estimates
        self._placed_ms_by_run = {
            (live_run.task, live_run.run): live_run.placed_ms
            for live_run in workflow_store.live_runs()
        }
        self._ended_runs_by_lane = collections.defaultdict(_EndedRuns)

    def record_progress(self, command):
        """Records the runs that an agreed ``RecordProgress`` has changed."""
        for run_end in command.ends:
            placed_ms = self._placed_ms_by_run.pop(
                (run_end.task, run_end.run), None
            )
            if placed_ms and run_end.how in ('done', 'failed'):
                self._record_ended_run(run_end, command.now_ms, placed_ms)
        for lost_run in command.lost:
            self._placed_ms_by_run.pop((lost_run.task, lost_run.run), None)
        for live_run in command.placed:
            if self._workflow_store.is_live_run(live_run.task, live_run.run):
                self._placed_ms_by_run[live_run.task, live_run.run] = (
                    live_run.placed_ms
                )

    def _record_ended_run(self, run_end, now_ms, placed_ms):
        workflow = self._workflow_store.find_workflow(run_end.task.workflow_id)
        if workflow is None:
            return
        step = workflow.get_step(run_end.task)
        if step.lasts:
            return
        queue = self._workflow_store.current_queue(workflow)
        estimated_work = 0
        if run_end.how == 'done':
            estimated_work = max(step.cpu, 1) * self._estimates.estimate_ms(
                queue.name, run_end.task.step, step
            )
        run_ms = max(1, now_ms - placed_ms)
        used_work = max(step.cpu, 1) * run_ms
        self._ended_runs_by_lane[find_lane(queue.pool, step)].add(
            now_ms, estimated_work, used_work, run_ms
        )

    def find_speed(self, lane):
        """Returns the estimated work that a unit of processor time drains.

        Args:
            lane: the ``Lane``.

        Returns:
            The ratio; None while too few tasks have ended.
        """
        ended_runs = self._ended_runs_by_lane.get(lane)
        if ended_runs is None or len(ended_runs) < MIN_ENDED_RUNS:
            return None
        return ended_runs.estimated_work / ended_runs.used_work or None

    def find_throughput(self, lane, wall_ms, max_window_ms):
        """Returns the rate of the estimated work that was drained.

        Args:
            lane: the ``Lane``.
            wall_ms: time since the epoch.
            max_window_ms: longest time to be looked at.

        Returns:
            The rate; None if too few tasks have ended, or if that time is too
            short for their run times.
        """
        ended_runs = self._ended_runs_by_lane.get(lane)
        if ended_runs is None or len(ended_runs) < MIN_ENDED_RUNS:
            return None
        mean_run_ms = ended_runs.run_ms / len(ended_runs)
        window_ms = max(MIN_THROUGHPUT_MS, THROUGHPUT_RUN_TIMES * mean_run_ms)
        if window_ms > min(max_window_ms, WINDOW_MS):
            return None
        drained_work = ended_runs.find_drained_work(wall_ms - window_ms)
        return drained_work / window_ms or None

    def remove_old(self, wall_ms):
        """Forgets the tasks that ended before the window.

        Args:
            wall_ms: time since the epoch.
        """
        for lane, ended_runs in list(self._ended_runs_by_lane.items()):
            ended_runs.remove_old(wall_ms - WINDOW_MS)
            if not len(ended_runs):
                del self._ended_runs_by_lane[lane]


class SubmissionHistory:
    """What callers have submitted to a queue lately, in one lane.

    Resends and repeated attempts of a workflow count once.
    """

    def __init__(self):
        self._work_by_workflow = {}
        self._submissions = collections.deque()
        self._total_work = 0
        self._large_work = 0
        # Work from which a workflow is large.
        self._large_from = None
        self._next_quantile_ms = 0

    def record(self, workflow_id, work, now_ms):
        """Records a submission.

        Args:
            workflow_id: id of the workflow.
            work: its work.
            now_ms: monotonic time.
        """
        self._remove_old(now_ms)
        if workflow_id in self._work_by_workflow:
            return
        is_large = self.is_large(work)
        self._work_by_workflow[workflow_id] = work
        self._submissions.append((now_ms, workflow_id, work, is_large))
        self._total_work += work
        self._large_work += work * is_large
        if now_ms >= self._next_quantile_ms:
            self._next_quantile_ms = now_ms + QUANTILE_INTERVAL_MS
            self._update_quantile()

    def _remove_old(self, now_ms):
        while self._submissions and (
            self._submissions[0][0] <= now_ms - WINDOW_MS
            or len(self._submissions) >= MAX_SUBMISSIONS
        ):
            _, workflow_id, work, is_large = self._submissions.popleft()
            del self._work_by_workflow[workflow_id]
            self._total_work -= work
            self._large_work -= work * is_large

    def _update_quantile(self):
        self._large_from = None
        if len(self._work_by_workflow) < MIN_SUBMISSIONS_FOR_LARGE:
            return
        works = sorted(self._work_by_workflow.values())
        position = int(LARGE_QUANTILE * len(works))
        if works[position] == works[len(works) // 2]:
            # Few are larger than usual, or none.
            position = bisect.bisect_right(works, works[position])
        if position < len(works):
            self._large_from = works[position]

    def is_large(self, work):
        """Returns True if a workflow with this work is large."""
        return self._large_from is not None and work >= self._large_from

    def find_size_share(self, is_large):
        """Returns the share of the queue's rate for a size of workflows."""
        if self._large_from is None or not self._total_work:
            return 1.0
        large_share = self._large_work / self._total_work
        large_share = min(max(large_share, MIN_LARGE_SHARE), MAX_LARGE_SHARE)
        return large_share if is_large else 1 - large_share

    def find_demand_rate(self, now_ms):
        """Returns the rate at which work was submitted.

        Args:
            now_ms: monotonic time.
        """
        self._remove_old(now_ms)
        if not self._submissions:
            return 0
        measured_ms = max(1000, now_ms - self._submissions[0][0])
        return self._total_work / measured_ms


class _WaitingWork:
    """Work of a workflow that waits in a lane, of one occurrence or more.

    Attributes:
        lane: the ``Lane``.
        due_ms: time since the epoch before which it does not wait.
        latest_start_ms: latest start that meets its objective.
        work: its work.
        turn_work: work of one of its tasks if nothing of it runs, else 0.
        task_counts: number of tasks that may start now, by reserved processor
            time and memory.
    """

    __slots__ = (
        'due_ms',
        'lane',
        'latest_start_ms',
        'task_counts',
        'turn_work',
        'work',
    )

    def __init__(self, lane, due_ms):
        self.lane = lane
        self.due_ms = due_ms
        self.latest_start_ms = 0
        self.work = 0
        self.turn_work = 0
        self.task_counts = collections.Counter()


# Row of a workflow without a due occurrence.
_NOTHING_WAITS = (None, ())


class WaitingWorkTable:
    """Waiting work of the open workflows, updated where they have changed.

    Args:
        workflow_store: the part of the replicated state with the workflows.
        estimates: ``RunTimeEstimates``.

    Attributes:
        rows: (``Demand``, list of ``_WaitingWork``) by workflow id; the list
            is empty if nothing of the workflow is due.
    """

    def __init__(self, workflow_store, estimates):
        self.rows = {}
        self._estimates = estimates
        self._workflow_store = workflow_store
        self._changed_ids = set()
        self._due_times = _due_times.DueTimes()

    def record_changes(self, workflow_ids):
        """Records that the tasks of workflows have changed."""
        self._changed_ids.update(workflow_ids)

    def clear(self):
        """Drops all rows; the next ``update`` measures every workflow."""
        self.rows.clear()

    def update(self, sharing_run_counts, wall_ms):
        """Measures the workflows that are new, have changed or became due.

        Args:
            sharing_run_counts: number of the best-effort runs that share
                processor time at a low pace, by workflow id, occurrence and
                step number; most of their work still waits.
            wall_ms: time since the epoch.
        """
        open_workflows = self._workflow_store.open_workflows
        for workflow_id in self.rows.keys() - open_workflows.keys():
            del self.rows[workflow_id]
            self._due_times.set(workflow_id, None)
        sharing_ids = {workflow_id for workflow_id, _, _ in sharing_run_counts}
        changed_ids = self._changed_ids | sharing_ids
        changed_ids.update(self._due_times.pop_due(wall_ms))
        # Those that share now have to be measured again when they do not.
        self._changed_ids = sharing_ids
        changed_ids &= open_workflows.keys()
        for workflow_id in changed_ids | (
            open_workflows.keys() - self.rows.keys()
        ):
            self._measure(
                open_workflows[workflow_id], sharing_run_counts, wall_ms
            )

    def _measure(self, workflow, sharing_run_counts, wall_ms):
        """Measures the occurrences of a workflow that are due.

        The first ones are measured one by one, the others are taken to wait
        as a whole.
        """
        self._wait_until_due(workflow, wall_ms)
        remaining_count = workflow.count_open_due_occurrences(wall_ms)
        if not remaining_count:
            # Callers may submit thousands that are due much later.
            self.rows[workflow.workflow_id] = _NOTHING_WAITS
            return
        demand = Demand(
            self._workflow_store.current_queue(workflow),
            workflow.spec,
            self._estimates,
        )
        waiting_works = []
        occurrence = workflow.find_open_occurrence(0)
        step_count = max(1, len(workflow.spec.steps))
        for _ in range(max(1, MAX_MEASURED_STEPS // step_count)):
            if not remaining_count or occurrence is None:
                break
            waiting_works += _find_waiting_work(
                workflow, occurrence, demand, sharing_run_counts
            )
            remaining_count -= 1
            occurrence = workflow.find_open_occurrence(occurrence + 1)
        if remaining_count and occurrence is not None:
            waiting_works += _find_whole_work(
                workflow, occurrence, demand, remaining_count
            )
        self.rows[workflow.workflow_id] = (demand, waiting_works)

    def _wait_until_due(self, workflow, wall_ms):
        """Has a workflow measured again when its next occurrence is due."""
        spec = workflow.spec
        due_ms = None
        occurrence = 0
        waited_ms = wall_ms - spec.due_ms(0)
        if waited_ms >= 0 and spec.interval_ms > 0:
            occurrence = waited_ms // spec.interval_ms + 1
        if waited_ms < 0 or 0 < occurrence < len(workflow.occurrences):
            due_ms = spec.due_ms(occurrence)
        self._due_times.set(workflow.workflow_id, due_ms)


def _find_waiting_work(workflow, occurrence, demand, sharing_run_counts):
    """Returns the ``_WaitingWork`` of an occurrence, one for each lane."""
    due_ms = workflow.spec.due_ms(occurrence)
    waiting_by_lane = {}
    path_ms = 0
    gets_turn = not workflow.is_running
    for step_number, step in enumerate(workflow.spec.steps):
        if step.lasts or workflow.is_step_done(occurrence, step_number):
            continue
        path_ms = max(path_ms, demand.find_path_ms(step_number))
        task_count = workflow.count_waiting_tasks(occurrence, step_number)
        task_count += sharing_run_counts[
            workflow.workflow_id, occurrence, step_number
        ]
        if not task_count:
            continue
        lane = demand.lanes[step_number]
        waiting_work = waiting_by_lane.setdefault(
            lane, _WaitingWork(lane, due_ms)
        )
        task_work = demand.task_work[step_number]
        waiting_work.work += task_count * task_work
        if workflow.is_step_ready(occurrence, step_number):
            waiting_work.task_counts[step.cpu, step.memory_mb] += task_count
            if gets_turn and not waiting_work.turn_work:
                waiting_work.turn_work = task_work
    latest_start_ms = (
        (due_ms or workflow.submitted_ms) + demand.objective_ms - path_ms
    )
    for waiting_work in waiting_by_lane.values():
        waiting_work.latest_start_ms = latest_start_ms
    return waiting_by_lane.values()


def _find_whole_work(workflow, occurrence, demand, occurrence_count):
    """Returns the ``_WaitingWork`` of occurrences of which nothing has run.

    Args:
        workflow: the ``Workflow``.
        occurrence: number of the first of them, the one to start first.
        demand: its ``Demand``.
        occurrence_count: their number.
    """
    due_ms = workflow.spec.due_ms(occurrence)
    waiting_by_lane = {}
    for step_number, step in enumerate(workflow.spec.steps):
        if step.lasts:
            continue
        lane = demand.lanes[step_number]
        waiting_work = waiting_by_lane.setdefault(
            lane, _WaitingWork(lane, due_ms)
        )
        task_count = occurrence_count * step.count
        waiting_work.work += task_count * demand.task_work[step_number]
        if not step.after:
            waiting_work.task_counts[step.cpu, step.memory_mb] += task_count
    for waiting_work in waiting_by_lane.values():
        waiting_work.latest_start_ms = (
            due_ms + demand.objective_ms - demand.longest_path_ms
        )
    return waiting_by_lane.values()


class _QueueLoad:
    """Waiting work of a queue in one lane, of large workflows or the others.

    Attributes:
        total_work: all of it.
    """

    def __init__(self):
        self.total_work = 0
        # Latest start, and work beyond that of its turn, of each workflow
        # that is in time; sorted by the start when they are read first.
        self._in_time = []
        self._starts_ms = None
        self._work_before = None
        self._turn_work = 0

    def add(self, waiting_work, wall_ms):
        """Adds the ``_WaitingWork`` of a workflow."""
        self.total_work += waiting_work.work
        self._turn_work += waiting_work.turn_work
        if waiting_work.latest_start_ms >= wall_ms:
            self._in_time.append(
                (
                    waiting_work.latest_start_ms,
                    waiting_work.work - waiting_work.turn_work,
                )
            )

    def find_work_before(self, latest_start_ms):
        """Returns the work that is placed before a workflow that is in time.

        That is the work of workflows in time that have to start earlier, and
        one task of any other of which nothing runs.

        Args:
            latest_start_ms: latest start that meets its objective.
        """
        if self._starts_ms is None:
            self._in_time.sort()
            self._starts_ms = [start_ms for start_ms, _ in self._in_time]
            self._work_before = list(
                itertools.accumulate(
                    (work for _, work in self._in_time), initial=0
                )
            )
        position = bisect.bisect_right(self._starts_ms, latest_start_ms)
        return self._turn_work + self._work_before[position]


class LoadView:
    """The waiting work and the processor time in use, at one time.

    Args:
        dispatch_state: ``DispatchState``.
        histories: ``SubmissionHistory`` by queue name and lane.
        waiting_work_table: ``WaitingWorkTable``; it is updated.
        wall_ms: time since the epoch.

    Attributes:
        made_ms: monotonic time of the view.
        busy_cpu_by_lane: processor time of the runs on workers that answer.
        waiting_lanes: set of the lanes in which work waits.
    """

    def __init__(self, dispatch_state, histories, waiting_work_table, wall_ms):
        self.made_ms = dispatch_state.now_ms
        self._dispatch_state = dispatch_state
        self.busy_cpu_by_lane = collections.Counter()
        # By lane, and reserved processor time and memory.
        self._task_counts_by_lane = collections.defaultdict(
            collections.Counter
        )
        # By lane, name of the queue and whether the workflows are large.
        self._queue_loads = collections.defaultdict(_QueueLoad)
        waiting_work_table.update(self._count_runs(), wall_ms)
        for demand, waiting_works in waiting_work_table.rows.values():
            for waiting_work in waiting_works:
                if waiting_work.due_ms <= wall_ms:
                    history = histories.get(
                        (demand.queue.name, waiting_work.lane)
                    )
                    self._add_waiting_work(
                        demand, waiting_work, history, wall_ms
                    )
        self.waiting_lanes = {lane for lane, _, _ in self._queue_loads}

    def _count_runs(self):
        """Adds up the processor time in use.

        Returns:
            The number of runs that share it, see ``WaitingWorkTable``.
        """
        sharing_run_counts = collections.Counter()
        for worker in self._dispatch_state.fleet:
            if worker.is_unresponsive or worker.last_announced_ms is None:
                continue
            for run in worker.runs.values():
                if run.step is not None and not run.step.lasts:
                    lane = find_lane(worker.record.pool, run.step)
                    self.busy_cpu_by_lane[lane] += max(run.step.cpu, 1)
                if run.shares_cpu:
                    step_key = _runs.make_step_key(run.live_run.task)
                    sharing_run_counts[step_key] += 1
        return sharing_run_counts

    def _add_waiting_work(self, demand, waiting_work, history, wall_ms):
        lane = waiting_work.lane
        is_large = history is not None and history.is_large(
            demand.work_by_lane[lane]
        )
        self._queue_loads[lane, demand.queue.name, is_large].add(
            waiting_work, wall_ms
        )
        for needs, task_count in waiting_work.task_counts.items():
            self._task_counts_by_lane[lane][needs] += task_count

    def find_queue_load(self, lane, queue_name, is_large):
        """Returns the ``_QueueLoad`` of a queue in a lane, or None."""
        return self._queue_loads.get((lane, queue_name, is_large))

    def list_waiting_queues(self, lane):
        """Returns the set of names of the queues whose work waits."""
        return {
            queue_name
            for other_lane, queue_name, _ in self._queue_loads
            if other_lane == lane
        }

    def has_free_room(self, lane, step, added_task_count):
        """True if workers have room for a task beside those that wait.

        Of the waiting tasks, those that need no more than the step would take
        that room.

        Args:
            lane: the ``Lane`` of the step.
            step: the ``Step``.
            added_task_count: number of further waiting tasks.
        """
        waiting_count = added_task_count + sum(
            task_count
            for (cpu, memory_mb), task_count in self._task_counts_by_lane[
                lane
            ].items()
            if cpu <= step.cpu and memory_mb <= step.memory_mb
        )
        room_count = 0
        for worker in self._dispatch_state.fleet.usable_workers(
            lane.pool, self._dispatch_state.now_ms
        ):
            if lane.label and lane.label not in worker.record.labels:
                continue
            room_count += _count_rooms(step, worker.capacity)
            if room_count > waiting_count:
                return True
        return False


def _count_rooms(step, capacity):
    """Returns how many tasks of a step fit into a free capacity."""
    free_cpu = capacity.unused_cpu if step.fills else capacity.free_cpu
    count = capacity.count_fitting_tasks(step, free_cpu)
    return step.count if count is None else count
