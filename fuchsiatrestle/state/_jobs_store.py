"""Collections of the jobs part, with their limits and invariants."""

import collections

from fuchsiatrestle import invariants
from fuchsiatrestle.state import _cancels
from fuchsiatrestle.state import _jobs_model as model

__all__ = (
    'JobStore',
    'MAX_ENDED_JOBS',
    'MAX_OPEN_JOBS',
    'MAX_WORKERS',
)

MAX_OPEN_JOBS = 250_000
MAX_ENDED_JOBS = 100_000
MAX_WORKERS = 20_000


class JobStore:
    """Open jobs, ended jobs and workers.

    Each change of a job's state or reservation is made through this class,
    which also updates the reservations of the workers and the number of jobs
    in each state.

    Args:
        max_open_jobs: maximum number of jobs that have not ended.
        max_ended_jobs: maximum number of ended jobs that are kept.

    Attributes:
        max_open_jobs: maximum number of jobs that have not ended; the caller
            of ``add_job`` enforces it.
        max_ended_jobs: maximum number of ended jobs that are kept.
        jobs: open jobs, as ``Job`` by identifier.
        ended_jobs: ended jobs that are kept, as ``EndedJob`` by identifier,
            in the order in which they ended.
        workers: registered workers, as ``Worker`` by name.
        next_seq: position of the next job in the order of submission.
        stale_before_ms: latest time of submission of the ended jobs that
            were removed, since the epoch; 0 for none.  A job submitted at or
            before it may be a resend that is no longer recognised.
        unknown_cancels: ``CancelTable`` of the jobs that were cancelled before
            they were submitted.
    """

    def __init__(
        self, max_open_jobs=MAX_OPEN_JOBS, max_ended_jobs=MAX_ENDED_JOBS
    ):
        self.max_open_jobs = max_open_jobs
        self.max_ended_jobs = max_ended_jobs
        self.jobs = {}
        self.ended_jobs = collections.OrderedDict()
        self.workers = {}
        self.next_seq = 1
        self.stale_before_ms = 0
        self.unknown_cancels = _cancels.CancelTable()
        self._counts_by_state = collections.Counter()
        self._worker_count_by_capacity = collections.Counter()

    # Jobs

    def add_job(self, job_spec):
        """Adds a new job as queued and returns its ``Job``."""
        job = model.Job(job_spec, self.next_seq, history=[], failed_on=[])
        self.next_seq += 1
        self.jobs[job_spec.job_id] = job
        self._counts_by_state[job.state] += 1
        return job

    def set_state(self, job, state):
        """Changes the state of a job and the counts by state.

        To end a job, ``end_job`` is called instead.
        """
        self._counts_by_state[job.state] -= 1
        self._counts_by_state[state] += 1
        job.state = state

    def end_job(self, job, state, reason=''):
        """Moves a job to the ended ones.

        Args:
            job: the open ``Job``.
            state: one of ``model.ENDED_STATES``.
            reason: why it ended, for operators.

        Raises:
            errors.InvariantBreach: the job still has a reservation.
        """
        invariants.require(
            job.reserved is None,
            'ended_job_holds_reservation',
            job_id=job.spec.job_id,
        )
        self.set_state(job, state)
        del self.jobs[job.spec.job_id]
        self._store_ended_job(job, reason)

    def counts_by_state(self):
        """Returns the number of jobs by state, without zero counts."""
        return {
            state: self._counts_by_state[state]
            for state in model.STATES
            if self._counts_by_state[state]
        }

    def _store_ended_job(self, job, reason):
        """Stores an ended job.

        Beyond ``max_ended_jobs`` the job that ended first is removed.
        """
        spec = job.spec
        self.ended_jobs[spec.job_id] = model.EndedJob(
            spec.job_id,
            model.fingerprint_spec(spec),
            spec.submitted_ms,
            job.state,
            spec.team,
            spec.job_class,
            spec.priority,
            job.attempt,
            job.worker,
            job.checkpoint,
            reason,
            job.history,
        )
        while len(self.ended_jobs) > self.max_ended_jobs:
            _, oldest_job = self.ended_jobs.popitem(last=False)
            self._counts_by_state[oldest_job.state] -= 1
            self.stale_before_ms = max(
                self.stale_before_ms, oldest_job.submitted_ms
            )

    # Reservations

    def reserve(self, job, worker, size):
        """Reserves resources on a worker for the job's latest attempt.

        Args:
            job: the open ``Job``.
            worker: the ``Worker``.
            size: the ``messages.Resources`` to be reserved.

        Raises:
            errors.InvariantBreach: the job already has a reservation, or the
                worker's capacity is exceeded.
        """
        invariants.require(
            job.reserved is None,
            'second_live_attempt',
            job_id=job.spec.job_id,
            attempt=job.attempt,
        )
        worker.reserve(job.spec.job_id, job.attempt, size)
        job.reserved = size
        job.worker = worker.spec.worker
        capacity = worker.spec.capacity
        invariants.require(
            worker.cpu_milli <= capacity.cpu_milli
            and worker.memory_mib <= capacity.memory_mib
            and worker.accelerators <= capacity.accelerators,
            'worker_over_capacity',
            worker=worker.spec.worker,
            job_id=job.spec.job_id,
        )

    def release(self, job):
        """Releases the reservation of a job's live attempt.

        Raises:
            errors.InvariantBreach: the worker is left with a negative
                reservation.
        """
        worker = self.workers[job.worker]
        worker.release(job.spec.job_id, job.reserved)
        job.reserved = None
        job.started = False
        invariants.require(
            min(worker.cpu_milli, worker.memory_mib, worker.accelerators) >= 0,
            'negative_reservation',
            worker=job.worker,
            job_id=job.spec.job_id,
        )

    # Workers

    def put_worker(self, worker_spec):
        """Adds a worker, or replaces its specification."""
        known_worker = self.workers.get(worker_spec.worker)
        if known_worker is None:
            self.workers[worker_spec.worker] = model.Worker(
                worker_spec, jobs={}
            )
        else:
            self._remove_capacity(known_worker.spec)
            known_worker.spec = worker_spec
        self._worker_count_by_capacity[
            worker_spec.capacity, worker_spec.data_centre
        ] += 1

    def remove_worker(self, worker_name):
        """Removes a worker without reservations.

        Raises:
            errors.InvariantBreach: a live attempt has a reservation on it.
        """
        worker = self.workers.pop(worker_name)
        invariants.require(
            not worker.jobs, 'retired_worker_holds_jobs', worker=worker_name
        )
        self._remove_capacity(worker.spec)

    def distinct_worker_capacities(self):
        """Returns the distinct (capacity, data centre) pairs of workers."""
        return list(self._worker_count_by_capacity)

    def _remove_capacity(self, worker_spec):
        capacity_key = worker_spec.capacity, worker_spec.data_centre
        self._worker_count_by_capacity[capacity_key] -= 1
        if not self._worker_count_by_capacity[capacity_key]:
            del self._worker_count_by_capacity[capacity_key]

    # Whole state

    def verify(self):
        """Recomputes the reservations and compares them with the stored ones.

        Raises:
            errors.InvariantBreach: a reservation of a worker is wrong, or a
                job has a live attempt without a reservation or a reservation
                without a live attempt.
        """
        expected_reservations_by_worker = {
            name: [0, 0, 0, {}] for name in self.workers
        }
        for job_id, job in self.jobs.items():
            invariants.require(
                job.is_live == (job.reserved is not None),
                'live_without_reservation',
                job_id=job_id,
                state=job.state,
            )
            if not job.is_live:
                continue
            expected_reservations = expected_reservations_by_worker[job.worker]
            expected_reservations[0] += job.reserved.cpu_milli
            expected_reservations[1] += job.reserved.memory_mib
            expected_reservations[2] += job.reserved.accelerators
            expected_reservations[3][job_id] = job.attempt
        for name, worker in self.workers.items():
            stored_reservations = [
                worker.cpu_milli,
                worker.memory_mib,
                worker.accelerators,
                worker.jobs,
            ]
            invariants.require(
                stored_reservations == expected_reservations_by_worker[name],
                'reservations_out_of_step',
                worker=name,
                kept=stored_reservations,
                found=expected_reservations_by_worker[name],
            )

    def rebuild(
        self,
        jobs,
        ended_jobs,
        workers,
        next_seq,
        stale_before_ms,
        unknown_cancels,
    ):
        """Replaces the whole state by the content of a snapshot.

        Raises:
            errors.InvariantBreach: the content is inconsistent, see
                ``verify``.
        """
        self.jobs = {job.spec.job_id: job for job in jobs}
        self.ended_jobs = collections.OrderedDict(
            (job.job_id, job) for job in ended_jobs
        )
        self.workers = {worker.spec.worker: worker for worker in workers}
        self.next_seq = next_seq
        self.stale_before_ms = stale_before_ms
        self.unknown_cancels = unknown_cancels
        self._counts_by_state = collections.Counter(
            job.state for job in [*jobs, *ended_jobs]
        )
        self._worker_count_by_capacity = collections.Counter(
            (worker.spec.capacity, worker.spec.data_centre)
            for worker in workers
        )
        self.verify()
