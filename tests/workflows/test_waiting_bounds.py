"""Draws changes of leader and losses of workers; no task waits beyond a bound.

The workers' ledger tells which tasks are at work, not the dispatcher.  The
workers in touch always have room.  More seeds by hand:
``python -m tests.workflows.test_waiting_bounds DRAWS FIRST COUNT``.
"""

import collections
import logging
import random
import sys
import unittest

from fuchsiatrestle.state import workflows
from standins import worker_model
from tests.fakes import dispatch_world

SEEDS = range(16)
# Draws and seeds that failed when run by hand.
FAILED_SEEDS = (
    ('some', 374),
    ('some', 382),
    ('some', 393),
    ('wide', 0),
    ('wide', 75),
    ('wide', 332),
    ('busy', 1),
    ('busy', 9),
    ('busy', 29),
    ('all', 275),
)
# In these a lease begins shortly after the last fault: a start on a worker
# that was just cut off, or trials of suspected tasks after a new leader.
LATE_LEASE_SEEDS = (('wide', 130), ('all', 156))
WORKER_COUNT = 8
MAX_CUT_WORKERS = 3
EPISODES = 3
# Longer than the latest bound after the last fault of an episode.
CALM_MS = 14_000
SAMPLE_MS = 100

# Rule LOST: a task runs if there was room for this long.
MAX_WAIT_MS = 3000
# Rule LOST: for a task that lasts, from this time after its last run on.
LASTING_GRACE_MS = 6000
# Rule LOST: only times without a fault in so much time before count.
CONTACT_MS = 4000
# Lease of 5900 ms and 100 ms of drift on a clock that runs 2 % slow.
SLOWEST_LEASE_MS = 6123
# A worker counts as silent no sooner than a poll that waits for 1000 ms has
# got no answer for 1000 ms; orders made until then extend its lease.
NOTICE_MS = 2000


class Wait:
    """A task that waited beyond its bound.

    Attributes:
        task: its id.
        kind: ``lasts``, ``fills`` or ``batch``.
        rule: ``LOST`` if it breaks the rule as written, else ``lease``.
        seen_ms: when the bound was exceeded.
        ended_ms: when the task ran again, None if it didn't.
        idle_since_ms: end of its last run.
        cause: which state of the leader kept the task, in short.
        text: the state of the leader at ``seen_ms``.
    """

    __slots__ = (
        'cause',
        'ended_ms',
        'idle_since_ms',
        'kind',
        'rule',
        'seen_ms',
        'task',
        'text',
    )

    def __init__(self, task, kind, rule, seen_ms, idle_since_ms, cause, text):
        self.cause = cause
        self.task = task
        self.kind = kind
        self.rule = rule
        self.seen_ms = seen_ms
        self.ended_ms = None
        self.idle_since_ms = idle_since_ms
        self.text = text

    def __repr__(self):
        return (
            f'\n{self.rule} {self.kind} {self.task.workflow_id}.'
            f'{self.task.step}.{self.task.index}: idle since '
            f'{self.idle_since_ms}, late at {self.seen_ms}, runs again at '
            f'{self.ended_ms}: {self.cause}\n    {self.text}'
        )


class WaitObserver:
    """Samples a world and finds the tasks that wait beyond their bounds.

    Args:
        world: the ``World``.

    Attributes:
        waits: list of ``Wait``.
        longest_ms: longest time over the start of the bound, for each kind.
    """

    def __init__(self, world):
        self.waits = []
        self.checked_counts = collections.Counter()
        self._world = world
        # All by task id.
        self._idle_since_ms = {}
        self._lease_end_ms_by_task = {}
        self._room_since_ms = {}
        self._last_start_ms = {}
        self._open_waits = {}
        self._known_starts = 0

    def run(self, duration_ms):
        """Runs the world and samples it."""
        until_ms = self._world.now_ms + duration_ms
        while self._world.now_ms < until_ms:
            self._world.run(min(SAMPLE_MS, until_ms - self._world.now_ms))
            self._sample()

    def _sample(self):
        world = self._world
        at_work = {task for task, _ in world.ledger.running}
        at_work |= self._read_new_starts()
        usable_workers = self._usable_workers()
        free_cpu, is_half_free = self._free_cpu(usable_workers)
        waiting_tasks = set()
        for workflow in list(world.workflow_store.open_workflows.values()):
            for task, state in workflow.tasks.items():
                if state.is_done or not workflow.is_step_ready(
                    task.occurrence, task.step
                ):
                    continue
                if task in at_work:
                    continue
                waiting_tasks.add(task)
                step = workflow.spec.steps[task.step]
                self._idle_since_ms.setdefault(task, world.now_ms)
                self._lease_end_ms_by_task[task] = max(
                    self._lease_end_ms_by_task.get(task, 0),
                    self._lease_end_ms(state),
                )
                allowed_cpu = {
                    name: cpu
                    for name, cpu in free_cpu.items()
                    if world.ledger.may_run_on(name, task)
                }
                if is_half_free and _has_room_twice(step, allowed_cpu):
                    self._room_since_ms.setdefault(task, world.now_ms)
                    self._check_wait(task, state, step)
                else:
                    self._room_since_ms.pop(task, None)
        for task in list(self._idle_since_ms):
            if task not in waiting_tasks:
                del self._idle_since_ms[task]
                del self._lease_end_ms_by_task[task]
                self._room_since_ms.pop(task, None)
                if task in self._open_waits:
                    self._open_waits.pop(task).ended_ms = world.now_ms

    def _read_new_starts(self):
        """Returns the tasks of the runs started since the last sample."""
        ledger = self._world.ledger
        if ledger.starts == self._known_starts:
            return set()
        new_runs = list(ledger.start_ms_by_run)[len(self._last_start_ms) :]
        self._known_starts = ledger.starts
        for key in new_runs:
            self._last_start_ms[key] = ledger.start_ms_by_run[key]
        return {task for task, _ in new_runs}

    def _usable_workers(self):
        """Returns the workers in touch whose processes have announced."""
        world = self._world
        lost_workers = (
            self._cut_workers()
            | world.draining_workers
            | world.unannounced_workers
            | world.startless_workers
            | set(world._leaving_models)
        )
        return {
            name
            for name, model in world._worker_models.items()
            if name not in lost_workers
            and self._has_announced(name, model.born_ms)
        }

    def _cut_workers(self):
        world = self._world
        return (
            world.unreachable_workers
            | world.deaf_workers
            | world.voiceless_workers
        )

    def _has_announced(self, name, born_ms):
        announcement = self._world.last_announcement_by_worker.get(name)
        return announcement is not None and announcement.born_ms == born_ms

    def _free_cpu(self, usable_workers):
        """Returns the free processor time by worker, and if half is free."""
        world = self._world
        free_cpu = {
            name: world._worker_models[name].cpu_milli
            for name in usable_workers
        }
        total_cpu = sum(free_cpu.values())
        for (task, _), name in world.ledger.running.items():
            if name in free_cpu:
                free_cpu[name] -= world._find_profile(task).cpu_milli
        return free_cpu, sum(free_cpu.values()) * 2 > total_cpu

    def _check_wait(self, task, state, step):
        world = self._world
        if task in self._open_waits:
            return
        since_ms = max(
            self._idle_since_ms[task],
            self._room_since_ms[task],
            world.last_fault_ms + CONTACT_MS,
        )
        rule = 'lease'
        has_run = any(key[0] == task for key in self._last_start_ms)
        if step.lasts and has_run:
            rule = 'LOST'
            since_ms = max(
                since_ms, self._idle_since_ms[task] + LASTING_GRACE_MS
            )
        else:
            since_ms = max(since_ms, self._lease_end_ms_by_task[task])
        kind = 'fills' if step.fills else 'lasts' if step.lasts else 'batch'
        waited_ms = world.now_ms - since_ms
        if waited_ms >= 0:
            self.checked_counts[kind] += 1
        if waited_ms > MAX_WAIT_MS:
            wait = Wait(
                task,
                kind,
                rule,
                world.now_ms,
                self._idle_since_ms[task],
                self._find_cause(task, state),
                self._describe(task, state),
            )
            self._open_waits[task] = wait
            self.waits.append(wait)

    def _lease_end_ms(self, state):
        """Returns when the runs of a task on lost workers are surely over."""
        world = self._world
        # Those of which only starts or announcements are lost do answer.
        answering_workers = self._usable_workers() | (
            world.startless_workers | world.unannounced_workers
        ).intersection(world.worker_names())
        answering_workers -= self._cut_workers()
        lost_workers = {
            live_run.worker for live_run in state.live_runs.values()
        } - answering_workers
        return max(
            (
                max(
                    world.last_reply_ms_by_worker.get(name, 0) + NOTICE_MS,
                    world.led_since_ms,
                )
                + SLOWEST_LEASE_MS
                for name in lost_workers
            ),
            default=0,
        )

    def _find_cause(self, task, state):
        if not state.live_runs:
            return (
                'free, suspected' if state.possible_worker_crashes else 'free'
            )
        causes = []
        for live_run in state.live_runs.values():
            worker = self._world._dispatcher._state.fleet.get(live_run.worker)
            run = worker and worker.runs.get((task, live_run.run))
            if run is None:
                causes.append('live run without a run')
                continue
            cause = f'{run.phase} run'
            if live_run.worker in self._world.deaf_workers:
                cause += ' on a deaf worker'
            if live_run.worker in self._world.startless_workers:
                cause += ' on a worker that answers no starts'
            if run.earlier_lease_end_ms is not None:
                cause += ' with a lease of an earlier process'
            if worker.lease_clock._clock_reading_ms is None:
                cause += ', clock of the worker unknown'
            causes.append(cause)
        return '; '.join(causes)

    def _describe(self, task, state):
        world = self._world
        dispatcher = world._dispatcher
        parts = [
            f'last fault {world.last_fault_ms}, '
            f'leader {world._leader_token} since {world.led_since_ms}, '
            f'idle proposals {dispatcher._state.proposals.is_idle}, '
            f'crashes {state.worker_crashes}/{state.possible_worker_crashes}, '
            f'usable {sorted(self._usable_workers())}'
        ]
        for live_run in state.live_runs.values():
            worker = dispatcher._state.fleet.get(live_run.worker)
            run = worker and worker.runs.get((task, live_run.run))
            process = world._worker_models.get(live_run.worker)
            parts.append(
                f'live run {live_run.run} on {live_run.worker} of process '
                f'{live_run.born_ms}; in truth process '
                f'{process and process.born_ms}'
            )
            if worker:
                parts.append('worker ' + _slots_text(worker))
                parts.append('clock ' + _slots_text(worker.lease_clock))
            if run:
                parts.append('run ' + _slots_text(run))
        return '\n    '.join(parts)


def _slots_text(item):
    return ' '.join(
        f'{name}={getattr(item, name)}'
        for name in item.__slots__
        if name not in ('record', 'runs', 'capacity', 'step', 'lease_clock')
    )


def _has_room_twice(step, free_cpu):
    return sum(max(0, cpu) // step.cpu for cpu in free_cpu.values()) >= 2


def _submit_lasting(world, source, number):
    cpu = source.choice((500, 1000, 1500))
    count = source.choice((1, 1, 2, 3))
    step = workflows.Step(
        count,
        cpu=cpu,
        memory_mb=10,
        lasts=True,
        label=source.choice(('', '', 'a')),
    )
    profile = worker_model.TaskProfile(cpu, 10, None)
    world.submit(f'lasts-{number}', [step], [profile])


def _submit_batch(world, source, number):
    steps, profiles = [], []
    for step_number in range(source.choice((1, 1, 2))):
        cpu = source.choice((500, 1000))
        work_ms = source.choice((300, 2000, 9000, 20_000))
        saves = source.random() < 0.5
        steps.append(
            workflows.Step(
                source.randint(1, 3),
                cpu=cpu,
                memory_mb=10,
                estimate_ms=work_ms,
                after=[step_number - 1] if step_number else [],
                checkpoints=saves,
            )
        )
        profiles.append(
            worker_model.TaskProfile(
                cpu, 10, work_ms, writes_checkpoints=saves
            )
        )
    world.submit(f'batch-{number}', steps, profiles)


def _submit_short(world, source, number):
    step = workflows.Step(2, cpu=500, memory_mb=10, estimate_ms=1000)
    profile = worker_model.TaskProfile(500, 10, 1000)
    world.submit(f'short-{number}', [step], [profile])


def _submit_best_effort(world, source, number):
    work_ms = source.choice((3000, 20_000, 60_000))
    step = workflows.Step(
        source.randint(1, 3),
        cpu=500,
        memory_mb=10,
        estimate_ms=work_ms,
        fills=True,
        image=source.choice(('x', 'y')),
    )
    profile = worker_model.TaskProfile(500, 10, work_ms, fills=True)
    world.submit(f'fills-{number}', [step], [profile])


SUBMISSIONS = (_submit_lasting, _submit_batch, _submit_best_effort)


def _pick_worker(world, source):
    """Returns a worker, mostly one that runs something."""
    names = world.worker_names()
    busy_names = sorted(set(world.ledger.running.values()) & set(names))
    if busy_names and source.random() < 0.8:
        names = busy_names
    return source.choice(names)


def _count_lost(world):
    names = (
        world.unreachable_workers
        | world.deaf_workers
        | world.voiceless_workers
        | world.last_word_workers
        | world.unannounced_workers
        | world.startless_workers
    )
    present_count = len(set(world.worker_names()) - names)
    return WORKER_COUNT - present_count


def _cut(observer, world, source):
    cut_workers = source.choice(
        (
            world.unreachable_workers,
            world.deaf_workers,
            world.voiceless_workers,
            world.unannounced_workers,
        )
    )
    cut_workers.add(_pick_worker(world, source))
    world.record_fault()


def _cut_starts(observer, world, source):
    """Lets start orders to a worker get lost, and no others."""
    world.startless_workers.add(_pick_worker(world, source))
    world.record_fault()


def _restart_deaf(observer, world, source):
    """Restarts a worker that nothing reaches and that is heard."""
    name = _pick_worker(world, source)
    world.deaf_workers.add(name)
    world.crash_worker(name, source.choice((5, 300, 900, 2500)))


def _restart(observer, world, source):
    """Restarts a worker; the leader hears of it late or by a poll."""
    world.first_announcement_ms = source.choice((0, 300, 1500, 60_000))
    name = _pick_worker(world, source)
    # See ``_restart_deaf``.
    world.deaf_workers.discard(name)
    world.crash_worker(
        name,
        source.choice((5, 300, 900, 2500)),
        source.random() < 0.2,
    )


def _restart_with_last_word(observer, world, source):
    """Restarts a worker, which answers one poll and nothing after it."""
    world.first_announcement_ms = 60_000
    name = _pick_worker(world, source)
    world.crash_worker(name, source.choice((5, 300, 900, 1800)))
    world.last_word_workers.add(name)


def _restart_unheard(observer, world, source):
    """Restarts a worker, of which nothing is heard any more."""
    name = _pick_worker(world, source)
    world.unreachable_workers.add(name)
    world.crash_worker(name, source.choice((5, 500, 5000)))


def _crash(observer, world, source):
    world.crash_worker(_pick_worker(world, source), 60_000)


def _leave(observer, world, source):
    name = _pick_worker(world, source)
    world.draining_workers.add(name)
    observer.run(source.choice((0, 500, 2000)))
    if source.random() < 0.3:
        world.deaf_workers.add(name)
    if name in world.worker_names():
        world.leave(name, source.randint(0, 4000))
    world.record_fault()


def _change_leader(observer, world, source):
    for _ in range(source.choice((1, 1, 2, 4))):
        world.start_leader()
        observer.run(source.choice((5, 50, 400, 1500, 3000)))


def _restore_snapshot(observer, world, source):
    world.restore_replicas()


def _freeze_leader(observer, world, source):
    frozen_leader = world.freeze_leader()
    observer.run(source.choice((0, 50, 1000, 4000)))
    world.wake_leader(frozen_leader)


def _stall_leader(observer, world, source):
    duration_ms = source.choice((200, 1500, 4000))
    world.stall_leader(duration_ms)
    observer.run(duration_ms)


def _delay_agreement(observer, world, source):
    world.added_agreement_ms = source.choice((200, 1000, 2500))
    duration_ms = source.choice((100, 1000))
    # Proposals of this time may still be pending after it.
    world.record_fault(duration_ms + 2500)
    observer.run(duration_ms)
    world.added_agreement_ms = 0


def _submit_spread(world, source, number):
    """Submits lasting tasks of which a worker runs two at most."""
    step = workflows.Step(
        3, cpu=500, memory_mb=10, lasts=True, most_per_worker=2
    )
    profile = worker_model.TaskProfile(500, 10, None)
    world.submit(
        f'spread-{number}',
        [step],
        [profile],
        source.choice(
            (dispatch_world.PREFIX, dispatch_world.LOW_PRIORITY_PREFIX)
        ),
    )


def _cancel(world, source, number):
    workflow_ids = [
        workflow_id
        for workflow_id in world.workflow_store.open_workflows
        if not workflow_id.startswith('spread-')
    ]
    if workflow_ids:
        world.cancel(source.choice(sorted(workflow_ids)))


def _drain(observer, world, source):
    """Lets a worker drain for a while."""
    name = _pick_worker(world, source)
    world.draining_workers.add(name)
    observer.run(source.choice((500, 2000, 6000)))
    world.draining_workers.discard(name)
    world.record_fault()


def _shrink(observer, world, source):
    """Halves the capacity of a worker for a while."""
    name = _pick_worker(world, source)
    world.set_capacity(name, 4000)
    observer.run(source.choice((500, 3000, 6000)))
    world.set_capacity(name, 8000)
    world.record_fault()


WIDE_SUBMISSIONS = (*SUBMISSIONS, _submit_spread, _cancel)
WIDE_FAULTS = (_drain, _shrink)

LOSSES = (
    _cut,
    _cut,
    _restart,
    _restart_unheard,
    _crash,
    _leave,
)
ALL_LOSSES = (*LOSSES, _restart_with_last_word, _restart_deaf, _cut_starts)
LEADER_FAULTS = (
    _change_leader,
    _change_leader,
    _restore_snapshot,
    _freeze_leader,
    _stall_leader,
    _delay_agreement,
)


def _rejoin(world):
    for workers in (
        world.unreachable_workers,
        world.deaf_workers,
        world.voiceless_workers,
        world.last_word_workers,
        world.draining_workers,
        world.unannounced_workers,
        world.startless_workers,
    ):
        if workers:
            world.record_fault()
        workers.clear()
    world.first_announcement_ms = 0
    while len(world.worker_names()) < WORKER_COUNT:
        # A VM under a new name takes the place of a lost one.
        world.add_worker(f'w{100 + world.now_ms // 100 * 2}')
        world.run(100)


def _run_episode(observer, world, source, number, draws):
    """Draws a few faults, then waits in calm."""
    for _ in range(source.randint(1, 3)):
        submit = source.choice(
            WIDE_SUBMISSIONS if draws.is_wide else SUBMISSIONS
        )
        submit(world, source, f'{number}-{world.now_ms}')
        observer.run(source.choice((10, 500, 2000)))
    world.faults = source.choice(
        (
            dispatch_world.Faults(),
            dispatch_world.Faults(),
            dispatch_world.Faults(0.05, 0.05),
            dispatch_world.Faults(0.02, 0.02, 0.06, 4000),
        )
    )
    for _ in range(source.randint(1, 4)):
        faults = (draws.losses, LEADER_FAULTS)
        if draws.is_wide:
            faults += (WIDE_FAULTS,)
        inject = source.choice(source.choice(faults))
        if inject in draws.losses and _count_lost(world) >= MAX_CUT_WORKERS:
            inject = source.choice(LEADER_FAULTS)
        inject(observer, world, source)
        observer.run(source.choice((5, 100, 700, 2000, 5000)))
    if source.random() < 0.3:
        _rejoin(world)
    world.faults = dispatch_world.Faults()
    if not draws.is_busy:
        observer.run(CALM_MS)
        return
    for second in range(CALM_MS // 1000):
        submit = source.choice((_submit_short, _submit_best_effort))
        submit(world, source, f'{number}-calm-{second}')
        observer.run(1000)


class Draws:
    """What a seed draws from.

    Attributes:
        losses: the losses of workers.
        is_wide: True if workflows are cancelled, workers drain and shrink and
            list few ends at a time, too.
        is_busy: True if workflows are submitted in calm, too.
    """

    __slots__ = ('is_busy', 'is_wide', 'losses')

    def __init__(self, losses, is_wide=False, is_busy=False):
        self.losses = losses
        self.is_wide = is_wide
        self.is_busy = is_busy


DRAWS_BY_NAME = {
    'some': Draws(LOSSES),
    'all': Draws(ALL_LOSSES),
    'wide': Draws(LOSSES, is_wide=True),
    'busy': Draws(LOSSES, is_wide=True, is_busy=True),
}


def run_seed(seed, draws):
    """Runs a world with the faults that a seed draws.

    Args:
        seed: the seed.
        draws: ``Draws``.

    Returns:
        The ``World`` and the ``WaitObserver``.
    """
    source = random.Random(f'waits/{seed}')
    world = dispatch_world.World(
        seed,
        workers=WORKER_COUNT,
        refuses_connections=source.random() < 0.5,
    )
    if draws.is_wide:
        world.max_listed_ends = source.choice((1, 2, 3, 500))
    observer = WaitObserver(world)
    observer.run(1000)
    for number in range(4):
        _submit_lasting(world, source, f'first-{number}')
    for number in range(3):
        _submit_batch(world, source, f'first-{number}')
        _submit_best_effort(world, source, f'first-{number}')
    observer.run(source.choice((200, 3000)))
    for number in range(EPISODES):
        _run_episode(observer, world, source, number, draws)
        _rejoin(world)
        observer.run(1000)
    return world, observer


def _find_given_up(world):
    """Returns the failed workflows; no run of a seed fails."""
    return [
        workflow_id
        for workflow_id in world.profiles_by_workflow
        if world.workflow_state(workflow_id) == 'failed'
    ]


class WaitingBoundsTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def _check_seeds(self, draws_and_seeds):
        for draws_name, seed in draws_and_seeds:
            with self.subTest(draws=draws_name, seed=seed):
                world, observer = run_seed(seed, DRAWS_BY_NAME[draws_name])
                self.assertEqual([], observer.waits)
                self.assertEqual([], world.ledger.breaches)
                self.assertEqual([], _find_given_up(world))

    def test_no_task_waits_beyond_its_bound_while_workers_have_room(self):
        self._check_seeds(('some', seed) for seed in SEEDS)

    def test_no_task_waits_beyond_its_bound_whatever_faults_come(self):
        self._check_seeds(('all', seed) for seed in SEEDS)

    def test_no_task_waits_beyond_its_bound_in_seeds_that_failed(self):
        self._check_seeds(FAILED_SEEDS)

    def test_no_task_waits_for_lease_that_begins_after_the_last_fault(self):
        self._check_seeds(LATE_LEASE_SEEDS)


class StuckRunTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def _start_world(self):
        """Returns a world whose second leader has adopted a lasting task.

        Returns:
            The world, its observer and the worker that runs the task.
        """
        world = dispatch_world.World(4, workers=4)
        observer = WaitObserver(world)
        world.submit_task('lasting', 1000)
        observer.run(20_000)
        world.start_leader()
        observer.run(2000)
        (worker,) = world.ledger.running.values()
        return world, observer, worker

    def _check_runs(self, world, observer, count):
        observer.run(CALM_MS)
        self.assertEqual([], observer.waits)
        self.assertEqual(count, len(world.ledger.running))
        self.assertEqual([], world.ledger.breaches)

    def test_adopted_task_runs_again_if_next_process_answers_only_once(self):
        world, observer, worker = self._start_world()
        world.first_announcement_ms = 60_000
        world.last_word_workers.add(worker)
        world.crash_worker(worker, 300)
        self._check_runs(world, observer, 1)

    def test_adopted_task_runs_again_if_next_process_is_heard_but_deaf(self):
        world, observer, worker = self._start_world()
        world.deaf_workers.add(worker)
        world.crash_worker(worker, 300)
        self._check_runs(world, observer, 1)

    def test_adopted_task_runs_again_if_next_process_has_taken_its_stop(self):
        world, observer, worker = self._start_world()
        world.crash_worker(worker, 300)
        observer.run(310)
        world.unreachable_workers.add(worker)
        world.record_fault()
        self._check_runs(world, observer, 1)

    def test_lasting_task_does_not_go_from_one_deaf_worker_to_the_next(self):
        world, observer, worker = self._start_world()
        world.deaf_workers |= {worker, 'w0', 'w1'}
        world.record_fault()
        observer.run(SLOWEST_LEASE_MS)
        self._check_runs(world, observer, 1)

    def test_lasting_task_is_not_given_up_for_workers_that_are_deaf(self):
        world, observer, worker = self._start_world()
        world.deaf_workers |= {worker, 'w0', 'w1'}
        observer.run(45_000)
        self.assertEqual('running', world.workflow_state('lasting'))

    def test_new_tasks_are_not_started_on_worker_that_is_known_as_deaf(self):
        world, observer, worker = self._start_world()
        world.deaf_workers.add(worker)
        world.record_fault()
        observer.run(CALM_MS)
        self.assertNotIn(worker, world.ledger.running.values())
        step = workflows.Step(4, cpu=500, memory_mb=10, fills=True, image='x')
        profile = worker_model.TaskProfile(500, 10, 60_000, fills=True)
        world.submit('fills', [step], [profile])
        self._check_runs(world, observer, 5)

    def test_tasks_do_not_wait_for_worker_that_answers_all_but_starts(self):
        world = dispatch_world.World(4, workers=4)
        observer = WaitObserver(world)
        observer.run(5000)
        world.startless_workers.add('w0')
        world.record_fault()
        for number in range(4):
            world.submit_task(f'lasting-{number}', 1000)
        self._check_runs(world, observer, 4)


def _main(draws_name, first_seed, count):
    draws = DRAWS_BY_NAME[draws_name]
    logging.disable(logging.CRITICAL)
    failed_seeds = []
    checked_counts = collections.Counter()
    cause_counts = collections.Counter()
    for seed in range(int(first_seed), int(first_seed) + int(count)):
        world, observer = run_seed(seed, draws)
        checked_counts.update(observer.checked_counts)
        cause_counts.update(
            (wait.rule, wait.kind, wait.cause) for wait in observer.waits
        )
        given_up = _find_given_up(world)
        if observer.waits or world.ledger.breaches or given_up:
            failed_seeds.append(seed)
            print(
                f'seed {seed}: {observer.waits}\n'
                f'breaches {world.ledger.breaches}, given up {given_up}',
                flush=True,
            )
    print(f'{count} seeds, failed {failed_seeds}, {dict(checked_counts)}')
    for cause, count in cause_counts.most_common():
        print(count, *cause)
    return 1 if failed_seeds else 0


if __name__ == '__main__':
    if sys.argv[1:]:
        sys.exit(_main(*sys.argv[1:]))
    unittest.main()
