"""Answers callers: each request gets an answer or a refusal."""

import curio
import xxhash

from fuchsiatrestle.entry import _exchange
from fuchsiatrestle.entry import _headers
from fuchsiatrestle import metrics
from fuchsiatrestle.net import http
from fuchsiatrestle import routing

__all__ = ('CallersHandler',)

HEALTH_PATH = '/health'
KEY_HEADER = b'idempotency-key'
IDEMPOTENT_HEADER = b'fuchsiatrestle-idempotent'
PRIORITY_HEADER = b'fuchsiatrestle-priority'
MAX_KEY_CHARS = 256
LOWEST_PRIORITY = 9

REQUESTS = metrics.declare('requests.received', 'Requests of callers.')
ANSWERS = metrics.declare(
    'requests.answered', 'Requests answered by an upstream, whole.'
)
STREAMED = metrics.declare(
    'requests.streamed', 'Requests whose answer was passed on as it came.'
)
REPLAYED = metrics.declare(
    'requests.replayed', 'Requests given the stored answer of their key.'
)

_FLAGS = {'yes': True, 'no': False}


class _BadHeader(Exception):
    """A header of the system's own has no valid value."""


class CallersHandler(http.Handler):
    """Answers the requests of callers.

    Args:
        router: the ``Router``.
        pool: the ``Pool``.
        is_healthy: called without arguments for the balancer's check.
    """

    def __init__(self, router, pool, is_healthy):
        self._router = router
        self._pool = pool
        self._is_healthy = is_healthy

    async def handle(self, request):
        """Returns the response to one request."""
        if request.path == HEALTH_PATH:
            return self._health()
        metrics.count(REQUESTS)
        cfg = self._router.core.configuration
        name = cfg.find_service(request.path)
        if name is None and cfg.version:
            return _refusal('unknown_path', False, 0)
        ticket = self._router.open_ticket()
        try:
            event = _arrival(ticket, name, cfg.services.get(name), request)
        except _BadHeader as exc:
            self._router.close_ticket(ticket)
            return _refusal('bad_header', False, 0, str(exc))
        hold_bytes = 0
        if name is not None:
            hold_bytes = cfg.services[name].max_held_answer_bytes
        response = None
        try:
            response = await self._serve(ticket, event, request, hold_bytes)
        finally:
            if not isinstance(response, http.StreamedResponse):
                self._router.close_ticket(ticket)
        return response

    def _health(self):
        if self._is_healthy():
            return http.json_response(200, {'healthy': True})
        return http.json_response(503, {'healthy': False})

    async def _serve(self, ticket, event, request, hold_bytes):
        await self._router.step(event)
        forwarded = _exchange.ForwardedRequest(request)
        while True:
            decision = await self._next_decision(ticket)
            if isinstance(decision, routing.Refuse):
                return _refusal(
                    decision.reason, decision.written, decision.retry_after_s
                )
            if isinstance(decision, routing.ReplayAnswer):
                metrics.count(REPLAYED)
                return http.decode_answer(decision.status, decision.answer)
            exchange = _exchange.Exchange(
                self._router, self._pool, ticket, decision, hold_bytes
            )
            response = await exchange.run(forwarded)
            if response is not None:
                return _counted(response)

    async def _next_decision(self, ticket):
        try:
            return await ticket.next()
        except curio.CancelledError:
            await self._router.step(routing.RequestDropped(ticket.request_id))
            raise


def _counted(response):
    streamed = isinstance(response, http.StreamedResponse)
    metrics.count(STREAMED if streamed else ANSWERS)
    return response


def _arrival(ticket, name, service, request):
    idempotent = (
        service is not None and request.method in service.idempotent_methods
    )
    key = request.header(KEY_HEADER)
    if len(key) > MAX_KEY_CHARS:
        raise _BadHeader('idempotency-key is too long')
    return routing.RequestArrived(
        ticket.request_id,
        name or '',
        _flag(request, IDEMPOTENT_HEADER, idempotent),
        _number(request, PRIORITY_HEADER, LOWEST_PRIORITY),
        _number(request, _headers.DEADLINE_HEADER, 3600000),
        key,
        _fingerprint(request) if key else b'',
    )


def _flag(request, header, default):
    text = request.header(header)
    if not text:
        return default
    if text not in _FLAGS:
        raise _BadHeader(f'{header.decode()} must be yes or no')
    return _FLAGS[text]


def _number(request, header, high):
    text = request.header(header)
    if not text:
        return 0
    if not text.isdecimal() or not 0 <= int(text) <= high:
        raise _BadHeader(f'{header.decode()} must be 0 to {high}')
    return int(text)


def _fingerprint(request):
    digest = xxhash.xxh128()
    digest.update(request.method.encode('ascii'))
    digest.update(b' ' + request.target.encode('ascii') + b'\n')
    digest.update(request.body)
    return digest.digest()


def _refusal(reason, written, retry_after_s, detail=''):
    known = routing.REASONS[reason]
    status = known.status
    if written and status in (429, 503):
        status = 504
    outcome = b'unknown' if written else b'not-run'
    headers = [(_headers.OUTCOME_HEADER, outcome)]
    if status in (409, 429, 503):
        headers.append(http.retry_after(max(1, retry_after_s)))
    return http.reason_response(
        status, reason, detail or known.description, headers
    )
