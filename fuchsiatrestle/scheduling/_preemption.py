"""Preemption: evicts ordinary attempts to make room for urgent jobs."""

import itertools

from fuchsiatrestle.scheduling import _capacity

__all__ = ('Preemptor',)

# Workers with enough victims that are compared for one urgent job.
MAX_COMPARED_WORKERS = 64
# A worker on which more attempts would have to be evicted isn't considered.
MAX_VICTIMS = 8
# Time for the evictions to take effect before the same job tries again.
RETRY_INTERVAL_MS = 3_000
# At this number of urgent jobs with a retry time, all retry times and claims
# on workers are cleared.
MAX_REMEMBERED_JOBS = 4096


class _Claim:
    """Room on one worker that urgent jobs wait for.

    Attributes:
        data_centre: data centre of the worker.
        job_ids: the urgent jobs.
        room: [cpu_milli, memory_mib, accelerators] that will be left over once
            the victims have ended and the jobs are placed.
    """

    __slots__ = ('data_centre', 'job_ids', 'room')

    def __init__(self, data_centre, room):
        self.data_centre = data_centre
        self.job_ids = set()
        self.room = room

    def add_job(self, job_id, need):
        """Gives a part of the room to a job."""
        self.job_ids.add(job_id)
        for position, amount in enumerate(need):
            self.room[position] -= amount


class Preemptor:
    """Chooses and evicts victims for urgent jobs that find no room.

    Args:
        fleet: the ``Fleet``.
        victim_selector: the ``VictimSelector``.
        evictions: the ``Evictions``.
        policy: the ``Policy``.
    """

    def __init__(self, fleet, victim_selector, evictions, policy):
        self._fleet = fleet
        self._victim_selector = victim_selector
        self._evictions = evictions
        self._policy = policy
        self._next_try_ms_by_job = {}
        # A claim lasts until its jobs are placed or try again.
        self._claim_by_worker = {}
        # Free capacity of a worker plus the sizes of its evictable jobs, by
        # worker, at the time below.  A search looks at all workers if few have
        # enough victims, and all urgent jobs search at once.
        self._clearable_by_worker = {}
        self._clearable_at_ms = None

    def forget_job(self, job_id):
        """Discards a job's retry time and its claim on a worker."""
        self._next_try_ms_by_job.pop(job_id, None)
        for worker_name, claim in list(self._claim_by_worker.items()):
            claim.job_ids.discard(job_id)
            if not claim.job_ids:
                self._drop_claim(worker_name)

    def make_room(self, job, need, now_ms):
        """Begins the evictions that make room for one urgent job.

        Does nothing if the last try was too short a time ago, or if no worker
        has suitable victims.

        Args:
            job: the urgent job.
            need: required (cpu_milli, memory_mib, accelerators).
            now_ms: monotonic time in milliseconds.
        """
        job_id = job.spec.job_id
        if now_ms < self._next_try_ms_by_job.get(job_id, 0):
            return
        if len(self._next_try_ms_by_job) >= MAX_REMEMBERED_JOBS:
            self._next_try_ms_by_job.clear()
            self._claim_by_worker.clear()
        self.forget_job(job_id)
        self._next_try_ms_by_job[job_id] = now_ms + RETRY_INTERVAL_MS
        claim = self._find_claim_with_room(job, need)
        if claim is None:
            claim = self._begin_evictions(job, need, now_ms)
        if claim is not None:
            claim.add_job(job_id, need)

    def _find_claim_with_room(self, job, need):
        """Returns a claim whose victims leave room for one more job."""
        for worker_name, claim in self._claim_by_worker.items():
            if (
                worker_name not in job.failed_on
                and job.spec.data_centre in ('', claim.data_centre)
                and _capacity.covers(claim.room, need)
            ):
                return claim
        return None

    def _begin_evictions(self, job, need, now_ms):
        """Evicts the cheapest victims; returns their ``_Claim``, or None."""
        name_and_victims = self._find_cheapest_victims(job, need, now_ms)
        if name_and_victims is None:
            return None
        worker_name, victims = name_and_victims
        room = self._find_room(worker_name)
        for victim in victims:
            _add_size(room, victim.reserved)
            self._evictions.begin_eviction(
                victim,
                now_ms,
                f'makes room for urgent job {job.spec.job_id}',
                self._policy.urgent_patience_ms,
            )
        self._forget_clearable(worker_name)
        claim = self._claim_by_worker.get(worker_name)
        if claim is None:
            data_centre, _ = self._fleet.rack_of(worker_name)
            claim = self._claim_by_worker[worker_name] = _Claim(
                data_centre, room
            )
        claim.room = room
        return claim

    def _drop_claim(self, worker_name):
        del self._claim_by_worker[worker_name]
        self._forget_clearable(worker_name)

    def _forget_clearable(self, worker_name):
        self._clearable_by_worker.pop(worker_name, None)

    def _find_room(self, worker_name):
        """Returns what is free, or will be once the victims have ended."""
        claim = self._claim_by_worker.get(worker_name)
        if claim is not None:
            return list(claim.room)
        return list(self._fleet.free_capacity(worker_name))

    def _find_cheapest_victims(self, job, need, now_ms):
        """Returns the name of a worker and the jobs to evict there, or None.

        The worker is the one with the fewest victims, and among such workers
        the one where the evictions lose the least work.
        """
        names_and_victims = itertools.islice(
            self._iter_victims(job, need, now_ms), MAX_COMPARED_WORKERS
        )
        cheapest = None
        for name, victims in names_and_victims:
            cost = (
                len(victims),
                sum(
                    self._victim_selector.lost_core_ms(v, now_ms)
                    for v in victims
                ),
            )
            if cheapest is None or cost < cheapest[0]:
                cheapest = (cost, name, victims)
        return cheapest and cheapest[1:]

    def _iter_victims(self, job, need, now_ms):
        """Yields pairs of a worker and the jobs to evict there."""
        data_centre = job.spec.data_centre
        for name in itertools.chain(
            self._fleet.iter_held(data_centre, now_ms),
            self._fleet.iter_accepting(data_centre),
        ):
            if name in job.failed_on:
                continue
            if not _capacity.covers(
                self._clearable_capacity(name, now_ms), need
            ):
                continue
            victims = self._choose_victims(name, need, now_ms)
            if victims is not None:
                yield name, victims

    def _clearable_capacity(self, worker_name, now_ms):
        """Returns what would be free if all evictable jobs were evicted."""
        if self._clearable_at_ms != now_ms:
            self._clearable_at_ms = now_ms
            self._clearable_by_worker.clear()
        amounts = self._clearable_by_worker.get(worker_name)
        if amounts is None:
            amounts = self._find_room(worker_name)
            for job in self._victim_selector.evictable_jobs(worker_name):
                _add_size(amounts, job.reserved)
            self._clearable_by_worker[worker_name] = amounts
        return amounts

    def _choose_victims(self, worker_name, need, now_ms):
        """Returns the jobs to evict so that the need fits on a worker.

        None if that takes more than ``MAX_VICTIMS`` evictions, or if the
        evictable jobs are not enough.
        """
        free = self._find_room(worker_name)
        victims = []
        for victim in self._victim_selector.rank_by_loss(worker_name, now_ms):
            if _capacity.covers(free, need):
                break
            _add_size(free, victim.reserved)
            victims.append(victim)
        fits = _capacity.covers(free, need)
        return victims if fits and len(victims) <= MAX_VICTIMS else None


def _add_size(amounts, size):
    amounts[0] += size.cpu_milli
    amounts[1] += size.memory_mib
    amounts[2] += size.accelerators
