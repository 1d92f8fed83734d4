"""Reports of workers and the orders that answer them.

Workers use HTTP with JSON; entries convert it to and from these records.
Any report or order may arrive twice, late, or from an older incarnation.  An
attempt is one try of a worker to run a batch job; the attempts of a job are
numbered.  All cores in these records are CPU cores.
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
    """An amount of each resource of a worker.

    Attributes:
        cpu_milli: processor time, in thousandths of a core.
        memory_mib: memory, in MiB.
        accelerators: whole accelerators.
    """

    cpu_milli: int
    memory_mib: int
    accelerators: int = 0


class AttemptReport(records.Record, tag='A'):
    """Part of a worker's report about one attempt.

    Attributes:
        job_id: id of the job.
        attempt: attempt number, which serves as fencing token.
        state: ``running``, ``stopped`` (by an order, or as its lease ended),
            ``done``, ``failed`` or ``refused`` (never started here).
        used: resources in use, measured ``age_ms`` before the report.
        age_ms: age of the measurement when the report was sent.
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
        used: resources in use, measured ``age_ms`` before the report.
        p99_ms: 99th percentile of the latency in the measured window.
        age_ms: age of the measurement when the report was sent.
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
            than that of its earlier processes; when it starts, all attempts
            of earlier processes have ended.
        seq: number of the report within the incarnation, from 1.
        data_centre: data centre that it runs in.
        rack: rack within the data centre.
        capacity: resources of the worker.
        attempts: every attempt that is running, or that has ended and for
            which no ``forget`` order has arrived yet.
        services: latency-critical service instances on the worker.
        leaving: True once it accepts no new work.
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
            ``forget`` (the end of the attempt is recorded, so the worker
            need not report it any longer).
        job_id: id of the job; empty in a ``renew`` that covers every attempt
            that the answered report gave as running and that no ``stop`` of
            the same answer names.
        attempt: attempt number; a worker refuses one below the highest it
            has seen for the job.
        lease_ms: duration of the lease, for ``start`` and ``renew``; the
            worker counts it from the moment it sent the report that this
            order answers.  A ``throttle`` lasts as long, unless repeated.
        size: resources to reserve, for ``start``.
        resume_from: number of the checkpoint to resume from, 0 to start from
            the beginning.
        throttle_milli: allowed processor time in thousandths of a core, for
            ``throttle``; 0 lifts the limit.
        command: command to run, for ``start``.
        resume_attempt: attempt that wrote the checkpoint ``resume_from``.
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
    """Orders for one worker that answer one of its reports.

    Attributes:
        worker: name of the worker.
        incarnation: incarnation of the worker process that they are meant
            for; a process with another one ignores them.
        seq: ``seq`` of the answered report.
        orders: the orders.
    """

    worker: str
    incarnation: int
    seq: int
    orders: list[AttemptOrder]
