"""Structs of the jobs part: jobs, ended jobs and workers.

They are encoded as arrays in a snapshot, so there is no separate stored form;
the order of their fields is part of the snapshot format.
"""

import msgspec
import xxhash

from fuchsiatrestle import messages
from fuchsiatrestle.state import _crash_counts
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
    'fingerprint_spec',
)

# States of a job, as stored in snapshots and shown to operators.
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
# A job in one of these states has a live attempt with a reservation.
LIVE_STATES = frozenset((PLACED, RUNNING, EVICTING))
ENDED_STATES = frozenset((DONE, FAILED, CANCELLED))

MAX_HISTORY_LINES = 12

_ENCODER = msgspec.msgpack.Encoder()


def fingerprint_spec(spec):
    """Returns a 64-bit hash of a job specification.

    The time of submission is left out, so that a resend has the same hash.

    Args:
        spec: a ``commands.JobSpec``.
    """
    untimed_spec = msgspec.structs.replace(spec, submitted_ms=0)
    return xxhash.xxh3_64_intdigest(_ENCODER.encode(untimed_spec))


class HistoryLine(msgspec.Struct, array_like=True, frozen=True):
    """Event of an attempt in the history of a job.

    Attributes:
        kind: ``placed``, or the kind of a ``commands.AttemptEvent``.
        attempt: number of the attempt.
        worker: name of its worker.
        checkpoint: last agreed checkpoint, 0 if none or not applicable.
        detail: explanation for operators, may be empty.
    """

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


class Job(_crash_counts.CrashCounts, msgspec.Struct, array_like=True):
    """A job that has not ended.

    Attributes:
        spec: the ``commands.JobSpec`` as submitted.
        seq: position in the order of submission.
        state: one of ``STATES``.
        attempt: number of the latest attempt, 0 before the first.
        worker: name of the worker of the latest attempt, or empty.
        incarnation: incarnation of the worker that may start the attempt.
        reserved: reservation of the live attempt, else None.
        started: True once the live attempt is known to have started.
        may_have_run: True once any attempt may have run.
        checkpoint: number of the last agreed checkpoint, 0 for none.
        checkpoint_attempt: number of the attempt that wrote this checkpoint.
        cancelled: True once its cancellation was requested.
        evictions: number of its attempts that were reported as stopped while
            they were being evicted.
        failed_on: names of the distinct workers that it failed on, oldest
            first.
        reason: why it is parked, else empty.
        history: latest attempt events, oldest first.
        worker_crashes: see ``CrashCounts``.
        possible_worker_crashes: see ``CrashCounts``.
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
    worker_crashes: int = 0
    possible_worker_crashes: int = 0

    @property
    def is_live(self):
        """True while the latest attempt is live and has a reservation."""
        return self.state in LIVE_STATES

    def add_history_line(self, kind, *, checkpoint=0, detail=''):
        """Adds an event of the latest attempt to the history.

        Beyond ``MAX_HISTORY_LINES`` the oldest event is removed.
        """
        line = HistoryLine(kind, self.attempt, self.worker, checkpoint, detail)
        self.history.append(line)
        if len(self.history) > MAX_HISTORY_LINES:
            del self.history[0]


class EndedJob(msgspec.Struct, array_like=True, frozen=True):
    """Ended job, kept to show it and to recognise a resent submission.

    Attributes:
        job_id: its identifier.
        fingerprint: ``fingerprint_spec`` of its specification.
        submitted_ms: time of submission, since the epoch.
        state: one of ``ENDED_STATES``.
        team: team that submitted it.
        job_class: its class, see ``commands.JobSpec``.
        priority: its priority.
        attempt: number of the latest attempt, 0 if it had none.
        worker: name of the worker of the latest attempt, or empty.
        checkpoint: number of the last agreed checkpoint, 0 for none.
        reason: why it ended, may be empty.
        history: latest attempt events, oldest first.
    """

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
    """Registered worker with the reservations on it.

    Attributes:
        spec: the latest ``commands.WorkerSpec``.
        cpu_milli: reserved processor time, in thousandths of a core.
        memory_mib: reserved memory, in MiB.
        accelerators: number of reserved accelerators.
        jobs: number of each live attempt on this worker, by job identifier.
    """

    spec: commands.WorkerSpec
    cpu_milli: int = 0
    memory_mib: int = 0
    accelerators: int = 0
    jobs: dict[str, int] = {}

    def first_exceeded_dimension(self, size):
        """Returns the first dimension in which a reservation does not fit.

        Args:
            size: the ``messages.Resources`` to be reserved.

        Returns:
            ``cpu_milli``, ``memory_mib`` or ``accelerators``; empty if the
            reservation fits.
        """
        capacity = self.spec.capacity
        if self.cpu_milli + size.cpu_milli > capacity.cpu_milli:
            return 'cpu_milli'
        if self.memory_mib + size.memory_mib > capacity.memory_mib:
            return 'memory_mib'
        if self.accelerators + size.accelerators > capacity.accelerators:
            return 'accelerators'
        return ''

    def reserve(self, job_id, attempt, size):
        """Adds the reservation of an attempt."""
        self.cpu_milli += size.cpu_milli
        self.memory_mib += size.memory_mib
        self.accelerators += size.accelerators
        self.jobs[job_id] = attempt

    def release(self, job_id, size):
        """Removes the reservation of a job's live attempt."""
        self.cpu_milli -= size.cpu_milli
        self.memory_mib -= size.memory_mib
        self.accelerators -= size.accelerators
        del self.jobs[job_id]
