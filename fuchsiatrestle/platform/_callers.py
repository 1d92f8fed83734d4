"""Handlers of callers' requests: submit, show and cancel a workflow."""

import math
import time

from returns import pipeline

from fuchsiatrestle import daemon
from fuchsiatrestle import logs
from fuchsiatrestle import metrics
from fuchsiatrestle.net import http
from fuchsiatrestle import number_ranges
from fuchsiatrestle import pauses
from fuchsiatrestle.platform import _documents
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import queries

__all__ = ('CallerHandler', 'ReadyHandler')

DEADLINE_HEADER = b'fuchsiatrestle-deadline-ms'
# For calls whose ``DEADLINE_HEADER`` is missing or out of range.
DEFAULT_DEADLINE_MS = 3000
MAX_DEADLINE_MS = 3_600_000
# Share of the caller's time in which control has to answer; the rest is for
# the answer's way back to the caller.
CONTROL_BUDGET_SHARE = 0.85
RETRY_AFTER_S = 1
MAX_LOGGED_CHARS = 256  # of a host or path, which a caller chooses

SUBMITTED_WORKFLOWS = metrics.declare(
    'callers.submitted', 'Workflows accepted.'
)
UNKNOWN_QUEUE = metrics.declare(
    'refused.unknown_queue', 'Calls that name no queue (404).'
)
BAD_WORKFLOW = metrics.declare(
    'refused.bad_workflow', 'Workflows that are not valid (400).'
)
CONTROL_AWAY = metrics.declare(
    'refused.control_away',
    'Calls that certainly had no effect, for want of control (503).',
)
OVERLOADED = metrics.declare(
    'refused.overloaded',
    'Workflows that could not be served in time and never run (429).',
)
CANCELLED_BEFORE = metrics.declare(
    'refused.cancelled',
    'Workflows cancelled before they arrived, which never run (429).',
)
ANSWER_TIME = metrics.declare(
    'callers.answer_ms', 'Time from a whole request to its answer, in ms.'
)
OUTCOME_UNKNOWN = metrics.declare(
    'refused.outcome_unknown', 'Calls whose outcome is not known (504).'
)

# Counter and explanation of the reasons for which a workflow never runs.
_DENIALS = {
    'cancelled': (CANCELLED_BEFORE, 'was cancelled before it arrived'),
    'overloaded': (OVERLOADED, 'can not be completed in time'),
}

LOG = logs.get_logger(__name__)


class ReadyHandler(http.Handler):
    """Answers the load balancer's health check.

    Args:
        is_ready: function without arguments that returns True while the load
            balancer should send callers to this entry.
    """

    def __init__(self, is_ready):
        self._is_ready = is_ready

    async def handle(self, request):
        """Returns status 200 while this entry is ready, else 503."""
        is_ready = self._is_ready()
        return http.Response(200 if is_ready else 503)


class CallerHandler(http.Handler):
    """Turns callers' requests into commands and queries to control.

    ``POST`` submits the workflow at a path, ``GET`` shows the state of a
    workflow or the number of pending workflows of a queue, and ``DELETE``
    cancels a workflow.

    Args:
        client: the ``control_client.ControlClient``.
        pause_detector: ``pauses.PauseDetector`` that is checked at short
            intervals; None for a new one.
    """

    def __init__(self, client, pause_detector=None):
        self._client = client
        self._pause_detector = pause_detector or pauses.PauseDetector()
        self._handlers_by_method = {
            'POST': self._submit_workflow,
            'GET': self._show_state,
            'DELETE': self._cancel_workflow,
        }

    async def handle(self, request):
        """Returns the response to one call and logs it."""
        handle_method = self._handlers_by_method.get(request.method)
        if handle_method is None:
            return http.make_reason_response(405, 'method_not_allowed')
        started_s = time.monotonic()
        host = request.get_header(b'host').partition(':')[0]
        response = await handle_method(
            request, host, _get_control_budget_ms(request)
        )
        elapsed_ms = (time.monotonic() - started_s) * 1000
        metrics.timing(ANSWER_TIME, elapsed_ms)
        LOG.info(
            'caller_answered',
            extra={
                'method': request.method,
                'host': host[:MAX_LOGGED_CHARS],
                'path': request.path[:MAX_LOGGED_CHARS],
                'status': response.status,
                'control': self._client.target_replica,
                'took_ms': round(elapsed_ms),
            },
        )
        return response

    # Commands

    async def _submit_workflow(self, request, host, budget_ms):
        try:
            workflow_spec = _documents.decode_workflow(request.body)
        except _documents.BodyInvalid as exc:
            metrics.count(BAD_WORKFLOW)
            return http.make_reason_response(400, 'bad_workflow', str(exc))
        age_ms = self._find_age_ms(request)
        command = commands.SubmitWorkflow(
            host, request.path, workflow_spec, daemon.epoch_ms() - age_ms
        )
        response = await self._propose_command(command, budget_ms, age_ms)
        if response.status == 200:
            metrics.count(SUBMITTED_WORKFLOWS)
        return response

    async def _cancel_workflow(self, request, host, budget_ms):
        command = commands.CancelWorkflow(
            host, request.path, daemon.epoch_ms()
        )
        return await self._propose_command(
            command, budget_ms, self._find_age_ms(request)
        )

    def _find_age_ms(self, request):
        """Returns the time since a request was received, in milliseconds.

        It may have waited in the socket while this process stood still or the
        VM was suspended.  A later attempt may have been refused meanwhile, and
        then it must not run.
        """
        if not request.received_ms:
            return 0
        now_ms = daemon.monotonic_ms()
        suspended_ms = self._pause_detector.find_suspended_ms(
            request.received_ms, now_ms
        )
        return max(0, now_ms - request.received_ms) + suspended_ms

    async def _propose_command(self, command, budget_ms, age_ms):
        """Proposes a command and returns the response to the caller.

        Args:
            command: record of ``state.commands``.
            budget_ms: time in which control has to answer, in milliseconds.
            age_ms: time since the request was received, in milliseconds.
        """
        call_result = await self._client.propose(command, budget_ms, age_ms)
        if not pipeline.is_successful(call_result):
            return _make_failure_response(call_result.failure())
        outcome = call_result.unwrap()
        if outcome.reason in _DENIALS:
            return _make_denial_response(
                outcome.reason, outcome.retry_after_ms
            )
        if outcome.reason:
            return _make_refusal_response(outcome.reason)
        return http.make_json_response(200, {'state': outcome.state})

    # Queries

    async def _show_state(self, request, host, budget_ms):
        """Returns the response that shows the workflow or queue of a path."""
        query = queries.LookUpPath(host, request.path)
        call_result = await self._client.query(query, budget_ms)
        if not pipeline.is_successful(call_result):
            metrics.count(CONTROL_AWAY)
            return _make_retry_later_response(
                'control_away', call_result.failure().reason
            )
        path_view = call_result.unwrap()
        if isinstance(path_view, queries.NotFound):
            return _make_refusal_response(f'no_{path_view.what}')
        if isinstance(path_view, queries.PendingCount):
            return http.make_json_response(200, {'pending': path_view.pending})
        return http.make_json_response(200, {'state': path_view.state})


def _get_control_budget_ms(request):
    """Returns the time in which control has to answer, in milliseconds."""
    try:
        deadline_ms = number_ranges.parse_decimal(
            request.get_header(DEADLINE_HEADER), MAX_DEADLINE_MS
        )
    except ValueError:
        deadline_ms = DEFAULT_DEADLINE_MS
    return max(1, int(deadline_ms * CONTROL_BUDGET_SHARE))


def _make_retry_later_response(reason, detail):
    """Returns a 503 with Retry-After for a call that had no effect."""
    headers = [http.make_retry_after_header(RETRY_AFTER_S)]
    return http.make_reason_response(503, reason, detail, headers)


def _make_denial_response(reason, retry_after_ms):
    """Returns a 429 with Retry-After for a workflow that never runs.

    Args:
        reason: key of ``_DENIALS``.
        retry_after_ms: time after which the caller should try again, 0 if
            that is not known.
    """
    counter, detail = _DENIALS[reason]
    metrics.count(counter)
    retry_after_s = max(RETRY_AFTER_S, math.ceil(retry_after_ms / 1000))
    return http.make_reason_response(
        429, reason, detail, [http.make_retry_after_header(retry_after_s)]
    )


def _make_refusal_response(reason):
    """Returns the response to a call that the agreed state did not accept.

    Args:
        reason: reason of the refused command, or ``no_`` and the name of what
            a query did not find.
    """
    if reason == 'no_document':
        return _make_retry_later_response(reason, 'no configuration yet')
    if reason == 'no_workflow':
        return http.make_reason_response(410, reason)
    metrics.count(UNKNOWN_QUEUE)
    return http.make_reason_response(404, reason)


def _make_failure_response(failure):
    """Returns the response for a command without an outcome.

    Its status is 503 if the command certainly had no effect and 504 if that is
    not known.

    Args:
        failure: the ``control_client.CallFailure``.
    """
    if failure.certainly_not_executed:
        metrics.count(CONTROL_AWAY)
        return _make_retry_later_response('control_away', failure.reason)
    metrics.count(OUTCOME_UNKNOWN)
    return http.make_reason_response(504, 'outcome_unknown', failure.reason)
