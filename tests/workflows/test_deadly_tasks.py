"""Runs the dispatcher with tasks that crash each worker that starts them.

The ledger of the workers counts these crashes and the starts after them.  A
job with such a deadly task has to fail in time, and no harmless job may fail,
whatever crashes its workers.
"""

import logging
import random
import unittest

from fuchsiatrestle.state import _workflows_model
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import workflows
from fuchsiatrestle import workflows as dispatcher
from fuchsiatrestle.workflows import _crashes
from fuchsiatrestle.workflows import _groups
from fuchsiatrestle.workflows import _placement
from standins import worker_model
from tests.fakes import dispatch_world

# Time after its start at which a deadly task crashes its worker.
CRASH_DELAY_MS = 10
# Time within which all deadly jobs have to fail while nothing else goes wrong.
CALM_MS = 100_000
# A crash or cut this soon after the start of a run may look like a deadly task
# to a leader that misses some replies.
EARLY_MS = 2500
# Greatest number of early crashes and cuts of a harmless task, to which the
# random faults keep.  With three of them nothing tells it from a deadly one.
MAX_EARLY_FAULTS = 2
LEASE_MS = 6000
# A long-running task runs again within this time after its last run if a
# worker has room for it.
MAX_WAIT_MS = 9000
FAULT_SEEDS = range(40)
MIX_SEEDS = range(30)
# Runs in which the leader changes after a late start or twice in a row.
CHANGED_LEADER_SEEDS = (49, 57, 76)
FAULTY_MS = 25_000
# Time after the random faults within which deadly jobs fail, and harmless ones
# are completed.
MIX_CALM_MS = 60_000
HARMLESS_CALM_MS = 25_000
FLAP_INTERVAL_MS = 1400
# The wait for the next start of a run: its slices and their greatest number.
WAIT_SLICE_MS = 5
MAX_WAIT_SLICES = 120
ORDER_FAULTS = (
    dispatch_world.Faults(),
    dispatch_world.Faults(lost_order_share=0.03, lost_reply_share=0.03),
    dispatch_world.Faults(lost_order_share=0.02, late_order_share=0.04),
)


def _submit_job(
    world,
    workflow_id,
    *,
    work_ms=None,
    task_count=1,
    deadly_index=None,
    crash_delay_ms=CRASH_DELAY_MS,
):
    """Submits a job of one step.

    Args:
        world: the ``World``.
        workflow_id: its id.
        work_ms: run time of its batch tasks; None if they are long-running.
        task_count: number of its tasks.
        deadly_index: index of its deadly task, None if all are harmless.
        crash_delay_ms: time after its start at which that task crashes its
            worker.
    """
    step = workflows.Step(
        task_count,
        cpu=500,
        memory_mb=100,
        estimate_ms=work_ms or 0,
        lasts=work_ms is None,
    )
    profile = worker_model.TaskProfile(
        500,
        100,
        work_ms,
        crash_delay_ms=None if deadly_index is None else crash_delay_ms,
        crashes_worker=lambda task: task.index == deadly_index,
    )
    world.submit(workflow_id, [step], [profile])


def _submit_harmless_jobs(world, job_count):
    """Submits harmless jobs, alternately batch and long-running.

    Returns:
        The ids of the batch jobs and the ids of the long-running jobs.
    """
    batch_ids, long_running_ids = [], []
    for number in range(job_count):
        is_batch = number % 2 == 0
        workflow_id = f'harmless-{number}'
        _submit_job(
            world,
            workflow_id,
            work_ms=1500 if is_batch else None,
            task_count=1 + number % 3,
        )
        (batch_ids if is_batch else long_running_ids).append(workflow_id)
    return batch_ids, long_running_ids


class _FaultInjector:
    """Injects random faults of workers and leaders.

    Args:
        world: the ``World``.
        random_source: source of the random choices.
    """

    def __init__(self, world, random_source):
        self._world = world
        self._random = random_source
        # Tasks that a cut has hit early, one entry for each cut.
        self._early_cut_tasks = []

    def run(self, duration_ms):
        """Simulates a span of time with a fault after each short slice.

        About half of the faults are crashes right after the start of a run.
        """
        end_ms = self._world.now_ms + duration_ms
        while self._world.now_ms < end_ms:
            if self._random.random() < 0.5:
                self._crash_after_start()
            else:
                self._world.run(self._random.randint(50, 600))
                self._inject_fault()

    def _crash_after_start(self):
        """Waits for the start of a run and crashes its worker soon after."""
        ledger = self._world.ledger
        starts = ledger.starts
        for _ in range(MAX_WAIT_SLICES):
            self._world.run(WAIT_SLICE_MS)
            if ledger.starts > starts:
                break
        self._world.run(self._random.randint(5, 300))
        running_runs = list(ledger.running)
        if running_runs:
            worker = ledger.running[
                max(running_runs, key=ledger.start_ms_by_run.get)
            ]
            if not self._would_exceed_early_faults(worker):
                self._crash_worker(worker)

    def _inject_fault(self):
        workers = [
            name
            for name in self._world.worker_names()
            if not self._would_exceed_early_faults(name)
        ]
        fault = self._random.choice(
            ('crash', 'cut', 'join', 'drain', 'flap', 'lead', 'none')
        )
        if fault == 'join':
            self._world.unreachable_workers.clear()
        elif fault == 'lead':
            self._world.start_leader()
        elif fault != 'none' and workers:
            getattr(self, f'_{fault}_worker')(self._random.choice(workers))

    def _find_early_tasks(self, worker):
        """Returns the tasks of the young runs on a worker."""
        ledger = self._world.ledger
        return [
            task
            for (task, run), name in ledger.running.items()
            if name == worker
            and self._world.now_ms - ledger.start_ms_by_run[task, run]
            < EARLY_MS
        ]

    def _would_exceed_early_faults(self, worker):
        """True if a task has suffered all early faults that it may suffer."""
        return any(
            self._early_cut_tasks.count(task)
            + sum(
                age_ms < EARLY_MS
                for age_ms in self._world.ledger.crash_ages_ms_by_task[task]
            )
            >= MAX_EARLY_FAULTS
            for task in self._find_early_tasks(worker)
        )

    def _crash_worker(self, worker):
        self._world.draining_workers.discard(worker)
        self._world.crash_worker(
            worker,
            self._random.randint(200, 4000),
            self._random.random() < 0.5,
        )

    def _cut_worker(self, worker):
        self._early_cut_tasks += self._find_early_tasks(worker)
        self._world.unreachable_workers.add(worker)

    def _drain_worker(self, worker):
        """Drains a worker, which then withdraws and ends its process."""
        self._world.draining_workers.add(worker)
        self._world.run(2000)
        if (
            worker in self._world.worker_names()
            and not self._would_exceed_early_faults(worker)
        ):
            self._world.withdraw_worker(worker)
            self._world.run(100)
            if worker in self._world.worker_names():
                self._crash_worker(worker)
        self._world.draining_workers.discard(worker)

    def _flap_worker(self, worker):
        """Ends a worker's process whenever it has been up for a while."""
        for _ in range(3):
            if (
                worker not in self._world.worker_names()
                or self._would_exceed_early_faults(worker)
            ):
                return
            self._world.draining_workers.discard(worker)
            self._world.crash_worker(worker, FLAP_INTERVAL_MS)
            self._world.run(2 * FLAP_INTERVAL_MS)


class _JobsTestCase(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def _check_jobs(self, world, failed_ids, batch_ids, long_running_ids):
        """Checks the jobs' states and that the long-running ones run."""
        self.assertEqual([], world.ledger.breaches)
        expected_states = (
            dict.fromkeys(failed_ids, 'failed')
            | dict.fromkeys(batch_ids, 'completed')
            | dict.fromkeys(long_running_ids, 'running')
        )
        self.assertEqual(
            expected_states,
            {name: world.workflow_state(name) for name in expected_states},
        )
        running_ids = {task.workflow_id for task, _ in world.ledger.running}
        self.assertEqual(set(long_running_ids), running_ids)


class DeadlyTaskTest(_JobsTestCase):
    def _check_deadly_job(self, work_ms):
        for crash, restart_ms, is_renamed in (
            ('seen by its new id', 3000, True),
            ('seen by its new start', 3500, False),
            ('seen by its silence', 30_000, False),
        ):
            with self.subTest(crash=crash):
                world = dispatch_world.World(
                    7, workers=6, refuses_connections=True
                )
                world.restart_ms = restart_ms
                world.renames_restarted = is_renamed
                _submit_job(
                    world,
                    'deadly',
                    work_ms=work_ms,
                    task_count=4,
                    deadly_index=1,
                )
                harmless_ids = _submit_harmless_jobs(world, 6)
                world.run(CALM_MS)
                self._check_jobs(world, ['deadly'], *harmless_ids)

    def test_job_with_a_deadly_batch_task_fails_in_time(self):
        self._check_deadly_job(1000)

    def test_job_with_a_deadly_long_running_task_fails_in_time(self):
        self._check_deadly_job(None)

    def test_exactly_the_deadly_of_many_jobs_fail(self):
        """Deadly tasks that start together are told from harmless ones."""
        for seed in range(5):
            with self.subTest(seed=seed):
                world = dispatch_world.World(
                    seed, workers=6, refuses_connections=True
                )
                deadly_ids = []
                for number in range(4):
                    deadly_ids.append(f'deadly-{number}')
                    _submit_job(
                        world,
                        deadly_ids[-1],
                        work_ms=1000 if number % 2 else None,
                        task_count=3,
                        deadly_index=number % 3,
                    )
                harmless_ids = _submit_harmless_jobs(world, 10)
                world.run(CALM_MS)
                self._check_jobs(world, deadly_ids, *harmless_ids)

    def _check_count_survives(self, change_leader):
        """Checks the starts of deadly tasks if the leader changes often.

        Args:
            change_leader: function from the ``World`` that starts a leader.
        """
        # The leader changes before, when and after it can learn of the crash.
        for delay_ms in (100, 1500, 3300, 4500):
            with self.subTest(delay_ms=delay_ms):
                world = dispatch_world.World(
                    9, workers=6, refuses_connections=True
                )
                for workflow_id, work_ms in (('batch', 1000), ('long', None)):
                    _submit_job(
                        world, workflow_id, work_ms=work_ms, deadly_index=0
                    )
                crash_counts = world.ledger.deadly_crash_counts
                harmless_ids = _submit_harmless_jobs(world, 4)
                end_ms = world.now_ms + CALM_MS
                while world.now_ms < end_ms:
                    seen_crashes = crash_counts.total()
                    world.run(500)
                    if crash_counts.total() > seen_crashes:
                        world.run(delay_ms)
                        change_leader(world)
                self._check_jobs(world, ['batch', 'long'], *harmless_ids)

    def test_count_of_crashes_survives_changes_of_leader(self):
        self._check_count_survives(dispatch_world.World.start_leader)

    def test_count_of_crashes_survives_snapshots(self):
        self._check_count_survives(dispatch_world.World.restore_replicas)


class HarmlessTaskTest(_JobsTestCase):
    def test_harmless_task_beside_a_deadly_one_does_not_fail(self):
        """Both have room on the same worker only, again and again."""
        for work_ms in (2000, None):
            for first_id in ('deadly', 'harmless'):
                with self.subTest(work_ms=work_ms, first_id=first_id):
                    world = dispatch_world.World(
                        3, workers=1, refuses_connections=True
                    )
                    second_id = {'deadly', 'harmless'}.difference([first_id])
                    for workflow_id in (first_id, *second_id):
                        _submit_job(
                            world,
                            workflow_id,
                            work_ms=work_ms,
                            deadly_index=(
                                0 if workflow_id == 'deadly' else None
                            ),
                        )
                    world.run(CALM_MS // 2)
                    self.assertGreater(
                        world.ledger.deadly_crash_counts.total(), 0
                    )
                    state = world.workflow_state('harmless')
                    self.assertNotEqual('failed', state)

    def test_long_running_task_that_ran_long_does_not_fail(self):
        """Now and then its worker crashes right after it has started."""
        world = dispatch_world.World(5, workers=4, refuses_connections=True)
        _submit_job(world, 'harmless')
        for _ in range(6):
            world.run(12_000)
            starts = world.ledger.starts
            (worker,) = world.ledger.running.values()
            world.crash_worker(worker, 3000, gets_new_id=True)
            while world.ledger.starts == starts:
                world.run(20)
            (worker,) = world.ledger.running.values()
            world.crash_worker(worker, 3000, gets_new_id=True)
        world.run(12_000)
        self._check_jobs(world, [], [], ['harmless'])

    def test_no_harmless_job_fails_when_workers_crash_for_other_reasons(self):
        for seed in FAULT_SEEDS:
            with self.subTest(seed=seed):
                self._check_jobs(*_run_with_faults(seed, deadly_count=0))

    def test_only_deadly_jobs_fail_among_random_faults(self):
        for seed in MIX_SEEDS:
            with self.subTest(seed=seed):
                self._check_jobs(*_run_with_faults(seed, deadly_count=2))

    def test_new_leader_counts_the_crash_of_a_start_it_did_not_see(self):
        for seed in CHANGED_LEADER_SEEDS:
            with self.subTest(seed=seed):
                self._check_jobs(*_run_with_faults(seed, deadly_count=2))


def _run_with_faults(seed, deadly_count):
    """Runs jobs with random faults, then without.

    Args:
        seed: seed of all random choices.
        deadly_count: number of the jobs with a deadly task.

    Returns:
        The ``World`` and the ids of the deadly jobs, the harmless batch jobs
        and the harmless long-running jobs.
    """
    random_source = random.Random(f'deadly/{seed}')
    world = dispatch_world.World(
        seed,
        workers=5,
        faults=ORDER_FAULTS[seed % len(ORDER_FAULTS)],
        refuses_connections=seed % 4 != 0,
    )
    world.renames_restarted = seed % 5 != 0
    deadly_ids = []
    for number in range(deadly_count):
        deadly_ids.append(f'deadly-{number}')
        _submit_job(
            world,
            deadly_ids[-1],
            work_ms=1000 if number % 2 else None,
            task_count=2,
            deadly_index=random_source.randrange(2),
            crash_delay_ms=random_source.randint(5, 30),
        )
    batch_ids, long_running_ids = _submit_harmless_jobs(world, 6)
    _FaultInjector(world, random_source).run(FAULTY_MS)
    world.faults = dispatch_world.Faults()
    world.unreachable_workers.clear()
    world.run(MIX_CALM_MS if deadly_count else HARMLESS_CALM_MS)
    return world, deadly_ids, batch_ids, long_running_ids


class IsolationTest(unittest.TestCase):
    """Harmless tasks whose workers end or are cut off after their start."""

    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_lasting_tasks_of_a_crashed_worker_run_again_in_time(self):
        world = dispatch_world.World(1, workers=4, refuses_connections=True)
        world.run(2000)
        for number in range(12):
            _submit_job(world, f'lasting-{number}')
        world.run(300)
        for worker in set(world.ledger.running.values()):
            world.crash_worker(worker, 3000, gets_new_id=True)
        world.run(9000)
        self.assertEqual(12, len(world.ledger.running))

    def test_cuts_after_the_start_fail_no_job(self):
        for seed in range(6):
            with self.subTest(seed=seed):
                world = dispatch_world.World(seed, workers=6)
                world.run(2000)
                _submit_job(world, 'cut-off')
                for _ in range(3):
                    starts = world.ledger.starts
                    while world.ledger.starts == starts:
                        world.run(10)
                    world.run(60)
                    world.unreachable_workers |= set(
                        world.ledger.running.values()
                    )
                world.run(12_000)
                self.assertEqual({}, world.ledger.crash_ages_ms_by_task)
                self.assertEqual('running', world.workflow_state('cut-off'))

    def test_worker_that_announces_itself_but_gets_no_orders_fails_no_job(
        self,
    ):
        """A start order that never arrives is not taken for a crash."""
        for work_ms in (None, 2000):
            with self.subTest(work_ms=work_ms):
                world = dispatch_world.World(1, workers=1)
                world.run(2000)
                world.deaf_workers.add('w0')
                _submit_job(world, 'unstarted', work_ms=work_ms)
                world.run(90_000)
                self.assertEqual(0, world.ledger.starts)
                world.deaf_workers.clear()
                world.run(9000)
                self.assertEqual(1, world.ledger.starts)

    def test_task_leaves_the_workers_that_get_no_orders_for_one_with_room(
        self,
    ):
        """It was tried in turn on those, as they have the fewest runs."""
        world = dispatch_world.World(1, workers=4)
        silent_workers, busy_workers = {'w0', 'w1'}, {'w2', 'w3'}
        world.draining_workers |= silent_workers
        world.run(2000)
        for number in range(4):
            _submit_job(world, f'running-{number}')
        world.run(1000)
        world.deaf_workers |= silent_workers
        world.draining_workers = set(busy_workers)
        world.run(2000)
        _submit_job(world, 'waiting')
        world.run(1000)
        world.draining_workers.clear()
        world.run(LEASE_MS + MAX_WAIT_MS)
        self.assertEqual(5, len(world.ledger.running))
        self.assertEqual([], world.ledger.breaches)

    def test_worker_that_restarts_before_a_trial_is_agreed_is_used_again(self):
        world = dispatch_world.World(1, workers=1, refuses_connections=True)
        world.renames_restarted = False
        world.run(2000)
        _submit_job(world, 'suspected')
        world.run(200)
        world.crash_worker('w0', 300)
        world.run(311)
        world.crash_worker('w0', 0)
        world.run(30_000)
        self.assertEqual(1, len(world.ledger.running))

    def test_lost_start_replies_of_workers_gone_for_good_are_counted(self):
        world = dispatch_world.World(3, workers=14)
        world.restart_ms = 10_000_000
        world.run(2000)
        send_reply = world._send_reply
        world._send_reply = lambda token, order, reply: send_reply(
            token,
            order,
            None if isinstance(order, dispatcher.StartRun) else reply,
        )
        _submit_job(world, 'deadly', deadly_index=0, crash_delay_ms=1)
        world.run(CALM_MS)
        self.assertEqual([], world.ledger.breaches)


class TrialWorkerTest(unittest.TestCase):
    """A worker that crashes again and again by itself, beside others."""

    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_next_trial_goes_to_a_worker_that_has_not_crashed(self):
        """A sound task was started on the same worker three times."""
        for crashed in ('w0', 'w1', 'w2'):
            with self.subTest(crashed=crashed):
                world = dispatch_world.World(1, workers=3)
                world.run(2000)
                step = workflows.Step(1, cpu=500, memory_mb=100)
                spec = workflows.WorkflowSpec('', [step])
                workflow = _workflows_model.Workflow('job', None, spec, 0)
                task_id = workflows.TaskId('job', 0, 0, 0)
                workflow.tasks[task_id].record_loss(
                    crashed, commands.StartOutcome.CRASHED
                )
                group = _groups.Group(workflow, 0, 0, [task_id])
                fleet = world._dispatcher._state.fleet
                worker, _ = _crashes.choose_trial_worker(
                    group,
                    list(fleet),
                    _placement.FirstFit(),
                    world.now_ms,
                )
                self.assertNotEqual(crashed, worker.name)
                # It is better than none.
                worker, _ = _crashes.choose_trial_worker(
                    group,
                    [fleet.get(crashed)],
                    _placement.FirstFit(),
                    world.now_ms,
                )
                self.assertEqual(crashed, worker.name)


if __name__ == '__main__':
    unittest.main()
