"""Queries: linearizable reads of the agreed state.

Queries and their results are records; ``CODEC`` encodes both.
"""

from fuchsiatrestle import records

__all__ = (
    'CODEC',
    'ConfigDocument',
    'ConfigHistory',
    'ConfigVersion',
    'CounterList',
    'DocumentText',
    'EvacuationList',
    'EvacuationView',
    'GetConfig',
    'GetConfigHistory',
    'GetCounters',
    'GetDocument',
    'GetEvacuations',
    'GetJob',
    'GetJobReason',
    'GetStatus',
    'GetWorkers',
    'JobList',
    'JobReason',
    'JobView',
    'ListJobs',
    'LookUpPath',
    'NotFound',
    'PendingCount',
    'StatusView',
    'WorkerList',
    'WorkerView',
    'WorkflowState',
)


class NotFound(records.Record, tag='none'):
    """The queried item does not exist.

    Attributes:
        what: name of the item.
    """

    what: str


class GetConfig(records.Record, tag='config?'):
    """Requests one version of the configuration; 0 is the current one."""

    version: int = 0


class ConfigDocument(records.Record, tag='config'):
    """One version of the configuration.

    Attributes:
        version: number of the version.
        document: the document as canonical JSON bytes.
    """

    version: int
    document: bytes


class GetConfigHistory(records.Record, tag='history?'):
    """Requests the latest ``limit`` accepted patches."""

    limit: int = 20


class ConfigVersion(records.Record, tag='cv'):
    """Accepted patch of the configuration.

    Attributes:
        version: version that the patch became.
        patch_id: identifier chosen by the operator.
        author: name of the operator, may be empty.
        patch: JSON merge patch, as bytes.
    """

    version: int
    patch_id: str
    author: str
    patch: bytes


class ConfigHistory(records.Record, tag='history'):
    """Accepted patches, latest first."""

    versions: list[ConfigVersion]


class GetJob(records.Record, tag='job?'):
    """Requests one job as operators see it."""

    job_id: str


class JobView(records.Record, tag='job'):
    """A job as operators see it.

    Attributes:
        job_id: identifier of the job.
        team: team that the job belongs to.
        job_class: class of the job, see ``commands.JobSpec``.
        priority: 0 (highest) to 9.
        state: ``queued``, ``placed``, ``running``, ``evicting``, ``done``,
            ``failed``, ``cancelled`` or ``parked``.
        attempt: number of the latest attempt, 0 before the first.
        worker: name of the worker of the latest attempt, or empty.
        checkpoint: number of the last agreed checkpoint, 0 for none.
        reason: why the job is parked, ended or still queued; may be empty.
        history: one line for each attempt event, oldest first.
    """

    job_id: str
    team: str
    job_class: str
    priority: int
    state: str
    attempt: int = 0
    worker: str = ''
    checkpoint: int = 0
    reason: str = ''
    history: list[str] = []


class GetJobReason(records.Record, tag='why?'):
    """Asks the leader's scheduler why a job is in its current state."""

    job_id: str


class JobReason(records.Record, tag='why'):
    """Explanation of the state of a job.

    Attributes:
        job_id: identifier of the job.
        state: state of the job.
        lines: the reasons, one a line, most important first.
    """

    job_id: str
    state: str
    lines: list[str]


class ListJobs(records.Record, tag='jobs?'):
    """Requests one page of jobs in the order of their identifiers.

    Attributes:
        state: state of the jobs, empty for all.
        team: team of the jobs, empty for all.
        after: last identifier of the previous page, empty for the first page.
        limit: maximum number of jobs on the page.
    """

    state: str = ''
    team: str = ''
    after: str = ''
    limit: int = 100


class JobList(records.Record, tag='jobs'):
    """One page of jobs.

    Attributes:
        jobs: the jobs.
        next_after: value of ``ListJobs.after`` for the next page, empty on
            the last page.
    """

    jobs: list[JobView]
    next_after: str = ''


class GetStatus(records.Record, tag='status?'):
    """Requests the status of the control replicas, entries and jobs."""


class StatusView(records.Record, tag='status'):
    """Status of the replicas, entries and jobs as the leader sees it.

    Attributes:
        leader: name of the leader.
        term: number of the leader's election term.
        commit: index of the last committed log entry.
        applied: index of the last applied log entry.
        voters: names of the voting replicas.
        learners: names of the replicas without a vote.
        config_version: current configuration version.
        in_force: number of entries on which that version is in force.
        entries: number of entries with an unexpired lease.
        lagging: names of the entries with a lease that are not yet on the
            current version.
        jobs: number of jobs by state.
        everywhere: True if no entry can be serving under an older version.
    """

    leader: str
    term: int
    commit: int
    applied: int
    voters: list[str]
    learners: list[str]
    config_version: int
    in_force: int
    entries: int
    lagging: list[str]
    jobs: dict[str, int]
    everywhere: bool = False


class GetWorkers(records.Record, tag='workers?'):
    """Requests the workers that have reported to the leader."""


class WorkerView(records.Record, tag='w'):
    """One worker as the leader sees it.

    Attributes:
        worker: name of the worker.
        data_centre: name of its data centre.
        rack: name of its rack.
        state: ``ready``, ``leaving``, ``silent`` or ``quarantined``.
        attempts: number of attempts placed on the worker.
        reserved_cpu_milli: reserved processor time, in thousandths of a core.
        capacity_cpu_milli: processor capacity, in thousandths of a core.
        age_ms: time since the worker's last report.
    """

    worker: str
    data_centre: str
    rack: str
    state: str
    attempts: int
    reserved_cpu_milli: int
    capacity_cpu_milli: int
    age_ms: int


class WorkerList(records.Record, tag='workers'):
    """All workers known to the leader."""

    workers: list[WorkerView]


class GetCounters(records.Record, tag='counters?'):
    """Requests the counters and gauges of the leader's process."""


class CounterList(records.Record, tag='counters'):
    """Counters and gauges of one control replica since its start."""

    replica: str
    counters: dict[str, int]
    gauges: dict[str, float]


class GetDocument(records.Record, tag='document?'):
    """Requests the current workflow configuration document."""


class DocumentText(records.Record, tag='document'):
    """Current workflow configuration document.

    Attributes:
        version: number of the version.
        text: the document as sent by the operator, compressed.
    """

    version: int
    text: bytes


class LookUpPath(records.Record, tag='path?'):
    """Requests the workflow or queue that the path of a request names.

    Attributes:
        host: host of the caller's request.
        path: path of the request.
    """

    host: str
    path: str


class WorkflowState(records.Record, tag='workflow'):
    """State of a workflow.

    Attributes:
        state: see ``outcomes.WorkflowOutcome``.
    """

    state: str


class PendingCount(records.Record, tag='pending'):
    """Number of a queue's open workflows of which no run was placed yet."""

    pending: int


class GetEvacuations(records.Record, tag='evacuations?'):
    """Requests the data centres and whether they are evacuated."""


class EvacuationView(records.Record, tag='ev'):
    """One data centre.

    Attributes:
        data_centre: its name.
        evacuated: True if nothing is started on its workers.
        order_count: number of the agreed orders to start or to end it.
    """

    data_centre: str
    evacuated: bool
    order_count: int


class EvacuationList(records.Record, tag='evacuations'):
    """The data centres with an agreed order, and those that may get one.

    Attributes:
        evacuations: the data centres, sorted by name.
        offered: True if the leader offers evacuations.
        data_centres: names of those that the settings of the leader list.
    """

    evacuations: list[EvacuationView]
    offered: bool
    data_centres: list[str]

    def find_order_count(self, data_centre):
        """Returns the number of agreed orders about a data centre."""
        for view in self.evacuations:
            if view.data_centre == data_centre:
                return view.order_count
        return 0


CODEC = records.Codec(
    NotFound,
    GetConfig,
    ConfigDocument,
    GetConfigHistory,
    ConfigHistory,
    GetJob,
    JobView,
    GetJobReason,
    JobReason,
    ListJobs,
    JobList,
    GetStatus,
    StatusView,
    GetWorkers,
    WorkerList,
    GetCounters,
    CounterList,
    GetDocument,
    DocumentText,
    LookUpPath,
    WorkflowState,
    PendingCount,
    GetEvacuations,
    EvacuationList,
)
