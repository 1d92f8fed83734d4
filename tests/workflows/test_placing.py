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

    def test_lasting_tasks_leave_room_for_quick_ones(self):
        """More lasting tasks than there is room for do not take it all."""
        world = dispatch_world.World(5, workers=4)
        lasting = workflows.Step(1, cpu=2500, memory_mb=10, lasts=True)
        quick = workflows.Step(2, cpu=1500, memory_mb=10, estimate_ms=400)
        names = []
        for number in range(60):
            world.submit(
                f'lasting-{number}',
                [lasting],
                [worker_model.Size(2500, 10, None)],
            )
            name = f'quick-{number}'
            world.submit(name, [quick], [worker_model.Size(1500, 10, 400)])
            names.append(name)
            world.run(400)
        world.run(3000)
        states = [world.state(name) for name in names]
        self.assertGreaterEqual(states.count('completed'), 54)
        self.assertGreaterEqual(len(world.ledger.running), 8)
        self.assertEqual([], world.ledger.breaches)

    def test_lasting_task_with_room_is_not_held_back_for_long(self):
        """Quick work that can not use the room does not keep it empty."""
        world = dispatch_world.World(7, workers=4)
        world.submit(
            'most',
            [workflows.Step(4, cpu=6500, memory_mb=10, lasts=True)],
            [worker_model.Size(6500, 10, None)],
        )
        world.run(500)
        world.submit(
            'quick',
            [workflows.Step(4, cpu=3000, memory_mb=10, estimate_ms=400)],
            [worker_model.Size(3000, 10, 400)],
        )
        world.submit(
            'lasting',
            [workflows.Step(2, cpu=1200, memory_mb=10, lasts=True)],
            [worker_model.Size(1200, 10, None)],
        )
        world.run(1000)
        self.assertEqual('queued', world.state('lasting'))
        world.run(2500)
        self.assertEqual('running', world.state('lasting'))
        self.assertEqual([], world.ledger.breaches)


if __name__ == '__main__':
    unittest.main()
