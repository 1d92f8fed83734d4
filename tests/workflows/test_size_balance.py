"""Checks that small tasks leave large workers to large tasks.

Guards against large tasks that wait because small ones took the only room in
which they would fit, and against small ones that wait for the sake of that.
"""

import logging
import math
import random
import types
import unittest

from fuchsiatrestle import metrics
from fuchsiatrestle.state import workflows as records
from fuchsiatrestle import workflows
from fuchsiatrestle.workflows import _clock
from fuchsiatrestle.workflows import _fleet
from fuchsiatrestle.workflows import _groups
from fuchsiatrestle.workflows import _interference
from fuchsiatrestle.workflows import _placement
from fuchsiatrestle.workflows import _size_balance
from fuchsiatrestle.workflows import _task_sizes
from tests.fakes import dispatch_world

POOL = dispatch_world.POOL
SMALL_CPU = 8000
LARGE_CPU = 12_000
PERIOD_MS = 13_000
SWING = 0.55
SEEDS = (1, 3)
# Difference of the times that the agreement on a placement takes.
JITTER_MS = 20


def _make_worker(name, cpu, memory_mb=32_000):
    record = records.WorkerRecord(
        name, 1, 'w:1', POOL, 'dc', cpu, memory_mb, 0, []
    )
    return _fleet.Worker(record, _clock.LeaseClock(5000))


def _make_group(cpu, memory_mb=10, count=1):
    step = records.Step(count, cpu=cpu, memory_mb=memory_mb)
    spec = records.WorkflowSpec('', [step])
    workflow = types.SimpleNamespace(workflow_id='w', spec=spec)
    task_ids = [records.TaskId('w', 0, 0, index) for index in range(count)]
    return _groups.Group(workflow, 0, 0, task_ids)


def _occupy(worker, cpu, memory_mb=10):
    worker.capacity.free_cpu -= cpu
    worker.capacity.free_memory_mb -= memory_mb


class SizeFitTest(unittest.TestCase):
    def setUp(self):
        model = _interference.InterferenceModel()
        self.best_fit = _placement.BestFit(model)
        self.size_fit = _size_balance.SizeFit(model)

    def _expect(self, sizes, workers, group, best_fit_name, size_fit_name):
        """Checks on which worker each placer puts the task of a group."""
        profile = _task_sizes.SizeProfile(
            [_task_sizes.TaskSize(*size, 0, '') for size in sizes],
            max(worker.record.cpu for worker in workers),
            max(worker.record.memory_mb for worker in workers),
        )
        self.size_fit.replace_profiles({POOL: profile})
        names = [
            placer.choose_workers(group, workers)[0][1].name
            for placer in (self.best_fit, self.size_fit)
        ]
        self.assertEqual([best_fit_name, size_fit_name], names)

    def test_small_task_leaves_the_last_room_to_a_large_one(self):
        workers = [_make_worker(name, SMALL_CPU) for name in ('a', 'b')]
        _occupy(workers[0], 1000)
        sizes = [(1000, 10), (7000, 10)]
        self._expect(sizes, workers, _make_group(1000), 'a', 'b')

    def test_small_task_prefers_a_worker_too_small_for_large_tasks(self):
        workers = [_make_worker('l', LARGE_CPU), _make_worker('s', SMALL_CPU)]
        _occupy(workers[0], 9000)
        sizes = [(1000, 10), (11_000, 10)]
        self._expect(sizes, workers, _make_group(1000), 'l', 's')

    def test_memory_room_of_a_large_task_is_kept(self):
        """The gap in processor time is best on the worker with the room."""
        workers = [_make_worker(name, SMALL_CPU) for name in ('a', 'b')]
        _occupy(workers[0], 2000)
        _occupy(workers[1], 0, 10_000)
        sizes = [(1000, 4000), (2000, 30_000)]
        self._expect(sizes, workers, _make_group(1000, 4000), 'a', 'b')

    def test_free_cpu_without_memory_is_avoided(self):
        workers = [_make_worker(name, SMALL_CPU) for name in ('a', 'b')]
        _occupy(workers[0], 1000, 31_500)
        sizes = [(1000, 500)]
        self._expect(sizes, workers, _make_group(1000, 500), 'a', 'b')
        self.assertEqual(6000, self._find_unusable(workers[0], sizes))
        self.assertEqual(0, self._find_unusable(workers[1], sizes))

    def _find_unusable(self, worker, sizes):
        return _size_balance.find_unusable_cpu(
            worker, [_task_sizes.TaskSize(*size, 0, '') for size in sizes]
        )

    def test_as_many_tasks_are_placed_as_by_best_fit(self):
        """The order leaves no worker out, so no task waits for it."""
        random_source = random.Random(5)
        for _ in range(200):
            workers = []
            for number in range(6):
                cpu = LARGE_CPU if number % 3 == 0 else SMALL_CPU
                workers.append(_make_worker(f'w{number}', cpu))
                _occupy(
                    workers[-1],
                    random_source.randrange(-500, cpu),
                    random_source.randrange(32_000),
                )
            sizes = [
                _task_sizes.TaskSize(
                    random_source.randrange(LARGE_CPU),
                    random_source.randrange(32_000),
                    0,
                    '',
                )
                for _ in range(5)
            ]
            self.size_fit.replace_profiles(
                {POOL: _task_sizes.SizeProfile(sizes, LARGE_CPU, 32_000)}
            )
            group = _make_group(
                random_source.randrange(4000),
                random_source.randrange(8000),
                random_source.randrange(1, 30),
            )
            counts = [
                len(placer.choose_workers(group, workers))
                for placer in (self.best_fit, self.size_fit)
            ]
            self.assertEqual(counts[0], counts[1])


class WavesTest(unittest.TestCase):
    """Waves of small and large tasks; a third of the workers is larger."""

    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def _make_world(self, seed, balances_sizes):
        world = dispatch_world.World(
            seed,
            workers=0,
            features=workflows.Features(balances_sizes=balances_sizes),
        )
        for number in range(12):
            cpu = SMALL_CPU if number % 3 else LARGE_CPU
            world.set_capacity(f'w{number}', cpu)
            world.add_worker(f'w{number}')
        world.run(300)
        return world

    def _run_waves(self, seed, balances_sizes, act=None):
        """Returns the waits of the small and of the large tasks, in ms.

        Args:
            seed: seed of the load and of the world.
            balances_sizes: True if the feature is on.
            act: function of the world and the time, called each 50 ms.
        """
        random_source = random.Random(seed)
        world = self._make_world(seed, balances_sizes)
        submitted_ms = {}
        for time_ms in range(0, 2 * PERIOD_MS, 50):
            if act is not None:
                act(world, time_ms)
            for kind, rate, cpu_range, phase in (
                ('small', 1.2, (500, 1500), 0),
                ('large', 0.1, (8500, 11_500), 2),
            ):
                angle = 2 * math.pi * time_ms / PERIOD_MS + phase
                rate *= 1 + SWING * math.sin(angle)
                count = int(rate) + (random_source.random() < rate % 1)
                for _ in range(count):
                    cpu = random_source.randrange(*cpu_range, 100)
                    work_ms = random_source.randint(500, 2500)
                    workflow_id = f'{kind}-{len(submitted_ms)}'
                    submitted_ms[workflow_id] = world.now_ms
                    world.submit_task(workflow_id, cpu, work_ms)
            world.run(50)
        world.run(10_000)
        self.assertEqual([], world.ledger.breaches)
        started_ms = {}
        for start_ms, order in world.start_orders:
            started_ms.setdefault(order.task.workflow_id, start_ms)
        return [
            [
                started_ms[workflow_id] - since_ms
                for workflow_id, since_ms in submitted_ms.items()
                if workflow_id.startswith(kind)
            ]
            for kind in ('small', 'large')
        ]

    def _check_gain(self, seeds, min_gain, act=None):
        """Compares the waits with and without the feature.

        Args:
            seeds: the seeds to run.
            min_gain: least number of large tasks by which more start within
                1 s.
            act: see ``_run_waves``.
        """
        prompt_counts = {False: 0, True: 0}
        longest_ms = {False: 0, True: 0}
        for seed in seeds:
            for is_on in (False, True):
                small, large = self._run_waves(seed, is_on, act)
                prompt_counts[is_on] += sum(wait <= 1000 for wait in large)
                longest_ms[is_on] = max(longest_ms[is_on], *small)
        self.assertGreaterEqual(
            prompt_counts[True], prompt_counts[False] + min_gain
        )
        self.assertLessEqual(longest_ms[True], longest_ms[False] + JITTER_MS)

    def test_more_large_tasks_start_soon_and_no_small_one_waits(self):
        """Of 114 large tasks, 86 to 88 start in 1 s, instead of 67 to 73."""
        self._check_gain(SEEDS, 10)

    def test_new_leader_goes_on(self):
        def change_leader(world, time_ms):
            if time_ms == PERIOD_MS:
                world.start_leader()

        self._check_gain(SEEDS[:1], 3, change_leader)

    def test_workers_shrink_and_grow(self):
        def swap_sizes(world, time_ms):
            if time_ms == PERIOD_MS:
                for number in range(0, 12, 3):
                    world.set_capacity(f'w{number}', SMALL_CPU)
                    world.set_capacity(f'w{number + 1}', LARGE_CPU)

        self._check_gain(SEEDS[:1], 3, swap_sizes)

    def test_same_load_gives_the_same_placements(self):
        waits = [self._run_waves(1, True) for _ in range(2)]
        self.assertEqual(waits[0], waits[1])

    def test_unusable_cpu_is_reported_once_a_second_at_most(self):
        logging.disable(logging.NOTSET)
        world = self._make_world(1, True)
        with self.assertLogs(_size_balance.LOG, 'INFO') as logs:
            for number in range(12):
                world.submit_task(f'w{number}', 7500, 5000)
            world.run(2900)
        self.assertIn(len(logs.records), (2, 3))
        gauges = metrics.default_registry.gauges()
        # Nothing fits into what is left of the workers.
        self.assertEqual(
            8 * 500 + 4 * 4500, gauges[_size_balance.UNUSABLE_CPU]
        )


if __name__ == '__main__':
    unittest.main()
