"""Updates the scheduler's own state after each applied command.

The scheduler decides from indexes (queue, free capacity, reservations) that
are derived from the replicated state.  This module keeps them up to date.
"""

from fuchsiatrestle.scheduling import _counters
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import jobs as states

__all__ = ('AgreedChangeHandler',)

REASON_FAILS_EVERYWHERE = 'fails_everywhere'


class AgreedChangeHandler:
    """Applies changes of the replicated state to the scheduler's indexes.

    Args:
        assembly: the ``Assembly`` of the scheduler's objects.
    """

    def __init__(self, assembly):
        self._assembly = assembly
        self._proposed_spec_by_worker = {}
        # For each failed job that waits, a worker that it could still go to
        # when the workers were last searched.
        self._remaining_worker_by_job = {}
        self._command_handlers = {
            commands.SubmitJobs: self._on_jobs_submitted,
            commands.PlaceAttempts: self._on_attempts_placed,
            commands.RecordAttempts: self._on_events_recorded,
            commands.RegisterWorkers: self._on_workers_registered,
            commands.RetireWorkers: self._on_workers_retired,
            commands.CancelJobs: self._on_jobs_changed,
            commands.ParkJobs: self._on_jobs_changed,
            commands.ResolveJobs: self._on_jobs_changed,
        }

    def load_indexes(self, now_ms):
        """Builds the indexes from the replicated state, for a new leader."""
        assembly = self._assembly
        for name, worker in assembly.jobs_part.workers.items():
            assembly.team_shares.set_worker_capacity(
                name, worker.spec.capacity
            )
            if worker.jobs:
                assembly.lease_tracker.track_worker(name, now_ms)
        assembly.dispatcher.load_queue()
        for job in assembly.jobs_part.jobs.values():
            if job.is_live:
                self._add_reservation(job)
            elif job.failed_on and job.state == states.QUEUED:
                self._park_if_failure_limit_reached(job)

    def handle_applied_command(self, command, outcome, now_ms):
        """Updates the indexes after one applied command.

        Args:
            command: the command record.
            outcome: its outcome record.
            now_ms: monotonic time in milliseconds.

        Returns:
            True if the scheduler handles commands of this kind, else False.
        """
        handler = self._command_handlers.get(type(command))
        if handler is None:
            return False
        self._assembly.outbox.handle_applied_command(command)
        handler(command, outcome, now_ms)
        _counters.count_outcome(command, outcome)
        return True

    # Workers

    def register_worker(self, spec):
        """Proposes a worker's specification, unless it is already known.

        It is known if it is registered or already proposed.

        Args:
            spec: the ``commands.WorkerSpec`` made from the report.
        """
        worker = self._assembly.jobs_part.workers.get(spec.worker)
        registered_spec = worker.spec if worker is not None else None
        if spec in (
            registered_spec,
            self._proposed_spec_by_worker.get(spec.worker),
        ):
            return
        self._proposed_spec_by_worker[spec.worker] = spec
        self._assembly.outbox.add_registration(spec)

    def _on_workers_registered(self, command, outcome, now_ms):
        assembly = self._assembly
        for spec in command.workers:
            if self._proposed_spec_by_worker.get(spec.worker) == spec:
                del self._proposed_spec_by_worker[spec.worker]
            worker = assembly.jobs_part.workers.get(spec.worker)
            if worker is not None:
                assembly.team_shares.set_worker_capacity(
                    spec.worker, worker.spec.capacity
                )
                assembly.fleet.worker_info(spec.worker)
                assembly.fleet.refresh_worker(spec.worker, now_ms)
        assembly.dispatcher.request_round()

    def _on_workers_retired(self, command, outcome, now_ms):
        assembly = self._assembly
        for name in command.workers:
            if name not in assembly.jobs_part.workers:
                assembly.team_shares.set_worker_capacity(name, None)
                assembly.fleet.drop_worker(name)
                assembly.usage_tracker.drop_worker(name)
                assembly.pressure_controller.drop_worker(name)
                assembly.quarantine.drop_worker(name)

    # Jobs

    def _on_jobs_submitted(self, command, outcome, now_ms):
        for spec in command.jobs:
            self.refresh_job(spec.job_id, now_ms)

    def _on_jobs_changed(self, command, outcome, now_ms):
        for job_id in command.job_ids:
            self.refresh_job(job_id, now_ms)

    def _on_attempts_placed(self, command, outcome, now_ms):
        assembly = self._assembly
        placement_results = zip(command.placements, outcome.jobs, strict=True)
        for placement, result in placement_results:
            assembly.dispatcher.end_pending_placement(placement, now_ms)
            if not result.reason:
                assembly.reconciler.record_placement(
                    placement.job_id, placement.attempt
                )
                assembly.lease_tracker.track_worker(placement.worker, now_ms)
            else:
                assembly.quarantine.end_probe(
                    placement.worker, placement.job_id
                )
            self.refresh_job(placement.job_id, now_ms)

    def _on_events_recorded(self, command, outcome, now_ms):
        event_results = zip(command.events, outcome.jobs, strict=True)
        for event, result in event_results:
            if not result.reason and not result.repeated:
                self._update_quarantine(event, now_ms)
            self.refresh_job(event.job_id, now_ms)

    def refresh_job(self, job_id, now_ms):
        """Updates every index after the state of a job may have changed."""
        assembly = self._assembly
        job = assembly.jobs_part.jobs.get(job_id)
        open_or_ended_job = job or assembly.jobs_part.ended_jobs.get(job_id)
        if job is not None and job.is_live:
            self._add_reservation(job)
        elif open_or_ended_job is not None:
            self._remove_reservation(job_id, open_or_ended_job.attempt, now_ms)
        if open_or_ended_job is not None and open_or_ended_job.worker:
            assembly.fleet.refresh_worker(open_or_ended_job.worker, now_ms)
        assembly.dispatcher.refresh_job(job_id, now_ms)
        if job is None or job.state != states.QUEUED:
            assembly.preemptor.forget_job(job_id)
            self._remaining_worker_by_job.pop(job_id, None)
        elif job.failed_on:
            self._park_if_failure_limit_reached(job)

    def _add_reservation(self, job):
        assembly = self._assembly
        spec = job.spec
        assembly.team_shares.add_reservation(
            spec.job_id, spec.team, job.reserved
        )
        if assembly.work_reservations.rack_of(spec.job_id) is None:
            assembly.work_reservations.add_reservation(
                spec.job_id,
                job.worker,
                assembly.fleet.rack_of(job.worker),
                spec.job_class,
                job.reserved.cpu_milli,
            )

    def _remove_reservation(self, job_id, attempt, now_ms):
        assembly = self._assembly
        if assembly.dispatcher.is_placement_pending(job_id):
            return
        assembly.team_shares.remove_reservation(job_id)
        assembly.work_reservations.remove_reservation(job_id)
        assembly.evictions.end_eviction(job_id, now_ms)
        assembly.reconciler.forget_attempt(job_id, attempt)
        assembly.usage_tracker.end_attempt(job_id)
        assembly.dispatcher.request_round()

    # Quarantine and parking after failures

    def _update_quarantine(self, event, now_ms):
        assembly = self._assembly
        jobs_part = assembly.jobs_part
        open_or_ended_job = (
            jobs_part.jobs.get(event.job_id)
            or jobs_part.ended_jobs[event.job_id]
        )
        worker_name = open_or_ended_job.worker
        quarantine = assembly.quarantine
        changed_worker_names = []
        if event.kind == 'done':
            changed_worker_names = quarantine.record_success(
                worker_name, event.job_id, now_ms
            )
        elif event.kind == 'failed':
            changed_worker_names = quarantine.record_failure(
                worker_name, event.job_id, now_ms
            )
        elif event.kind in ('stopped', 'refused', 'expired'):
            quarantine.end_probe(worker_name, event.job_id)
        if event.kind == 'refused' and event.detail != 'never ordered':
            assembly.fleet.pause_worker(worker_name, now_ms)
        if assembly.policy.quarantine_workers:
            for name in changed_worker_names:
                self._set_quarantined(name, now_ms)

    def _set_quarantined(self, worker_name, now_ms):
        assembly = self._assembly
        info = assembly.fleet.worker_info(worker_name)
        info.quarantined = assembly.quarantine.is_quarantined(worker_name)
        assembly.fleet.refresh_worker(worker_name, now_ms)
        assembly.dispatcher.request_round()

    def park_if_no_worker_left(self, job, now_ms):
        """Parks a queued job that has failed on every usable worker.

        A worker is usable if it is neither in quarantine nor lost, is in the
        data centre that the job is bound to, and is large enough.  All workers
        are searched only once the one found before is not usable any more.
        """
        if not job.failed_on:
            return
        job_id = job.spec.job_id
        remaining_worker = self._remaining_worker_by_job.get(job_id)
        if self._may_go_to(job, remaining_worker, now_ms):
            return
        for name in self._assembly.jobs_part.workers:
            if self._may_go_to(job, name, now_ms):
                self._remaining_worker_by_job[job_id] = name
                return
        self._park_job(job)

    def _may_go_to(self, job, worker_name, now_ms):
        """True if a worker is usable and the job has not failed on it."""
        worker = self._assembly.jobs_part.workers.get(worker_name)
        return (
            worker is not None
            and worker_name not in job.failed_on
            and job.spec.data_centre in ('', worker.spec.data_centre)
            and _covers(worker.spec.capacity, job.spec.size)
            and not self._assembly.quarantine.is_quarantined(worker_name)
            and not self._assembly.fleet.is_lost(worker_name, now_ms)
        )

    def _park_if_failure_limit_reached(self, job):
        assembly = self._assembly
        trusted_failed_workers = [
            name
            for name in job.failed_on
            if not assembly.quarantine.is_quarantined(name)
        ]
        if len(trusted_failed_workers) >= assembly.policy.failed_workers:
            self._park_job(job)

    def _park_job(self, job):
        assembly = self._assembly
        assembly.dispatcher.remove_job(job.spec.job_id)
        assembly.outbox.add_parking(job.spec.job_id, REASON_FAILS_EVERYWHERE)


def _covers(capacity, size):
    """True if a capacity is at least as large as a size in each dimension."""
    return (
        capacity.cpu_milli >= size.cpu_milli
        and capacity.memory_mib >= size.memory_mib
        and capacity.accelerators >= size.accelerators
    )
