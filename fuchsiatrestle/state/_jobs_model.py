"""Records that the jobs part keeps: jobs, ended jobs and workers.

They are mutable structs with slots, encoded as arrays, so that a snapshot
needs no second form.
"""

import msgspec
import xxhash

from fuchsiatrestle import messages
from fuchsiatrestle.state import commands

__all__ = (
    'CANCELLED',
    'DONE',
    'ENDED_STATES',
    'EVICTING',
    'EndedJob',
    'FAILED',
    'HistoryLine',
    'Job',
    'LIVE_STATES',
    'MAX_HISTORY_LINES',
    'PARKED',
    'PLACED',
    'QUEUED',
    'RUNNING',
    'STATES',
    'Worker',
    'fingerprint',
)

QUEUED = 'queued'
PLACED = 'placed'
RUNNING = 'running'
EVICTING = 'evicting'
DONE = 'done'
FAILED = 'failed'
CANCELLED = 'cancelled'
PARKED = 'parked'

STATES = (
    QUEUED,
    PLACED,
    RUNNING,
    EVICTING,
    DONE,
    FAILED,
    CANCELLED,
    PARKED,
)
# An attempt of a job in one of these states holds a reservation.
LIVE_STATES = frozenset((PLACED, RUNNING, EVICTING))
ENDED_STATES = frozenset((DONE, FAILED, CANCELLED))

MAX_HISTORY_LINES = 12

_ENCODER = msgspec.msgpack.Encoder()


def fingerprint(spec):
    """Returns a number that equal job specifications share.

    The time of submission does not count, so that a resend is recognised.
    """
    plain = msgspec.structs.replace(spec, submitted_ms=0)
    return xxhash.xxh3_64_intdigest(_ENCODER.encode(plain))


class HistoryLine(msgspec.Struct, array_like=True, frozen=True):
    """One attempt event of a job."""

    kind: str
    attempt: int
    worker: str = ''
    checkpoint: int = 0
    detail: str = ''

    def __str__(self):
        text = f'attempt {self.attempt} {self.kind}'
        if self.worker:
            text += f' on {self.worker}'
        if self.checkpoint:
            text += f' at checkpoint {self.checkpoint}'
        if self.detail:
            text += f': {self.detail}'
        return text


class Job(msgspec.Struct, array_like=True):
    """A job that has not ended.

    Attributes:
        spec: the ``commands.JobSpec`` as submitted.
        seq: position in the order of submission.
        state: one of ``STATES``.
        attempt: number of the latest attempt, 0 before the first.
        worker: where the latest attempt is or was.
        incarnation: incarnation of the worker that may start the attempt.
        reserved: reservation of the live attempt, else None.
        started: True once the live attempt is known to have run.
        may_have_run: True once any attempt may have run.
        checkpoint: last agreed checkpoint, 0 for none.
        checkpoint_attempt: attempt that wrote it.
        cancelled: True once an operator asked to cancel it.
        evictions: orderly evictions so far.
        failed_on: distinct workers that it failed on, oldest first.
        reason: why it is parked.
        history: latest attempt events, oldest first.
    """

    spec: commands.JobSpec
    seq: int
    state: str = QUEUED
    attempt: int = 0
    worker: str = ''
    incarnation: int = 0
    reserved: messages.Resources | None = None
    started: bool = False
    may_have_run: bool = False
    checkpoint: int = 0
    checkpoint_attempt: int = 0
    cancelled: bool = False
    evictions: int = 0
    failed_on: list[str] = []
    reason: str = ''
    history: list[HistoryLine] = []

    @property
    def is_live(self):
        """True while an attempt holds a reservation."""
        return self.state in LIVE_STATES

    def add_history_line(self, kind, *, checkpoint=0, detail=''):
        """Adds a line to the history and drops the oldest over the bound."""
        line = HistoryLine(kind, self.attempt, self.worker, checkpoint, detail)
        self.history.append(line)
        if len(self.history) > MAX_HISTORY_LINES:
            del self.history[0]


class EndedJob(msgspec.Struct, array_like=True, frozen=True):
    """What is remembered of a job that ended, to recognise a resend."""

    job_id: str
    fingerprint: int
    submitted_ms: int
    state: str
    team: str
    job_class: str
    priority: int
    attempt: int
    worker: str
    checkpoint: int
    reason: str
    history: list[HistoryLine]


class Worker(msgspec.Struct, array_like=True):
    """What is agreed about a worker, with the reservations on it.

    Attributes:
        spec: the latest ``commands.WorkerSpec``.
        cpu_milli: reserved processor time.
        memory_mib: reserved memory.
        accelerators: reserved accelerators.
        jobs: identifiers of the jobs whose live attempt is here.
    """

    spec: commands.WorkerSpec
    cpu_milli: int = 0
    memory_mib: int = 0
    accelerators: int = 0
    jobs: dict[str, int] = {}

    def first_exceeded_dimension(self, size):
        """Returns the first dimension in which ``size`` does not fit."""
        capacity = self.spec.capacity
        if self.cpu_milli + size.cpu_milli > capacity.cpu_milli:
            return 'cpu_milli'
        if self.memory_mib + size.memory_mib > capacity.memory_mib:
            return 'memory_mib'
        if self.accelerators + size.accelerators > capacity.accelerators:
            return 'accelerators'
        return ''

    def reserve(self, job_id, attempt, size):
        """Adds a reservation."""
        self.cpu_milli += size.cpu_milli
        self.memory_mib += size.memory_mib
        self.accelerators += size.accelerators
        self.jobs[job_id] = attempt

    def release(self, job_id, size):
        """Takes a reservation back."""
        self.cpu_milli -= size.cpu_milli
        self.memory_mib -= size.memory_mib
        self.accelerators -= size.accelerators
        del self.jobs[job_id]
