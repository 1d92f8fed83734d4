"""Commands about batch jobs and their attempts."""

from fuchsiatrestle import messages
from fuchsiatrestle import records
from fuchsiatrestle.state.commands import _starts

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
        job_id: identifier chosen by the submitter; a submission with the same
            identifier is a resend of the same job.
        team: team whose quota the job counts against.
        job_class: jobs of the same class share learned sizes and interference.
        priority: 0 (highest) to 9.
        size: declared resources.
        idempotent: False for billed work, which must start at most once.
        deadline_ms: wall-clock milliseconds since the epoch, 0 for none; of a
            team's jobs with equal urgency and priority, those with the
            earliest deadline go first.
        run_ms: declared run time in milliseconds, 0 if unknown.
        command: command that the worker runs.
        urgent: True if the job must not wait for jobs that are not urgent; it
            goes before all of them, and their attempts may be evicted to make
            room.
        submitted_ms: wall-clock milliseconds since the epoch, set once by the
            submitter and left unchanged in a resend.  A resend is compared
            without it.  A new job is refused as ``stale`` if it was submitted
            no later than an ended job that is no longer stored.
        data_centre: only data centre that the job may run in, empty for any.
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
    """Submits jobs; each of them has its own outcome.

    Attributes:
        jobs: the jobs.
        author: name of the operator, may be empty.
    """

    jobs: list[JobSpec]
    author: str = ''


class CancelJobs(records.Record, tag='cancel'):
    """Cancels jobs; each of them has its own outcome.

    Attributes:
        job_ids: identifiers of the jobs.
        author: name of the operator, may be empty.
        cancelled_ms: time when the request was received, since the epoch.
    """

    job_ids: list[str]
    author: str = ''
    cancelled_ms: int = 0


class Placement(records.Record, tag='place'):
    """Reserves a worker for the next attempt of a job.

    Attributes:
        job_id: identifier of the job.
        attempt: number of the new attempt, which is the fencing token.
        worker: name of the worker.
        reserved: resources to reserve: the greater of the declared and the
            learned ones.
        resume_from: number of the last agreed checkpoint, 0 for none.
        incarnation: incarnation of the worker; the attempt never starts on
            another incarnation.
    """

    job_id: str
    attempt: int
    worker: str
    reserved: messages.Resources
    resume_from: int = 0
    incarnation: int = 0


class PlaceAttempts(records.Record, tag='places'):
    """Places attempts; committed before any order to start them is sent.

    Attributes:
        placements: the placements; each of them has its own outcome.
    """

    placements: list[Placement]


class AttemptEvent(records.Record, tag='event'):
    """Change in the state of an attempt, recorded once it is certain.

    Attributes:
        job_id: identifier of the job.
        attempt: number of the attempt.
        kind: ``started``, ``checkpoint``, ``evicting``, ``stopped``,
            ``done``, ``failed``, ``refused`` or ``expired`` (the lease and
            its safety margin have run out).
        checkpoint: number of the checkpoint, 0 if not applicable.
        used: greatest resource usage observed, None if unknown.
        detail: explanation for people.
        start_outcome: one of ``StartOutcome``, for the end of an attempt.
    """

    job_id: str
    attempt: int
    kind: str
    checkpoint: int = 0
    used: messages.Resources | None = None
    detail: str = ''
    start_outcome: str = _starts.StartOutcome.UNKNOWN


class RecordAttempts(records.Record, tag='events'):
    """Records events of attempts.

    Attributes:
        events: the events; each of them has its own outcome.
    """

    events: list[AttemptEvent]


class ParkJobs(records.Record, tag='park'):
    """Parks queued jobs until an operator resolves them.

    Attributes:
        job_ids: identifiers of the jobs.
        reason: why all of these jobs are parked.
    """

    job_ids: list[str]
    reason: str


class ResolveJobs(records.Record, tag='resolve'):
    """Ends parked jobs or queues them again, as an operator decided.

    Attributes:
        job_ids: identifiers of the jobs.
        resolution: ``done``, ``failed``, or ``queued`` to try again; a job
            that is not idempotent and may have run is never queued again.
        author: name of the operator, may be empty.
    """

    job_ids: list[str]
    resolution: str
    author: str = ''


class WorkerSpec(records.Record, tag='worker'):
    """Description of a registered worker.

    Attributes:
        worker: name of the worker.
        incarnation: incarnation that reported last; it never decreases.
        data_centre: name of its data centre.
        rack: name of its rack.
        capacity: resources that the sum of its reservations must not exceed.
        leaving: True once it accepts no new attempts.
    """

    worker: str
    incarnation: int
    data_centre: str
    rack: str
    capacity: messages.Resources
    leaving: bool = False


class RegisterWorkers(records.Record, tag='register'):
    """Registers workers, or replaces their descriptions.

    Attributes:
        workers: the descriptions; one with a lower incarnation than the
            registered one is ignored.
    """

    workers: list[WorkerSpec]


class RetireWorkers(records.Record, tag='retire'):
    """Removes workers that have no reservations; others are left as is.

    Attributes:
        workers: names of the workers.
    """

    workers: list[str]


RECORD_CLASSES = (
    SubmitJobs,
    CancelJobs,
    PlaceAttempts,
    RecordAttempts,
    ParkJobs,
    ResolveJobs,
    RegisterWorkers,
    RetireWorkers,
)
