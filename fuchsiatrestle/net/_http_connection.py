"""One connection of the HTTP server: reads requests, sends responses."""

import socket
import struct
import time

import curio
import h11

from fuchsiatrestle import errors
from fuchsiatrestle import logs
from fuchsiatrestle import metrics
from fuchsiatrestle.net import _http_messages

__all__ = ('ClientDisconnected', 'Connection', 'DeadlineExceeded')

RECEIVE_CHUNK_BYTES = 65536
NS_PER_MS = 10**6
# Time for which input is still read after an error response was sent.
DRAIN_TIMEOUT_S = 0.1

# Phases of a connection, which decide the time limit that applies to it.
IDLE = 'idle'
READING_HEAD = 'head'
READING_BODY = 'body'
HANDLING = 'handling'
WRITING = 'writing'

HEAD_TOO_LARGE = metrics.declare(
    'refused.head_too_large', 'Requests whose head exceeds the limit (431).'
)
BODY_TOO_LARGE = metrics.declare(
    'refused.body_too_large', 'Requests whose body exceeds the limit (413).'
)
SLOW_SENDER = metrics.declare(
    'refused.slow_sender', 'Requests not received whole in time (408).'
)
MALFORMED_REQUEST = metrics.declare(
    'refused.malformed_request', 'Requests that are not valid HTTP (400).'
)
HANDLER_FAILED = metrics.declare(
    'http.handler_failed', 'Requests whose handler raised (500).'
)
CLIENT_HUNG_UP = metrics.declare(
    'http.client_hung_up', 'Requests whose client left before the answer.'
)
SLOW_READER = metrics.declare(
    'http.slow_reader', 'Connections aborted because no byte was accepted.'
)
RESPONSE_CUT_OFF = metrics.declare(
    'http.answer_cut', 'Streamed answers cut off by an abort.'
)

LOG = logs.get_logger(__name__)

# SO_LINGER on with a timeout of 0: close() sends a reset.
_RESET_ON_CLOSE_OPTION = struct.pack('ii', 1, 0)
# Size of the first fields of Linux's ``struct tcp_info``, and the offset of
# tcpi_last_data_recv, the milliseconds since the last data was received.
_TCP_INFO_BYTES = 60
_LAST_DATA_RECV_OFFSET = 52
# Reason and counter of each status that h11 suggests for invalid requests.
_REFUSALS_BY_STATUS = {
    400: ('malformed_request', MALFORMED_REQUEST),
    413: ('body_too_large', BODY_TOO_LARGE),
    431: ('head_too_large', HEAD_TOO_LARGE),
}


class DeadlineExceeded(curio.TaskCancelled):
    """Cancels the task of a connection whose current phase took too long."""


class ClientDisconnected(curio.TaskCancelled):
    """Cancels the task of a connection whose client has disconnected."""


class _RequestError(Exception):
    """A request is refused because it is invalid or too large.

    The client is sent an error response, then the connection is closed.

    Args:
        status: HTTP status of the response.
        reason: machine-readable reason for the body of the response.
        counter: metric that counts the refusal.
    """

    def __init__(self, status, reason, counter):
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.counter = counter


class Connection:
    """One accepted connection, served by a task of its own.

    Args:
        server: the ``Server`` that accepted it.
        sock: its curio socket.

    Attributes:
        task: curio task that runs ``run``; set by the server.
        phase: ``IDLE``, ``READING_HEAD``, ``READING_BODY``, ``HANDLING`` or
            ``WRITING``.
        phase_started_s: monotonic time in seconds at which the phase began,
            or at which the client last accepted bytes while ``WRITING``.
        deadline_s: monotonic time in seconds at which the server ends the
            phase by cancelling the task; None for no limit.
    """

    __slots__ = (
        '_body_deadline_s',
        '_h11',
        '_server',
        '_sock',
        'deadline_s',
        'phase',
        'phase_started_s',
        'task',
    )

    def __init__(self, server, sock):
        self._server = server
        self._sock = sock
        self._h11 = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=server.limits.head_bytes,
        )
        self._body_deadline_s = None
        self.task = None
        self.phase = READING_HEAD
        self.phase_started_s = time.monotonic()
        self.deadline_s = self.phase_started_s + server.limits.head_s

    # Phase and deadline

    def _start_phase(self, phase, time_limit_s):
        """Enters a phase and sets the deadline at which it is ended.

        Args:
            phase: the phase; ``WRITING`` ends at ``_body_deadline_s`` at the
                latest, if that is set.
            time_limit_s: time that the phase may last, in seconds; None for
                no limit.
        """
        self.phase = phase
        self.phase_started_s = time.monotonic()
        self.deadline_s = (
            None
            if time_limit_s is None
            else self.phase_started_s + time_limit_s
        )
        if phase == WRITING and self._body_deadline_s is not None:
            self.deadline_s = min(self.deadline_s, self._body_deadline_s)

    @property
    def is_handling(self):
        """True while the handler computes a response or its next chunk."""
        return self.phase == HANDLING

    def has_client_closed(self):
        """Returns True if the client closed or reset its side."""
        try:
            peek_flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
            return self._sock._socket.recv(1, peek_flags) == b''
        except BlockingIOError:
            return False
        except OSError:
            return True

    # The task that serves the connection

    async def run(self):
        """Serves requests until the connection ends, then closes it."""
        try:
            await self._serve_requests()
        except _RequestError as exc:
            metrics.count(exc.counter)
            await self._send_refusal(exc.status, exc.reason)
        except ClientDisconnected:
            metrics.count(CLIENT_HUNG_UP)
        except DeadlineExceeded:
            await self._handle_exceeded_deadline()
        except (OSError, h11.RemoteProtocolError):
            LOG.debug('connection_broken', extra={'phase': self.phase})
        finally:
            self._sock._socket.close()
            self._server.remove_connection(self)

    async def _serve_requests(self):
        """Serves requests one after another until the connection ends.

        The connection ends when the client sends no more requests, when it
        can not be reused after a response, or when the server stops.
        """
        while True:
            request = await self._receive_request()
            if request is None:
                return
            self._start_phase(HANDLING, None)
            response = await self._call_handler(request)
            if not await self._send_response(response):
                return
            if self._server.is_stopping:
                return
            self._h11.start_next_cycle()
            self._start_phase(IDLE, self._server.limits.idle_s)

    async def _handle_exceeded_deadline(self):
        """Ends the connection in the way that fits its phase.

        A request that was not received in time is answered with status 408.
        A connection on which a response is being sent is reset. An idle
        connection is closed without a response.
        """
        if self.phase in (READING_HEAD, READING_BODY):
            metrics.count(SLOW_SENDER)
            await self._send_refusal(408, 'slow_sender')
        elif self.phase == WRITING:
            metrics.count(SLOW_READER)
            self._reset_on_close()

    async def _send_refusal(self, status, reason):
        """Sends an error response, without waiting for a slow client.

        Sends nothing once a response to the request has begun. Whatever the
        socket does not accept at once is dropped.
        """
        if self._h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        response = _http_messages.make_reason_response(status, reason)
        head = h11.Response(
            status_code=status,
            headers=[
                *response.headers,
                (b'content-length', b'%d' % len(response.body)),
                (b'connection', b'close'),
            ],
        )
        try:
            response_bytes = self._h11.send(head) + self._h11.send(
                h11.Data(data=response.body)
            )
            self._sock._socket.send(response_bytes)
            await self._drain_input()
        except (OSError, h11.LocalProtocolError):
            return

    async def _drain_input(self):
        """Reads and discards up to 64 chunks within ``DRAIN_TIMEOUT_S``.

        Closing a socket with unread input sends a reset, on which the client
        may discard a response that it has not read yet.
        """
        self._sock._socket.shutdown(socket.SHUT_WR)
        async with curio.ignore_after(DRAIN_TIMEOUT_S):
            for _ in range(64):
                if not await self._sock.recv(RECEIVE_CHUNK_BYTES):
                    return

    # Receiving

    async def _next_event(self):
        """Returns the next event of h11, reading from the socket as needed.

        Raises:
            _RequestError: the client sent invalid HTTP.
        """
        while True:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as exc:
                status_hint = exc.error_status_hint
                reason, counter = _REFUSALS_BY_STATUS.get(
                    status_hint, _REFUSALS_BY_STATUS[400]
                )
                status = (
                    status_hint if status_hint in _REFUSALS_BY_STATUS else 400
                )
                raise _RequestError(status, reason, counter) from exc
            if event is not h11.NEED_DATA:
                return event
            if self._h11.they_are_waiting_for_100_continue:
                continue_response = h11.InformationalResponse(
                    status_code=100, headers=[]
                )
                await self._send_bytes(self._h11.send(continue_response))
            received_bytes = await self._sock.recv(RECEIVE_CHUNK_BYTES)
            if self.phase == IDLE and received_bytes:
                self._start_phase(READING_HEAD, self._server.limits.head_s)
            self._h11.receive_data(received_bytes)

    async def _receive_request(self):
        """Returns the next ``Request``, None if the client sends no more.

        Raises:
            _RequestError: the request is invalid or exceeds a limit.
        """
        head = await self._next_event()
        if type(head) is not h11.Request:
            return None
        headers = list(head.headers)
        declared_size = _get_declared_body_size(headers)
        if declared_size == 0:
            event = await self._next_event()
            if type(event) is h11.EndOfMessage:
                body = b''
                return self._build_request(head, headers, body)
        self._start_phase(READING_BODY, self._server.limits.body_s)
        if (
            declared_size is not None
            and declared_size > self._server.limits.body_bytes
        ):
            raise _RequestError(413, 'body_too_large', BODY_TOO_LARGE)
        body = await self._receive_body()
        if body is None:
            return None
        return self._build_request(head, headers, body)

    def _build_request(self, head, headers, body):
        return _http_messages.Request(
            head.method.decode('ascii'),
            head.target.decode('ascii'),
            headers,
            body,
            self._read_receipt_ms(),
        )

    def _read_receipt_ms(self):
        """Returns the time at which the kernel received the last data.

        A pause of this process between the two readings makes it earlier.

        Returns:
            Monotonic time in whole milliseconds; 0 if it is unknown.
        """
        now_ms = time.monotonic_ns() // NS_PER_MS
        try:
            tcp_info = self._sock._socket.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES
            )
        except OSError:
            return 0
        (age_ms,) = struct.unpack_from('I', tcp_info, _LAST_DATA_RECV_OFFSET)
        return now_ms - age_ms

    async def _receive_body(self):
        """Returns the whole body, None if the connection ends before that.

        Raises:
            _RequestError: the body exceeds the limit or is not valid HTTP.
        """
        body = bytearray()
        while True:
            event = await self._next_event()
            if type(event) is h11.EndOfMessage:
                return bytes(body)
            if type(event) is not h11.Data:
                return None
            body += event.data
            if len(body) > self._server.limits.body_bytes:
                raise _RequestError(413, 'body_too_large', BODY_TOO_LARGE)

    # Responding

    async def _call_handler(self, request):
        """Returns the response of the handler, status 500 if it raises.

        Raises:
            errors.InvariantBreach: raised by the handler.
        """
        try:
            return await self._server.handler.handle(request)
        except errors.InvariantBreach:
            raise
        except Exception:
            metrics.count(HANDLER_FAILED)
            LOG.exception('handler_failed', extra={'target': request.target})
            return _http_messages.make_reason_response(500, 'internal_error')

    async def _send_response(self, response):
        """Sends a response.

        Returns:
            True if the connection can carry another request.
        """
        self._start_phase(WRITING, self._server.limits.write_s)
        if isinstance(response, _http_messages.StreamedResponse):
            return await self._send_streamed_response(response)
        headers = list(response.headers)
        if response.needs_length:
            headers.append((b'content-length', b'%d' % len(response.body)))
        response_bytes = self._encode_head(response.status, headers)
        if response.body:
            response_bytes += self._h11.send(h11.Data(data=response.body))
        response_bytes += self._h11.send(h11.EndOfMessage())
        await self._send_bytes(response_bytes)
        return self._h11.our_state is h11.DONE

    def _encode_head(self, status, headers):
        """Returns the bytes of a response head.

        While the server stops, ``headers`` gets ``Connection: close`` added.
        """
        if self._server.is_stopping:
            headers.append((b'connection', b'close'))
        head = h11.Response(status_code=status, headers=headers)
        return self._h11.send(head)

    async def _send_streamed_response(self, response):
        """Sends each chunk as it arrives; resets the connection on an error.

        Between two chunks the phase is ``HANDLING``, in which no time limit
        applies to the client.

        Returns:
            True if the connection can carry another request.
        """
        self._body_deadline_s = response.body_deadline_s
        headers = list(response.headers)
        unsent_bytes = self._encode_head(response.status, headers)
        try:
            async for chunk in response.chunks:
                unsent_bytes += self._h11.send(h11.Data(data=chunk))
                self._start_phase(WRITING, self._server.limits.write_s)
                await self._send_bytes(unsent_bytes)
                unsent_bytes = b''
                self._start_phase(HANDLING, None)
            unsent_bytes += self._h11.send(h11.EndOfMessage())
            self._start_phase(WRITING, self._server.limits.write_s)
            await self._send_bytes(unsent_bytes)
        except (errors.Error, h11.LocalProtocolError) as exc:
            metrics.count(RESPONSE_CUT_OFF)
            LOG.warning('answer_cut', extra={'error': str(exc)})
            self._reset_on_close()
            return False
        finally:
            self._body_deadline_s = None
            await response.chunks.aclose()
        return self._h11.our_state is h11.DONE

    async def _send_bytes(self, data):
        """Sends all of ``data``.

        While ``WRITING``, the time limit restarts whenever the client accepts
        some bytes.
        """
        unsent = memoryview(data)
        while unsent:
            sent_count = await self._sock.send(unsent)
            unsent = unsent[sent_count:]
            if unsent and self.phase == WRITING:
                self._start_phase(WRITING, self._server.limits.write_s)

    def _reset_on_close(self):
        """Makes ``close`` reset the connection.

        A client may take a plain close for the end of a response, but never a
        reset.
        """
        self._sock._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE_OPTION
        )


def _get_declared_body_size(headers):
    """Returns the size of the body in bytes as the headers declare it.

    It is None for a chunked body and 0 for a request without a body.
    """
    for name, value in headers:
        if name == b'content-length':
            return int(value)
        if name == b'transfer-encoding':
            return None
    return 0
