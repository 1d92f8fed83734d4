"""Handler of the control address, which operators and workers call."""

import urllib.parse

from returns import pipeline

from fuchsiatrestle import logs
from fuchsiatrestle import messages
from fuchsiatrestle import metrics
from fuchsiatrestle.net import evacuation_orders
from fuchsiatrestle.net import http
from fuchsiatrestle.platform import _documents
from fuchsiatrestle.platform import _workers
from fuchsiatrestle import settings
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import queries

__all__ = ('ControlHandler',)

# Time for the answer of the leader.  A worker or operator gives up after a
# second and asks another daemon.
CALL_BUDGET_MS = 900
# Time for the answer of the leader to a new configuration, longer because
# documents with many routes take longer to copy.
PUT_DOCUMENT_BUDGET_MS = 2500

INSTANCES_PATH = '/instances/'
EVACUATIONS_PATH = '/evacuations/'
EVACUATION_ACTIONS = ('start', 'end')
# Configurations that are put or read at a time.  Each may have 8 MiB and takes
# several times as much while it is decoded, sent on or compressed.
MAX_DOCUMENT_CALLS = 4

BAD_HEARTBEAT = metrics.declare(
    'refused.bad_heartbeat', 'Heartbeats that name no usable worker (400).'
)
BAD_WITHDRAWAL = metrics.declare(
    'refused.bad_withdrawal', 'Withdrawals that can not be read (400).'
)
BAD_DOCUMENT = metrics.declare(
    'refused.bad_document', 'Configurations that are not valid (400).'
)
TOO_MANY_DOCUMENTS = metrics.declare(
    'refused.too_many_documents',
    'Configurations put or read while too many others were (429).',
)
LEADER_AWAY = metrics.declare(
    'refused.leader_away', 'Calls that the leader did not answer (503).'
)

LOG = logs.get_logger(__name__)


class ControlHandler(http.Handler):
    """Forwards calls to the control leader.

    Each control daemon has such a handler, so that operators and workers may
    call any of them.

    Args:
        client: the ``control_client.ControlClient``.
        port: port of the control address, which is the same on all VMs.
        orders: ``EvacuationOrders``; None if evacuations are not offered.
    """

    def __init__(self, client, port, orders=None):
        self._client = client
        self._port = port
        self._evacuation_orders = orders
        self._document_call_count = 0

    async def handle(self, request):
        """Returns the response to one call; status 404 for an unknown path."""
        path = request.path
        method_and_path = (request.method, path)
        if method_and_path == ('POST', '/config/put'):
            return await self._limit_document_calls(
                self._put_document(request)
            )
        if method_and_path == ('GET', '/config/get'):
            return await self._limit_document_calls(self._get_document())
        if request.method == 'POST' and path.startswith(INSTANCES_PATH):
            worker, _, action = path[len(INSTANCES_PATH) :].partition('/')
            if action == 'heartbeat':
                return await self._announce_worker(worker, request.body)
            if action == 'deregister':
                return await self._withdraw_worker(worker, request.body)
        if request.method == 'POST' and path.startswith(EVACUATIONS_PATH):
            data_centre, _, action = path[len(EVACUATIONS_PATH) :].rpartition(
                '/'
            )
            if self._evacuation_orders and action in EVACUATION_ACTIONS:
                return await self._order_evacuation(
                    data_centre, action, request
                )
        return http.make_reason_response(404, 'unknown_path')

    # Configuration

    async def _limit_document_calls(self, call):
        """Awaits a call, or refuses it while too many others are running.

        Args:
            call: coroutine that returns the response.
        """
        if self._document_call_count >= MAX_DOCUMENT_CALLS:
            call.close()
            metrics.count(TOO_MANY_DOCUMENTS)
            return http.make_reason_response(
                429,
                'too_many_documents',
                headers=http.make_refusal_headers(429),
            )
        self._document_call_count += 1
        try:
            return await call
        finally:
            self._document_call_count -= 1

    async def _put_document(self, request):
        """Proposes a configuration.

        A configuration that is older than the current one changes nothing,
        but is answered with status 200 as well.
        """
        try:
            document = _documents.decode_document(request.body)
        except _documents.BodyInvalid as exc:
            metrics.count(BAD_DOCUMENT)
            LOG.warning('document_refused', extra={'error': str(exc)})
            return http.make_reason_response(400, 'invalid', str(exc))
        compressed_text = _documents.compress_text(request.body)
        call_result = await self._client.propose(
            commands.PutDocument(document, compressed_text),
            PUT_DOCUMENT_BUDGET_MS,
        )
        if not pipeline.is_successful(call_result):
            return _make_leader_away_response(
                'document', call_result.failure()
            )
        outcome = call_result.unwrap()
        LOG.info(
            'document_acknowledged',
            extra={
                'version': document.version,
                'in_force': outcome.version,
                'queues': len(document.queues),
                'repeated': outcome.repeated,
            },
        )
        return http.make_json_response(200, {'version': document.version})

    async def _get_document(self):
        call_result = await self._client.query(
            queries.GetDocument(), CALL_BUDGET_MS
        )
        if not pipeline.is_successful(call_result):
            return _make_leader_away_response(
                'document', call_result.failure()
            )
        document_view = call_result.unwrap()
        if isinstance(document_view, queries.NotFound):
            return http.make_reason_response(503, 'no_document')
        document_text = _documents.decompress_text(document_view.text)
        return http.Response(200, [http.JSON_TYPE], document_text)

    # Evacuations

    async def _order_evacuation(self, data_centre, action, request):
        is_start = action == 'start'
        order_result = await self._evacuation_orders.order(
            urllib.parse.unquote(data_centre),
            is_start=is_start,
            received_ms=request.received_ms,
        )
        if pipeline.is_successful(order_result):
            return http.make_json_response(200, {'evacuated': is_start})
        failure = order_result.failure()
        if failure.reason in evacuation_orders.NOT_FOUND_REASONS:
            return http.make_reason_response(404, failure.reason)
        return _make_leader_away_response('evacuation', failure)

    # Workers

    async def _announce_worker(self, worker, body):
        """Forwards a heartbeat to the leader.

        The response names the control address to which the worker sends its
        next heartbeat, as the leader says.
        """
        try:
            announcement = _workers.decode_announcement(worker, body)
        except _documents.BodyInvalid as exc:
            metrics.count(BAD_HEARTBEAT)
            LOG.warning('heartbeat_refused', extra={'error': str(exc)})
            return http.make_reason_response(400, 'bad_heartbeat', str(exc))
        message = messages.AnnounceWorker(0, announcement)
        call_result = await self._client.call(message, CALL_BUDGET_MS)
        if not pipeline.is_successful(call_result):
            return _make_leader_away_response(worker, call_result.failure())
        noted = call_result.unwrap()
        address = settings.Address.parse(noted.receiver or noted.leader)
        address = settings.Address(address.host, self._port)
        return http.make_json_response(200, {'heartbeat_addr': str(address)})

    async def _withdraw_worker(self, worker, body):
        try:
            born_ms = _workers.decode_withdrawal(worker, body)
        except _documents.BodyInvalid as exc:
            metrics.count(BAD_WITHDRAWAL)
            LOG.warning('withdrawal_refused', extra={'error': str(exc)})
            return http.make_reason_response(400, 'bad_withdrawal', str(exc))
        message = messages.WithdrawWorker(0, worker, born_ms)
        call_result = await self._client.call(message, CALL_BUDGET_MS)
        if not pipeline.is_successful(call_result):
            return _make_leader_away_response(worker, call_result.failure())
        return http.make_json_response(200, {})


def _make_leader_away_response(call_subject, failure):
    """Logs and counts a call that the leader did not answer; returns a 503.

    Args:
        call_subject: ``document``, ``evacuation`` or the name of a worker, for
            the log.
        failure: the ``control_client.CallFailure``.
    """
    metrics.count(LEADER_AWAY)
    LOG.warning(
        'leader_away',
        extra={
            'call': call_subject,
            'reason': failure.reason,
            'detail': failure.detail,
            'control': failure.peer,
        },
    )
    return http.make_reason_response(503, failure.reason, failure.detail)
