"""Records of workflows, and of the queues that they are submitted to.

A workflow consists of steps, and each step consists of tasks, which run on
workers.  Each execution of a task is a run, and the runs of a task are
numbered from 1.
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
    """Group of equal tasks within a workflow.

    Attributes:
        count: number of tasks.
        cpu: reserved processor time of each task, in thousandths of a core.
        memory_mb: reserved memory of each task, in MiB.
        accelerators: number of reserved accelerators of each task.
        estimate_ms: declared run time of a task, a rough estimate.
        after: numbers of the earlier steps that must be done first.
        checkpoints: True if the tasks save their progress.
        gang: True if the tasks must run at the same time, under one run
            number.
        one_rack: True if a gang is slower when its workers are in several
            racks.
        label: label that the worker must have, or empty for any worker.
        data_rack: rack with the input data, or empty.
        most_per_worker: maximum number of tasks on one worker, 0 for no
            limit.
        copies: True if several runs of a task may execute in parallel.
        lasts: True if the tasks run until the workflow is cancelled.
        image: identifies what the tasks run; tasks with the same image are
            expected to behave alike.
        tail_target_ms: target for the tail latency of a lasting task that
            serves users, 0 for none.
        fills: True if the tasks reserve no processor time and use what the
            other tasks on their worker leave idle.
        may_miss: maximum number of tasks of a lasting step that the scheduler
            may stop at the same time.
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
    """Workflow as submitted by a caller.

    Attributes:
        payload: text passed to each task when it starts.
        steps: the steps, numbered from 0.
        occurrences: number of times that all steps are run, started at
            intervals of ``interval_ms``; 0 to run them once, without delay.
        first_due_ms: start time of the first occurrence, since the epoch.
        interval_ms: time between the starts of two occurrences.
    """

    payload: str
    steps: list[Step]
    occurrences: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0

    def due_ms(self, occurrence):
        """Returns the earliest start time of an occurrence.

        Args:
            occurrence: number of the occurrence, from 0.

        Returns:
            Milliseconds since the epoch; 0 if the workflow runs once.
        """
        if not self.occurrences:
            return 0
        return self.first_due_ms + occurrence * self.interval_ms


class TaskId(records.Record, tag='task'):
    """Identifier of a task.

    Attributes:
        workflow_id: id of the workflow.
        occurrence: number of the occurrence, from 0.
        step: number of the step, from 0.
        index: position of the task in its step, from 0.
    """

    workflow_id: str
    occurrence: int
    step: int
    index: int


class ImagePair(records.Record, tag='pair'):
    """Learned interference between the tasks of two images on one worker.

    Attributes:
        serving: image of tasks with a tail latency target.
        filling: image of tasks that use idle processor time.
        heavy: True if the filling tasks make the tail latency of the serving
            ones too high.
    """

    serving: str
    filling: str
    heavy: bool


class LiveRun(records.Record, tag='live'):
    """Run that may be executing.

    Attributes:
        task: the task.
        run: number of the run, from 1.
        worker: id of the worker.
        born_ms: start time of the worker's process, since the epoch.
        placed_ms: time at the leader that placed it, since the epoch.
        checkpoint: saved progress to resume from, or empty.  Only for the
            members of a gang, all of which resume from the same one.
    """

    task: TaskId
    run: int
    worker: str
    born_ms: int
    placed_ms: int = 0
    checkpoint: str = ''


class WorkerRecord(records.Record, tag='worker'):
    """Registered worker, with its address and capacity.

    Attributes:
        worker: id of the worker.
        born_ms: start time of its process, since the epoch; it identifies the
            process.
        address: ``IP:port`` to which orders are sent.
        pool: service that the worker belongs to.
        data_centre: name of its data centre.
        cpu: processor capacity, in thousandths of a core.
        memory_mb: memory capacity, in MiB.
        accelerators: number of accelerators.
        labels: its kind and its rack.
        ends_noted: number of the last ``RunEnd`` of this worker that was
            recorded.
        ended_born_ms: latest start time that an ended process of the worker
            has named, if it was followed by one that names an earlier start,
            else 0.
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
    ended_born_ms: int = 0


# Records of the configuration document


class AdviceTerms(records.Record, tag='advice'):
    """Durations for the advice on the placement of a step.

    Attributes:
        decision_ms: time that the decision takes, in milliseconds.
        per_worker_ms: time that it takes for each worker, in milliseconds.
        validity_ms: time for which the advice is valid, in milliseconds.
    """

    decision_ms: int
    per_worker_ms: int
    validity_ms: int


class Queue(records.Record, tag='queue'):
    """Queue to which callers submit workflows.

    Attributes:
        name: name of the queue.
        host: host that the requests name, without port.
        prefix: prefix of the paths of the requests.
        pool: service whose workers run the tasks.
        priority: 0 is the highest priority.
        max_failures: number of failed runs of a task after which its workflow
            fails.
        stretch: factor on the estimated length of the longest path through
            a workflow's steps; see ``target_ms``.
        target_ms: time added to ``stretch`` times that estimated length.  The
            sum is the objective: the time in which a workflow should be
            completed.
        timeout_ms: maximum time of a request.
        advice: durations for the placement advice, or None if no advice is
            needed.
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
    """Service with the workers that run its tasks.

    Attributes:
        name: name of the service.
        guarded: True if its workers refuse tasks that do not fit.
        standby: True if its VMs are switched off.
    """

    name: str
    guarded: bool
    standby: bool = False


class Document(records.Record, tag='document'):
    """Whole configuration of the queues and pools.

    Attributes:
        version: number chosen by the operator; the highest one is current.
        queues: the queues.
        pools: the pools.
    """

    version: int
    queues: list[Queue]
    pools: list[Pool]
