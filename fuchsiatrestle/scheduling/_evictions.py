"""Evictions in progress.

An eviction is first proposed to the replicated log as an event of the attempt.
Once the event is applied, the worker gets an order to write a checkpoint, and
an order to stop after the next checkpoint or after a time limit.
"""

import collections

from fuchsiatrestle.state import commands

__all__ = ('Evictions',)

# An evicted job is not placed on the same worker again for this long.
AVOID_WORKER_MS = 60_000
# Bound on the jobs that avoid a worker; the one whose eviction ended first is
# dropped.
MAX_AVOIDING_JOBS = 4096


class _Eviction:
    """One eviction in progress.

    Attributes:
        attempt: number of the attempt being evicted.
        worker_name: name of the worker that runs the attempt.
        initial_checkpoint: last checkpoint in the replicated state when the
            eviction began; the attempt may stop once a newer one is reported.
        stop_deadline_ms: monotonic time from which the attempt is stopped even
            without a newer checkpoint.
    """

    __slots__ = (
        'attempt',
        'initial_checkpoint',
        'stop_deadline_ms',
        'worker_name',
    )

    def __init__(self, job, stop_deadline_ms):
        self.attempt = job.attempt
        self.worker_name = job.worker
        self.initial_checkpoint = job.checkpoint
        self.stop_deadline_ms = stop_deadline_ms


class Evictions:
    """Tracks the evictions that this leader or an earlier one began.

    Args:
        outbox: the ``Outbox`` that proposes the evicting event.
        policy: the ``Policy``.
    """

    def __init__(self, outbox, policy):
        self._outbox = outbox
        self._policy = policy
        self._eviction_by_job = {}
        self._avoided_worker_by_job = collections.OrderedDict()

    def __contains__(self, job_id):
        return job_id in self._eviction_by_job

    def __len__(self):
        return len(self._eviction_by_job)

    def begin_eviction(self, job, now_ms, reason, patience_ms=None):
        """Begins to evict the live attempt of an idempotent job.

        Does nothing if the job is being evicted or is not idempotent.

        Args:
            job: the job.
            now_ms: monotonic time in milliseconds.
            reason: why, for the job's history.
            patience_ms: longest wait for a checkpoint before the stop, in
                milliseconds; None for ``Policy.evict_patience_ms``.
        """
        job_id = job.spec.job_id
        if job_id in self._eviction_by_job or not job.spec.idempotent:
            return
        self._track_eviction(job, now_ms, patience_ms)
        self._outbox.record_event(
            commands.AttemptEvent(
                job_id, job.attempt, 'evicting', detail=reason
            )
        )

    def should_stop(self, job, checkpoint, now_ms):
        """True if the attempt should stop, False to wait for a checkpoint.

        Args:
            job: a job in state ``evicting``.
            checkpoint: last checkpoint that the worker reported.
            now_ms: monotonic time in milliseconds.
        """
        eviction = self._eviction_by_job.get(job.spec.job_id)
        if eviction is None or eviction.attempt != job.attempt:
            # An earlier leader began this eviction, at a time that is not
            # recorded.  If each leader waited for the full time again, a
            # series of leaders would never stop the attempt.
            eviction = self._track_eviction(
                job, now_ms, self._policy.urgent_patience_ms
            )
        if checkpoint > eviction.initial_checkpoint:
            return True
        return now_ms >= eviction.stop_deadline_ms

    def end_eviction(self, job_id, now_ms):
        """Ends a job's eviction, if any, once the attempt has ended.

        The job then avoids the worker of that attempt for ``AVOID_WORKER_MS``.
        """
        eviction = self._eviction_by_job.pop(job_id, None)
        if eviction is None:
            return
        self._avoided_worker_by_job[job_id] = (
            eviction.worker_name,
            now_ms + AVOID_WORKER_MS,
        )
        self._avoided_worker_by_job.move_to_end(job_id)
        while len(self._avoided_worker_by_job) > MAX_AVOIDING_JOBS:
            self._avoided_worker_by_job.popitem(last=False)

    def worker_to_avoid(self, job_id, now_ms):
        """Returns the worker that an evicted job must not go to, or empty.

        It is the one that the job was evicted from, for ``AVOID_WORKER_MS``
        after the eviction ended.
        """
        worker_name, avoid_until_ms = self._avoided_worker_by_job.get(
            job_id, ('', 0)
        )
        return worker_name if now_ms < avoid_until_ms else ''

    def pop_ended_avoidances(self, now_ms):
        """Returns the jobs that avoid no worker any more, and forgets them."""
        job_ids = []
        while self._avoided_worker_by_job:
            job_id, (_, avoid_until_ms) = next(
                iter(self._avoided_worker_by_job.items())
            )
            if now_ms < avoid_until_ms:
                break
            del self._avoided_worker_by_job[job_id]
            job_ids.append(job_id)
        return job_ids

    def _track_eviction(self, job, now_ms, patience_ms):
        if patience_ms is None:
            patience_ms = self._policy.evict_patience_ms
        eviction = _Eviction(job, now_ms + patience_ms)
        self._eviction_by_job[job.spec.job_id] = eviction
        return eviction
