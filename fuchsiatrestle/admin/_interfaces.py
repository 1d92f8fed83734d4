"""What the administration API needs from the daemon around it."""

import abc

__all__ = ('Control', 'Local')


class Control(abc.ABC):
    """Way to the control leader.

    Both calls return a ``returns.result.Result``.  Its failure side is an
    ``errors.Failure`` whose reason is one of ``messages.ControlRefused``, or
    ``unreachable`` if the call certainly had no effect, or ``unknown``.
    """

    @abc.abstractmethod
    async def propose(self, command):
        """Has one command agreed; the value is a record of ``outcomes``."""

    @abc.abstractmethod
    async def ask(self, query):
        """Reads the agreed state; the value is a record of ``queries``."""


class Local(abc.ABC):
    """The entry's own view of itself."""

    @abc.abstractmethod
    def status(self):
        """Returns the ``EntryStatus``."""

    @abc.abstractmethod
    def upstreams(self):
        """Returns a list of ``UpstreamView``."""

    @abc.abstractmethod
    async def drain(self):
        """Starts the graceful stop of this entry and returns at once."""
