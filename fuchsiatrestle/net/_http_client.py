"""HTTP client: a single connection, and a small pool of them to one server."""

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

# Below ``heap.MMAP_THRESHOLD_BYTES``, so that a read maps no memory.
RECEIVE_CHUNK_BYTES = 16384
# Maximum size of status line and headers of a response together.
MAX_RESPONSE_HEAD_BYTES = 65536
MAX_IDLE_CONNECTIONS = 8  # in the pool of one ``Client``
MAX_RESPONSE_BODY_BYTES = 64 * 1024 * 1024
CONNECT_TIMEOUT_S = 1.0
CALL_TIMEOUT_S = 5.0


class ResponseHead:
    """The status and headers of a response, before its body.

    Attributes:
        status: HTTP status.
        headers: ``(name, value)`` pairs of bytes, names in lower case.
    """

    __slots__ = ('headers', 'status')

    def __init__(self, status, headers):
        self.status = status
        self.headers = headers

    def get_header(self, name, default=''):
        """Returns the first value of a header, as text.

        Args:
            name: header name in lower case, bytes.
            default: returned when the header is absent.
        """
        for header_name, header_value in self.headers:
            if header_name == name:
                return header_value.decode('latin-1')
        return default


class ClientConnection:
    """A connection to an HTTP server that carries one request at a time.

    Attributes:
        peer: address of the server, text.
        bytes_sent: number of bytes of the current request that the kernel has
            accepted.
        bytes_received: number of bytes received since the connection was
            opened.
    """

    __slots__ = ('_h11', '_sock', 'bytes_received', 'bytes_sent', 'peer')

    def __init__(self, sock, peer):
        self._sock = sock
        self._h11 = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_RESPONSE_HEAD_BYTES
        )
        self.peer = peer
        self.bytes_sent = 0
        self.bytes_received = 0

    @classmethod
    async def open(cls, address, timeout_s=CONNECT_TIMEOUT_S):
        """Returns a new connection to a server.

        Args:
            address: ``settings.Address`` of the server.
            timeout_s: time limit for connecting, in seconds.

        Raises:
            HttpError: the server refused the connection, is unreachable or
                did not accept it within ``timeout_s``, or no socket could be
                made.
        """
        family = socket.AF_INET6 if ':' in address.host else socket.AF_INET
        try:
            sock = curio.socket.socket(family, socket.SOCK_STREAM)
        except OSError as exc:
            raise _make_connect_error(exc, address) from exc
        try:
            async with curio.timeout_after(timeout_s):
                await sock.connect((address.host, address.port))
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except curio.TaskTimeout as exc:
            sock._socket.close()
            raise _make_error('connect_timeout', 'connect', address) from exc
        except OSError as exc:
            sock._socket.close()
            raise _make_connect_error(exc, address) from exc
        except curio.CancelledError:
            sock._socket.close()
            raise
        return cls(sock, str(address))

    @property
    def is_reusable(self):
        """True if the connection can carry another request.

        That holds once request and response are complete and neither side
        asked to close. A connection that received bytes after the end of the
        response is not reused, because they would be read as the response to
        the next request.
        """
        h11_states = self._h11.states
        if h11_states != {h11.CLIENT: h11.IDLE, h11.SERVER: h11.IDLE}:
            return False
        return not self._h11.trailing_data[0]

    @property
    def is_stale(self):
        """True if an idle connection must not be used any more.

        The server has closed it, or has sent bytes that no request asked for.
        """
        try:
            peek_flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
            self._sock._socket.recv(1, peek_flags)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def close(self):
        """Closes the socket without waiting for data in transit."""
        self._sock._socket.close()

    def finish_sending(self):
        """Closes the sending side, which the server reads as end of file.

        Returns:
            False if the connection is broken already.
        """
        try:
            self._sock._socket.shutdown(socket.SHUT_WR)
        except OSError:
            return False
        return True

    async def wait_closed(self):
        """Reads and discards data until the connection is closed or reset."""
        try:
            while await self._sock.recv(RECEIVE_CHUNK_BYTES):
                pass
        except OSError:
            return

    async def send(self, method, target, headers, body=b''):
        """Sends a complete request, head and body.

        Args:
            method: upper-case method, text.
            target: request target, text.
            headers: ``(name, value)`` pairs of bytes; they must include Host.
                The Content-Length header is added here.
            body: request body, bytes.

        Raises:
            HttpError: the connection broke or the request is not valid
                HTTP; ``bytes_sent`` is 0 if nothing was sent.
        """
        self.bytes_sent = 0
        try:
            request_bytes = self._encode_request(method, target, headers, body)
        except h11.LocalProtocolError as exc:
            raise _make_error('bad_request', 'write', self.peer) from exc
        unsent = memoryview(request_bytes)
        try:
            while unsent:
                sent_count = await self._sock.send(unsent)
                self.bytes_sent += sent_count
                unsent = unsent[sent_count:]
        except OSError as exc:
            raise _make_error('write_failed', 'write', self.peer) from exc

    def _encode_request(self, method, target, headers, body):
        """Returns the bytes of a request, with its Content-Length."""
        headers = list(headers)
        if body or method in ('POST', 'PUT', 'PATCH'):
            headers.append((b'content-length', b'%d' % len(body)))
        head = h11.Request(
            method=method.encode('ascii'),
            target=target.encode('ascii'),
            headers=headers,
        )
        request_bytes = self._h11.send(head)
        if body:
            request_bytes += self._h11.send(h11.Data(data=body))
        return request_bytes + self._h11.send(h11.EndOfMessage())

    async def receive_head(self):
        """Returns the ``ResponseHead`` that answers the request just sent.

        Interim responses (status 1xx) are skipped.

        Raises:
            HttpError: the connection broke, or the server closed it or sent
                invalid HTTP.
        """
        while True:
            event = await self._next_event('read_head')
            if type(event) is h11.Response:
                return ResponseHead(event.status_code, list(event.headers))
            if type(event) is not h11.InformationalResponse:
                raise _make_error('peer_closed', 'read_head', self.peer)

    async def receive_chunk(self):
        """Returns the next bytes of the response body, None at its end.

        Raises:
            HttpError: the connection ended before the body was complete, or
                the body is not valid HTTP.
        """
        event = await self._next_event('read_body')
        if type(event) is h11.Data:
            return bytes(event.data)
        if type(event) is not h11.EndOfMessage:
            raise _make_error('peer_closed', 'read_body', self.peer)
        if self._h11.states[h11.SERVER] is h11.DONE:
            if self._h11.our_state is h11.DONE:
                self._h11.start_next_cycle()
        return None

    async def _next_event(self, step):
        """Returns the next event of h11, reading from the socket as needed.

        Args:
            step: name of the step in progress, for errors.

        Raises:
            HttpError: the connection broke or the server sent invalid HTTP.
        """
        try:
            while True:
                event = self._h11.next_event()
                if event is not h11.NEED_DATA:
                    return event
                received_bytes = await self._sock.recv(RECEIVE_CHUNK_BYTES)
                self.bytes_received += len(received_bytes)
                self._h11.receive_data(received_bytes)
        except h11.RemoteProtocolError as exc:
            reason = 'bad_response'
            if self._h11.trailing_data[1]:
                reason = 'peer_closed'
            raise _make_error(reason, step, self.peer) from exc
        except OSError as exc:
            raise _make_error('connection_reset', step, self.peer) from exc


def _make_connect_error(exc, address):
    """Returns the ``HttpError`` for an ``OSError`` of a connection attempt."""
    error_name = errno.errorcode.get(exc.errno, 'connect_failed')
    return _make_error(error_name.lower(), 'connect', address)


def _make_error(reason, step, peer):
    return _http_messages.HttpError(reason, step=step, peer=str(peer))


class Client:
    """Calls one server over a pool of persistent connections.

    Bodies of requests and responses are held in memory as a whole.

    Args:
        address: ``settings.Address`` of the server.
        timeout_s: time limit for one call, in seconds, which includes
            connecting.
    """

    def __init__(self, address, timeout_s=CALL_TIMEOUT_S):
        self.address = address
        self._timeout_s = timeout_s
        self._idle_connections = collections.deque()
        self._host_header = str(address).encode('ascii')

    async def call(
        self,
        method,
        target,
        body=b'',
        headers=(),
        timeout_s=None,
        may_send=None,
    ):
        """Sends one request and returns the ``Response``.

        Args:
            method: upper-case method, text.
            target: request target, text.
            body: request body, bytes.
            headers: ``(name, value)`` pairs of bytes; Host and Content-Length
                are added here.
            timeout_s: time limit for this call, in seconds; None for the
                limit of the client.
            may_send: function that is called once the connection is open,
                right before the request is sent, and returns False if it must
                not be sent any more; None if it may be at any time.

        Raises:
            HttpError: no complete response was received within the time
                limit, its body exceeds ``MAX_RESPONSE_BODY_BYTES``, or the
                request must not be sent any more.
        """
        conn = None
        try:
            async with curio.timeout_after(timeout_s or self._timeout_s):
                conn = await self._acquire_connection()
                if may_send is not None and not may_send():
                    raise _make_error('too_late', 'call', self.address)
                response = await self._send_and_receive(
                    conn, method, target, body, headers
                )
        except curio.TaskTimeout as exc:
            raise _make_error('timeout', 'call', self.address) from exc
        finally:
            if conn is not None:
                self._release_connection(conn)
        return response

    async def call_json(self, method, target, json_body=None):
        """Sends a request with a JSON body and decodes the JSON response.

        Args:
            method: upper-case method, text.
            target: request target, text.
            json_body: value to send as JSON; None for an empty body.

        Returns:
            The status and the decoded value, None for an empty response body.

        Raises:
            HttpError: no complete response was received within the time
                limit of the client, or its body is too large or not JSON.
        """
        body = (
            b'' if json_body is None else _http_messages.encode_json(json_body)
        )
        response = await self.call(method, target, body)
        if not response.body:
            return response.status, None
        return response.status, _http_messages.decode_json(response.body)

    def close(self):
        """Closes all idle connections of the pool."""
        while self._idle_connections:
            self._idle_connections.pop().close()

    async def _acquire_connection(self):
        """Returns the idle connection used last, or else a new one.

        Stale idle connections are closed and skipped.
        """
        while self._idle_connections:
            conn = self._idle_connections.pop()
            if not conn.is_stale:
                return conn
            conn.close()
        return await ClientConnection.open(self.address, self._timeout_s)

    async def _send_and_receive(self, conn, method, target, body, headers):
        """Sends a request on a connection and returns the ``Response``."""
        headers = [(b'host', self._host_header), *headers]
        await conn.send(method, target, headers, body)
        head = await conn.receive_head()
        body_data = bytearray()
        while (chunk := await conn.receive_chunk()) is not None:
            body_data += chunk
            if len(body_data) > MAX_RESPONSE_BODY_BYTES:
                raise _make_error('answer_too_large', 'read_body', conn.peer)
        return _http_messages.Response(
            head.status, head.headers, bytes(body_data)
        )

    def _release_connection(self, conn):
        """Puts a connection back into the pool, or closes it.

        It is closed if it can not be reused or the pool is full.
        """
        if (
            conn.is_reusable
            and len(self._idle_connections) < MAX_IDLE_CONNECTIONS
        ):
            self._idle_connections.append(conn)
        else:
            conn.close()
