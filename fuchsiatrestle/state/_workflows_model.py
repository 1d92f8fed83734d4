"""One workflow in memory: its tasks, runs and what is left of each step."""

from fuchsiatrestle import invariants
from fuchsiatrestle import records
from fuchsiatrestle.state import workflows

__all__ = ('OPEN', 'Task', 'Workflow', 'WorkflowState')

OPEN = 'open'
COMPLETED = 'completed'
FAILED = 'failed'
CANCELLED = 'cancelled'


class _TaskState(records.Record, tag='t'):
    task: workflows.TaskId
    last_run: int
    failures: int
    done: bool
    checkpoint: str
    live: list[workflows.LiveRun]


class WorkflowState(records.Record, tag='w'):
    """Form of a workflow in a snapshot."""

    workflow_id: str
    queue: workflows.Queue
    spec: workflows.WorkflowSpec
    submitted_ms: int
    state: str
    tasks: list[_TaskState]


class Task:
    """One task.

    Attributes:
        last_run: number of its newest run, 0 before the first.
        failures: runs that ended as failed.
        done: True once a run has ended as done.
        checkpoint: newest saved progress, or empty.
        live: ``LiveRun`` by run number, for runs that may be going on.
    """

    __slots__ = ('checkpoint', 'done', 'failures', 'last_run', 'live')

    def __init__(
        self, last_run=0, failures=0, done=False, checkpoint='', live=()
    ):
        self.last_run = last_run
        self.failures = failures
        self.done = done
        self.checkpoint = checkpoint
        self.live = {run.run: run for run in live}


class Workflow:
    """One submitted workflow.

    Attributes:
        workflow_id: chosen by the caller.
        queue: the queue as it was at submission.
        spec: what was submitted.
        submitted_ms: time since the epoch.
        state: ``open``, ``completed``, ``failed`` or ``cancelled``.
        tasks: ``Task`` by ``TaskId``, all of them from the start.
    """

    __slots__ = (
        '_left',
        '_task_ids',
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
        self._left = {}
        self._task_ids = {}
        for occurrence in self.occurrences:
            for number, step in enumerate(spec.steps):
                self._add_tasks(occurrence, number, step.count)

    def _add_tasks(self, occurrence, step, count):
        task_ids = tuple(
            workflows.TaskId(self.workflow_id, occurrence, step, index)
            for index in range(count)
        )
        self._left[occurrence, step] = count
        self._task_ids[occurrence, step] = task_ids
        self.tasks.update({task_id: Task() for task_id in task_ids})

    # Queries

    @property
    def occurrences(self):
        """Numbers of the occurrences."""
        return range(max(1, self.spec.occurrences))

    @property
    def is_open(self):
        """True while its tasks may be started."""
        return self.state == OPEN

    @property
    def has_started(self):
        """True once a run of any task was placed."""
        return any(task.last_run for task in self.tasks.values())

    @property
    def shown_state(self):
        """The state as callers see it."""
        if self.state != OPEN:
            return self.state
        return 'running' if self.has_started else 'queued'

    def task_ids(self, occurrence, step):
        """Returns the ids of the tasks of one step."""
        return self._task_ids[occurrence, step]

    def step_of(self, task_id):
        """Returns the ``Step`` of a task."""
        return self.spec.steps[task_id.step]

    def is_step_done(self, occurrence, step):
        """True if all tasks of a step are done."""
        return self._left[occurrence, step] == 0

    def is_step_free(self, occurrence, step):
        """True if the steps that a step waits for are done."""
        return all(
            self.is_step_done(occurrence, earlier)
            for earlier in self.spec.steps[step].after
        )

    def may_place(self, placement):
        """True if a run may be placed now."""
        task = self.tasks.get(placement.task)
        if task is None or not self.is_open or task.done:
            return False
        if task.live and not self.step_of(placement.task).copies:
            return False
        return placement.run == task.last_run + 1

    def live_runs(self):
        """Returns the ``LiveRun`` of all tasks."""
        return [
            run for task in self.tasks.values() for run in task.live.values()
        ]

    # Commands

    def place(self, placement):
        """Notes that a run is about to be started."""
        invariants.require(
            self.may_place(placement),
            'workflow.placed_once',
            task=placement.task,
            run=placement.run,
        )
        task = self.tasks[placement.task]
        task.last_run = placement.run
        task.live[placement.run] = placement

    def settle(self, task_id, run, checkpoint):
        """Notes that a run is over for good without being done."""
        task = self.tasks.get(task_id)
        if task is None:
            return
        self._remove(task, run, checkpoint)

    def finish(self, task_id, run):
        """Notes that a run has done its task; a gang's ends together."""
        step = self.step_of(task_id)
        members = [task_id]
        if step.gang:
            members = self.task_ids(task_id.occurrence, task_id.step)
        for member in members:
            self._finish_one(member, run)
        if self.state == OPEN and not any(self._left.values()):
            self.state = COMPLETED

    def fail_run(self, task_id, run, checkpoint, max_failures):
        """Notes that a run has failed; the workflow may fail with it."""
        task = self.tasks.get(task_id)
        if task is None:
            return
        self._remove(task, run, checkpoint)
        task.failures += 1
        step = self.step_of(task_id)
        if task.done or step.lasts or self.state != OPEN:
            return
        if self._failures(task_id, step) >= max_failures:
            self.state = FAILED

    def cancel(self):
        """Cancels the workflow if it is open."""
        if self.state == OPEN:
            self.state = CANCELLED

    def _failures(self, task_id, step):
        if not step.gang:
            return self.tasks[task_id].failures
        members = self.task_ids(task_id.occurrence, task_id.step)
        return sum(self.tasks[member].failures for member in members)

    def _finish_one(self, task_id, run):
        task = self.tasks.get(task_id)
        if task is None:
            return
        self._remove(task, run, '')
        if not task.done:
            task.done = True
            self._left[task_id.occurrence, task_id.step] -= 1

    @staticmethod
    def _remove(task, run, checkpoint):
        task.live.pop(run, None)
        if checkpoint and run == task.last_run:
            task.checkpoint = checkpoint

    # Snapshots

    def to_state(self):
        """Returns the ``WorkflowState``."""
        tasks = [
            _TaskState(
                task_id,
                task.last_run,
                task.failures,
                task.done,
                task.checkpoint,
                list(task.live.values()),
            )
            for task_id, task in self.tasks.items()
        ]
        return WorkflowState(
            self.workflow_id,
            self.queue,
            self.spec,
            self.submitted_ms,
            self.state,
            tasks,
        )

    @classmethod
    def from_state(cls, state):
        """Returns the workflow that a snapshot holds."""
        found = cls(
            state.workflow_id, state.queue, state.spec, state.submitted_ms
        )
        found.state = state.state
        for one in state.tasks:
            found.tasks[one.task] = Task(
                one.last_run, one.failures, one.done, one.checkpoint, one.live
            )
            if one.done:
                found._left[one.task.occurrence, one.task.step] -= 1
        return found
