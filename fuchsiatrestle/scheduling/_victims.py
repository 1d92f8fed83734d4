"""Which running attempts to evict, least work lost first."""

from fuchsiatrestle.state import jobs as states

__all__ = ('Victims',)

# A job evicted so often more than another is spared before it.
EVICTIONS_STEP = 2


class Victims:
    """Orders evictable attempts by the work that stopping them loses.

    Args:
        part: the jobs part, read only.
        usage: the ``UsageBook``.
        evictions: evictions in progress.
        outbox: tells which attempts are about to end anyway.
    """

    def __init__(self, part, usage, evictions, outbox):
        self._part = part
        self._usage = usage
        self._evictions = evictions
        self._outbox = outbox

    def evictable(self, worker):
        """Returns the jobs on a worker that may be evicted.

        Jobs that are not idempotent, are urgent, were cancelled or already
        end are left out.
        """
        agreed = self._part.workers.get(worker)
        if agreed is None:
            return []
        jobs = (self._part.jobs[job_id] for job_id in agreed.jobs)
        return [job for job in jobs if self._may_evict(job)]

    def lost_work(self, job, now_ms):
        """Returns core-milliseconds since the last checkpoint."""
        usage = self._usage.get(job.spec.job_id)
        if usage is None or usage.attempt != job.attempt:
            return 0
        cores = usage.used.cpu_milli / 1000
        return cores * (now_ms - usage.checkpoint_ms)

    def cheapest(self, worker, now_ms, below_priority=-1):
        """Returns evictable jobs, the lowest priority and least loss first.

        Args:
            worker: name of the worker.
            now_ms: the time.
            below_priority: only jobs whose priority number is larger.
        """
        jobs = [
            job
            for job in self.evictable(worker)
            if job.spec.priority > below_priority
        ]
        jobs.sort(key=lambda job: self._order(job, now_ms))
        return jobs

    def _order(self, job, now_ms):
        return (
            -job.spec.priority,
            job.evictions // EVICTIONS_STEP,
            self.lost_work(job, now_ms),
            job.seq,
        )

    def _may_evict(self, job):
        job_id = job.spec.job_id
        return (
            job.spec.idempotent
            and not job.spec.urgent
            and not job.cancelled
            and job.state in (states.PLACED, states.RUNNING)
            and job_id not in self._evictions
            and not self._outbox.is_ending(job_id, job.attempt)
        )
