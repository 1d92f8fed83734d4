"""Answers operators and workers on the control address."""

from returns import pipeline

from fuchsiatrestle import logs
from fuchsiatrestle import messages
from fuchsiatrestle import metrics
from fuchsiatrestle.net import http
from fuchsiatrestle.platform import _documents
from fuchsiatrestle.platform import _workers
from fuchsiatrestle import settings
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import queries

__all__ = ('ControlHandler',)

# A worker or operator asks another daemon after a second.
BUDGET_MS = 900
# Documents with many routes take longer to copy.
DOCUMENT_BUDGET_MS = 2500

INSTANCES = '/instances/'

BAD_HEARTBEAT = metrics.declare(
    'refused.bad_heartbeat', 'Heartbeats that name no usable worker (400).'
)
BAD_DOCUMENT = metrics.declare(
    'refused.bad_document', 'Configurations that are not valid (400).'
)
LEADER_AWAY = metrics.declare(
    'refused.leader_away', 'Calls that the leader did not answer (503).'
)

LOG = logs.get_logger(__name__)


class ControlHandler(http.Handler):
    """Relays to the leader, whichever daemon was asked.

    Args:
        client: the ``control_client.ControlClient``.
        port: port of the control address, the same on all VMs.
    """

    def __init__(self, client, port):
        self._client = client
        self._port = port

    async def handle(self, request):
        """Returns the response to one call."""
        path = request.path
        call = (request.method, path)
        if call == ('POST', '/config/put'):
            return await self._put_document(request)
        if call == ('GET', '/config/get'):
            return await self._get_document()
        if request.method == 'POST' and path.startswith(INSTANCES):
            worker, _, action = path[len(INSTANCES) :].partition('/')
            if action == 'heartbeat':
                return await self._announce(worker, request.body)
            if action == 'deregister':
                return await self._withdraw(worker)
        return http.reason_response(404, 'unknown_path')

    # Configuration

    async def _put_document(self, request):
        try:
            document = _documents.decode_document(request.body)
        except _documents.BodyInvalid as exc:
            metrics.count(BAD_DOCUMENT)
            LOG.warning('document_refused', extra={'error': str(exc)})
            return http.reason_response(400, 'invalid', str(exc))
        text = _documents.compress(request.body)
        found = await self._client.propose(
            commands.PutDocument(document, text), DOCUMENT_BUDGET_MS
        )
        if not pipeline.is_successful(found):
            return _away('document', found.failure())
        outcome = found.unwrap()
        LOG.info(
            'document_acknowledged',
            extra={
                'version': document.version,
                'in_force': outcome.version,
                'queues': len(document.queues),
                'repeated': outcome.repeated,
            },
        )
        return http.json_response(200, {'version': document.version})

    async def _get_document(self):
        found = await self._client.ask(queries.GetDocument(), BUDGET_MS)
        if not pipeline.is_successful(found):
            return _away('document', found.failure())
        view = found.unwrap()
        if isinstance(view, queries.NotFound):
            return http.reason_response(503, 'no_document')
        text = _documents.decompress(view.text)
        return http.Response(200, [http.JSON_TYPE], text)

    # Workers

    async def _announce(self, worker, body):
        try:
            said = _workers.decode_announcement(worker, body)
        except _documents.BodyInvalid as exc:
            metrics.count(BAD_HEARTBEAT)
            LOG.warning('heartbeat_refused', extra={'error': str(exc)})
            return http.reason_response(400, 'bad_heartbeat', str(exc))
        message = messages.AnnounceWorker(0, said)
        found = await self._client.call(message, BUDGET_MS)
        if not pipeline.is_successful(found):
            return _away(worker, found.failure())
        address = settings.Address.parse(found.unwrap().leader)
        address = settings.Address(address.host, self._port)
        return http.json_response(200, {'heartbeat_addr': str(address)})

    async def _withdraw(self, worker):
        message = messages.WithdrawWorker(0, worker)
        found = await self._client.call(message, BUDGET_MS)
        if not pipeline.is_successful(found):
            return _away(worker, found.failure())
        return http.json_response(200, {})


def _away(what, failure):
    metrics.count(LEADER_AWAY)
    LOG.warning(
        'leader_away',
        extra={
            'call': what,
            'reason': failure.reason,
            'detail': failure.detail,
            'control': failure.peer,
        },
    )
    return http.reason_response(503, failure.reason, failure.detail)
