"""Pool of idle connections, found by the routing core's connection ids."""

from fuchsiatrestle.net import http
from fuchsiatrestle import settings

__all__ = ('ConnectionPool',)

CONNECT_TIMEOUT_S = 0.5


class ConnectionPool:
    """Opens connections and keeps idle ones for their next request.

    The routing core decides which connection a request uses; the pool only
    finds it by its id.
    """

    def __init__(self):
        self._idle_connection_by_id = {}
        self._parsed_addresses = {}

    def __len__(self):
        return len(self._idle_connection_by_id)

    async def open_connection(self, dispatch, timeout_s):
        """Opens a connection to the upstream of a ``Dispatch``.

        Args:
            dispatch: the core's ``Dispatch``.
            timeout_s: time left for the request in seconds; connecting takes
                no longer than ``CONNECT_TIMEOUT_S`` in any case.

        Raises:
            http.HttpError: the connection could not be opened in time.
        """
        return await http.ClientConnection.open(
            self._parse_address(dispatch.address),
            min(timeout_s, CONNECT_TIMEOUT_S),
        )

    def take_idle_connection(self, dispatch):
        """Removes and returns the idle connection that a ``Dispatch`` names.

        Returns:
            The ``http.ClientConnection``, or None if it is not in the pool or
            the upstream has closed it or sent data unasked.
        """
        conn = self._idle_connection_by_id.pop(dispatch.connection_id, None)
        if conn is not None and conn.is_stale:
            conn.close()
            return None
        return conn

    def keep_idle_connection(self, connection_id, conn):
        """Keeps a connection that can carry another request."""
        self._idle_connection_by_id[connection_id] = conn

    def close_idle_connections(self, connection_ids):
        """Closes the idle connections that have one of these ids."""
        for connection_id in connection_ids:
            conn = self._idle_connection_by_id.pop(connection_id, None)
            if conn is not None:
                conn.close()

    def close_all(self):
        """Closes every idle connection."""
        self.close_idle_connections(list(self._idle_connection_by_id))

    def _parse_address(self, address_text):
        address = self._parsed_addresses.get(address_text)
        if address is None:
            address = self._parsed_addresses[address_text] = (
                settings.Address.parse(address_text)
            )
        return address
