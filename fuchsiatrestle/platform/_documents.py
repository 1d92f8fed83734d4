"""Configuration documents and workflows as the platform writes them."""

import zlib

import msgspec

from fuchsiatrestle import errors
from fuchsiatrestle.state import workflows

__all__ = (
    'BodyInvalid',
    'compress',
    'decode',
    'decode_document',
    'decode_workflow',
    'decompress',
    'refuse_if',
)

COMPRESSION_LEVEL = 3
MAX_TASKS = 20_000
MAX_STEPS = 200
MAX_PAYLOAD_CHARS = 4000


class BodyInvalid(errors.Error):
    """A body does not hold what the call needs."""


class _Advice(msgspec.Struct):
    decision_ms: int = 0
    per_worker_ms: int = 0
    validity_ms: int = 0


class _Route(msgspec.Struct):
    """A queue; ``route_kind`` and fields of other contracts are left out."""

    name: str
    host: str
    path_prefix: str
    service: str
    timeout_ms: int
    target_latency_ms: int = 0
    priority: int = 0
    # Failed runs, not attempts in general, after which a task has failed.
    max_attempts: int = 1
    stretch: float = 1.0
    advice: _Advice | None = None


class _Service(msgspec.Struct):
    """A pool of workers; ``admission_check`` says that they guard it."""

    name: str
    admission_check: bool = False
    standby: bool = False


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]


class _Step(msgspec.Struct):
    """A step; what is left out is 0, false or empty."""

    count: int = 0
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    est_runtime_ms: int = 0
    start_after: list[int] = []
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    # A label of the worker, in spite of the plural.
    requirements: str = ''
    data_rack: str = ''
    # Most tasks of the step on one worker.
    anti_affinity: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ''
    target_ms: int = 0
    fills: bool = False
    may_miss: int = 0


class _Job(msgspec.Struct):
    # Text handed to each task, not a description of the tasks.
    task_spec: str
    steps: list[_Step]
    repeat_count: int = 0
    first_run_ms: int = 0
    interval_ms: int = 0


_CONFIGURATION = msgspec.json.Decoder(_Configuration)
_JOB = msgspec.json.Decoder(_Job)


def compress(text):
    """Returns the compressed form of a document's text."""
    return zlib.compress(text, COMPRESSION_LEVEL)


def decompress(data):
    """Returns the text that ``compress`` was given."""
    return zlib.decompress(data)


def decode(decoder, body, step, peer=''):
    """Returns what a decoder makes of a body.

    Raises:
        BodyInvalid: the body can not be read or lacks something.
    """
    try:
        return decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise BodyInvalid(str(exc), step=step, peer=peer) from exc


def refuse_if(condition, reason, step, peer=''):
    """Raises ``BodyInvalid`` with the reason if the condition is true."""
    if condition:
        raise BodyInvalid(reason, step=step, peer=peer)


# Configuration


def decode_document(body):
    """Returns the ``Document`` of a whole configuration.

    Raises:
        BodyInvalid: it can not be read whole or contradicts itself.
    """
    found = decode(_CONFIGURATION, body, 'decode_configuration')
    _check_configuration(found)
    return workflows.Document(
        found.version,
        [_queue(route) for route in found.routes],
        [
            workflows.Pool(one.name, one.admission_check, one.standby)
            for one in found.services
        ],
    )


def _check_configuration(found):
    step = 'check_configuration'
    refuse_if(found.version < 1, f'version {found.version!r}', step)
    names = {service.name for service in found.services}
    refuse_if(len(names) < len(found.services), 'service named twice', step)
    places = set()
    queues = set()
    for route in found.routes:
        place = (route.host, route.path_prefix)
        refuse_if(place in places, f'two routes at {place!r}', step)
        refuse_if(route.name in queues, f'two routes {route.name!r}', step)
        refuse_if(
            route.service not in names,
            f'route {route.name!r} names service {route.service!r}',
            step,
        )
        refuse_if(
            route.timeout_ms < 1, f'route {route.name!r}: no timeout', step
        )
        places.add(place)
        queues.add(route.name)


def _queue(route):
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
    """Returns the ``WorkflowSpec`` that a caller submits.

    Raises:
        BodyInvalid: it is malformed or beyond the limits.
    """
    job = decode(_JOB, body, 'decode_job')
    _check_job(job)
    return workflows.WorkflowSpec(
        job.task_spec,
        [_step(step) for step in job.steps],
        job.repeat_count,
        job.first_run_ms,
        job.interval_ms,
    )


def _check_job(job):
    step = 'check_job'
    refuse_if(len(job.task_spec) > MAX_PAYLOAD_CHARS, 'long payload', step)
    refuse_if(not 0 < len(job.steps) <= MAX_STEPS, 'number of steps', step)
    tasks = sum(one.count for one in job.steps) * max(1, job.repeat_count)
    refuse_if(tasks > MAX_TASKS, f'{tasks} tasks', step)
    refuse_if(job.repeat_count < 0, 'negative repeat_count', step)
    for number, one in enumerate(job.steps):
        refuse_if(one.count < 1, f'step {number} has no task', step)
        sizes = (one.cpu, one.mem_mb, one.gpu, one.est_runtime_ms)
        refuse_if(min(sizes) < 0, f'step {number}: negative size', step)
        refuse_if(
            any(not 0 <= earlier < number for earlier in one.start_after),
            f'step {number} waits for {one.start_after!r}',
            step,
        )


def _step(step):
    return workflows.Step(
        step.count,
        step.cpu,
        step.mem_mb,
        step.gpu,
        step.est_runtime_ms,
        step.start_after,
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
