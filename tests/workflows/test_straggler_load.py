"""Plays a minute of load in which tasks straggle and workers turn slow.

3 of 100 runs take seven times as long, and every 3 s a worker turns five times
slower for 6 s.  The same load is played with and without copies.
"""

import logging
import random
import statistics
import unittest

from fuchsiatrestle import metrics
from fuchsiatrestle.state import workflows
from fuchsiatrestle import workflows as dispatcher
from fuchsiatrestle.workflows import _stragglers
from standins import worker_model
from tests.fakes import dispatch_world

SEEDS = (1, 2, 3)
WORKER_COUNT = 20
WORKER_CPU = 8000
LOAD_MS = 60_000
STRAGGLER_SHARE = 0.03
STRAGGLER_SLOWDOWN = 7
SLOW_INTERVAL_MS = 3000
SLOW_MS = 6000
WORKER_SLOWDOWN = 5
# Mean run time of a task as a multiple of that of one that does not straggle.
MEAN_SLOWDOWN = 1 + STRAGGLER_SHARE * (STRAGGLER_SLOWDOWN - 1)


class _Load:
    """A world with its load.

    Args:
        seed: seed of all random choices.
        utilization: share of the processor time that the load needs.
        copies_stragglers: True if the feature is on.
    """

    def __init__(self, seed, utilization, copies_stragglers):
        self.world = dispatch_world.World(
            seed,
            WORKER_COUNT,
            cpu_milli=WORKER_CPU,
            features=dispatcher.Features(copies_stragglers=copies_stragglers),
        )
        self._seed = seed
        self._utilization = utilization
        self._random = random.Random(f'load/{seed}')
        # Submission and time of a task that does not straggle, by id.
        self._dates = {}
        self._completed_ms = {}

    def play(self):
        """Returns the time of each workflow as a multiple of one task's."""
        next_slow_ms = SLOW_INTERVAL_MS
        while self.world.now_ms < LOAD_MS:
            self._run(self._submit_workflow())
            if self.world.now_ms >= next_slow_ms:
                next_slow_ms += SLOW_INTERVAL_MS
                self._slow_down_worker()
        while len(self._completed_ms) < len(self._dates):
            self._run(100)
        return [
            (self._completed_ms[workflow_id] - submitted_ms) / work_ms
            for workflow_id, (submitted_ms, work_ms) in self._dates.items()
        ]

    def _submit_workflow(self):
        """Returns the time until the next workflow, in milliseconds."""
        count = self._random.randint(5, 40)
        cpu = self._random.choice((500, 1000, 2000))
        work_ms = self._random.randint(1000, 8000)
        step = workflows.Step(
            count,
            cpu=cpu,
            memory_mb=10,
            estimate_ms=int(work_ms * self._random.uniform(0.4, 1.8)),
            copies=True,
            image=f'i{self._random.randrange(5)}',
        )
        profile = worker_model.TaskProfile(
            cpu, 10, work_ms, find_slowdown=self._find_slowdown
        )
        workflow_id = f'w{len(self._dates)}'
        self.world.submit(workflow_id, [step], [profile])
        self._dates[workflow_id] = self.world.now_ms, work_ms
        needed_cpu_ms = count * cpu * work_ms * MEAN_SLOWDOWN
        return int(
            needed_cpu_ms / (WORKER_COUNT * WORKER_CPU * self._utilization)
        )

    def _find_slowdown(self, task, run):
        draw = random.Random(f'{self._seed}/{task}/{run}').random()
        return STRAGGLER_SLOWDOWN if draw < STRAGGLER_SHARE else 1

    def _slow_down_worker(self):
        name = f'w{self._random.randrange(WORKER_COUNT)}'
        self.world.slow_down_worker(name, WORKER_SLOWDOWN, SLOW_MS)

    def _run(self, duration_ms):
        until_ms = self.world.now_ms + duration_ms
        while self.world.now_ms < until_ms:
            self.world.run(min(100, until_ms - self.world.now_ms))
            for workflow_id in self._dates:
                if (
                    workflow_id not in self._completed_ms
                    and self.world.workflow_state(workflow_id) == 'completed'
                ):
                    self._completed_ms[workflow_id] = self.world.now_ms


class StragglerLoadTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def _play(self, utilization, copies_stragglers):
        """Returns the mean and the 95th percentile of all seeds."""
        factors = []
        for seed in SEEDS:
            load = _Load(seed, utilization, copies_stragglers)
            factors += load.play()
            self.assertEqual([], load.world.ledger.breaches)
        return statistics.mean(factors), statistics.quantiles(factors, n=20)[
            18
        ]

    def test_workflows_end_sooner_at_a_small_cost(self):
        for utilization in (0.5, 0.9):
            with self.subTest(utilization=utilization):
                mean, percentile = self._play(utilization, False)
                lost_cpu_ms = _read_lost_cpu_ms()
                new_mean, new_percentile = self._play(utilization, True)
                lost_cpu_ms = _read_lost_cpu_ms() - lost_cpu_ms
                self.assertLess(new_mean, 0.75 * mean)
                self.assertLess(new_percentile, 0.9 * percentile)
                capacity_cpu_ms = (
                    len(SEEDS) * LOAD_MS * WORKER_COUNT * WORKER_CPU / 1000
                )
                self.assertLess(
                    lost_cpu_ms,
                    _stragglers.MAX_COPY_CPU_SHARE * capacity_cpu_ms,
                )


def _read_lost_cpu_ms():
    counters = metrics.default_registry.counters()
    return counters.get(_stragglers.LOST_COPY_CPU_MS, 0)


if __name__ == '__main__':
    unittest.main()
