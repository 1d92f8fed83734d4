"""What the administration API needs from the daemon around it."""

import abc

from fuchsiatrestle.net import control_client

__all__ = ('Control', 'Local')


class Control(abc.ABC):
    """Way to the control leader.

    All calls return a ``returns.result.Result`` whose failure side is a
    ``control_client.CallFailure``.
    """

    @abc.abstractmethod
    async def propose(self, command):
        """Has one command agreed; the value is a record of ``outcomes``."""

    @abc.abstractmethod
    async def ask(self, query):
        """Reads the agreed state; the value is a record of ``queries``."""

    @abc.abstractmethod
    async def call(self, message):
        """Sends a message with a ``call_id``; the value is its answer."""


Control.register(control_client.ControlClient)


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
