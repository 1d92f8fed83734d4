"""HTTP server: one task for each connection, within the given ``Limits``.

A single task checks the time limits of all connections at a fixed interval,
because a timer for each phase of each request would cost processor time on
every request. A limit is therefore enforced up to ``SWEEP_INTERVAL_S`` late.

All servers of a process share one ``MemoryBudget``.
"""

import collections
import resource
import socket
import time

import curio

from fuchsiatrestle import errors
from fuchsiatrestle import logs
from fuchsiatrestle import metrics
from fuchsiatrestle.net import _http_connection
from fuchsiatrestle.net import _http_messages
from fuchsiatrestle.net import _memory_budget
from fuchsiatrestle.net import _refusal_log

__all__ = ('Server', 'process_budget')

SWEEP_INTERVAL_S = 0.1
LISTEN_BACKLOG_CONNECTIONS = 1024
# During a planned stop an idle connection stays open this long. A request that
# the client has sent on it meanwhile is answered with ``Connection: close``
# instead of being lost.
IDLE_DRAIN_S = 1.0

# Buffers in the kernel take memory of the VM, too.  Without a limit a socket
# may grow to several MB, which a client that does not read brings about.
SOCKET_BUFFER_BYTES = 256 * 1024

TOO_MANY_CONNECTIONS = metrics.declare(
    'refused.too_many_connections', 'Connections above the limit (503).'
)
TOO_MANY_FROM_ADDRESS = metrics.declare(
    'refused.too_many_from_address',
    'Connections above the limit for one address (429).',
)
STALLED_CONNECTIONS = metrics.declare(
    'http.stalled_closed',
    'Connections without a request closed to make room for others.',
)
MEMORY_IN_USE = metrics.declare(
    'http.memory_bytes', 'Memory of requests in progress, in bytes.'
)

LOG = logs.get_logger(__name__)

# The budget of this process.
process_budget = _memory_budget.MemoryBudget()


class Server:
    """Serves HTTP on one address with one handler.

    Args:
        address: ``settings.Address`` to listen on.
        handler: a ``Handler``, or any object with a ``handle`` method of the
            same signature.
        limits: ``Limits``; None for its defaults.
        share_port: True lets several processes listen on the address.
        budget: ``MemoryBudget``; None for that of the process.

    Attributes:
        is_stopping: True once ``stop`` was called; each connection is then
            closed after its current request.
        budget: the ``MemoryBudget``.
        refusal_log: ``RefusalLog`` of the listener.
    """

    def __init__(
        self, address, handler, limits=None, *, share_port=False, budget=None
    ):
        self.address = address
        self.handler = handler
        self.limits = limits or _http_messages.Limits()
        self.budget = budget or process_budget
        self.is_stopping = False
        self.refusal_log = _refusal_log.RefusalLog(str(address))
        self._share_port = share_port
        self._reported_bytes = 0
        self._connections = set()
        self._connection_count_by_host = collections.Counter()
        self._max_connections = min(
            self.limits.connections, _count_usable_descriptors()
        )
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
        # Accepted sockets inherit the sizes.
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            self._listener_sock.setsockopt(
                socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES
            )
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
        """Stops tracking a connection that has ended or was closed."""
        if conn not in self._connections:
            return
        self._connections.discard(conn)
        self._connection_count_by_host[conn.host] -= 1
        if not self._connection_count_by_host[conn.host]:
            del self._connection_count_by_host[conn.host]

    @property
    def _address_family(self):
        if ':' in self.address.host:
            return socket.AF_INET6
        return socket.AF_INET

    async def _accept_connections(self):
        while True:
            try:
                sock, peer = await self._listener_sock.accept()
            except OSError as exc:
                LOG.warning('accept_failed', extra={'error': str(exc)})
                await curio.sleep(SWEEP_INTERVAL_S)
                continue
            if not await self._start_or_refuse_connection(sock, peer[0]):
                # Lets other tasks run, as neither call waits while clients
                # keep connecting.
                await curio.sleep(0)

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
                sock, peer = listener_sock.accept()
            except BlockingIOError:
                return
            except OSError as exc:
                LOG.warning('accept_failed', extra={'error': str(exc)})
                return
            await self._start_or_refuse_connection(
                curio.io.Socket(sock), peer[0]
            )

    async def _start_or_refuse_connection(self, sock, host):
        """Starts a connection if it is within the limits.

        Returns:
            False if the connection was refused.
        """
        limits = self.limits
        host_count = self._connection_count_by_host[host]
        if (
            host_count >= limits.connections_per_address
            and not self._close_stalled_connection(host)
        ):
            self._refuse_connection(
                sock, host, 429, 'too_many_from_address', TOO_MANY_FROM_ADDRESS
            )
            return False
        if len(
            self._connections
        ) >= self._max_connections and not self._close_stalled_connection(
            None
        ):
            self._refuse_connection(
                sock, host, 503, 'too_many_connections', TOO_MANY_CONNECTIONS
            )
            return False
        await self._start_connection(sock, host)
        return True

    def _close_stalled_connection(self, host):
        """Closes the connection whose client has been silent longest.

        Connections that are being handled or were active within the last
        second are left alone.

        Args:
            host: IP address of the client; None for any.

        Returns:
            False if there is no such connection.
        """
        silent_since_s = time.monotonic() - _memory_budget.STALL_S
        stalled = None
        for conn in self._connections:
            if (
                conn.active_s < silent_since_s
                and conn.is_waiting_for_client
                and (host is None or conn.host == host)
            ):
                stalled = conn
                silent_since_s = conn.active_s
        if stalled is None:
            return False
        metrics.count(STALLED_CONNECTIONS)
        self.refusal_log.count('stalled_closed', stalled.host)
        stalled.close_at_once(503, 'too_many_connections')
        self.remove_connection(stalled)
        return True

    async def _start_connection(self, sock, host):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        conn = _http_connection.Connection(self, sock, host)
        self._connections.add(conn)
        self._connection_count_by_host[host] += 1
        conn.task = await curio.spawn(conn.run, daemon=True)

    def _refuse_connection(self, sock, host, status, reason, counter):
        """Sends a refusal and closes the socket, without starting a task."""
        metrics.count(counter)
        self.refusal_log.count(reason, host)
        try:
            sock._socket.send(_http_connection.make_refusal(status, reason))
        except OSError:
            LOG.debug('refusal_not_sent')
        sock._socket.close()

    async def _sweep_connections(self):
        while True:
            await curio.sleep(SWEEP_INTERVAL_S)
            now_s = time.monotonic()
            for conn in list(self._connections):
                await self._enforce_limits(conn, now_s)
            if self.budget.used_bytes != self._reported_bytes:
                self._reported_bytes = self.budget.used_bytes
                metrics.gauge(MEMORY_IN_USE, self._reported_bytes)
            self.refusal_log.write_if_due(now_s)

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


def _count_usable_descriptors():
    """Returns the number of descriptors that a listener may use.

    The other half of what the process may open is for files, links, orders to
    workers and the smaller listeners.
    """
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return max(1, soft_limit // 2)
