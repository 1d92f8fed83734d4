"""Events and effects passed between the tasks of a control daemon.

The service also handles these effects of the ``agreement`` core:
``ApplyEntries``, ``RestoreSnapshot``, ``ProposalAppended``,
``RequestRejected``, ``ReadReady`` and ``RoleChanged``.
"""

from fuchsiatrestle import core

__all__ = (
    'Call',
    'ConnectPeer',
    'DataFolderFailed',
    'MakeSnapshot',
    'MemberStatus',
    'OrderWorker',
    'ReplicaStatus',
    'RetireFolder',
    'SaveSnapshot',
    'SendToPeer',
    'SendToReplica',
    'SnapshotSaved',
    'Tick',
    'WorkerAnswered',
)


# Events of the service


class Tick(core.Value):
    """Time has passed.

    ``wall_ms`` is the time since the epoch, in milliseconds.
    """

    __slots__ = ('wall_ms',)


class Call(core.Value):
    """A call from another process.

    ``peer`` is the name of the link peer that sent it, ``message`` the record
    with the ``call_id`` that the answer repeats.
    """

    __slots__ = ('peer', 'message')


class WorkerAnswered(core.Value):
    """A worker answered an order.

    ``reply`` is the ``workflows.ReplyReceived``.
    """

    __slots__ = ('reply',)


class MemberStatus(core.Value):
    """Progress of one member of the group, as this replica knows it.

    ``role`` is ``learner``, ``syncing`` or ``voter``; ``match_index`` is the
    last log index that the member is known to hold; ``heard_age_ms`` is the
    time in milliseconds since the newest request that it has answered was
    sent, 0 for this replica itself.
    """

    __slots__ = ('identity', 'name', 'role', 'match_index', 'heard_age_ms')


class ReplicaStatus(core.Value):
    """Status that the replica task publishes to the state task.

    ``commit_index`` is the last committed log index, ``members`` a list of
    ``MemberStatus``, ``joining_identities`` the identities of replicas that
    asked to join and are no members yet, ``bearable_losses`` the number of
    voters that may be lost now without losing the quorum.
    """

    __slots__ = (
        'term',
        'commit_index',
        'members',
        'joining_identities',
        'bearable_losses',
    )


class DataFolderFailed(core.Value):
    """The data folder failed; no proposal is acknowledged from now on.

    ``error`` is the ``errors.Error`` that was raised.
    """

    __slots__ = ('error',)


# Effects of the service


class SendToPeer(core.Value):
    """Send ``message`` over the link to the peer called ``peer``."""

    __slots__ = ('peer', 'message')


class SendToReplica(core.Value):
    """Put ``event`` into the inbox of the replica task."""

    __slots__ = ('event',)


class OrderWorker(core.Value):
    """Send a ``workflows.Order`` to its worker through the driver."""

    __slots__ = ('order',)


class ConnectPeer(core.Value):
    """Keep a stream to the control replica ``name`` at ``address``."""

    __slots__ = ('name', 'address')


# Snapshots.  The service sends ``MakeSnapshot`` to the replica task, which
# sends ``SaveSnapshot`` to the storage thread.  ``SnapshotSaved`` returns to
# the replica task, which passes it on to the service.


class MakeSnapshot(core.Value):
    """Make a snapshot of the encoded state and have it saved.

    ``data`` is the state after the log entry ``last_index`` was applied.
    """

    __slots__ = ('last_index', 'data')


class SaveSnapshot(core.Value):
    """Make an ``agreement.Snapshot`` durable."""

    __slots__ = ('snapshot',)


class RetireFolder(core.Value):
    """Empty the data folder, whose identity the group has removed.

    It is answered by ``DataFolderFailed`` with ``errors.IdentityReplaced``.
    """

    __slots__ = ()


class SnapshotSaved(core.Value):
    """The ``agreement.Snapshot`` is durable."""

    __slots__ = ('snapshot',)
