"""Interfaces of the administration API to control and to its own entry."""

import abc

from fuchsiatrestle.net import control_client

__all__ = ('Control', 'LocalEntry')


class Control(abc.ABC):
    """Client of the control leader.

    All methods return a ``returns.result.Result`` whose failure is a
    ``control_client.CallFailure``.
    """

    @abc.abstractmethod
    async def propose(
        self, command, timeout_ms=control_client.DEFAULT_TIMEOUT_MS
    ):
        """Proposes a command and waits for its outcome.

        The success value is a record of ``state.outcomes``.
        """

    @abc.abstractmethod
    async def query(self, query, timeout_ms=control_client.DEFAULT_TIMEOUT_MS):
        """Reads from the state that the control replicas share.

        The success value is a record of ``state.queries``.
        """

    @abc.abstractmethod
    async def call(self, message):
        """Sends a message that has a ``call_id`` and waits for the answer.

        The success value is the message that answers it.
        """


Control.register(control_client.ControlClient)


class LocalEntry(abc.ABC):
    """The entry that serves the API: its state and its graceful stop."""

    @abc.abstractmethod
    def get_status(self):
        """Returns the ``EntryStatus`` of this entry."""

    @abc.abstractmethod
    def list_upstreams(self):
        """Returns an ``UpstreamView`` for each upstream that it knows."""

    @abc.abstractmethod
    async def drain(self):
        """Starts the graceful stop of this entry and returns at once."""
