"""Events that a replica handles and effects that it requests."""

from fuchsiatrestle import core

__all__ = (
    'Appended',
    'Apply',
    'ChangeVoters',
    'Compact',
    'HardState',
    'Propose',
    'ReadReady',
    'ReadRequest',
    'Received',
    'Rejected',
    'RestoreSnapshot',
    'RoleChanged',
    'Send',
    'Synced',
    'Tick',
    'TransferLeadership',
    'Write',
)


class HardState(core.Value):
    """State that must be durable before any message depends on it.

    ``vote`` is the identity voted for in ``term``, empty for none; ``group``
    is the agreement group joined, empty before the replica joins one.
    """

    __slots__ = ('term', 'vote', 'group')


# Events


class Tick(core.Value):
    """Reports that time has passed; due every few milliseconds."""

    __slots__ = ()


class Received(core.Value):
    """Reports a message from the replica named ``sender``."""

    __slots__ = ('sender', 'message')


class Propose(core.Value):
    """Proposes commands; ``items`` is a list of (token, bytes) pairs.

    Each is answered by ``Appended`` or ``Rejected``.
    """

    __slots__ = ('items',)


class Synced(core.Value):
    """Reports that all writes up to ``write_id`` are durable.

    These are ``Write`` and ``RestoreSnapshot`` effects.
    """

    __slots__ = ('write_id',)


class Compact(core.Value):
    """Reports that a ``Snapshot`` is durable, to drop the log it covers.

    The snapshot stays in memory, to be sent to followers that lag far behind.
    """

    __slots__ = ('snapshot',)


class ReadRequest(core.Value):
    """Requests a linearizable read.

    It is answered by ``ReadReady`` or ``Rejected``.
    """

    __slots__ = ('token',)


class TransferLeadership(core.Value):
    """Requests a leadership transfer, for a planned stop."""

    __slots__ = ()


class ChangeVoters(core.Value):
    """Requests a membership change.

    ``change`` is ``add`` (as a learner), ``promote`` (a learner to a voter)
    or ``remove``; ``member`` is the identity.  It is answered by ``Appended``
    or ``Rejected``.
    """

    __slots__ = ('token', 'change', 'member')


# Effects


class Send(core.Value):
    """Requests sending a message to the replica named ``peer``.

    The message may be lost.
    """

    __slots__ = ('peer', 'message')


class Write(core.Value):
    """Requests a durable write, to be reported by ``Synced(write_id)``.

    ``hard_state`` is None if unchanged; ``truncate_from`` is None or the
    first index to drop before ``entries`` are appended.
    """

    __slots__ = ('write_id', 'hard_state', 'truncate_from', 'entries')


class Apply(core.Value):
    """Requests applying committed entries to the state machine, in order."""

    __slots__ = ('entries',)


class RestoreSnapshot(core.Value):
    """Requests the installation of a ``Snapshot`` sent by the leader.

    It replaces the state machine, and in the order of the writes the content
    of the data folder, which is reported by ``Synced(write_id)``.
    """

    __slots__ = ('write_id', 'snapshot')


class Appended(core.Value):
    """Reports that a proposal or change was appended to the leader's log.

    It is committed once the entry of this ``index`` and ``term`` is applied;
    an entry of another term at the index means that it was lost.
    """

    __slots__ = ('token', 'index', 'term')


class Rejected(core.Value):
    """Reports that a proposal, read or change was rejected, with no effect.

    ``reason`` is ``not_leader``, ``overloaded``, ``stopping`` or
    ``no_quorum`` (reads and removals); for a membership change also
    ``change_pending``, ``not_ready``, ``not_caught_up``, ``unknown_member``,
    ``known_member`` or ``last_voter``.  ``leader`` is the name of the leader
    or empty.
    """

    __slots__ = ('token', 'reason', 'leader')


class ReadReady(core.Value):
    """Reports that a read may be answered once ``index`` is applied."""

    __slots__ = ('token', 'index')


class RoleChanged(core.Value):
    """Reports a change of role, term, leader or readiness.

    ``role`` is ``leader``, ``follower``, ``candidate`` or ``learner``;
    ``leader`` is the name of the leader, empty if unknown.  ``ready`` is True
    for a leader whose no-op entry is committed.
    """

    __slots__ = ('role', 'term', 'leader', 'ready')
