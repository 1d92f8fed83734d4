"""A run of a task, as the leader knows it."""

from fuchsiatrestle.workflows import _pace_limits

__all__ = (
    'STEP_KINDS',
    'Phase',
    'Run',
    'format_task_id',
    'make_step_key',
    'step_kind',
)

# Kinds of steps, as log lines name them.
STEP_KINDS = ('best_effort', 'batch', 'long_running')

# Pace of a run while other runs use the processor time that it needs.
SHARED_PACE_PERCENT = 10
# Time from which on the next processor time that gets free is left to it.
MAX_SHARED_MS = 5000


class Phase:
    """Phase of a run, from its placement to its end."""

    PLACED = 'placed'  # proposed, not yet agreed
    STARTING = 'starting'
    RUNNING = 'running'
    STOPPING = 'stopping'


class Run:
    """A run on a worker; it reserves capacity until it has ended or is lost.

    Times are monotonic, in milliseconds.

    Args:
        live_run: its ``LiveRun``.
        step: its ``Step``, None if the workflow is not known.
        phase: one of ``Phase``.

    Attributes:
        live_run: its ``LiveRun``.
        step: its ``Step``, None if the workflow is not known.
        phase: one of ``Phase``.
        adopted: True if an earlier leader placed it.
        adopted_suspected: True if an earlier leader placed it although its
            task may have crashed another worker.
        adopted_soon: True if an earlier leader placed it shortly before this
            one took over.
        start_uncertain: True if a start order may still arrive at the worker:
            the order got no reply, was pending when the run was to be
            stopped, or is not known to this leader.
        starts_alone: True if no other run may start on its worker before this
            one has shown to be harmless.
        start_sent_ms: when this leader first ordered its start, None before.
        starts_over_ms: time by which the start orders for it had arrived, if
            at all, none of which waits for its reply; None if that is not
            known.  A process that starts later gets none of them.
        earlier_start_outcome: ``StartOutcome`` on a process of the worker that
            has ended, if a later one has to refuse the run, or empty.
        start_lease_end_ms: latest end of a lease in its start orders, by the
            clock of the present process of its worker; None before the first.
            The worker refuses them once it has passed.
        earlier_lease_end_ms: end of the lease in start orders for an earlier
            process that may still reach the worker, by its clock; None if
            there are none.
        pending_order: the newest order about the run while it waits for its
            reply, or None.
        is_listed: True once the present process of its worker has listed it.
        next_order_ms: earliest time of the next order about the run.
        started_ms: when its start was accepted or the worker first listed it
            as running, None until then.
        started_clock_ms: worker's clock at that time, None if not known.
        stopped_ms: when its stop was accepted, None until then.
        survival_recorded: True once it was checked, after it had shown to be
            harmless, whether its task was suspected.
        checkpoint: newest saved progress that the worker listed, or empty.
        progress_percent: share of its work that is done, in percent, as
            listed last.
        measurement: tail latency in ms of a serving run, or processor time in
            use in thousandths of a core, as listed last; None until the
            worker has listed one.
        pace_percent: pace that the worker accepted last, None if that is not
            known to this leader.
        wanted_pace_percent: pace that the run should have.
        stops_once_halted: True if it is to be stopped as soon as its worker
            has halted it, as it is known to interfere.
        halt_wanted_ms: when it was last decided to halt the run, 0 before.
        is_pace_limited: True for a best-effort run that was placed although it
            may disturb the serving tasks on its worker.
        shares_cpu: True for a best-effort run that was placed although other
            best-effort runs use the processor time that it needs.
        claims_cpu: True once no other best-effort run may be placed in the
            processor time that a run which shares it needs.
    """

    __slots__ = (
        'adopted',
        'adopted_soon',
        'adopted_suspected',
        'checkpoint',
        'claims_cpu',
        'earlier_lease_end_ms',
        'earlier_start_outcome',
        'halt_wanted_ms',
        'is_listed',
        'is_pace_limited',
        'live_run',
        'measurement',
        'next_order_ms',
        'pace_percent',
        'pending_order',
        'phase',
        'progress_percent',
        'shares_cpu',
        'start_lease_end_ms',
        'start_sent_ms',
        'starts_over_ms',
        'starts_alone',
        'start_uncertain',
        'started_clock_ms',
        'started_ms',
        'step',
        'stopped_ms',
        'stops_once_halted',
        'survival_recorded',
        'wanted_pace_percent',
    )

    def __init__(self, live_run, step, phase):
        self.live_run = live_run
        self.step = step
        self.phase = phase
        self.adopted = False
        self.adopted_soon = False
        self.adopted_suspected = False
        self.start_uncertain = False
        self.pending_order = None
        self.is_listed = False
        self.next_order_ms = 0
        self.starts_alone = False
        self.start_sent_ms = None
        self.start_lease_end_ms = None
        self.starts_over_ms = None
        self.earlier_start_outcome = ''
        self.earlier_lease_end_ms = None
        self.started_ms = None
        self.started_clock_ms = None
        self.stopped_ms = None
        self.survival_recorded = False
        self.checkpoint = ''
        self.progress_percent = 0
        self.measurement = None
        self.pace_percent = 100
        self.wanted_pace_percent = 100
        self.halt_wanted_ms = 0
        self.stops_once_halted = False
        self.is_pace_limited = False
        self.shares_cpu = False
        self.claims_cpu = False

    def record_start(self, now_ms, worker_clock_ms):
        """Records that the worker accepted its start or lists it as running.

        Args:
            now_ms: monotonic time.
            worker_clock_ms: the worker's clock, None if not known.
        """
        self.started_ms = now_ms
        if self.started_clock_ms is None:
            self.started_clock_ms = worker_clock_ms

    def record_listing(self, now_ms, worker_clock_ms):
        """Records that the present process of the worker lists the run.

        Args:
            now_ms: monotonic time.
            worker_clock_ms: the worker's clock.
        """
        if self.is_listed:
            return
        self.is_listed = True
        # An earlier process has not crashed under it, as it started later.
        self.earlier_start_outcome = ''
        self.record_start(now_ms, worker_clock_ms)

    @property
    def key(self):
        """Task id and run number."""
        return self.live_run.task, self.live_run.run

    @property
    def is_dispatched(self):
        """True once its placement is agreed: the worker may know of it."""
        return self.phase != Phase.PLACED

    @property
    def is_start_pending(self):
        """True while a start order waits for its reply."""
        return self.phase == Phase.STARTING and self.pending_order is not None

    @property
    def has_unanswered_start(self):
        """True if this leader ordered its start and got no answer."""
        return self.start_sent_ms is not None and self.started_ms is None

    @property
    def is_serving(self):
        """True if its tail latency has a target."""
        return self.step is not None and self.step.tail_target_ms > 0

    def want_halt(self, now_ms):
        """Decides that the run is halted.

        Args:
            now_ms: monotonic time.
        """
        if self.wanted_pace_percent:
            self.wanted_pace_percent = 0
            self.halt_wanted_ms = now_ms

    def limit_pace(self):
        """Limits its pace from its start on."""
        self.is_pace_limited = True
        self.wanted_pace_percent = _pace_limits.INITIAL_PERCENT

    def share_cpu(self):
        """Limits its pace until no other run uses its processor time."""
        self.shares_cpu = True
        self.wanted_pace_percent = SHARED_PACE_PERCENT

    def end_cpu_sharing(self):
        """Lets it run at its full pace, unless it is halted."""
        self.shares_cpu = False
        self.claims_cpu = False
        if self.wanted_pace_percent:
            self.wanted_pace_percent = _pace_limits.MAX_PERCENT

    def is_claim_due(self, now_ms):
        """True if it has shared processor time for long enough.

        Args:
            now_ms: monotonic time.
        """
        if self.started_ms is None:
            return False
        return now_ms - self.started_ms >= MAX_SHARED_MS

    @property
    def takes_cpu(self):
        """True if a best-effort run counts for the time that others leave."""
        if self.is_pace_limited:
            return False
        return not self.shares_cpu or self.claims_cpu

    @property
    def is_best_effort(self):
        """True if it uses only processor time that others leave."""
        return self.step is not None and self.step.fills


def format_task_id(task_id):
    """Returns occurrence, step and index of a task id, for log lines."""
    return f'{task_id.occurrence}.{task_id.step}.{task_id.index}'


def make_step_key(task_id):
    """Returns a key that is equal for the tasks of one step and occurrence."""
    return task_id.workflow_id, task_id.occurrence, task_id.step


def step_kind(step):
    """Returns the kind of a step's tasks, for log lines."""
    if step.fills:
        return 'best_effort'
    return 'long_running' if step.lasts else 'batch'
