"""One attempt: a request is sent to one upstream and its answer received."""

import time

import curio

from fuchsiatrestle import daemon
from fuchsiatrestle.entry import _headers
from fuchsiatrestle.net import http
from fuchsiatrestle import routing

__all__ = ('Exchange', 'ForwardedRequest')

MAX_STORED_BODY_BYTES = 8192

_REFUSAL_STATUSES = (429, 503)
# Reasons of ``http.HttpError`` that the routing core uses under the same name.
_SHARED_REASONS = {
    'connect_timeout': 'connect_timeout',
    'bad_response': 'bad_response',
}


class ForwardedRequest:
    """The request as each attempt sends it to an upstream.

    Only the deadline header is missing: its value is the time left when the
    attempt starts.
    """

    __slots__ = ('body', 'headers', 'method', 'target')

    def __init__(self, request):
        self.method = request.method
        self.target = request.target
        self.body = request.body
        self.headers = [
            header
            for header in _headers.select_end_to_end_headers(request.headers)
            if header[0] != _headers.DEADLINE_HEADER
        ]


class Exchange:
    """Sends a request over one connection and receives the answer.

    An answer of up to ``max_held_bytes`` is received whole before the caller
    gets any of it, so that the request may still be retried if the answer is
    cut off.  A larger answer is streamed to the caller.

    Args:
        router: the ``Router``.
        pool: the ``ConnectionPool``.
        pending_request: the ``PendingRequest``.
        dispatch: the core's ``Dispatch``.
        max_held_bytes: size of the largest answer body that is received whole
            before the caller gets any of it.
    """

    __slots__ = (
        '_answer_body',
        '_answer_head',
        '_conn',
        '_dispatch',
        '_is_attempt_over',
        '_max_held_bytes',
        '_pending_request',
        '_pool',
        '_router',
        '_sending_started',
    )

    def __init__(
        self, router, pool, pending_request, dispatch, max_held_bytes
    ):
        self._router = router
        self._pool = pool
        self._pending_request = pending_request
        self._dispatch = dispatch
        self._max_held_bytes = max_held_bytes
        self._conn = None
        self._answer_head = None
        self._answer_body = bytearray()
        self._is_attempt_over = False
        self._sending_started = False

    @property
    def may_have_been_sent(self):
        """True if a byte of the request may have reached the upstream."""
        return self._sending_started and self._conn.bytes_sent != 0

    @property
    def _remaining_s(self):
        """Seconds until the deadline of the request, at least 0."""
        return max(0.0, self._dispatch.deadline_ms / 1000 - time.monotonic())

    async def send_request(self, request):
        """Makes the attempt.

        The core is told how the attempt ended; for a streamed answer it is
        told at the end of the stream.

        Args:
            request: the ``ForwardedRequest``.

        Returns:
            The ``http.Response`` or ``http.StreamedResponse`` for the caller,
            or None if the attempt failed.

        Raises:
            curio.CancelledError: the caller has gone.
        """
        try:
            reason = await self._send_to_upstream(request)
            reason = reason or await self._receive_answer()
        except http.HttpError as exc:
            reason = self._get_failure_reason(exc)
        except curio.CancelledError:
            await self._drop_request()
            raise
        if reason == 'too_large':
            return http.StreamedResponse(
                self._answer_head.status,
                self._select_streamed_answer_headers(),
                _StreamedBody(self),
                self._dispatch.deadline_ms / 1000,
            )
        if reason == 'not_written':
            await self._return_unused_connection()
            return None
        if reason:
            await self._fail_attempt(reason)
            return None
        return await self._complete_attempt()

    # Sending

    async def _send_to_upstream(self, request):
        """Sends the request whole.

        Returns:
            The reason why it was not sent, or not sent whole; empty on
            success.

        Raises:
            http.HttpError: the connection could not be opened or broke.
        """
        if self._dispatch.fresh:
            self._conn = await self._pool.open_connection(
                self._dispatch, self._remaining_s
            )
        else:
            self._conn = self._pool.take_idle_connection(self._dispatch)
            if self._conn is None:
                return 'stale_connection'
        if self._router.write_refusal_reason(self._pending_request):
            return 'not_written'
        remaining_ms = self._dispatch.deadline_ms - daemon.monotonic_ms()
        headers = [
            *request.headers,
            (_headers.DEADLINE_HEADER, b'%d' % max(1, remaining_ms)),
        ]
        self._sending_started = True
        try:
            async with curio.timeout_after(self._remaining_s):
                await self._conn.send(
                    request.method,
                    request.target,
                    headers,
                    request.body,
                )
        except curio.TaskTimeout:
            return 'deadline_exceeded'
        return ''

    # Receiving

    async def _receive_answer(self):
        """Receives the answer until it ends or exceeds ``max_held_bytes``.

        The attempt fails at the deadline of the request, and earlier if the
        upstream sends no byte for the ``progress_ms`` of the dispatch.

        Returns:
            Empty for a whole answer, ``too_large`` if it is to be streamed,
            otherwise the reason of the failure.

        Raises:
            http.HttpError: the connection broke or the answer is malformed.
        """
        while True:
            received_bytes_before = self._conn.bytes_received
            progress_timeout_s = min(
                self._remaining_s, self._dispatch.progress_ms / 1000
            )
            try:
                async with curio.timeout_after(progress_timeout_s):
                    return await self._receive_held_answer()
            except curio.TaskTimeout:
                if not self._remaining_s:
                    return 'deadline_exceeded'
                if self._conn.bytes_received == received_bytes_before:
                    return 'upstream_silent'

    async def _receive_held_answer(self):
        """Does the work of ``_receive_answer``, without a time limit.

        After a timeout it may be called again and continues with what was
        received before.
        """
        conn = self._conn
        if self._answer_head is None:
            self._answer_head = await conn.receive_head()
            if self._is_refusal():
                return 'upstream_refused'
        while (chunk := await conn.receive_chunk()) is not None:
            self._answer_body += chunk
            if len(self._answer_body) > self._max_held_bytes:
                return 'too_large'
        return ''

    def _is_refusal(self):
        """True if the upstream says that it did not run the request."""
        answer_head = self._answer_head
        if answer_head.status not in _REFUSAL_STATUSES:
            return False
        return answer_head.get_header(_headers.OUTCOME_HEADER) == 'not-run'

    def _get_failure_reason(self, exc):
        """Returns the core's reason for an ``http.HttpError``."""
        if exc.step == 'connect':
            return _SHARED_REASONS.get(exc.reason, 'connect_failed')
        if not self.may_have_been_sent:
            return 'stale_connection'
        return _SHARED_REASONS.get(exc.reason, 'connection_lost')

    # End of the attempt

    async def _complete_attempt(self):
        """Reports a whole answer to the core and returns the response."""
        self._is_attempt_over = True
        conn = self._conn
        is_reusable = conn.is_reusable
        if is_reusable:
            self._pool.keep_idle_connection(self._dispatch.connection_id, conn)
        else:
            conn.close()
        response = http.Response(
            self._answer_head.status,
            self._select_held_answer_headers(),
            bytes(self._answer_body),
        )
        await self._router.step(
            routing.AttemptEnded(
                self._pending_request.request_id,
                '',
                True,
                reusable=is_reusable,
                status=self._answer_head.status,
                answer=_encode_stored_answer(response),
            )
        )
        return response

    async def _return_unused_connection(self):
        """Ends an attempt before its first byte and keeps the connection."""
        self._is_attempt_over = True
        self._pool.keep_idle_connection(
            self._dispatch.connection_id, self._conn
        )
        await self._router.step(
            routing.AttemptEnded(
                self._pending_request.request_id,
                'not_written',
                False,
                reusable=True,
            )
        )

    async def _fail_attempt(self, reason, answer_started=False):
        """Abandons the connection and reports the failure to the core."""
        self._is_attempt_over = True
        is_draining = await self._abandon_connection()
        await self._router.step(
            routing.AttemptEnded(
                self._pending_request.request_id,
                reason,
                self.may_have_been_sent,
                draining=is_draining,
                refused=reason == 'upstream_refused',
                answer_started=answer_started,
            )
        )

    async def _drop_request(self):
        """Ends the attempt and the request because the caller has gone."""
        self._is_attempt_over = True
        is_draining = await self._abandon_connection()
        await self._router.step(
            routing.RequestDropped(
                self._pending_request.request_id, is_draining
            )
        )

    async def _abandon_connection(self):
        """Closes the connection, or drains it if the request may be running.

        Returns:
            True if the connection is being drained; the core then counts the
            connection's slot as used until ``ConnectionReleased``.
        """
        conn = self._conn
        if conn is None:
            return False
        if not self.may_have_been_sent or not conn.finish_sending():
            conn.close()
            return False
        await curio.spawn(self._drain_connection, conn, daemon=True)
        return True

    async def _drain_connection(self, conn):
        """Waits until the upstream closes a connection, then tells the core.

        Only then has the upstream ended its work on the request.  An upstream
        that ignores the end of the sending direction may work on until the
        request's deadline; the wait ends ``REQUEST_END_MARGIN_MS`` after that
        deadline.
        """
        upstream_closed = False
        drain_timeout_s = (
            self._remaining_s + routing.REQUEST_END_MARGIN_MS / 1000
        )
        async with curio.ignore_after(drain_timeout_s):
            await conn.wait_closed()
            upstream_closed = True
        conn.close()
        await self._router.step(
            routing.ConnectionReleased(
                self._dispatch.address,
                self._dispatch.connection_id,
                upstream_closed,
            )
        )

    # Answer

    def _select_held_answer_headers(self):
        """Returns the headers of an answer whose body is held whole.

        Without a body the upstream's ``content-length`` is kept.
        """
        kept_names = () if self._answer_body else (b'content-length',)
        return _headers.select_end_to_end_headers(
            self._answer_head.headers, kept_names
        )

    def _select_streamed_answer_headers(self):
        return _headers.select_end_to_end_headers(
            self._answer_head.headers, (b'content-length',)
        )

    async def next_chunk(self):
        """Returns the next bytes of a streamed answer, None at its end.

        Raises:
            http.HttpError: the answer was cut off or came too late.
        """
        if self._answer_body:
            chunk = bytes(self._answer_body)
            self._answer_body.clear()
            return chunk
        try:
            async with curio.timeout_after(self._remaining_s):
                chunk = await self._conn.receive_chunk()
        except http.HttpError as exc:
            await self._fail_attempt(
                self._get_failure_reason(exc), answer_started=True
            )
            raise
        except curio.TaskTimeout as exc:
            await self._fail_attempt('deadline_exceeded', answer_started=True)
            raise http.HttpError(
                'deadline_exceeded', step='read_body', peer=self._conn.peer
            ) from exc
        if chunk is None:
            await self._complete_attempt()
        return chunk

    async def close_stream(self):
        """Ends a streamed answer and its request, complete or not."""
        if not self._is_attempt_over:
            await self._drop_request()
        self._router.close_request(self._pending_request)


class _StreamedBody:
    """Asynchronous iterator over the body of a streamed answer."""

    __slots__ = ('_exchange',)

    def __init__(self, exchange):
        self._exchange = exchange

    def __aiter__(self):
        return self

    async def __anext__(self):
        chunk = await self._exchange.next_chunk()
        if chunk is None:
            raise StopAsyncIteration
        return chunk

    async def aclose(self):
        """Ends the stream, complete or not."""
        await self._exchange.close_stream()


def _encode_stored_answer(response):
    """Returns the answer encoded for storage with its claim.

    The result is empty if the body exceeds ``MAX_STORED_BODY_BYTES``.
    """
    if len(response.body) > MAX_STORED_BODY_BYTES:
        return b''
    return http.encode_stored_response(response)
