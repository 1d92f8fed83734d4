"""Rules that pick a worker among those with room."""

import abc

__all__ = (
    'FirstFit',
    'PlacementRule',
)


class PlacementRule(abc.ABC):
    """Picks the worker of one placement."""

    @abc.abstractmethod
    def pick(self, job, need, names):
        """Returns the name of a worker, or None to wait.

        Args:
            job: the job to place.
            need: (cpu_milli, memory_mib, accelerators) to reserve.
            names: candidates that have room, best first by free capacity.
        """


class FirstFit(PlacementRule):
    """Takes the first candidate."""

    def pick(self, job, need, names):
        """Returns the first name."""
        return names[0] if names else None
