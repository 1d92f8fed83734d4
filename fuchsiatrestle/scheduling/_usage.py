"""Usage of the running attempts, as late measurements tell it."""

import collections

from fuchsiatrestle import messages

__all__ = (
    'AttemptUsage',
    'UsageTracker',
)

MIX_HISTORY_MS = 60_000
MAX_MIX_HISTORY = 128


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

    def update(self, attempt_report, now_ms):
        """Takes one ``AttemptReport``."""
        self.used = attempt_report.used
        self.peak_cpu_milli = max(
            self.peak_cpu_milli, attempt_report.used.cpu_milli
        )
        self.peak_memory_mib = max(
            self.peak_memory_mib, attempt_report.used.memory_mib
        )
        if attempt_report.checkpoint > self.checkpoint:
            self.checkpoint = attempt_report.checkpoint
            self.checkpoint_ms = now_ms


class UsageTracker:
    """Usage by job, and the recent mix of classes on each worker.

    Args:
        jobs_part: the ``JobsPart`` of the replicated state, read only.
        sizes: the ``SizeRule`` to feed.
    """

    def __init__(self, jobs_part, sizes):
        self._jobs_part = jobs_part
        self._sizes = sizes
        self._usage_by_job = {}
        self._class_usage_by_worker = {}

    def get(self, job_id):
        """Returns the ``AttemptUsage`` of a job, or None."""
        return self._usage_by_job.get(job_id)

    def record_report(self, report, now_ms):
        """Takes the attempts of one report."""
        cpu_milli_by_class = collections.Counter()
        age_ms = 0
        for attempt_report in report.attempts:
            usage = self._find_usage(attempt_report, report.worker, now_ms)
            if usage is None:
                continue
            usage.update(attempt_report, now_ms)
            cpu_milli_by_class[usage.spec.job_class] += (
                attempt_report.used.cpu_milli
            )
            age_ms = max(age_ms, attempt_report.age_ms)
        history = self._class_usage_by_worker.setdefault(
            report.worker, collections.deque(maxlen=MAX_MIX_HISTORY)
        )
        history.append((now_ms - age_ms, cpu_milli_by_class))
        while history[0][0] < now_ms - MIX_HISTORY_MS:
            history.popleft()

    def class_usage_at(self, worker, time_ms):
        """Returns processor time by class, about when ``time_ms`` was."""
        history = self._class_usage_by_worker.get(worker)
        if not history:
            return {}
        for measured_ms, cpu_milli_by_class in reversed(history):
            if measured_ms <= time_ms:
                return cpu_milli_by_class
        return history[0][1]

    def end_attempt(self, job_id):
        """Drops an attempt that ended, after learning from it."""
        usage = self._usage_by_job.pop(job_id, None)
        if usage is not None and usage.peak_cpu_milli:
            self._sizes.record_peak(usage.spec, usage.peak)

    def drop_worker(self, worker):
        """Forgets a worker."""
        self._class_usage_by_worker.pop(worker, None)

    def _find_usage(self, attempt_report, worker, now_ms):
        job = self._jobs_part.jobs.get(attempt_report.job_id)
        if (
            job is None
            or not job.is_live
            or job.attempt != attempt_report.attempt
        ):
            return None
        if job.worker != worker or attempt_report.state != 'running':
            return None
        usage = self._usage_by_job.get(attempt_report.job_id)
        if usage is None or usage.attempt != job.attempt:
            usage = self._usage_by_job[attempt_report.job_id] = AttemptUsage(
                job, now_ms
            )
        return usage
