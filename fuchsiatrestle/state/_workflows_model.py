"""State of one workflow: its tasks, their runs and its progress."""

from fuchsiatrestle import invariants
from fuchsiatrestle import records
from fuchsiatrestle.state import _step_states
from fuchsiatrestle.state import _tasks
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import workflows

__all__ = ('CANCELLED', 'OPEN', 'Workflow', 'WorkflowRow')

# States of a workflow, as stored in snapshots.
OPEN = 'open'
COMPLETED = 'completed'
FAILED = 'failed'
CANCELLED = 'cancelled'
# Largest number of live runs of a task whose step allows copies.
MAX_LIVE_RUNS = 2

# Number of run times that are kept for a step, the latest ones.  A median of
# these is off only if eight of them are.
MAX_STEP_RUN_TIMES = 15
# With fewer run times of a step there is no median, as one straggler would
# make up half of them.
MIN_STEP_RUN_TIMES = 3

# Outcomes of starts by which a worker has begun the run.
_BEGUN_OUTCOMES = (
    commands.StartOutcome.CRASHED,
    commands.StartOutcome.SURVIVED,
)


class WorkflowRow(records.Record, tag='w'):
    """Stored form of a ``Workflow``.

    Attributes:
        workflow_id: see ``Workflow``.
        queue: see ``Workflow``.
        spec: see ``Workflow``.
        submitted_ms: see ``Workflow``.
        state: see ``Workflow``.
        tasks: the tasks to which something has happened; all in old rows.
        ready_ms: for each step of the first occurrence, then of the next ones,
            the time since which it may be started; 0 for a step that may not
            be.  Missing for the last occurrences, and for all in old rows;
            their ready steps count from the submission and the due time.
        run_ms: for each step, the latest run times of its tasks that are
            done, see ``Workflow.record_run_time``.  Empty in old rows.
        has_begun: see ``Workflow``; None in old rows.
    """

    workflow_id: str
    queue: workflows.Queue
    spec: workflows.WorkflowSpec
    submitted_ms: int
    state: str
    tasks: list[_tasks.TaskRow]
    ready_ms: list[int] = []
    run_ms: list[list[int]] = []
    has_begun: bool | None = None


class Workflow:
    """State of one submitted workflow.

    Attributes:
        workflow_id: chosen by the caller.
        queue: the queue as configured at submission.
        spec: the submitted ``WorkflowSpec``.
        submitted_ms: time of submission since the epoch.
        state: ``open``, ``completed``, ``failed`` or ``cancelled``.
        tasks: ``TaskTable``, which has the tasks of all occurrences from the
            submission on.
        has_begun: True once a worker is known to have begun a run of any task.
            The start of a run that was placed may be refused, or not be sent.
    """

    __slots__ = (
        '_dependent_steps',
        '_first_unmet_counts',
        '_live_runs',
        '_open_occurrence_count',
        '_open_occurrence_flags',
        '_open_step_count_by_occurrence',
        '_run_times_by_step_number',
        '_step_states',
        '_unmet_counts_by_occurrence',
        'has_begun',
        'queue',
        'spec',
        'state',
        'submitted_ms',
        'tasks',
        'workflow_id',
    )

    def __init__(self, workflow_id, queue, spec, submitted_ms):
        self.workflow_id = workflow_id
        self.queue = queue
        self.spec = spec
        self.submitted_ms = submitted_ms
        self.state = OPEN
        self.has_begun = False
        self.tasks = _tasks.TaskTable(workflow_id, spec)
        # By task id and run number.
        self._live_runs = {}
        # ``StepState`` by (occurrence, step number), added when it is needed
        # first.  A missing one is as at the submission.
        self._step_states = {}
        # One byte an occurrence, 1 until all of its steps are done.
        self._open_occurrence_flags = bytearray(b'\1') * len(self.occurrences)
        self._open_occurrence_count = len(self.occurrences)
        # Of the occurrences with steps that are done.
        self._open_step_count_by_occurrence = {}
        # Lists of milliseconds, by step number.
        self._run_times_by_step_number = [[] for _ in spec.steps]
        # Numbers of the steps that wait for a step, by its number, and number
        # of the steps that each waits for at the submission.
        self._dependent_steps = [[] for _ in spec.steps]
        self._first_unmet_counts = [0] * len(spec.steps)
        for step_number, step in enumerate(spec.steps):
            for earlier_number in set(step.after):
                if spec.steps[earlier_number].count:
                    self._dependent_steps[earlier_number].append(step_number)
                    self._first_unmet_counts[step_number] += 1
        # The same numbers for the occurrences with steps that are done.
        self._unmet_counts_by_occurrence = {}

    def _find_step_state(self, occurrence, step_number):
        state = self._step_states.get((occurrence, step_number))
        if state is None:
            ready_ms = None
            if self._are_earlier_steps_done(occurrence, step_number):
                ready_ms = self._find_first_ready_ms(occurrence)
            state = _step_states.StepState(
                self.spec.steps[step_number].count, ready_ms
            )
            self._step_states[occurrence, step_number] = state
        return state

    def _find_first_ready_ms(self, occurrence):
        """Returns the time before which no step of an occurrence is ready."""
        return max(self.submitted_ms, self.spec.due_ms(occurrence))

    def _are_earlier_steps_done(self, occurrence, step_number):
        """True if all steps that a step depends on are done."""
        unmet_counts = self._unmet_counts_by_occurrence.get(
            occurrence, self._first_unmet_counts
        )
        return unmet_counts[step_number] == 0

    def _list_ready_dependents(self, occurrence, step_number):
        """Returns the steps that wait for no other as a step is done.

        It has to be called once for each step that is done.
        """
        unmet_counts = self._unmet_counts_by_occurrence.get(occurrence)
        if unmet_counts is None:
            unmet_counts = list(self._first_unmet_counts)
            self._unmet_counts_by_occurrence[occurrence] = unmet_counts
        ready_steps = []
        for dependent_number in self._dependent_steps[step_number]:
            unmet_counts[dependent_number] -= 1
            if unmet_counts[dependent_number] == 0:
                ready_steps.append(dependent_number)
        return ready_steps

    # Queries

    @property
    def occurrences(self):
        """Numbers of the occurrences as a range, at least one."""
        return range(max(1, self.spec.occurrences))

    @property
    def is_open(self):
        """True while tasks of the workflow may be started."""
        return self.state == OPEN

    @property
    def public_state(self):
        """State that callers see, see ``outcomes.WorkflowOutcome``."""
        if self.state != OPEN:
            return self.state
        return 'running' if self.has_begun else 'queued'

    def task_ids(self, occurrence, step_number):
        """Returns the ids of the tasks of a step in one occurrence."""
        return [
            self.tasks.make_id(occurrence, step_number, index)
            for index in range(self.spec.steps[step_number].count)
        ]

    def waiting_task_ids(self, occurrence, step_number, max_count=None):
        """Returns the ids of the tasks of a step that wait for a worker.

        Args:
            occurrence: number of the occurrence.
            step_number: number of the step.
            max_count: largest number of ids, None for all.
        """
        state = self._find_step_state(occurrence, step_number)
        return [
            self.tasks.make_id(occurrence, step_number, index)
            for index in state.find_waiting(max_count)
        ]

    def find_open_occurrence(self, first_occurrence):
        """Returns the next occurrence with a step that is not done.

        Args:
            first_occurrence: number of the occurrence to begin with.

        Returns:
            Its number, None if there is none.
        """
        occurrence = self._open_occurrence_flags.find(1, first_occurrence)
        return occurrence if occurrence >= 0 else None

    def count_open_due_occurrences(self, wall_ms):
        """Returns how many occurrences are due and not done.

        Args:
            wall_ms: time since the epoch.
        """
        occurrence_count = len(self.occurrences)
        due_count = occurrence_count
        waited_ms = wall_ms - self.spec.due_ms(0)
        if waited_ms < 0:
            due_count = 0
        elif self.spec.interval_ms > 0:
            due_count = min(
                occurrence_count, waited_ms // self.spec.interval_ms + 1
            )
        done_count = occurrence_count - self._open_occurrence_count
        return max(0, due_count - done_count)

    def dependent_steps(self, step_number):
        """Returns the numbers of the steps that wait for a step."""
        return self._dependent_steps[step_number]

    def get_step(self, task_id):
        """Returns the ``Step`` that a task belongs to."""
        return self.spec.steps[task_id.step]

    def is_step_done(self, occurrence, step_number):
        """Returns True if all tasks of a step are done."""
        state = self._step_states.get((occurrence, step_number))
        if state is None:
            return self.spec.steps[step_number].count == 0
        return state.is_done

    def is_step_ready(self, occurrence, step_number):
        """Returns True if all steps that a step depends on are done."""
        state = self._find_step_state(occurrence, step_number)
        return state.ready_ms is not None

    def find_gang_checkpoint(self, occurrence, step_number):
        """Returns the checkpoint for the next run of a gang, or empty.

        That of any member is valid for all.  Replicas may know different ones;
        the one that a leader places the gang with is agreed.
        """
        return self._find_step_state(occurrence, step_number).checkpoint

    def has_live_run(self, occurrence, step_number):
        """Returns True if a run of a step may be executing."""
        state = self._step_states.get((occurrence, step_number))
        return state is not None and state.live_run_count > 0

    def count_waiting_tasks(self, occurrence, step_number):
        """Returns the number of tasks of a step that wait for a worker.

        Further runs of a task that has several may count for other tasks.
        """
        state = self._find_step_state(occurrence, step_number)
        return max(0, state.unfinished_count - state.live_run_count)

    def idle_since_ms(self, occurrence, step_number):
        """Returns since when a step could run and nothing of it was executing.

        That is the latest of these times: the submission, the due time of the
        occurrence, the end of the steps that it depends on, and the end of
        its last live run.  A run that certainly never ran does not count.
        All replicas give the same time, but for ends before a snapshot that
        an older build has written.

        Args:
            occurrence: number of the occurrence.
            step_number: number of the step.

        Returns:
            Milliseconds since the epoch.  The time of a due occurrence may
            still come.  None if a run of the step may be executing, if a step
            that it depends on is not done, or if the step is done.
        """
        state = self._find_step_state(occurrence, step_number)
        if state.live_run_count or state.is_done or state.ready_ms is None:
            return None
        return max(state.ready_ms, state.last_run_end_ms)

    def task_idle_since_ms(self, task_id):
        """Returns since when a task could run and no run of it was executing.

        It is the time of ``idle_since_ms`` for one task instead of a step.

        Args:
            task_id: id of a task of the workflow.

        Returns:
            Milliseconds since the epoch.  None if a run of the task may be
            executing, if a step that it depends on is not done, or if the
            task is done.
        """
        task = self.tasks[task_id]
        state = self._find_step_state(task_id.occurrence, task_id.step)
        if not task.is_waiting or state.ready_ms is None:
            return None
        return max(state.ready_ms, task.last_run_end_ms)

    def median_run_ms(self, step_number):
        """Returns the median run time of the tasks of a step that are done.

        The latest of all occurrences count.  While more tasks of the first
        occurrence are executing than are done, those that are done are the
        shortest ones of the step, and there is no median.

        Args:
            step_number: number of the step.

        Returns:
            Milliseconds, None if too few tasks are done.
        """
        run_times_ms = self._run_times_by_step_number[step_number]
        if len(run_times_ms) < MIN_STEP_RUN_TIMES:
            return None
        state = self._find_step_state(0, step_number)
        done_count = (
            self.spec.steps[step_number].count - state.unfinished_count
        )
        if done_count < state.live_run_count:
            return None
        return sorted(run_times_ms)[len(run_times_ms) // 2]

    @property
    def is_running(self):
        """True if a run of any of its tasks may be executing."""
        return bool(self._live_runs)

    def may_place(self, placement):
        """Returns True if a run may be placed now.

        Its number must follow that of the latest run, and another run of the
        task must not be live, unless the step allows copies and there is one
        such run only.

        Args:
            placement: the ``LiveRun`` to be placed.
        """
        task = self.tasks.get(placement.task)
        if task is None or not self.is_open or task.is_done:
            return False
        if task.live_runs and not self.may_copy(placement.task):
            return False
        return placement.run == task.last_run_number + 1

    def may_copy(self, task_id):
        """Returns True if a task with a live run may get another one.

        The members of a gang run under one number.  Long-running and
        best-effort tasks have no end that a second run could bring forward.

        Args:
            task_id: id of a task of the workflow.
        """
        step = self.get_step(task_id)
        if not step.copies or step.gang or step.lasts or step.fills:
            return False
        return len(self.tasks[task_id].live_runs) < MAX_LIVE_RUNS

    def live_runs(self):
        """Returns the ``LiveRun`` of each run that may be executing."""
        return list(self._live_runs.values())

    # Commands

    def place_run(self, placement):
        """Stores as live a run that is about to be started.

        Args:
            placement: the ``LiveRun`` to be placed.

        Raises:
            errors.InvariantBreach: ``may_place`` is False for the run.
        """
        invariants.require(
            self.may_place(placement),
            'workflow.placed_once',
            task=placement.task,
            run=placement.run,
        )
        task = self.tasks[placement.task]
        task.last_run_number = placement.run
        task.live_runs[placement.run] = placement
        self._live_runs[placement.task, placement.run] = placement
        state = self._find_step_state(
            placement.task.occurrence, placement.task.step
        )
        state.live_run_count += 1
        state.set_waiting(placement.task.index, False)

    def move_run(self, live_run):
        """Replaces a live run by the one with its present process.

        Args:
            live_run: the ``LiveRun``; one that isn't live is ignored.
        """
        task = self.tasks.get(live_run.task)
        if task is not None and live_run.run in task.live_runs:
            task.live_runs[live_run.run] = live_run
            self._live_runs[live_run.task, live_run.run] = live_run
            self.has_begun = True

    def record_survival(self, live_run):
        """Records that a run has shown to be harmless to its worker.

        Args:
            live_run: the ``LiveRun``; one that isn't live is ignored.
        """
        task = self.tasks.get(live_run.task)
        if task is not None and live_run.run in task.live_runs:
            task.record_start_outcome(commands.StartOutcome.SURVIVED)
            self.has_begun = True

    def end_run(self, task_id, run_number, checkpoint, now_ms):
        """Removes a run that a worker reports as ended, but not as done.

        Args:
            task_id: id of the task; an unknown one is ignored.
            run_number: number of the run.
            checkpoint: progress that the run saved, or empty.
            now_ms: agreed time of the end.
        """
        task = self.tasks.get(task_id)
        if task is None:
            return
        self._remove_run(task_id, run_number, checkpoint, now_ms)
        task.record_start_outcome(commands.StartOutcome.SURVIVED)
        self.has_begun = True

    def lose_run(self, lost_run, now_ms):
        """Removes a run that has ended without a report of its worker.

        The workflow fails if the task is given up because it crashes its
        workers, also if the task lasts.

        Args:
            lost_run: the ``RunLost``; one that isn't live is ignored.
            now_ms: agreed time of the loss.
        """
        task = self.tasks.get(lost_run.task)
        if task is None or lost_run.run not in task.live_runs:
            return
        worker = task.live_runs[lost_run.run].worker
        self._remove_run(
            lost_run.task,
            lost_run.run,
            lost_run.checkpoint,
            None if lost_run.never_ran else now_ms,
        )
        task.record_loss(worker, lost_run.start_outcome)
        if lost_run.start_outcome in _BEGUN_OUTCOMES:
            self.has_begun = True
        if self.state == OPEN and not task.is_done and task.crashes_workers:
            self.state = FAILED

    def record_run_time(self, step_number, run_ms):
        """Records the run time of a task that is done.

        Args:
            step_number: number of the step.
            run_ms: run time of the whole task, in milliseconds.
        """
        run_times_ms = self._run_times_by_step_number[step_number]
        run_times_ms.append(run_ms)
        del run_times_ms[:-MAX_STEP_RUN_TIMES]

    def finish_task(self, task_id, run_number, now_ms):
        """Marks a task as done by a run.

        If the step is a gang, the tasks of all its members are marked.  The
        workflow is completed when all its tasks are done.

        Args:
            task_id: id of the task.
            run_number: number of the run.
            now_ms: agreed time of the end.
        """
        self.has_begun = True
        step = self.get_step(task_id)
        member_ids = [task_id]
        if step.gang and not self.is_step_done(
            task_id.occurrence, task_id.step
        ):
            member_ids = self.task_ids(task_id.occurrence, task_id.step)
        for member_id in member_ids:
            self._finish_member_task(member_id, run_number, now_ms)
        if self.state == OPEN and not self._open_occurrence_count:
            self.state = COMPLETED

    def fail_run(self, task_id, run_number, checkpoint, max_failures, now_ms):
        """Removes a failed run and counts its failure.

        The workflow fails when the task, or all members of its gang together,
        have failed ``max_failures`` times.  A task that lasts (see ``Step``)
        never makes its workflow fail.

        Args:
            task_id: id of the task; an unknown one is ignored.
            run_number: number of the run.
            checkpoint: progress that the run saved, or empty.
            max_failures: number of failures that make the workflow fail.
            now_ms: agreed time of the end.
        """
        task = self.tasks.get(task_id)
        if task is None:
            return
        self._remove_run(task_id, run_number, checkpoint, now_ms)
        task.record_start_outcome(commands.StartOutcome.SURVIVED)
        self.has_begun = True
        task.failures += 1
        state = self._find_step_state(task_id.occurrence, task_id.step)
        state.failure_count += 1
        step = self.get_step(task_id)
        if task.is_done or step.lasts or self.state != OPEN:
            return
        failure_count = state.failure_count if step.gang else task.failures
        if failure_count >= max_failures:
            self.state = FAILED

    def cancel(self):
        """Cancels the workflow, unless it has ended."""
        if self.state == OPEN:
            self.state = CANCELLED

    def _finish_member_task(self, task_id, run_number, now_ms):
        task = self.tasks.get(task_id)
        if task is None:
            return
        self._remove_run(task_id, run_number, '', now_ms)
        if task.is_done:
            return
        task.is_done = True
        state = self._find_step_state(task_id.occurrence, task_id.step)
        state.set_waiting(task_id.index, False)
        state.unfinished_count -= 1
        if state.is_done:
            self._record_done_step(task_id.occurrence, task_id.step, now_ms)

    def _record_done_step(self, occurrence, step_number, now_ms):
        """Records that a step is done, and which steps may be started now.

        Args:
            occurrence: number of the occurrence.
            step_number: number of the step.
            now_ms: agreed time.
        """
        for ready_number in self._list_ready_dependents(
            occurrence, step_number
        ):
            state = self._find_step_state(occurrence, ready_number)
            state.ready_ms = max(self._find_first_ready_ms(occurrence), now_ms)
        open_step_count = self._open_step_count_by_occurrence.get(occurrence)
        if open_step_count is None:
            open_step_count = sum(step.count > 0 for step in self.spec.steps)
        open_step_count -= 1
        self._open_step_count_by_occurrence[occurrence] = open_step_count
        if open_step_count == 0:
            self._open_occurrence_flags[occurrence] = 0
            self._open_occurrence_count -= 1

    def _remove_run(self, task_id, run_number, checkpoint, ended_ms):
        """Removes a live run; stores the checkpoint of the latest run only.

        Args:
            task_id: id of a task of the workflow.
            run_number: number of the run, which may not be live any more.
            checkpoint: progress that the run saved, or empty.
            ended_ms: agreed time of its end, None if it certainly never ran.
        """
        task = self.tasks[task_id]
        live_run = task.live_runs.pop(run_number, None)
        if checkpoint and run_number == task.last_run_number:
            task.checkpoint = checkpoint
            state = self._find_step_state(task_id.occurrence, task_id.step)
            state.checkpoint = checkpoint
        if live_run is None:
            return
        del self._live_runs[task_id, run_number]
        state = self._find_step_state(task_id.occurrence, task_id.step)
        state.live_run_count -= 1
        state.set_waiting(task_id.index, task.is_waiting)
        if ended_ms is not None:
            task.last_run_end_ms = max(task.last_run_end_ms, ended_ms)
            state.record_run_end(ended_ms)

    # Snapshots

    def to_row(self):
        """Returns the stored form of the workflow."""
        task_rows = self.tasks.to_rows()
        last_occurrence = task_rows[-1].task.occurrence if task_rows else -1
        return WorkflowRow(
            self.workflow_id,
            self.queue,
            self.spec,
            self.submitted_ms,
            self.state,
            task_rows,
            [
                self._find_stored_ready_ms(occurrence, step_number)
                for occurrence in range(last_occurrence + 1)
                for step_number in range(len(self.spec.steps))
            ],
            [list(times_ms) for times_ms in self._run_times_by_step_number],
            self.has_begun,
        )

    def _find_stored_ready_ms(self, occurrence, step_number):
        """Returns the ready time of a step as in ``WorkflowRow``."""
        state = self._step_states.get((occurrence, step_number))
        if state is not None:
            return state.ready_ms or 0
        if self._are_earlier_steps_done(occurrence, step_number):
            return self._find_first_ready_ms(occurrence)
        return 0

    @classmethod
    def from_row(cls, row):
        """Returns the ``Workflow`` for its stored form."""
        workflow = cls(row.workflow_id, row.queue, row.spec, row.submitted_ms)
        workflow.state = row.state
        workflow.has_begun = row.has_begun
        if row.has_begun is None:
            workflow.has_begun = any(map(_has_ended_run, row.tasks))
        touched_rows = [
            task_row for task_row in row.tasks if not task_row.is_untouched
        ]
        for task_row in touched_rows:
            workflow._restore_task(task_row)
        for occurrence in {task.task.occurrence for task in touched_rows}:
            workflow._restore_occurrence(occurrence, row.ready_ms)
        for step_number, run_times_ms in enumerate(row.run_ms):
            workflow._run_times_by_step_number[step_number] = list(
                run_times_ms
            )
        return workflow

    def _restore_task(self, row):
        task = self.tasks.restore(row)
        for live_run in row.live:
            self._live_runs[row.task, live_run.run] = live_run
        state = self._find_step_state(row.task.occurrence, row.task.step)
        if row.done:
            state.unfinished_count -= 1
        state.live_run_count += len(row.live)
        state.failure_count += row.failures
        state.checkpoint = row.checkpoint or state.checkpoint
        state.set_waiting(row.task.index, task.is_waiting)
        state.record_run_end(row.last_run_end_ms)

    def _restore_occurrence(self, occurrence, ready_times_ms):
        """Restores what follows from the tasks of an occurrence.

        Args:
            occurrence: number of the occurrence.
            ready_times_ms: the stored times, see ``WorkflowRow``.
        """
        first_ready_ms = self._find_first_ready_ms(occurrence)
        first_position = occurrence * len(self.spec.steps)
        for step_number, step in enumerate(self.spec.steps):
            if step.count and self.is_step_done(occurrence, step_number):
                self._list_ready_dependents(occurrence, step_number)
        open_step_count = 0
        for step_number in range(len(self.spec.steps)):
            state = self._find_step_state(occurrence, step_number)
            open_step_count += not state.is_done
            state.ready_ms = None
            if self._are_earlier_steps_done(occurrence, step_number):
                position = first_position + step_number
                known_ms = ready_times_ms[position : position + 1]
                state.ready_ms = max([first_ready_ms, *known_ms])
        self._open_step_count_by_occurrence[occurrence] = open_step_count
        if not open_step_count:
            self._open_occurrence_flags[occurrence] = 0
            self._open_occurrence_count -= 1


def _has_ended_run(row):
    """True if the ``TaskRow`` shows that a run of the task has ended."""
    return row.done or row.failures > 0 or row.last_run_end_ms > 0
