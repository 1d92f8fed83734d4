"""Events and effects between the tasks of a control daemon.

The service also takes the effects that ``agreement`` addresses to the state
machine: ``Apply``, ``Restore``, ``Accepted``, ``Rejected``, ``ReadReady`` and
``RoleChanged``.
"""

__all__ = (
    'Call',
    'ConnectPeer',
    'MemberFacts',
    'ReplicaFacts',
    'SaveSnapshot',
    'Send',
    'SnapshotSaved',
    'StorageBroken',
    'TakeSnapshot',
    'Tick',
    'ToReplica',
)


class _Value:
    """Plain data with positional slots."""

    __slots__ = ()

    def __init__(self, *values):
        for name, value in zip(self.__slots__, values, strict=True):
            setattr(self, name, value)

    def __repr__(self):
        inner = ', '.join(
            f'{name}={getattr(self, name)!r}' for name in self.__slots__
        )
        return f'{type(self).__name__}({inner})'


# Events of the service


class Tick(_Value):
    """Time has passed; ``wall_ms`` is the time since the epoch."""

    __slots__ = ('wall_ms',)


class Call(_Value):
    """A message with a ``call_id`` from a link peer."""

    __slots__ = ('peer', 'message')


class MemberFacts(_Value):
    """What the replica knows of one member."""

    __slots__ = ('identity', 'name', 'role', 'match', 'heard_ms')


class ReplicaFacts(_Value):
    """State of the replica: ``members`` holds ``MemberFacts``.

    ``newcomers`` holds the identities that want to join.
    """

    __slots__ = ('term', 'commit', 'members', 'newcomers')


class StorageBroken(_Value):
    """The data folder failed with ``error``; nothing is acknowledged now."""

    __slots__ = ('error',)


# Effects of the service


class Send(_Value):
    """Send ``message`` to the link peer called ``peer``."""

    __slots__ = ('peer', 'message')


class ToReplica(_Value):
    """Hand ``event`` to the replica task."""

    __slots__ = ('event',)


class ConnectPeer(_Value):
    """Keep a stream to a control replica at ``address``."""

    __slots__ = ('name', 'address')


# Between the replica task and the storage thread


class TakeSnapshot(_Value):
    """``data`` is the state after ``last_index``; save it as a snapshot."""

    __slots__ = ('last_index', 'data')


class SaveSnapshot(_Value):
    """Make an ``agreement`` snapshot durable."""

    __slots__ = ('snapshot',)


class SnapshotSaved(_Value):
    """The snapshot is durable."""

    __slots__ = ('snapshot',)
