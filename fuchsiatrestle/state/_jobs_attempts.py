"""Placement of attempts and the events reported about them.

The attempt number is the fencing token: an event changes nothing if it names
an attempt other than the latest one of the job, or if that attempt is not
live any more.  An attempt is live while it is placed, running or being
evicted.
"""

from fuchsiatrestle import invariants
from fuchsiatrestle.state import _jobs_model as model
from fuchsiatrestle.state import outcomes

__all__ = (
    'AttemptEventHandler',
    'MAX_FAILED_WORKERS',
    'REASON_UNKNOWN',
)

# A job that failed on this many distinct workers is parked.
MAX_FAILED_WORKERS = 8

# Reasons for which a job is parked, as operators see them.
REASON_UNKNOWN = 'unknown'
REASON_FAILS_EVERYWHERE = 'fails_everywhere'
REASON_CRASHES_WORKERS = 'crashes_workers'


class AttemptEventHandler:
    """Applies placements and attempt events to a ``JobStore``.

    Args:
        store: the ``JobStore`` with the jobs and the workers.
    """

    def __init__(self, store):
        self._store = store
        self._handlers = {
            'started': self._apply_started,
            'checkpoint': self._apply_checkpoint,
            'evicting': self._apply_evicting,
            'stopped': self._apply_stopped,
            'done': self._apply_done,
            'failed': self._apply_failed,
            'refused': self._apply_refused,
            'expired': self._apply_expired,
        }

    # Placement

    def place_attempt(self, placement):
        """Places the next attempt of a job and reserves resources for it.

        Args:
            placement: a ``commands.Placement``.

        Returns:
            An ``outcomes.JobOutcome``; a refused placement changes nothing.

        Raises:
            errors.InvariantBreach: the job is not idempotent and may already
                have run, yet it was queued.
        """
        job = self._store.jobs.get(placement.job_id)
        worker = self._store.workers.get(placement.worker)
        reason, detail = self._placement_refusal(placement, job, worker)
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
        job.add_history_line('placed', checkpoint=job.checkpoint)
        return outcomes.JobOutcome(placement.job_id, job.state)

    def _placement_refusal(self, placement, job, worker):
        """Returns why a placement is refused, as (reason, detail).

        Both are empty if the placement can be applied.
        """
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
        exceeded_dimension = worker.first_exceeded_dimension(
            placement.reserved
        )
        if exceeded_dimension:
            return 'over_capacity', exceeded_dimension
        return '', ''

    # Events

    def record_event(self, event):
        """Applies one event to the live attempt that it names.

        Args:
            event: a ``commands.AttemptEvent``.

        Returns:
            An ``outcomes.JobOutcome``; it is marked ``repeated`` if the
            attempt was not live any more and the event changed nothing.
        """
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

    def _apply_started(self, job, event):
        job.started = True
        job.may_have_run = True
        if job.state == model.PLACED:
            self._store.set_state(job, model.RUNNING)
            job.add_history_line('started')

    def _apply_checkpoint(self, job, event):
        self._apply_started(job, event)
        if event.checkpoint <= job.checkpoint:
            return
        job.checkpoint = event.checkpoint
        job.checkpoint_attempt = job.attempt

    def _apply_evicting(self, job, event):
        if job.state == model.EVICTING:
            return
        self._store.set_state(job, model.EVICTING)
        job.add_history_line('evicting', detail=event.detail)

    def _apply_stopped(self, job, event):
        if event.checkpoint:
            self._apply_checkpoint(job, event)
        if job.state == model.EVICTING:
            job.evictions += 1
        self._end_uncertain_attempt(job, 'stopped', event)

    def _apply_expired(self, job, event):
        self._end_uncertain_attempt(job, 'expired', event)

    def _apply_done(self, job, event):
        self._release_reservation(job, 'done', event)
        self._store.end_job(job, model.DONE)

    def _apply_failed(self, job, event):
        job.may_have_run = True
        job.record_start_outcome(event.start_outcome)
        self._release_reservation(job, 'failed', event)
        if job.cancelled:
            self._store.end_job(job, model.CANCELLED, 'cancelled')
        elif not job.spec.idempotent:
            self._store.end_job(job, model.FAILED, event.detail)
        else:
            self._requeue_or_park(job)

    def _requeue_or_park(self, job):
        """Queues a failed job again, or parks it.

        It is parked once it has failed on ``MAX_FAILED_WORKERS`` distinct
        workers, so repeated failures on a single bad worker don't park it.
        """
        if job.worker not in job.failed_on:
            job.failed_on.append(job.worker)
        if len(job.failed_on) < MAX_FAILED_WORKERS:
            self._store.set_state(job, model.QUEUED)
            return
        job.reason = REASON_FAILS_EVERYWHERE
        self._store.set_state(job, model.PARKED)

    def _apply_refused(self, job, event):
        # A worker that refuses an attempt has not run it, unless the attempt
        # was reported as started before.
        if job.started:
            self._apply_stopped(job, event)
            return
        self._release_reservation(job, 'refused', event)
        self._requeue_or_end(job)

    def _end_uncertain_attempt(self, job, history_kind, event):
        """Ends an attempt that may have run but reported no result."""
        job.may_have_run = True
        job.record_start_outcome(event.start_outcome)
        self._release_reservation(job, history_kind, event)
        self._requeue_or_end(job)

    def _requeue_or_end(self, job):
        """Queues, parks or cancels a job whose attempt ended without result.

        A job that is not idempotent and may have run is never queued again;
        it is parked for an operator to decide.  So is one that crashes the
        workers that start it.
        """
        if job.cancelled:
            reason = 'cancelled'
            if job.may_have_run and not job.spec.idempotent:
                reason = 'cancelled, may have run'
            self._store.end_job(job, model.CANCELLED, reason)
        elif job.may_have_run and not job.spec.idempotent:
            job.reason = REASON_UNKNOWN
            self._store.set_state(job, model.PARKED)
        elif job.crashes_workers:
            job.reason = REASON_CRASHES_WORKERS
            self._store.set_state(job, model.PARKED)
        else:
            self._store.set_state(job, model.QUEUED)

    def _release_reservation(self, job, history_kind, event):
        """Releases the reservation and adds the event to the history."""
        self._store.release(job)
        job.add_history_line(
            history_kind, checkpoint=job.checkpoint, detail=event.detail
        )
