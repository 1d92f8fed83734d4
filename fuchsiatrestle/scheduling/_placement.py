"""Rules that pick a worker among those with room."""

import abc
import math

__all__ = (
    'FirstFit',
    'LeastInterference',
    'PlacementRule',
)


class PlacementRule(abc.ABC):
    """Picks the worker of one placement."""

    @abc.abstractmethod
    def pick(self, job, need, names, patient=True):
        """Returns the name of a worker, or None to wait.

        Args:
            job: the job to place.
            need: (cpu_milli, memory_mib, accelerators) to reserve.
            names: candidates that have room, best first by free capacity.
            patient: False to take the best candidate, however bad.
        """


class FirstFit(PlacementRule):
    """Takes the first candidate."""

    def pick(self, job, need, names, patient=True):
        """Returns the first name."""
        return names[0] if names else None


class LeastInterference(PlacementRule):
    """Takes the candidate whose services suffer least.

    Among equals the rack with fewest attempts of the job's class wins, so
    that one rack does not take a whole class down, then the candidate that
    came first.

    Args:
        fleet: the ``Fleet``.
        mixes: the ``Mixes`` of reserved work.
        model: the ``InterferenceModel``.
        max_ratio: highest estimated tail, as a multiple of its baseline.
    """

    def __init__(self, fleet, mixes, model, max_ratio):
        self._fleet = fleet
        self._mixes = mixes
        self._model = model
        self._max_ratio = max_ratio

    def pick(self, job, need, names, patient=True):
        """Returns the best name, or None if every one would suffer."""
        limit = self._max_ratio if patient else math.inf
        best, least = None, None
        for name in names:
            cost = self._cost(job, need, name, limit)
            if cost is None:
                continue
            if least is None or cost < least:
                best, least = name, cost
        return best

    def _cost(self, job, need, name, limit):
        spec = job.spec
        cores = need[0] / 1000
        harm = 0.0
        for load in self._fleet.info(name).services:
            before = self._model.log_ratio(
                load.service, self._mixes.cores(name)
            )
            added = cores * self._model.per_core(load.service, spec.job_class)
            after = math.exp(before + added)
            if after > limit and added > 0 and not spec.urgent:
                return None
            harm += after - math.exp(before)
        rack = self._fleet.rack(name)
        spread = self._mixes.rack_count(rack, spec.job_class)
        return round(harm, 3), spread
