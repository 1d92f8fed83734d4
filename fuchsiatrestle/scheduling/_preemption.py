"""Makes room for urgent jobs by evicting others."""

import itertools

__all__ = ('Preemptor',)

MAX_WORKERS = 64
MAX_VICTIMS = 8
RETRY_MS = 3_000
MAX_REQUESTS = 4096


class Preemptor:
    """Evicts ordinary attempts where urgent jobs find no room.

    Args:
        fleet: the ``Fleet``.
        victims: the ``Victims``.
        evictions: the ``Evictions``.
        policy: the ``Policy``.
    """

    def __init__(self, fleet, victims, evictions, policy):
        self._fleet = fleet
        self._victims = victims
        self._evictions = evictions
        self._policy = policy
        self._retry_ms = {}
        self._claimed = {}

    def forget(self, job_id):
        """Drops what was begun for a job that no longer waits."""
        self._retry_ms.pop(job_id, None)
        for worker in [w for w, j in self._claimed.items() if j == job_id]:
            del self._claimed[worker]

    def make_room(self, job, need, now_ms):
        """Evicts what makes room for one urgent job, once in a while.

        Args:
            job: the urgent job.
            need: (cpu_milli, memory_mib, accelerators).
            now_ms: the time.
        """
        job_id = job.spec.job_id
        if now_ms < self._retry_ms.get(job_id, 0):
            return
        if len(self._retry_ms) >= MAX_REQUESTS:
            self._retry_ms.clear()
            self._claimed.clear()
        self.forget(job_id)
        choice = self._cheapest_room(job, need, now_ms)
        self._retry_ms[job_id] = now_ms + RETRY_MS
        if choice is None:
            return
        worker, chosen = choice
        self._claimed[worker] = job_id
        for victim in chosen:
            self._evictions.begin(
                victim,
                now_ms,
                f'makes room for urgent job {job_id}',
                self._policy.urgent_patience_ms,
            )

    def _cheapest_room(self, job, need, now_ms):
        names = self._fleet.fitting((0, 0, 0), job.spec.data_centre)
        best = None
        for name in itertools.islice(names, MAX_WORKERS):
            if name in job.failed_on or name in self._claimed:
                continue
            chosen = self._room_on(name, need, now_ms)
            if chosen is None:
                continue
            cost = (
                len(chosen),
                sum(self._victims.lost_work(v, now_ms) for v in chosen),
            )
            if best is None or cost < best[0]:
                best = (cost, name, chosen)
        return best and best[1:]

    def _room_on(self, name, need, now_ms):
        free = list(self._fleet.free(name))
        chosen = []
        for victim in self._victims.cheapest(name, now_ms):
            if all(f >= n for f, n in zip(free, need, strict=True)):
                break
            size = victim.reserved
            free[0] += size.cpu_milli
            free[1] += size.memory_mib
            free[2] += size.accelerators
            chosen.append(victim)
        fits = all(f >= n for f, n in zip(free, need, strict=True))
        return chosen if fits and len(chosen) <= MAX_VICTIMS else None
