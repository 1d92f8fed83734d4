"""State of one workflow: its tasks, their runs and its progress."""

from fuchsiatrestle import invariants
from fuchsiatrestle import records
from fuchsiatrestle.state import _crash_counts
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import workflows

__all__ = ('OPEN', 'Task', 'Workflow', 'WorkflowRow')

# States of a workflow, as stored in snapshots.
OPEN = 'open'
COMPLETED = 'completed'
FAILED = 'failed'
CANCELLED = 'cancelled'


class _TaskRow(records.Record, tag='t'):
    """Stored form of a ``Task`` with its id."""

    task: workflows.TaskId
    last_run: int
    failures: int
    done: bool
    checkpoint: str
    live: list[workflows.LiveRun]
    worker_crashes: int = 0
    possible_worker_crashes: int = 0


class WorkflowRow(records.Record, tag='w'):
    """Stored form of a ``Workflow``."""

    workflow_id: str
    queue: workflows.Queue
    spec: workflows.WorkflowSpec
    submitted_ms: int
    state: str
    tasks: list[_TaskRow]


class Task(_crash_counts.CrashCounts):
    """State of one task of a workflow.

    Attributes:
        last_run_number: number of its latest run, 0 before the first.
        failures: number of runs that ended as failed.
        is_done: True once a run has ended as done.
        checkpoint: latest progress that a run saved, or empty.
        live_runs: ``LiveRun`` by run number, for the runs that may be
            executing.
        worker_crashes: number of workers that crashed when they started it,
            since its last harmless run.
        possible_worker_crashes: the same, with those that may have crashed
            because of it.
    """

    __slots__ = (
        'checkpoint',
        'failures',
        'is_done',
        'last_run_number',
        'live_runs',
        'possible_worker_crashes',
        'worker_crashes',
    )

    def __init__(
        self,
        last_run_number=0,
        failures=0,
        is_done=False,
        checkpoint='',
        live_runs=(),
        worker_crashes=0,
        possible_worker_crashes=0,
    ):
        self.last_run_number = last_run_number
        self.failures = failures
        self.is_done = is_done
        self.checkpoint = checkpoint
        self.live_runs = {run.run: run for run in live_runs}
        self.worker_crashes = worker_crashes
        self.possible_worker_crashes = possible_worker_crashes


class Workflow:
    """State of one submitted workflow.

    Attributes:
        workflow_id: chosen by the caller.
        queue: the queue as configured at submission.
        spec: the submitted ``WorkflowSpec``.
        submitted_ms: time of submission since the epoch.
        state: ``open``, ``completed``, ``failed`` or ``cancelled``.
        tasks: ``Task`` by ``TaskId``; those of all occurrences and steps exist
            from the submission on.
    """

    __slots__ = (
        '_task_ids_by_step',
        '_unfinished_count_by_step',
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
        self.tasks = {}
        self._unfinished_count_by_step = {}
        self._task_ids_by_step = {}
        for occurrence in self.occurrences:
            for step_number, step in enumerate(spec.steps):
                self._add_tasks(occurrence, step_number, step.count)

    def _add_tasks(self, occurrence, step_number, task_count):
        task_ids = tuple(
            workflows.TaskId(self.workflow_id, occurrence, step_number, index)
            for index in range(task_count)
        )
        self._unfinished_count_by_step[occurrence, step_number] = task_count
        self._task_ids_by_step[occurrence, step_number] = task_ids
        self.tasks.update({task_id: Task() for task_id in task_ids})

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
    def has_started(self):
        """True once a run of any task has been placed."""
        return any(task.last_run_number for task in self.tasks.values())

    @property
    def public_state(self):
        """State that callers see, see ``outcomes.WorkflowOutcome``."""
        if self.state != OPEN:
            return self.state
        return 'running' if self.has_started else 'queued'

    def task_ids(self, occurrence, step_number):
        """Returns the ids of the tasks of a step in one occurrence."""
        return self._task_ids_by_step[occurrence, step_number]

    def get_step(self, task_id):
        """Returns the ``Step`` that a task belongs to."""
        return self.spec.steps[task_id.step]

    def is_step_done(self, occurrence, step_number):
        """Returns True if all tasks of a step are done."""
        return self._unfinished_count_by_step[occurrence, step_number] == 0

    def is_step_ready(self, occurrence, step_number):
        """Returns True if all steps that a step depends on are done."""
        return all(
            self.is_step_done(occurrence, earlier_step_number)
            for earlier_step_number in self.spec.steps[step_number].after
        )

    def has_live_run(self, occurrence, step_number):
        """Returns True if a run of a step may be executing."""
        return any(
            self.tasks[task_id].live_runs
            for task_id in self.task_ids(occurrence, step_number)
        )

    @property
    def is_running(self):
        """True if a run of any of its tasks may be executing."""
        return any(task.live_runs for task in self.tasks.values())

    def may_place(self, placement):
        """Returns True if a run may be placed now.

        Its number must follow that of the latest run, and another run of the
        task must not be live, unless the step allows copies.

        Args:
            placement: the ``LiveRun`` to be placed.
        """
        task = self.tasks.get(placement.task)
        if task is None or not self.is_open or task.is_done:
            return False
        if task.live_runs and not self.get_step(placement.task).copies:
            return False
        return placement.run == task.last_run_number + 1

    def live_runs(self):
        """Returns the ``LiveRun`` of each run that may be executing."""
        return [
            run
            for task in self.tasks.values()
            for run in task.live_runs.values()
        ]

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

    def move_run(self, live_run):
        """Replaces a live run by the one with its present process.

        Args:
            live_run: the ``LiveRun``; one that isn't live is ignored.
        """
        task = self.tasks.get(live_run.task)
        if task is not None and live_run.run in task.live_runs:
            task.live_runs[live_run.run] = live_run

    def record_survival(self, live_run):
        """Records that a run has shown to be harmless to its worker.

        Args:
            live_run: the ``LiveRun``; one that isn't live is ignored.
        """
        task = self.tasks.get(live_run.task)
        if task is not None and live_run.run in task.live_runs:
            task.record_start_outcome(commands.StartOutcome.SURVIVED)

    def end_run(self, task_id, run_number, checkpoint):
        """Removes a run that a worker reports as ended, but not as done.

        Args:
            task_id: id of the task; an unknown one is ignored.
            run_number: number of the run.
            checkpoint: progress that the run saved, or empty.
        """
        task = self.tasks.get(task_id)
        if task is None:
            return
        self._remove_run(task, run_number, checkpoint)
        task.record_start_outcome(commands.StartOutcome.SURVIVED)

    def lose_run(self, task_id, run_number, checkpoint, start_outcome):
        """Removes a run that has ended without a report of its worker.

        The workflow fails if the task is given up because it crashes its
        workers, also if the task lasts.

        Args:
            task_id: id of the task; an unknown one is ignored.
            run_number: number of the run; one that isn't live is ignored.
            checkpoint: progress that the run saved, or empty.
            start_outcome: one of ``commands.StartOutcome``.
        """
        task = self.tasks.get(task_id)
        if task is None or run_number not in task.live_runs:
            return
        self._remove_run(task, run_number, checkpoint)
        task.record_start_outcome(start_outcome)
        if self.state == OPEN and not task.is_done and task.crashes_workers:
            self.state = FAILED

    def finish_task(self, task_id, run_number):
        """Marks a task as done by a run.

        If the step is a gang, the tasks of all its members are marked.  The
        workflow is completed when all its tasks are done.
        """
        step = self.get_step(task_id)
        member_ids = [task_id]
        if step.gang:
            member_ids = self.task_ids(task_id.occurrence, task_id.step)
        for member_id in member_ids:
            self._finish_member_task(member_id, run_number)
        if self.state == OPEN and not any(
            self._unfinished_count_by_step.values()
        ):
            self.state = COMPLETED

    def fail_run(self, task_id, run_number, checkpoint, max_failures):
        """Removes a failed run and counts its failure.

        The workflow fails when the task, or all members of its gang together,
        have failed ``max_failures`` times.  A task that lasts (see ``Step``)
        never makes its workflow fail.

        Args:
            task_id: id of the task; an unknown one is ignored.
            run_number: number of the run.
            checkpoint: progress that the run saved, or empty.
            max_failures: number of failures that make the workflow fail.
        """
        task = self.tasks.get(task_id)
        if task is None:
            return
        self._remove_run(task, run_number, checkpoint)
        task.record_start_outcome(commands.StartOutcome.SURVIVED)
        task.failures += 1
        step = self.get_step(task_id)
        if task.is_done or step.lasts or self.state != OPEN:
            return
        if self._count_failures(task_id, step) >= max_failures:
            self.state = FAILED

    def cancel(self):
        """Cancels the workflow, unless it has ended."""
        if self.state == OPEN:
            self.state = CANCELLED

    def _count_failures(self, task_id, step):
        if not step.gang:
            return self.tasks[task_id].failures
        member_ids = self.task_ids(task_id.occurrence, task_id.step)
        return sum(self.tasks[member_id].failures for member_id in member_ids)

    def _finish_member_task(self, task_id, run_number):
        task = self.tasks.get(task_id)
        if task is None:
            return
        self._remove_run(task, run_number, '')
        if not task.is_done:
            task.is_done = True
            self._unfinished_count_by_step[
                task_id.occurrence, task_id.step
            ] -= 1

    @staticmethod
    def _remove_run(task, run_number, checkpoint):
        """Removes a live run; stores the checkpoint of the latest run only."""
        task.live_runs.pop(run_number, None)
        if checkpoint and run_number == task.last_run_number:
            task.checkpoint = checkpoint

    # Snapshots

    def to_row(self):
        """Returns the stored form of the workflow."""
        tasks = [
            _TaskRow(
                task_id,
                task.last_run_number,
                task.failures,
                task.is_done,
                task.checkpoint,
                list(task.live_runs.values()),
                task.worker_crashes,
                task.possible_worker_crashes,
            )
            for task_id, task in self.tasks.items()
        ]
        return WorkflowRow(
            self.workflow_id,
            self.queue,
            self.spec,
            self.submitted_ms,
            self.state,
            tasks,
        )

    @classmethod
    def from_row(cls, row):
        """Returns the ``Workflow`` for its stored form."""
        workflow = cls(row.workflow_id, row.queue, row.spec, row.submitted_ms)
        workflow.state = row.state
        for task_row in row.tasks:
            workflow.tasks[task_row.task] = Task(
                task_row.last_run,
                task_row.failures,
                task_row.done,
                task_row.checkpoint,
                task_row.live,
                task_row.worker_crashes,
                task_row.possible_worker_crashes,
            )
            if task_row.done:
                workflow._unfinished_count_by_step[
                    task_row.task.occurrence, task_row.task.step
                ] -= 1
        return workflow
