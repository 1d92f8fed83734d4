"""Interfaces that the entry daemon implements for the administration API."""

import abc

from fuchsiatrestle.net import control_client

__all__ = ('Control', 'Local')


class Control(abc.ABC):
    """Client of the control leader.

    All methods return a ``returns.result.Result`` whose failure is a
    ``control_client.CallFailure``.
    """

    @abc.abstractmethod
    async def propose(self, command):
        """Has a command agreed; succeeds with a record of ``outcomes``."""

    @abc.abstractmethod
    async def ask(self, query):
        """Reads the agreed state; succeeds with a record of ``queries``."""

    @abc.abstractmethod
    async def call(self, message):
        """Sends a message with a ``call_id``; succeeds with the answer."""


Control.register(control_client.ControlClient)


class Local(abc.ABC):
    """Provides the state of the entry that serves the API."""

    @abc.abstractmethod
    def status(self):
        """Returns the ``EntryStatus`` of this entry."""

    @abc.abstractmethod
    def upstreams(self):
        """Returns an ``UpstreamView`` for each upstream that it knows."""

    @abc.abstractmethod
    async def drain(self):
        """Starts the graceful stop of this entry and returns at once."""
