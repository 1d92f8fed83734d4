"""Carries out administration calls."""

import urllib.parse

from returns import result

from fuchsiatrestle.admin import _answers
from fuchsiatrestle.admin import _calls
from fuchsiatrestle.admin import _routes
from fuchsiatrestle import logs
from fuchsiatrestle import messages
from fuchsiatrestle import metrics
from fuchsiatrestle import named_json
from fuchsiatrestle.net import http
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import queries

__all__ = ('AdminApi',)

MAX_PATCH_ID_CHARS = 128
MAX_PAGE_JOBS = 1000
MAX_HISTORY = 1000

LOG = logs.get_logger(__name__)


class _Call:
    """A request whose parts have been checked."""

    __slots__ = ('body', 'parameters', 'path_values')

    def __init__(self, path_values, parameters, body):
        self.path_values = path_values
        self.parameters = parameters
        self.body = body


class AdminApi(http.Handler):
    """Answers the calls of ``ROUTES``.

    Args:
        control: the ``Control`` that commands and queries go to.
        local: the ``Local`` view of the entry.
        registry: metrics shown by the counters call.
    """

    def __init__(self, control, local, registry=metrics.default_registry):
        self._control = control
        self._local = local
        self._registry = registry

    async def handle(self, request):
        """Returns the response to one request; never raises for bad input."""
        try:
            answer = await self._answer(request)
        except _calls.BadCall as exc:
            answer = _answers.refused(
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
        return _response(answer)

    async def _answer(self, request):
        path = urllib.parse.unquote(request.path, errors='replace')
        match = _routes.find_route(request.method, path)
        parameters = _calls.decode_parameters(
            request.query, match.route.parameters
        )
        body = request.body
        if match.route.body is not None:
            body = _calls.decode_body(body, match.route.body)
        call = _Call(match.path_values, parameters, body)
        return await getattr(self, f'_{match.route.action}')(call)

    async def _propose(self, command):
        agreed = await self._control.propose(command)
        if isinstance(agreed, result.Success):
            return _answers.of_outcome(agreed.unwrap())
        return _answers.of_failure(agreed.failure())

    async def _ask(self, query):
        found = await self._control.ask(query)
        if isinstance(found, result.Success):
            return _answers.of_result(found.unwrap())
        return _answers.of_failure(found.failure())

    async def _send(self, message):
        answered = await self._control.call(message)
        if isinstance(answered, result.Success):
            return _answers.of_message(answered.unwrap())
        return _answers.of_failure(answered.failure())

    # Commands

    async def _patch_config(self, call):
        patch_id = call.parameters['patch_id']
        if not 0 < len(patch_id) <= MAX_PATCH_ID_CHARS:
            detail = f'expected 1 to {MAX_PATCH_ID_CHARS} characters'
            raise _calls.BadCall(400, 'bad_parameter', detail, 'patch_id')
        return await self._propose(
            commands.PatchConfig(
                base=call.parameters['base'],
                patch_id=patch_id,
                patch=_calls.decode_object(call.body),
                author=call.parameters['author'],
            )
        )

    async def _submit_jobs(self, call):
        jobs = [job.to_record() for job in call.body.jobs]
        return await self._propose(commands.SubmitJobs(jobs, call.body.author))

    async def _cancel_jobs(self, call):
        return await self._propose(
            commands.CancelJobs(call.body.job_ids, call.body.author)
        )

    async def _resolve_jobs(self, call):
        body = call.body
        return await self._propose(
            commands.ResolveJobs(body.job_ids, body.resolution, body.author)
        )

    async def _change_member(self, call):
        body = call.body
        if body.change == 'add':
            _calls.check_address(body.address, 'address')
        message = messages.ChangeMember(
            0, body.change, body.name, body.address
        )
        return await self._send(message)

    async def _drain(self, call):
        name = self._local.status().entry
        if call.body.entry != name:
            detail = f'this is entry {name!r}; send the call to the other one'
            raise _calls.BadCall(409, 'other_entry', detail, 'entry')
        await self._local.drain()
        return _answers.Answer(202, {'entry': name, 'draining': True})

    # Queries

    async def _get_config(self, call):
        return await self._ask(queries.GetConfig(call.parameters['version']))

    async def _get_history(self, call):
        limit = min(call.parameters['limit'], MAX_HISTORY)
        return await self._ask(queries.GetConfigHistory(limit))

    async def _list_jobs(self, call):
        values = dict(call.parameters)
        values['limit'] = min(values['limit'], MAX_PAGE_JOBS)
        return await self._ask(queries.ListJobs(**values))

    async def _get_job(self, call):
        return await self._ask(queries.GetJob(call.path_values['job_id']))

    async def _get_job_reason(self, call):
        job_id = call.path_values['job_id']
        return await self._ask(queries.GetJobReason(job_id))

    async def _get_members(self, call):
        return await self._send(messages.ShowMembers(0))

    async def _get_workers(self, call):
        return await self._ask(queries.GetWorkers())

    async def _get_status(self, call):
        local = named_json.to_plain(self._local.status())
        found = await self._control.ask(queries.GetStatus())
        if isinstance(found, result.Success):
            control = named_json.to_plain(found.unwrap())
        else:
            control = _answers.of_failure(found.failure()).value
        return _answers.Answer(200, {'entry': local, 'control': control})

    async def _get_upstreams(self, call):
        views = named_json.to_plain(self._local.upstreams())
        return _answers.Answer(200, {'upstreams': views})

    async def _get_control_counters(self, call):
        return await self._ask(queries.GetCounters())

    async def _get_counters(self, call):
        value = {
            'entry': self._local.status().entry,
            'counters': self._registry.counters(),
            'gauges': self._registry.gauges(),
        }
        return _answers.Answer(200, value)


def _response(answer):
    headers = []
    if answer.retry_after_s:
        headers.append(http.retry_after(answer.retry_after_s))
    return http.json_response(answer.status, answer.value, headers)
