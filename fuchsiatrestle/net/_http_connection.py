"""One connection of the HTTP server: requests in, answers out."""

import socket
import struct
import time

import curio
import h11

from fuchsiatrestle import errors
from fuchsiatrestle import logs
from fuchsiatrestle import metrics
from fuchsiatrestle.net import _http_messages

__all__ = ('ClientGone', 'Connection', 'Overdue')

RECV_BYTES = 65536
LINGER_S = 0.1

IDLE = 'idle'
HEAD = 'head'
BODY = 'body'
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
MALFORMED = metrics.declare(
    'refused.malformed_request', 'Requests that are not valid HTTP (400).'
)
HANDLER_FAILED = metrics.declare(
    'http.handler_failed', 'Requests whose handler raised (500).'
)
HUNG_UP = metrics.declare(
    'http.client_hung_up', 'Requests whose client left before the answer.'
)
SLOW_READER = metrics.declare(
    'http.slow_reader', 'Connections aborted because no byte was accepted.'
)
ANSWER_CUT = metrics.declare(
    'http.answer_cut', 'Streamed answers cut off by an abort.'
)

LOG = logs.get_logger(__name__)

_ABORT = struct.pack('ii', 1, 0)
_HINTS = {
    400: ('malformed_request', MALFORMED),
    413: ('body_too_large', BODY_TOO_LARGE),
    431: ('head_too_large', HEAD_TOO_LARGE),
}


class Overdue(curio.TaskCancelled):
    """The sweep found the connection beyond a time limit."""


class ClientGone(curio.TaskCancelled):
    """The sweep found that the client hung up."""


class _Refused(Exception):
    """The request is answered with an error and the connection closed."""

    def __init__(self, status, reason, counter):
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.counter = counter


class Connection:
    """One accepted connection and the task that owns it."""

    __slots__ = (
        '_h11',
        '_server',
        '_sock',
        '_until_s',
        'deadline_s',
        'phase',
        'since_s',
        'task',
    )

    def __init__(self, server, sock):
        self._server = server
        self._sock = sock
        self._h11 = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=server.limits.head_bytes,
        )
        self._until_s = None
        self.task = None
        self.phase = HEAD
        self.since_s = time.monotonic()
        self.deadline_s = self.since_s + server.limits.head_s

    # Phases

    def _enter(self, phase, limit_s):
        self.phase = phase
        self.since_s = time.monotonic()
        self.deadline_s = None if limit_s is None else self.since_s + limit_s
        if phase == WRITING and self._until_s is not None:
            self.deadline_s = min(self.deadline_s, self._until_s)

    @property
    def handling(self):
        """True while the handler works on a request."""
        return self.phase == HANDLING

    def client_gone(self):
        """True if the client closed or reset its side."""
        try:
            flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
            return self._sock._socket.recv(1, flags) == b''
        except BlockingIOError:
            return False
        except OSError:
            return True

    # The task

    async def run(self):
        """Serves requests until the connection ends."""
        try:
            await self._serve()
        except _Refused as exc:
            metrics.count(exc.counter)
            await self._refuse(exc.status, exc.reason)
        except ClientGone:
            metrics.count(HUNG_UP)
        except Overdue:
            await self._end_overdue()
        except (OSError, h11.RemoteProtocolError):
            LOG.debug('connection_broken', extra={'phase': self.phase})
        finally:
            self._sock._socket.close()
            self._server.forget(self)

    async def _serve(self):
        while True:
            request = await self._receive_request()
            if request is None:
                return
            self._enter(HANDLING, None)
            response = await self._call_handler(request)
            if not await self._answer(response):
                return
            if self._server.stopping:
                return
            self._h11.start_next_cycle()
            self._enter(IDLE, self._server.limits.idle_s)

    async def _end_overdue(self):
        if self.phase in (HEAD, BODY):
            metrics.count(SLOW_SENDER)
            await self._refuse(408, 'slow_sender')
        elif self.phase == WRITING:
            metrics.count(SLOW_READER)
            self._abort()

    async def _refuse(self, status, reason):
        """Answers an error, as far as the client accepts it at once."""
        if self._h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        response = _http_messages.reason_response(status, reason)
        head = h11.Response(
            status_code=status,
            headers=[
                *response.headers,
                (b'content-length', b'%d' % len(response.body)),
                (b'connection', b'close'),
            ],
        )
        try:
            data = self._h11.send(head) + self._h11.send(
                h11.Data(data=response.body)
            )
            self._sock._socket.send(data)
            await self._drain()
        except (OSError, h11.LocalProtocolError):
            return

    async def _drain(self):
        """Reads on for a moment, lest the close resets the answer away."""
        self._sock._socket.shutdown(socket.SHUT_WR)
        async with curio.ignore_after(LINGER_S):
            for _ in range(64):
                if not await self._sock.recv(RECV_BYTES):
                    return

    # Receiving

    async def _next_event(self):
        while True:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as exc:
                hint = exc.error_status_hint
                reason, counter = _HINTS.get(hint, _HINTS[400])
                status = hint if hint in _HINTS else 400
                raise _Refused(status, reason, counter) from exc
            if event is not h11.NEED_DATA:
                return event
            if self._h11.they_are_waiting_for_100_continue:
                go_ahead = h11.InformationalResponse(
                    status_code=100, headers=[]
                )
                await self._send(self._h11.send(go_ahead))
            data = await self._sock.recv(RECV_BYTES)
            if self.phase == IDLE and data:
                self._enter(HEAD, self._server.limits.head_s)
            self._h11.receive_data(data)

    async def _receive_request(self):
        """Returns the next request, or None when there is no more."""
        head = await self._next_event()
        if type(head) is not h11.Request:
            return None
        headers = list(head.headers)
        declared = _declared_length(headers)
        if declared == 0:
            event = await self._next_event()
            if type(event) is h11.EndOfMessage:
                body = b''
                return self._request(head, headers, body)
        self._enter(BODY, self._server.limits.body_s)
        if declared is not None and declared > self._server.limits.body_bytes:
            raise _Refused(413, 'body_too_large', BODY_TOO_LARGE)
        body = await self._receive_body()
        if body is None:
            return None
        return self._request(head, headers, body)

    def _request(self, head, headers, body):
        return _http_messages.Request(
            head.method.decode('ascii'),
            head.target.decode('ascii'),
            headers,
            body,
        )

    async def _receive_body(self):
        body = bytearray()
        while True:
            event = await self._next_event()
            if type(event) is h11.EndOfMessage:
                return bytes(body)
            if type(event) is not h11.Data:
                return None
            body += event.data
            if len(body) > self._server.limits.body_bytes:
                raise _Refused(413, 'body_too_large', BODY_TOO_LARGE)

    # Answering

    async def _call_handler(self, request):
        try:
            return await self._server.handler.handle(request)
        except errors.InvariantBreach:
            raise
        except Exception:
            metrics.count(HANDLER_FAILED)
            LOG.exception('handler_failed', extra={'target': request.target})
            return _http_messages.reason_response(500, 'internal_error')

    async def _answer(self, response):
        """Sends a response; returns True if the connection may go on."""
        self._enter(WRITING, self._server.limits.write_s)
        if isinstance(response, _http_messages.StreamedResponse):
            return await self._answer_streamed(response)
        headers = list(response.headers)
        if response.needs_length:
            headers.append((b'content-length', b'%d' % len(response.body)))
        data = self._head_bytes(response.status, headers)
        if response.body:
            data += self._h11.send(h11.Data(data=response.body))
        data += self._h11.send(h11.EndOfMessage())
        await self._send(data)
        return self._h11.our_state is h11.DONE

    def _head_bytes(self, status, headers):
        if self._server.stopping:
            headers.append((b'connection', b'close'))
        head = h11.Response(status_code=status, headers=headers)
        return self._h11.send(head)

    async def _answer_streamed(self, response):
        self._until_s = response.until_s
        headers = list(response.headers)
        data = self._head_bytes(response.status, headers)
        try:
            async for chunk in response.chunks:
                data += self._h11.send(h11.Data(data=chunk))
                self._enter(WRITING, self._server.limits.write_s)
                await self._send(data)
                data = b''
                self._enter(HANDLING, None)
            data += self._h11.send(h11.EndOfMessage())
            self._enter(WRITING, self._server.limits.write_s)
            await self._send(data)
        except (errors.Error, h11.LocalProtocolError) as exc:
            metrics.count(ANSWER_CUT)
            LOG.warning('answer_cut', extra={'error': str(exc)})
            self._abort()
            return False
        finally:
            self._until_s = None
            await response.chunks.aclose()
        return self._h11.our_state is h11.DONE

    async def _send(self, data):
        view = memoryview(data)
        while view:
            sent = await self._sock.send(view)
            view = view[sent:]
            if view and self.phase == WRITING:
                self._enter(WRITING, self._server.limits.write_s)

    def _abort(self):
        """Makes the close a reset, which no client takes for an end."""
        self._sock._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _ABORT
        )


def _declared_length(headers):
    """Returns the declared body length, None for a chunked body."""
    for name, value in headers:
        if name == b'content-length':
            return int(value)
        if name == b'transfer-encoding':
            return None
    return 0
