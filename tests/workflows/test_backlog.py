"""Tests how the backlog groups and orders waiting tasks."""

import unittest

from fuchsiatrestle.state import commands
from fuchsiatrestle.state import workflows
from fuchsiatrestle.workflows import _backlog
from standins import worker_model
from tests.fakes import dispatch_world

ENDLESS = worker_model.TaskProfile(1000, 10, None)


class InterruptedTest(unittest.TestCase):
    """Waiting tasks that ran before, by kind of their step."""

    def _find_groups(self, interrupted_count, **fields):
        """Returns the groups of a step of four tasks that all wait.

        Args:
            interrupted_count: number of its tasks that ran before.
            **fields: fields of the step.
        """
        world = dispatch_world.World(1, workers=0)
        step = workflows.Step(4, cpu=1000, memory_mb=10, **fields)
        world.submit('w', [step], [ENDLESS])
        workflow = world.workflow_store.find_workflow('w')
        for task_id in workflow.task_ids(0, 0)[:interrupted_count]:
            live_run = workflows.LiveRun(task_id, 1, 'w0', 1)
            world.apply_agreed(
                commands.RecordProgress(1, 1, [], [], [], [live_run], [])
            )
            lost_run = commands.RunLost(task_id, 1, '', 'lease_over')
            world.apply_agreed(
                commands.RecordProgress(2, 1, [], [], [lost_run], [], [])
            )
        backlog = _backlog.Backlog(world.workflow_store)
        return [
            (group.is_interrupted, len(group.waiting_task_ids))
            for group in backlog.ready_groups(dispatch_world.START_WALL_MS)
        ]

    def test_interrupted_tasks_are_a_group_that_comes_first(self):
        self.assertEqual(
            [(True, 1), (False, 3)], self._find_groups(1, lasts=True)
        )
        self.assertEqual([(True, 4)], self._find_groups(4, lasts=True))
        self.assertEqual([(False, 4)], self._find_groups(0, lasts=True))

    def test_gang_is_not_split(self):
        self.assertEqual(
            [(True, 4)], self._find_groups(1, lasts=True, gang=True)
        )

    def test_batch_tasks_are_never_interrupted(self):
        self.assertEqual([(False, 4)], self._find_groups(2, estimate_ms=500))


if __name__ == '__main__':
    unittest.main()
