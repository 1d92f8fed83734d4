"""Tasks of a workflow, each stored once something has happened to it."""

import collections.abc

from fuchsiatrestle import records
from fuchsiatrestle.state import _crash_counts
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import workflows

__all__ = ('Task', 'TaskRow', 'TaskTable')

_CRASH_OUTCOMES = (
    commands.StartOutcome.CRASHED,
    commands.StartOutcome.MAY_HAVE_CRASHED,
)


class TaskRow(records.Record, tag='t'):
    """Stored form of a ``Task`` with its id.

    In old rows ``last_run_end_ms`` is 0, also after a run.
    """

    task: workflows.TaskId
    last_run: int
    failures: int
    done: bool
    checkpoint: str
    live: list[workflows.LiveRun]
    worker_crashes: int = 0
    possible_worker_crashes: int = 0
    last_run_end_ms: int = 0
    crash_workers: list[str] = []

    @property
    def is_untouched(self):
        """True if nothing has happened to the task."""
        return not (self.last_run or self.done)


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
        last_run_end_ms: agreed time at which it last had a live run, without
            the runs that certainly never ran; 0 if there was none.
        crash_workers: ids of the workers that both counts are about.
    """

    __slots__ = (
        'checkpoint',
        'crash_workers',
        'failures',
        'is_done',
        'last_run_end_ms',
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
        last_run_end_ms=0,
        crash_workers=(),
    ):
        self.last_run_number = last_run_number
        self.failures = failures
        self.is_done = is_done
        self.checkpoint = checkpoint
        self.live_runs = {run.run: run for run in live_runs}
        self.worker_crashes = worker_crashes
        self.possible_worker_crashes = possible_worker_crashes
        self.last_run_end_ms = last_run_end_ms
        self.crash_workers = set(crash_workers)

    def record_loss(self, worker, start_outcome):
        """Records a run that was lost with its worker.

        Args:
            worker: id of the worker.
            start_outcome: one of ``commands.StartOutcome``.
        """
        self.record_start_outcome(start_outcome, worker in self.crash_workers)
        if start_outcome in _CRASH_OUTCOMES:
            self.crash_workers.add(worker)

    def reset_crash_counts(self):
        """Forgets all crashes so far."""
        super().reset_crash_counts()
        self.crash_workers.clear()

    @property
    def is_waiting(self):
        """True if it is not done and no run of it may be executing."""
        return not self.is_done and not self.live_runs

    def to_row(self, task_id):
        """Returns the ``TaskRow`` of the task with an id."""
        return TaskRow(
            task_id,
            self.last_run_number,
            self.failures,
            self.is_done,
            self.checkpoint,
            list(self.live_runs.values()),
            self.worker_crashes,
            self.possible_worker_crashes,
            self.last_run_end_ms,
            sorted(self.crash_workers),
        )

    @classmethod
    def from_row(cls, row):
        """Returns the ``Task`` for its stored form."""
        return cls(
            row.last_run,
            row.failures,
            row.done,
            row.checkpoint,
            row.live,
            row.worker_crashes,
            row.possible_worker_crashes,
            row.last_run_end_ms,
            row.crash_workers,
        )


class TaskTable(collections.abc.Mapping):
    """The ``Task`` of each ``TaskId`` of a workflow.

    A task takes memory once it is looked up.  A caller may submit workflows
    with many thousand tasks that are due much later, or one after another.

    Args:
        workflow_id: id of the workflow.
        spec: its ``WorkflowSpec``.
    """

    __slots__ = ('_occurrence_count', '_spec', '_task_by_id', '_workflow_id')

    def __init__(self, workflow_id, spec):
        self._workflow_id = workflow_id
        self._spec = spec
        self._occurrence_count = max(1, spec.occurrences)
        self._task_by_id = {}

    def __getitem__(self, task_id):
        task = self._task_by_id.get(task_id)
        if task is None:
            if task_id not in self:
                raise KeyError(task_id)
            task = self._task_by_id[task_id] = Task()
        return task

    def __contains__(self, task_id):
        return (
            task_id.workflow_id == self._workflow_id
            and 0 <= task_id.occurrence < self._occurrence_count
            and 0 <= task_id.step < len(self._spec.steps)
            and 0 <= task_id.index < self._spec.steps[task_id.step].count
        )

    def __len__(self):
        return self._occurrence_count * sum(
            step.count for step in self._spec.steps
        )

    def __iter__(self):
        for occurrence in range(self._occurrence_count):
            for step_number, step in enumerate(self._spec.steps):
                for index in range(step.count):
                    yield self.make_id(occurrence, step_number, index)

    def make_id(self, occurrence, step_number, index):
        """Returns the ``TaskId`` of a task of the workflow."""
        return workflows.TaskId(
            self._workflow_id, occurrence, step_number, index
        )

    def to_rows(self):
        """Returns the ``TaskRow`` of each task that was touched, by id."""
        touched_tasks = sorted(
            (
                (task_id.occurrence, task_id.step, task_id.index, task_id)
                for task_id, task in self._task_by_id.items()
                if task.last_run_number or task.is_done
            ),
            key=lambda place: place[:3],
        )
        return [
            self._task_by_id[task_id].to_row(task_id)
            for _, _, _, task_id in touched_tasks
        ]

    def restore(self, row):
        """Adds the ``Task`` of a ``TaskRow`` and returns it."""
        task = self._task_by_id[row.task] = Task.from_row(row)
        return task
