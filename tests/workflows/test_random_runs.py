"""Runs the dispatcher against simulated workers with random faults.

The ledger of the workers, which is independent of the dispatcher, checks that
no task runs twice at a time, after it was done, before the steps that it waits
for, on a worker that its step does not allow, or after its last attempt; that
no worker is overloaded and no checkpoint is made up.  Once the faults have
stopped, every workflow has to be completed.
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


def _submit_random_workflow(world, random_source, number):
    """Submits a workflow of one to three steps."""
    steps = []
    sizes = []
    for step in range(random_source.randint(1, 3)):
        cpu = random_source.choice((500, 1500, 3000))
        work_ms = random_source.randint(100, 3000)
        fails_first_run = random_source.random() < 0.2
        saves_checkpoints = random_source.random() < 0.5
        steps.append(
            workflows.Step(
                random_source.randint(1, 5),
                cpu=cpu,
                memory_mb=1000,
                estimate_ms=work_ms,
                after=[step - 1] if step else [],
                checkpoints=saves_checkpoints,
                label=random_source.choice(('', '', 'a', 'b')),
                most_per_worker=random_source.choice((0, 0, 2)),
            )
        )
        sizes.append(
            worker_model.TaskProfile(
                cpu,
                1000,
                work_ms,
                writes_checkpoints=saves_checkpoints,
                run_fails=(lambda run: run == 1) if fails_first_run else None,
            )
        )
    workflow_id = f'{number:016x}'
    world.submit(workflow_id, steps, sizes)
    return workflow_id


def _inject_fault(world, random_source):
    """Injects one random fault or none, or reconnects all workers."""
    worker = f'w{random_source.randrange(4)}'
    fault = random_source.choice(
        ('crash', 'cut', 'join', 'lead', 'freeze', 'none')
    )
    if fault == 'crash' and worker in world._worker_models:
        world.crash_worker(worker, random_source.randint(200, 4000))
    elif fault == 'cut':
        world.unreachable_workers.add(worker)
    elif fault == 'join':
        world.unreachable_workers.clear()
    elif fault == 'lead':
        world.start_leader()
    elif fault == 'freeze':
        frozen_leader = world.freeze_leader()
        world.run(random_source.randint(0, 4000))
        world.wake_leader(frozen_leader)


def _run_world(seed, faults):
    random_source = random.Random(f'load/{seed}')
    world = dispatch_world.World(seed, faults=faults)
    workflow_ids = []
    for number in range(10):
        workflow_ids.append(
            _submit_random_workflow(world, random_source, number)
        )
        world.run(FAULTY_MS // 10)
        _inject_fault(world, random_source)
        if random_source.random() < 0.15:
            world.cancel(workflow_ids.pop(0))
    world.faults = dispatch_world.Faults()
    world.unreachable_workers.clear()
    world.run(CALM_MS)
    return world, workflow_ids


class RandomRunsTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def _check_run(self, seed, faults):
        with self.subTest(seed=seed):
            world, workflow_ids = _run_world(seed, faults)
            self.assertEqual([], world.ledger.breaches)
            state_by_workflow = {
                workflow_id: world.workflow_state(workflow_id)
                for workflow_id in workflow_ids
            }
            self.assertEqual(
                {'completed'},
                set(state_by_workflow.values()),
                state_by_workflow,
            )

    def test_always_failing_tasks_use_up_their_attempts(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                world = dispatch_world.World(seed)
                step = workflows.Step(3, cpu=500, memory_mb=10)
                size = worker_model.TaskProfile(
                    500, 10, 300, run_fails=lambda run: True
                )
                world.submit('hopeless', [step], [size])
                for _ in range(6):
                    world.run(400)
                    _inject_fault(world, world.random)
                world.unreachable_workers.clear()
                world.run(CALM_MS)
                self.assertEqual('failed', world.workflow_state('hopeless'))
                self.assertEqual([], world.ledger.breaches)

    def test_without_lost_orders(self):
        for seed in SEEDS:
            self._check_run(seed, dispatch_world.Faults())

    def test_with_lost_orders_and_answers(self):
        for seed in SEEDS:
            faults = dispatch_world.Faults(
                lost_order_share=0.05, lost_reply_share=0.05
            )
            self._check_run(seed, faults)

    def test_with_orders_carried_out_late(self):
        for seed in SEEDS:
            faults = dispatch_world.Faults(
                lost_order_share=0.02, late_order_share=0.06
            )
            self._check_run(seed, faults)


if __name__ == '__main__':
    unittest.main()
