"""Messages by which an entry forwards workers' announcements to the leader."""

from fuchsiatrestle import records

__all__ = (
    'AnnounceWorker',
    'Noted',
    'WithdrawWorker',
    'WorkerAnnouncement',
)


class WorkerAnnouncement(records.Record, tag='wa'):
    """Description that a worker sends of itself.

    Attributes:
        worker: id of the worker.
        born_ms: time at which its process started, in ms since the epoch.
        sequence: number that grows with each announcement that one worker
            process sends.
        address: ``IP:port`` on which it accepts orders.
        pool: service that the worker belongs to.
        data_centre: data centre that it runs in.
        state: ``ready`` or ``draining``.
        cpu: processor capacity, in thousandths of a CPU core.
        memory_mb: memory capacity, in MiB.
        accelerators: number of accelerators.
        labels: its kind and its rack, in this order.
        clock_ms: reading of its monotonic clock when it sent this, or None.
        machine: name of the VM, or empty; a VM may be several workers, one
            after another.
        remaining_cold_ms: for how long it will be slow, as it has not worked
            for a while.
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
    remaining_cold_ms: int = 0


class AnnounceWorker(records.Record, tag='wb'):
    """Forwards an announcement to the leader; answered by ``Noted``.

    Attributes:
        call_id: chosen by the sender, returned by the answer.
        announcement: the announcement.
    """

    call_id: int
    announcement: WorkerAnnouncement


class WithdrawWorker(records.Record, tag='wd'):
    """Tells the leader that a worker is leaving; answered by ``Noted``.

    The worker ends its process on the answer, so the answer waits for a short
    time until the runs of the worker have ended.

    Attributes:
        call_id: chosen by the sender, returned by the answer.
        worker: id of the worker.
        born_ms: start of the worker's process since the epoch, 0 if the
            worker did not say.
    """

    call_id: int
    worker: str
    born_ms: int = 0


class Noted(records.Record, tag='wn'):
    """Confirms that the leader has received an announcement or withdrawal.

    Attributes:
        call_id: ``call_id`` of the answered message.
        leader: name of the leader.
        receiver: name of the member of the control group that later
            announcements of the worker should go to; empty for the leader.
    """

    call_id: int
    leader: str
    receiver: str = ''


RECORD_CLASSES = (AnnounceWorker, WithdrawWorker, Noted)
