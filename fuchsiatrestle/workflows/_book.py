"""State that the dispatcher's modules share, with its common changes.

What is agreed has been committed to the replicated log.
"""

from fuchsiatrestle import logs
from fuchsiatrestle.state import commands
from fuchsiatrestle.workflows import _crashes
from fuchsiatrestle.workflows import _fleet
from fuchsiatrestle.workflows import _proposals
from fuchsiatrestle.workflows import _run_ends
from fuchsiatrestle.workflows import _runs

__all__ = ('DispatchState',)

LOG = logs.get_logger(__name__)

_Phase = _runs.Phase


class DispatchState:
    """Workers, their runs and the progress that is not agreed yet.

    Args:
        workflow_store: the part of the replicated state with the workflows,
            read only.
        token: fencing token of this leader.
        timing: ``Timing``.
        now_ms: monotonic time.

    Attributes:
        workflow_store: the part of the replicated state with the workflows.
        token: fencing token of this leader.
        fleet: ``Fleet``.
        proposals: ``ProposalBuffer``.
        now_ms: monotonic time of the event being handled.
        placement_due: True if the placement of waiting tasks must be tried
            again, as a task that found no worker before may fit now.
        policies: list of the ``PlacementPolicy`` values in force.
        worker_count: number of the workers that had announced themselves
            lately at the last tick.
    """

    def __init__(self, workflow_store, token, timing, now_ms):
        self.workflow_store = workflow_store
        self.token = token
        self.fleet = _fleet.Fleet(timing)
        self.proposals = _proposals.ProposalBuffer()
        self.now_ms = now_ms
        self.placement_due = True
        self.policies = []
        self.worker_count = 0

    # Queries

    def find_start_obstacle(self, worker):
        """Returns why a policy forbids starts on a worker, or empty.

        Args:
            worker: the ``Worker``.
        """
        for policy in self.policies:
            obstacle = policy.find_start_obstacle(worker)
            if obstacle:
                return obstacle
        return ''

    def find_step(self, task_id):
        """Returns the ``Step`` of a task, None if the task is not known."""
        workflow = self.workflow_store.find_workflow(task_id.workflow_id)
        if workflow is None or task_id not in workflow.tasks:
            return None
        return workflow.get_step(task_id)

    def find_worker_and_run(self, live_run):
        """Returns the ``Worker`` and ``Run`` of a ``LiveRun``.

        Either is None if it is not known.
        """
        worker = self.fleet.get(live_run.worker)
        run = (
            worker.runs.get((live_run.task, live_run.run)) if worker else None
        )
        return worker, run

    def should_continue(self, live_run):
        """True if the workflow of a ``LiveRun`` still needs the run."""
        workflow = self.workflow_store.open_workflows.get(
            live_run.task.workflow_id
        )
        if workflow is None:
            return False
        task = workflow.tasks.get(live_run.task)
        return (
            task is not None
            and not task.is_done
            and live_run.run in task.live_runs
        )

    def recorded_end_number(self, worker):
        """Returns the number of the last run end recorded for a worker.

        Only ends that the replicated state has recorded for the worker's
        current process count; 0 if there are none.
        """
        record = self.workflow_store.worker_records.get(worker.name)
        if record is None or record.born_ms != worker.record.born_ms:
            return 0
        return record.ends_noted

    # Changes

    def withhold_leases(self, worker):
        """Gives a silent worker no leases, and proposes that none does.

        Later leaders know then when its last lease was given.
        """
        worker.is_lease_withheld = True
        self.proposals.add_silent_worker(worker.name)

    def resume_leases(self, worker):
        """Lets a worker that is heard get leases, once that is agreed."""
        name = worker.name
        if (
            name in self.workflow_store.silent_workers
            or self.proposals.is_silence_pending(name)
        ):
            self.proposals.add_heard_worker(name)
        else:
            self.proposals.drop_silent_worker(name)
            worker.is_lease_withheld = False

    def update_silence(self, worker):
        """Updates whether a worker may get leases, by what is agreed."""
        name = worker.name
        worker.is_lease_withheld = (
            name in self.workflow_store.silent_workers
            or self.proposals.is_silence_pending(name)
            or self.proposals.will_be_silent(name)
        )

    def propose_worker_record(self, worker):
        """Proposes the record of a worker to be agreed."""
        self.proposals.add_worker_record(worker.record)

    def record_begin(self, run):
        """Records that a worker has begun a run, if callers do not see it yet.

        Args:
            run: the ``Run``, which the worker has accepted or listed.
        """
        workflow_id = run.live_run.task.workflow_id
        workflow = self.workflow_store.open_workflows.get(workflow_id)
        if workflow is not None and not workflow.has_begun:
            self.proposals.add_begun_workflow(workflow_id)

    def record_lost_run(self, worker, run, proof, reason=''):
        """Records a run as lost: it is over, but no worker listed its end.

        Args:
            worker: ``Worker`` of the run.
            run: ``Run`` that certainly is not executing and will not start.
            proof: ``Proof`` of that.
            reason: why it did not go on, for the log; the proof if empty.
        """
        worker.remove_run(run.key)
        self.placement_due = True
        if proof == _run_ends.Proof.LEASE_OVER and run.has_unanswered_start:
            worker.record_failed_start(self.now_ms)
        start_outcome = _crashes.find_start_outcome(worker, run, proof)
        self.proposals.add_lost_run(
            commands.RunLost(
                run.live_run.task,
                run.live_run.run,
                run.checkpoint,
                proof,
                start_outcome,
                _run_ends.proves_never_ran(proof),
            )
        )
        self.log_run(
            'run_lost',
            run,
            warn=True,
            reason=reason or proof,
            proof=proof,
            silent_ms=worker.silent_ms(self.now_ms),
            adopted=run.adopted,
            start_outcome=start_outcome or 'unknown',
        )

    def end_run(self, worker, run, reason):
        """Ends a run: records it as lost if it has not started, or stops it.

        Args:
            worker: ``Worker`` of the run.
            run: ``Run`` whose placement is agreed.
            reason: why, for the log.
        """
        proof = _run_ends.find_proof_of_no_start(run)
        if proof is None:
            self.stop_run(run, reason)
        else:
            self.record_lost_run(worker, run, proof, reason)

    def stop_run(self, run, reason):
        """Marks a run to be stopped, unless it is being stopped already.

        Args:
            run: the ``Run``.
            reason: why, for the log.
        """
        if run.phase == _Phase.STOPPING:
            return
        # A pending start may be carried out after the stop.
        run.start_uncertain = run.start_uncertain or run.is_start_pending
        run.pending_order = None
        run.phase = _Phase.STOPPING
        run.next_order_ms = 0
        self.log_run('run_stopping', run, reason=reason)

    def log_run(self, event, run, *, warn=False, **fields):
        """Logs an event of a run.

        Args:
            event: name of the event.
            run: the ``Run``.
            warn: True to log a warning instead of information.
            **fields: further fields of the log line.
        """
        log_method = LOG.warning if warn else LOG.info
        log_method(
            event,
            extra={
                'workflow': run.live_run.task.workflow_id,
                'task': _runs.format_task_id(run.live_run.task),
                'run': run.live_run.run,
                'worker': run.live_run.worker,
                'token': self.token,
                **fields,
            },
        )
