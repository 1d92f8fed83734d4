"""Answers callers: submits, shows and cancels workflows."""

import time

from returns import pipeline

from fuchsiatrestle import daemon
from fuchsiatrestle import logs
from fuchsiatrestle import metrics
from fuchsiatrestle.net import http
from fuchsiatrestle.platform import _documents
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import queries

__all__ = ('CallerHandler', 'ReadyHandler')

DEADLINE_HEADER = b'fuchsiatrestle-deadline-ms'
DEFAULT_DEADLINE_MS = 3000
# Share of the caller's time that is spent on asking control; the rest is for
# the way back.
ASKING_SHARE = 0.85
RETRY_AFTER_S = 1

SUBMITTED = metrics.declare('callers.submitted', 'Workflows accepted.')
NOT_FOUND = metrics.declare(
    'refused.unknown_queue', 'Calls that name no queue (404).'
)
BAD_WORKFLOW = metrics.declare(
    'refused.bad_workflow', 'Workflows that are not valid (400).'
)
CONTROL_AWAY = metrics.declare(
    'refused.control_away',
    'Calls that certainly had no effect, for want of control (503).',
)
ANSWERED = metrics.declare(
    'callers.answer_ms', 'Time from a whole request to its answer, in ms.'
)
OUTCOME_UNKNOWN = metrics.declare(
    'refused.outcome_unknown', 'Calls whose outcome is not known (504).'
)

LOG = logs.get_logger(__name__)


class ReadyHandler(http.Handler):
    """Tells the balancer whether callers should come here.

    Args:
        is_ready: function without arguments.
    """

    def __init__(self, is_ready):
        self._is_ready = is_ready

    async def handle(self, request):
        """Returns 200 or 503."""
        ready = self._is_ready()
        return http.Response(200 if ready else 503)


class CallerHandler(http.Handler):
    """Turns callers' requests into commands and queries.

    Args:
        client: the ``control_client.ControlClient``.
    """

    def __init__(self, client):
        self._client = client
        self._methods = {
            'POST': self._submit,
            'GET': self._show,
            'DELETE': self._cancel,
        }

    async def handle(self, request):
        """Returns the response to one call."""
        action = self._methods.get(request.method)
        if action is None:
            return http.reason_response(405, 'method_not_allowed')
        started_s = time.monotonic()
        host = request.header(b'host').partition(':')[0]
        response = await action(request, host, _budget_ms(request))
        took_ms = (time.monotonic() - started_s) * 1000
        metrics.timing(ANSWERED, took_ms)
        LOG.info(
            'caller_answered',
            extra={
                'method': request.method,
                'host': host,
                'path': request.path,
                'status': response.status,
                'control': self._client.target,
                'took_ms': round(took_ms),
            },
        )
        return response

    # Commands

    async def _submit(self, request, host, budget_ms):
        try:
            spec = _documents.decode_workflow(request.body)
        except _documents.BodyInvalid as exc:
            metrics.count(BAD_WORKFLOW)
            return http.reason_response(400, 'bad_workflow', str(exc))
        command = commands.SubmitWorkflow(
            host, request.path, spec, daemon.wall_ms()
        )
        response = await self._propose(command, budget_ms)
        if response.status == 200:
            metrics.count(SUBMITTED)
        return response

    async def _cancel(self, request, host, budget_ms):
        command = commands.CancelWorkflow(host, request.path, daemon.wall_ms())
        return await self._propose(command, budget_ms)

    async def _propose(self, command, budget_ms):
        found = await self._client.propose(command, budget_ms)
        if not pipeline.is_successful(found):
            return _failed(found.failure())
        outcome = found.unwrap()
        if outcome.reason:
            return _refused(outcome.reason)
        return http.json_response(200, {'state': outcome.state})

    # Queries

    async def _show(self, request, host, budget_ms):
        query = queries.LookUpPath(host, request.path)
        found = await self._client.ask(query, budget_ms)
        if not pipeline.is_successful(found):
            metrics.count(CONTROL_AWAY)
            return _come_back('control_away', found.failure().reason)
        view = found.unwrap()
        if isinstance(view, queries.NotFound):
            return _refused(f'no_{view.what}')
        if isinstance(view, queries.PendingCount):
            return http.json_response(200, {'pending': view.pending})
        return http.json_response(200, {'state': view.state})


def _budget_ms(request):
    """Returns how long to ask control on behalf of a caller."""
    text = request.header(DEADLINE_HEADER)
    deadline_ms = int(text) if text.isdecimal() else DEFAULT_DEADLINE_MS
    return max(1, int(deadline_ms * ASKING_SHARE))


def _come_back(reason, detail):
    headers = [http.retry_after(RETRY_AFTER_S)]
    return http.reason_response(503, reason, detail, headers)


def _refused(reason):
    if reason == 'no_document':
        return _come_back(reason, 'no configuration yet')
    if reason == 'no_workflow':
        return http.reason_response(410, reason)
    metrics.count(NOT_FOUND)
    return http.reason_response(404, reason)


def _failed(failure):
    """Returns 503 only if the command certainly is not agreed."""
    if failure.not_run:
        metrics.count(CONTROL_AWAY)
        return _come_back('control_away', failure.reason)
    metrics.count(OUTCOME_UNKNOWN)
    return http.reason_response(504, 'outcome_unknown', failure.reason)
