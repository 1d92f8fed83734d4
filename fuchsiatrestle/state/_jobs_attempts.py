"""Placement of attempts and what becomes certain about them.

The attempt number is the fencing token: an event that names another attempt
than the job's latest, or a job without a live attempt, changes nothing.
"""

from fuchsiatrestle import invariants
from fuchsiatrestle.state import _jobs_model as model
from fuchsiatrestle.state import outcomes

__all__ = (
    'AttemptLedger',
    'MAX_FAILED_WORKERS',
    'REASON_UNKNOWN',
)

MAX_FAILED_WORKERS = 8

REASON_UNKNOWN = 'unknown'
REASON_FAILS_EVERYWHERE = 'fails_everywhere'


class AttemptLedger:
    """Applies placements and attempt events to a ``JobStore``.

    Args:
        store: the store.
    """

    def __init__(self, store):
        self._store = store
        self._handlers = {
            'started': self._started,
            'checkpoint': self._checkpoint,
            'evicting': self._evicting,
            'stopped': self._stopped,
            'done': self._done,
            'failed': self._failed,
            'refused': self._refused,
            'expired': self._expired,
        }

    # Placement

    def place(self, placement):
        """Returns the outcome of placing one attempt."""
        job = self._store.jobs.get(placement.job_id)
        worker = self._store.workers.get(placement.worker)
        reason, detail = self._refusal(placement, job, worker)
        if reason:
            return outcomes.JobOutcome(
                placement.job_id, '', reason, detail=detail
            )
        invariants.require(
            job.spec.idempotent or not job.may_have_run,
            'non_idempotent_placed_twice',
            job_id=placement.job_id,
        )
        job.attempt = placement.attempt
        job.incarnation = placement.incarnation
        self._store.reserve(job, worker, placement.reserved)
        self._store.set_state(job, model.PLACED)
        job.note('placed', checkpoint=job.checkpoint)
        return outcomes.JobOutcome(placement.job_id, job.state)

    def _refusal(self, placement, job, worker):
        if job is None:
            return 'unknown_job', 'it ended or never was'
        if job.state != model.QUEUED:
            return 'not_queued', f'it is {job.state}'
        if placement.attempt != job.attempt + 1:
            return 'wrong_attempt', f'the next is {job.attempt + 1}'
        if placement.resume_from != job.checkpoint:
            return 'wrong_checkpoint', f'the agreed is {job.checkpoint}'
        if worker is None or worker.spec.leaving:
            return 'unknown_worker', placement.worker
        if placement.incarnation != worker.spec.incarnation:
            return 'wrong_incarnation', f'it is {worker.spec.incarnation}'
        short = worker.short_dimension(placement.reserved)
        if short:
            return 'over_capacity', short
        return '', ''

    # Events

    def record(self, event):
        """Returns the outcome of recording one attempt event."""
        job = self._store.jobs.get(event.job_id)
        if job is None:
            return outcomes.JobOutcome(event.job_id, '', 'unknown_job')
        handler = self._handlers.get(event.kind)
        if handler is None:
            return outcomes.JobOutcome(event.job_id, '', 'invalid_spec')
        if not job.is_live or event.attempt != job.attempt:
            return outcomes.JobOutcome(event.job_id, job.state, repeated=True)
        handler(job, event)
        return outcomes.JobOutcome(event.job_id, job.state)

    def _started(self, job, event):
        job.started = True
        job.may_have_run = True
        if job.state == model.PLACED:
            self._store.set_state(job, model.RUNNING)
            job.note('started')

    def _checkpoint(self, job, event):
        self._started(job, event)
        if event.checkpoint <= job.checkpoint:
            return
        job.checkpoint = event.checkpoint
        job.checkpoint_attempt = job.attempt

    def _evicting(self, job, event):
        if job.state == model.EVICTING:
            return
        self._store.set_state(job, model.EVICTING)
        job.note('evicting', detail=event.detail)

    def _stopped(self, job, event):
        if event.checkpoint:
            self._checkpoint(job, event)
        if job.state == model.EVICTING:
            job.evictions += 1
        self._may_have_run(job, 'stopped', event)

    def _expired(self, job, event):
        self._may_have_run(job, 'expired', event)

    def _done(self, job, event):
        self._release(job, 'done', event)
        self._store.end(job, model.DONE)

    def _failed(self, job, event):
        job.may_have_run = True
        self._release(job, 'failed', event)
        if job.cancelled:
            self._store.end(job, model.CANCELLED, 'cancelled')
        elif not job.spec.idempotent:
            self._store.end(job, model.FAILED, event.detail)
        else:
            self._retry_elsewhere(job)

    def _retry_elsewhere(self, job):
        if job.worker not in job.failed_on:
            job.failed_on.append(job.worker)
        if len(job.failed_on) < MAX_FAILED_WORKERS:
            self._store.set_state(job, model.QUEUED)
            return
        job.reason = REASON_FAILS_EVERYWHERE
        self._store.set_state(job, model.PARKED)

    def _refused(self, job, event):
        if job.started:
            self._stopped(job, event)
            return
        self._release(job, 'refused', event)
        self._requeue(job)

    def _may_have_run(self, job, kind, event):
        job.may_have_run = True
        self._release(job, kind, event)
        self._requeue(job)

    def _requeue(self, job):
        if job.cancelled:
            reason = 'cancelled'
            if job.may_have_run and not job.spec.idempotent:
                reason = 'cancelled, may have run'
            self._store.end(job, model.CANCELLED, reason)
        elif job.may_have_run and not job.spec.idempotent:
            job.reason = REASON_UNKNOWN
            self._store.set_state(job, model.PARKED)
        else:
            self._store.set_state(job, model.QUEUED)

    def _release(self, job, kind, event):
        self._store.release(job)
        job.note(kind, checkpoint=job.checkpoint, detail=event.detail)
