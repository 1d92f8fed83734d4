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

__all__ = (
    'Demand',
    'DrainMeter',
    'LoadView',
    'SubmissionHistory',
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
# Bounds of the share of the large workflows in the work of a queue.
MIN_LARGE_SHARE = 0.1
MAX_LARGE_SHARE = 0.5


def estimate_run_ms(queue_name, step_number, step):
    """Returns the estimated run time of a task.

    Args:
        queue_name: name of the queue.
        step_number: number of the step in its workflow.
        step: the ``Step``.
    """
    return step.estimate_ms


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

    def __init__(self, queue, spec):
        self.queue = queue
        self.lanes = [find_lane(queue.pool, step) for step in spec.steps]
        run_ms = [
            estimate_run_ms(queue.name, step_number, step)
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

    def path_ms_from_step(self, step_number):
        """Returns the longest path from the start of a step to the end."""
        return self._path_ms_from_step[step_number]


class DrainMeter:
    """Measures how the tasks that ended compare with their estimates.

    Args:
        workflow_store: the part of the replicated state with the workflows.
    """

    def __init__(self, workflow_store):
        self._workflow_store = workflow_store
        self._placed_ms_by_run = {
            (live_run.task, live_run.run): live_run.placed_ms
            for live_run in workflow_store.live_runs()
        }
        # (end, estimated work, reserved processor time, run time) by lane, the
        # oldest first.
        self._ended_runs_by_lane = collections.defaultdict(collections.deque)

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
            estimated_work = max(step.cpu, 1) * estimate_run_ms(
                queue.name, run_end.task.step, step
            )
        run_ms = max(1, now_ms - placed_ms)
        used_work = max(step.cpu, 1) * run_ms
        self._ended_runs_by_lane[find_lane(queue.pool, step)].append(
            (now_ms, estimated_work, used_work, run_ms)
        )

    def find_speed(self, lane, wall_ms):
        """Returns the estimated work that a unit of processor time drains.

        Args:
            lane: the ``Lane``.
            wall_ms: time since the epoch.

        Returns:
            The ratio; None while too few tasks have ended.
        """
        ended_runs = self._find_ended_runs(lane, wall_ms)
        if len(ended_runs) < MIN_ENDED_RUNS:
            return None
        estimated_work = sum(work for _, work, _, _ in ended_runs)
        used_work = sum(work for _, _, work, _ in ended_runs)
        return estimated_work / used_work or None

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
        ended_runs = self._find_ended_runs(lane, wall_ms)
        if len(ended_runs) < MIN_ENDED_RUNS:
            return None
        mean_run_ms = sum(ms for _, _, _, ms in ended_runs) / len(ended_runs)
        window_ms = max(MIN_THROUGHPUT_MS, THROUGHPUT_RUN_TIMES * mean_run_ms)
        if window_ms > min(max_window_ms, WINDOW_MS):
            return None
        drained_work = sum(
            work
            for ended_ms, work, _, _ in ended_runs
            if ended_ms > wall_ms - window_ms
        )
        return drained_work / window_ms or None

    def _find_ended_runs(self, lane, wall_ms):
        ended_runs = self._ended_runs_by_lane[lane]
        while ended_runs and ended_runs[0][0] <= wall_ms - WINDOW_MS:
            ended_runs.popleft()
        return ended_runs


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
        """True for a workflow with this work if it is large."""
        return self._large_from is not None and work >= self._large_from

    def size_share(self, is_large):
        """Returns the share of the queue's rate for a size of workflows."""
        if self._large_from is None or not self._total_work:
            return 1.0
        large_share = self._large_work / self._total_work
        large_share = min(max(large_share, MIN_LARGE_SHARE), MAX_LARGE_SHARE)
        return large_share if is_large else 1 - large_share

    def demand_rate(self, now_ms):
        """Returns the rate at which work was submitted.

        Args:
            now_ms: monotonic time.
        """
        self._remove_old(now_ms)
        if not self._submissions:
            return 0
        measured_ms = max(1000, now_ms - self._submissions[0][0])
        return self._total_work / measured_ms


class _QueueLoad:
    """Waiting work of a queue in one lane, of large workflows or the others.

    Attributes:
        total_work: all of it.
    """

    def __init__(self):
        self.total_work = 0
        # (latest start, work, work of a turn) of each workflow in time.
        self._in_time = []
        self._late_turn_work = 0

    def add(self, latest_start_ms, is_late, work, turn_work):
        """Adds the waiting work of a workflow.

        Args:
            latest_start_ms: latest start that meets its objective.
            is_late: True if that time is over.
            work: its work.
            turn_work: work of one of its tasks if nothing of it runs, else 0.
        """
        self.total_work += work
        if is_late:
            self._late_turn_work += turn_work
        else:
            self._in_time.append((latest_start_ms, work, turn_work))

    def find_work_before(self, latest_start_ms):
        """Returns the work that is placed before a workflow that is in time.

        That is the work of workflows in time that have to start earlier, and
        one task of any other of which nothing runs.

        Args:
            latest_start_ms: latest start that meets its objective.
        """
        return self._late_turn_work + sum(
            work if other_start_ms <= latest_start_ms else turn_work
            for other_start_ms, work, turn_work in self._in_time
        )


class LoadView:
    """The waiting work and the processor time in use, at one time.

    Args:
        dispatch_state: ``DispatchState``.
        histories: ``SubmissionHistory`` by queue name and lane.
        demand_by_workflow: ``Demand`` by workflow id; those of new workflows
            are added and those of closed ones removed.
        wall_ms: time since the epoch.

    Attributes:
        made_ms: monotonic time of the view.
        busy_cpu_by_lane: processor time of the runs on workers that answer.
        waiting_lanes: set of the lanes in which work waits.
    """

    def __init__(self, dispatch_state, histories, demand_by_workflow, wall_ms):
        self.made_ms = dispatch_state.now_ms
        self._state = dispatch_state
        self._histories = histories
        self._waiting_tasks_by_lane = collections.defaultdict(list)
        self.busy_cpu_by_lane = collections.Counter()
        # Number of the best-effort runs of each step that share processor
        # time at a low pace; most of their work still waits.
        self._sharing_run_counts = collections.Counter()
        self._count_runs()
        # By lane, name of the queue and whether the workflows are large.
        self._queue_loads = collections.defaultdict(_QueueLoad)
        open_workflows = dispatch_state.workflow_store.open_workflows
        for workflow_id in demand_by_workflow.keys() - open_workflows.keys():
            del demand_by_workflow[workflow_id]
        for workflow_id, workflow in open_workflows.items():
            queue = dispatch_state.workflow_store.current_queue(workflow)
            demand = demand_by_workflow.get(workflow_id)
            if demand is None or demand.queue is not queue:
                demand = Demand(queue, workflow.spec)
                demand_by_workflow[workflow_id] = demand
            for occurrence in workflow.occurrences:
                self._add_waiting_work(workflow, occurrence, demand, wall_ms)
        self.waiting_lanes = {lane for lane, _, _ in self._queue_loads}

    def _count_runs(self):
        for worker in self._state.fleet:
            if worker.is_unresponsive or worker.last_announced_ms is None:
                continue
            for run in worker.runs.values():
                if run.step is not None and not run.step.lasts:
                    lane = find_lane(worker.record.pool, run.step)
                    self.busy_cpu_by_lane[lane] += max(run.step.cpu, 1)
                if run.shares_cpu:
                    task_id = run.live_run.task
                    self._sharing_run_counts[
                        task_id.workflow_id, task_id.occurrence, task_id.step
                    ] += 1

    def _add_waiting_work(self, workflow, occurrence, demand, wall_ms):
        due_ms = workflow.spec.due_ms(occurrence)
        if due_ms > wall_ms:
            return
        work_by_lane = collections.Counter()
        turn_work_by_lane = {}
        path_ms = 0
        for step_number, step in enumerate(workflow.spec.steps):
            if step.lasts or workflow.is_step_done(occurrence, step_number):
                continue
            path_ms = max(path_ms, demand.path_ms_from_step(step_number))
            count = workflow.count_waiting_tasks(occurrence, step_number)
            count += self._sharing_run_counts[
                workflow.workflow_id, occurrence, step_number
            ]
            if not count:
                continue
            lane = demand.lanes[step_number]
            work_by_lane[lane] += count * demand.task_work[step_number]
            if workflow.is_step_ready(occurrence, step_number):
                self._waiting_tasks_by_lane[lane].append((step, count))
                turn_work_by_lane.setdefault(
                    lane, demand.task_work[step_number]
                )
        latest_start_ms = (
            (due_ms or workflow.submitted_ms) + demand.objective_ms - path_ms
        )
        gets_turn = not workflow.is_running
        for lane, work in work_by_lane.items():
            history = self._histories.get((demand.queue.name, lane))
            is_large = history is not None and history.is_large(
                demand.work_by_lane[lane]
            )
            self._queue_loads[lane, demand.queue.name, is_large].add(
                latest_start_ms,
                latest_start_ms < wall_ms,
                work,
                turn_work_by_lane.get(lane, 0) if gets_turn else 0,
            )

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
            count
            for waiting_step, count in self._waiting_tasks_by_lane[lane]
            if waiting_step.cpu <= step.cpu
            and waiting_step.memory_mb <= step.memory_mb
        )
        room_count = 0
        for worker in self._state.fleet.usable_workers(
            lane.pool, self._state.now_ms
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
    needed_and_free = (
        (step.cpu, free_cpu),
        (step.memory_mb, capacity.free_memory_mb),
        (step.accelerators, capacity.free_accelerators),
    )
    return max(
        0,
        min(
            (free // needed for needed, free in needed_and_free if needed),
            default=step.count,
        ),
    )
