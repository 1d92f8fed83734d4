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
LOST_AFTER_MS = 60_000


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
        'held',
        'incarnation',
        'last_report_ms',
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
        self.last_report_ms = None
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

    def record_report(self, report, now_ms):
        """Notes a report that ``is_newer``."""
        self.incarnation = report.incarnation
        self.seq = report.seq
        self.last_report_ms = now_ms
        self.services = report.services
        used = [service.used for service in report.services]
        self.cpu_peak.record(sum(u.cpu_milli for u in used), now_ms)
        self.memory_peak.record(sum(u.memory_mib for u in used), now_ms)

    def service_reserve(self):
        """Returns (cpu_milli, memory_mib) kept for the services."""
        factor = 1000 + SERVICE_HEADROOM_MILLI
        return (
            self.cpu_peak.value * factor // 1000,
            self.memory_peak.value * factor // 1000,
        )


class Fleet:
    """Workers of the cell with the index of free capacity.

    Args:
        jobs_part: the ``JobsPart`` of the replicated state, read only.
        policy: the ``Policy``.
        now_ms: start of this leader's term.
    """

    def __init__(self, jobs_part, policy, now_ms):
        self._jobs_part = jobs_part
        self._policy = policy
        self._started_ms = now_ms
        self._infos = {}
        self._by_last_report = collections.OrderedDict()
        self._index_by_data_centre = {}
        self._capacity_grown = False
        self._paused = collections.OrderedDict()

    # Hearing

    def worker_info(self, name):
        """Returns the ``WorkerInfo`` of a worker, made if need be."""
        info = self._infos.get(name)
        if info is None:
            info = self._infos[name] = WorkerInfo(name)
        return info

    def find_worker_info(self, name):
        """Returns the ``WorkerInfo`` of a worker heard of, or None."""
        return self._infos.get(name)

    def record_report(self, report, now_ms):
        """Takes a report; returns its worker, or None for an old report."""
        info = self.worker_info(report.worker)
        if not info.is_newer(report):
            return None
        info.record_report(report, now_ms)
        self._by_last_report[info.name] = None
        self._by_last_report.move_to_end(info.name)
        self.refresh_worker(info.name, now_ms)
        return info

    def is_silent(self, info, now_ms):
        """True if the worker has not been heard for too long."""
        if info.last_report_ms is None:
            return True
        return now_ms - info.last_report_ms > self._policy.silent_ms

    def is_lost(self, name, now_ms):
        """True if a worker was not heard for long, or never in this term."""
        info = self._infos.get(name)
        last_report_ms = self._started_ms
        if info is not None and info.last_report_ms is not None:
            last_report_ms = info.last_report_ms
        return now_ms - last_report_ms > LOST_AFTER_MS

    def remove_silent_workers(self, now_ms):
        """Takes workers that fell silent, or ended a pause, into account.

        Returns:
            The workers that fell silent.
        """
        silent = []
        while self._by_last_report:
            name = next(iter(self._by_last_report))
            if not self.is_silent(self._infos[name], now_ms):
                break
            del self._by_last_report[name]
            self.refresh_worker(name, now_ms)
            silent.append(name)
        while self._paused:
            name, until_ms = next(iter(self._paused.items()))
            if until_ms > now_ms:
                break
            del self._paused[name]
            self.refresh_worker(name, now_ms)
        return silent

    def pause_worker(self, name, now_ms):
        """Gives the worker no placement for a while."""
        until_ms = now_ms + self._policy.refusal_pause_ms
        self.worker_info(name).paused_until_ms = until_ms
        self._paused[name] = until_ms
        self._paused.move_to_end(name)
        self.refresh_worker(name, now_ms)

    def drop_worker(self, name):
        """Forgets a worker."""
        self._infos.pop(name, None)
        self._by_last_report.pop(name, None)
        self._paused.pop(name, None)
        for index in self._index_by_data_centre.values():
            index.remove(name)

    # Capacity

    def rack_of(self, name):
        """Returns (data centre, rack) of a registered worker."""
        spec = self._jobs_part.workers[name].spec
        return spec.data_centre, spec.rack

    def refresh_worker(self, name, now_ms):
        """Brings the index in step with one worker."""
        worker = self._jobs_part.workers.get(name)
        info = self._infos.get(name)
        if worker is None or info is None:
            return
        index = self._index_of(worker.spec.data_centre)
        if not self.accepts_placement(worker, info, now_ms):
            index.remove(name)
            return
        old_free = index.free_capacity(name) or (0, 0, 0)
        free = self.free_capacity(name)
        self._capacity_grown |= any(
            new > old for new, old in zip(free, old_free, strict=True)
        )
        index.set_free(name, free)

    def pop_capacity_grown(self):
        """Returns True if any free capacity grew since the last call."""
        capacity_grown, self._capacity_grown = self._capacity_grown, False
        return capacity_grown

    def accepts_placement(self, worker, info, now_ms):
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

    def free_capacity(self, name):
        """Returns (cpu_milli, memory_mib, accelerators) free for batch."""
        worker = self._jobs_part.workers[name]
        info = self._infos[name]
        capacity = worker.spec.capacity
        cpu, memory = info.service_reserve()
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

    def capacity_when_empty(self, name):
        """Returns what batch could have of a worker without attempts."""
        capacity = self._jobs_part.workers[name].spec.capacity
        cpu, memory = self._infos[name].service_reserve()
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
            self.refresh_worker(name, now_ms)

    def iter_fitting(self, need, data_centre):
        """Yields workers with room, alternating between data centres."""
        fitting_iterators = [
            index.iter_fitting(need)
            for name, index in sorted(self._index_by_data_centre.items())
            if data_centre in ('', name)
        ]
        while fitting_iterators:
            for fitting_names in list(fitting_iterators):
                name = next(fitting_names, None)
                if name is None:
                    fitting_iterators.remove(fitting_names)
                else:
                    yield name

    def short_dimension(self, need, data_centre):
        """Returns what a need lacks on every worker, empty if it fits."""
        indexes = [
            index
            for name, index in sorted(self._index_by_data_centre.items())
            if data_centre in ('', name) and len(index)
        ]
        if not indexes:
            return 'no worker accepts work'
        dimensions = [index.short_dimension(need) for index in indexes]
        return min(dimensions, key=bool)

    def reserve_pending(self, name, job_id, size, now_ms):
        """Holds capacity for a placement that is not agreed yet."""
        self.worker_info(name).pending[job_id] = size
        self.refresh_worker(name, now_ms)

    def release_pending(self, name, job_id, now_ms):
        """Ends what ``add_pending`` began."""
        self.worker_info(name).pending.pop(job_id, None)
        self.refresh_worker(name, now_ms)

    def _index_of(self, data_centre):
        index = self._index_by_data_centre.get(data_centre)
        if index is None:
            index = self._index_by_data_centre[data_centre] = (
                _capacity.FreeCapacityIndex()
            )
        return index
