"""Compares what a worker reports with what is agreed, and answers it.

Facts from the report become attempt events to be agreed; orders follow from
the agreed state alone.  An attempt starts only on the worker incarnation that
its placement names, and is renewed only while no event that ends it is on
its way.
"""

from fuchsiatrestle import messages
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import jobs as states

__all__ = ('AttemptDesk',)

ENDED_REPORTS = frozenset(('stopped', 'done', 'failed', 'refused'))


class AttemptDesk:
    """Answers the attempts of worker reports.

    Args:
        part: the jobs part, read only.
        outbox: takes attempt events.
        evictions: evictions in progress.
        leases: the ``LeaseBook``.
        policy: the ``Policy``.
    """

    def __init__(self, part, outbox, evictions, leases, policy):
        self._part = part
        self._outbox = outbox
        self._evictions = evictions
        self._leases = leases
        self._policy = policy
        self._unordered = set()
        self._checkpoint_ms = {}

    # Knowledge of start orders

    def note_placed(self, job_id, attempt):
        """Notes a placement of this leader's term, not yet ordered."""
        self._unordered.add((job_id, attempt))

    def forget(self, job_id, attempt):
        """Drops what is kept about an attempt that has ended."""
        self._checkpoint_ms.pop(job_id, None)
        self._unordered.discard((job_id, attempt))

    def end_lost(self, job, detail):
        """Records the end of an attempt that its worker can not report."""
        key = (job.spec.job_id, job.attempt)
        if key in self._unordered:
            self._unordered.discard(key)
            self._record(job, 'refused', 'never ordered')
        elif detail == 'lease ran out':
            self._record(job, 'expired', detail)
        else:
            self._record(job, 'stopped', detail)

    def withdraw_unordered(self, worker):
        """Ends the attempts of a worker that were never ordered to start."""
        for job_id, attempt in list(worker.jobs.items()):
            if (job_id, attempt) in self._unordered:
                self.end_lost(self._part.jobs[job_id], 'never ordered')

    # Answers

    def answer(self, info, report, now_ms):
        """Returns the orders that answer the newest report of a worker."""
        orders = []
        seen = set()
        renews = False
        for item in report.attempts:
            seen.add((item.job_id, item.attempt))
            order = self._answer_item(info, item, now_ms)
            if order is not None:
                orders.append(order)
            renews |= item.state == 'running' and (
                order is None or order.kind != 'stop'
            )
        orders.extend(self._answer_missing(info, report, seen))
        orders = [order for order in orders if order is not None]
        if renews:
            orders.append(
                messages.AttemptOrder('renew', '', 0, self._policy.lease_ms)
            )
        if any(order.lease_ms for order in orders):
            self._leases.grant(info.name, now_ms)
        return orders

    def _answer_item(self, info, item, now_ms):
        job = self._part.jobs.get(item.job_id)
        current = (
            job is not None
            and job.is_live
            and job.attempt == item.attempt
            and job.worker == info.name
        )
        if item.state == 'running':
            if not current:
                return _order('stop', item.job_id, item.attempt)
            return self._answer_running(job, item, now_ms)
        if not current:
            return _order('forget', item.job_id, item.attempt)
        if item.state in ENDED_REPORTS:
            self._record_end(job, item)
        return None

    def _answer_running(self, job, item, now_ms):
        job_id = item.job_id
        if self._outbox.is_ending(job_id, item.attempt):
            return _order('stop', job_id, item.attempt)
        self._unordered.discard((job_id, item.attempt))
        if not job.started:
            self._record(job, 'started')
        self._record_checkpoint(job, item, now_ms)
        if job.cancelled:
            return _order('stop', job_id, item.attempt)
        if job.state != states.EVICTING:
            return None
        if self._evictions.wants_stop(job, item.checkpoint, now_ms):
            return _order('stop', job_id, item.attempt)
        return _order('checkpoint', job_id, item.attempt)

    def _record_checkpoint(self, job, item, now_ms):
        if item.checkpoint <= job.checkpoint:
            return
        last_ms = self._checkpoint_ms.get(item.job_id)
        hurried = job.state == states.EVICTING
        gap_ms = self._policy.checkpoint_gap_ms
        if not hurried and last_ms is not None and now_ms - last_ms < gap_ms:
            return
        self._checkpoint_ms[item.job_id] = now_ms
        self._record(job, 'checkpoint', checkpoint=item.checkpoint)

    def _record_end(self, job, item):
        self._unordered.discard((item.job_id, item.attempt))
        self._outbox.record(
            commands.AttemptEvent(
                item.job_id,
                item.attempt,
                item.state,
                max(item.checkpoint, 0),
                item.used,
                item.detail,
            )
        )

    def _answer_missing(self, info, report, seen):
        worker = self._part.workers.get(info.name)
        if worker is None:
            return
        for key in worker.jobs.items():
            if key in seen or self._outbox.is_ending(*key):
                continue
            yield self._answer_unreported(self._part.jobs[key[0]], report)

    def _answer_unreported(self, job, report):
        key = (job.spec.job_id, job.attempt)
        if job.incarnation < report.incarnation:
            self.end_lost(job, 'worker restarted')
            return None
        if job.incarnation > report.incarnation:
            return None
        if job.state == states.PLACED and not job.cancelled:
            self._unordered.discard(key)
            return self._start(job)
        if key in self._unordered:
            self.end_lost(job, 'never ordered')
            return None
        return _order('stop', *key)

    def _start(self, job):
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

    def _record(self, job, kind, detail='', checkpoint=0):
        self._outbox.record(
            commands.AttemptEvent(
                job.spec.job_id, job.attempt, kind, checkpoint, None, detail
            )
        )


def _order(kind, job_id, attempt):
    return messages.AttemptOrder(kind, job_id, attempt)
