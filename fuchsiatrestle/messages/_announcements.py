"""Messages that pass on what workers say of themselves."""

from fuchsiatrestle import records

__all__ = (
    'AnnounceWorker',
    'Noted',
    'WithdrawWorker',
    'WorkerAnnouncement',
)


class WorkerAnnouncement(records.Record, tag='wa'):
    """A worker's description of itself.

    Attributes:
        worker: id of the worker.
        born_ms: start of its process, since the epoch.
        sequence: grows with each announcement of one process.
        address: ``IP:port`` that takes orders.
        pool: service that the worker belongs to.
        data_centre: where it is.
        state: ``ready`` or ``draining``.
        cpu: capacity in thousandths of a core.
        memory_mb: capacity in MiB.
        accelerators: number of accelerators.
        labels: its kind and its rack.
        clock_ms: its steady clock when it sent this, or None.
        machine: VM that it is a life of, or empty.
    """

    worker: str
    born_ms: int
    sequence: int
    address: str
    pool: str
    data_centre: str
    state: str
    cpu: int
    memory_mb: int
    accelerators: int
    labels: list[str]
    clock_ms: int | None = None
    machine: str = ''


class AnnounceWorker(records.Record, tag='wb'):
    """Passes an announcement on to the leader; answered by ``Noted``."""

    call_id: int
    announcement: WorkerAnnouncement


class WithdrawWorker(records.Record, tag='wd'):
    """Tells the leader that a worker has left; answered by ``Noted``."""

    call_id: int
    worker: str


class Noted(records.Record, tag='wn'):
    """The leader has taken note; ``leader`` is its name."""

    call_id: int
    leader: str


KINDS = (AnnounceWorker, WithdrawWorker, Noted)
