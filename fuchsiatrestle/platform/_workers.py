"""Conversion of heartbeats, orders and answers of workers.

Fields of the structures have the platform's names.  A JSON field that its
structure does not declare is ignored.
"""

import msgspec

from fuchsiatrestle import logs
from fuchsiatrestle import messages
from fuchsiatrestle.net import http
from fuchsiatrestle import number_ranges
from fuchsiatrestle.platform import _documents
from fuchsiatrestle import settings
from fuchsiatrestle.state import workflows as workflow_records
from fuchsiatrestle import workflows

__all__ = (
    'decode_announcement',
    'decode_reply',
    'decode_withdrawal',
    'encode_order',
    'make_silent_reply',
)

WORKER_STATES = ('ready', 'draining')
RUN_END_KINDS = ('done', 'failed', 'stopped', 'lapsed', 'broken', 'alone')

# The leader keeps what workers announce.
MAX_ANNOUNCED_CHARS = 256  # of each text
MAX_LABELS = 64

MAX_TASK_NUMBER = 10**9  # in the name of a task
MAX_NAME_CHARS = 64  # of a name in an error

# A worker lists so many ends of runs at a time.
MAX_LISTED_ENDS = 500

LOG = logs.get_logger(__name__)

# Verdict by the ``reason`` of an answer with status 409.
_CONFLICT_VERDICTS = {
    'fence': workflows.Verdict.FENCED,
    'old': workflows.Verdict.OUTDATED,
    'late': workflows.Verdict.TOO_LATE,
    'room': workflows.Verdict.NO_ROOM,
    'ticket': workflows.Verdict.NO_TICKET,
}
# Verdict by the status of an answer, except 409.
_STATUS_VERDICTS = {
    200: workflows.Verdict.ACCEPTED,
    400: workflows.Verdict.INVALID,
    421: workflows.Verdict.OTHER_PROCESS,
    429: workflows.Verdict.UNHEALTHY,
    503: workflows.Verdict.UNHEALTHY,
}


class _Capacity(msgspec.Struct):
    """Resources of a worker; ``cpu`` is in thousandths of a core."""

    cpu: number_ranges.Amount = 0
    mem_mb: number_ranges.Amount = 0
    gpu: number_ranges.Amount = 0


class _Heartbeat(msgspec.Struct):
    """Announcement of a worker; see ``messages.WorkerAnnouncement``."""

    service: str
    address: str
    state: str
    sequence: number_ranges.SequenceNumber
    zone: str = ''
    capacity: _Capacity = msgspec.field(default_factory=_Capacity)
    # The kind of the worker, then its rack.
    labels: list[str] = []
    clock_ms: number_ranges.Timestamp | None = None
    # Start of the worker's process, in milliseconds since the epoch.
    born: number_ranges.Timestamp = 0
    machine: str = ''
    cold_left_ms: number_ranges.Measurement | None = None


class _Withdrawal(msgspec.Struct):
    """Body of a worker's last call; workers may also send none."""

    # Start of the worker's process, in milliseconds since the epoch.
    born: number_ranges.Timestamp = 0


class _RunningRow(msgspec.Struct, array_like=True):
    """A run on the worker; see ``workflows.ListedRun``."""

    task: str
    run: number_ranges.SequenceNumber
    saved: str
    percent: number_ranges.Measurement
    figure: number_ranges.Measurement | None = None


class _EndRow(msgspec.Struct, array_like=True):
    """The end of a run; see ``workflows.ListedEnd``."""

    number: number_ranges.SequenceNumber
    task: str
    run: number_ranges.SequenceNumber
    how: str
    saved: str


class _Answer(msgspec.Struct):
    """Body of the answer to any order; a missing field has its default."""

    clock_ms: number_ranges.Timestamp | None = None
    reason: str = ''
    born: number_ranges.Timestamp = 0
    running: list[_RunningRow] = []
    ended: list[_EndRow] = []


_HEARTBEAT_DECODER = msgspec.json.Decoder(_Heartbeat)
_WITHDRAWAL_DECODER = msgspec.json.Decoder(_Withdrawal)
_ANSWER_DECODER = msgspec.json.Decoder(_Answer)


# Announcements


def decode_announcement(worker, body):
    """Returns the ``messages.WorkerAnnouncement`` of a heartbeat.

    Raises:
        BodyInvalid: it is malformed, or its address or state is not valid.
    """
    operation = 'decode_heartbeat'
    heartbeat = _documents.decode_body(
        _HEARTBEAT_DECODER, body, operation, worker
    )
    _documents.refuse_if(not worker, 'no id', operation, worker)
    texts = (
        worker,
        heartbeat.service,
        heartbeat.address,
        heartbeat.zone,
        heartbeat.machine,
        *heartbeat.labels[:MAX_LABELS],
    )
    _documents.refuse_if(
        len(heartbeat.labels) > MAX_LABELS
        or max(map(len, texts)) > MAX_ANNOUNCED_CHARS,
        'too many labels or long texts',
        operation,
        worker,
    )
    try:
        settings.Address.parse(heartbeat.address)
    except ValueError as exc:
        raise _documents.BodyInvalid(
            str(exc), step=operation, peer=worker
        ) from exc
    _documents.refuse_if(
        heartbeat.state not in WORKER_STATES,
        f'state {heartbeat.state!r}',
        operation,
        worker,
    )
    return messages.WorkerAnnouncement(
        worker,
        heartbeat.born,
        heartbeat.sequence,
        heartbeat.address,
        heartbeat.service,
        heartbeat.zone,
        heartbeat.state,
        heartbeat.capacity.cpu,
        heartbeat.capacity.mem_mb,
        heartbeat.capacity.gpu,
        heartbeat.labels,
        heartbeat.clock_ms,
        heartbeat.machine,
        max(0, int(heartbeat.cold_left_ms or 0)),
    )


def decode_withdrawal(worker, body):
    """Returns the start of the process that leaves, 0 if it is not told.

    Args:
        worker: id of the worker, for the error.
        body: body of the call, which may be empty.

    Raises:
        BodyInvalid: it is malformed.
    """
    if not body:
        return 0
    return _documents.decode_body(
        _WITHDRAWAL_DECODER, body, 'decode_withdrawal', worker
    ).born


# Orders


def _encode_task_id(task):
    return f'{task.workflow_id}.{task.occurrence}.{task.step}.{task.index}'


def _decode_task_id(task_name):
    workflow_id, *numbers = task_name.rsplit('.', 3)
    if len(numbers) < 3:
        raise ValueError(f'not a task: {task_name[:MAX_NAME_CHARS]!r}')
    return workflow_records.TaskId(workflow_id, *map(_parse_number, numbers))


def _parse_number(text):
    """Returns a number in the name of a task.

    Raises:
        ValueError: it is not written as in the names of tasks.
    """
    number = number_ranges.parse_decimal(text, MAX_TASK_NUMBER)
    if str(number) != text:
        raise ValueError(f'not a number of a task: {text[:MAX_NAME_CHARS]!r}')
    return number


def _make_start_body(order):
    body = {
        'task': _encode_task_id(order.task),
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


def _make_stop_body(order):
    return {
        'task': _encode_task_id(order.task),
        'run_id': order.run,
        'fencing_token': order.token,
    }


def _make_pace_body(order):
    return {**_make_stop_body(order), 'percent': order.percent}


def _make_poll_body(order):
    body = {
        'fencing_token': order.token,
        'last_seen': order.ends_noted,
        'wait_ms': order.wait_ms,
    }
    if order.lease_until_ms is not None:
        body['until_ms'] = order.lease_until_ms
    return body


# Path of the call and function that makes its body, by class of the order.
_CALLS_BY_ORDER_TYPE = {
    workflows.StartRun: ('/run-start', _make_start_body),
    workflows.StopRun: ('/run-stop', _make_stop_body),
    workflows.SetRunPace: ('/pace', _make_pace_body),
    workflows.PollWorker: ('/hold', _make_poll_body),
}


def encode_order(order):
    """Returns the path and the JSON body of the call that sends an order."""
    path, make_body = _CALLS_BY_ORDER_TYPE[type(order)]
    return path, http.encode_json(make_body(order))


# Answers


def decode_reply(order, response):
    """Returns the ``workflows.Reply`` of the response to an order.

    A malformed response is logged and counts as no answer.
    """
    try:
        answer = _ANSWER_DECODER.decode(response.body or b'{}')
        listed_runs = [_decode_running_row(row) for row in answer.running]
        listed_ends = [_decode_end_row(row) for row in answer.ended]
    except (ValueError, TypeError, RecursionError) as exc:
        LOG.warning(
            'worker_answer_unreadable',
            extra={'worker': order.worker, 'error': str(exc)},
        )
        return make_silent_reply()
    verdict = _STATUS_VERDICTS.get(response.status, workflows.Verdict.SILENT)
    if response.status == 409:
        verdict = _CONFLICT_VERDICTS.get(
            answer.reason, workflows.Verdict.INVALID
        )
    return workflows.Reply(
        verdict,
        answer.clock_ms,
        answer.born,
        listed_runs,
        listed_ends,
        len(listed_ends) < MAX_LISTED_ENDS,
    )


def make_silent_reply():
    """Returns the ``workflows.Reply`` that stands for no answer in time."""
    return workflows.Reply(workflows.Verdict.SILENT, None, 0, [], [], False)


def _decode_running_row(row):
    return workflows.ListedRun(
        _decode_task_id(row.task), row.run, row.saved, row.percent, row.figure
    )


def _decode_end_row(row):
    if row.how not in RUN_END_KINDS:
        raise ValueError(f'unknown end of a run: {row.how!r}')
    return workflows.ListedEnd(
        row.number, _decode_task_id(row.task), row.run, row.how, row.saved
    )
