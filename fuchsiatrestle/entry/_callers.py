"""Handler of the callers' port: each request gets an answer or a refusal."""

import curio
import xxhash

from fuchsiatrestle.entry import _exchange
from fuchsiatrestle.entry import _headers
from fuchsiatrestle import metrics
from fuchsiatrestle.net import http
from fuchsiatrestle import number_ranges
from fuchsiatrestle import routing

__all__ = ('CallersHandler',)

HEALTH_PATH = '/health'
IDEMPOTENCY_KEY_HEADER = b'idempotency-key'
IDEMPOTENT_HEADER = b'fuchsiatrestle-idempotent'
PRIORITY_HEADER = b'fuchsiatrestle-priority'
MAX_KEY_CHARS = 256
LOWEST_PRIORITY = 9  # 0 is the highest

REQUESTS_RECEIVED = metrics.declare(
    'requests.received', 'Requests of callers.'
)
REQUESTS_ANSWERED = metrics.declare(
    'requests.answered', 'Requests answered by an upstream, whole.'
)
REQUESTS_STREAMED = metrics.declare(
    'requests.streamed', 'Requests whose answer was passed on as it came.'
)
REQUESTS_REPLAYED = metrics.declare(
    'requests.replayed', 'Requests given the stored answer of their key.'
)

_FLAG_VALUES = {'yes': True, 'no': False}


class _BadHeader(Exception):
    """The value of a header that this handler evaluates is not valid."""


class CallersHandler(http.Handler):
    """Answers callers' requests and the load balancer's health check.

    Args:
        router: the ``Router``.
        pool: the ``ConnectionPool``.
        is_healthy: function without arguments that returns True while the load
            balancer should send callers to this entry.
    """

    def __init__(self, router, pool, is_healthy):
        self._router = router
        self._pool = pool
        self._is_healthy = is_healthy

    async def handle(self, request):
        """Returns the answer of an upstream, a stored answer or a refusal."""
        if request.path == HEALTH_PATH:
            return self._make_health_response()
        metrics.count(REQUESTS_RECEIVED)
        configuration = self._router.core.configuration
        service_name = configuration.find_service(request.path)
        # Without a configuration (version 0) no service is known.  The request
        # then goes to the core, which refuses it for want of a lease.
        if service_name is None and configuration.version:
            return _make_refusal_response('unknown_path', False, 0)
        pending_request = self._router.open_request()
        try:
            arrival_event = _make_arrival_event(
                pending_request,
                service_name,
                configuration.services.get(service_name),
                request,
            )
        except _BadHeader as exc:
            self._router.close_request(pending_request)
            return _make_refusal_response('bad_header', False, 0, str(exc))
        max_held_bytes = 0
        if service_name is not None:
            max_held_bytes = configuration.services[
                service_name
            ].max_held_answer_bytes
        response = None
        try:
            response = await self._serve_request(
                pending_request, arrival_event, request, max_held_bytes
            )
        finally:
            # The request of a streamed answer is closed at the end of the
            # stream, by ``Exchange.close_stream``.
            if not isinstance(response, http.StreamedResponse):
                self._router.close_request(pending_request)
        return response

    def _make_health_response(self):
        if self._is_healthy():
            return http.make_json_response(200, {'healthy': True})
        return http.make_json_response(503, {'healthy': False})

    async def _serve_request(
        self, pending_request, arrival_event, request, max_held_bytes
    ):
        """Follows the routing core's decisions until one gives a response."""
        await self._router.step(arrival_event)
        forwarded_request = _exchange.ForwardedRequest(request)
        while True:
            decision = await self._next_decision(pending_request)
            if isinstance(decision, routing.Refuse):
                return _make_refusal_response(
                    decision.reason, decision.written, decision.retry_after_s
                )
            if isinstance(decision, routing.ReplayAnswer):
                metrics.count(REQUESTS_REPLAYED)
                return http.decode_stored_response(
                    decision.status, decision.answer
                )
            exchange = _exchange.Exchange(
                self._router,
                self._pool,
                pending_request,
                decision,
                max_held_bytes,
            )
            response = await exchange.send_request(forwarded_request)
            if response is not None:
                return _count_response(response)

    async def _next_decision(self, pending_request):
        """Waits for the core's decision; tells it if the caller has gone."""
        try:
            return await pending_request.next_decision()
        except curio.CancelledError:
            await self._router.step(
                routing.RequestDropped(pending_request.request_id)
            )
            raise


def _count_response(response):
    """Counts an answer of an upstream and returns it."""
    is_streamed = isinstance(response, http.StreamedResponse)
    metrics.count(REQUESTS_STREAMED if is_streamed else REQUESTS_ANSWERED)
    return response


def _make_arrival_event(
    pending_request, service_name, service_config, request
):
    """Returns the ``routing.RequestArrived`` event for a request.

    Args:
        pending_request: the ``PendingRequest``.
        service_name: name of its service, None if there is none.
        service_config: configuration of the service, None if there is none.
        request: the ``http.Request``.

    Raises:
        _BadHeader: a header that this handler evaluates is not valid.
    """
    is_idempotent = (
        service_config is not None
        and request.method in service_config.idempotent_methods
    )
    idempotency_key = request.get_header(IDEMPOTENCY_KEY_HEADER)
    if len(idempotency_key) > MAX_KEY_CHARS:
        raise _BadHeader('idempotency-key is too long')
    return routing.RequestArrived(
        pending_request.request_id,
        service_name or '',
        _parse_flag_header(request, IDEMPOTENT_HEADER, is_idempotent),
        _parse_number_header(request, PRIORITY_HEADER, LOWEST_PRIORITY),
        # Time left for the request, at most one hour, in milliseconds.
        _parse_number_header(request, _headers.DEADLINE_HEADER, 3600000),
        idempotency_key,
        _hash_request(request) if idempotency_key else b'',
    )


def _parse_flag_header(request, header_name, default):
    """Returns a yes-or-no header as a bool, the default if it is missing."""
    flag_text = request.get_header(header_name)
    if not flag_text:
        return default
    if flag_text not in _FLAG_VALUES:
        raise _BadHeader(f'{header_name.decode()} must be yes or no')
    return _FLAG_VALUES[flag_text]


def _parse_number_header(request, header_name, max_number):
    """Returns a header as a number from 0 to ``max_number``, 0 if missing."""
    number_text = request.get_header(header_name)
    if not number_text:
        return 0
    try:
        return number_ranges.parse_decimal(number_text, max_number)
    except ValueError as exc:
        raise _BadHeader(
            f'{header_name.decode()} must be 0 to {max_number}'
        ) from exc


def _hash_request(request):
    """Returns a hash that detects reuse of a key for another request."""
    digest = xxhash.xxh128()
    digest.update(request.method.encode('ascii'))
    digest.update(b' ' + request.target.encode('ascii') + b'\n')
    digest.update(request.body)
    return digest.digest()


def _make_refusal_response(
    reason, may_have_been_sent, retry_after_s, detail=''
):
    """Returns a refusal whose headers say if the request may have run.

    Args:
        reason: key of ``routing.REFUSAL_REASON_BY_NAME``.
        may_have_been_sent: True if a byte of the request may have reached an
            upstream.
        retry_after_s: value of the ``Retry-After`` header, in seconds, at
            least 1; sent with status 409, 429 and 503 only.
        detail: text for the caller, empty for the description of the reason.
    """
    refusal = routing.REFUSAL_REASON_BY_NAME[reason]
    status = refusal.status
    # 429 and 503 promise that the request did not run.
    if may_have_been_sent and status in (429, 503):
        status = 504
    outcome = b'unknown' if may_have_been_sent else b'not-run'
    headers = [(_headers.OUTCOME_HEADER, outcome)]
    if status in (409, 429, 503):
        headers.append(http.make_retry_after_header(max(1, retry_after_s)))
    return http.make_reason_response(
        status, reason, detail or refusal.description, headers
    )
