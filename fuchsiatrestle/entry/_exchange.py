"""One attempt: a request and its answer over one connection."""

import time

import curio

from fuchsiatrestle import daemon
from fuchsiatrestle.entry import _headers
from fuchsiatrestle.net import http
from fuchsiatrestle import routing

__all__ = ('Exchange', 'ForwardedRequest')

STORED_BYTES = 8192

_REFUSED_STATUSES = (429, 503)
_REASONS = {
    'connect_timeout': 'connect_timeout',
    'bad_response': 'bad_response',
}


class ForwardedRequest:
    """What is sent to the upstream, apart from the deadline."""

    __slots__ = ('body', 'headers', 'method', 'target')

    def __init__(self, request):
        self.method = request.method
        self.target = request.target
        self.body = request.body
        self.headers = [
            item
            for item in _headers.end_to_end(request.headers)
            if item[0] != _headers.DEADLINE_HEADER
        ]


class Exchange:
    """Sends a request over one connection and receives the answer.

    Args:
        router: the ``Router``.
        pool: the ``Pool``.
        ticket: ``Ticket`` of the request.
        dispatch: the core's ``Dispatch``.
        hold_bytes: answers up to this size are held whole.
    """

    __slots__ = (
        '_body',
        '_conn',
        '_dispatch',
        '_head',
        '_hold_bytes',
        '_over',
        '_pool',
        '_router',
        '_ticket',
        '_writing',
    )

    def __init__(self, router, pool, ticket, dispatch, hold_bytes):
        self._router = router
        self._pool = pool
        self._ticket = ticket
        self._dispatch = dispatch
        self._hold_bytes = hold_bytes
        self._conn = None
        self._head = None
        self._body = bytearray()
        self._over = False
        self._writing = False

    @property
    def written(self):
        """True if a byte of the request may have gone out."""
        return self._writing and self._conn.bytes_sent != 0

    @property
    def _left_s(self):
        return max(0.0, self._dispatch.deadline_ms / 1000 - time.monotonic())

    async def run(self, forwarded):
        """Makes the attempt; returns the response, None if it failed.

        On failure, and once the answer is whole, the core has been told.
        """
        try:
            reason = await self._send(forwarded)
            reason = reason or await self._receive()
        except http.HttpFailed as exc:
            reason = self._reason_of(exc)
        except curio.CancelledError:
            await self._drop()
            raise
        if reason == 'too_large':
            return http.StreamedResponse(
                self._head.status,
                self._streamed_headers(),
                _Stream(self),
                self._dispatch.deadline_ms / 1000,
            )
        if reason == 'not_written':
            await self._give_back()
            return None
        if reason:
            await self._fail(reason)
            return None
        return await self._complete()

    # Sending

    async def _send(self, forwarded):
        """Returns the reason why nothing was sent, empty if all was."""
        if self._dispatch.fresh:
            self._conn = await self._pool.open(self._dispatch, self._left_s)
        else:
            self._conn = self._pool.take(self._dispatch)
            if self._conn is None:
                return 'stale_connection'
        if self._router.may_write(self._ticket):
            return 'not_written'
        left_ms = self._dispatch.deadline_ms - daemon.now_ms()
        headers = [
            *forwarded.headers,
            (_headers.DEADLINE_HEADER, b'%d' % max(1, left_ms)),
        ]
        self._writing = True
        try:
            async with curio.timeout_after(self._left_s):
                await self._conn.send(
                    forwarded.method,
                    forwarded.target,
                    headers,
                    forwarded.body,
                )
        except curio.TaskTimeout:
            return 'deadline_exceeded'
        return ''

    # Receiving

    async def _receive(self):
        """Returns the reason of a failure, empty for a whole answer."""
        while True:
            before = self._conn.bytes_received
            wait_s = min(self._left_s, self._dispatch.progress_ms / 1000)
            try:
                async with curio.timeout_after(wait_s):
                    return await self._receive_held()
            except curio.TaskTimeout:
                if not self._left_s:
                    return 'deadline_exceeded'
                if self._conn.bytes_received == before:
                    return 'upstream_silent'

    async def _receive_held(self):
        conn = self._conn
        if self._head is None:
            self._head = await conn.receive_head()
            if self._is_refusal():
                return 'upstream_refused'
        while (chunk := await conn.receive_chunk()) is not None:
            self._body += chunk
            if len(self._body) > self._hold_bytes:
                return 'too_large'
        return ''

    def _is_refusal(self):
        head = self._head
        if head.status not in _REFUSED_STATUSES:
            return False
        return head.header(_headers.OUTCOME_HEADER) == 'not-run'

    def _reason_of(self, exc):
        if exc.step == 'connect':
            return _REASONS.get(exc.reason, 'connect_failed')
        if not self.written:
            return 'stale_connection'
        return _REASONS.get(exc.reason, 'connection_lost')

    # Ends

    async def _complete(self):
        """Tells the core of the whole answer and returns it."""
        self._over = True
        conn = self._conn
        reusable = conn.reusable
        if reusable:
            self._pool.keep(self._dispatch.connection_id, conn)
        else:
            conn.close()
        response = http.Response(
            self._head.status, self._kept_headers(), bytes(self._body)
        )
        await self._router.step(
            routing.AttemptEnded(
                self._ticket.request_id,
                '',
                True,
                reusable=reusable,
                status=self._head.status,
                answer=_stored(response),
            )
        )
        return response

    async def _give_back(self):
        """Ends an attempt on whose connection nothing was sent."""
        self._over = True
        self._pool.keep(self._dispatch.connection_id, self._conn)
        await self._router.step(
            routing.AttemptEnded(
                self._ticket.request_id, 'not_written', False, reusable=True
            )
        )

    async def _fail(self, reason, answer_started=False):
        self._over = True
        draining = await self._abandon()
        await self._router.step(
            routing.AttemptEnded(
                self._ticket.request_id,
                reason,
                self.written,
                draining=draining,
                refused=reason == 'upstream_refused',
                answer_started=answer_started,
            )
        )

    async def _drop(self):
        """Ends the attempt because the caller has gone."""
        self._over = True
        draining = await self._abandon()
        await self._router.step(
            routing.RequestDropped(self._ticket.request_id, draining)
        )

    async def _abandon(self):
        """Gives the connection up; returns True if it is to be drained."""
        conn = self._conn
        if conn is None:
            return False
        if not self.written or not conn.finish_sending():
            conn.close()
            return False
        await curio.spawn(self._drain, conn, daemon=True)
        return True

    async def _drain(self, conn):
        """Waits for the upstream to end, which frees its slot.

        An upstream that takes no notice of the half-close works on until the
        deadline it was told.
        """
        seen_closed = False
        hold_s = self._left_s + routing.ABANDON_HOLD_MS / 1000
        async with curio.ignore_after(hold_s):
            await conn.wait_closed()
            seen_closed = True
        conn.close()
        await self._router.step(
            routing.ConnectionReleased(
                self._dispatch.address,
                self._dispatch.connection_id,
                seen_closed,
            )
        )

    # Answers

    def _kept_headers(self):
        kept = () if self._body else (b'content-length',)
        return _headers.end_to_end(self._head.headers, kept)

    def _streamed_headers(self):
        return _headers.end_to_end(self._head.headers, (b'content-length',))

    async def next_chunk(self):
        """Returns the next bytes of a streamed answer, None at its end.

        Raises:
            http.HttpFailed: the answer was cut off or came too late.
        """
        if self._body:
            chunk = bytes(self._body)
            self._body.clear()
            return chunk
        try:
            async with curio.timeout_after(self._left_s):
                chunk = await self._conn.receive_chunk()
        except http.HttpFailed as exc:
            await self._fail(self._reason_of(exc), answer_started=True)
            raise
        except curio.TaskTimeout as exc:
            await self._fail('deadline_exceeded', answer_started=True)
            raise http.HttpFailed(
                'deadline_exceeded', step='read_body', peer=self._conn.peer
            ) from exc
        if chunk is None:
            await self._complete()
        return chunk

    async def close(self):
        """Ends a streamed answer, wherever it stands."""
        if not self._over:
            await self._drop()
        self._router.close_ticket(self._ticket)


class _Stream:
    """The body of an answer that is passed on while it arrives."""

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
        """Ends the stream."""
        await self._exchange.close()


def _stored(response):
    """Returns the answer as a claim keeps it, empty if too large."""
    if len(response.body) > STORED_BYTES:
        return b''
    return http.encode_answer(response)
