"""HTTP client: one connection at a time, and a small pool for one peer."""

import collections
import errno
import socket

import curio
import h11

from fuchsiatrestle.net import _http_messages

__all__ = (
    'Client',
    'ClientConnection',
    'ResponseHead',
)

RECV_BYTES = 65536
MAX_HEAD_BYTES = 65536
MAX_IDLE_CONNECTIONS = 8
MAX_ANSWER_BYTES = 64 * 1024 * 1024
CONNECT_TIMEOUT_S = 1.0
CALL_TIMEOUT_S = 5.0


class ResponseHead:
    """Status and headers of a response.

    Attributes:
        status: HTTP status.
        headers: ``(name, value)`` pairs of bytes, names in lower case.
    """

    __slots__ = ('headers', 'status')

    def __init__(self, status, headers):
        self.status = status
        self.headers = headers

    def header(self, name, default=''):
        """Returns the first value of a header, as text."""
        for key, value in self.headers:
            if key == name:
                return value.decode('latin-1')
        return default


class ClientConnection:
    """One connection to an HTTP server, for one request at a time.

    Attributes:
        peer: address of the server, text.
        bytes_sent: bytes of the current request the kernel has accepted.
        bytes_received: bytes received on this connection so far.
    """

    __slots__ = ('_h11', '_sock', 'bytes_received', 'bytes_sent', 'peer')

    def __init__(self, sock, peer):
        self._sock = sock
        self._h11 = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self.peer = peer
        self.bytes_sent = 0
        self.bytes_received = 0

    @classmethod
    async def open(cls, address, timeout_s=CONNECT_TIMEOUT_S):
        """Connects to ``address``.

        Raises:
            HttpFailed: refused, unreachable or not in time.
        """
        family = socket.AF_INET6 if ':' in address.host else socket.AF_INET
        sock = curio.socket.socket(family, socket.SOCK_STREAM)
        try:
            async with curio.timeout_after(timeout_s):
                await sock.connect((address.host, address.port))
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except curio.TaskTimeout as exc:
            sock._socket.close()
            raise _failed('connect_timeout', 'connect', address) from exc
        except OSError as exc:
            sock._socket.close()
            name = errno.errorcode.get(exc.errno, 'connect_failed')
            raise _failed(name.lower(), 'connect', address) from exc
        except curio.CancelledError:
            sock._socket.close()
            raise
        return cls(sock, str(address))

    @property
    def reusable(self):
        """True once an exchange is complete and both sides stay open.

        Bytes beyond the answer would be taken for that to the next request.
        """
        states = self._h11.states
        if states != {h11.CLIENT: h11.IDLE, h11.SERVER: h11.IDLE}:
            return False
        return not self._h11.trailing_data[0]

    @property
    def stale(self):
        """True if an idle connection was closed or received anything."""
        try:
            flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
            self._sock._socket.recv(1, flags)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def close(self):
        """Closes the connection at once."""
        self._sock._socket.close()

    def finish_sending(self):
        """Tells the server that nothing more comes; False if it is gone."""
        try:
            self._sock._socket.shutdown(socket.SHUT_WR)
        except OSError:
            return False
        return True

    async def wait_closed(self):
        """Reads and drops everything until the server closes."""
        try:
            while await self._sock.recv(RECV_BYTES):
                pass
        except OSError:
            return

    async def send(self, method, target, headers, body=b''):
        """Sends a request whole.

        Args:
            method: upper-case method, text.
            target: request target, text.
            headers: pairs of bytes; they must hold Host, framing is added.
            body: bytes.

        Raises:
            HttpFailed: the connection broke or the request is not valid;
                ``bytes_sent`` tells whether any byte went out.
        """
        self.bytes_sent = 0
        try:
            data = self._encode(method, target, headers, body)
        except h11.LocalProtocolError as exc:
            raise _failed('bad_request', 'write', self.peer) from exc
        view = memoryview(data)
        try:
            while view:
                sent = await self._sock.send(view)
                self.bytes_sent += sent
                view = view[sent:]
        except OSError as exc:
            raise _failed('write_failed', 'write', self.peer) from exc

    def _encode(self, method, target, headers, body):
        headers = list(headers)
        if body or method in ('POST', 'PUT', 'PATCH'):
            headers.append((b'content-length', b'%d' % len(body)))
        head = h11.Request(
            method=method.encode('ascii'),
            target=target.encode('ascii'),
            headers=headers,
        )
        data = self._h11.send(head)
        if body:
            data += self._h11.send(h11.Data(data=body))
        return data + self._h11.send(h11.EndOfMessage())

    async def receive_head(self):
        """Returns the ``ResponseHead`` of the request sent.

        Raises:
            HttpFailed: the connection broke or sent no valid HTTP.
        """
        while True:
            event = await self._next_event('read_head')
            if type(event) is h11.Response:
                return ResponseHead(event.status_code, list(event.headers))
            if type(event) is not h11.InformationalResponse:
                raise _failed('peer_closed', 'read_head', self.peer)

    async def receive_chunk(self):
        """Returns the next bytes of the body, None once it is complete.

        Raises:
            HttpFailed: the body was cut off or is not valid HTTP.
        """
        event = await self._next_event('read_body')
        if type(event) is h11.Data:
            return bytes(event.data)
        if type(event) is not h11.EndOfMessage:
            raise _failed('peer_closed', 'read_body', self.peer)
        if self._h11.states[h11.SERVER] is h11.DONE:
            if self._h11.our_state is h11.DONE:
                self._h11.start_next_cycle()
        return None

    async def _next_event(self, step):
        try:
            while True:
                event = self._h11.next_event()
                if event is not h11.NEED_DATA:
                    return event
                data = await self._sock.recv(RECV_BYTES)
                self.bytes_received += len(data)
                self._h11.receive_data(data)
        except h11.RemoteProtocolError as exc:
            reason = 'bad_response'
            if self._h11.trailing_data[1]:
                reason = 'peer_closed'
            raise _failed(reason, step, self.peer) from exc
        except OSError as exc:
            raise _failed('connection_reset', step, self.peer) from exc


def _failed(reason, step, peer):
    return _http_messages.HttpFailed(reason, step=step, peer=str(peer))


class Client:
    """Calls one server over a few kept connections, bodies held whole.

    Args:
        address: ``settings.Address`` of the server.
        timeout_s: for one call, connecting included.
    """

    def __init__(self, address, timeout_s=CALL_TIMEOUT_S):
        self.address = address
        self._timeout_s = timeout_s
        self._idle = collections.deque()
        self._host = str(address).encode('ascii')

    async def call(self, method, target, body=b'', headers=(), timeout_s=None):
        """Returns the ``Response`` to one request.

        Args:
            method: upper-case method, text.
            target: request target, text.
            body: bytes.
            headers: pairs of bytes besides Host and framing.
            timeout_s: for this call in place of the client's own.

        Raises:
            HttpFailed: no whole answer in time.
        """
        conn = None
        try:
            async with curio.timeout_after(timeout_s or self._timeout_s):
                conn = await self._take()
                response = await self._exchange(
                    conn, method, target, body, headers
                )
        except curio.TaskTimeout as exc:
            raise _failed('timeout', 'call', self.address) from exc
        finally:
            if conn is not None:
                self._give_back(conn)
        return response

    async def call_json(self, method, target, value=None):
        """Returns status and decoded JSON of a call with a JSON body."""
        body = b'' if value is None else _http_messages.encode_json(value)
        response = await self.call(method, target, body)
        if not response.body:
            return response.status, None
        return response.status, _http_messages.decode_json(response.body)

    def close(self):
        """Closes the idle connections."""
        while self._idle:
            self._idle.pop().close()

    async def _take(self):
        while self._idle:
            conn = self._idle.pop()
            if not conn.stale:
                return conn
            conn.close()
        return await ClientConnection.open(self.address, self._timeout_s)

    async def _exchange(self, conn, method, target, body, headers):
        headers = [(b'host', self._host), *headers]
        await conn.send(method, target, headers, body)
        head = await conn.receive_head()
        data = bytearray()
        while (chunk := await conn.receive_chunk()) is not None:
            data += chunk
            if len(data) > MAX_ANSWER_BYTES:
                raise _failed('answer_too_large', 'read_body', conn.peer)
        return _http_messages.Response(head.status, head.headers, bytes(data))

    def _give_back(self, conn):
        if conn.reusable and len(self._idle) < MAX_IDLE_CONNECTIONS:
            self._idle.append(conn)
        else:
            conn.close()
