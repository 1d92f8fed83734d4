"""Events and effects between the tasks of a control daemon.

The service also takes the effects that ``agreement`` addresses to the state
machine: ``Apply``, ``Restore``, ``Accepted``, ``Rejected``, ``ReadReady`` and
``RoleChanged``.
"""

from fuchsiatrestle import core

__all__ = (
    'Call',
    'ConnectPeer',
    'MemberFacts',
    'OrderWorker',
    'ReplicaFacts',
    'SaveSnapshot',
    'Send',
    'SnapshotSaved',
    'StorageBroken',
    'TakeSnapshot',
    'Tick',
    'ToReplica',
    'WorkerAnswered',
)


# Events of the service


class Tick(core.Value):
    """Time has passed; ``wall_ms`` is the time since the epoch."""

    __slots__ = ('wall_ms',)


class Call(core.Value):
    """A message with a ``call_id`` from a link peer."""

    __slots__ = ('peer', 'message')


class WorkerAnswered(core.Value):
    """A worker's answer: ``event`` is a ``workflows.Answered``."""

    __slots__ = ('event',)


class MemberFacts(core.Value):
    """What the replica knows of one member."""

    __slots__ = ('identity', 'name', 'role', 'match', 'heard_ms')


class ReplicaFacts(core.Value):
    """State of the replica: ``members`` holds ``MemberFacts``.

    ``newcomers`` holds the identities that want to join.
    """

    __slots__ = ('term', 'commit', 'members', 'newcomers')


class StorageBroken(core.Value):
    """The data folder failed with ``error``; nothing is acknowledged now."""

    __slots__ = ('error',)


# Effects of the service


class Send(core.Value):
    """Send ``message`` to the link peer called ``peer``."""

    __slots__ = ('peer', 'message')


class ToReplica(core.Value):
    """Hand ``event`` to the replica task."""

    __slots__ = ('event',)


class OrderWorker(core.Value):
    """Hand a ``workflows.Order`` to the driver."""

    __slots__ = ('order',)


class ConnectPeer(core.Value):
    """Keep a stream to a control replica at ``address``."""

    __slots__ = ('name', 'address')


# Between the replica task and the storage thread


class TakeSnapshot(core.Value):
    """``data`` is the state after ``last_index``; save it as a snapshot."""

    __slots__ = ('last_index', 'data')


class SaveSnapshot(core.Value):
    """Make an ``agreement`` snapshot durable."""

    __slots__ = ('snapshot',)


class SnapshotSaved(core.Value):
    """The snapshot is durable."""

    __slots__ = ('snapshot',)
