"""A run as the leader sees it."""

__all__ = ('Phase', 'Run', 'task_text')


class Phase:
    """Where a run is."""

    PLACED = 'placed'  # proposed, not yet agreed
    STARTING = 'starting'
    RUNNING = 'running'
    STOPPING = 'stopping'


class Run:
    """A run on a worker; it holds room until it is settled.

    Attributes:
        live: its ``LiveRun``.
        step: its ``Step``, None if the workflow is not known.
        phase: one of ``Phase``.
        adopted: True if an earlier leader placed it.
        unsure: True once a start got no answer; it may come late.
        calling: True while an order about it waits for its answer.
        retry_ms: earliest time of the next order about it.
        started_ms: when its start was accepted, None before.
        stopped_ms: when its stop was accepted, None before.
        checkpoint: newest saved progress that the worker listed.
        percent: progress that the worker listed last.
        figure: tail latency or processor time that it listed last.
        pace: share of its speed that it was told last, in percent.
        wanted_pace: share of its speed that it is to have.
    """

    __slots__ = (
        'adopted',
        'calling',
        'checkpoint',
        'figure',
        'live',
        'pace',
        'percent',
        'phase',
        'retry_ms',
        'started_ms',
        'step',
        'stopped_ms',
        'unsure',
        'wanted_pace',
    )

    def __init__(self, live, step, phase):
        self.live = live
        self.step = step
        self.phase = phase
        self.adopted = False
        self.unsure = False
        self.calling = False
        self.retry_ms = 0
        self.started_ms = None
        self.stopped_ms = None
        self.checkpoint = ''
        self.percent = 0
        self.figure = None
        self.pace = 100
        self.wanted_pace = 100

    @property
    def key(self):
        """Task and run number."""
        return self.live.task, self.live.run

    @property
    def is_active(self):
        """True if the worker may know of it."""
        return self.phase != Phase.PLACED

    @property
    def serves(self):
        """True if its tail latency has a target."""
        return self.step is not None and self.step.tail_target_ms > 0

    @property
    def fills(self):
        """True if it reserves no processor time."""
        return self.step is not None and self.step.fills


def task_text(task):
    """Returns occurrence, step and index of a task, for logs."""
    return f'{task.occurrence}.{task.step}.{task.index}'
