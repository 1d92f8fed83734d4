"""Loads played against the placing of tasks; checks what callers get."""

import logging
import random
import unittest

from fuchsiatrestle.state import workflows
from standins import worker_model
from tests.fakes import dispatch_world

LARGE = workflows.Step(1, cpu=7500, memory_mb=1000, lasts=True)


class PlacingTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def _press(self, world, draws, number):
        """Submits small work that takes every gap."""
        work_ms = draws.randint(800, 2000)
        step = workflows.Step(2, cpu=1000, memory_mb=100, estimate_ms=work_ms)
        size = worker_model.Size(1000, 100, work_ms)
        world.submit(f'small-{number}', [step], [size])

    def test_large_task_is_not_starved_by_small_ones(self):
        """Room that never adds up on one worker is kept for the large one."""
        draws = random.Random(3)
        world = dispatch_world.World(3, workers=3)
        for number in range(60):
            self._press(world, draws, number)
            world.run(50)
        size = worker_model.Size(7500, 1000, None)
        world.submit('large', [LARGE], [size])
        for number in range(60, 160):
            self._press(world, draws, number)
            world.run(50)
            if world.state('large') == 'running':
                break
        self.assertEqual('running', world.state('large'))
        self.assertEqual([], world.ledger.breaches)


if __name__ == '__main__':
    unittest.main()
