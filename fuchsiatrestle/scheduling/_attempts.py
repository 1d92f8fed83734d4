"""Reconciles the attempts that workers report with the replicated state.

What a report shows is proposed as attempt events.  Orders to the worker follow
from the replicated state, that is, from applied commands and not from
proposals, with one exception: an attempt whose end is already proposed is
stopped.  An attempt starts only on the worker incarnation that its placement
names, and the lease of an attempt is not renewed once an event that ends the
attempt is proposed.
"""

from fuchsiatrestle import messages
from fuchsiatrestle.scheduling import _start_outcomes
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import jobs as states

__all__ = ('AttemptReconciler',)

ENDED_ATTEMPT_STATES = frozenset(('stopped', 'done', 'failed', 'refused'))


class AttemptReconciler:
    """Answers worker reports with orders and proposes attempt events.

    Args:
        jobs_part: the ``JobsPart`` of the replicated state, read only.
        outbox: the ``Outbox`` that proposes attempt events.
        evictions: the ``Evictions`` in progress.
        lease_tracker: the ``LeaseTracker``.
        policy: the ``Policy``.
    """

    def __init__(self, jobs_part, outbox, evictions, lease_tracker, policy):
        self._jobs_part = jobs_part
        self._outbox = outbox
        self._evictions = evictions
        self._lease_tracker = lease_tracker
        self._policy = policy
        self._never_ordered_attempts = set()
        self._start_tracker = _start_outcomes.StartTracker()
        self._checkpoint_recorded_ms_by_job = {}

    # Start orders

    def record_placement(self, job_id, attempt):
        """Records an applied placement whose start has not been ordered.

        A leader knows that no start order has been sent only for placements
        applied in its own term; an earlier leader may have ordered any other.
        """
        self._never_ordered_attempts.add((job_id, attempt))

    def forget_attempt(self, job_id, attempt):
        """Discards what is kept about an attempt that has ended."""
        self._checkpoint_recorded_ms_by_job.pop(job_id, None)
        self._never_ordered_attempts.discard((job_id, attempt))
        self._start_tracker.forget_attempt(job_id, attempt)

    def record_lost_attempt(self, job, detail):
        """Proposes the end of an attempt that its worker can't report.

        An attempt whose start was never ordered can't have run; it ends as
        ``refused``.  Any other attempt may have run; it ends as ``expired`` if
        its lease ran out, and else as ``stopped``.

        Args:
            job: the job with the attempt.
            detail: why it ended, for the job's history.
        """
        attempt_key = (job.spec.job_id, job.attempt)
        if attempt_key in self._never_ordered_attempts:
            self._never_ordered_attempts.discard(attempt_key)
            self._record_event(job, 'refused', 'never ordered')
        elif detail == 'lease ran out':
            self._record_loss(job, 'expired', detail, process_ended=False)
        else:
            self._record_loss(job, 'stopped', detail, process_ended=True)

    def end_never_ordered_attempts(self, worker):
        """Proposes the end of attempts that were never ordered to start."""
        for job_id, attempt in list(worker.jobs.items()):
            if (job_id, attempt) in self._never_ordered_attempts:
                self.record_lost_attempt(
                    self._jobs_part.jobs[job_id], 'never ordered'
                )

    # Answers to worker reports

    def answer_report(self, info, report, now_ms):
        """Returns the orders that answer the newest report of a worker.

        Events that the report shows are proposed.  If any order grants a
        lease, the grant is recorded in the ``LeaseTracker``.

        Args:
            info: the ``WorkerInfo`` of the worker.
            report: its ``messages.WorkerReport``.
            now_ms: monotonic time in milliseconds.

        Returns:
            A list of ``messages.AttemptOrder``.
        """
        orders = []
        reported_attempt_keys = set()
        has_renewable_attempt = False
        for attempt_report in report.attempts:
            reported_attempt_keys.add(
                (attempt_report.job_id, attempt_report.attempt)
            )
            order = self._answer_attempt(info, attempt_report, now_ms)
            if order is not None:
                orders.append(order)
            has_renewable_attempt |= attempt_report.state == 'running' and (
                order is None or order.kind != 'stop'
            )
        orders.extend(
            self._answer_unreported_attempts(
                info, report, reported_attempt_keys
            )
        )
        orders = [order for order in orders if order is not None]
        if has_renewable_attempt:
            # An order without a job id renews the leases of all running
            # attempts.
            orders.append(
                messages.AttemptOrder('renew', '', 0, self._policy.lease_ms)
            )
        if any(order.lease_ms for order in orders):
            self._lease_tracker.record_grant(info.name, now_ms)
        return orders

    def _answer_attempt(self, info, attempt_report, now_ms):
        job = self._jobs_part.jobs.get(attempt_report.job_id)
        is_current = (
            job is not None
            and job.is_live
            and job.attempt == attempt_report.attempt
            and job.worker == info.name
        )
        if attempt_report.state == 'running':
            if not is_current:
                return _make_order(
                    'stop', attempt_report.job_id, attempt_report.attempt
                )
            return self._answer_running_attempt(job, attempt_report, now_ms)
        if not is_current:
            return _make_order(
                'forget', attempt_report.job_id, attempt_report.attempt
            )
        if attempt_report.state in ENDED_ATTEMPT_STATES:
            self._record_end(job, attempt_report)
        return None

    def _answer_running_attempt(self, job, attempt_report, now_ms):
        job_id = attempt_report.job_id
        if self._outbox.is_ending(job_id, attempt_report.attempt):
            return _make_order('stop', job_id, attempt_report.attempt)
        self._never_ordered_attempts.discard((job_id, attempt_report.attempt))
        self._start_tracker.record_running(job, now_ms)
        if not job.started:
            self._record_event(job, 'started')
        self._record_checkpoint(job, attempt_report, now_ms)
        if job.cancelled:
            return _make_order('stop', job_id, attempt_report.attempt)
        if job.state != states.EVICTING:
            return None
        if self._evictions.should_stop(job, attempt_report.checkpoint, now_ms):
            return _make_order('stop', job_id, attempt_report.attempt)
        return _make_order('checkpoint', job_id, attempt_report.attempt)

    def _record_checkpoint(self, job, attempt_report, now_ms):
        if attempt_report.checkpoint <= job.checkpoint:
            return
        last_recorded_ms = self._checkpoint_recorded_ms_by_job.get(
            attempt_report.job_id
        )
        is_evicting = job.state == states.EVICTING
        min_gap_ms = self._policy.checkpoint_gap_ms
        if (
            not is_evicting
            and last_recorded_ms is not None
            and now_ms - last_recorded_ms < min_gap_ms
        ):
            return
        self._checkpoint_recorded_ms_by_job[attempt_report.job_id] = now_ms
        self._record_event(
            job, 'checkpoint', checkpoint=attempt_report.checkpoint
        )

    def _record_end(self, job, attempt_report):
        self._never_ordered_attempts.discard(
            (attempt_report.job_id, attempt_report.attempt)
        )
        self._outbox.record_event(
            commands.AttemptEvent(
                attempt_report.job_id,
                attempt_report.attempt,
                attempt_report.state,
                max(attempt_report.checkpoint, 0),
                attempt_report.used,
                attempt_report.detail,
                commands.StartOutcome.SURVIVED,
            )
        )

    def _answer_unreported_attempts(self, info, report, reported_attempt_keys):
        """Yields an order or None for each attempt missing from the report.

        These are the attempts that the agreed state has on the worker, except
        those with an ending event that is not yet applied.
        """
        worker = self._jobs_part.workers.get(info.name)
        if worker is None:
            return
        for attempt_key in worker.jobs.items():
            if attempt_key in reported_attempt_keys or self._outbox.is_ending(
                *attempt_key
            ):
                continue
            yield self._answer_unreported_attempt(
                self._jobs_part.jobs[attempt_key[0]], report
            )

    def _answer_unreported_attempt(self, job, report):
        attempt_key = (job.spec.job_id, job.attempt)
        if job.incarnation < report.incarnation:
            self.record_lost_attempt(job, 'worker restarted')
            return None
        if job.incarnation > report.incarnation:
            return None
        if job.state == states.PLACED and not job.cancelled:
            self._never_ordered_attempts.discard(attempt_key)
            self._start_tracker.record_order(job)
            return self._make_start_order(job)
        if attempt_key in self._never_ordered_attempts:
            self.record_lost_attempt(job, 'never ordered')
            return None
        return _make_order('stop', *attempt_key)

    def _make_start_order(self, job):
        return messages.AttemptOrder(
            'start',
            job.spec.job_id,
            job.attempt,
            self._policy.lease_ms,
            job.reserved,
            job.checkpoint,
            0,
            job.spec.command,
            job.checkpoint_attempt,
        )

    def _record_loss(self, job, kind, detail, *, process_ended):
        start_outcome = self._start_tracker.find_start_outcome(
            job, process_ended
        )
        self._outbox.record_event(
            commands.AttemptEvent(
                job.spec.job_id,
                job.attempt,
                kind,
                detail=detail,
                start_outcome=start_outcome,
            )
        )

    def _record_event(self, job, kind, detail='', checkpoint=0):
        self._outbox.record_event(
            commands.AttemptEvent(
                job.spec.job_id, job.attempt, kind, checkpoint, None, detail
            )
        )


def _make_order(kind, job_id, attempt):
    return messages.AttemptOrder(kind, job_id, attempt)
