"""Usage of the running attempts, as late measurements tell it."""

import collections

from fuchsiatrestle import messages

__all__ = (
    'AttemptUsage',
    'UsageBook',
)

HISTORY_MS = 60_000
MAX_HISTORY = 128


class AttemptUsage:
    """What is measured of one attempt.

    Attributes:
        attempt: attempt number.
        worker: where it runs.
        spec: the ``commands.JobSpec`` of its job.
        used: newest usage.
        peak_cpu_milli: largest processor time used.
        peak_memory_mib: largest memory used.
        checkpoint: newest checkpoint reported.
        checkpoint_ms: when that checkpoint was first reported.
    """

    __slots__ = (
        'attempt',
        'checkpoint',
        'checkpoint_ms',
        'peak_cpu_milli',
        'peak_memory_mib',
        'spec',
        'used',
        'worker',
    )

    def __init__(self, job, now_ms):
        self.attempt = job.attempt
        self.worker = job.worker
        self.spec = job.spec
        self.used = messages.Resources(0, 0)
        self.peak_cpu_milli = 0
        self.peak_memory_mib = 0
        self.checkpoint = job.checkpoint
        self.checkpoint_ms = now_ms

    @property
    def peak(self):
        """Largest usage seen."""
        return messages.Resources(self.peak_cpu_milli, self.peak_memory_mib)

    def take(self, item, now_ms):
        """Takes one ``AttemptReport``."""
        self.used = item.used
        self.peak_cpu_milli = max(self.peak_cpu_milli, item.used.cpu_milli)
        self.peak_memory_mib = max(self.peak_memory_mib, item.used.memory_mib)
        if item.checkpoint > self.checkpoint:
            self.checkpoint = item.checkpoint
            self.checkpoint_ms = now_ms


class UsageBook:
    """Usage by job, and the recent mix of classes on each worker.

    Args:
        part: the jobs part, read only.
        sizes: the ``SizeRule`` to feed.
    """

    def __init__(self, part, sizes):
        self._part = part
        self._sizes = sizes
        self._attempts = {}
        self._mixes = {}

    def get(self, job_id):
        """Returns the ``AttemptUsage`` of a job, or None."""
        return self._attempts.get(job_id)

    def take(self, report, now_ms):
        """Takes the attempts of one report."""
        mix = collections.Counter()
        age_ms = 0
        for item in report.attempts:
            usage = self._usage(item, report.worker, now_ms)
            if usage is None:
                continue
            usage.take(item, now_ms)
            mix[usage.spec.job_class] += item.used.cpu_milli
            age_ms = max(age_ms, item.age_ms)
        history = self._mixes.setdefault(
            report.worker, collections.deque(maxlen=MAX_HISTORY)
        )
        history.append((now_ms - age_ms, mix))
        while history[0][0] < now_ms - HISTORY_MS:
            history.popleft()

    def mix_at(self, worker, time_ms):
        """Returns processor time by class, about when ``time_ms`` was."""
        history = self._mixes.get(worker)
        if not history:
            return {}
        for measured_ms, mix in reversed(history):
            if measured_ms <= time_ms:
                return mix
        return history[0][1]

    def end(self, job_id):
        """Drops an attempt that ended, after learning from it."""
        usage = self._attempts.pop(job_id, None)
        if usage is not None and usage.peak_cpu_milli:
            self._sizes.note(usage.spec, usage.peak)

    def drop_worker(self, worker):
        """Forgets a worker."""
        self._mixes.pop(worker, None)

    def _usage(self, item, worker, now_ms):
        job = self._part.jobs.get(item.job_id)
        if job is None or not job.is_live or job.attempt != item.attempt:
            return None
        if job.worker != worker or item.state != 'running':
            return None
        usage = self._attempts.get(item.job_id)
        if usage is None or usage.attempt != job.attempt:
            usage = self._attempts[item.job_id] = AttemptUsage(job, now_ms)
        return usage
