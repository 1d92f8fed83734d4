"""Tests of replies that arrive after the worker has changed."""

import logging
import unittest

from fuchsiatrestle.state import workflows
from standins import worker_model
from tests.fakes import dispatch_world

BATCH_STEP = workflows.Step(1, cpu=1000, memory_mb=100, estimate_ms=3000)
FILLING_STEP = workflows.Step(
    1, cpu=1000, memory_mb=100, estimate_ms=3000, image='f', fills=True
)
FILLING_SIZE = worker_model.TaskProfile(1000, 100, 3000, fills=True, image='f')
BATCH_SIZE = worker_model.TaskProfile(1000, 100, 3000)
ENDLESS_STEP = workflows.Step(1, cpu=1000, memory_mb=100, lasts=True)
ENDLESS_SIZE = worker_model.TaskProfile(1000, 100, None)


class FormerAddressTest(unittest.TestCase):
    """Replies from an address that a worker no longer has."""

    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_poll_to_a_former_address_is_not_awaited_for_ever(self):
        """A worker with a new address is polled again, so that runs end."""
        world = dispatch_world.World(1, workers=1)
        world.submit('batch', [BATCH_STEP], [BATCH_SIZE])
        world.run(1000)
        self.assertEqual('running', world.workflow_state('batch'))
        world.port_by_worker['w0'] = 2
        world.run(15_000)
        self.assertEqual('completed', world.workflow_state('batch'))
        self.assertEqual([], world.ledger.breaches)

    def test_orders_to_former_addresses_are_sent_again(self):
        """Tasks start and stop although the address changes all the time."""
        for seed in range(20):
            with self.subTest(seed=seed):
                world = dispatch_world.World(seed, workers=2)
                for number in range(40):
                    name = f'w{number % 2}'
                    world.port_by_worker[name] = 1 + number % 3
                    world.submit(f'b{number}', [BATCH_STEP], [BATCH_SIZE])
                    if number < 6:
                        world.submit(
                            f'e{number}', [ENDLESS_STEP], [ENDLESS_SIZE]
                        )
                    world.run(world.random.randint(50, 700))
                for number in range(6):
                    world.cancel(f'e{number}')
                world.run(40_000)
                self.assertEqual([], world.workflow_store.live_runs())
                self.assertEqual([], world.ledger.breaches)


class LostPaceAnswerTest(unittest.TestCase):
    """The answer to an order of pace is lost."""

    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_run_is_not_left_halted(self):
        """It must be resumed although no halt is known to this leader."""
        world = dispatch_world.World(1, workers=1)
        world.submit('batch', [FILLING_STEP], [FILLING_SIZE])
        world.run(1000)
        worker = world._dispatcher._state.fleet.get('w0')
        (run,) = worker.runs.values()
        run.want_halt(world.now_ms)
        world.voiceless_workers.add('w0')
        world.run(500)
        self.assertEqual([0], world.paces('w0'))
        run.wanted_pace_percent = 100
        world.run(1000)
        world.voiceless_workers.clear()
        world.run(6000)
        self.assertEqual('completed', world.workflow_state('batch'))


if __name__ == '__main__':
    unittest.main()
