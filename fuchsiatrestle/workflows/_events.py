"""Events that the dispatcher takes; orders and effects that it returns."""

from fuchsiatrestle import core

__all__ = (
    'AcknowledgeWithdrawal',
    'CommandApplied',
    'ListedEnd',
    'ListedRun',
    'Order',
    'PollWorker',
    'ProposalRejected',
    'Propose',
    'Reply',
    'ReplyReceived',
    'SetRunPace',
    'StartRun',
    'StopRun',
    'Tick',
    'Verdict',
    'WorkerAnnounced',
    'WorkerWithdrawn',
)


class Verdict:
    """Outcome of an order, as the worker replied."""

    ACCEPTED = 'accepted'
    FENCED = 'fenced'  # the worker has seen a higher fencing token
    OUTDATED = 'outdated'  # the worker has got this or a later run
    TOO_LATE = 'too_late'  # the lease in the order had ended
    NO_ROOM = 'no_room'  # the worker lacks capacity
    NO_TICKET = 'no_ticket'
    UNHEALTHY = 'unhealthy'  # the worker refused and did nothing
    INVALID = 'invalid'  # malformed order, or refused for an unknown reason
    OTHER_PROCESS = 'other_life'  # another process is at the address
    SILENT = 'silent'  # no reply; the order may be carried out later


# Orders


class Order(core.Value):
    """Base of the orders to a worker.

    In all of them ``worker`` is the id of the worker, ``address`` its
    ``IP:port`` and ``token`` the fencing token of the leader.  If an order
    has ``lease_until_ms``, this is the new end of the worker's lease on the
    worker's own clock; None leaves the lease as it is.
    """

    __slots__ = ()


class StartRun(Order):
    """Starts a run; repeating the order has no further effect.

    ``payload`` is the text that the caller submitted with the workflow, and
    ``checkpoint`` the saved progress to resume from, or empty.  ``ticket`` is
    sent to the worker if it is not empty; the dispatcher leaves it empty.
    """

    __slots__ = (
        'worker',
        'address',
        'task',
        'run',
        'payload',
        'lease_until_ms',
        'token',
        'checkpoint',
        'ticket',
    )


class StopRun(Order):
    """Stops a run; the worker refuses to start the run from then on."""

    __slots__ = ('worker', 'address', 'task', 'run', 'token')


class SetRunPace(Order):
    """Sets the pace of a run, in percent of its full speed."""

    __slots__ = ('worker', 'address', 'task', 'run', 'percent', 'token')


class PollWorker(Order):
    """Polls a worker: asks for its runs and extends its lease.

    The worker lists its running runs and the ends of its ended runs.  It
    replies as soon as it has an end to list, and after ``wait_ms`` at the
    latest.  It may forget its ends up to the number ``ends_noted``, as these
    are agreed: committed to the replicated log.  It is 0 if there is nothing
    new to forget.
    """

    __slots__ = (
        'worker',
        'address',
        'lease_until_ms',
        'token',
        'ends_noted',
        'wait_ms',
    )


# Replies


class ListedRun(core.Value):
    """A run that a worker lists.

    ``percent`` is the share of its work that is done; 100 for a long-running
    task that is at work.  ``measurement`` is taken over the last half
    second: the tail latency in ms of a serving task, the processor time in
    use, in thousandths of a core, of any other.
    """

    __slots__ = ('task', 'run', 'checkpoint', 'percent', 'measurement')


class ListedEnd(core.Value):
    """The end of a run, with its number in the worker's list of ends.

    ``outcome`` is the ``how`` of a ``commands.RunEnd``, which also describes
    the other fields.
    """

    __slots__ = ('number', 'task', 'run', 'outcome', 'checkpoint')


class Reply(core.Value):
    """The reply to an order.

    ``verdict`` is one of ``Verdict`` and ``clock_ms`` the worker's clock or
    None.  ``born_ms`` is the start of the worker's process since the epoch, 0
    if the reply does not tell.  ``listed_runs`` and ``listed_ends`` are
    lists of ``ListedRun`` and ``ListedEnd``, empty unless the order was a
    ``PollWorker``.  ``is_complete`` is False if the worker may have more of
    them.
    """

    __slots__ = (
        'verdict',
        'clock_ms',
        'born_ms',
        'listed_runs',
        'listed_ends',
        'is_complete',
    )


# Events


class Tick(core.Value):
    """Time has passed; ``wall_ms`` is the time since the epoch in ms."""

    __slots__ = ('wall_ms',)


class WorkerAnnounced(core.Value):
    """A worker has sent a ``messages.WorkerAnnouncement``."""

    __slots__ = ('announcement',)


class WorkerWithdrawn(core.Value):
    """A worker has announced that its process will end.

    ``worker`` is its id.  ``born_ms`` is the start of its process since the
    epoch, 0 if it did not say.
    """

    __slots__ = ('worker', 'born_ms')


class ReplyReceived(core.Value):
    """An order has got its ``Reply``."""

    __slots__ = ('order', 'reply')


class CommandApplied(core.Value):
    """A command of workflows or documents was agreed and applied."""

    __slots__ = ('command',)


class ProposalRejected(core.Value):
    """The progress proposed with this ``token`` was certainly not agreed."""

    __slots__ = ('token',)


# Effects besides orders


class Propose(core.Value):
    """Proposes a ``commands.RecordProgress`` to be agreed."""

    __slots__ = ('command',)


class AcknowledgeWithdrawal(core.Value):
    """Tells the worker with this id that it may end its process."""

    __slots__ = ('worker',)
