"""HTTP server: one task for each connection, within the given ``Limits``.

A single task checks the time limits of all connections at a fixed interval,
because a timer for each phase of each request would cost processor time on
every request. A limit is therefore enforced up to ``SWEEP_INTERVAL_S`` late.
"""

import socket
import time

import curio

from fuchsiatrestle import errors
from fuchsiatrestle import logs
from fuchsiatrestle import metrics
from fuchsiatrestle.net import _http_connection
from fuchsiatrestle.net import _http_messages

__all__ = ('Server',)

SWEEP_INTERVAL_S = 0.1
LISTEN_BACKLOG_CONNECTIONS = 1024
# During a planned stop an idle connection stays open this long. A request that
# the client has sent on it meanwhile is answered with ``Connection: close``
# instead of being lost.
IDLE_DRAIN_S = 1.0

TOO_MANY_CONNECTIONS = metrics.declare(
    'refused.too_many_connections', 'Connections above the limit (503).'
)

LOG = logs.get_logger(__name__)


class Server:
    """Serves HTTP on one address with one handler.

    Args:
        address: ``settings.Address`` to listen on.
        handler: a ``Handler``, or any object with a ``handle`` method of the
            same signature.
        limits: ``Limits``; None for its defaults.
        share_port: True lets several processes listen on the address.

    Attributes:
        is_stopping: True once ``stop`` was called; each connection is then
            closed after its current request.
    """

    def __init__(self, address, handler, limits=None, *, share_port=False):
        self.address = address
        self.handler = handler
        self.limits = limits or _http_messages.Limits()
        self.is_stopping = False
        self._share_port = share_port
        self._connections = set()
        self._listener_sock = None
        self._tasks = []

    @property
    def open_connection_count(self):
        """The number of connections that are open now."""
        return len(self._connections)

    async def start(self):
        """Binds the address and starts the tasks that serve it.

        Raises:
            errors.Error: the address can not be bound.
        """
        try:
            self._listener_sock = curio.network.tcp_server_socket(
                self.address.host,
                self.address.port,
                self._address_family,
                LISTEN_BACKLOG_CONNECTIONS,
                reuse_port=self._share_port,
            )
        except OSError as exc:
            raise errors.Error(
                f'can not listen on {self.address}: {exc.strerror}',
                step='listen',
            ) from exc
        self._tasks = [
            await curio.spawn(self._accept_connections, daemon=True),
            await curio.spawn(self._sweep_connections, daemon=True),
        ]

    async def stop(self, grace_s=30.0):
        """Closes the listener, then waits for the requests in progress.

        Idle connections are closed after ``IDLE_DRAIN_S``, all others after
        ``grace_s`` even if their request is still in progress.

        Args:
            grace_s: time limit for requests in progress, in seconds.
        """
        self.is_stopping = True
        await self._tasks[0].cancel()
        await self._accept_waiting_connections()
        await self._listener_sock.close()
        stop_started_s = time.monotonic()
        while self._connections:
            elapsed_s = time.monotonic() - stop_started_s
            for conn in list(self._connections):
                if elapsed_s > grace_s or (
                    conn.phase == _http_connection.IDLE
                    and elapsed_s > IDLE_DRAIN_S
                ):
                    await conn.task.cancel(blocking=False)
            await curio.sleep(SWEEP_INTERVAL_S / 2)
        await self._tasks[1].cancel()

    def remove_connection(self, conn):
        """Stops tracking a connection that has ended."""
        self._connections.discard(conn)

    @property
    def _address_family(self):
        if ':' in self.address.host:
            return socket.AF_INET6
        return socket.AF_INET

    async def _accept_connections(self):
        while True:
            try:
                sock, _ = await self._listener_sock.accept()
            except OSError as exc:
                LOG.warning('accept_failed', extra={'error': str(exc)})
                await curio.sleep(SWEEP_INTERVAL_S)
                continue
            await self._start_or_refuse_connection(sock)

    async def _accept_waiting_connections(self):
        """Accepts the connections that clients have opened by now.

        They would be reset when the listener closes, and the requests on them
        lost.
        """
        listener_sock = self._listener_sock._socket
        if listener_sock is None:
            return  # It was stopped before.
        for _ in range(LISTEN_BACKLOG_CONNECTIONS):
            try:
                sock, _ = listener_sock.accept()
            except BlockingIOError:
                return
            except OSError as exc:
                LOG.warning('accept_failed', extra={'error': str(exc)})
                return
            await self._start_or_refuse_connection(curio.io.Socket(sock))

    async def _start_or_refuse_connection(self, sock):
        if len(self._connections) >= self.limits.connections:
            self._refuse_connection(sock)
        else:
            await self._start_connection(sock)

    async def _start_connection(self, sock):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        conn = _http_connection.Connection(self, sock)
        self._connections.add(conn)
        conn.task = await curio.spawn(conn.run, daemon=True)

    def _refuse_connection(self, sock):
        """Sends 503 and closes the socket, without starting a task."""
        metrics.count(TOO_MANY_CONNECTIONS)
        response = _http_messages.make_reason_response(
            503, 'too_many_connections'
        )
        head = (
            b'HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n'
            b'fuchsiatrestle-outcome: not-run\r\n'
            b'content-type: application/json\r\nconnection: close\r\n'
            b'content-length: %d\r\n\r\n' % len(response.body)
        )
        try:
            sock._socket.send(head + response.body)
        except OSError:
            LOG.debug('refusal_not_sent')
        sock._socket.close()

    async def _sweep_connections(self):
        while True:
            await curio.sleep(SWEEP_INTERVAL_S)
            now_s = time.monotonic()
            for conn in list(self._connections):
                await self._enforce_limits(conn, now_s)

    async def _enforce_limits(self, conn, now_s):
        """Cancels the task of a connection that is past its deadline.

        While the handler works there is no deadline; instead, the task is
        cancelled if the client has disconnected. That is checked only once
        the handler has worked for ``SWEEP_INTERVAL_S``.
        """
        if conn.is_handling:
            if (
                now_s - conn.phase_started_s > SWEEP_INTERVAL_S
                and conn.has_client_closed()
            ):
                await conn.task.cancel(
                    exc=_http_connection.ClientDisconnected, blocking=False
                )
        elif conn.deadline_s is not None and now_s > conn.deadline_s:
            await conn.task.cancel(
                exc=_http_connection.DeadlineExceeded, blocking=False
            )
