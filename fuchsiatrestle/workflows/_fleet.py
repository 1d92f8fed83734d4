"""Workers and what runs on them, as the leader sees them."""

from fuchsiatrestle import logs
from fuchsiatrestle.state import workflows
from fuchsiatrestle.workflows import _clock
from fuchsiatrestle.workflows import _room

__all__ = ('Fleet', 'Worker', 'describe')

READY = 'ready'
# Announcements that may be missed before nothing new is placed on a worker.
MISSED_ANNOUNCEMENTS = 3
RETRY_MIN_MS = 100
RETRY_MAX_MS = 1000
# Time for which a worker that refused or failed to answer gets nothing new.
REST_MS = 1500

LOG = logs.get_logger(__name__)


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
        self.room = _room.Room(record)
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
        self.room = _room.Room(record)
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
