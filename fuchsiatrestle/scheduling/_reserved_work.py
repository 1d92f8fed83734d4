"""Batch reservations summed by worker, rack and job class."""

import collections

__all__ = ('WorkReservations',)


class WorkReservations:
    """Sums the reservations of applied and proposed placements by class.

    The sums are updated with each reservation, so that a placement doesn't
    have to walk the jobs of a worker or rack.
    """

    def __init__(self):
        self._reservation_by_job = {}
        self._cores_by_worker = collections.defaultdict(dict)
        self._attempt_count_by_rack_and_class = collections.Counter()

    def add_reservation(self, job_id, worker_name, rack, job_class, cpu_milli):
        """Counts a job's reservation, in place of an earlier one."""
        self.remove_reservation(job_id)
        self._reservation_by_job[job_id] = (
            worker_name,
            rack,
            job_class,
            cpu_milli,
        )
        cores_by_class = self._cores_by_worker[worker_name]
        cores_by_class[job_class] = (
            cores_by_class.get(job_class, 0.0) + cpu_milli / 1000
        )
        self._attempt_count_by_rack_and_class[rack, job_class] += 1

    def remove_reservation(self, job_id):
        """Removes a job's reservation from the sums, if it is counted."""
        reservation = self._reservation_by_job.pop(job_id, None)
        if reservation is None:
            return
        worker_name, rack, job_class, cpu_milli = reservation
        cores_by_class = self._cores_by_worker[worker_name]
        cores_by_class[job_class] -= cpu_milli / 1000
        # Below half a thousandth of a core only rounding errors are left.
        if cores_by_class[job_class] < 0.0005:
            del cores_by_class[job_class]
            if not cores_by_class:
                del self._cores_by_worker[worker_name]
        self._attempt_count_by_rack_and_class[rack, job_class] -= 1
        if not self._attempt_count_by_rack_and_class[rack, job_class]:
            del self._attempt_count_by_rack_and_class[rack, job_class]

    def reserved_cores(self, worker_name):
        """Returns the processor cores reserved on a worker, by job class."""
        return self._cores_by_worker.get(worker_name) or {}

    def rack_of(self, job_id):
        """Returns the rack that a job's reservation counts in, or None."""
        reservation = self._reservation_by_job.get(job_id)
        return reservation[1] if reservation else None

    def count_in_rack(self, rack, job_class):
        """Returns the number of reservations of a job class in a rack."""
        return self._attempt_count_by_rack_and_class[rack, job_class]
