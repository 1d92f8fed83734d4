"""Quarantine of workers that fail what other workers can run.

A failure counts against a worker only while the job has not failed on
another trusted worker too, and counts twice once the job succeeded
elsewhere.  So a job that can never run condemns no worker, and a worker that
fails everything is known after a few distinct jobs.
"""

import collections

__all__ = ('Quarantine',)

MAX_FAILURES = 32
MAX_JOBS = 16_384
LIMIT_WEIGHT = 4
MIN_DISTINCT_JOBS = 3
# Most successes among the recent ends for a worker to be called bad.
MAX_SUCCESS_SHARE = 0.3
RECENT_ENDS = 16
FIRST_PROBE_MS = 30_000
MAX_PROBE_MS = 600_000
PROBES_TO_RETURN = 2

_SUSPECTED = 1
_CONFIRMED = 2


class _Record:
    """What one worker did with recent jobs."""

    __slots__ = (
        'ends',
        'failures',
        'pause_ms',
        'probe_job',
        'probe_ms',
        'probes_passed',
    )

    def __init__(self):
        self.failures = collections.OrderedDict()
        self.ends = collections.deque(maxlen=RECENT_ENDS)
        self.pause_ms = FIRST_PROBE_MS
        self.probe_ms = 0
        self.probe_job = None
        self.probes_passed = 0

    @property
    def is_bad(self):
        """True if recent failures are too many to be the jobs' own."""
        if len(self.failures) < MIN_DISTINCT_JOBS:
            return False
        if sum(self.failures.values()) < LIMIT_WEIGHT:
            return False
        return sum(self.ends) <= MAX_SUCCESS_SHARE * len(self.ends)


class Quarantine:
    """Success and failure of workers over distinct jobs."""

    def __init__(self):
        self._records = {}
        self._quarantined = {}
        self._by_job = collections.OrderedDict()

    def __len__(self):
        return len(self._quarantined)

    def is_quarantined(self, worker):
        """True while only probes may go to the worker."""
        return worker in self._quarantined

    def note_success(self, worker, job_id, now_ms):
        """Takes a job that ended well; returns workers that changed."""
        record = self._record(worker)
        record.ends.append(1)
        if record.failures:
            record.failures.popitem(last=False)
        changed = []
        if worker in self._quarantined and record.probe_job == job_id:
            if self._pass_probe(worker, record):
                changed.append(worker)
        for other in self._by_job.pop(job_id, ()):
            if other != worker and job_id in self._record(other).failures:
                self._record(other).failures[job_id] = _CONFIRMED
                changed.extend(self._judge(other, now_ms))
        return changed

    def note_failure(self, worker, job_id, now_ms):
        """Takes a job that failed; returns workers that changed."""
        record = self._record(worker)
        record.ends.append(0)
        if worker in self._quarantined:
            self._fail_probe(record, job_id, now_ms)
            return []
        others = [
            name
            for name in self._by_job.get(job_id, ())
            if name != worker and not self.is_quarantined(name)
        ]
        self._note_job(job_id, worker)
        if others:
            for name in others:
                self._record(name).failures.pop(job_id, None)
            return []
        record.failures[job_id] = _SUSPECTED
        while len(record.failures) > MAX_FAILURES:
            record.failures.popitem(last=False)
        return self._judge(worker, now_ms)

    def due_probes(self, now_ms):
        """Returns quarantined workers that should get one attempt."""
        return [
            name
            for name, record in self._quarantined.items()
            if record.probe_job is None and now_ms >= record.probe_ms
        ]

    def begin_probe(self, worker, job_id):
        """Notes the one attempt that a quarantined worker gets."""
        self._records[worker].probe_job = job_id

    def end_probe(self, worker, job_id):
        """Notes that a probe ended without success or failure."""
        record = self._records.get(worker)
        if record is not None and record.probe_job == job_id:
            record.probe_job = None

    def drop(self, worker):
        """Forgets a worker."""
        self._records.pop(worker, None)
        self._quarantined.pop(worker, None)

    def _note_job(self, job_id, worker):
        self._by_job.setdefault(job_id, []).append(worker)
        self._by_job.move_to_end(job_id)
        while len(self._by_job) > MAX_JOBS:
            self._by_job.popitem(last=False)

    def _record(self, worker):
        record = self._records.get(worker)
        if record is None:
            record = self._records[worker] = _Record()
        return record

    def _judge(self, worker, now_ms):
        record = self._record(worker)
        if worker in self._quarantined or not record.is_bad:
            return []
        self._quarantined[worker] = record
        record.probes_passed = 0
        record.probe_job = None
        record.probe_ms = now_ms + record.pause_ms
        return [worker]

    def _pass_probe(self, worker, record):
        record.probe_job = None
        record.probes_passed += 1
        if record.probes_passed < PROBES_TO_RETURN:
            return False
        del self._quarantined[worker]
        record.pause_ms = FIRST_PROBE_MS
        record.ends.clear()
        record.failures.clear()
        return True

    @staticmethod
    def _fail_probe(record, job_id, now_ms):
        if record.probe_job == job_id:
            record.probe_job = None
        record.probes_passed = 0
        record.pause_ms = min(2 * record.pause_ms, MAX_PROBE_MS)
        record.probe_ms = now_ms + record.pause_ms
