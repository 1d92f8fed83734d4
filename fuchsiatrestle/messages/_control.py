"""Messages between an entry and the control replicas."""

from fuchsiatrestle.messages import _workers
from fuchsiatrestle import records

__all__ = (
    'AskQuery',
    'ConfigLease',
    'ControlRefused',
    'OrderBatch',
    'ProposeCommand',
    'QueryAnswer',
    'RenewConfigLease',
    'ReportBatch',
    'CommandOutcome',
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
    """

    call_id: int
    entry: str
    incarnation: int
    version: int
    address: str


class ConfigLease(records.Record, tag='cg'):
    """Grants a configuration lease for ``lease_ms`` from the request.

    Attributes:
        version: newest agreed version; the lease holds for this one only.
        document: JSON of the configuration, empty if the entry has it.
        lease_ms: duration, zero if the entry is not admitted.
    """

    call_id: int
    version: int
    document: bytes
    lease_ms: int


class ReportBatch(records.Record, tag='cw'):
    """Worker reports that an entry fanned in."""

    call_id: int
    entry: str
    reports: list[_workers.WorkerReport]


class OrderBatch(records.Record, tag='cx'):
    """Orders for the workers of one ``ReportBatch``."""

    call_id: int
    orders: list[_workers.WorkerOrders]


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
)
