"""Rules that choose one of the workers that have room for a job."""

import abc
import math

__all__ = (
    'FirstFit',
    'LeastInterference',
    'PlacementRule',
)


class PlacementRule(abc.ABC):
    """Interface of a rule that chooses the worker for a placement."""

    @abc.abstractmethod
    def pick_worker(self, job, need, worker_names, limit_tail=True):
        """Returns the name of a worker, or None to wait.

        Args:
            job: the job to place.
            need: (cpu_milli, memory_mib, accelerators) to reserve.
            worker_names: workers that have room, in the order of the capacity
                index: fewest free accelerators first, then most free
                processor time.
            limit_tail: False to choose the best worker even if the tail
                latency of a service on it would exceed the limit.
        """


class FirstFit(PlacementRule):
    """Chooses the first candidate, without regard to interference."""

    def pick_worker(self, job, need, worker_names, limit_tail=True):
        """Returns the first name, or None if there is none."""
        return worker_names[0] if worker_names else None


class LeastInterference(PlacementRule):
    """Chooses the worker whose services' tail latencies rise least.

    Ties go to the rack with fewest attempts of the job's class, so that the
    loss of one rack doesn't stop the whole class, and then to the worker
    that comes first.

    Args:
        fleet: the ``Fleet``.
        work_reservations: the ``WorkReservations``.
        interference_model: the ``InterferenceModel``.
        max_tail_ratio: highest tail latency that a placement may cause by
            estimate, as a multiple of the baseline; urgent jobs are exempt.
    """

    def __init__(
        self, fleet, work_reservations, interference_model, max_tail_ratio
    ):
        self._fleet = fleet
        self._work_reservations = work_reservations
        self._interference_model = interference_model
        self._max_tail_ratio = max_tail_ratio

    def pick_worker(self, job, need, worker_names, limit_tail=True):
        """Returns the best name, or None if all would exceed the limit."""
        max_tail_ratio = self._max_tail_ratio if limit_tail else math.inf
        best_name, lowest_cost = None, None
        for name in worker_names:
            cost = self._placement_cost(job, need, name, max_tail_ratio)
            if cost is None:
                continue
            if lowest_cost is None or cost < lowest_cost:
                best_name, lowest_cost = name, cost
        return best_name

    def _placement_cost(self, job, need, name, max_tail_ratio):
        spec = job.spec
        needed_cores = need[0] / 1000
        harm = 0.0
        for load in self._fleet.worker_info(name).services:
            log_ratio_before = self._interference_model.log_tail_ratio(
                load.service, self._work_reservations.reserved_cores(name)
            )
            log_ratio_increase = (
                needed_cores
                * self._interference_model.coefficient(
                    load.service, spec.job_class
                )
            )
            ratio_after = math.exp(log_ratio_before + log_ratio_increase)
            if (
                ratio_after > max_tail_ratio
                and log_ratio_increase > 0
                and not spec.urgent
            ):
                return None
            harm += ratio_after - math.exp(log_ratio_before)
        rack = self._fleet.rack_of(name)
        rack_attempt_count = self._work_reservations.count_in_rack(
            rack, spec.job_class
        )
        return round(harm, 3), rack_attempt_count
