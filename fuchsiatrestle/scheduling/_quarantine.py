"""Quarantine of workers that fail what other workers can run.

A failure counts against a worker only while the job has not failed on
another trusted worker too, and counts twice once the job succeeded
elsewhere.  So a job that can never run condemns no worker, and a worker that
fails everything is known after a few distinct jobs.
"""

import collections

__all__ = ('Quarantine',)

MAX_FAILURES_PER_WORKER = 32
MAX_FAILED_JOBS = 16_384
QUARANTINE_WEIGHT = 4
MIN_DISTINCT_JOBS = 3
# Most successes among the recent ends for a worker to be called bad.
MAX_SUCCESS_SHARE = 0.3
RECENT_RESULTS = 16
FIRST_PROBE_DELAY_MS = 30_000
MAX_PROBE_DELAY_MS = 600_000
PROBES_TO_RELEASE = 2

_SUSPECTED_WEIGHT = 1
_CONFIRMED_WEIGHT = 2


class _WorkerRecord:
    """What one worker did with recent jobs."""

    __slots__ = (
        'failures',
        'next_probe_ms',
        'probe_delay_ms',
        'probe_job_id',
        'probes_passed',
        'recent_results',
    )

    def __init__(self):
        self.failures = collections.OrderedDict()
        self.recent_results = collections.deque(maxlen=RECENT_RESULTS)
        self.probe_delay_ms = FIRST_PROBE_DELAY_MS
        self.next_probe_ms = 0
        self.probe_job_id = None
        self.probes_passed = 0

    @property
    def is_faulty(self):
        """True if recent failures are too many to be the jobs' own."""
        if len(self.failures) < MIN_DISTINCT_JOBS:
            return False
        if sum(self.failures.values()) < QUARANTINE_WEIGHT:
            return False
        return sum(self.recent_results) <= MAX_SUCCESS_SHARE * len(
            self.recent_results
        )


class Quarantine:
    """Success and failure of workers over distinct jobs."""

    def __init__(self):
        self._records = {}
        self._quarantined = {}
        self._failed_workers_by_job = collections.OrderedDict()

    def __len__(self):
        return len(self._quarantined)

    def is_quarantined(self, worker):
        """True while only probes may go to the worker."""
        return worker in self._quarantined

    def record_success(self, worker, job_id, now_ms):
        """Takes a job that ended well; returns workers that changed."""
        record = self._worker_record(worker)
        record.recent_results.append(1)
        if record.failures:
            record.failures.popitem(last=False)
        changed = []
        if worker in self._quarantined and record.probe_job_id == job_id:
            if self._record_passed_probe(worker, record):
                changed.append(worker)
        for other in self._failed_workers_by_job.pop(job_id, ()):
            if (
                other != worker
                and job_id in self._worker_record(other).failures
            ):
                self._worker_record(other).failures[job_id] = _CONFIRMED_WEIGHT
                changed.extend(self._quarantine_if_faulty(other, now_ms))
        return changed

    def record_failure(self, worker, job_id, now_ms):
        """Takes a job that failed; returns workers that changed."""
        record = self._worker_record(worker)
        record.recent_results.append(0)
        if worker in self._quarantined:
            self._record_failed_probe(record, job_id, now_ms)
            return []
        others = [
            name
            for name in self._failed_workers_by_job.get(job_id, ())
            if name != worker and not self.is_quarantined(name)
        ]
        self._add_failed_worker(job_id, worker)
        if others:
            for name in others:
                self._worker_record(name).failures.pop(job_id, None)
            return []
        record.failures[job_id] = _SUSPECTED_WEIGHT
        while len(record.failures) > MAX_FAILURES_PER_WORKER:
            record.failures.popitem(last=False)
        return self._quarantine_if_faulty(worker, now_ms)

    def due_probes(self, now_ms):
        """Returns quarantined workers that should get one attempt."""
        return [
            name
            for name, record in self._quarantined.items()
            if record.probe_job_id is None and now_ms >= record.next_probe_ms
        ]

    def begin_probe(self, worker, job_id):
        """Notes the one attempt that a quarantined worker gets."""
        self._records[worker].probe_job_id = job_id

    def end_probe(self, worker, job_id):
        """Notes that a probe ended without success or failure."""
        record = self._records.get(worker)
        if record is not None and record.probe_job_id == job_id:
            record.probe_job_id = None

    def drop_worker(self, worker):
        """Forgets a worker."""
        self._records.pop(worker, None)
        self._quarantined.pop(worker, None)

    def _add_failed_worker(self, job_id, worker):
        self._failed_workers_by_job.setdefault(job_id, []).append(worker)
        self._failed_workers_by_job.move_to_end(job_id)
        while len(self._failed_workers_by_job) > MAX_FAILED_JOBS:
            self._failed_workers_by_job.popitem(last=False)

    def _worker_record(self, worker):
        record = self._records.get(worker)
        if record is None:
            record = self._records[worker] = _WorkerRecord()
        return record

    def _quarantine_if_faulty(self, worker, now_ms):
        record = self._worker_record(worker)
        if worker in self._quarantined or not record.is_faulty:
            return []
        self._quarantined[worker] = record
        record.probes_passed = 0
        record.probe_job_id = None
        record.next_probe_ms = now_ms + record.probe_delay_ms
        return [worker]

    def _record_passed_probe(self, worker, record):
        record.probe_job_id = None
        record.probes_passed += 1
        if record.probes_passed < PROBES_TO_RELEASE:
            return False
        del self._quarantined[worker]
        record.probe_delay_ms = FIRST_PROBE_DELAY_MS
        record.recent_results.clear()
        record.failures.clear()
        return True

    @staticmethod
    def _record_failed_probe(record, job_id, now_ms):
        if record.probe_job_id == job_id:
            record.probe_job_id = None
        record.probes_passed = 0
        record.probe_delay_ms = min(
            2 * record.probe_delay_ms, MAX_PROBE_DELAY_MS
        )
        record.next_probe_ms = now_ms + record.probe_delay_ms
