"""Reserved batch work by worker, rack and class."""

import collections

__all__ = ('Mixes',)


class Mixes:
    """What is reserved where, agreed or proposed, kept incrementally."""

    def __init__(self):
        self._by_job = {}
        self._cores = collections.defaultdict(dict)
        self._racks = collections.Counter()

    def hold(self, job_id, worker, rack, job_class, cpu_milli):
        """Counts the reservation of one job."""
        self.release(job_id)
        self._by_job[job_id] = (worker, rack, job_class, cpu_milli)
        cores = self._cores[worker]
        cores[job_class] = cores.get(job_class, 0.0) + cpu_milli / 1000
        self._racks[rack, job_class] += 1

    def release(self, job_id):
        """Ends what ``hold`` counted, if anything."""
        known = self._by_job.pop(job_id, None)
        if known is None:
            return
        worker, rack, job_class, cpu_milli = known
        cores = self._cores[worker]
        cores[job_class] -= cpu_milli / 1000
        if cores[job_class] < 0.0005:
            del cores[job_class]
            if not cores:
                del self._cores[worker]
        self._racks[rack, job_class] -= 1
        if not self._racks[rack, job_class]:
            del self._racks[rack, job_class]

    def cores(self, worker):
        """Returns the reserved cores of a worker by class."""
        return self._cores.get(worker) or {}

    def rack_of(self, job_id):
        """Returns the rack that a job's reservation was counted in."""
        known = self._by_job.get(job_id)
        return known[1] if known else None

    def rack_count(self, rack, job_class):
        """Returns the number of attempts of a class in a rack."""
        return self._racks[rack, job_class]
