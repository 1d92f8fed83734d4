"""Workers and what runs on them, as the leader sees them."""

import collections

from fuchsiatrestle import logs
from fuchsiatrestle.state import workflows
from fuchsiatrestle.workflows import _clock

__all__ = ('Fleet', 'Phase', 'Room', 'Run', 'Worker', 'describe')

READY = 'ready'
# Announcements that may be missed before nothing new is placed on a worker.
MISSED_ANNOUNCEMENTS = 3
RETRY_MIN_MS = 100
RETRY_MAX_MS = 1000
# Time for which a worker that refused or failed to answer gets nothing new.
REST_MS = 1500

LOG = logs.get_logger(__name__)


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


class Room:
    """Capacity of a worker and what its runs hold of it.

    A run that fills reserves no processor time; how much it would use is
    kept apart.

    Args:
        record: the ``WorkerRecord``.

    Attributes:
        free_cpu: processor time not reserved, in thousandths of a core.
        free_memory_mb: memory not reserved, in MiB.
        free_accelerators: accelerators not reserved.
        filling_cpu: processor time wanted by runs that fill.
        serving: number of runs with a tail target by image.
        serving_cpu: processor time reserved by them.
    """

    __slots__ = (
        '_steps',
        'filling_cpu',
        'free_accelerators',
        'free_cpu',
        'free_memory_mb',
        'serving',
        'serving_cpu',
    )

    def __init__(self, record):
        self.free_cpu = record.cpu
        self.free_memory_mb = record.memory_mb
        self.free_accelerators = record.accelerators
        self.filling_cpu = 0
        self.serving = collections.Counter()
        self.serving_cpu = 0
        self._steps = collections.Counter()

    def fits(self, step):
        """True if one more task of a step keeps within the capacity."""
        if step.memory_mb > self.free_memory_mb:
            return False
        if step.accelerators > self.free_accelerators:
            return False
        return step.fills or step.cpu <= self.free_cpu

    def count(self, task):
        """Returns how many tasks of the step of a task hold room."""
        return self._steps[_step_key(task)]

    def serving_images(self):
        """Returns the images of the runs with a tail target."""
        return {image for image, count in self.serving.items() if count}

    def take(self, run):
        """Reserves the room of a run."""
        self._change(run, 1)

    def give_back(self, run):
        """Frees the room of a run."""
        self._change(run, -1)

    def _change(self, run, sign):
        self._steps[_step_key(run.live.task)] += sign
        step = run.step
        if step is None:
            return
        self.free_memory_mb -= sign * step.memory_mb
        self.free_accelerators -= sign * step.accelerators
        if run.serves:
            self.serving[step.image] += sign
            self.serving_cpu += sign * step.cpu
        if step.fills:
            self.filling_cpu += sign * step.cpu
        else:
            self.free_cpu -= sign * step.cpu


def _step_key(task):
    return task.workflow_id, task.occurrence, task.step


class Worker:
    """One life of a worker.

    Attributes:
        record: its ``WorkerRecord``.
        state: ``ready`` or ``draining``.
        heard_ms: when it announced itself last, None if never here.
        sequence: number of its newest announcement.
        withdrawn_ms: when it said that it leaves at once, or None.
        clock: ``LeaseClock``.
        fenced: True once it answered an order of this leader.
        looking: True while a look waits for its answer.
        failures: orders in a row without an answer.
        rest_until_ms: nothing new is placed there before.
        look_ms: earliest time of the next look.
        looked_ms: when the look under way was sent.
        ends_taken: number of the newest end handed over to be agreed.
        ends_told: number of the newest end it was told to forget.
        runs: ``Run`` by task and run number.
        room: ``Room`` that the runs hold.
        pacing: ``PaceControl`` of the tasks that fill here, made when needed.
    """

    __slots__ = (
        'clock',
        'ends_taken',
        'ends_told',
        'failures',
        'fenced',
        'heard_ms',
        'look_ms',
        'looked_ms',
        'looking',
        'pacing',
        'record',
        'rest_until_ms',
        'room',
        'runs',
        'sequence',
        'state',
        'withdrawn_ms',
    )

    def __init__(self, record, clock):
        self.record = record
        self.state = READY
        self.heard_ms = None
        self.sequence = -1
        self.withdrawn_ms = None
        self.clock = clock
        self.fenced = False
        self.looking = False
        self.failures = 0
        self.rest_until_ms = 0
        self.look_ms = 0
        self.looked_ms = 0
        self.ends_taken = record.ends_noted
        self.ends_told = record.ends_noted
        self.runs = {}
        self.room = Room(record)
        self.pacing = None

    @property
    def name(self):
        """Id of the worker."""
        return self.record.worker

    # Runs

    def add(self, run):
        """Takes a run, which holds room from now on."""
        self.runs[run.key] = run
        self.room.take(run)

    def drop(self, key):
        """Removes and returns a settled run, or None."""
        run = self.runs.pop(key, None)
        if run is not None:
            self.room.give_back(run)
        return run

    def change_record(self, record):
        """Takes another description of the same life."""
        self.record = record
        self.room = Room(record)
        for run in self.runs.values():
            self.room.take(run)

    # Health

    def is_usable(self, now_ms, announce_ms):
        """True if something new may be placed here."""
        if self.state != READY or self.heard_ms is None:
            return False
        if now_ms < self.rest_until_ms or self.failures:
            return False
        return now_ms - self.heard_ms <= MISSED_ANNOUNCEMENTS * announce_ms

    @property
    def serving_images(self):
        """Images of the serving tasks here."""
        return self.room.serving_images()

    @property
    def filling_images(self):
        """Images of the tasks that fill here."""
        return {run.step.image for run in self.runs.values() if run.fills}

    def note_answer(self):
        """Notes that it answered an order."""
        self.failures = 0

    def note_silence(self, now_ms):
        """Notes that an order got no answer; returns the time to wait."""
        self.failures += 1
        if self.failures == 1:
            LOG.warning(
                'worker_silent',
                extra={'worker': self.name, 'runs': len(self.runs)},
            )
        wait_ms = min(RETRY_MIN_MS * 2**self.failures, RETRY_MAX_MS)
        self.rest_until_ms = max(self.rest_until_ms, now_ms + REST_MS)
        return wait_ms

    def rest(self, now_ms):
        """Places nothing new here for a while."""
        self.rest_until_ms = max(self.rest_until_ms, now_ms + REST_MS)


class Fleet:
    """All workers by id.

    Args:
        timing: ``Timing``.
    """

    def __init__(self, timing):
        self._timing = timing
        self._workers = {}

    def __iter__(self):
        return iter(list(self._workers.values()))

    def get(self, name):
        """Returns the newest life of a worker, or None."""
        return self._workers.get(name)

    def adopt(self, record, now_ms):
        """Returns a worker that an earlier leader registered."""
        clock = self._clock(now_ms)
        worker = Worker(record, clock)
        self._workers[record.worker] = worker
        return worker

    def add(self, record):
        """Returns a new life of a worker, without any runs."""
        worker = Worker(record, self._clock(None))
        self._workers[record.worker] = worker
        return worker

    def remove(self, name):
        """Forgets a worker that has left."""
        self._workers.pop(name, None)

    def usable(self, pool, now_ms):
        """Returns the workers of a service that can take something new."""
        announce_ms = self._timing.announce_ms
        return [
            worker
            for worker in self._workers.values()
            if worker.record.pool == pool
            and worker.is_usable(now_ms, announce_ms)
        ]

    def _clock(self, since_ms):
        return _clock.LeaseClock(
            self._timing.lease_ms, self._timing.longest_lease_ms, since_ms
        )


def describe(announcement):
    """Returns the ``WorkerRecord`` of an announcement."""
    return workflows.WorkerRecord(
        announcement.worker,
        announcement.born_ms,
        announcement.address,
        announcement.pool,
        announcement.data_centre,
        announcement.cpu,
        announcement.memory_mb,
        announcement.accelerators,
        announcement.labels,
    )
