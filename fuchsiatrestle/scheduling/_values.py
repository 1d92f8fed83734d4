"""Events that a scheduler takes and effects that it asks for."""

from fuchsiatrestle import core

__all__ = (
    'AnswerReports',
    'Applied',
    'ProposeBatch',
    'Rejected',
    'Reports',
    'SetGauges',
    'Tick',
)


# Events


class Reports(core.Value):
    """Worker reports that one entry fanned in.

    Attributes:
        entry: name of the entry.
        call_id: the entry's ``ReportBatch`` call.
        reports: list of ``messages.WorkerReport``.
    """

    __slots__ = ('call_id', 'entry', 'reports')

    def __init__(self, entry, call_id, reports):
        self.entry = entry
        self.call_id = call_id
        self.reports = reports


class Applied(core.Value):
    """A command was applied to the jobs part, whoever proposed it.

    Attributes:
        command: the command record.
        outcome: its outcome record.
    """

    __slots__ = ('command', 'outcome')

    def __init__(self, command, outcome):
        self.command = command
        self.outcome = outcome


class Rejected(core.Value):
    """A ``ProposeBatch`` got no place in the log and never will.

    Attributes:
        token: token of the proposal.
        reason: reason given by the agreement.
    """

    __slots__ = ('reason', 'token')

    def __init__(self, token, reason):
        self.token = token
        self.reason = reason


class Tick(core.Value):
    """Time has passed; sent every ``Policy.tick_ms`` or more often.

    Attributes:
        wall_ms: wall-clock milliseconds since the epoch, for deadlines only;
            0 if unknown.
    """

    __slots__ = ('wall_ms',)

    def __init__(self, wall_ms=0):
        self.wall_ms = wall_ms


# Effects


class ProposeBatch(core.Value):
    """Propose this command to the replicated log.

    Attributes:
        token: returned by ``Rejected``.
        command: a command record.
    """

    __slots__ = ('command', 'token')

    def __init__(self, token, command):
        self.token = token
        self.command = command


class AnswerReports(core.Value):
    """Answer a ``ReportBatch`` with an ``OrderBatch``.

    The leadership must have been confirmed by a quorum after the ``Reports``
    event came in and before this is sent; see the package documentation.
    """

    __slots__ = ('call_id', 'entry', 'orders')

    def __init__(self, entry, call_id, orders):
        self.entry = entry
        self.call_id = call_id
        self.orders = orders


class SetGauges(core.Value):
    """Set gauges of the process; ``values`` maps declared names."""

    __slots__ = ('values',)

    def __init__(self, values):
        self.values = values
