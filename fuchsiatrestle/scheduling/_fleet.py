"""What this leader heard of the workers, and what is free on them."""

import collections

from fuchsiatrestle.scheduling import _capacity
from fuchsiatrestle.scheduling import _peaks

__all__ = (
    'Fleet',
    'WorkerInfo',
)

# Held free above the recent peak of the services, in thousandths of it.
SERVICE_HEADROOM_MILLI = 150
# A worker unheard for so long is not waited for by a job that failed
# everywhere else.
LOST_MS = 60_000


class WorkerInfo:
    """One worker as heard in this leader's term.

    Attributes:
        name: the worker.
        incarnation: newest incarnation heard.
        seq: newest report of that incarnation.
        heard_ms: when the newest report came, None before the first.
        services: loads of the newest report.
        pending: reservations proposed and not yet agreed, by job.
        paused_until_ms: no placement before this time.
        quarantined: True while no placement but a probe goes here.
        held: True while the worker is held free for one shape.
        cpu_peak: recent peak of the services' processor time.
        memory_peak: recent peak of the services' memory.
    """

    __slots__ = (
        'cpu_peak',
        'heard_ms',
        'held',
        'incarnation',
        'memory_peak',
        'name',
        'paused_until_ms',
        'pending',
        'quarantined',
        'seq',
        'services',
    )

    def __init__(self, name):
        self.name = name
        self.incarnation = 0
        self.seq = 0
        self.heard_ms = None
        self.services = []
        self.pending = {}
        self.paused_until_ms = 0
        self.quarantined = False
        self.held = False
        self.cpu_peak = _peaks.RecentPeak()
        self.memory_peak = _peaks.RecentPeak()

    def is_newer(self, report):
        """True if the report is newer than all before it."""
        return (report.incarnation, report.seq) > (self.incarnation, self.seq)

    def take(self, report, now_ms):
        """Notes a report that ``is_newer``."""
        self.incarnation = report.incarnation
        self.seq = report.seq
        self.heard_ms = now_ms
        self.services = report.services
        used = [service.used for service in report.services]
        self.cpu_peak.note(sum(u.cpu_milli for u in used), now_ms)
        self.memory_peak.note(sum(u.memory_mib for u in used), now_ms)

    def service_share(self):
        """Returns (cpu_milli, memory_mib) kept for the services."""
        factor = 1000 + SERVICE_HEADROOM_MILLI
        return (
            self.cpu_peak.value * factor // 1000,
            self.memory_peak.value * factor // 1000,
        )


class Fleet:
    """Workers of the cell with the index of free capacity.

    Args:
        part: the jobs part, read only.
        policy: the ``Policy``.
        now_ms: start of this leader's term.
    """

    def __init__(self, part, policy, now_ms):
        self._part = part
        self._policy = policy
        self._started_ms = now_ms
        self._infos = {}
        self._by_age = collections.OrderedDict()
        self._indexes = {}
        self._grown = False
        self._paused = collections.OrderedDict()

    # Hearing

    def info(self, name):
        """Returns the ``WorkerInfo`` of a worker, made if need be."""
        info = self._infos.get(name)
        if info is None:
            info = self._infos[name] = WorkerInfo(name)
        return info

    def known(self, name):
        """Returns the ``WorkerInfo`` of a worker heard of, or None."""
        return self._infos.get(name)

    def hear(self, report, now_ms):
        """Takes a report; returns its worker, or None for an old report."""
        info = self.info(report.worker)
        if not info.is_newer(report):
            return None
        info.take(report, now_ms)
        self._by_age[info.name] = None
        self._by_age.move_to_end(info.name)
        self.refresh(info.name, now_ms)
        return info

    def is_silent(self, info, now_ms):
        """True if the worker has not been heard for too long."""
        if info.heard_ms is None:
            return True
        return now_ms - info.heard_ms > self._policy.silent_ms

    def is_lost(self, name, now_ms):
        """True if a worker was not heard for long, or never in this term."""
        info = self._infos.get(name)
        heard_ms = self._started_ms
        if info is not None and info.heard_ms is not None:
            heard_ms = info.heard_ms
        return now_ms - heard_ms > LOST_MS

    def age(self, now_ms):
        """Takes workers that fell silent, or ended a pause, into account.

        Returns:
            The workers that fell silent.
        """
        silent = []
        while self._by_age:
            name = next(iter(self._by_age))
            if not self.is_silent(self._infos[name], now_ms):
                break
            del self._by_age[name]
            self.refresh(name, now_ms)
            silent.append(name)
        while self._paused:
            name, until_ms = next(iter(self._paused.items()))
            if until_ms > now_ms:
                break
            del self._paused[name]
            self.refresh(name, now_ms)
        return silent

    def pause(self, name, now_ms):
        """Gives the worker no placement for a while."""
        until_ms = now_ms + self._policy.refusal_pause_ms
        self.info(name).paused_until_ms = until_ms
        self._paused[name] = until_ms
        self._paused.move_to_end(name)
        self.refresh(name, now_ms)

    def drop(self, name):
        """Forgets a worker."""
        self._infos.pop(name, None)
        self._by_age.pop(name, None)
        self._paused.pop(name, None)
        for index in self._indexes.values():
            index.remove(name)

    # Capacity

    def rack(self, name):
        """Returns (data centre, rack) of a registered worker."""
        spec = self._part.workers[name].spec
        return spec.data_centre, spec.rack

    def refresh(self, name, now_ms):
        """Brings the index in step with one worker."""
        worker = self._part.workers.get(name)
        info = self._infos.get(name)
        if worker is None or info is None:
            return
        index = self._index(worker.spec.data_centre)
        if not self.accepts(worker, info, now_ms):
            index.remove(name)
            return
        before = index.free(name) or (0, 0, 0)
        free = self.free(name)
        self._grown |= any(
            new > old for new, old in zip(free, before, strict=True)
        )
        index.update(name, free)

    def take_grown(self):
        """Returns True if any free capacity grew since the last call."""
        grown, self._grown = self._grown, False
        return grown

    def accepts(self, worker, info, now_ms):
        """True if ordinary placements may go to the worker now."""
        return not (info.quarantined or info.held) and self.accepts_probe(
            worker, info, now_ms
        )

    def accepts_probe(self, worker, info, now_ms):
        """True if a placement may go to the worker, quarantined or not."""
        return (
            not worker.spec.leaving
            and info.incarnation == worker.spec.incarnation
            and now_ms >= info.paused_until_ms
            and not self.is_silent(info, now_ms)
        )

    def free(self, name):
        """Returns (cpu_milli, memory_mib, accelerators) free for batch."""
        worker = self._part.workers[name]
        info = self._infos[name]
        capacity = worker.spec.capacity
        cpu, memory = info.service_share()
        free = [
            capacity.cpu_milli - worker.cpu_milli - cpu,
            capacity.memory_mib - worker.memory_mib - memory,
            capacity.accelerators - worker.accelerators,
        ]
        for size in info.pending.values():
            free[0] -= size.cpu_milli
            free[1] -= size.memory_mib
            free[2] -= size.accelerators
        return tuple(free)

    def room_when_empty(self, name):
        """Returns what batch could have of a worker without attempts."""
        capacity = self._part.workers[name].spec.capacity
        cpu, memory = self._infos[name].service_share()
        return (
            capacity.cpu_milli - cpu,
            capacity.memory_mib - memory,
            capacity.accelerators,
        )

    def set_held(self, name, held, now_ms):
        """Holds a worker free for one shape, or ends that."""
        info = self._infos.get(name)
        if info is not None:
            info.held = held
            self.refresh(name, now_ms)

    def fitting(self, need, data_centre):
        """Yields workers with room, alternating between data centres."""
        streams = [
            index.fitting(need)
            for name, index in sorted(self._indexes.items())
            if data_centre in ('', name)
        ]
        while streams:
            for stream in list(streams):
                name = next(stream, None)
                if name is None:
                    streams.remove(stream)
                else:
                    yield name

    def short_dimension(self, need, data_centre):
        """Returns what a need lacks on every worker, empty if it fits."""
        indexes = [
            index
            for name, index in sorted(self._indexes.items())
            if data_centre in ('', name) and len(index)
        ]
        if not indexes:
            return 'no worker accepts work'
        shorts = [index.short_dimension(need) for index in indexes]
        return min(shorts, key=bool)

    def add_pending(self, name, job_id, size, now_ms):
        """Holds capacity for a placement that is not agreed yet."""
        self.info(name).pending[job_id] = size
        self.refresh(name, now_ms)

    def drop_pending(self, name, job_id, now_ms):
        """Ends what ``add_pending`` began."""
        self.info(name).pending.pop(job_id, None)
        self.refresh(name, now_ms)

    def _index(self, data_centre):
        index = self._indexes.get(data_centre)
        if index is None:
            index = self._indexes[data_centre] = _capacity.FreeIndex()
        return index
