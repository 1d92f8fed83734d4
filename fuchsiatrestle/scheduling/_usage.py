"""Measured usage of running attempts; measurements arrive with a delay."""

import collections

from fuchsiatrestle import messages

__all__ = (
    'AttemptUsage',
    'UsageTracker',
)

# Bounds on the age and on the number of the measurements of usage by job class
# that are kept for each worker.
CLASS_USAGE_HISTORY_MS = 60_000
MAX_CLASS_USAGE_HISTORY = 128


class AttemptUsage:
    """Measured usage and checkpoint of one attempt.

    Attributes:
        attempt: attempt number.
        worker: name of the worker that runs it.
        spec: the ``commands.JobSpec`` of its job.
        used: newest measured ``messages.Resources``.
        peak_cpu_milli: largest processor time used, thousandths of a core.
        peak_memory_mib: largest memory used.
        checkpoint: newest checkpoint reported.
        checkpoint_ms: monotonic time when that checkpoint was first
            reported, or when the attempt was first seen.
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
        """Largest usage as ``messages.Resources``, without accelerators."""
        return messages.Resources(self.peak_cpu_milli, self.peak_memory_mib)

    def update_from_report(self, attempt_report, now_ms):
        """Updates usage, peaks and checkpoint from an ``AttemptReport``."""
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
    """Tracks usage by job, and by job class on each worker.

    Usage by class is kept for ``CLASS_USAGE_HISTORY_MS``.

    Args:
        jobs_part: the ``JobsPart`` of the replicated state, read only.
        size_rule: the ``SizeRule`` that learns from ended attempts.
    """

    def __init__(self, jobs_part, size_rule):
        self._jobs_part = jobs_part
        self._size_rule = size_rule
        self._usage_by_job = {}
        self._class_usage_by_worker = {}

    def get(self, job_id):
        """Returns the ``AttemptUsage`` of a job, or None."""
        return self._usage_by_job.get(job_id)

    def record_report(self, report, now_ms):
        """Records the usage of the running attempts in one report."""
        cpu_milli_by_class = collections.Counter()
        age_ms = 0
        for attempt_report in report.attempts:
            usage = self._find_usage(attempt_report, report.worker, now_ms)
            if usage is None:
                continue
            usage.update_from_report(attempt_report, now_ms)
            cpu_milli_by_class[usage.spec.job_class] += (
                attempt_report.used.cpu_milli
            )
            age_ms = max(age_ms, attempt_report.age_ms)
        class_usage_history = self._class_usage_by_worker.setdefault(
            report.worker, collections.deque(maxlen=MAX_CLASS_USAGE_HISTORY)
        )
        class_usage_history.append((now_ms - age_ms, cpu_milli_by_class))
        while class_usage_history[0][0] < now_ms - CLASS_USAGE_HISTORY_MS:
            class_usage_history.popleft()

    def class_usage_at(self, worker_name, time_ms):
        """Returns the newest processor time by class up to a given time.

        Args:
            worker_name: name of the worker.
            time_ms: monotonic time; if it is before the oldest known
                measurement, that one is returned.

        Returns:
            Thousandths of a core by job class.
        """
        class_usage_history = self._class_usage_by_worker.get(worker_name)
        if not class_usage_history:
            return {}
        for measured_ms, cpu_milli_by_class in reversed(class_usage_history):
            if measured_ms <= time_ms:
                return cpu_milli_by_class
        return class_usage_history[0][1]

    def end_attempt(self, job_id):
        """Removes a job's attempt; gives its peak usage to the size rule."""
        usage = self._usage_by_job.pop(job_id, None)
        if usage is not None and usage.peak_cpu_milli:
            self._size_rule.record_peak(usage.spec, usage.peak)

    def drop_worker(self, worker_name):
        """Discards the history of a worker that left the cell."""
        self._class_usage_by_worker.pop(worker_name, None)

    def _find_usage(self, attempt_report, worker_name, now_ms):
        """Returns the usage of a reported attempt; creates it if missing.

        None if the attempt is not running or not the job's current one there.
        """
        job = self._jobs_part.jobs.get(attempt_report.job_id)
        if (
            job is None
            or not job.is_live
            or job.attempt != attempt_report.attempt
        ):
            return None
        if job.worker != worker_name or attempt_report.state != 'running':
            return None
        usage = self._usage_by_job.get(attempt_report.job_id)
        if usage is None or usage.attempt != job.attempt:
            usage = self._usage_by_job[attempt_report.job_id] = AttemptUsage(
                job, now_ms
            )
        return usage
