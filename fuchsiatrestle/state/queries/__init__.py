"""Queries: linearizable reads of the agreed state.

A query is a record; so is its result.  ``CODEC`` covers both.
"""

from fuchsiatrestle import records

__all__ = (
    'CODEC',
    'ConfigDocument',
    'ConfigHistory',
    'ConfigVersion',
    'CounterList',
    'DocumentText',
    'GetConfig',
    'GetConfigHistory',
    'GetCounters',
    'GetDocument',
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
    """The asked thing is not known."""

    what: str


class GetConfig(records.Record, tag='config?'):
    """Asks for one version, the current one with version 0."""

    version: int = 0


class ConfigDocument(records.Record, tag='config'):
    """One version of the configuration, as JSON."""

    version: int
    document: bytes


class GetConfigHistory(records.Record, tag='history?'):
    """Asks for the newest ``limit`` versions."""

    limit: int = 20


class ConfigVersion(records.Record, tag='cv'):
    """One accepted patch."""

    version: int
    patch_id: str
    author: str
    patch: bytes


class ConfigHistory(records.Record, tag='history'):
    """Accepted patches, newest first."""

    versions: list[ConfigVersion]


class GetJob(records.Record, tag='job?'):
    """Asks for one job."""

    job_id: str


class JobView(records.Record, tag='job'):
    """A job as operators see it.

    Attributes:
        state: ``queued``, ``placed``, ``running``, ``evicting``, ``done``,
            ``failed``, ``cancelled`` or ``parked``.
        attempt: number of the latest attempt, 0 before the first.
        worker: where the latest attempt is or was.
        checkpoint: last agreed checkpoint.
        reason: why it is parked, failed or still queued.
        history: one line an attempt event, oldest first.
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
    """Asks the leader's scheduler why a job stands where it does."""

    job_id: str


class JobReason(records.Record, tag='why'):
    """Explains a job, one line a fact, most important first."""

    job_id: str
    state: str
    lines: list[str]


class ListJobs(records.Record, tag='jobs?'):
    """Asks for jobs, by state and team if given, after ``after``."""

    state: str = ''
    team: str = ''
    after: str = ''
    limit: int = 100


class JobList(records.Record, tag='jobs'):
    """One page of jobs; ``next_after`` is empty on the last page."""

    jobs: list[JobView]
    next_after: str = ''


class GetStatus(records.Record, tag='status?'):
    """Asks for the leader's view of the group."""


class StatusView(records.Record, tag='status'):
    """Leader's view.

    Attributes:
        leader: name of the leader.
        term: its term.
        commit: committed log index.
        applied: applied log index.
        voters: names of voters.
        learners: names of learners.
        config_version: current configuration version.
        in_force: entries that have it in force.
        entries: entries with a lease that still runs.
        lagging: names of leased entries not yet on the current version.
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
    """Asks for the workers the leader has heard."""


class WorkerView(records.Record, tag='w'):
    """One worker as the leader sees it.

    Attributes:
        state: ``ready``, ``leaving``, ``silent`` or ``quarantined``.
        attempts: attempts placed there.
        reserved_cpu_milli: reserved processor time.
        capacity_cpu_milli: capacity in processor time.
        age_ms: time since its last report.
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
    """All workers the leader knows."""

    workers: list[WorkerView]


class GetCounters(records.Record, tag='counters?'):
    """Asks the leader's process for its own counters and gauges."""


class CounterList(records.Record, tag='counters'):
    """Counters and gauges of one control replica since its start."""

    replica: str
    counters: dict[str, int]
    gauges: dict[str, float]


class GetDocument(records.Record, tag='document?'):
    """Asks for the configuration document."""


class DocumentText(records.Record, tag='document'):
    """The operator's own form of the current document, compressed."""

    version: int
    text: bytes


class LookUpPath(records.Record, tag='path?'):
    """Asks for what a caller's path names: a workflow or a queue."""

    host: str
    path: str


class WorkflowState(records.Record, tag='workflow'):
    """State of a workflow, see ``outcomes.WorkflowOutcome``."""

    state: str


class PendingCount(records.Record, tag='pending'):
    """Workflows of a queue of which no task has started."""

    pending: int


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
)
