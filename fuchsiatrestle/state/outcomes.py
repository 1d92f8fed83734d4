"""Outcomes: the results of applying commands.

An outcome is a function of the log alone, so any later leader can answer a
resent command with the outcome of its first delivery.
"""

from fuchsiatrestle import records

__all__ = (
    'CODEC',
    'ClaimAnswer',
    'ClaimOutcomes',
    'ConfigAccepted',
    'ConfigConflict',
    'Done',
    'EvacuationOutcome',
    'Invalid',
    'JobOutcome',
    'JobOutcomes',
    'WorkflowOutcome',
)


class Done(records.Record, tag='done'):
    """The command was applied; it has no other result."""


class Invalid(records.Record, tag='invalid'):
    """The whole command was refused and changed nothing.

    Attributes:
        reason: identifier of the reason, for programs.
        field: dotted path of the offending field, empty if none.
        detail: explanation in one line, for people.
    """

    reason: str
    field: str
    detail: str


class ConfigAccepted(records.Record, tag='accepted'):
    """The patch or document was accepted.

    Attributes:
        version: version that the patch became; for a whole document, the
            version that is current afterwards.
        repeated: True if the command changed nothing, because the patch was
            accepted before or the document is not newer.
    """

    version: int
    repeated: bool = False


class ConfigConflict(records.Record, tag='conflict'):
    """The patch was refused, as its base is not the current version.

    Attributes:
        base: version that the patch was made for.
        current: current version when the patch was first refused.
        repeated: True if the patch is a resend.
    """

    base: int
    current: int
    repeated: bool = False


class JobOutcome(records.Record, tag='jo'):
    """Outcome for one job of a command.

    Attributes:
        job_id: identifier of the job.
        state: state of the job after the command, empty if refused.
        reason: empty, or why it was refused: ``spec_differs``,
            ``impossible``, ``unknown_team``, ``unknown_job``, ``over_quota``,
            ``stale``, ``queue_full``, ``invalid_spec``, ``not_queued``,
            ``not_parked``, ``unknown_worker``, ``wrong_incarnation``,
            ``wrong_attempt``, ``wrong_checkpoint``, ``over_capacity``,
            ``may_have_run``.
        repeated: True if the command was a resend or came too late, and
            changed nothing.
        detail: explanation in one line, for people.
    """

    job_id: str
    state: str
    reason: str = ''
    repeated: bool = False
    detail: str = ''


class JobOutcomes(records.Record, tag='jobs'):
    """Outcome for each job or attempt, in the order of the command."""

    jobs: list[JobOutcome]


class ClaimAnswer(records.Record, tag='ca'):
    """Outcome for one claim.

    Attributes:
        key: the idempotency key.
        state: ``granted`` (the entry may dispatch the request), ``held`` (the
            key was granted to another batch or entry process and the request
            has not finished), ``done`` (the request has finished; status and
            answer are set), ``unknown`` (the request may have run),
            ``mismatch`` (the key was used for another request), ``expired``
            (the claim is no longer stored, the request may have run, or the
            batch or process is out of date) or ``overloaded`` (too many
            claims are held or the key is too long; certainly not run).
        status: HTTP status of the finished request, 0 if there is none.
        answer: stored answer, empty if none was stored.
    """

    key: str
    state: str
    status: int = 0
    answer: bytes = b''


class ClaimOutcomes(records.Record, tag='claims'):
    """Outcome for each claim, in the order of the command."""

    claims: list[ClaimAnswer]


class WorkflowOutcome(records.Record, tag='workflow'):
    """Outcome of submitting or cancelling a workflow.

    Attributes:
        state: ``queued``, ``running``, ``completed``, ``failed`` or
            ``cancelled``; empty if refused.
        reason: empty, or why it was refused: ``no_document``, ``no_queue``,
            ``no_workflow``, ``overloaded``, ``cancelled`` (it was cancelled
            before it was submitted).
        retry_after_ms: time after which a submission refused as
            ``overloaded`` or ``cancelled`` should be repeated, 0 if not
            known.
    """

    state: str
    reason: str = ''
    retry_after_ms: int = 0


class EvacuationOutcome(records.Record, tag='evacuation'):
    """Outcome of starting or ending an evacuation.

    Attributes:
        data_centre: name of the data centre.
        evacuated: True if it is evacuated afterwards.
        order_count: number of the agreed orders about it afterwards.
        repeated: True if the command changed nothing, as other orders were
            agreed since it arrived; one of them may be the same order.
        superseded: True if it was not accepted, before or now, and the order
            agreed last is of the other kind.
    """

    data_centre: str
    evacuated: bool
    order_count: int
    repeated: bool = False
    superseded: bool = False


CODEC = records.Codec(
    Done,
    Invalid,
    ConfigAccepted,
    ConfigConflict,
    JobOutcomes,
    ClaimOutcomes,
    WorkflowOutcome,
    EvacuationOutcome,
)
