"""Decoding of the platform's configuration documents and workflows.

Fields of the structures have the platform's names.  A JSON field that its
structure does not declare is ignored.
"""

import typing
import zlib

import msgspec

from fuchsiatrestle import errors
from fuchsiatrestle import number_ranges
from fuchsiatrestle.state import workflows

__all__ = (
    'BodyInvalid',
    'compress_text',
    'decode_body',
    'decode_document',
    'decode_workflow',
    'decompress_text',
    'refuse_if',
)

COMPRESSION_LEVEL = 3  # of zlib
MAX_TASKS = 20_000  # of a workflow, over all its occurrences
MAX_STEPS = 200
# Its members have to be placed and started together.
MAX_GANG_TASKS = 2000
MAX_PAYLOAD_CHARS = 4000
MAX_STRETCH = 1_000_000
# Reasons are logged and answered, and may quote the body.
MAX_REASON_CHARS = 256


class BodyInvalid(errors.Error):
    """The body of a call is malformed or its content is not allowed."""

    def __init__(self, reason, *, step, peer=''):
        super().__init__(
            reason[:MAX_REASON_CHARS], step=step, peer=peer[:MAX_REASON_CHARS]
        )


class _Advice(msgspec.Struct):
    """Durations for the placement advice; see ``workflows.AdviceTerms``."""

    decision_ms: number_ranges.Duration = 0
    per_worker_ms: number_ranges.Duration = 0
    validity_ms: number_ranges.Duration = 0


_Stretch = typing.Annotated[
    float, msgspec.Meta(ge=-MAX_STRETCH, le=MAX_STRETCH)
]


class _Route(msgspec.Struct):
    """A queue; see ``workflows.Queue``.

    ``route_kind`` and fields for other systems are ignored.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    timeout_ms: number_ranges.Duration
    target_latency_ms: number_ranges.Duration = 0
    priority: number_ranges.Int64 = 0
    # Failed runs of a task after which its workflow fails.  Runs that ended
    # otherwise are not counted, in spite of the name.
    max_attempts: number_ranges.Int64 = 1
    stretch: _Stretch = 1.0
    advice: _Advice | None = None


class _Service(msgspec.Struct):
    """A pool of workers; see ``workflows.Pool``.

    With ``admission_check`` the workers refuse tasks that do not fit.
    """

    name: str
    admission_check: bool = False
    standby: bool = False


class _Configuration(msgspec.Struct):
    """Configuration of all queues and pools; see ``workflows.Document``."""

    version: number_ranges.Int64
    routes: list[_Route]
    services: list[_Service]


class _Step(msgspec.Struct):
    """A step of a workflow; see ``workflows.Step``.

    A missing field is 0, false or empty.
    """

    count: number_ranges.Amount = 0
    cpu: number_ranges.Amount = 0
    mem_mb: number_ranges.Amount = 0
    gpu: number_ranges.Amount = 0
    est_runtime_ms: number_ranges.Duration = 0
    start_after: list[int] = []
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    # One label that the worker must have, in spite of the plural.
    requirements: str = ''
    data_rack: str = ''
    # Largest number of tasks of the step on one worker, 0 for no limit.
    anti_affinity: number_ranges.Amount = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ''
    target_ms: number_ranges.Duration = 0
    fills: bool = False
    may_miss: number_ranges.Amount = 0


class _Job(msgspec.Struct):
    """A workflow; see ``workflows.WorkflowSpec``."""

    # Payload that each task receives, not a description of the tasks.
    task_spec: str
    steps: list[_Step]
    repeat_count: number_ranges.Amount = 0
    first_run_ms: number_ranges.Timestamp = 0
    interval_ms: number_ranges.Duration = 0


_CONFIGURATION_DECODER = msgspec.json.Decoder(_Configuration)
_JOB_DECODER = msgspec.json.Decoder(_Job)


def compress_text(text):
    """Returns the compressed text of a document.

    Args:
        text: the text, bytes.
    """
    return zlib.compress(text, COMPRESSION_LEVEL)


def decompress_text(compressed_text):
    """Returns the text that ``compress_text`` was given."""
    return zlib.decompress(compressed_text)


def decode_body(decoder, body, operation, peer=''):
    """Decodes the body of a call.

    Args:
        decoder: a ``msgspec`` decoder.
        body: bytes.
        operation: name of the operation in progress, for the error.
        peer: name of the sender, for the error.

    Raises:
        BodyInvalid: the body is malformed or lacks a required field.
    """
    try:
        return decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise BodyInvalid(str(exc), step=operation, peer=peer) from exc


def refuse_if(condition, reason, operation, peer=''):
    """Raises ``BodyInvalid`` if a condition is true.

    Args:
        condition: the condition that makes the body invalid.
        reason: what is wrong with the body.
        operation: name of the operation in progress, for the error.
        peer: name of the sender, for the error.
    """
    if condition:
        raise BodyInvalid(reason, step=operation, peer=peer)


# Configuration


def decode_document(body):
    """Returns the ``workflows.Document`` of a configuration in JSON.

    Raises:
        BodyInvalid: it is malformed or contradicts itself.
    """
    configuration = decode_body(
        _CONFIGURATION_DECODER, body, 'decode_configuration'
    )
    _check_configuration(configuration)
    return workflows.Document(
        configuration.version,
        [_make_queue(route) for route in configuration.routes],
        [
            workflows.Pool(
                service.name, service.admission_check, service.standby
            )
            for service in configuration.services
        ],
    )


def _check_configuration(configuration):
    operation = 'check_configuration'
    refuse_if(
        configuration.version < 1,
        f'version {configuration.version!r}',
        operation,
    )
    service_names = {service.name for service in configuration.services}
    refuse_if(
        len(service_names) < len(configuration.services),
        'service named twice',
        operation,
    )
    route_locations = set()
    route_names = set()
    for route in configuration.routes:
        location = (route.host, route.path_prefix)
        refuse_if(
            location in route_locations,
            f'two routes at {location!r}',
            operation,
        )
        refuse_if(
            route.name in route_names, f'two routes {route.name!r}', operation
        )
        refuse_if(
            route.service not in service_names,
            f'route {route.name!r} names service {route.service!r}',
            operation,
        )
        refuse_if(
            route.timeout_ms < 1,
            f'route {route.name!r}: no timeout',
            operation,
        )
        route_locations.add(location)
        route_names.add(route.name)


def _make_queue(route):
    advice = None
    if route.advice is not None:
        advice = workflows.AdviceTerms(
            route.advice.decision_ms,
            route.advice.per_worker_ms,
            route.advice.validity_ms,
        )
    return workflows.Queue(
        route.name,
        route.host,
        route.path_prefix,
        route.service,
        route.priority,
        route.max_attempts,
        route.stretch,
        route.target_latency_ms,
        route.timeout_ms,
        advice,
    )


# Workflows


def decode_workflow(body):
    """Returns the ``workflows.WorkflowSpec`` of a workflow in JSON.

    Raises:
        BodyInvalid: it is malformed, contradicts itself or exceeds a limit.
    """
    job = decode_body(_JOB_DECODER, body, 'decode_job')
    _check_job(job)
    return workflows.WorkflowSpec(
        job.task_spec,
        [_make_step(step) for step in job.steps],
        job.repeat_count,
        job.first_run_ms,
        job.interval_ms,
    )


def _check_job(job):
    operation = 'check_job'
    refuse_if(
        len(job.task_spec) > MAX_PAYLOAD_CHARS, 'long payload', operation
    )
    refuse_if(
        not 0 < len(job.steps) <= MAX_STEPS, 'number of steps', operation
    )
    task_count = sum(step.count for step in job.steps) * max(
        1, job.repeat_count
    )
    refuse_if(task_count > MAX_TASKS, f'{task_count} tasks', operation)
    for step_index, step in enumerate(job.steps):
        refuse_if(step.count < 1, f'step {step_index} has no task', operation)
        refuse_if(
            step.gang and step.count > MAX_GANG_TASKS,
            f'step {step_index}: gang of {step.count}',
            operation,
        )
        refuse_if(
            any(
                not 0 <= earlier_index < step_index
                for earlier_index in step.start_after
            ),
            f'step {step_index} waits for {step.start_after!r}',
            operation,
        )


def _make_step(step):
    return workflows.Step(
        step.count,
        step.cpu,
        step.mem_mb,
        step.gpu,
        step.est_runtime_ms,
        sorted(set(step.start_after)),
        step.checkpointing,
        step.gang,
        step.same_rack,
        step.requirements,
        step.data_rack,
        step.anti_affinity,
        step.speculative,
        step.long_running,
        step.image,
        step.target_ms,
        step.fills,
        step.may_miss,
    )
