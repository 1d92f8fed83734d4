"""What the parts of the dispatcher share: state and settling of runs."""

from fuchsiatrestle import logs
from fuchsiatrestle.state import commands
from fuchsiatrestle.workflows import _fleet
from fuchsiatrestle.workflows import _progress
from fuchsiatrestle.workflows import _runs

__all__ = ('Book',)

LOG = logs.get_logger(__name__)

_Phase = _runs.Phase


class Book:
    """Workers, runs and what waits to be agreed.

    Args:
        part: the state part with the workflows, read only.
        token: fencing token of this leader.
        timing: ``Timing``.
        now_ms: monotonic time.

    Attributes:
        part: the state part with the workflows.
        token: fencing token of this leader.
        fleet: ``Fleet``.
        progress: ``Progress``.
        now_ms: time of the event in hand.
        dirty: True if something may be placed that could not before.
    """

    def __init__(self, part, token, timing, now_ms):
        self.part = part
        self.token = token
        self.fleet = _fleet.Fleet(timing)
        self.progress = _progress.Progress()
        self.now_ms = now_ms
        self.dirty = True

    # Queries

    def step_of(self, task_id):
        """Returns the ``Step`` of a task, None if it is not known."""
        workflow = self.part.workflow(task_id.workflow_id)
        if workflow is None or task_id not in workflow.tasks:
            return None
        return workflow.step_of(task_id)

    def find(self, live):
        """Returns the worker of a ``LiveRun`` and the run there, or Nones."""
        worker = self.fleet.get(live.worker)
        run = worker.runs.get((live.task, live.run)) if worker else None
        return worker, run

    def is_wanted(self, live):
        """True if a run should go on."""
        workflow = self.part.open_workflows.get(live.task.workflow_id)
        if workflow is None:
            return False
        task = workflow.tasks.get(live.task)
        return task is not None and not task.done and live.run in task.live

    def ends_noted(self, worker):
        """Returns the number of a worker's last end that is agreed."""
        record = self.part.workers.get(worker.name)
        if record is None or record.born_ms != worker.record.born_ms:
            return 0
        return record.ends_noted

    # Commands

    def register(self, worker):
        """Has a worker's record agreed."""
        self.progress.add_worker(worker.record)

    def lose_all(self, worker, reason):
        """Records that nothing that ran on a worker goes on."""
        for run in list(worker.runs.values()):
            if run.phase != _Phase.PLACED:
                self.lose(worker, run, reason)

    def lose(self, worker, run, reason):
        """Records that a run certainly does not go on."""
        worker.drop(run.key)
        self.dirty = True
        self.progress.add_lost(
            commands.RunLost(
                run.live.task, run.live.run, run.checkpoint, reason
            )
        )
        self.log_run('run_lost', run, warn=True, reason=reason)

    def stop(self, run, reason):
        """Has a run stopped, unless it is being stopped already."""
        if run.phase == _Phase.STOPPING:
            return
        # A start under way may be carried out after the stop.
        run.unsure = run.unsure or run.calling
        run.calling = False
        run.phase = _Phase.STOPPING
        run.retry_ms = 0
        self.log_run('run_stopping', run, reason=reason)

    def log_run(self, event, run, *, warn=False, **fields):
        """Writes one line about a run."""
        log = LOG.warning if warn else LOG.info
        log(
            event,
            extra={
                'workflow': run.live.task.workflow_id,
                'task': _runs.task_text(run.live.task),
                'run': run.live.run,
                'worker': run.live.worker,
                'token': self.token,
                **fields,
            },
        )
