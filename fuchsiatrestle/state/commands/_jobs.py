"""Commands about batch jobs and their attempts."""

from fuchsiatrestle import messages
from fuchsiatrestle import records

__all__ = (
    'AttemptEvent',
    'CancelJobs',
    'JobSpec',
    'ParkJobs',
    'PlaceAttempts',
    'Placement',
    'RecordAttempts',
    'RegisterWorkers',
    'ResolveJobs',
    'RetireWorkers',
    'SubmitJobs',
    'WorkerSpec',
)


class JobSpec(records.Record, tag='job'):
    """A batch job as submitted.

    Attributes:
        job_id: chosen by the submitter; the same id again is the same job.
        team: team whose quota it counts against.
        job_class: jobs of a class share learned sizes and interference.
        priority: 0 (first) to 9.
        size: declared reservation.
        idempotent: False for billed work that must start at most once.
        deadline_ms: wall-clock milliseconds since the epoch, 0 for none.
        run_ms: declared run time in milliseconds, 0 if unknown.
        command: what the worker runs.
        urgent: True if it must start within the urgent bound.
        submitted_ms: wall-clock milliseconds since the epoch, set once by the
            submitter and kept on a resend.  It does not count as part of the
            spec when a resend is compared; a job older than the window of
            remembered jobs is refused as ``stale``.
        data_centre: the only data centre it may run in, empty for any.
    """

    job_id: str
    team: str
    job_class: str
    priority: int
    size: messages.Resources
    idempotent: bool = True
    deadline_ms: int = 0
    run_ms: int = 0
    command: str = ''
    urgent: bool = False
    submitted_ms: int = 0
    data_centre: str = ''


class SubmitJobs(records.Record, tag='submit'):
    """Accepts jobs; each has its own outcome."""

    jobs: list[JobSpec]
    author: str = ''


class CancelJobs(records.Record, tag='cancel'):
    """Cancels jobs in one agreed batch."""

    job_ids: list[str]
    author: str = ''


class Placement(records.Record, tag='place'):
    """Reserves a worker for the next attempt of a job.

    Attributes:
        attempt: number of the new attempt, the fencing token.
        worker: name of the worker.
        reserved: reservation, max(declared, learned).
        resume_from: last agreed checkpoint, 0 for none.
        incarnation: incarnation of the worker the attempt is meant for; an
            attempt never starts on another one.
    """

    job_id: str
    attempt: int
    worker: str
    reserved: messages.Resources
    resume_from: int = 0
    incarnation: int = 0


class PlaceAttempts(records.Record, tag='places'):
    """Places attempts; agreed before any start order goes out."""

    placements: list[Placement]


class AttemptEvent(records.Record, tag='event'):
    """Something that became certain about an attempt.

    Attributes:
        kind: ``started``, ``checkpoint``, ``evicting``, ``stopped``,
            ``done``, ``failed``, ``refused`` or ``expired`` (lease run out
            with margin).
        checkpoint: number of the checkpoint, where it applies.
        used: largest usage seen, where known.
        detail: reason for people.
    """

    job_id: str
    attempt: int
    kind: str
    checkpoint: int = 0
    used: messages.Resources | None = None
    detail: str = ''


class RecordAttempts(records.Record, tag='events'):
    """Records attempt events in one agreed batch."""

    events: list[AttemptEvent]


class ParkJobs(records.Record, tag='park'):
    """Parks jobs for the operator, each with one reason for all."""

    job_ids: list[str]
    reason: str


class ResolveJobs(records.Record, tag='resolve'):
    """Settles parked jobs on an operator's word.

    Attributes:
        resolution: ``done``, ``failed``, or ``queued`` to try again; a
            non-idempotent job that may have run is never queued again.
    """

    job_ids: list[str]
    resolution: str
    author: str = ''


class WorkerSpec(records.Record, tag='worker'):
    """What is agreed about one worker.

    Attributes:
        incarnation: incarnation that last reported; it never goes down.
        capacity: what reservations on it must not exceed in sum.
        leaving: True once it takes no new attempt.
    """

    worker: str
    incarnation: int
    data_centre: str
    rack: str
    capacity: messages.Resources
    leaving: bool = False


class RegisterWorkers(records.Record, tag='register'):
    """Adds workers or replaces what is agreed about them."""

    workers: list[WorkerSpec]


class RetireWorkers(records.Record, tag='retire'):
    """Drops workers that hold no reservation."""

    workers: list[str]


KINDS = (
    SubmitJobs,
    CancelJobs,
    PlaceAttempts,
    RecordAttempts,
    ParkJobs,
    ResolveJobs,
    RegisterWorkers,
    RetireWorkers,
)
