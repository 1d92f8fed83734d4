"""Workers as reported in this leader's term, and their free capacity."""

import collections

from fuchsiatrestle import messages
from fuchsiatrestle.scheduling import _capacity
from fuchsiatrestle.scheduling import _peaks

__all__ = (
    'Fleet',
    'WorkerInfo',
)

# Capacity kept free above the recent peak usage of the services (see
# ``_peaks.RecentPeak``), in thousandths of the peak.
SERVICE_HEADROOM_MILLI = 150
# A job that failed on all other workers doesn't wait for a worker that has not
# reported for this long.
LOST_AFTER_MS = 60_000


class WorkerInfo:
    """State of one worker, from its reports in this leader's term.

    Attributes:
        name: the worker.
        incarnation: newest incarnation that reported.
        seq: sequence number of the newest report.
        last_report_ms: monotonic time of the newest report, None if the
            worker has not reported in this term.
        services: the ``messages.ServiceLoad`` list of the newest report.
        pending_reservations: sizes of the placements that are proposed and
            not yet applied, by job id.
        paused_until_ms: monotonic time before which nothing is placed here.
        quarantined: True while only probes are placed here.
        unsuitable_probe_shapes: shapes whose jobs were found unsuitable as
            probes of this worker by a search that is to be continued.
        held: True while the worker is kept free for the jobs of one shape
            (see ``_queue.Shape``).
        cpu_peak: ``RecentPeak`` of the services' processor time, in
            thousandths of a processor core.
        memory_peak: ``RecentPeak`` of the services' memory, in MiB.
    """

    __slots__ = (
        'cpu_peak',
        'held',
        'incarnation',
        'last_report_ms',
        'memory_peak',
        'name',
        'paused_until_ms',
        'pending_reservations',
        'quarantined',
        'seq',
        'services',
        'unsuitable_probe_shapes',
    )

    def __init__(self, name):
        self.name = name
        self.incarnation = 0
        self.seq = 0
        self.last_report_ms = None
        self.services = []
        self.pending_reservations = {}
        self.paused_until_ms = 0
        self.quarantined = False
        self.unsuitable_probe_shapes = set()
        self.held = False
        self.cpu_peak = _peaks.RecentPeak()
        self.memory_peak = _peaks.RecentPeak()

    def is_newer(self, report):
        """True if the report is newer than every recorded report."""
        return (report.incarnation, report.seq) > (self.incarnation, self.seq)

    def record_report(self, report, now_ms):
        """Records a report for which ``is_newer`` is true."""
        self.incarnation = report.incarnation
        self.seq = report.seq
        self.last_report_ms = now_ms
        self.services = report.services
        service_usages = [service.used for service in report.services]
        self.cpu_peak.record_value(
            sum(u.cpu_milli for u in service_usages), now_ms
        )
        self.memory_peak.record_value(
            sum(u.memory_mib for u in service_usages), now_ms
        )

    def service_reserve(self):
        """Returns (cpu_milli, memory_mib) kept free for the services."""
        factor_milli = 1000 + SERVICE_HEADROOM_MILLI
        return (
            self.cpu_peak.value * factor_milli // 1000,
            self.memory_peak.value * factor_milli // 1000,
        )


class Fleet:
    """Tracks the workers of the cell and indexes their free capacity.

    Args:
        jobs_part: the ``JobsPart`` of the replicated state, read only.
        policy: the ``Policy``.
        now_ms: monotonic time at which this leader's scheduler starts.
    """

    def __init__(self, jobs_part, policy, now_ms):
        self._jobs_part = jobs_part
        self._policy = policy
        self._started_ms = now_ms
        self._info_by_worker = {}
        # Names of the workers that aren't silent, in the order of their newest
        # reports.
        self._reporting_workers = collections.OrderedDict()
        self._index_by_data_centre = {}
        # Index of what would be free if no attempts ran, by data centre.
        self._empty_index_by_data_centre = {}
        self._has_capacity_grown = False
        self._paused_until_ms_by_worker = collections.OrderedDict()
        # Names of the held workers, as keys, in the order of their holds.
        self._held_workers = {}

    # Reports

    def worker_info(self, name):
        """Returns the ``WorkerInfo`` of a worker; creates it if missing."""
        info = self._info_by_worker.get(name)
        if info is None:
            info = self._info_by_worker[name] = WorkerInfo(name)
        return info

    def find_worker_info(self, name):
        """Returns the ``WorkerInfo`` of a worker, or None if missing."""
        return self._info_by_worker.get(name)

    def record_report(self, report, now_ms):
        """Records a report; returns its ``WorkerInfo``, or None if stale."""
        info = self.worker_info(report.worker)
        if not info.is_newer(report):
            return None
        info.record_report(report, now_ms)
        self._reporting_workers[info.name] = None
        self._reporting_workers.move_to_end(info.name)
        self.refresh_worker(info.name, now_ms)
        self._refresh_empty_index(info, now_ms)
        return info

    def is_silent(self, info, now_ms):
        """True if the worker has not reported for ``Policy.silent_ms``.

        A worker without a report in this leader's term is silent too.
        """
        if info.last_report_ms is None:
            return True
        return now_ms - info.last_report_ms > self._policy.silent_ms

    def is_lost(self, name, now_ms):
        """True if a worker has not reported for ``LOST_AFTER_MS``.

        For a worker that has not reported in this term, the time counts from
        the start of the term.
        """
        info = self._info_by_worker.get(name)
        last_report_ms = self._started_ms
        if info is not None and info.last_report_ms is not None:
            last_report_ms = info.last_report_ms
        return now_ms - last_report_ms > LOST_AFTER_MS

    def update_availability(self, now_ms):
        """Updates the index for workers that fell silent or whose pause ended.

        Returns:
            The workers that fell silent since the last call.
        """
        silent_workers = []
        while self._reporting_workers:
            name = next(iter(self._reporting_workers))
            if not self.is_silent(self._info_by_worker[name], now_ms):
                break
            del self._reporting_workers[name]
            self.refresh_worker(name, now_ms)
            self._refresh_empty_index(self._info_by_worker[name], now_ms)
            silent_workers.append(name)
        while self._paused_until_ms_by_worker:
            name, until_ms = next(
                iter(self._paused_until_ms_by_worker.items())
            )
            if until_ms > now_ms:
                break
            del self._paused_until_ms_by_worker[name]
            self.refresh_worker(name, now_ms)
        return silent_workers

    def pause_worker(self, name, now_ms):
        """Stops placements on a worker for ``Policy.refusal_pause_ms``."""
        until_ms = now_ms + self._policy.refusal_pause_ms
        self.worker_info(name).paused_until_ms = until_ms
        self._paused_until_ms_by_worker[name] = until_ms
        self._paused_until_ms_by_worker.move_to_end(name)
        self.refresh_worker(name, now_ms)

    def drop_worker(self, name):
        """Discards a worker that left the cell."""
        self._info_by_worker.pop(name, None)
        self._reporting_workers.pop(name, None)
        self._paused_until_ms_by_worker.pop(name, None)
        for index in (
            *self._index_by_data_centre.values(),
            *self._empty_index_by_data_centre.values(),
        ):
            index.remove_worker(name)

    # Capacity

    def rack_of(self, name):
        """Returns (data centre, rack) of a registered worker."""
        spec = self._jobs_part.workers[name].spec
        return spec.data_centre, spec.rack

    def refresh_worker(self, name, now_ms):
        """Updates the index with a worker's current free capacity.

        A worker that accepts no placements is removed from the index.
        """
        worker = self._jobs_part.workers.get(name)
        info = self._info_by_worker.get(name)
        if worker is None or info is None:
            return
        index = self._index_of(worker.spec.data_centre)
        if not self.accepts_placement(worker, info, now_ms):
            index.remove_worker(name)
            return
        old_free = index.free_capacity(name) or (0, 0, 0)
        free = self.free_capacity(name)
        self._has_capacity_grown |= any(
            new > old for new, old in zip(free, old_free, strict=True)
        )
        index.set_free(name, free)

    def _refresh_empty_index(self, info, now_ms):
        worker = self._jobs_part.workers.get(info.name)
        if worker is None:
            return
        index = self._empty_index_by_data_centre.setdefault(
            worker.spec.data_centre, _capacity.FreeCapacityIndex()
        )
        if self.accepts_despite_hold(worker, info, now_ms):
            index.set_free(info.name, self.capacity_when_empty(info.name))
        else:
            index.remove_worker(info.name)

    def pop_capacity_growth(self):
        """Tells if any worker's free capacity grew since the last call."""
        has_capacity_grown, self._has_capacity_grown = (
            self._has_capacity_grown,
            False,
        )
        return has_capacity_grown

    def accepts_placement(self, worker, info, now_ms):
        """True if ordinary jobs may be placed on the worker now."""
        return not info.held and self.accepts_despite_hold(
            worker, info, now_ms
        )

    def accepts_despite_hold(self, worker, info, now_ms):
        """True if jobs that holds don't bind may be placed on the worker now.

        These are urgent jobs, and the jobs of the shape that it is held for.
        """
        return not info.quarantined and self.accepts_probe(
            worker, info, now_ms
        )

    def accepts_probe(self, worker, info, now_ms):
        """True if a probe may be placed on the worker now.

        Unlike ``accepts_placement`` this ignores quarantine and holds.
        """
        return (
            not worker.spec.leaving
            and info.incarnation == worker.spec.incarnation
            and now_ms >= info.paused_until_ms
            and not self.is_silent(info, now_ms)
        )

    def free_capacity(self, name):
        """Returns (cpu_milli, memory_mib, accelerators) free for jobs."""
        worker = self._jobs_part.workers[name]
        info = self._info_by_worker[name]
        capacity = worker.spec.capacity
        service_cpu_milli, service_memory_mib = info.service_reserve()
        free = [
            capacity.cpu_milli - worker.cpu_milli - service_cpu_milli,
            capacity.memory_mib - worker.memory_mib - service_memory_mib,
            capacity.accelerators - worker.accelerators,
        ]
        for size in info.pending_reservations.values():
            free[0] -= size.cpu_milli
            free[1] -= size.memory_mib
            free[2] -= size.accelerators
        return tuple(free)

    def capacity_when_empty(self, name):
        """Returns what would be free for jobs if no attempt ran there."""
        capacity = self._jobs_part.workers[name].spec.capacity
        service_cpu_milli, service_memory_mib = self._info_by_worker[
            name
        ].service_reserve()
        return (
            capacity.cpu_milli - service_cpu_milli,
            capacity.memory_mib - service_memory_mib,
            capacity.accelerators,
        )

    def set_held(self, name, held, now_ms):
        """Marks a worker as kept free for one shape, or clears the mark."""
        info = self._info_by_worker.get(name)
        if info is not None:
            info.held = held
            self.refresh_worker(name, now_ms)
        if held:
            self._held_workers[name] = None
        else:
            self._held_workers.pop(name, None)

    def iter_held(self, data_centre, now_ms):
        """Yields the held workers that urgent jobs may be placed on now.

        Args:
            data_centre: name of the data centre to search, empty for all.
            now_ms: monotonic time in milliseconds.
        """
        for name in list(self._held_workers):
            worker = self._jobs_part.workers.get(name)
            info = self._info_by_worker.get(name)
            if (
                worker is not None
                and info is not None
                and data_centre in ('', worker.spec.data_centre)
                and self.accepts_despite_hold(worker, info, now_ms)
            ):
                yield name

    def iter_accepting(self, data_centre):
        """Yields all workers that accept ordinary jobs, whatever is free.

        Args:
            data_centre: name of the data centre to search, empty for all.
        """
        for index_data_centre, index in self._index_by_data_centre.items():
            if data_centre in ('', index_data_centre):
                yield from index.iter_workers()

    def has_accepting(self, data_centre, now_ms):
        """True if any worker accepts work now, held ones included."""
        return (
            next(self.iter_accepting(data_centre), None) is not None
            or next(self.iter_held(data_centre, now_ms), None) is not None
        )

    def fits_when_empty(self, name, need):
        """True if a need would fit on a worker if no attempt ran there."""
        return _capacity.covers(self.capacity_when_empty(name), need)

    def limit_size(self, size, declared_size, data_centre):
        """Limits a size to what a worker has room for if no attempt runs.

        Args:
            size: the ``messages.Resources`` to limit.
            declared_size: the size that is never gone below.
            data_centre: name of the data centre to search, empty for all.

        Returns:
            The size if it fits on a worker, or if the declared size fits on
            none; else its part that fits where the declared size does.
        """
        indexes = [
            index
            for name, index in sorted(self._empty_index_by_data_centre.items())
            if data_centre in ('', name)
        ]
        if any(_find_fitting(index, size) for index in indexes):
            return size
        for index in indexes:
            name = _find_fitting(index, declared_size)
            if name is not None:
                cpu_milli, memory_mib, _ = index.free_capacity(name)
                return messages.Resources(
                    min(size.cpu_milli, cpu_milli),
                    min(size.memory_mib, memory_mib),
                    size.accelerators,
                )
        return size

    def fits(self, name, need):
        """True if a need fits into a worker's free capacity."""
        return _capacity.covers(self.free_capacity(name), need)

    def iter_fitting(self, need, data_centre):
        """Yields workers with room, alternating between data centres.

        Args:
            need: required (cpu_milli, memory_mib, accelerators).
            data_centre: name of the data centre to search, empty for all.
        """
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

    def insufficient_dimension(self, need, data_centre):
        """Returns what no worker has enough of, empty if the need fits.

        The answer is empty if the need fits in any of the data centres
        searched.  Else it is the answer for the first of them by name that
        has workers which accept placements.

        Returns:
            As ``FreeCapacityIndex.insufficient_dimension``, or ``no worker
            accepts work`` if none has such workers.
        """
        indexes = [
            index
            for name, index in sorted(self._index_by_data_centre.items())
            if data_centre in ('', name) and len(index)
        ]
        if not indexes:
            return 'no worker accepts work'
        dimensions = [index.insufficient_dimension(need) for index in indexes]
        return min(dimensions, key=bool)

    def reserve_pending_placement(self, name, job_id, size, now_ms):
        """Subtracts a placement that isn't applied yet from free capacity."""
        self.worker_info(name).pending_reservations[job_id] = size
        self.refresh_worker(name, now_ms)

    def release_pending_placement(self, name, job_id, now_ms):
        """Ends the subtraction that ``reserve_pending_placement`` began."""
        self.worker_info(name).pending_reservations.pop(job_id, None)
        self.refresh_worker(name, now_ms)

    def _index_of(self, data_centre):
        index = self._index_by_data_centre.get(data_centre)
        if index is None:
            index = self._index_by_data_centre[data_centre] = (
                _capacity.FreeCapacityIndex()
            )
        return index


def _find_fitting(index, size):
    need = (size.cpu_milli, size.memory_mib, size.accelerators)
    return next(index.iter_fitting(need), None)
