"""HTTP server: one task a connection, bounded by ``Limits``.

Time limits are kept by one sweep over all connections, which costs a request
nothing while it is within them; they are therefore exact to ``SWEEP_S`` only.
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

SWEEP_S = 0.1
BACKLOG = 1024
# Time for connections that are idle at a planned stop to bring one more
# request, which is then answered with ``Connection: close``.
IDLE_DRAIN_S = 1.0

TOO_MANY_CONNECTIONS = metrics.declare(
    'refused.too_many_connections', 'Connections above the limit (503).'
)

LOG = logs.get_logger(__name__)


class Server:
    """Listens on one address and answers with one handler.

    Args:
        address: ``settings.Address`` to listen on.
        handler: a ``Handler``, or any object with its ``handle``.
        limits: ``Limits``.
        share_port: True lets several processes listen on the address.
    """

    def __init__(self, address, handler, limits=None, *, share_port=False):
        self.address = address
        self.handler = handler
        self.limits = limits or _http_messages.Limits()
        self.stopping = False
        self._share_port = share_port
        self._connections = set()
        self._sock = None
        self._tasks = []

    @property
    def open_connections(self):
        """Number of connections now open."""
        return len(self._connections)

    async def start(self):
        """Binds the address and serves in background tasks.

        Raises:
            errors.Error: the address can not be bound.
        """
        try:
            self._sock = curio.network.tcp_server_socket(
                self.address.host,
                self.address.port,
                self._family,
                BACKLOG,
                reuse_port=self._share_port,
            )
        except OSError as exc:
            raise errors.Error(
                f'can not listen on {self.address}: {exc.strerror}',
                step='listen',
            ) from exc
        self._tasks = [
            await curio.spawn(self._accept, daemon=True),
            await curio.spawn(self._sweep, daemon=True),
        ]

    async def stop(self, grace_s=30.0):
        """Stops gracefully; cuts what is left after ``grace_s``.

        Idle connections may bring one more request for ``IDLE_DRAIN_S``.
        """
        self.stopping = True
        await self._tasks[0].cancel()
        await self._sock.close()
        started_s = time.monotonic()
        while self._connections:
            elapsed_s = time.monotonic() - started_s
            for conn in list(self._connections):
                if elapsed_s > grace_s or (
                    conn.phase == _http_connection.IDLE
                    and elapsed_s > IDLE_DRAIN_S
                ):
                    await conn.task.cancel(blocking=False)
            await curio.sleep(SWEEP_S / 2)
        await self._tasks[1].cancel()

    def forget(self, conn):
        """Drops a connection that has ended."""
        self._connections.discard(conn)

    @property
    def _family(self):
        if ':' in self.address.host:
            return socket.AF_INET6
        return socket.AF_INET

    async def _accept(self):
        while True:
            try:
                sock, _ = await self._sock.accept()
            except OSError as exc:
                LOG.warning('accept_failed', extra={'error': str(exc)})
                await curio.sleep(SWEEP_S)
                continue
            if len(self._connections) >= self.limits.connections:
                self._refuse_connection(sock)
                continue
            await self._admit(sock)

    async def _admit(self, sock):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        conn = _http_connection.Connection(self, sock)
        self._connections.add(conn)
        conn.task = await curio.spawn(conn.run, daemon=True)

    def _refuse_connection(self, sock):
        metrics.count(TOO_MANY_CONNECTIONS)
        response = _http_messages.reason_response(503, 'too_many_connections')
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

    async def _sweep(self):
        while True:
            await curio.sleep(SWEEP_S)
            now_s = time.monotonic()
            for conn in list(self._connections):
                await self._check(conn, now_s)

    async def _check(self, conn, now_s):
        if conn.handling:
            if now_s - conn.since_s > SWEEP_S and conn.client_gone():
                await conn.task.cancel(
                    exc=_http_connection.ClientGone, blocking=False
                )
        elif conn.deadline_s is not None and now_s > conn.deadline_s:
            await conn.task.cancel(
                exc=_http_connection.Overdue, blocking=False
            )
