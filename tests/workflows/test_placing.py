"""Submits mixed loads to the dispatcher and checks which tasks run.

Guards against one kind of task taking all capacity and starving another.
"""

import logging
import random
import unittest

from fuchsiatrestle.state import workflows
from standins import worker_model
from tests.fakes import dispatch_world

# Longest wait of a task with room while less than half of it is reserved.
MAX_WAIT_MS = 3000
LARGE = workflows.Step(1, cpu=7500, memory_mb=1000, lasts=True)


class PlacingTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def _submit_small_workflow(self, world, random_source, number):
        """Submits a workflow of small tasks that fit into every gap."""
        work_ms = random_source.randint(800, 2000)
        step = workflows.Step(2, cpu=1000, memory_mb=100, estimate_ms=work_ms)
        size = worker_model.TaskProfile(1000, 100, work_ms)
        world.submit(f'small-{number}', [step], [size])

    def test_large_task_is_not_starved_by_small_ones(self):
        """A worker is reserved, or small tasks would take each gap on it."""
        random_source = random.Random(3)
        world = dispatch_world.World(3, workers=3)
        for number in range(60):
            self._submit_small_workflow(world, random_source, number)
            world.run(50)
        size = worker_model.TaskProfile(7500, 1000, None)
        world.submit('large', [LARGE], [size])
        for number in range(60, 160):
            self._submit_small_workflow(world, random_source, number)
            world.run(50)
            if world.workflow_state('large') == 'running':
                break
        self.assertEqual('running', world.workflow_state('large'))
        self.assertEqual([], world.ledger.breaches)

    def test_long_running_tasks_leave_room_for_batch_tasks(self):
        """More long-running tasks than fit leave capacity to batch tasks."""
        world = dispatch_world.World(5, workers=4)
        long_running_step = workflows.Step(
            1, cpu=2500, memory_mb=10, lasts=True
        )
        batch_step = workflows.Step(2, cpu=1500, memory_mb=10, estimate_ms=400)
        batch_workflow_ids = []
        for number in range(60):
            world.submit(
                f'lasting-{number}',
                [long_running_step],
                [worker_model.TaskProfile(2500, 10, None)],
            )
            workflow_id = f'quick-{number}'
            world.submit(
                workflow_id,
                [batch_step],
                [worker_model.TaskProfile(1500, 10, 400)],
            )
            batch_workflow_ids.append(workflow_id)
            world.run(400)
        world.run(3000)
        workflow_states = [
            world.workflow_state(workflow_id)
            for workflow_id in batch_workflow_ids
        ]
        self.assertGreaterEqual(workflow_states.count('completed'), 54)
        self.assertGreaterEqual(len(world.ledger.running), 8)
        self.assertEqual([], world.ledger.breaches)

    def test_long_running_task_with_room_is_not_deferred_for_long(self):
        """Waiting batch tasks that do not fit do not keep capacity unused."""
        world = dispatch_world.World(7, workers=4)
        world.submit(
            'most',
            [workflows.Step(4, cpu=6500, memory_mb=10, lasts=True)],
            [worker_model.TaskProfile(6500, 10, None)],
        )
        world.run(500)
        world.submit(
            'quick',
            [workflows.Step(4, cpu=3000, memory_mb=10, estimate_ms=400)],
            [worker_model.TaskProfile(3000, 10, 400)],
        )
        world.submit(
            'lasting',
            [workflows.Step(2, cpu=1200, memory_mb=10, lasts=True)],
            [worker_model.TaskProfile(1200, 10, None)],
        )
        world.run(1000)
        self.assertEqual('queued', world.workflow_state('lasting'))
        world.run(2500)
        self.assertEqual('running', world.workflow_state('lasting'))
        self.assertEqual([], world.ledger.breaches)

    def test_long_running_task_is_not_kept_off_a_reserved_worker(self):
        """Room reserved for urgent batch tasks does not stay unused."""
        world = dispatch_world.World(11, workers=4)
        for number, cpu in enumerate((7000, 7000, 7000, 4000)):
            world.submit_task(f'filler-{number}', cpu)
            world.run(500)
        world.submit_task('slow', 2500, 60_000)
        world.run(500)
        for number in range(15):
            world.submit_task(f'larger-than-free-{number}', 3500, 400)
            world.run(200)
            if number == 0:
                world.submit_task(
                    'fits',
                    1200,
                    prefix=dispatch_world.LOW_PRIORITY_PREFIX,
                )
        self.assertEqual('running', world.workflow_state('fits'))
        self.assertEqual([], world.ledger.breaches)

    def test_interrupted_task_is_not_kept_off_a_reserved_worker(self):
        """Room reserved for a larger interrupted task does not stay unused."""
        world = dispatch_world.World(11, workers=4)
        for name, cpu in (('large', 4000), ('small', 2500)):
            world.submit_task(name, cpu)
            world.run(500)
        crashed_worker = next(iter(world.ledger.running.values()))
        for number, cpu in enumerate((7000, 7000, 3000)):
            world.submit_task(f'filler-{number}', cpu)
            world.run(500)
        world.submit_task('slow', 2000, 60_000)
        world.run(500)
        world.crash_worker(crashed_worker, 60_000)
        world.run(6000)
        running_workflow_ids = {
            task.workflow_id for task, _ in world.ledger.running
        }
        self.assertIn('small', running_workflow_ids)
        self.assertNotIn('large', running_workflow_ids)
        self.assertEqual([], world.ledger.breaches)

    def test_batch_task_is_not_kept_off_a_reserved_worker(self):
        """Room reserved for a task that can not fit for long is lent out."""
        world = dispatch_world.World(11, workers=4)
        for number, cpu in enumerate((7200, 7200, 7200, 5500)):
            world.submit_task(f'filler-{number}', cpu)
            world.run(500)
        world.submit_task('slow', 1000, 10_000_000)
        world.submit_task('fills-the-gap', 1500, 40_000)
        world.run(500)
        world.submit_task('larger-than-free', 2200, 400)
        world.run(1000)
        world.submit_task('fits', 1400, 400)
        world.run(300_000)
        self.assertEqual('completed', world.workflow_state('fits'))
        self.assertEqual([], world.ledger.breaches)

    def test_reserved_room_is_not_kept_from_a_task_on_a_mostly_free_fleet(
        self,
    ):
        world = dispatch_world.World(3, workers=1)
        world.submit_task('slow', 3600, 10_000_000)
        world.run(500)
        world.submit_task('larger-than-free', 5000, 60_000)
        world.run(500)
        world.submit_task(
            'fits', 1000, 400, prefix=dispatch_world.LOW_PRIORITY_PREFIX
        )
        world.run(MAX_WAIT_MS)
        self.assertNotEqual('queued', world.workflow_state('fits'))

    def test_interrupted_long_running_tasks_do_not_wait_behind_batch(self):
        """Batch tasks that fit into each gap do not take all of them."""
        world = dispatch_world.World(13, workers=4)
        step = workflows.Step(
            12, cpu=2000, memory_mb=10, lasts=True, most_per_worker=4
        )
        world.submit(
            'lasting', [step], [worker_model.TaskProfile(2000, 10, None)]
        )
        world.run(1000)
        random_source = random.Random(13)
        for number in range(40):
            self._submit_small_workflow(world, random_source, number)
        world.run(1000)
        crashed_worker = next(iter(world.ledger.running.values()))
        world.crash_worker(crashed_worker, 30_000)
        for number in range(40, 80):
            self._submit_small_workflow(world, random_source, number)
            world.run(200)
        running_tasks = [
            task
            for task, _ in world.ledger.running
            if task.workflow_id == 'lasting'
        ]
        self.assertEqual(12, len(running_tasks))
        self.assertEqual([], world.ledger.breaches)

    def test_interrupted_task_comes_before_an_older_new_one(self):
        """A task that never ran does not take the room of an interrupted."""
        world = dispatch_world.World(11, workers=2)
        world.submit_task('other', 5200)
        world.run(500)
        world.submit_task('cancelled', 2900)
        world.run(500)
        world.submit_task('new', 5200)
        world.run(500)
        world.submit_task('interrupted', 5000)
        world.run(4000)
        world.cancel('cancelled')
        crashed_worker = next(
            worker
            for (task, _), worker in world.ledger.running.items()
            if task.workflow_id == 'interrupted'
        )
        world.crash_worker(crashed_worker, 20_000)
        world.run(25_000)
        running_workflow_ids = {
            task.workflow_id for task, _ in world.ledger.running
        }
        self.assertEqual({'other', 'interrupted'}, running_workflow_ids)
        self.assertEqual([], world.ledger.breaches)


if __name__ == '__main__':
    unittest.main()
