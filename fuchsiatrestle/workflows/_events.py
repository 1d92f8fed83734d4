"""Events, orders and other effects of the dispatcher."""

from fuchsiatrestle import core

__all__ = (
    'Announced',
    'Answered',
    'Applied',
    'EndRow',
    'LookAt',
    'Order',
    'PaceRun',
    'Propose',
    'Rejected',
    'Reply',
    'RunningRow',
    'StartRun',
    'StopRun',
    'Tick',
    'Verdict',
    'Withdrawn',
)


class Verdict:
    """What a worker said to an order."""

    ACCEPTED = 'accepted'
    FENCED = 'fenced'  # it has seen a higher fencing token
    OUTDATED = 'outdated'  # this run, or a later one, has been there
    TOO_LATE = 'too_late'  # the lease in the order is over
    NO_ROOM = 'no_room'
    NO_TICKET = 'no_ticket'
    UNHEALTHY = 'unhealthy'  # it did nothing
    INVALID = 'invalid'
    OTHER_LIFE = 'other_life'  # the process there is another one
    SILENT = 'silent'  # no answer; it may be carried out later


# Orders


class Order(core.Value):
    """Base of what a worker is told; ``worker`` is its id.

    ``token`` is the fencing token and ``lease_until_ms`` a time on the
    worker's own clock, None to leave the lease as it is.
    """

    __slots__ = ()


class StartRun(Order):
    """Start a run; repeating it is harmless."""

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
    """Stop a run, or refuse it for good if it is not there yet."""

    __slots__ = ('worker', 'address', 'task', 'run', 'token')


class PaceRun(Order):
    """Let a run work at a share of its speed, in percent."""

    __slots__ = ('worker', 'address', 'task', 'run', 'percent', 'token')


class LookAt(Order):
    """List runs and ends, extend the lease, wait for an end.

    Ends up to ``ends_noted`` may be forgotten.
    """

    __slots__ = (
        'worker',
        'address',
        'lease_until_ms',
        'token',
        'ends_noted',
        'wait_ms',
    )


# Answers


class RunningRow(core.Value):
    """A run on a worker.

    ``percent`` is the share of its work that is done; for a lasting task
    100 means at work.  ``figure`` is the tail latency in ms of a task that
    serves, the processor time in use of any other.
    """

    __slots__ = ('task', 'run', 'checkpoint', 'percent', 'figure')


class EndRow(core.Value):
    """An end, with its number in the worker's list; see ``RunEnd``."""

    __slots__ = ('number', 'task', 'run', 'how', 'checkpoint')


class Reply(core.Value):
    """Answer to an order.

    ``clock_ms`` is the worker's clock or None.  The rows of ``running`` and
    ``ends`` are empty but after a look; ``born_ms`` is 0 if not said.
    """

    __slots__ = ('verdict', 'clock_ms', 'born_ms', 'running', 'ends')


# Events


class Tick(core.Value):
    """Time has passed; ``wall_ms`` is the time since the epoch."""

    __slots__ = ('wall_ms',)


class Announced(core.Value):
    """A worker described itself in a ``messages.WorkerAnnouncement``."""

    __slots__ = ('announcement',)


class Withdrawn(core.Value):
    """A worker has left in an orderly way."""

    __slots__ = ('worker',)


class Answered(core.Value):
    """The ``Reply`` to an order."""

    __slots__ = ('order', 'reply')


class Applied(core.Value):
    """A command of workflows or documents was agreed and applied."""

    __slots__ = ('command',)


class Rejected(core.Value):
    """The progress proposed under ``token`` certainly was not agreed."""

    __slots__ = ('token',)


# Effects besides orders


class Propose(core.Value):
    """Agree this ``commands.RecordProgress``."""

    __slots__ = ('command',)
