"""Quarantine of workers that fail jobs which other workers can run.

A failure counts against a worker only while the job has not also failed on
another worker that is not in quarantine.  The failure counts twice once the
job has succeeded on another worker.  So a job that always fails puts no worker
in quarantine, and a worker that fails everything is recognised after a few
distinct jobs (see ``QUARANTINE_WEIGHT``).

A worker in quarantine gets one attempt at a time as a probe, and is released
after ``PROBES_TO_RELEASE`` probes in a row have succeeded.  A probe is long
due if none was found within ``MAX_PROBE_DELAY_MS``.
"""

import collections

__all__ = ('Quarantine',)

# Bounds on the failures kept of each worker, and on the jobs whose failed
# workers are kept; the oldest failure or job is dropped.
MAX_FAILURES_PER_WORKER = 32
MAX_FAILED_JOBS = 16_384
# A worker is faulty if the weights of its failures add up to at least
# QUARANTINE_WEIGHT, the failures come from at least MIN_DISTINCT_JOBS jobs,
# and at most MAX_SUCCESS_SHARE of its last RECENT_RESULTS results are
# successes.
QUARANTINE_WEIGHT = 4
MIN_DISTINCT_JOBS = 3
MAX_SUCCESS_SHARE = 0.3
RECENT_RESULTS = 16
# Wait before the first probe; doubled after each failed probe up to the
# maximum.
FIRST_PROBE_DELAY_MS = 30_000
MAX_PROBE_DELAY_MS = 600_000
PROBES_TO_RELEASE = 2

# Weight of a failure, before and after the job succeeded on another worker.
_SUSPECTED_WEIGHT = 1
_CONFIRMED_WEIGHT = 2


class _WorkerRecord:
    """Recent results of one worker, and the state of its probes.

    Attributes:
        failure_weight_by_job: weight of each failure that counts, by job id.
        recent_results: 1 for a success and 0 for a failure, newest last.
        probe_delay_ms: wait before the next probe.
        next_probe_ms: monotonic time from which a probe may be placed.
        probe_job_id: job of the probe in progress, or None.
        passed_probe_count: successful probes in a row.
    """

    __slots__ = (
        'failure_weight_by_job',
        'next_probe_ms',
        'passed_probe_count',
        'probe_delay_ms',
        'probe_job_id',
        'recent_results',
    )

    def __init__(self):
        self.failure_weight_by_job = collections.OrderedDict()
        self.recent_results = collections.deque(maxlen=RECENT_RESULTS)
        self.probe_delay_ms = FIRST_PROBE_DELAY_MS
        self.next_probe_ms = 0
        self.probe_job_id = None
        self.passed_probe_count = 0

    @property
    def is_faulty(self):
        """True if the failures are more likely the worker's than the jobs'."""
        if len(self.failure_weight_by_job) < MIN_DISTINCT_JOBS:
            return False
        if sum(self.failure_weight_by_job.values()) < QUARANTINE_WEIGHT:
            return False
        return sum(self.recent_results) <= MAX_SUCCESS_SHARE * len(
            self.recent_results
        )


class Quarantine:
    """Tracks results of workers and decides which are in quarantine."""

    def __init__(self):
        self._record_by_worker = {}
        self._quarantined_records = {}
        self._failed_workers_by_job = collections.OrderedDict()

    def __len__(self):
        return len(self._quarantined_records)

    def is_quarantined(self, worker_name):
        """True while only probes may be placed on the worker."""
        return worker_name in self._quarantined_records

    def record_success(self, worker_name, job_id, now_ms):
        """Records that a job succeeded on a worker.

        The worker's oldest failure no longer counts.  Failures of the same
        job on other workers count twice from now on.

        Returns:
            The workers that entered or left quarantine through this result.
        """
        record = self._worker_record(worker_name)
        record.recent_results.append(1)
        if record.failure_weight_by_job:
            record.failure_weight_by_job.popitem(last=False)
        changed_workers = []
        if (
            worker_name in self._quarantined_records
            and record.probe_job_id == job_id
        ):
            if self._record_passed_probe(worker_name, record):
                changed_workers.append(worker_name)
        for other_worker_name in self._failed_workers_by_job.pop(job_id, ()):
            if (
                other_worker_name != worker_name
                and job_id
                in self._worker_record(other_worker_name).failure_weight_by_job
            ):
                self._worker_record(other_worker_name).failure_weight_by_job[
                    job_id
                ] = _CONFIRMED_WEIGHT
                changed_workers.extend(
                    self._quarantine_if_faulty(other_worker_name, now_ms)
                )
        return changed_workers

    def record_failure(self, worker_name, job_id, now_ms):
        """Records that a job failed on a worker.

        If the job has also failed on other workers that are not in
        quarantine, the failures of the job count neither against this worker
        nor against those others.

        Returns:
            The workers that entered quarantine through this result.
        """
        record = self._worker_record(worker_name)
        record.recent_results.append(0)
        if worker_name in self._quarantined_records:
            self._record_failed_probe(record, job_id, now_ms)
            return []
        other_failed_workers = [
            name
            for name in self._failed_workers_by_job.get(job_id, ())
            if name != worker_name and not self.is_quarantined(name)
        ]
        self._add_failed_worker(job_id, worker_name)
        if other_failed_workers:
            for name in other_failed_workers:
                self._worker_record(name).failure_weight_by_job.pop(
                    job_id, None
                )
            return []
        record.failure_weight_by_job[job_id] = _SUSPECTED_WEIGHT
        while len(record.failure_weight_by_job) > MAX_FAILURES_PER_WORKER:
            record.failure_weight_by_job.popitem(last=False)
        return self._quarantine_if_faulty(worker_name, now_ms)

    def due_probes(self, now_ms):
        """Returns the quarantined workers that should get a probe now."""
        return [
            name
            for name, record in self._quarantined_records.items()
            if record.probe_job_id is None and now_ms >= record.next_probe_ms
        ]

    def is_probe_long_due(self, worker_name, now_ms):
        """True if a probe of a worker is due since ``MAX_PROBE_DELAY_MS``."""
        record = self._quarantined_records[worker_name]
        return now_ms >= record.next_probe_ms + MAX_PROBE_DELAY_MS

    def begin_probe(self, worker_name, job_id):
        """Records the job whose attempt probes a quarantined worker."""
        self._record_by_worker[worker_name].probe_job_id = job_id

    def end_probe(self, worker_name, job_id):
        """Clears a probe that never started or ended without a result."""
        record = self._record_by_worker.get(worker_name)
        if record is not None and record.probe_job_id == job_id:
            record.probe_job_id = None

    def drop_worker(self, worker_name):
        """Discards what is known of a worker that left the cell."""
        self._record_by_worker.pop(worker_name, None)
        self._quarantined_records.pop(worker_name, None)

    def _add_failed_worker(self, job_id, worker_name):
        self._failed_workers_by_job.setdefault(job_id, []).append(worker_name)
        self._failed_workers_by_job.move_to_end(job_id)
        while len(self._failed_workers_by_job) > MAX_FAILED_JOBS:
            self._failed_workers_by_job.popitem(last=False)

    def _worker_record(self, worker_name):
        record = self._record_by_worker.get(worker_name)
        if record is None:
            record = self._record_by_worker[worker_name] = _WorkerRecord()
        return record

    def _quarantine_if_faulty(self, worker_name, now_ms):
        """Puts a faulty worker in quarantine; returns it in a list, or []."""
        record = self._worker_record(worker_name)
        if worker_name in self._quarantined_records or not record.is_faulty:
            return []
        self._quarantined_records[worker_name] = record
        record.passed_probe_count = 0
        record.probe_job_id = None
        record.next_probe_ms = now_ms + record.probe_delay_ms
        return [worker_name]

    def _record_passed_probe(self, worker_name, record):
        """Counts a passed probe; True if it releases the worker."""
        record.probe_job_id = None
        record.passed_probe_count += 1
        if record.passed_probe_count < PROBES_TO_RELEASE:
            return False
        del self._quarantined_records[worker_name]
        record.probe_delay_ms = FIRST_PROBE_DELAY_MS
        record.recent_results.clear()
        record.failure_weight_by_job.clear()
        return True

    @staticmethod
    def _record_failed_probe(record, job_id, now_ms):
        if record.probe_job_id == job_id:
            record.probe_job_id = None
        record.passed_probe_count = 0
        record.probe_delay_ms = min(
            2 * record.probe_delay_ms, MAX_PROBE_DELAY_MS
        )
        record.next_probe_ms = now_ms + record.probe_delay_ms
