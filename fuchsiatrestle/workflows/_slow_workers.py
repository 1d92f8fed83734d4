"""Finds workers that have become slow, and gives them fewer tasks.

A worker may become several times slower for a while, and all that runs there
comes late.  Its announcements do not show that.  The progress of its runs
does, compared with that of runs alike on other workers.  As a task may be slow
by itself, a worker counts as slow only if runs of several workflows are slow.
"""

import bisect
import collections
import statistics

from fuchsiatrestle import logs
from fuchsiatrestle import metrics
from fuchsiatrestle.workflows import _policies
from fuchsiatrestle.workflows import _runs

__all__ = ('SlowWorkers',)

# Interval at which the workers are judged.  They list their runs as often.
CHECK_INTERVAL_MS = 1000
# A run is slow if it advances by less than this share of what its peers do.
SLOW_PACE = 0.5
# Numbers of runs on other workers from which the pace of a step or an image
# is known.
MIN_STEP_PEERS = 2
MIN_IMAGE_PEERS = 3
# Number of workflows whose runs have to be slow on a worker.
MIN_SLOW_WORKFLOWS = 2
# Spans over which a run is measured: the shortest one in which its peers
# advance by some points, as progress is listed in whole percent.
MIN_SPAN_MS = 1500
MAX_SPAN_MS = 15_000
MIN_ADVANCE_PERCENT = 5
# Time without new tasks for a slow worker; doubled after each retry in which
# it was still slow.  A task with a label may fit nowhere else meanwhile.
PAUSE_MS = 3000
MAX_PAUSE_MS = 12_000
# Number of runs that a worker may have in a retry beyond those that it has,
# and the time after which it has recovered if none of them is slow.
RETRY_RUNS = 2
RETRY_MS = 10_000
# Largest share of a service's workers that count as slow; one may in any case.
MAX_SLOW_WORKER_SHARE = 0.2

SLOW_WORKERS = metrics.declare(
    'workflows.slow_workers', 'Workers that get fewer tasks as they are slow.'
)

LOG = logs.get_logger(__name__)


class _SlowWorker:
    """Pauses and retries of a slow worker.

    Attributes:
        worker: the ``Worker``.
        is_paused: True if it gets no task, False during a retry.
        pause_ms: length of its latest pause.
        until_ms: end of the pause or of the retry.
        retried_ms: start of the latest retry, None before the first.
    """

    __slots__ = ('is_paused', 'pause_ms', 'retried_ms', 'until_ms', 'worker')

    def __init__(self, worker):
        self.worker = worker
        self.is_paused = False
        self.pause_ms = 0
        self.until_ms = 0
        self.retried_ms = None

    def pause(self, now_ms):
        """Starts a pause that is twice as long as the one before."""
        self.is_paused = True
        self.pause_ms = min(self.pause_ms * 2 or PAUSE_MS, MAX_PAUSE_MS)
        self.until_ms = now_ms + self.pause_ms

    def retry(self, now_ms):
        """Starts a retry, in which the worker may get few tasks."""
        self.is_paused = False
        self.retried_ms = now_ms
        self.until_ms = now_ms + RETRY_MS
        self.worker.max_run_count = len(self.worker.runs) + RETRY_RUNS


class _MeasuredRun:
    """A run whose pace is known.

    Attributes:
        run: the ``Run``.
        pace: its advance as a multiple of that of its peers.
    """

    __slots__ = ('pace', 'run')

    def __init__(self, run, pace):
        self.run = run
        self.pace = pace

    @property
    def is_slow(self):
        """True if it advances far slower than its peers."""
        return self.pace < SLOW_PACE


class _Judgement:
    """Tells from the measured runs of a worker whether it is slow.

    Args:
        measured_runs: list of ``_MeasuredRun``.

    Attributes:
        slow_runs: the ``Run`` values of the slow ones.
    """

    __slots__ = ('_measured_runs', 'slow_runs')

    def __init__(self, measured_runs):
        self._measured_runs = measured_runs
        self.slow_runs = [
            measured.run for measured in measured_runs if measured.is_slow
        ]

    @property
    def are_most_slow(self):
        """True if more than half of the measured runs are slow."""
        return 2 * len(self.slow_runs) > len(self._measured_runs)

    @property
    def is_worker_slow(self):
        """True if the slow runs can not be slow by themselves."""
        workflow_ids = {
            run.live_run.task.workflow_id for run in self.slow_runs
        }
        return self.are_most_slow and len(workflow_ids) >= MIN_SLOW_WORKFLOWS

    @property
    def is_worker_sound(self):
        """True if half of the measured runs, at least one, are not slow."""
        return bool(self._measured_runs) and not self.are_most_slow

    @property
    def pace(self):
        """Median pace of the measured runs against their peers, or None."""
        if not self._measured_runs:
            return None
        return round(
            statistics.median(
                measured.pace for measured in self._measured_runs
            ),
            2,
        )


class SlowWorkers(_policies.PlacementPolicy):
    """Keeps tasks off slow workers.

    Args:
        dispatch_state: ``DispatchState``.
    """

    def __init__(self, dispatch_state):
        self._dispatch_state = dispatch_state
        self._next_check_ms = dispatch_state.now_ms
        self._pace_meter = _PaceMeter(dispatch_state.workflow_store)
        # ``_SlowWorker`` by name.
        self._slow_workers = {}

    def may_use(self, worker):
        """Returns False for a slow worker in a pause."""
        slow_worker = self._slow_workers.get(worker.name)
        return slow_worker is None or not slow_worker.is_paused

    def acts_after_groups(self):
        """Returns False: it only keeps workers from the groups."""
        return False

    def start_round(self, ready_groups, wall_ms):
        """Judges all workers if that is due."""
        now_ms = self._dispatch_state.now_ms
        if now_ms < self._next_check_ms:
            return
        self._next_check_ms = now_ms + CHECK_INTERVAL_MS
        workers = list(self._dispatch_state.fleet)
        worker_counts = collections.Counter(
            worker.record.pool for worker in workers
        )
        slow_counts = collections.Counter(
            slow_worker.worker.record.pool
            for slow_worker in self._slow_workers.values()
        )
        measured_runs = self._pace_meter.measure(workers, self._slow_workers)
        for worker in workers:
            judgement = _Judgement(measured_runs.get(worker.name, []))
            if worker.name in self._slow_workers:
                self._update_slow_worker(worker, judgement, now_ms)
            elif judgement.is_worker_slow:
                pool = worker.record.pool
                if slow_counts[pool] < max(
                    1, int(MAX_SLOW_WORKER_SHARE * worker_counts[pool])
                ):
                    slow_counts[pool] += 1
                    self._slow_workers[worker.name] = _SlowWorker(worker)
                    self._pause(worker, judgement, now_ms)
        metrics.gauge(SLOW_WORKERS, len(self._slow_workers))

    def _update_slow_worker(self, worker, judgement, now_ms):
        slow_worker = self._slow_workers[worker.name]
        if slow_worker.worker is not worker:
            # Its process was started again.
            del self._slow_workers[worker.name]
        elif judgement.is_worker_sound:
            self._end_slowness(worker, judgement)
        elif slow_worker.is_paused:
            if now_ms >= slow_worker.until_ms:
                slow_worker.retry(now_ms)
                self._log('worker_retried', worker, judgement)
        elif self._has_failed_retry(slow_worker, judgement, now_ms):
            self._pause(worker, judgement, now_ms)
        elif now_ms >= slow_worker.until_ms:
            self._end_slowness(worker, judgement)

    @staticmethod
    def _has_failed_retry(slow_worker, judgement, now_ms):
        """True if the runs of a retry are slow, or all that was measured."""
        new_slow_runs = [
            run
            for run in judgement.slow_runs
            if run.started_ms >= slow_worker.retried_ms
        ]
        if len(new_slow_runs) >= RETRY_RUNS:
            return True
        return now_ms >= slow_worker.until_ms and bool(judgement.slow_runs)

    def _pause(self, worker, judgement, now_ms):
        slow_worker = self._slow_workers[worker.name]
        slow_worker.pause(now_ms)
        self._log(
            'worker_slow',
            worker,
            judgement,
            slow=len(judgement.slow_runs),
            pause_ms=slow_worker.pause_ms,
        )

    def _end_slowness(self, worker, judgement):
        worker.max_run_count = None
        del self._slow_workers[worker.name]
        self._log('worker_recovered', worker, judgement)

    @staticmethod
    def _log(event, worker, judgement, **fields):
        LOG.info(
            event,
            extra={
                'worker': worker.name,
                'pace': judgement.pace,
                'runs': len(worker.runs),
                **fields,
            },
        )


class _RunProgress:
    """Progress of a run as its worker has listed it.

    Attributes:
        run: the ``Run``.
        worker: its ``Worker``.
        step_key: equal for the runs of one step.
        samples: (time, progress in percent) pairs, the oldest first.
    """

    __slots__ = ('run', 'samples', 'step_key', 'worker')

    def __init__(self, worker, run):
        self.run = run
        self.worker = worker
        self.step_key = _runs.make_step_key(run.live_run.task)
        self.samples = []

    def update(self):
        """Adds the newest list as a sample and drops the old ones.

        The youngest sample that is older than the longest span stays.
        """
        listed_ms = self.worker.listed_ms
        if self.samples and self.samples[-1][0] >= listed_ms:
            return
        self.samples.append((listed_ms, self.run.progress_percent))
        first = bisect.bisect_right(self.samples, (listed_ms - MAX_SPAN_MS, 0))
        del self.samples[: max(0, first - 1)]

    def find_pace(self):
        """Returns the pace over all samples, None if they span too little."""
        span_ms = self.samples[-1][0] - self.samples[0][0]
        if span_ms < MIN_SPAN_MS:
            return None
        return (self.samples[-1][1] - self.samples[0][1]) / span_ms


class _PaceMeter:
    """Measures the paces of batch runs against those of their peers.

    A pace is an advance in percent per millisecond.

    Args:
        workflow_store: the part of the replicated state with the workflows.
    """

    def __init__(self, workflow_store):
        self._workflow_store = workflow_store
        # ``_RunProgress`` by ``id`` of its run, which it refers to.  Hashing
        # task ids takes most of the time otherwise.
        self._progress_by_run = {}

    def measure(self, workers, slow_names):
        """Returns lists of ``_MeasuredRun`` by name of the worker.

        Args:
            workers: all workers; the newest progress of their runs is
                recorded.
            slow_names: names of the slow workers.  Their runs go on when
                those of the peers have ended, and are then compared with the
                learned run time.
        """
        self._update_progress(workers)
        peers = _Peers()
        for progress in self._progress_by_run.values():
            peers.add_run(progress)
        measured_runs = {}
        for progress in self._progress_by_run.values():
            worker_name = progress.worker.name
            peer_pace = peers.find_pace(progress)
            if peer_pace is None and worker_name in slow_names:
                peer_pace = self._find_learned_pace(progress.run)
            pace = _find_relative_pace(progress.samples, peer_pace)
            if pace is not None:
                measured_runs.setdefault(worker_name, []).append(
                    _MeasuredRun(progress.run, pace)
                )
        return measured_runs

    def _find_learned_pace(self, run):
        """Returns the pace by the learned run time of its kind, or None."""
        task_id = run.live_run.task
        workflow = self._workflow_store.find_workflow(task_id.workflow_id)
        run_times = self._workflow_store.run_times
        if workflow is None:
            return None
        kind = workflow.queue.name, task_id.step, run.step
        if not run_times.has_samples(*kind):
            return None
        return 100 / run_times.estimate_ms(*kind)

    def _update_progress(self, workers):
        progress_by_run = {}
        for worker in workers:
            for run in worker.runs.values():
                if _is_measurable(run):
                    progress = self._progress_by_run.get(
                        id(run)
                    ) or _RunProgress(worker, run)
                    progress.update()
                    progress_by_run[id(run)] = progress
        self._progress_by_run = progress_by_run


class _Peers:
    """Paces of the runs of each step and image."""

    def __init__(self):
        # (name of the worker, pace) pairs; those of an image are multiplied
        # by the declared run time.
        self._paces_by_step = collections.defaultdict(list)
        self._paces_by_image = collections.defaultdict(list)
        self._found_paces = {}

    def add_run(self, progress):
        """Adds the pace of a run from its ``_RunProgress``."""
        pace = progress.find_pace()
        if pace is None:
            return
        step = progress.run.step
        worker_name = progress.worker.name
        self._paces_by_step[progress.step_key].append((worker_name, pace))
        if step.image and step.estimate_ms:
            self._paces_by_image[step.image].append(
                (worker_name, pace * step.estimate_ms)
            )

    def find_pace(self, progress):
        """Returns the median pace of runs like this one elsewhere, or None.

        Args:
            progress: the ``_RunProgress`` of the run.
        """
        key = progress.worker.name, progress.step_key
        if key not in self._found_paces:
            self._found_paces[key] = self._compute_pace(progress)
        return self._found_paces[key]

    def _compute_pace(self, progress):
        step = progress.run.step
        worker_name = progress.worker.name
        pace = _find_median(
            worker_name,
            self._paces_by_step[progress.step_key],
            MIN_STEP_PEERS,
        )
        if pace is None and step.image and step.estimate_ms:
            pace = _find_median(
                worker_name,
                self._paces_by_image[step.image],
                MIN_IMAGE_PEERS,
            )
            if pace is not None:
                pace /= step.estimate_ms
        return pace


def _find_median(worker_name, names_and_paces, min_count):
    paces = [pace for name, pace in names_and_paces if name != worker_name]
    return statistics.median(paces) if len(paces) >= min_count else None


def _find_relative_pace(samples, peer_pace):
    """Returns the advance of a run as a multiple of that of its peers.

    It is measured over the shortest span in which a run with their pace
    advances far enough.

    Args:
        samples: (time, progress) pairs of the run, the oldest first.
        peer_pace: pace of its peers, or None.

    Returns:
        A float; None if it can not be measured.
    """
    if not peer_pace:
        return None
    last_ms, last_percent = samples[-1]
    for listed_ms, percent in reversed(samples):
        span_ms = last_ms - listed_ms
        peer_advance = peer_pace * span_ms
        if span_ms >= MIN_SPAN_MS and peer_advance >= MIN_ADVANCE_PERCENT:
            return (last_percent - percent) / peer_advance
    return None


def _is_measurable(run):
    """True for a batch run whose progress its worker lists.

    Members of a gang wait for each other, so their paces are equal.
    """
    return (
        run.phase == _runs.Phase.RUNNING
        and run.is_listed
        and run.step is not None
        and not run.step.lasts
        and not run.step.fills
        and not run.step.gang
    )
