"""Messages between an entry and the control replicas."""

from fuchsiatrestle.messages import _workers
from fuchsiatrestle import number_ranges
from fuchsiatrestle import records

__all__ = (
    'REFUSAL_REASONS',
    'AskQuery',
    'ChangeMember',
    'CommandOutcome',
    'ConfigLease',
    'ControlRefused',
    'MemberView',
    'MemberList',
    'MembersView',
    'OrderBatch',
    'ProposeCommand',
    'QueryAnswer',
    'ReleaseConfigLease',
    'RenewConfigLease',
    'ReportBatch',
    'ShowMembers',
)

# Every value of ``ControlRefused.reason`` on the wire.
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
    """Asks the leader to replicate one command in the log and apply it.

    Attributes:
        call_id: chosen by the sender, returned by the answer.
        command: the command, encoded by ``state.commands.CODEC``.
        age_ms: time for which the sender has had the request that led to the
            command, in milliseconds; 0 if there is none.
    """

    call_id: int
    command: bytes
    age_ms: number_ranges.Duration = 0


class CommandOutcome(records.Record, tag='co'):
    """Answers a ``ProposeCommand`` once the command has been applied.

    Attributes:
        call_id: the answered call.
        outcome: outcome of the command, encoded by ``state.outcomes.CODEC``.
    """

    call_id: int
    outcome: bytes


class AskQuery(records.Record, tag='cq'):
    """Asks the leader for a linearizable read.

    Attributes:
        call_id: chosen by the sender, returned by the answer.
        query: the query, encoded by ``state.queries.CODEC``.
    """

    call_id: int
    query: bytes


class QueryAnswer(records.Record, tag='ca'):
    """Answers an ``AskQuery``.

    Attributes:
        call_id: the answered call.
        result: the result, encoded by ``state.queries.CODEC``.
    """

    call_id: int
    result: bytes


class ControlRefused(records.Record, tag='cr'):
    """Answers a call that was refused or whose outcome is not known.

    Attributes:
        call_id: the refused call.
        reason: one of ``REFUSAL_REASONS`` on the wire.
            ``net.control_client`` also makes refusals for its own use, with
            further reasons such as ``timeout`` and ``peer_down``.
        leader: name of the leader if known, else empty.
        executed: True if the call may have taken effect.  Only a refusal that
            ``net.control_client`` made for a call that it had sent can have
            True here; on the wire it is always False.  There, the reason
            ``unknown`` means that the command may still be committed to the
            log later; any other reason means that it never will be.
        detail: one line for people.
    """

    call_id: int
    reason: str
    leader: str
    executed: bool = False
    detail: str = ''


class RenewConfigLease(records.Record, tag='cl'):
    """Requests or renews the configuration lease of an entry.

    Attributes:
        call_id: returned by the answer; the entry counts the lease from the
            moment it sent this message.
        entry: name of the entry.
        incarnation: incarnation of the entry process.
        version: version the entry has in force, 0 for none.
        address: ``IP:port`` of the entry's link listener.
        term: term of the leader that the message is meant for, 0 if not
            known.  Only a leader of this term grants the lease, as the term
            proves that the message was sent after its election; any other
            leader denies the lease with ``new_term``.
        held: True if the process held a lease when it sent this message.
        whole: True to request the full document in place of patches.
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
    """Grants or denies a configuration lease, or pushes a new version.

    Attributes:
        call_id: call id of the answered request; 0 when the leader pushes a
            new version, which the entry brings into force when it receives
            it, but which extends no lease.
        version: newest agreed version; the lease is valid for no other
            version.
        document: JSON of the configuration, empty if the entry has it or if
            ``patches`` are sent.
        lease_ms: duration of the lease from the moment the request was sent,
            0 if no lease is granted.
        term: term of the leader, to be named in the next request.
        reason: why no lease is granted: ``new_term`` (ask again with
            ``term``), ``not_admitted`` (the configuration does not list the
            entry, or lists another address), ``other_process`` (another
            process of this entry may still hold a lease) or ``released``.
        base: version that the first of ``patches`` applies to.
        patches: JSON merge patches that lead from ``base`` to ``version``.
        digest: ``state.schema.digest_document`` of the document that
            ``patches`` lead to, empty without patches.
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
    """Gives up the configuration lease of an entry that stops as planned.

    The entry sends it after its last caller request.  It is answered by a
    ``ConfigLease`` with the reason ``released``.

    Attributes:
        call_id: chosen by the sender, returned by the answer.
        entry: name of the entry.
        incarnation: incarnation of the entry process.
    """

    call_id: int
    entry: str
    incarnation: int


class ReportBatch(records.Record, tag='cw'):
    """Reports of several workers, collected by an entry.

    Attributes:
        call_id: chosen by the sender, returned by the answer.
        entry: name of the entry.
        reports: the reports.
    """

    call_id: int
    entry: str
    reports: list[_workers.WorkerReport]


class OrderBatch(records.Record, tag='cx'):
    """Answers a ``ReportBatch`` with the orders for its workers.

    Attributes:
        call_id: the answered batch.
        orders: the orders of each worker.
    """

    call_id: int
    orders: list[_workers.WorkerOrders]


class ChangeMember(records.Record, tag='cm'):
    """Adds or removes one control replica; answered by ``MembersView``.

    Attributes:
        call_id: chosen by the sender, returned by the answer.
        change: ``add`` (as learner, promoted once caught up) or ``remove``.
        name: name of the control replica.
        address: ``IP:port`` of its link listener, for ``add``.
    """

    call_id: int
    change: str
    name: str
    address: str = ''


class ShowMembers(records.Record, tag='cs'):
    """Asks for a list of the control replicas; answered by ``MembersView``.

    Attributes:
        call_id: chosen by the sender, returned by the answer.
    """

    call_id: int


class MemberView(records.Record, tag='cv'):
    """One control replica, as the leader sees it.

    Attributes:
        name: name of the replica.
        identity: identity that was drawn when its data folder was created.
        address: ``IP:port`` of its link listener; the leader leaves it empty.
        role: ``voter``, ``learner``, or ``syncing`` for a voter while the log
            entry of the newest voter set is not committed, or not yet synced
            to the disk of this replica.
        match: highest log index known to be synced to its disk.
        heard_ms: time since the leader sent the newest heartbeat round that
            the replica has answered, 0 for the leader itself.
    """

    name: str
    identity: str
    address: str
    role: str
    match: int
    heard_ms: int


class MembersView(records.Record, tag='cy'):
    """Answers ``ShowMembers`` and ``ChangeMember``.

    Attributes:
        call_id: the answered call.
        leader: name of the leader.
        term: term of the leader.
        commit: highest committed log index.
        members: the control replicas.
        bearable_losses: number of voters that may be lost now without losing
            the quorum.
    """

    call_id: int
    leader: str
    term: int
    commit: int
    members: list[MemberView]
    bearable_losses: int = 0


class MemberList(records.Record, tag='cn'):
    """Tells a process that calls control which replicas there are.

    A replica sends it when a stream to the process is opened, and again when
    the members change.

    Attributes:
        index: log index from which these are the members.
        names: names of the members.
    """

    index: int
    names: list[str]


RECORD_CLASSES = (
    MemberList,
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
