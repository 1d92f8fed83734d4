"""Model of a worker that runs tasks on command, built from the user docs.

It shares no code with the product, so that a misreading of the documentation
in the product shows.  Time is an argument: tests pass virtual time and a
server passes real time.  ``RunLedger`` observes all workers and records every
breach of a guarantee.

Best-effort tasks raise the tail latency of serving tasks beside them in
proportion to the share of the worker's processors that they use.
"""

import collections

from standins import tail_model

__all__ = ('RunLedger', 'TaskProfile', 'WorkerModel')

STOP_DELAY_MS = 150
MAX_LEASE_MS = 6000
CHECKPOINT_INTERVAL_MS = 1000
# A task under which this many workers have crashed may be started only so many
# times more.
CRASH_LIMIT = 3
MAX_STARTS_AFTER_CRASH_LIMIT = 2
# A capacity that has shrunk counts only this long after: the shortest contact
# time and the longest interval of the announcements that deployments use.
MIN_CONTACT_MS = 3000
MAX_ANNOUNCE_INTERVAL_MS = 1500
SHRINK_DELAY_MS = MIN_CONTACT_MS + MAX_ANNOUNCE_INTERVAL_MS


class TaskProfile:
    """Resources that the runs of a task need, and how these behave.

    Attributes:
        cpu_milli: processors, in thousandths of a core.
        memory_mib: memory, in MiB.
        work_ms: run time in milliseconds, None for a task that runs until it
            is stopped.
        writes_checkpoints: True if its runs write checkpoints.
        run_fails: function of the run number that returns True if that run
            fails.
        fills: True if its runs reserve no processors and use what other runs
            leave idle; they do not count towards the capacity of the worker.
        crash_delay_ms: time after the start of a run at which the run ends the
            process of its worker, None if no run does.
        crashes_worker: function of the task that returns True if the runs of
            that task crash their workers; by default, all tasks of a profile
            with a ``crash_delay_ms`` do.
        accelerators: number of accelerators.
        image: image of the task.
        tail_target_ms: target of the tail latency of a serving task, 0 for
            any other task.
        calm_tail_ms: tail latency of a serving task without best-effort tasks
            beside it.
        find_slowdown: function of the task and the run number that returns by
            which factor that run takes longer than ``work_ms``.
        tail_slope_by_image: for a serving task, by how much its tail latency
            rises per share of the worker's processors that best-effort tasks
            of an image use, as a multiple of ``calm_tail_ms``.
    """

    __slots__ = (
        'accelerators',
        'calm_tail_ms',
        'cpu_milli',
        'crash_delay_ms',
        'crashes_worker',
        'fills',
        'find_slowdown',
        'image',
        'memory_mib',
        'run_fails',
        'tail_slope_by_image',
        'tail_target_ms',
        'work_ms',
        'writes_checkpoints',
    )

    def __init__(
        self,
        cpu_milli,
        memory_mib,
        work_ms,
        writes_checkpoints=False,
        run_fails=None,
        fills=False,
        crash_delay_ms=None,
        crashes_worker=None,
        accelerators=0,
        image='',
        tail_target_ms=0,
        calm_tail_ms=0,
        tail_slope_by_image=None,
        find_slowdown=None,
    ):
        self.find_slowdown = find_slowdown or (lambda task, run: 1)
        self.image = image
        self.tail_target_ms = tail_target_ms
        self.calm_tail_ms = calm_tail_ms
        self.tail_slope_by_image = tail_slope_by_image or {}
        self.cpu_milli = cpu_milli
        self.memory_mib = memory_mib
        self.work_ms = work_ms
        self.writes_checkpoints = writes_checkpoints
        self.run_fails = run_fails or (lambda run: False)
        self.fills = fills
        self.accelerators = accelerators
        self.crash_delay_ms = crash_delay_ms
        self.crashes_worker = crashes_worker or (lambda task: True)

    def find_crash_delay_ms(self, task):
        """Returns after which time a run of a task crashes its worker.

        Args:
            task: name of the task.

        Returns:
            Milliseconds from the start of the run, None for a harmless task.
        """
        return self.crash_delay_ms if self.crashes_worker(task) else None


class RunLedger:
    """Record of the runs on all workers, each checked when it starts.

    The end of a run counts as acknowledged once the scheduler has confirmed
    that it read it.

    Attributes:
        breaches: one line of text for each violation of a guarantee.
        running: worker name of each running run, by (task, run).
        acknowledged_done_tasks: tasks whose end as ``done`` is acknowledged.
        finished: tasks that have ended as ``done``, acknowledged or not.
        starts: number of runs started.
        failed_run_counts: number of failed runs by task.
        checkpoints_by_task: all checkpoints written by runs of a task, by
            task.
        acknowledged_failure_counts: number of acknowledged failures by task.
        may_start: function from a task that returns True if the order of
            tasks lets it start now.
        may_copy: function from a task that returns True if it may have two
            runs at a time, on different workers.
        may_run_on: function from a worker name and a task that returns True
            if the task may start there, given what runs already.
        max_failures: number of acknowledged failures after which a task must
            not start again; None for no limit.
        start_ms_by_run: time of the start of each run, by (task, run).
        crash_ages_ms_by_task: for each crash of a worker that ran a task, the
            time that the run had been executing, by task.
        deadly_crash_counts: number of crashes of workers that ran a task whose
            runs crash their workers, by task.
        starts_after_crash_limit: number of starts of a task after
            ``crash_limit`` workers had crashed under it, by task.
        crash_limit: number of these crashes from which on starts are limited.
        max_starts_after_crash_limit: greatest allowed number of these starts.
    """

    def __init__(self):
        self.breaches = []
        self.running = {}
        self.acknowledged_done_tasks = set()
        self.finished = set()
        self.starts = 0
        self.failed_run_counts = collections.Counter()
        self.checkpoints_by_task = collections.defaultdict(set)
        self.acknowledged_failure_counts = collections.Counter()
        self.may_start = lambda task: True
        self.may_copy = lambda task: False
        self.may_run_on = lambda worker, task: True
        self.max_failures = None
        self.start_ms_by_run = {}
        self.crash_ages_ms_by_task = collections.defaultdict(list)
        self.deadly_crash_counts = collections.Counter()
        self.starts_after_crash_limit = collections.Counter()
        self.crash_limit = CRASH_LIMIT
        self.max_starts_after_crash_limit = MAX_STARTS_AFTER_CRASH_LIMIT

    def record_start(self, now_ms, worker, task, run, checkpoint):
        """Records the start of a run and checks that it is allowed."""
        self.starts += 1
        other_runs = [
            f'{name}/{other_run}'
            for (other_task, other_run), name in self.running.items()
            if other_task == task
        ]
        max_other_runs = 1 if self.may_copy(task) else 0
        if len(other_runs) > max_other_runs or any(
            other_run.startswith(f'{worker}/') for other_run in other_runs
        ):
            self._record_breach(
                now_ms, f'{task} run {run} started while {other_runs} ran'
            )
        # The start of a copy may be under way when the other run ends.
        if task in self.acknowledged_done_tasks and not max_other_runs:
            self._record_breach(
                now_ms, f'{task} run {run} started after it was done'
            )
        if not self.may_start(task):
            self._record_breach(
                now_ms,
                f'{task} run {run} started before its predecessors ended',
            )
        if not self.may_run_on(worker, task):
            self._record_breach(
                now_ms, f'{task} run {run} is not allowed on {worker}'
            )
        if self._has_reached_failure_limit(task):
            self._record_breach(
                now_ms,
                f'{task} run {run} started after the last allowed failure',
            )
        if checkpoint and checkpoint not in self.checkpoints_by_task[task]:
            self._record_breach(
                now_ms, f'{task} resumed from {checkpoint}, which no run wrote'
            )
        if self.deadly_crash_counts[task] >= self.crash_limit:
            self.starts_after_crash_limit[task] += 1
            start_number = self.starts_after_crash_limit[task]
            if start_number > self.max_starts_after_crash_limit:
                self._record_breach(
                    now_ms,
                    f'{task} run {run} is start {start_number} after '
                    f'{self.crash_limit} workers crashed under the task',
                )
        self.running[task, run] = worker
        self.start_ms_by_run[task, run] = now_ms

    def record_end(self, task, run, outcome):
        """Records the end of a run with an outcome such as ``done``."""
        self.running.pop((task, run), None)
        if outcome == 'done':
            self.finished.add(task)

    def record_crash(self, now_ms, task, run, is_deadly):
        """Records the end of a run by a crash of its worker.

        Args:
            now_ms: time of the crash.
            task: name of the task.
            run: number of the run.
            is_deadly: True if runs of the task crash their workers.
        """
        self.crash_ages_ms_by_task[task].append(
            now_ms - self.start_ms_by_run[task, run]
        )
        if is_deadly:
            self.deadly_crash_counts[task] += 1
        self.record_end(task, run, 'crashed')

    def acknowledge_end(self, task, outcome):
        """Records that the scheduler has confirmed the end of a run."""
        if outcome == 'done':
            self.acknowledged_done_tasks.add(task)
        elif outcome == 'failed':
            self.acknowledged_failure_counts[task] += 1

    def record_harm(self, now_ms, worker, image):
        """Records a breach for best-effort runs that disturb for too long.

        Args:
            now_ms: time.
            worker: name of the worker.
            image: image of the serving task whose tail latency is over its
                target.
        """
        self._record_breach(
            now_ms, f'best-effort runs on {worker} disturb {image}'
        )

    def record_overload(self, now_ms, worker, resource):
        """Records a breach for a worker whose runs exceed its capacity."""
        self._record_breach(now_ms, f'runs on {worker} exceed its {resource}')

    def _has_reached_failure_limit(self, task):
        if self.max_failures is None:
            return False
        return self.acknowledged_failure_counts[task] >= self.max_failures

    def _record_breach(self, now_ms, text):
        self.breaches.append(f'{now_ms}: {text}')


class _Run:
    """A run of a task that has not ended.

    Times are those that the caller passes to the model, not times of the
    worker's clock.

    Attributes:
        task_profile: the ``TaskProfile`` of the task.
        started_ms: when it started.
        last_checkpoint: latest checkpoint, ``TASK@PROGRESS_MS``, or empty.
        initial_progress_ms: progress at the start, from the checkpoint resumed
            from.
        pace_percent: share of its processors that it may use.
        slowdown: factor by which it takes longer, at any pace.
        stop_ms: when an ordered stop takes effect, None without an order.
        finish_ms: when its work is done, None for a task without an end.
        crash_ms: when it crashes the worker, None for a harmless task.
    """

    __slots__ = (
        'crash_ms',
        'finish_ms',
        'initial_progress_ms',
        'last_checkpoint',
        'pace_percent',
        'slowdown',
        'started_ms',
        'stop_ms',
        'task_profile',
        '_paced_since_ms',
        '_progress_at_pace_ms',
    )

    def __init__(self, task, task_profile, started_ms, checkpoint, slowdown):
        self.task_profile = task_profile
        self.pace_percent = 100
        self.slowdown = slowdown
        self.started_ms = started_ms
        self.last_checkpoint = checkpoint
        self.initial_progress_ms = (
            int(checkpoint.rpartition('@')[2]) if checkpoint else 0
        )
        # Progress when its pace was set last, and the time of that.
        self._progress_at_pace_ms = self.initial_progress_ms
        self._paced_since_ms = started_ms
        self.stop_ms = None
        self.finish_ms = self._find_finish_ms()
        self.crash_ms = None
        crash_delay_ms = task_profile.find_crash_delay_ms(task)
        if crash_delay_ms is not None:
            self.crash_ms = started_ms + crash_delay_ms

    def find_progress_ms(self, now_ms):
        """Returns how much of its work is done, in ms at full pace."""
        paced_ms = now_ms - self._paced_since_ms
        return (
            self._progress_at_pace_ms
            + paced_ms * self.pace_percent / 100 / self.slowdown
        )

    def set_pace(self, now_ms, percent, slowdown=None):
        """Sets the share of its processors that it may use, in percent.

        Args:
            now_ms: time of the change.
            percent: the share.
            slowdown: its new slowdown; None leaves it as it is.
        """
        self._progress_at_pace_ms = self.find_progress_ms(now_ms)
        self._paced_since_ms = now_ms
        self.pace_percent = percent
        self.slowdown = slowdown or self.slowdown
        self.finish_ms = self._find_finish_ms()

    def _find_finish_ms(self):
        work_ms = self.task_profile.work_ms
        if work_ms is None or not self.pace_percent:
            return None
        left_ms = max(0, work_ms - self._progress_at_pace_ms) * self.slowdown
        return self._paced_since_ms + left_ms * 100 / self.pace_percent


class WorkerModel:
    """One incarnation of a worker.

    ``start_run``, ``stop_run`` and ``poll`` first advance it to the time of
    the call.  ``now_ms`` is a time of the caller's clock.

    Args:
        name: id of the worker.
        born_ms: time of its start, when its own clock is 0.
        cpu_milli: its processors, in thousandths of a core.
        memory_mib: its memory, in MiB.
        ledger: the ``RunLedger`` of all workers.
        find_profile: function from a task name to its ``TaskProfile``.
        clock_rate: speed of its clock relative to that of the caller, 1.0 for
            the same speed.
        accelerators: number of its accelerators.

    Attributes:
        unacknowledged_ends: rows [number, task, run, outcome, checkpoint] of
            the ended runs that are not yet acknowledged, numbered from 1.
        running_runs: ``_Run`` of each running run by (task, run).
    """

    def __init__(
        self,
        name,
        born_ms,
        cpu_milli,
        memory_mib,
        ledger,
        find_profile,
        clock_rate=1.0,
        accelerators=0,
    ):
        self.name = name
        self.born_ms = born_ms
        self.cpu_milli = cpu_milli
        self.memory_mib = memory_mib
        self.accelerators = accelerators
        # Rows [time of the end, capacities] of the earlier capacities.
        self._earlier_capacities = []
        self.unacknowledged_ends = []
        self.running_runs = {}
        self._ledger = ledger
        self._find_profile = find_profile
        self._clock_rate = clock_rate
        self._fencing_token = 0
        self._lease_end_clock_ms = 0
        self._last_end_number = 0
        self._slowdown = 1
        self._highest_run = {}
        self._tails = tail_model.TailModel(name, ledger)

    def clock_ms(self, now_ms):
        """Returns the time on the worker's clock, in milliseconds."""
        return int((now_ms - self.born_ms) * self._clock_rate)

    def set_capacity(self, now_ms, cpu_milli, memory_mib, accelerators=0):
        """Changes the capacity; the running runs are not affected.

        Args:
            now_ms: time of the change.
            cpu_milli: its processors, in thousandths of a core.
            memory_mib: its memory, in MiB.
            accelerators: number of its accelerators.
        """
        self.advance(now_ms)
        self._earlier_capacities.append((now_ms, self._current_capacity()))
        self.cpu_milli = cpu_milli
        self.memory_mib = memory_mib
        self.accelerators = accelerators

    def set_slowdown(self, now_ms, slowdown):
        """Changes by which factor all its runs take longer.

        Args:
            now_ms: time of the change.
            slowdown: the factor, 1 for a sound worker.
        """
        self.advance(now_ms)
        change = slowdown / self._slowdown
        self._slowdown = slowdown
        for run_state in self.running_runs.values():
            run_state.set_pace(
                now_ms, run_state.pace_percent, run_state.slowdown * change
            )

    # Calls; each returns the HTTP status and a reason, empty if accepted

    def start_run(
        self, now_ms, task, run, lease_until_ms, fencing_token, checkpoint=''
    ):
        """Starts a run and extends the lease of the worker.

        Refuses with status 409 a fencing token that is out of date
        (``fence``), a run not newer than one that has ended or was stopped
        (``old``) and a lease that has ended already (``late``).  A run that
        is running already is not started again.

        Args:
            now_ms: time of the call.
            task: name of the task.
            run: number of the run.
            lease_until_ms: end of the lease, by the worker's clock.
            fencing_token: fencing token of the scheduler.
            checkpoint: checkpoint to resume from, or empty.
        """
        self.advance(now_ms)
        if fencing_token < self._fencing_token:
            return 409, 'fence'
        self._fencing_token = fencing_token
        if (task, run) in self.running_runs:
            self._extend_lease(now_ms, lease_until_ms)
            return 200, ''
        if run <= self._highest_run.get(task, 0):
            self._extend_lease(now_ms, lease_until_ms)
            return 409, 'old'
        if lease_until_ms <= self.clock_ms(now_ms):
            return 409, 'late'
        self._extend_lease(now_ms, lease_until_ms)
        profile = self._find_profile(task)
        slowdown = self._slowdown * profile.find_slowdown(task, run)
        new_run = _Run(task, profile, now_ms, checkpoint, slowdown)
        self.running_runs[task, run] = new_run
        self._update_tails(now_ms)
        self._ledger.record_start(now_ms, self.name, task, run, checkpoint)
        self._check_capacity(now_ms, new_run.task_profile)
        return 200, ''

    def stop_run(self, now_ms, task, run, fencing_token):
        """Orders a run to stop, which takes ``STOP_DELAY_MS``.

        A run that has not started can no longer start.  Refuses an outdated
        fencing token as ``start_run`` does.
        """
        self.advance(now_ms)
        if fencing_token < self._fencing_token:
            return 409, 'fence'
        self._fencing_token = fencing_token
        run_state = self.running_runs.get((task, run))
        if run_state is not None and run_state.stop_ms is None:
            run_state.stop_ms = now_ms + STOP_DELAY_MS
        self._highest_run[task] = max(run, self._highest_run.get(task, 0))
        return 200, ''

    def set_pace(self, now_ms, task, run, percent, fencing_token):
        """Sets the share of its processors that a run may use.

        Refuses an outdated fencing token as ``start_run`` does.
        """
        self.advance(now_ms)
        if fencing_token < self._fencing_token:
            return 409, 'fence'
        self._fencing_token = fencing_token
        run_state = self.running_runs.get((task, run))
        if run_state is not None:
            run_state.set_pace(now_ms, percent)
            self._update_tails(now_ms)
        return 200, ''

    def poll(
        self, now_ms, fencing_token, last_read_number, lease_until_ms=None
    ):
        """Forgets the ends that the scheduler has read; extends the lease.

        The caller then reads ``unacknowledged_ends`` and
        ``list_running_runs``.  Refuses an outdated fencing token as
        ``start_run`` does.

        Args:
            now_ms: time of the call.
            fencing_token: fencing token of the scheduler.
            last_read_number: number of the last end that the scheduler has
                read.
            lease_until_ms: end of the lease, by the worker's clock; None
                leaves the lease as it is.
        """
        self.advance(now_ms)
        if fencing_token < self._fencing_token:
            return 409, 'fence'
        self._fencing_token = fencing_token
        for end in self.unacknowledged_ends:
            if end[0] <= last_read_number:
                self._ledger.acknowledge_end(end[1], end[3])
        self.unacknowledged_ends = [
            end
            for end in self.unacknowledged_ends
            if end[0] > last_read_number
        ]
        if lease_until_ms is not None:
            self._extend_lease(now_ms, lease_until_ms)
        return 200, ''

    def list_running_runs(self, now_ms):
        """Returns a list with a row for each running run.

        A row is [task, run, last checkpoint, progress in percent, figure].
        The figure is the tail latency in milliseconds of a serving task, and
        the processors in use by any other, in thousandths of a core.
        """
        rows = []
        for (task, run), run_state in self.running_runs.items():
            percent = 100
            if run_state.task_profile.work_ms is not None:
                percent = min(
                    99,
                    100
                    * int(run_state.find_progress_ms(now_ms))
                    // max(1, run_state.task_profile.work_ms),
                )
            rows.append(
                [
                    task,
                    run,
                    run_state.last_checkpoint,
                    percent,
                    self._find_figure(run_state, now_ms),
                ]
            )
        return rows

    def _find_figure(self, run_state, now_ms):
        task_profile = run_state.task_profile
        if task_profile.tail_target_ms:
            return int(self._tails.mean_tail_ms(task_profile, now_ms))
        return task_profile.cpu_milli * run_state.pace_percent // 100

    def _update_tails(self, now_ms):
        """Tells the tail latencies which runs share the worker from now on."""
        self._tails.update_load(
            now_ms,
            [
                (
                    run_state.task_profile,
                    run_state.pace_percent / 100 / max(1, self.cpu_milli),
                )
                for run_state in self.running_runs.values()
            ],
        )

    # Time

    def advance(self, now_ms):
        """Writes checkpoints and ends runs, as due by ``now_ms``.

        A run ends when its work is complete (``done`` or ``failed``), when an
        ordered stop takes effect (``stopped``) or when the lease of the
        worker expires (``lapsed``), whichever comes first.
        """
        for (task, run), run_state in list(self.running_runs.items()):
            end_ms = run_state.finish_ms
            outcome = (
                'failed' if run_state.task_profile.run_fails(run) else 'done'
            )
            if run_state.stop_ms is not None:
                if end_ms is None or run_state.stop_ms < end_ms:
                    end_ms, outcome = run_state.stop_ms, 'stopped'
            lease_end_ms = (
                self.born_ms + self._lease_end_clock_ms / self._clock_rate
            )
            if self._lease_end_clock_ms and (
                end_ms is None or lease_end_ms < end_ms
            ):
                end_ms, outcome = lease_end_ms, 'lapsed'
            self._update_checkpoint(
                task, run_state, min(now_ms, end_ms or now_ms)
            )
            if end_ms is not None and end_ms <= now_ms:
                self._end_run(task, run, outcome, end_ms)
        self._tails.check_targets(now_ms)

    def find_next_event_ms(self):
        """Returns the earliest time at which a run can end, None without runs.

        A run can end when its work is done, when an ordered stop takes effect
        or when the lease of the worker expires.
        """
        event_times_ms = [
            self.born_ms + self._lease_end_clock_ms / self._clock_rate
        ]
        for run_state in self.running_runs.values():
            event_times_ms += [run_state.finish_ms, run_state.stop_ms]
        event_times_ms = [
            time_ms for time_ms in event_times_ms if time_ms is not None
        ]
        return min(event_times_ms) if self.running_runs else None

    def find_crash_ms(self):
        """Returns when a run crashes the worker, None if no run does."""
        return min(
            (
                run_state.crash_ms
                for run_state in self.running_runs.values()
                if run_state.crash_ms is not None
            ),
            default=None,
        )

    def crash(self, now_ms):
        """Ends all runs as when the VM crashes; none is reported as ended.

        Args:
            now_ms: time of the crash.
        """
        for (task, run), run_state in list(self.running_runs.items()):
            self._ledger.record_crash(
                now_ms, task, run, run_state.crash_ms is not None
            )
        self.running_runs = {}

    def _end_run(self, task, run, outcome, end_ms):
        run_state = self.running_runs.pop((task, run))
        if outcome == 'lapsed':
            run_state.stop_ms = None
        self._last_end_number += 1
        self._highest_run[task] = max(run, self._highest_run.get(task, 0))
        self.unacknowledged_ends.append(
            [
                self._last_end_number,
                task,
                run,
                outcome,
                run_state.last_checkpoint,
            ]
        )
        if outcome == 'failed':
            self._ledger.failed_run_counts[task] += 1
        self._ledger.record_end(task, run, outcome)
        self._update_tails(end_ms)

    def _update_checkpoint(self, task, run_state, now_ms):
        if not run_state.task_profile.writes_checkpoints:
            return
        progress_ms = int(run_state.find_progress_ms(now_ms))
        checkpoint_ms = progress_ms - progress_ms % CHECKPOINT_INTERVAL_MS
        if checkpoint_ms > run_state.initial_progress_ms:
            run_state.last_checkpoint = f'{task}@{checkpoint_ms}'
            self._ledger.checkpoints_by_task[task].add(
                run_state.last_checkpoint
            )

    def _extend_lease(self, now_ms, lease_until_ms):
        """Extends the lease to at most ``MAX_LEASE_MS`` from now.

        A lease is never shortened.
        """
        latest_end_clock_ms = self.clock_ms(now_ms) + MAX_LEASE_MS
        self._lease_end_clock_ms = max(
            self._lease_end_clock_ms, min(lease_until_ms, latest_end_clock_ms)
        )

    def _current_capacity(self):
        return {
            'processors': self.cpu_milli,
            'memory': self.memory_mib,
            'accelerators': self.accelerators,
        }

    def _counted_capacity(self, now_ms):
        """Returns the largest capacities of the last ``SHRINK_DELAY_MS``."""
        counted_capacity = self._current_capacity()
        for end_ms, capacity in self._earlier_capacities:
            if now_ms - end_ms <= SHRINK_DELAY_MS:
                for resource, amount in capacity.items():
                    counted_capacity[resource] = max(
                        amount, counted_capacity[resource]
                    )
        return counted_capacity

    def _check_capacity(self, now_ms, new_profile):
        """Checks each resource that a run which has just started needs."""
        used_amounts = collections.Counter()
        for run_state in self.running_runs.values():
            used_amounts.update(_needed_amounts(run_state.task_profile))
        counted_capacity = self._counted_capacity(now_ms)
        for resource, amount in _needed_amounts(new_profile).items():
            if amount and used_amounts[resource] > counted_capacity[resource]:
                self._ledger.record_overload(now_ms, self.name, resource)


def _needed_amounts(task_profile):
    """Returns the amounts by resource that a run of a task takes."""
    return {
        'processors': 0 if task_profile.fills else task_profile.cpu_milli,
        'memory': task_profile.memory_mib,
        'accelerators': task_profile.accelerators,
    }
