"""Orderly evictions: agreed first, then checkpoint, then stop."""

import collections

from fuchsiatrestle.state import commands

__all__ = ('Evictions',)

# An evicted job is not placed where it was evicted for this long.
AVOID_MS = 60_000
MAX_AVOIDED = 4096


class _Eviction:
    """One eviction in progress."""

    __slots__ = ('attempt', 'base_checkpoint', 'stop_ms', 'worker')

    def __init__(self, job, stop_ms):
        self.attempt = job.attempt
        self.worker = job.worker
        self.base_checkpoint = job.checkpoint
        self.stop_ms = stop_ms


class Evictions:
    """Evictions that this leader began or found in the agreed state.

    Args:
        outbox: takes the event that makes an eviction agreed.
        policy: the ``Policy``.
    """

    def __init__(self, outbox, policy):
        self._outbox = outbox
        self._policy = policy
        self._evictions = {}
        self._avoided = collections.OrderedDict()

    def __contains__(self, job_id):
        return job_id in self._evictions

    def __len__(self):
        return len(self._evictions)

    def begin(self, job, now_ms, reason, patience_ms=None):
        """Starts to evict the live attempt of an idempotent job.

        Args:
            job: the job.
            now_ms: the time.
            reason: why, for the job's history.
            patience_ms: time given for a checkpoint before the stop.
        """
        job_id = job.spec.job_id
        if job_id in self._evictions or not job.spec.idempotent:
            return
        self._remember(job, now_ms, patience_ms)
        self._outbox.record(
            commands.AttemptEvent(
                job_id, job.attempt, 'evicting', detail=reason
            )
        )

    def wants_stop(self, job, checkpoint, now_ms):
        """True once the attempt should stop, False to wait for a checkpoint.

        Args:
            job: a job whose eviction is agreed.
            checkpoint: last checkpoint that the worker reported.
            now_ms: the time.
        """
        eviction = self._evictions.get(job.spec.job_id)
        if eviction is None or eviction.attempt != job.attempt:
            # A predecessor began it; it gets the full patience again.
            eviction = self._remember(job, now_ms, None)
        if checkpoint > eviction.base_checkpoint:
            return True
        return now_ms >= eviction.stop_ms

    def forget(self, job_id, now_ms):
        """Drops an eviction whose attempt has ended."""
        eviction = self._evictions.pop(job_id, None)
        if eviction is None:
            return
        self._avoided[job_id] = (eviction.worker, now_ms + AVOID_MS)
        self._avoided.move_to_end(job_id)
        while len(self._avoided) > MAX_AVOIDED:
            self._avoided.popitem(last=False)

    def avoided(self, job_id, now_ms):
        """Returns the worker that a job was lately evicted from, or empty."""
        worker, until_ms = self._avoided.get(job_id, ('', 0))
        return worker if now_ms < until_ms else ''

    def _remember(self, job, now_ms, patience_ms):
        if patience_ms is None:
            patience_ms = self._policy.evict_patience_ms
        eviction = _Eviction(job, now_ms + patience_ms)
        self._evictions[job.spec.job_id] = eviction
        return eviction
