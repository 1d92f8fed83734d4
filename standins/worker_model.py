"""Model of a worker that is told what to run, written from the users' pages.

It shares no code with the product.  Time is an argument, so that tests drive
it in virtual time and a server drives it in real time.  ``Ledger`` is what an
observer of all workers knows; it notes every breach of a promise.
"""

import collections

__all__ = ('Ledger', 'Size', 'WorkerModel')

STOP_MS = 150
MAX_LEASE_MS = 6000
CHECKPOINT_MS = 1000


class Size:
    """Room that a task takes, and what it does.

    Attributes:
        cpu: thousandths of a core.
        memory_mb: MiB.
        work_ms: run time, None for one that lasts.
        saves: True if it saves its progress.
        fails: function of the run number, True if that run fails.
        fills: True if its processor time does not count.
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
    """What happened on all workers together.

    Attributes:
        breaches: lines that say what was broken.
        running: worker name by (task, run).
        done: tasks of which an end as done was taken note of.
        starts: number of runs started.
        saved: checkpoints that each task ever produced.
        may_start: function from a task, True if it is its turn.
        may_run_on: function from a worker name and a task, True if the task
            may begin there beside what runs already.
        most_failures: failed runs of a task, once taken note of, after which
            it may not start again; None for no limit.
    """

    def __init__(self):
        self.breaches = []
        self.running = {}
        self.done = set()
        self.finished = set()
        self.starts = 0
        self.failures = collections.Counter()
        self.saved = collections.defaultdict(set)
        self.noted_failures = collections.Counter()
        self.may_start = lambda task: True
        self.may_run_on = lambda worker, task: True
        self.most_failures = None

    def begin(self, now_ms, worker, task, run, checkpoint):
        """Notes a start."""
        self.starts += 1
        others = [
            f'{name}/{other}'
            for (what, other), name in self.running.items()
            if what == task
        ]
        if others:
            self._breach(now_ms, f'{task} run {run} beside {others}')
        if task in self.done:
            self._breach(now_ms, f'{task} run {run} after it was done')
        if not self.may_start(task):
            self._breach(now_ms, f'{task} run {run} before its turn')
        if not self.may_run_on(worker, task):
            self._breach(now_ms, f'{task} run {run} may not be on {worker}')
        if self._has_failed_too_often(task):
            self._breach(now_ms, f'{task} run {run} after its last attempt')
        if checkpoint and checkpoint not in self.saved[task]:
            self._breach(now_ms, f'{task} with foreign {checkpoint}')
        self.running[task, run] = worker

    def end(self, task, run, how):
        """Notes an end."""
        self.running.pop((task, run), None)
        if how == 'done':
            self.finished.add(task)

    def note(self, task, how):
        """Takes note that an end is known to whoever gave the order."""
        if how == 'done':
            self.done.add(task)
        elif how == 'failed':
            self.noted_failures[task] += 1

    def overloaded(self, now_ms, worker, what):
        """Notes a worker beyond its capacity."""
        self._breach(now_ms, f'{worker} beyond its {what}')

    def _has_failed_too_often(self, task):
        if self.most_failures is None:
            return False
        return self.noted_failures[task] >= self.most_failures

    def _breach(self, now_ms, text):
        self.breaches.append(f'{now_ms}: {text}')


class _Run:
    __slots__ = ('begun_ms', 'done_ms', 'saved', 'size', 'stop_ms', 'worked')

    def __init__(self, size, begun_ms, checkpoint):
        self.size = size
        self.begun_ms = begun_ms
        self.saved = checkpoint
        self.worked = int(checkpoint.rpartition('@')[2]) if checkpoint else 0
        self.stop_ms = None
        self.done_ms = None
        if size.work_ms is not None:
            self.done_ms = begun_ms + max(0, size.work_ms - self.worked)


class WorkerModel:
    """One life of a worker.

    Args:
        name: its id.
        born_ms: time of its start, also the zero of its clock.
        cpu: thousandths of a core.
        memory_mb: MiB.
        ledger: ``Ledger`` of all workers.
        size_of: function from a task name to its ``Size``.
        rate: speed of its clock.
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
        self._rate = rate
        self._token = 0
        self._lease_ms = 0
        self._last_end = 0
        self._highest = {}

    def clock(self, now_ms):
        """Returns its steady clock."""
        return int((now_ms - self.born_ms) * self._rate)

    # Calls; each returns (status, reason)

    def start(self, now_ms, task, run, until_ms, token, checkpoint=''):
        """Starts a run."""
        self.advance(now_ms)
        if token < self._token:
            return 409, 'fence'
        self._token = token
        if (task, run) in self.runs:
            self._extend(now_ms, until_ms)
            return 200, ''
        if run <= self._highest.get(task, 0):
            self._extend(now_ms, until_ms)
            return 409, 'old'
        if until_ms <= self.clock(now_ms):
            return 409, 'late'
        self._extend(now_ms, until_ms)
        started = _Run(self._size_of(task), now_ms, checkpoint)
        self.runs[task, run] = started
        self._ledger.begin(now_ms, self.name, task, run, checkpoint)
        self._check_room(now_ms)
        return 200, ''

    def stop(self, now_ms, task, run, token):
        """Stops a run, or refuses it for good."""
        self.advance(now_ms)
        if token < self._token:
            return 409, 'fence'
        self._token = token
        found = self.runs.get((task, run))
        if found is not None and found.stop_ms is None:
            found.stop_ms = now_ms + STOP_MS
        self._highest[task] = max(run, self._highest.get(task, 0))
        return 200, ''

    def look(self, now_ms, token, last_seen, until_ms=None):
        """Forgets ends, extends the lease."""
        self.advance(now_ms)
        if token < self._token:
            return 409, 'fence'
        self._token = token
        for end in self.ends:
            if end[0] <= last_seen:
                self._ledger.note(end[1], end[3])
        self.ends = [end for end in self.ends if end[0] > last_seen]
        if until_ms is not None:
            self._extend(now_ms, until_ms)
        return 200, ''

    def rows(self, now_ms):
        """Returns the rows [task, run, saved, percent, figure]."""
        rows = []
        for (task, run), found in self.runs.items():
            percent = 100
            if found.size.work_ms is not None:
                spent = now_ms - found.begun_ms + found.worked
                percent = min(99, 100 * spent // max(1, found.size.work_ms))
            rows.append([task, run, found.saved, percent, 0])
        return rows

    # Time

    def advance(self, now_ms):
        """Lets runs save, finish, stop or lapse until a time."""
        for (task, run), found in list(self.runs.items()):
            over_ms = found.done_ms
            how = 'failed' if found.size.fails(run) else 'done'
            if found.stop_ms is not None:
                if over_ms is None or found.stop_ms < over_ms:
                    over_ms, how = found.stop_ms, 'stopped'
            lapse_ms = self.born_ms + self._lease_ms / self._rate
            if self._lease_ms and (over_ms is None or lapse_ms < over_ms):
                over_ms, how = lapse_ms, 'lapsed'
            self._save(task, found, min(now_ms, over_ms or now_ms))
            if over_ms is not None and over_ms <= now_ms:
                self._end(task, run, how)

    def next_ms(self):
        """Returns when something ends next, None if nothing runs."""
        times = [self.born_ms + self._lease_ms / self._rate]
        for found in self.runs.values():
            times += [found.done_ms, found.stop_ms]
        times = [one for one in times if one is not None]
        return min(times) if self.runs else None

    def die(self):
        """Ends everything without a word."""
        for task, run in list(self.runs):
            self._ledger.end(task, run, 'crashed')
        self.runs = {}

    def _end(self, task, run, how):
        found = self.runs.pop((task, run))
        if how == 'lapsed':
            found.stop_ms = None
        self._last_end += 1
        self._highest[task] = max(run, self._highest.get(task, 0))
        self.ends.append([self._last_end, task, run, how, found.saved])
        if how == 'failed':
            self._ledger.failures[task] += 1
        self._ledger.end(task, run, how)

    def _save(self, task, found, now_ms):
        if not found.size.saves:
            return
        worked = found.worked + int(now_ms - found.begun_ms)
        whole = worked - worked % CHECKPOINT_MS
        if whole > found.worked:
            found.saved = f'{task}@{whole}'
            self._ledger.saved[task].add(found.saved)

    def _extend(self, now_ms, until_ms):
        longest_ms = self.clock(now_ms) + MAX_LEASE_MS
        self._lease_ms = max(self._lease_ms, min(until_ms, longest_ms))

    def _check_room(self, now_ms):
        sizes = [found.size for found in self.runs.values()]
        used_cpu = sum(size.cpu for size in sizes if not size.fills)
        if used_cpu > self.cpu:
            self._ledger.overloaded(now_ms, self.name, 'processors')
        if sum(size.memory_mb for size in sizes) > self.memory_mb:
            self._ledger.overloaded(now_ms, self.name, 'memory')
