"""Commands about workflows, their runs and the configuration document."""

from fuchsiatrestle import records
from fuchsiatrestle.state import workflows

__all__ = (
    'CancelWorkflow',
    'PutDocument',
    'RecordProgress',
    'RunEnd',
    'RunLost',
    'SubmitWorkflow',
)


class PutDocument(records.Record, tag='put-document'):
    """Makes a whole configuration the current one if its version is higher.

    Attributes:
        document: what the system acts on.
        text: the operator's own form of it, compressed, for reading back.
    """

    document: workflows.Document
    text: bytes


class SubmitWorkflow(records.Record, tag='submit-workflow'):
    """Submits a workflow; a resend under the same id changes nothing.

    Attributes:
        host: host that the caller named.
        path: path of the request: prefix of the queue and the id.
        spec: the workflow.
        submitted_ms: time since the epoch when the request came.
    """

    host: str
    path: str
    spec: workflows.WorkflowSpec
    submitted_ms: int


class CancelWorkflow(records.Record, tag='cancel-workflow'):
    """Cancels a workflow; its tasks are stopped.

    Attributes:
        host: host that the caller named.
        path: path of the request: prefix of the queue and the id.
        cancelled_ms: time since the epoch when the request came.
    """

    host: str
    path: str
    cancelled_ms: int = 0


class RunEnd(records.Record, tag='end'):
    """An end that a worker has listed.

    Attributes:
        worker: id of the worker.
        born_ms: start of the worker's process.
        number: position in the worker's list of ends, from 1.
        task: the task.
        run: number of the run.
        how: ``done``, ``failed``, ``stopped``, ``lapsed``, ``broken`` (another
            member of the gang ended) or ``alone`` (its gang never met).
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
    """A run that certainly is not going on and never will again.

    Attributes:
        task: the task.
        run: number of the run.
        checkpoint: newest saved progress known, or empty.
        reason: why it is certain, for the log.
    """

    task: workflows.TaskId
    run: int
    checkpoint: str
    reason: str


class RecordProgress(records.Record, tag='progress'):
    """What the leader learnt and decided since its last command.

    Applied in the order of the fields.

    Attributes:
        token: identifies the command to its proposer.
        now_ms: time since the epoch at the proposer.
        workers: workers seen for the first time in this life.
        ends: ends listed by workers.
        lost: runs settled without an end.
        placed: runs to be started next.
        learned: pairs of images of which something else is believed now.
    """

    token: int
    now_ms: int
    workers: list[workflows.WorkerRecord] = []
    ends: list[RunEnd] = []
    lost: list[RunLost] = []
    placed: list[workflows.LiveRun] = []
    learned: list[workflows.ImagePair] = []


KINDS = (PutDocument, SubmitWorkflow, CancelWorkflow, RecordProgress)
