"""Records of workflows and of the queues they are submitted to.

A workflow is a job made of steps.  A step has tasks, which run on workers;
each start of a task is a run with a number of its own.
"""

from fuchsiatrestle import records

__all__ = (
    'AdviceTerms',
    'Document',
    'ImagePair',
    'LiveRun',
    'Pool',
    'Queue',
    'Step',
    'TaskId',
    'WorkerRecord',
    'WorkflowSpec',
)


class Step(records.Record, tag='step'):
    """Tasks of one kind within a workflow.

    Attributes:
        count: number of tasks.
        cpu: processor time each reserves, in thousandths of a core.
        memory_mb: memory each reserves, in MiB.
        accelerators: accelerators each reserves.
        estimate_ms: declared run time, a rough guess.
        after: numbers of earlier steps that must be done first.
        checkpoints: True if the tasks save their progress.
        gang: True if the tasks run only together, under one run number.
        one_rack: True if a gang is slower when spread over racks.
        label: label that the worker must have, or empty.
        data_rack: rack that holds the data, or empty.
        most_per_worker: largest number of tasks on one worker, 0 for any.
        copies: True if several runs of a task may go on in parallel.
        lasts: True if the tasks run until the workflow is cancelled.
        image: what the tasks run; tasks of one image behave alike.
        tail_target_ms: bound on the tail latency of a lasting task that
            serves users, 0 for none.
        fills: True if the tasks reserve no processor time and use what the
            others on their worker leave.
        may_miss: how many tasks of a lasting step the scheduler may have
            down at a time.
    """

    count: int
    cpu: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    estimate_ms: int = 0
    after: list[int] = []
    checkpoints: bool = False
    gang: bool = False
    one_rack: bool = False
    label: str = ''
    data_rack: str = ''
    most_per_worker: int = 0
    copies: bool = False
    lasts: bool = False
    image: str = ''
    tail_target_ms: int = 0
    fills: bool = False
    may_miss: int = 0


class WorkflowSpec(records.Record, tag='workflow'):
    """What a caller submits.

    Attributes:
        payload: text handed to each task at its start.
        steps: the steps, numbered from 0.
        occurrences: how many times the steps run; 0 for once, at once.
        first_due_ms: time since the epoch of the first occurrence.
        interval_ms: time between two occurrences.
    """

    payload: str
    steps: list[Step]
    occurrences: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0

    def due_ms(self, occurrence):
        """Returns the time since the epoch when an occurrence may start."""
        if not self.occurrences:
            return 0
        return self.first_due_ms + occurrence * self.interval_ms


class TaskId(records.Record, tag='task'):
    """Name of a task: workflow, occurrence, step and index in the step."""

    workflow_id: str
    occurrence: int
    step: int
    index: int


class ImagePair(records.Record, tag='pair'):
    """What a leader believes of two images on one worker.

    Attributes:
        serving: image of tasks with a tail target.
        filling: image of tasks that fill.
        heavy: True if the second drives the tails of the first too high.
    """

    serving: str
    filling: str
    heavy: bool


class LiveRun(records.Record, tag='live'):
    """A run that may be going on.

    Attributes:
        task: the task.
        run: number of the run, from 1.
        worker: id of the worker.
        born_ms: start of the worker's process, since the epoch.
    """

    task: TaskId
    run: int
    worker: str
    born_ms: int


class WorkerRecord(records.Record, tag='worker'):
    """What must be known of a worker to reach and judge it.

    Attributes:
        worker: id of the worker.
        born_ms: start of its process, since the epoch.
        address: ``IP:port`` that takes orders.
        pool: service that the worker belongs to.
        data_centre: where it is.
        cpu: capacity in thousandths of a core.
        memory_mb: capacity in MiB.
        accelerators: number of accelerators.
        labels: its kind and its rack.
        ends_noted: number of its last end that is recorded.
    """

    worker: str
    born_ms: int
    address: str
    pool: str
    data_centre: str
    cpu: int
    memory_mb: int
    accelerators: int
    labels: list[str]
    ends_noted: int = 0


# Configuration


class AdviceTerms(records.Record, tag='advice'):
    """How long advice on the placement of a step takes and holds, in ms."""

    decision_ms: int
    per_worker_ms: int
    validity_ms: int


class Queue(records.Record, tag='queue'):
    """Where callers submit workflows.

    Attributes:
        name: name of the queue.
        host: host of the requests, without port.
        prefix: what their path begins with.
        pool: service whose workers run the tasks.
        priority: 0 comes first.
        max_failures: failed runs after which a task has failed.
        stretch: factor on the longest chain of work in the objective.
        target_ms: allowance added in the objective.
        timeout_ms: time a request may take.
        advice: terms of the placement advice, or None if none is needed.
    """

    name: str
    host: str
    prefix: str
    pool: str
    priority: int
    max_failures: int
    stretch: float
    target_ms: int
    timeout_ms: int
    advice: AdviceTerms | None = None


class Pool(records.Record, tag='pool'):
    """A service and its workers.

    Attributes:
        name: name of the service.
        guarded: True if its workers refuse what does not fit.
        standby: True if its VMs are switched off.
    """

    name: str
    guarded: bool
    standby: bool = False


class Document(records.Record, tag='document'):
    """A whole configuration under the operator's number."""

    version: int
    queues: list[Queue]
    pools: list[Pool]
