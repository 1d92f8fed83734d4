"""Outcomes: what applying a command answered.

An outcome is a function of the log alone, so a resent command can be given
the first outcome by any later leader.
"""

from fuchsiatrestle import records

__all__ = (
    'CODEC',
    'ClaimAnswer',
    'ClaimOutcomes',
    'ConfigAccepted',
    'ConfigConflict',
    'Done',
    'Invalid',
    'JobOutcome',
    'JobOutcomes',
    'WorkflowOutcome',
)


class Done(records.Record, tag='done'):
    """The command was applied; there is nothing else to say."""


class Invalid(records.Record, tag='invalid'):
    """The command was refused whole and changed nothing.

    Attributes:
        reason: machine-readable reason.
        field: dotted path of the offending field, empty if none.
        detail: one line for people.
    """

    reason: str
    field: str
    detail: str


class ConfigAccepted(records.Record, tag='accepted'):
    """The patch became ``version``; ``repeated`` marks a resent patch."""

    version: int
    repeated: bool = False


class ConfigConflict(records.Record, tag='conflict'):
    """The patch builds on another version than ``current``."""

    base: int
    current: int
    repeated: bool = False


class JobOutcome(records.Record, tag='jo'):
    """Outcome for one job of a batch.

    Attributes:
        state: state of the job after the command, empty if refused.
        reason: empty, or why it was refused: ``spec_differs``,
            ``impossible``, ``unknown_team``, ``unknown_job``, ``over_quota``,
            ``stale``, ``queue_full``, ``invalid_spec``, ``not_queued``,
            ``not_parked``, ``unknown_worker``, ``wrong_incarnation``,
            ``wrong_attempt``, ``wrong_checkpoint``, ``over_capacity``,
            ``may_have_run``.
        repeated: True if the job was already known.
        detail: one line for people.
    """

    job_id: str
    state: str
    reason: str = ''
    repeated: bool = False
    detail: str = ''


class JobOutcomes(records.Record, tag='jobs'):
    """Outcomes in the order of the command."""

    jobs: list[JobOutcome]


class ClaimAnswer(records.Record, tag='ca'):
    """Outcome for one claim.

    Attributes:
        state: ``granted`` (dispatch it), ``held`` (another entry has it),
            ``done`` (status and answer follow), ``unknown`` (may have run),
            ``mismatch`` (same key, other request), ``expired`` (key older
            than the window, it may have run) or ``overloaded`` (too many
            claims are held, certainly not run).
    """

    key: str
    state: str
    status: int = 0
    answer: bytes = b''


class ClaimOutcomes(records.Record, tag='claims'):
    """Answers in the order of the command."""

    claims: list[ClaimAnswer]


class WorkflowOutcome(records.Record, tag='workflow'):
    """Outcome for one workflow.

    Attributes:
        state: ``queued``, ``running``, ``completed``, ``failed`` or
            ``cancelled``; empty if refused.
        reason: empty, or why it was refused: ``no_document``, ``no_queue``,
            ``no_workflow``.
    """

    state: str
    reason: str = ''


CODEC = records.Codec(
    Done,
    Invalid,
    ConfigAccepted,
    ConfigConflict,
    JobOutcomes,
    ClaimOutcomes,
    WorkflowOutcome,
)
