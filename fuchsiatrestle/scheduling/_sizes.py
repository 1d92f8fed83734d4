"""Reservations: declared sizes, corrected by what jobs really used."""

import abc

__all__ = (
    'DeclaredSizes',
    'SizeRule',
)


class SizeRule(abc.ABC):
    """Tells what to reserve for a job."""

    @abc.abstractmethod
    def reservation(self, spec):
        """Returns the ``messages.Resources`` to reserve."""


class DeclaredSizes(SizeRule):
    """Reserves what was declared."""

    def reservation(self, spec):
        """Returns the declared size."""
        return spec.size
