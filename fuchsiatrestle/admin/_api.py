"""Handles the HTTP requests of the administration API."""

import urllib.parse

from returns import result

from fuchsiatrestle.admin import _answers
from fuchsiatrestle.admin import _calls
from fuchsiatrestle.admin import _routes
from fuchsiatrestle import daemon
from fuchsiatrestle import logs
from fuchsiatrestle import messages
from fuchsiatrestle import metrics
from fuchsiatrestle import named_json
from fuchsiatrestle.net import evacuation_orders
from fuchsiatrestle.net import http
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import queries

__all__ = ('AdminApi',)

MAX_PATCH_ID_CHARS = 128
MAX_JOBS_PER_PAGE = 1000
MAX_HISTORY_VERSIONS = 1000

LOG = logs.get_logger(__name__)


class _Call:
    """A request that passed the checks of its route.

    Attributes:
        path_values: values of the path segments in braces, by name.
        parameters: query parameters by name, defaults included.
        body: the decoded body if the route names a class for it, else bytes.
        received_ms: see ``http.Request``.
    """

    __slots__ = ('body', 'parameters', 'path_values', 'received_ms')

    def __init__(self, path_values, parameters, body, received_ms):
        self.path_values = path_values
        self.parameters = parameters
        self.body = body
        self.received_ms = received_ms


class AdminApi(http.Handler):
    """Answers the calls of ``ROUTES``.

    Args:
        control: the ``Control`` that commands and queries are sent to.
        local_entry: the ``LocalEntry`` that provides the state of this entry.
        registry: ``metrics`` registry whose values ``/v1/counters`` returns.
        pause_detector: ``pauses.PauseDetector`` that is checked at short
            intervals; by default a new one that only the orders check, which
            refuses the first order after a suspension.
    """

    def __init__(
        self,
        control,
        local_entry,
        registry=metrics.default_registry,
        pause_detector=None,
    ):
        self._control = control
        self._evacuation_orders = evacuation_orders.EvacuationOrders(
            control, pause_detector=pause_detector
        )
        self._local_entry = local_entry
        self._registry = registry

    async def handle(self, request):
        """Returns the response to one request.

        A request that fails a check is answered with a refusal.
        """
        try:
            answer = await self._answer_request(request)
        except _calls.CallRefused as exc:
            answer = _answers.make_refusal(
                exc.status, exc.reason, exc.detail, exc.field
            )
        LOG.info(
            'admin_call',
            extra={
                'method': request.method,
                'target': request.target,
                'status': answer.status,
            },
        )
        return _make_response(answer)

    async def _answer_request(self, request):
        path = urllib.parse.unquote(request.path, errors='replace')
        route_match = _routes.find_route(request.method, path)
        parameters = _calls.decode_parameters(
            request.query, route_match.route.parameters
        )
        body = request.body
        if route_match.route.body_type is not None:
            body = _calls.decode_body(body, route_match.route.body_type)
        call = _Call(
            route_match.path_values, parameters, body, request.received_ms
        )
        return await getattr(self, f'_{route_match.route.action}')(call)

    async def _propose_command(self, command):
        """Proposes a command to control; returns the ``Answer``."""
        control_result = await self._control.propose(command)
        if isinstance(control_result, result.Success):
            return _answers.make_outcome_answer(control_result.unwrap())
        return _answers.make_failure_answer(control_result.failure())

    async def _query_control(self, query):
        """Sends a query to control; returns the ``Answer``."""
        control_result = await self._control.query(query)
        if isinstance(control_result, result.Success):
            return _answers.make_result_answer(control_result.unwrap())
        return _answers.make_failure_answer(control_result.failure())

    async def _call_leader(self, message):
        """Sends a message to the control leader; returns the ``Answer``."""
        control_result = await self._control.call(message)
        if isinstance(control_result, result.Success):
            return _answers.make_message_answer(control_result.unwrap())
        return _answers.make_failure_answer(control_result.failure())

    # Commands

    async def _patch_config(self, call):
        patch_id = call.parameters['patch_id']
        if not 0 < len(patch_id) <= MAX_PATCH_ID_CHARS:
            detail = f'expected 1 to {MAX_PATCH_ID_CHARS} characters'
            raise _calls.CallRefused(400, 'bad_parameter', detail, 'patch_id')
        return await self._propose_command(
            commands.PatchConfig(
                base=call.parameters['base'],
                patch_id=patch_id,
                patch=_calls.check_json_object(call.body),
                author=call.parameters['author'],
            )
        )

    async def _submit_jobs(self, call):
        jobs = [job.to_record() for job in call.body.jobs]
        return await self._propose_command(
            commands.SubmitJobs(jobs, call.body.author)
        )

    async def _cancel_jobs(self, call):
        return await self._propose_command(
            commands.CancelJobs(
                call.body.job_ids, call.body.author, daemon.epoch_ms()
            )
        )

    async def _resolve_jobs(self, call):
        body = call.body
        return await self._propose_command(
            commands.ResolveJobs(body.job_ids, body.resolution, body.author)
        )

    async def _change_member(self, call):
        body = call.body
        if body.change == 'add':
            _calls.check_address(body.address, 'address')
        message = messages.ChangeMember(
            0, body.change, body.name, body.address
        )
        return await self._call_leader(message)

    async def _start_evacuation(self, call):
        return await self._order_evacuation(call, is_start=True)

    async def _end_evacuation(self, call):
        return await self._order_evacuation(call, is_start=False)

    async def _order_evacuation(self, call, *, is_start):
        order_result = await self._evacuation_orders.order(
            call.path_values['data_centre'],
            is_start=is_start,
            received_ms=call.received_ms,
        )
        if isinstance(order_result, result.Success):
            return _answers.make_outcome_answer(order_result.unwrap())
        return _answers.make_failure_answer(order_result.failure())

    async def _drain(self, call):
        entry_name = self._local_entry.get_status().entry
        if call.body.entry != entry_name:
            detail = (
                f'this is entry {entry_name!r}; send the call to the other one'
            )
            raise _calls.CallRefused(409, 'other_entry', detail, 'entry')
        await self._local_entry.drain()
        return _answers.Answer(202, {'entry': entry_name, 'draining': True})

    # Queries

    async def _get_config(self, call):
        return await self._query_control(
            queries.GetConfig(call.parameters['version'])
        )

    async def _get_history(self, call):
        max_versions = min(call.parameters['limit'], MAX_HISTORY_VERSIONS)
        return await self._query_control(
            queries.GetConfigHistory(max_versions)
        )

    async def _list_jobs(self, call):
        list_parameters = dict(call.parameters)
        list_parameters['limit'] = min(
            list_parameters['limit'], MAX_JOBS_PER_PAGE
        )
        return await self._query_control(queries.ListJobs(**list_parameters))

    async def _get_job(self, call):
        return await self._query_control(
            queries.GetJob(call.path_values['job_id'])
        )

    async def _get_job_reason(self, call):
        job_id = call.path_values['job_id']
        return await self._query_control(queries.GetJobReason(job_id))

    async def _get_members(self, call):
        return await self._call_leader(messages.ShowMembers(0))

    async def _get_evacuations(self, call):
        return await self._query_control(queries.GetEvacuations())

    async def _get_workers(self, call):
        return await self._query_control(queries.GetWorkers())

    async def _get_status(self, call):
        entry_status = named_json.to_builtins(self._local_entry.get_status())
        control_result = await self._control.query(queries.GetStatus())
        if isinstance(control_result, result.Success):
            control_status = named_json.to_builtins(control_result.unwrap())
        else:
            control_status = _answers.make_failure_answer(
                control_result.failure()
            ).json_body
        return _answers.Answer(
            200, {'entry': entry_status, 'control': control_status}
        )

    async def _get_upstreams(self, call):
        upstream_views = named_json.to_builtins(
            self._local_entry.list_upstreams()
        )
        return _answers.Answer(200, {'upstreams': upstream_views})

    async def _get_control_counters(self, call):
        return await self._query_control(queries.GetCounters())

    async def _get_counters(self, call):
        counters_body = {
            'entry': self._local_entry.get_status().entry,
            'counters': self._registry.counters(),
            'gauges': self._registry.gauges(),
        }
        return _answers.Answer(200, counters_body)


def _make_response(answer):
    headers = []
    if answer.retry_after_s:
        headers.append(http.make_retry_after_header(answer.retry_after_s))
    return http.make_json_response(answer.status, answer.json_body, headers)
