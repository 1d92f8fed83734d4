"""Choice of the attempts to evict, those that lose least work first."""

from fuchsiatrestle.state import jobs as states

__all__ = ('VictimSelector',)

# A job ranks behind the jobs of its priority that were evicted less often,
# counted in steps of this many evictions, so that the same job isn't evicted
# over and over.
EVICTIONS_PER_RANK = 2


class VictimSelector:
    """Lists evictable attempts and ranks them by the work lost.

    Args:
        jobs_part: the ``JobsPart`` of the replicated state, read only.
        usage_tracker: the ``UsageTracker``.
        evictions: the ``Evictions`` in progress.
        outbox: the ``Outbox``, which knows the attempts whose end is already
            proposed.
    """

    def __init__(self, jobs_part, usage_tracker, evictions, outbox):
        self._jobs_part = jobs_part
        self._usage_tracker = usage_tracker
        self._evictions = evictions
        self._outbox = outbox

    def evictable_jobs(self, worker_name):
        """Returns the jobs on a worker that may be evicted.

        Not among them are jobs that are urgent, cancelled or not idempotent,
        and jobs whose attempt is being evicted or about to end.
        """
        worker = self._jobs_part.workers.get(worker_name)
        if worker is None:
            return []
        jobs = (self._jobs_part.jobs[job_id] for job_id in worker.jobs)
        return [job for job in jobs if self._can_evict(job)]

    def lost_core_ms(self, job, now_ms):
        """Returns the work that an eviction loses, in core-milliseconds.

        That is milliseconds of one processor core: the current processor use
        times the time since the last checkpoint, and 0 if the attempt has not
        been measured.
        """
        usage = self._usage_tracker.get(job.spec.job_id)
        if usage is None or usage.attempt != job.attempt:
            return 0
        cores = usage.used.cpu_milli / 1000
        return cores * (now_ms - usage.checkpoint_ms)

    def rank_by_loss(self, worker_name, now_ms, below_priority=-1):
        """Returns evictable jobs, lowest priority and least loss first.

        Args:
            worker_name: name of the worker.
            now_ms: monotonic time in milliseconds.
            below_priority: return only jobs with a larger priority number,
                that is, of lower priority.
        """
        jobs = [
            job
            for job in self.evictable_jobs(worker_name)
            if job.spec.priority > below_priority
        ]
        jobs.sort(key=lambda job: self._eviction_sort_key(job, now_ms))
        return jobs

    def _eviction_sort_key(self, job, now_ms):
        return (
            -job.spec.priority,
            job.evictions // EVICTIONS_PER_RANK,
            self.lost_core_ms(job, now_ms),
            job.seq,
        )

    def _can_evict(self, job):
        job_id = job.spec.job_id
        return (
            job.spec.idempotent
            and not job.spec.urgent
            and not job.cancelled
            and job.state in (states.PLACED, states.RUNNING)
            and job_id not in self._evictions
            and not self._outbox.is_ending(job_id, job.attempt)
        )
