"""Events that the scheduler handles and effects that it returns."""

from fuchsiatrestle import core

__all__ = (
    'AnswerReports',
    'CommandApplied',
    'ProposalRejected',
    'ProposeBatch',
    'ReportsReceived',
    'SetGauges',
    'Tick',
)


# Events


class ReportsReceived(core.Value):
    """Reports of several workers, forwarded together by one entry.

    Attributes:
        entry: name of the entry.
        call_id: id of the entry's ``ReportBatch`` call, for the answer.
        reports: list of ``messages.WorkerReport``.
    """

    __slots__ = ('call_id', 'entry', 'reports')

    def __init__(self, entry, call_id, reports):
        self.entry = entry
        self.call_id = call_id
        self.reports = reports


class CommandApplied(core.Value):
    """A command was applied to the replicated state, whoever proposed it.

    Attributes:
        command: the command, a record of ``state.commands``.
        outcome: its outcome, a record of ``state.outcomes``.
    """

    __slots__ = ('command', 'outcome')

    def __init__(self, command, outcome):
        self.command = command
        self.outcome = outcome


class ProposalRejected(core.Value):
    """A ``ProposeBatch`` was refused a place in the log for good.

    Attributes:
        token: token of the proposal.
        reason: reason of the ``agreement.RequestRejected``.
    """

    __slots__ = ('reason', 'token')

    def __init__(self, token, reason):
        self.token = token
        self.reason = reason


class Tick(core.Value):
    """Time has passed; sent every ``Policy.tick_ms`` or more often.

    Attributes:
        wall_ms: wall-clock milliseconds since the epoch, to tell for how long
            jobs have waited under earlier leaders; 0 if unknown.
    """

    __slots__ = ('wall_ms',)

    def __init__(self, wall_ms=0):
        self.wall_ms = wall_ms


# Effects


class ProposeBatch(core.Value):
    """Asks the caller to propose a command to the replicated log.

    Attributes:
        token: identifies the proposal in ``ProposalRejected``.
        command: a record of ``state.commands``.
    """

    __slots__ = ('command', 'token')

    def __init__(self, token, command):
        self.token = token
        self.command = command


class AnswerReports(core.Value):
    """Asks the caller to answer a ``ReportBatch`` with an ``OrderBatch``.

    Before the answer is sent, a quorum must have confirmed the leadership in
    a round that began after the ``ReportsReceived`` event; see the package's
    docstring.

    Attributes:
        entry: name of the entry to answer.
        call_id: id of the call to answer.
        worker_orders: list of ``messages.WorkerOrders``, one for each report
            that was not out of date.
    """

    __slots__ = ('call_id', 'entry', 'worker_orders')

    def __init__(self, entry, call_id, worker_orders):
        self.entry = entry
        self.call_id = call_id
        self.worker_orders = worker_orders


class SetGauges(core.Value):
    """Asks the caller to set gauges of the process.

    Attributes:
        value_by_gauge: values by the gauges' declared names.
    """

    __slots__ = ('value_by_gauge',)

    def __init__(self, value_by_gauge):
        self.value_by_gauge = value_by_gauge
