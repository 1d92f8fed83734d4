"""Reports of workers and the orders that answer them.

Workers speak HTTP/JSON; entries convert to these records.  Every report and
order may arrive twice, late, or from an older incarnation.
"""

from fuchsiatrestle import records

__all__ = (
    'AttemptOrder',
    'AttemptReport',
    'Resources',
    'ServiceLoad',
    'WorkerOrders',
    'WorkerReport',
)


class Resources(records.Record, tag='R'):
    """An amount in every dimension of a worker.

    Attributes:
        cpu_milli: processor time, in thousandths of a core.
        memory_mib: memory, in MiB.
        accelerators: whole accelerators.
    """

    cpu_milli: int
    memory_mib: int
    accelerators: int = 0


class AttemptReport(records.Record, tag='A'):
    """What a worker knows of one attempt.

    Attributes:
        job_id: the job.
        attempt: attempt number, the fencing token.
        state: ``running``, ``stopped`` (by order or own lease), ``done``,
            ``failed`` or ``refused`` (never started here).
        used: usage, measured ``age_ms`` before the report.
        age_ms: age of the measurement.
        checkpoint: number of the last checkpoint written, 0 for none.
        progress: completed share of the work, in thousandths.
        detail: exit reason.
    """

    job_id: str
    attempt: int
    state: str
    used: Resources
    age_ms: int
    checkpoint: int = 0
    progress: int = 0
    detail: str = ''


class ServiceLoad(records.Record, tag='L'):
    """Load of one latency-critical service instance on a worker.

    Attributes:
        service: name of the service.
        used: usage, measured ``age_ms`` before the report.
        p99_ms: tail latency over the measured window.
        age_ms: age of the measurement.
    """

    service: str
    used: Resources
    p99_ms: float
    age_ms: int


class WorkerReport(records.Record, tag='W'):
    """Periodic report of one worker.

    Attributes:
        worker: name of the worker.
        incarnation: number drawn when the worker process started, higher
            than that of its earlier processes; a start ends all that earlier
            ones ran.
        seq: position within the incarnation, from 1.
        data_centre: where it stands.
        rack: rack within the data centre.
        capacity: what the worker can hold.
        attempts: every attempt it runs or has ended and not yet had
            acknowledged.
        services: latency-critical instances it carries.
        leaving: True once it takes no new work.
    """

    worker: str
    incarnation: int
    seq: int
    data_centre: str
    rack: str
    capacity: Resources
    attempts: list[AttemptReport]
    services: list[ServiceLoad] = []
    leaving: bool = False


class AttemptOrder(records.Record, tag='O'):
    """One order about one attempt.

    Attributes:
        kind: ``start``, ``renew``, ``throttle``, ``checkpoint``, ``stop`` or
            ``forget`` (the ended attempt is recorded, drop it).
        job_id: the job; empty in a ``renew`` that covers every attempt that
            the answered report gave as running and that no ``stop`` of the
            same answer names.
        attempt: attempt number; a worker refuses one below the highest it
            has seen for the job.
        lease_ms: for start and renew, counted by the worker from the moment
            it sent the report that this order answers; a throttle lasts as
            long, unless it is repeated.
        size: reservation, for start.
        resume_from: checkpoint to resume from, 0 for the beginning.
        throttle_milli: allowed processor time, for throttle; 0 lifts it.
        command: what to run, for start.
        resume_attempt: attempt that wrote ``resume_from``.
    """

    kind: str
    job_id: str
    attempt: int
    lease_ms: int = 0
    size: Resources | None = None
    resume_from: int = 0
    throttle_milli: int = 0
    command: str = ''
    resume_attempt: int = 0


class WorkerOrders(records.Record, tag='X'):
    """Orders that answer one report.

    Attributes:
        worker: name of the worker.
        incarnation: incarnation they are meant for; others ignore them.
        seq: sequence number of the answered report.
        orders: the orders.
    """

    worker: str
    incarnation: int
    seq: int
    orders: list[AttemptOrder]
