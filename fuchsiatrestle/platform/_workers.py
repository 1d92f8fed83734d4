"""Announcements and orders of workers as the platform writes them."""

import msgspec

from fuchsiatrestle import logs
from fuchsiatrestle import messages
from fuchsiatrestle.net import http
from fuchsiatrestle.platform import _documents
from fuchsiatrestle import settings
from fuchsiatrestle.state import workflows as workflow_records
from fuchsiatrestle import workflows

__all__ = (
    'decode_announcement',
    'decode_reply',
    'encode_order',
    'silence',
)

STATES = ('ready', 'draining')
ENDS = ('done', 'failed', 'stopped', 'lapsed', 'broken', 'alone')

LOG = logs.get_logger(__name__)

_REASONS = {
    'fence': workflows.Verdict.FENCED,
    'old': workflows.Verdict.OUTDATED,
    'late': workflows.Verdict.TOO_LATE,
    'room': workflows.Verdict.NO_ROOM,
    'ticket': workflows.Verdict.NO_TICKET,
}
_STATUSES = {
    200: workflows.Verdict.ACCEPTED,
    400: workflows.Verdict.INVALID,
    421: workflows.Verdict.OTHER_LIFE,
    429: workflows.Verdict.UNHEALTHY,
    503: workflows.Verdict.UNHEALTHY,
}


class _Capacity(msgspec.Struct):
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


class _Heartbeat(msgspec.Struct):
    service: str
    address: str
    state: str
    sequence: int
    zone: str = ''
    capacity: _Capacity = msgspec.field(default_factory=_Capacity)
    # Kind and rack, in this order.
    labels: list[str] = []
    clock_ms: int | None = None
    born: int = 0
    machine: str = ''


class _RunningRow(msgspec.Struct, array_like=True):
    task: str
    run: int
    saved: str
    percent: int | float
    figure: int | float | None = None


class _EndRow(msgspec.Struct, array_like=True):
    number: int
    task: str
    run: int
    how: str
    saved: str


class _Answer(msgspec.Struct):
    """Body of an answer to any order."""

    clock_ms: int | None = None
    reason: str = ''
    born: int = 0
    running: list[_RunningRow] = []
    ended: list[_EndRow] = []


_HEARTBEAT = msgspec.json.Decoder(_Heartbeat)
_ANSWER = msgspec.json.Decoder(_Answer)


# Announcements


def decode_announcement(worker, body):
    """Returns the ``messages.WorkerAnnouncement`` of a heartbeat.

    Raises:
        BodyInvalid: it names no worker that can be used.
    """
    step = 'decode_heartbeat'
    said = _documents.decode(_HEARTBEAT, body, step, worker)
    try:
        settings.Address.parse(said.address)
    except ValueError as exc:
        raise _documents.BodyInvalid(str(exc), step=step, peer=worker) from exc
    _documents.refuse_if(
        said.state not in STATES, f'state {said.state!r}', step, worker
    )
    return messages.WorkerAnnouncement(
        worker,
        said.born,
        said.sequence,
        said.address,
        said.service,
        said.zone,
        said.state,
        said.capacity.cpu,
        said.capacity.mem_mb,
        said.capacity.gpu,
        said.labels,
        said.clock_ms,
        said.machine,
    )


# Orders


def _task_name(task):
    return f'{task.workflow_id}.{task.occurrence}.{task.step}.{task.index}'


def _task_id(name):
    workflow_id, occurrence, step, index = name.rsplit('.', 3)
    return workflow_records.TaskId(
        workflow_id, int(occurrence), int(step), int(index)
    )


def _start_body(order):
    body = {
        'task': _task_name(order.task),
        'run_id': order.run,
        'task_spec': order.payload,
        'until_ms': order.lease_until_ms,
        'fencing_token': order.token,
    }
    if order.checkpoint:
        body['checkpoint'] = order.checkpoint
    if order.ticket:
        body['ticket'] = order.ticket
    return body


def _stop_body(order):
    return {
        'task': _task_name(order.task),
        'run_id': order.run,
        'fencing_token': order.token,
    }


def _pace_body(order):
    return {**_stop_body(order), 'percent': order.percent}


def _look_body(order):
    body = {
        'fencing_token': order.token,
        'last_seen': order.ends_noted,
        'wait_ms': order.wait_ms,
    }
    if order.lease_until_ms is not None:
        body['until_ms'] = order.lease_until_ms
    return body


_CALLS = {
    workflows.StartRun: ('/run-start', _start_body),
    workflows.StopRun: ('/run-stop', _stop_body),
    workflows.PaceRun: ('/pace', _pace_body),
    workflows.LookAt: ('/hold', _look_body),
}


def encode_order(order):
    """Returns path and body of the call that carries an order."""
    path, make_body = _CALLS[type(order)]
    return path, http.encode_json(make_body(order))


# Answers


def decode_reply(order, response):
    """Returns the ``workflows.Reply`` that a response holds.

    A response that can not be read counts as none.
    """
    try:
        answer = _ANSWER.decode(response.body or b'{}')
        running = [_running_row(row) for row in answer.running]
        ended = [_end_row(row) for row in answer.ended]
    except (ValueError, TypeError, RecursionError) as exc:
        LOG.warning(
            'worker_answer_unreadable',
            extra={'worker': order.worker, 'error': str(exc)},
        )
        return silence()
    verdict = _STATUSES.get(response.status, workflows.Verdict.SILENT)
    if response.status == 409:
        verdict = _REASONS.get(answer.reason, workflows.Verdict.INVALID)
    return workflows.Reply(
        verdict, answer.clock_ms, answer.born, running, ended
    )


def silence():
    """Returns the reply that stands for no answer."""
    return workflows.Reply(workflows.Verdict.SILENT, None, 0, [], [])


def _running_row(row):
    return workflows.RunningRow(
        _task_id(row.task), row.run, row.saved, row.percent, row.figure
    )


def _end_row(row):
    if row.how not in ENDS:
        raise ValueError(f'end {row.how!r}')
    return workflows.EndRow(
        row.number, _task_id(row.task), row.run, row.how, row.saved
    )
