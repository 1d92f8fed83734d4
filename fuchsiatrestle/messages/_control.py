"""Messages between an entry and the control replicas."""

from fuchsiatrestle.messages import _workers
from fuchsiatrestle import records

__all__ = (
    'REFUSAL_REASONS',
    'AskQuery',
    'ChangeMember',
    'CommandOutcome',
    'ConfigLease',
    'ControlRefused',
    'MemberView',
    'MembersView',
    'OrderBatch',
    'ProposeCommand',
    'QueryAnswer',
    'ReleaseConfigLease',
    'RenewConfigLease',
    'ReportBatch',
    'ShowMembers',
)

# Every ``reason`` of a ``ControlRefused``.
REFUSAL_REASONS = (
    'not_leader',
    'no_quorum',
    'overloaded',
    'stopping',
    'storage_failed',
    'bad_request',
    'unknown',
    'change_pending',
    'not_ready',
    'not_caught_up',
    'unknown_member',
    'known_member',
    'last_voter',
)


class ProposeCommand(records.Record, tag='cp'):
    """Asks the leader to agree one command.

    Attributes:
        call_id: chosen by the sender, returned by the answer.
        command: bytes of ``state.commands.CODEC``.
    """

    call_id: int
    command: bytes


class CommandOutcome(records.Record, tag='co'):
    """The agreed outcome, bytes of ``state.outcomes.CODEC``."""

    call_id: int
    outcome: bytes


class AskQuery(records.Record, tag='cq'):
    """Asks the leader for a linearizable read."""

    call_id: int
    query: bytes


class QueryAnswer(records.Record, tag='ca'):
    """The result, bytes of ``state.queries.CODEC``."""

    call_id: int
    result: bytes


class ControlRefused(records.Record, tag='cr'):
    """The call got no outcome.

    Attributes:
        call_id: the refused call.
        reason: ``not_leader``, ``no_quorum``, ``overloaded``, ``stopping``,
            ``storage_failed``, ``bad_request`` or ``unknown``.
        leader: name of the leader if known, else empty.
        executed: False if the command was certainly not agreed; True is not
            used; with ``unknown`` it may still be agreed later.
        detail: one line for people.
    """

    call_id: int
    reason: str
    leader: str
    executed: bool = False
    detail: str = ''


class RenewConfigLease(records.Record, tag='cl'):
    """Renews the configuration lease of an entry.

    Attributes:
        call_id: returned by the answer; the entry counts the lease from the
            moment it sent this message.
        entry: name of the entry.
        incarnation: incarnation of the entry process.
        version: version the entry has in force.
        address: ``IP:port`` of the entry's link listener.
        term: term of the leader it is meant for, 0 if not known.  A leader
            grants only what was sent after it became leader.
        held: True if the entry's lease was running when it sent this.
        whole: True to be sent the whole document in place of patches.
    """

    call_id: int
    entry: str
    incarnation: int
    version: int
    address: str
    term: int = 0
    held: bool = False
    whole: bool = False


class ConfigLease(records.Record, tag='cg'):
    """Grants a configuration lease for ``lease_ms`` from the request.

    Attributes:
        call_id: the answered request; zero when the leader pushes a new
            version, which then comes into force at once but extends nothing.
        version: newest agreed version; the lease holds for this one only.
        document: JSON of the configuration, empty if the entry has it or
            ``patches`` lead to it.
        lease_ms: duration, zero if no lease is granted.
        term: term of the leader, for the next request.
        reason: why none is granted: ``new_term`` (ask again with ``term``),
            ``not_admitted`` (not in the configuration, or under another
            address), ``other_process`` (an earlier process of this entry may
            still hold one) or ``released``.
        base: version that the first of ``patches`` builds on.
        patches: JSON merge patches that lead from ``base`` to ``version``.
        digest: ``state.schema.digest`` of the document they lead to.
    """

    call_id: int
    version: int
    document: bytes
    lease_ms: int
    term: int = 0
    reason: str = ''
    base: int = 0
    patches: list[bytes] = []
    digest: bytes = b''


class ReleaseConfigLease(records.Record, tag='cz'):
    """Gives the lease up on a planned stop, after the last request.

    Answered by a ``ConfigLease`` with the reason ``released``.
    """

    call_id: int
    entry: str
    incarnation: int


class ReportBatch(records.Record, tag='cw'):
    """Worker reports that an entry fanned in."""

    call_id: int
    entry: str
    reports: list[_workers.WorkerReport]


class OrderBatch(records.Record, tag='cx'):
    """Orders for the workers of one ``ReportBatch``."""

    call_id: int
    orders: list[_workers.WorkerOrders]


class ChangeMember(records.Record, tag='cm'):
    """Changes the control replicas by one; answered by ``MembersView``.

    Attributes:
        change: ``add`` (as learner, promoted once caught up) or ``remove``.
        name: name of the control replica.
        address: ``IP:port`` of its link listener, for ``add``.
    """

    call_id: int
    change: str
    name: str
    address: str = ''


class ShowMembers(records.Record, tag='cs'):
    """Asks for the control replicas; answered by ``MembersView``."""

    call_id: int


class MemberView(records.Record, tag='cv'):
    """One control replica.

    Attributes:
        identity: made when its data folder was made.
        role: ``voter``, ``learner``, or ``syncing`` for a voter that does not
            yet hold the agreed entry of the newest set.
        match: highest log index known to be synced there.
        heard_ms: time since the leader last heard it.
    """

    name: str
    identity: str
    address: str
    role: str
    match: int
    heard_ms: int


class MembersView(records.Record, tag='cy'):
    """The control replicas as the leader sees them."""

    call_id: int
    leader: str
    term: int
    commit: int
    members: list[MemberView]


KINDS = (
    ProposeCommand,
    CommandOutcome,
    AskQuery,
    QueryAnswer,
    ControlRefused,
    RenewConfigLease,
    ConfigLease,
    ReportBatch,
    OrderBatch,
    ReleaseConfigLease,
    ChangeMember,
    ShowMembers,
    MembersView,
)
