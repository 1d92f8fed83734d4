"""Checks that best-effort tasks with room do not wait without a bound.

The workers have room, but each of them runs serving tasks that some or all
best-effort images disturb.
"""

import logging
import random
import unittest

from fuchsiatrestle.state import workflows
from standins import tail_model
from standins import worker_model
from tests.fakes import dispatch_world

# A workflow whose task is due and has room must not be without a run for
# longer than this.
MAX_WAIT_MS = 3000
# The same for each further task of a workflow that has a run.
MAX_TASK_WAIT_MS = 6000
# Calm time from which on the bound holds: workers are polled, leases of cut
# workers are over on the slowest clock, and their runs are placed again.
SETTLE_MS = 7000
SAMPLE_MS = 100
# Time for all best-effort workflows to end after the last fault.
MAX_CALM_MS = 120_000
WORKER_CPU = 32_000
TAIL_TARGET_MS = 45
CALM_TAIL_MS = 20
SERVING_CPU = 6000
# Rise of a tail per share of the processors, by severity.
LIGHT_SLOPE = 0.5
# One task keeps the tail between calm and disturbed, so nothing is learned.
UNCLEAR_SLOPE = 6.4
# One task raises the tail just so far that it is halted.
HALTING_SLOPE = 8.8
HEAVY_SLOPE = 30
VERY_HEAVY_SLOPE = 100


class _IdleTimes:
    """Longest time without a run of each best-effort workflow.

    Args:
        world: the ``dispatch_world.World``.
    """

    def __init__(self, world):
        self._world = world
        self._idle_since_ms = {}
        self.max_idle_ms = 0
        self.idle_workflow = ''

    def run(self, duration_ms, *, counts=True):
        """Simulates a span of time.

        Args:
            duration_ms: its length.
            counts: False if waits in it do not count, nor what they last
                after it.
        """
        until_ms = self._world.now_ms + duration_ms
        while self._world.now_ms < until_ms:
            self._world.run(min(SAMPLE_MS, until_ms - self._world.now_ms))
            self._sample(counts)

    def _sample(self, counts):
        now_ms = self._world.now_ms
        running_ids = {
            task.workflow_id for task, _ in self._world.ledger.running
        }
        waiting_ids = [
            workflow_id
            for workflow_id in _open_best_effort_ids(self._world)
            if workflow_id not in running_ids
        ]
        self._idle_since_ms = {
            workflow_id: (
                self._idle_since_ms.get(workflow_id, now_ms)
                if counts
                else now_ms
            )
            for workflow_id in waiting_ids
        }
        for workflow_id, since_ms in self._idle_since_ms.items():
            if now_ms - since_ms > self.max_idle_ms:
                self.max_idle_ms = now_ms - since_ms
                self.idle_workflow = workflow_id


def _make_world(seed, workers):
    return dispatch_world.World(seed, workers=workers, cpu_milli=WORKER_CPU)


def _submit_serving(world, image, slope_by_image, count=1):
    step = workflows.Step(
        count,
        cpu=SERVING_CPU,
        memory_mb=1000,
        lasts=True,
        image=image,
        tail_target_ms=TAIL_TARGET_MS,
        most_per_worker=1,
    )
    profile = worker_model.TaskProfile(
        SERVING_CPU,
        1000,
        None,
        image=image,
        tail_target_ms=TAIL_TARGET_MS,
        calm_tail_ms=CALM_TAIL_MS,
        tail_slope_by_image=slope_by_image,
    )
    world.submit(f'serving-{image}-{world.now_ms}', [step], [profile])


def _submit_best_effort(world, name, image, count=4, work_ms=2000):
    step = workflows.Step(
        count,
        cpu=3500,
        memory_mb=1000,
        estimate_ms=work_ms,
        image=image,
        fills=True,
    )
    profile = worker_model.TaskProfile(
        3500, 1000, work_ms, fills=True, image=image
    )
    world.submit(f'best-effort-{name}', [step], [profile])


class BestEffortWaitTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def _check(self, world, idle_times):
        self.assertLessEqual(
            idle_times.max_idle_ms, MAX_WAIT_MS, idle_times.idle_workflow
        )
        self.assertEqual([], world.ledger.breaches)

    def test_image_that_disturbs_every_serving_image_still_runs(self):
        world = _make_world(1, workers=4)
        _submit_serving(world, 's', {'f': HEAVY_SLOPE}, count=4)
        world.run(3000)
        for number in range(3):
            _submit_best_effort(world, number, 'f')
        idle_times = _IdleTimes(world)
        idle_times.run(90_000)
        self._check(world, idle_times)
        for number in range(3):
            self.assertEqual(
                'completed', world.workflow_state(f'best-effort-{number}')
            )

    def test_tasks_of_a_step_do_not_wait_for_a_slow_one(self):
        world = _make_world(1, workers=4)
        _submit_serving(world, 's', {'f': VERY_HEAVY_SLOPE}, count=4)
        world.run(3000)
        _submit_best_effort(world, 'warm-up', 'f', count=1, work_ms=500)
        world.run(5000)
        _submit_best_effort(world, 'slow', 'f', count=4, work_ms=60_000)
        idle_times = _IdleTimes(world)
        idle_times.run(4 * MAX_TASK_WAIT_MS)
        self._check(world, idle_times)
        running_tasks = [
            task
            for task, _ in world.ledger.running
            if task.workflow_id == 'best-effort-slow'
        ]
        self.assertEqual(4, len(running_tasks))

    def test_image_is_not_kept_waiting_by_the_trial_of_another(self):
        world = _make_world(1, workers=1)
        _submit_serving(world, 's', {'f': UNCLEAR_SLOPE, 'g': LIGHT_SLOPE})
        world.run(3000)
        _submit_best_effort(world, 'long', 'f', count=1, work_ms=30_000)
        world.run(300)
        _submit_best_effort(world, 'other', 'g', count=1)
        idle_times = _IdleTimes(world)
        idle_times.run(30_000)
        self._check(world, idle_times)

    def test_run_that_an_earlier_leader_halted_goes_on(self):
        world = _make_world(1, workers=1)
        _submit_serving(world, 's', {'f': HALTING_SLOPE})
        world.run(3000)
        _submit_best_effort(world, 'halted', 'f', count=1)
        world.run_until(lambda: 0 in world.paces('w0'), 5000)
        # The tail is calm again, and the run not resumed yet.
        world.run(tail_model.MEASURED_MS + 50)
        self.assertIn(0, world.paces('w0'))
        world.start_leader()
        idle_times = _IdleTimes(world)
        idle_times.run(60_000)
        self._check(world, idle_times)
        self.assertEqual(
            'completed', world.workflow_state('best-effort-halted')
        )


def _run_random_world(seed):
    """Plays serving and best-effort images with random interference.

    Less than half of the room is in use, so there always is a worker with
    room for a best-effort task.
    """
    random_source = random.Random(f'interference/{seed}')
    world = _make_world(seed, workers=6)
    best_effort_images = ('f', 'g', 'h')
    for image in ('s', 't'):
        _submit_serving(
            world,
            image,
            {
                best_effort_image: random_source.choice(
                    (LIGHT_SLOPE, UNCLEAR_SLOPE, HEAVY_SLOPE)
                )
                for best_effort_image in best_effort_images
            },
            count=random_source.randint(4, 6),
        )
    world.run(3000)
    idle_times = _IdleTimes(world)
    for number in range(12):
        _submit_best_effort(
            world,
            number,
            random_source.choice(best_effort_images),
            count=random_source.randint(1, 4),
            work_ms=random_source.randint(500, 4000),
        )
        fault = random_source.choice(('cut', 'lead', 'none', 'none'))
        if fault == 'cut':
            worker = random_source.choice(world.worker_names())
            world.unreachable_workers.add(worker)
            idle_times.run(random_source.randint(500, 8000), counts=False)
            world.unreachable_workers.clear()
        elif fault == 'lead':
            world.start_leader()
        idle_times.run(SETTLE_MS, counts=False)
        idle_times.run(random_source.randint(1000, 6000))
    for _ in range(MAX_CALM_MS // 5000):
        if not _open_best_effort_ids(world):
            break
        idle_times.run(5000)
    return world, idle_times


def _open_best_effort_ids(world):
    return [
        workflow_id
        for workflow_id in world.workflow_store.open_workflows
        if workflow_id.startswith('best-effort')
    ]


class RandomInterferenceTest(unittest.TestCase):
    SEEDS = range(12)

    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_no_best_effort_workflow_waits_beside_room(self):
        for seed in self.SEEDS:
            with self.subTest(seed=seed):
                world, idle_times = _run_random_world(seed)
                self.assertEqual([], world.ledger.breaches)
                self.assertLessEqual(
                    idle_times.max_idle_ms,
                    MAX_WAIT_MS,
                    idle_times.idle_workflow,
                )
                self.assertEqual([], _open_best_effort_ids(world))


if __name__ == '__main__':
    unittest.main()
