"""Open connections to upstreams, by the numbers the core gives them."""

from fuchsiatrestle.net import http
from fuchsiatrestle import settings

__all__ = ('Pool',)

CONNECT_TIMEOUT_S = 0.5


class Pool:
    """Connections that wait for their next request."""

    def __init__(self):
        self._idle = {}
        self._addresses = {}

    def __len__(self):
        return len(self._idle)

    async def open(self, dispatch, timeout_s):
        """Opens the connection that a ``Dispatch`` asks for.

        Raises:
            http.HttpFailed: the upstream could not be connected to.
        """
        return await http.ClientConnection.open(
            self._address(dispatch.address), min(timeout_s, CONNECT_TIMEOUT_S)
        )

    def take(self, dispatch):
        """Returns the idle connection a ``Dispatch`` names, None if gone."""
        conn = self._idle.pop(dispatch.connection_id, None)
        if conn is not None and conn.stale:
            conn.close()
            return None
        return conn

    def keep(self, connection_id, conn):
        """Keeps a connection for its next request."""
        self._idle[connection_id] = conn

    def close(self, connection_ids):
        """Closes idle connections."""
        for connection_id in connection_ids:
            conn = self._idle.pop(connection_id, None)
            if conn is not None:
                conn.close()

    def close_all(self):
        """Closes every idle connection."""
        self.close(list(self._idle))

    def _address(self, text):
        address = self._addresses.get(text)
        if address is None:
            address = self._addresses[text] = settings.Address.parse(text)
        return address
