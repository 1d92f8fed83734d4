"""Random runs of the dispatcher against modelled workers.

The promises are checked by the ledger of the workers, which knows nothing of
the dispatcher: no task runs twice at a time or after it was done, none before
its turn, where it may not be or after its last attempt, no worker is
overloaded, no checkpoint is invented; and once the faults stop, everything is
finished.
"""

import logging
import random
import unittest

from fuchsiatrestle.state import workflows
from standins import worker_model
from tests.fakes import dispatch_world

SEEDS = range(40)
FAULTY_MS = 20_000
CALM_MS = 90_000


def _submit(world, draws, number):
    """Submits a workflow of one to three steps."""
    steps = []
    sizes = []
    for step in range(draws.randint(1, 3)):
        cpu = draws.choice((500, 1500, 3000))
        work_ms = draws.randint(100, 3000)
        failing = draws.random() < 0.2
        saves = draws.random() < 0.5
        steps.append(
            workflows.Step(
                draws.randint(1, 5),
                cpu=cpu,
                memory_mb=1000,
                estimate_ms=work_ms,
                after=[step - 1] if step else [],
                checkpoints=saves,
                label=draws.choice(('', '', 'a', 'b')),
                most_per_worker=draws.choice((0, 0, 2)),
            )
        )
        sizes.append(
            worker_model.Size(
                cpu,
                1000,
                work_ms,
                saves=saves,
                fails=(lambda run: run == 1) if failing else None,
            )
        )
    name = f'{number:016x}'
    world.submit(name, steps, sizes)
    return name


def _disturb(world, draws):
    """Does one thing to the world."""
    worker = f'w{draws.randrange(4)}'
    kind = draws.choice(('crash', 'cut', 'join', 'lead', 'freeze', 'none'))
    if kind == 'crash' and worker in world._models:
        world.crash(worker, draws.randint(200, 4000))
    elif kind == 'cut':
        world.cut.add(worker)
    elif kind == 'join':
        world.cut.clear()
    elif kind == 'lead':
        world.lead()
    elif kind == 'freeze':
        frozen = world.freeze_leader()
        world.run(draws.randint(0, 4000))
        world.wake(frozen)


def _play(seed, faults):
    draws = random.Random(f'load/{seed}')
    world = dispatch_world.World(seed, faults=faults)
    names = []
    for number in range(10):
        names.append(_submit(world, draws, number))
        world.run(FAULTY_MS // 10)
        _disturb(world, draws)
        if draws.random() < 0.15:
            world.cancel(names.pop(0))
    world.faults = dispatch_world.Faults()
    world.cut.clear()
    world.run(CALM_MS)
    return world, names


class RandomRunsTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def _check(self, seed, faults):
        with self.subTest(seed=seed):
            world, names = _play(seed, faults)
            self.assertEqual([], world.ledger.breaches)
            states = {name: world.state(name) for name in names}
            self.assertEqual({'completed'}, set(states.values()), states)

    def test_hopeless_tasks_use_up_their_attempts(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                world = dispatch_world.World(seed)
                step = workflows.Step(3, cpu=500, memory_mb=10)
                size = worker_model.Size(500, 10, 300, fails=lambda run: True)
                world.submit('hopeless', [step], [size])
                for _ in range(6):
                    world.run(400)
                    _disturb(world, world.random)
                world.cut.clear()
                world.run(CALM_MS)
                self.assertEqual('failed', world.state('hopeless'))
                self.assertEqual([], world.ledger.breaches)

    def test_without_lost_orders(self):
        for seed in SEEDS:
            self._check(seed, dispatch_world.Faults())

    def test_with_lost_orders_and_answers(self):
        for seed in SEEDS:
            faults = dispatch_world.Faults(lost=0.05, answer_lost=0.05)
            self._check(seed, faults)

    def test_with_orders_carried_out_late(self):
        for seed in SEEDS:
            faults = dispatch_world.Faults(lost=0.02, late=0.06)
            self._check(seed, faults)


if __name__ == '__main__':
    unittest.main()
