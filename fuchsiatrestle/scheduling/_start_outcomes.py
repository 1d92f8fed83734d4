"""Tells attempts that may have crashed their workers from harmless ones."""

from fuchsiatrestle.state import commands

__all__ = ('StartTracker',)

# Time for which a worker has to report an attempt as running until the attempt
# counts as harmless.
SURVIVAL_MS = 1000

_StartOutcome = commands.StartOutcome


class StartTracker:
    """Records the starts that this leader ordered and the reports on them.

    An attempt that is not known here was ordered by an earlier leader.
    """

    def __init__(self):
        self._ordered_attempts = set()
        # First and last time at which a worker reported an attempt as
        # running, by (job id, attempt).
        self._running_span_ms = {}

    def record_order(self, job):
        """Records that the start of a job's attempt was ordered."""
        self._ordered_attempts.add((job.spec.job_id, job.attempt))

    def record_running(self, job, now_ms):
        """Records that a worker reported the attempt of a job as running."""
        key = (job.spec.job_id, job.attempt)
        first_ms, _ = self._running_span_ms.get(key, (now_ms, now_ms))
        self._running_span_ms[key] = (first_ms, now_ms)

    def forget_attempt(self, job_id, attempt):
        """Discards what is recorded about an attempt that has ended."""
        self._ordered_attempts.discard((job_id, attempt))
        self._running_span_ms.pop((job_id, attempt), None)

    def find_start_outcome(self, job, process_ended):
        """Returns the ``commands.StartOutcome`` of a lost attempt.

        Args:
            job: the job with the attempt.
            process_ended: True if the process of its worker has certainly
                ended, False if the worker may have been cut off.
        """
        key = (job.spec.job_id, job.attempt)
        first_ms, last_ms = self._running_span_ms.get(key, (0, 0))
        if last_ms - first_ms >= SURVIVAL_MS:
            return _StartOutcome.SURVIVED
        if key in self._ordered_attempts:
            return (
                _StartOutcome.CRASHED
                if process_ended
                else _StartOutcome.MAY_HAVE_CRASHED
            )
        if job.started:
            return _StartOutcome.UNKNOWN
        return _StartOutcome.MAY_HAVE_CRASHED
