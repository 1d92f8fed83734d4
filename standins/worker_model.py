"""Model of a worker that runs tasks on command, built from the user docs.

It shares no code with the product, so that a misreading of the documentation
in the product shows.  Time is an argument: tests pass virtual time and a
server passes real time.  ``Ledger`` observes all workers and records every
breach of a guarantee.
"""

import collections

__all__ = ('Ledger', 'Size', 'WorkerModel')

STOP_DELAY_MS = 150
MAX_LEASE_MS = 6000
CHECKPOINT_INTERVAL_MS = 1000


class Size:
    """Resources that a task needs, and how its runs behave.

    Attributes:
        cpu: processors, in thousandths of a core.
        memory_mb: memory, in MiB.
        work_ms: run time in milliseconds, None for a task that runs until it
            is stopped.
        saves: True if its runs write checkpoints.
        fails: function of the run number that returns True if that run fails.
        fills: True if its processors do not count towards the capacity of
            the worker.
    """

    __slots__ = ('cpu', 'fails', 'fills', 'memory_mb', 'saves', 'work_ms')

    def __init__(
        self, cpu, memory_mb, work_ms, saves=False, fails=None, fills=False
    ):
        self.cpu = cpu
        self.memory_mb = memory_mb
        self.work_ms = work_ms
        self.saves = saves
        self.fails = fails or (lambda run: False)
        self.fills = fills


class Ledger:
    """Record of the runs on all workers, checked as they start.

    An end is acknowledged once the scheduler has confirmed that it read it.

    Attributes:
        breaches: descriptions of the violated guarantees, a line for each.
        running: worker name of each running run, by (task, run).
        acknowledged_done: tasks whose end as ``done`` is acknowledged.
        finished: tasks that have ended as ``done``, acknowledged or not.
        starts: number of runs started.
        failures: number of failed runs by task.
        checkpoints: all checkpoints written by runs of a task, by task.
        acknowledged_failures: number of acknowledged failures by task.
        may_start: function from a task that returns True if the order of
            tasks lets it start now.
        may_run_on: function from a worker name and a task that returns True
            if the task may start there, given what runs already.
        most_failures: number of acknowledged failures after which a task must
            not start again; None for no limit.
    """

    def __init__(self):
        self.breaches = []
        self.running = {}
        self.acknowledged_done = set()
        self.finished = set()
        self.starts = 0
        self.failures = collections.Counter()
        self.checkpoints = collections.defaultdict(set)
        self.acknowledged_failures = collections.Counter()
        self.may_start = lambda task: True
        self.may_run_on = lambda worker, task: True
        self.most_failures = None

    def record_start(self, now_ms, worker, task, run, checkpoint):
        """Records the start of a run and checks that it is allowed."""
        self.starts += 1
        other_runs = [
            f'{name}/{other_run}'
            for (other_task, other_run), name in self.running.items()
            if other_task == task
        ]
        if other_runs:
            self._record_breach(
                now_ms, f'{task} run {run} beside {other_runs}'
            )
        if task in self.acknowledged_done:
            self._record_breach(now_ms, f'{task} run {run} after it was done')
        if not self.may_start(task):
            self._record_breach(now_ms, f'{task} run {run} before its turn')
        if not self.may_run_on(worker, task):
            self._record_breach(
                now_ms, f'{task} run {run} may not be on {worker}'
            )
        if self._has_reached_failure_limit(task):
            self._record_breach(
                now_ms, f'{task} run {run} after its last attempt'
            )
        if checkpoint and checkpoint not in self.checkpoints[task]:
            self._record_breach(
                now_ms, f'{task} from {checkpoint}, never saved'
            )
        self.running[task, run] = worker

    def record_end(self, task, run, outcome):
        """Records the end of a run with an outcome such as ``done``."""
        self.running.pop((task, run), None)
        if outcome == 'done':
            self.finished.add(task)

    def acknowledge_end(self, task, outcome):
        """Records that the scheduler has confirmed the end of a run."""
        if outcome == 'done':
            self.acknowledged_done.add(task)
        elif outcome == 'failed':
            self.acknowledged_failures[task] += 1

    def record_overload(self, now_ms, worker, resource):
        """Records a breach for a worker whose runs exceed its capacity."""
        self._record_breach(now_ms, f'{worker} beyond its {resource}')

    def _has_reached_failure_limit(self, task):
        if self.most_failures is None:
            return False
        return self.acknowledged_failures[task] >= self.most_failures

    def _record_breach(self, now_ms, text):
        self.breaches.append(f'{now_ms}: {text}')


class _Run:
    """A running run of a task.

    Times are those of the caller of the model, not of the worker's clock.

    Attributes:
        size: the ``Size`` of the task.
        started_ms: when it started.
        last_checkpoint: latest checkpoint, ``TASK@PROGRESS_MS``, or empty.
        progress_ms: progress at the start, from the checkpoint resumed from.
        stop_ms: when an ordered stop takes effect, None without an order.
        done_ms: when the work is done, None for a task without an end.
    """

    __slots__ = (
        'done_ms',
        'last_checkpoint',
        'progress_ms',
        'size',
        'started_ms',
        'stop_ms',
    )

    def __init__(self, size, started_ms, checkpoint):
        self.size = size
        self.started_ms = started_ms
        self.last_checkpoint = checkpoint
        self.progress_ms = (
            int(checkpoint.rpartition('@')[2]) if checkpoint else 0
        )
        self.stop_ms = None
        self.done_ms = None
        if size.work_ms is not None:
            self.done_ms = started_ms + max(0, size.work_ms - self.progress_ms)


class WorkerModel:
    """One incarnation of a worker.

    ``start``, ``stop`` and ``look`` first advance it to the time of the call.

    Args:
        name: id of the worker.
        born_ms: time of its start, when its own clock is 0.
        cpu: its processors, in thousandths of a core.
        memory_mb: its memory, in MiB.
        ledger: the ``Ledger`` of all workers.
        size_of: function from a task name to its ``Size``.
        rate: speed of its clock relative to that of the caller, 1.0 for the
            same speed.

    Attributes:
        ends: rows [number, task, run, outcome, checkpoint] of the ended runs
            that are not yet acknowledged, numbered from 1.
        runs: ``_Run`` of each running run by (task, run).
    """

    def __init__(
        self, name, born_ms, cpu, memory_mb, ledger, size_of, rate=1.0
    ):
        self.name = name
        self.born_ms = born_ms
        self.cpu = cpu
        self.memory_mb = memory_mb
        self.ends = []
        self.runs = {}
        self._ledger = ledger
        self._size_of = size_of
        self._clock_rate = rate
        self._fencing_token = 0
        self._lease_end_ms = 0
        self._last_end_number = 0
        self._highest_run = {}

    def clock(self, now_ms):
        """Returns the time on the worker's clock, in milliseconds."""
        return int((now_ms - self.born_ms) * self._clock_rate)

    # Calls; each returns the HTTP status and a reason, empty if accepted

    def start(self, now_ms, task, run, until_ms, token, checkpoint=''):
        """Starts a run and extends the lease of the worker.

        Refuses with status 409 a fencing token that is out of date
        (``fence``), a run not newer than one that has ended or was stopped
        (``old``) and a lease that has ended already (``late``).  A run that
        is running already is not started again.

        Args:
            now_ms: time of the call.
            task: name of the task.
            run: number of the run.
            until_ms: end of the lease, by the worker's clock.
            token: fencing token of the scheduler.
            checkpoint: checkpoint to resume from, or empty.
        """
        self.advance(now_ms)
        if token < self._fencing_token:
            return 409, 'fence'
        self._fencing_token = token
        if (task, run) in self.runs:
            self._extend_lease(now_ms, until_ms)
            return 200, ''
        if run <= self._highest_run.get(task, 0):
            self._extend_lease(now_ms, until_ms)
            return 409, 'old'
        if until_ms <= self.clock(now_ms):
            return 409, 'late'
        self._extend_lease(now_ms, until_ms)
        started = _Run(self._size_of(task), now_ms, checkpoint)
        self.runs[task, run] = started
        self._ledger.record_start(now_ms, self.name, task, run, checkpoint)
        self._check_capacity(now_ms)
        return 200, ''

    def stop(self, now_ms, task, run, token):
        """Orders a run to stop, which takes ``STOP_DELAY_MS``.

        A run that has not started can no longer start.  Refuses an outdated
        fencing token as ``start`` does.
        """
        self.advance(now_ms)
        if token < self._fencing_token:
            return 409, 'fence'
        self._fencing_token = token
        run_state = self.runs.get((task, run))
        if run_state is not None and run_state.stop_ms is None:
            run_state.stop_ms = now_ms + STOP_DELAY_MS
        self._highest_run[task] = max(run, self._highest_run.get(task, 0))
        return 200, ''

    def look(self, now_ms, token, last_seen, until_ms=None):
        """Forgets the ends that the scheduler has read; extends the lease.

        The caller reads ``ends`` and ``rows`` afterwards.  Refuses an
        outdated fencing token as ``start`` does.

        Args:
            now_ms: time of the call.
            token: fencing token of the scheduler.
            last_seen: number of the last end that the scheduler has read.
            until_ms: end of the lease, by the worker's clock; None leaves the
                lease as it is.
        """
        self.advance(now_ms)
        if token < self._fencing_token:
            return 409, 'fence'
        self._fencing_token = token
        for end in self.ends:
            if end[0] <= last_seen:
                self._ledger.acknowledge_end(end[1], end[3])
        self.ends = [end for end in self.ends if end[0] > last_seen]
        if until_ms is not None:
            self._extend_lease(now_ms, until_ms)
        return 200, ''

    def rows(self, now_ms):
        """Returns a row for each running run.

        A row is [task, run, last checkpoint, progress in percent, figure].
        The figure is a measurement, such as the tail latency of a serving
        task; the model measures nothing and always reports 0.
        """
        rows = []
        for (task, run), run_state in self.runs.items():
            percent = 100
            if run_state.size.work_ms is not None:
                spent = now_ms - run_state.started_ms + run_state.progress_ms
                percent = min(
                    99, 100 * spent // max(1, run_state.size.work_ms)
                )
            rows.append([task, run, run_state.last_checkpoint, percent, 0])
        return rows

    # Time

    def advance(self, now_ms):
        """Writes checkpoints and ends runs, as due by ``now_ms``.

        A run ends when its work is complete (``done`` or ``failed``), when an
        ordered stop takes effect (``stopped``) or when the lease of the
        worker expires (``lapsed``), whichever comes first.
        """
        for (task, run), run_state in list(self.runs.items()):
            end_ms = run_state.done_ms
            outcome = 'failed' if run_state.size.fails(run) else 'done'
            if run_state.stop_ms is not None:
                if end_ms is None or run_state.stop_ms < end_ms:
                    end_ms, outcome = run_state.stop_ms, 'stopped'
            lease_end_ms = self.born_ms + self._lease_end_ms / self._clock_rate
            if self._lease_end_ms and (
                end_ms is None or lease_end_ms < end_ms
            ):
                end_ms, outcome = lease_end_ms, 'lapsed'
            self._update_checkpoint(
                task, run_state, min(now_ms, end_ms or now_ms)
            )
            if end_ms is not None and end_ms <= now_ms:
                self._end_run(task, run, outcome)

    def find_next_event_ms(self):
        """Returns when a run may end next, None if nothing runs."""
        times_ms = [self.born_ms + self._lease_end_ms / self._clock_rate]
        for run_state in self.runs.values():
            times_ms += [run_state.done_ms, run_state.stop_ms]
        times_ms = [time_ms for time_ms in times_ms if time_ms is not None]
        return min(times_ms) if self.runs else None

    def die(self):
        """Ends all runs as when the VM crashes; none is reported as ended."""
        for task, run in list(self.runs):
            self._ledger.record_end(task, run, 'crashed')
        self.runs = {}

    def _end_run(self, task, run, outcome):
        run_state = self.runs.pop((task, run))
        if outcome == 'lapsed':
            run_state.stop_ms = None
        self._last_end_number += 1
        self._highest_run[task] = max(run, self._highest_run.get(task, 0))
        self.ends.append(
            [
                self._last_end_number,
                task,
                run,
                outcome,
                run_state.last_checkpoint,
            ]
        )
        if outcome == 'failed':
            self._ledger.failures[task] += 1
        self._ledger.record_end(task, run, outcome)

    def _update_checkpoint(self, task, run_state, now_ms):
        if not run_state.size.saves:
            return
        progress_ms = run_state.progress_ms + int(
            now_ms - run_state.started_ms
        )
        checkpoint_ms = progress_ms - progress_ms % CHECKPOINT_INTERVAL_MS
        if checkpoint_ms > run_state.progress_ms:
            run_state.last_checkpoint = f'{task}@{checkpoint_ms}'
            self._ledger.checkpoints[task].add(run_state.last_checkpoint)

    def _extend_lease(self, now_ms, until_ms):
        longest_ms = self.clock(now_ms) + MAX_LEASE_MS
        self._lease_end_ms = max(self._lease_end_ms, min(until_ms, longest_ms))

    def _check_capacity(self, now_ms):
        sizes = [run_state.size for run_state in self.runs.values()]
        used_cpu = sum(size.cpu for size in sizes if not size.fills)
        if used_cpu > self.cpu:
            self._ledger.record_overload(now_ms, self.name, 'processors')
        if sum(size.memory_mb for size in sizes) > self.memory_mb:
            self._ledger.record_overload(now_ms, self.name, 'memory')
