"""Events that a replica handles and effects that it requests.

The caller chooses a ``token`` for each proposal, read and membership change;
the effect that answers it returns the token.
"""

from fuchsiatrestle import core

__all__ = (
    'ApplyEntries',
    'ChangeVoters',
    'CompactLog',
    'HardState',
    'IdentityReplaced',
    'MessageReceived',
    'PersistChanges',
    'PrepareStop',
    'ProposalAppended',
    'ProposeCommands',
    'ReadReady',
    'ReadRequest',
    'RequestRejected',
    'RestoreSnapshot',
    'RoleChanged',
    'SendToPeer',
    'SetInitialMembers',
    'Tick',
    'TransferLeadership',
    'WritesSynced',
)


class HardState(core.Value):
    """State that must be durable before a message that depends on it is sent.

    Attributes:
        term: current term.
        vote: identity voted for in that term, empty for none.
        group: agreement group joined, empty before the replica joins one.
    """

    __slots__ = ('term', 'vote', 'group')


# Events


class Tick(core.Value):
    """Reports that time has passed.

    The caller steps a replica with it several times per ``heartbeat_ms``:
    heartbeats and election timeouts that are due are noticed only at a tick.
    """

    __slots__ = ()


class MessageReceived(core.Value):
    """Reports that a message of another replica has arrived.

    Attributes:
        sender: process name of the replica that sent it.
        message: a record of ``messages``.
    """

    __slots__ = ('sender', 'message')


class ProposeCommands(core.Value):
    """Proposes commands.

    Each is answered by ``ProposalAppended`` or ``RequestRejected``.

    Attributes:
        proposals: list of (token, encoded command) pairs.
    """

    __slots__ = ('proposals',)


class WritesSynced(core.Value):
    """Reports that writes are durable.

    Attributes:
        write_id: number of the last ``PersistChanges`` or
            ``RestoreSnapshot`` that is durable; all earlier ones are durable
            as well.
    """

    __slots__ = ('write_id',)


class CompactLog(core.Value):
    """Requests dropping log entries that a durable ``Snapshot`` covers.

    The snapshot itself stays in memory, to be sent to followers that lag far
    behind.

    Attributes:
        snapshot: the ``Snapshot``, which must be durable.
    """

    __slots__ = ('snapshot',)


class ReadRequest(core.Value):
    """Requests a linearizable read.

    It is answered by ``ReadReady`` or ``RequestRejected``.

    Attributes:
        token: returned by the answer.
    """

    __slots__ = ('token',)


class TransferLeadership(core.Value):
    """Requests a leadership transfer."""

    __slots__ = ()


class PrepareStop(core.Value):
    """Requests that this replica gives up its leadership to be stopped.

    If a newcomer takes its place, it also leaves the group, as a follower
    does.
    """

    __slots__ = ()


class SetInitialMembers(core.Value):
    """Replaces the initial members by those that the settings name now.

    A replica that is no member asks them to join; a group that is founded
    keeps its members.

    Attributes:
        names: process names.
    """

    __slots__ = ('names',)


class ChangeVoters(core.Value):
    """Requests a membership change.

    It is answered by ``ProposalAppended`` or ``RequestRejected``.

    Attributes:
        token: returned by the answer.
        change: ``add`` (as a learner), ``promote`` (a learner to a voter),
            ``remove``, or ``replace`` (a removal after which the process may
            join again with a new identity).
        member: identity of the member.
    """

    __slots__ = ('token', 'change', 'member')


# Effects


class SendToPeer(core.Value):
    """Requests sending a message, which may be lost on the way.

    Attributes:
        peer: process name of the replica to send it to.
        message: a record of ``messages``.
    """

    __slots__ = ('peer', 'message')


class PersistChanges(core.Value):
    """Requests a durable write, to be reported by ``WritesSynced(write_id)``.

    Attributes:
        write_id: number of the write.
        hard_state: the new ``HardState``, None if unchanged.
        truncate_from: first index to drop before the append, or None.
        entries: log entries to append.
    """

    __slots__ = ('write_id', 'hard_state', 'truncate_from', 'entries')


class ApplyEntries(core.Value):
    """Requests applying committed entries to the state machine, in order.

    Attributes:
        entries: the entries, which follow those of the previous
            ``ApplyEntries``.
    """

    __slots__ = ('entries',)


class RestoreSnapshot(core.Value):
    """Requests the installation of a ``Snapshot`` sent by the leader.

    The snapshot replaces the state of the state machine before the next
    ``ApplyEntries``, even if it is not durable yet.  In the order of the
    writes it also replaces the content of the data folder, which is reported
    by ``WritesSynced(write_id)``.

    Attributes:
        write_id: number of the write.
        snapshot: the ``Snapshot``.
    """

    __slots__ = ('write_id', 'snapshot')


class ProposalAppended(core.Value):
    """Reports that a proposal or change was appended to the leader's log.

    It is committed once the entry of this index and term is applied; an entry
    of another term at the index means that the proposal or change was lost.

    Attributes:
        token: the token of the proposal or change.
        index: index of its log entry.
        term: term of its log entry.
    """

    __slots__ = ('token', 'index', 'term')


class RequestRejected(core.Value):
    """Reports that a proposal, read or change was rejected, with no effect.

    Attributes:
        token: the token of the proposal, read or change.
        reason: ``not_leader``, ``overloaded``, ``stopping`` or ``no_quorum``
            (reads and removals); for a membership change also
            ``change_pending``, ``not_ready``, ``not_caught_up``,
            ``unknown_member``, ``known_member`` or ``last_voter``.
        leader: process name of the leader, empty if unknown.
    """

    __slots__ = ('token', 'reason', 'leader')


class IdentityReplaced(core.Value):
    """Reports that the group goes on without the identity of this replica.

    It never counts again.  The process may join with a new identity once its
    data folder is retired, see ``DataFolder.retire``.
    """

    __slots__ = ()


class ReadReady(core.Value):
    """Reports that a read may be answered once an index is applied.

    Attributes:
        token: the token of the read.
        index: the log index.
    """

    __slots__ = ('token', 'index')


class RoleChanged(core.Value):
    """Reports that the role, term, leader or readiness has changed.

    Attributes:
        role: ``leader``, ``follower``, ``candidate`` or ``learner``.
        term: current term.
        leader: process name of the leader, empty if unknown.
        ready: True for a leader whose no-op entry is committed.
    """

    __slots__ = ('role', 'term', 'leader', 'ready')
