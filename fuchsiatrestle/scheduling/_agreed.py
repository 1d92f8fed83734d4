"""Follows the agreed state: what each applied command changes."""

from fuchsiatrestle.scheduling import _counters
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import jobs as states

__all__ = ('AgreedChanges',)

REASON_FAILS = 'fails_everywhere'
SMALL_CELL_WORKERS = 64


class AgreedChanges:
    """Keeps the scheduler's indexes in step with the jobs part.

    Args:
        parts: the ``Assembly``.
    """

    def __init__(self, parts):
        self._parts = parts
        self._registering = {}
        self._handlers = {
            commands.SubmitJobs: self._on_submitted,
            commands.PlaceAttempts: self._on_placed,
            commands.RecordAttempts: self._on_recorded,
            commands.RegisterWorkers: self._on_registered,
            commands.RetireWorkers: self._on_retired,
            commands.CancelJobs: self._on_listed,
            commands.ParkJobs: self._on_listed,
            commands.ResolveJobs: self._on_listed,
        }

    def load(self, now_ms):
        """Takes the whole agreed state, at the start of a term."""
        parts = self._parts
        for name, worker in parts.part.workers.items():
            parts.shares.set_capacity(name, worker.spec.capacity)
            if worker.jobs:
                parts.leases.watch(name, now_ms)
        parts.dispatcher.load()
        for job in parts.part.jobs.values():
            if job.is_live:
                self._hold(job)
            elif job.failed_on and job.state == states.QUEUED:
                self._park_if_hopeless(job)

    def take(self, command, outcome, now_ms):
        """Takes one applied command; returns False if it is of no concern."""
        handler = self._handlers.get(type(command))
        if handler is None:
            return False
        self._parts.outbox.applied(command)
        handler(command, outcome, now_ms)
        _counters.count_outcome(command, outcome)
        return True

    # Workers

    def register(self, spec):
        """Proposes what a report says of its worker, if that is new."""
        worker = self._parts.part.workers.get(spec.worker)
        agreed = worker.spec if worker is not None else None
        if spec in (agreed, self._registering.get(spec.worker)):
            return
        self._registering[spec.worker] = spec
        self._parts.outbox.register(spec)

    def _on_registered(self, command, outcome, now_ms):
        parts = self._parts
        for spec in command.workers:
            if self._registering.get(spec.worker) == spec:
                del self._registering[spec.worker]
            worker = parts.part.workers.get(spec.worker)
            if worker is not None:
                parts.shares.set_capacity(spec.worker, worker.spec.capacity)
                parts.fleet.info(spec.worker)
                parts.fleet.refresh(spec.worker, now_ms)
        parts.dispatcher.wake()

    def _on_retired(self, command, outcome, now_ms):
        parts = self._parts
        for name in command.workers:
            if name not in parts.part.workers:
                parts.shares.set_capacity(name, None)
                parts.fleet.drop(name)
                parts.usage.drop_worker(name)
                parts.pressure.drop(name)
                parts.quarantine.drop(name)

    # Jobs

    def _on_submitted(self, command, outcome, now_ms):
        for spec in command.jobs:
            self.refresh(spec.job_id, now_ms)

    def _on_listed(self, command, outcome, now_ms):
        for job_id in command.job_ids:
            self.refresh(job_id, now_ms)

    def _on_placed(self, command, outcome, now_ms):
        parts = self._parts
        results = zip(command.placements, outcome.jobs, strict=True)
        for placement, result in results:
            parts.dispatcher.settle(placement, now_ms)
            if not result.reason:
                parts.desk.note_placed(placement.job_id, placement.attempt)
                parts.leases.watch(placement.worker, now_ms)
            self.refresh(placement.job_id, now_ms)

    def _on_recorded(self, command, outcome, now_ms):
        results = zip(command.events, outcome.jobs, strict=True)
        for event, result in results:
            if not result.reason and not result.repeated:
                self._learn(event, now_ms)
            self.refresh(event.job_id, now_ms)

    def refresh(self, job_id, now_ms):
        """Brings every index in step with one job."""
        parts = self._parts
        job = parts.part.jobs.get(job_id)
        known = job or parts.part.ended.get(job_id)
        if job is not None and job.is_live:
            self._hold(job)
        elif known is not None:
            self._release(job_id, known.attempt, now_ms)
        if known is not None and known.worker:
            parts.fleet.refresh(known.worker, now_ms)
        parts.dispatcher.refresh(job_id)
        if job is None or job.state != states.QUEUED:
            parts.preemptor.forget(job_id)
        elif job.failed_on:
            self._park_if_hopeless(job)

    def _hold(self, job):
        parts = self._parts
        spec = job.spec
        parts.shares.hold(spec.job_id, spec.team, job.reserved)
        if parts.mixes.rack_of(spec.job_id) is None:
            parts.mixes.hold(
                spec.job_id,
                job.worker,
                parts.fleet.rack(job.worker),
                spec.job_class,
                job.reserved.cpu_milli,
            )

    def _release(self, job_id, attempt, now_ms):
        parts = self._parts
        if parts.dispatcher.is_pending(job_id):
            return
        parts.shares.release(job_id)
        parts.mixes.release(job_id)
        parts.evictions.forget(job_id, now_ms)
        parts.desk.forget(job_id, attempt)
        parts.usage.end(job_id)
        parts.dispatcher.wake()

    # Failures

    def _learn(self, event, now_ms):
        parts = self._parts
        jobs = parts.part
        known = jobs.jobs.get(event.job_id) or jobs.ended[event.job_id]
        worker = known.worker
        quarantine = parts.quarantine
        changed = []
        if event.kind == 'done':
            changed = quarantine.note_success(worker, event.job_id, now_ms)
        elif event.kind == 'failed':
            changed = quarantine.note_failure(worker, event.job_id, now_ms)
        elif event.kind in ('stopped', 'refused', 'expired'):
            quarantine.end_probe(worker, event.job_id)
        if event.kind == 'refused' and event.detail != 'never ordered':
            parts.fleet.pause(worker, now_ms)
        if parts.policy.quarantine_workers:
            for name in changed:
                self._set_quarantined(name, now_ms)

    def _set_quarantined(self, name, now_ms):
        parts = self._parts
        info = parts.fleet.info(name)
        info.quarantined = parts.quarantine.is_quarantined(name)
        parts.fleet.refresh(name, now_ms)
        parts.dispatcher.wake()

    def park_if_barred(self, job, now_ms):
        """Parks a waiting job that has failed on every worker in sight.

        In a large cell a job fails on enough distinct workers anyway, so
        only the workers of a small one are looked through.
        """
        workers = self._parts.part.workers
        if not job.failed_on or len(workers) > SMALL_CELL_WORKERS:
            return
        left = [
            name
            for name in workers
            if name not in job.failed_on
            and not self._parts.quarantine.is_quarantined(name)
            and not self._parts.fleet.is_lost(name, now_ms)
        ]
        if not left:
            self._park(job)

    def _park_if_hopeless(self, job):
        parts = self._parts
        trusted = [
            name
            for name in job.failed_on
            if not parts.quarantine.is_quarantined(name)
        ]
        if len(trusted) >= parts.policy.failed_workers:
            self._park(job)

    def _park(self, job):
        parts = self._parts
        parts.dispatcher.withdraw(job.spec.job_id)
        parts.outbox.park(job.spec.job_id, REASON_FAILS)
