"""Commands about workflows, their runs and the configuration document."""

from fuchsiatrestle import records
from fuchsiatrestle.state.commands import _starts
from fuchsiatrestle.state import workflows

__all__ = (
    'CancelWorkflow',
    'PutDocument',
    'RecordProgress',
    'RefuseWorkflow',
    'RunEnd',
    'RunLost',
    'SubmitWorkflow',
)


class PutDocument(records.Record, tag='put-document'):
    """Replaces the configuration document if the new version is higher.

    Attributes:
        document: the decoded document, which is used for decisions.
        text: the document as sent by the operator, compressed; it is returned
            to operators who read the configuration.
    """

    document: workflows.Document
    text: bytes


class SubmitWorkflow(records.Record, tag='submit-workflow'):
    """Submits a workflow; a resend with the same id changes nothing.

    Attributes:
        host: host of the caller's request.
        path: path of the request: prefix of the queue and workflow id.
        spec: the workflow.
        submitted_ms: time when the request was received, since the epoch.
    """

    host: str
    path: str
    spec: workflows.WorkflowSpec
    submitted_ms: int


class RefuseWorkflow(records.Record, tag='refuse-workflow'):
    """Refuses a submission in place of accepting it.

    It is refused for want of capacity, or of a queue for its path.  If the
    workflow was accepted before, nothing is refused.

    Attributes:
        host: host of the caller's request.
        path: path of the request: prefix of the queue and workflow id.
        submitted_ms: time when the request was received, since the epoch.
        refused_ms: time at the leader, since the epoch.
        retry_after_ms: time after which the caller should try again.
        is_best_effort: True if best-effort tasks are short of capacity, else
            those that reserve processor time are.
    """

    host: str
    path: str
    submitted_ms: int
    refused_ms: int
    retry_after_ms: int
    is_best_effort: bool = False


class CancelWorkflow(records.Record, tag='cancel-workflow'):
    """Cancels a workflow; its tasks are stopped.

    Attributes:
        host: host of the caller's request.
        path: path of the request: prefix of the queue and workflow id.
        cancelled_ms: time when the request was received, since the epoch.
    """

    host: str
    path: str
    cancelled_ms: int = 0


class RunEnd(records.Record, tag='end'):
    """End of a run, as reported by its worker.

    Attributes:
        worker: id of the worker.
        born_ms: start time of the worker's process, since the epoch.
        number: position in the list of ended runs of that process, from 1.
        task: the task.
        run: number of the run.
        how: ``done``, ``failed``, ``stopped``, ``lapsed`` (the worker's lease
            ran out), ``broken`` (another member of the gang ended) or
            ``alone`` (the members of the gang never all ran together).
        checkpoint: saved progress, or empty.
    """

    worker: str
    born_ms: int
    number: int
    task: workflows.TaskId
    run: int
    how: str
    checkpoint: str


class RunLost(records.Record, tag='lost'):
    """Run that certainly is not executing and cannot start any more.

    Attributes:
        task: the task.
        run: number of the run.
        checkpoint: latest known saved progress, or empty.
        reason: why this is certain, for logging.
        start_outcome: one of ``StartOutcome``.
        never_ran: True if it is certain that the run has not executed at all.
    """

    task: workflows.TaskId
    run: int
    checkpoint: str
    reason: str
    start_outcome: str = _starts.StartOutcome.UNKNOWN
    never_ran: bool = False


class RecordProgress(records.Record, tag='progress'):
    """Observations and decisions of a leader since its last such command.

    The fields are applied in their order.

    Attributes:
        token: identifies the command to its proposer.
        now_ms: time at the proposer, since the epoch.
        workers: workers whose current process is seen for the first time, or
            whose records have changed.
        ends: ends of runs that workers reported.
        lost: runs that ended without a reported end.
        placed: runs to be started next.
        learned: pairs of images whose learned interference has changed.
        moved: live runs that a later process of their worker has started than
            the one that they were placed on.
        survived: live runs that have shown to be harmless, although their
            tasks may have crashed workers.
        begun: ids of workflows of which a worker has begun a run.
        heard: ids of workers that may get leases again.
        silent: ids of workers that get no lease from the proposal on, before
            it is agreed that they are heard.
    """

    token: int
    now_ms: int
    workers: list[workflows.WorkerRecord] = []
    ends: list[RunEnd] = []
    lost: list[RunLost] = []
    placed: list[workflows.LiveRun] = []
    learned: list[workflows.ImagePair] = []
    moved: list[workflows.LiveRun] = []
    survived: list[workflows.LiveRun] = []
    begun: list[str] = []
    heard: list[str] = []
    silent: list[str] = []


RECORD_CLASSES = (
    PutDocument,
    SubmitWorkflow,
    RefuseWorkflow,
    CancelWorkflow,
    RecordProgress,
)
