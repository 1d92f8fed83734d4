"""Events that a replica takes and effects that it asks for."""

from fuchsiatrestle import core

__all__ = (
    'Accepted',
    'Apply',
    'ChangeVoters',
    'Compact',
    'HandOver',
    'HardState',
    'Propose',
    'ReadReady',
    'ReadRequest',
    'Received',
    'Rejected',
    'Restore',
    'RoleChanged',
    'Send',
    'Synced',
    'Tick',
    'Write',
)


class HardState(core.Value):
    """What must be synced before it is acted on.

    ``vote`` is the identity voted for in ``term`` or empty; ``group`` is the
    agreement group joined, empty before the first contact with one.
    """

    __slots__ = ('term', 'vote', 'group')


# Events


class Tick(core.Value):
    """Time has passed; sent every few milliseconds."""

    __slots__ = ()


class Received(core.Value):
    """A message from another replica."""

    __slots__ = ('sender', 'message')


class Propose(core.Value):
    """Commands to agree: ``items`` is a list of (token, bytes) pairs."""

    __slots__ = ('items',)


class Synced(core.Value):
    """The ``Write`` with this number, and all before it, are durable."""

    __slots__ = ('write_id',)


class Compact(core.Value):
    """This ``Snapshot`` is durable; drop the log that it covers.

    It is kept in memory to be sent to followers far behind.
    """

    __slots__ = ('snapshot',)


class ReadRequest(core.Value):
    """Asks for a linearizable read, answered by ``ReadReady``."""

    __slots__ = ('token',)


class HandOver(core.Value):
    """Gives leadership away, for a planned stop."""

    __slots__ = ()


class ChangeVoters(core.Value):
    """Adds a learner, promotes it or removes a voter.

    ``change`` is ``add`` (as a learner), ``promote`` or ``remove``;
    ``member`` is the identity.  Answered by ``Accepted`` or ``Rejected``.
    """

    __slots__ = ('token', 'change', 'member')


# Effects


class Send(core.Value):
    """Send a message to the replica named ``peer``; it may be lost."""

    __slots__ = ('peer', 'message')


class Write(core.Value):
    """Make durable, then report ``Synced(write_id)``.

    ``hard_state`` is None if unchanged; ``truncate_from`` is None or the
    first index to drop before ``entries`` are appended.
    """

    __slots__ = ('write_id', 'hard_state', 'truncate_from', 'entries')


class Apply(core.Value):
    """Apply committed entries to the state machine, in order."""

    __slots__ = ('entries',)


class Restore(core.Value):
    """Install a ``Snapshot`` sent by the leader.

    Replace folder and state machine by it in the order of the writes, then
    report ``Synced(write_id)``.
    """

    __slots__ = ('write_id', 'snapshot')


class Accepted(core.Value):
    """The proposal got a place in the log; its fate is not yet known."""

    __slots__ = ('token', 'index', 'term')


class Rejected(core.Value):
    """The proposal, read or change was refused and certainly not agreed.

    ``reason`` is ``not_leader``, ``overloaded``, ``stopping`` or
    ``no_quorum`` (reads only); for a change of voters also
    ``change_pending``, ``not_ready``, ``not_caught_up``, ``unknown_member``,
    ``known_member`` or ``last_voter``.  ``leader`` is the name of the leader
    or empty.
    """

    __slots__ = ('token', 'reason', 'leader')


class ReadReady(core.Value):
    """The read may be answered once ``index`` is applied."""

    __slots__ = ('token', 'index')


class RoleChanged(core.Value):
    """``role`` is ``leader``, ``follower``, ``candidate`` or ``learner``.

    ``ready`` is True for a leader whose first own entry is committed.
    """

    __slots__ = ('role', 'term', 'leader', 'ready')
