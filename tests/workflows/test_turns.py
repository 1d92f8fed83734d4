"""Checks that idle workflows get a turn while others before them come."""

import logging
import unittest

from fuchsiatrestle.state import workflows
from fuchsiatrestle.workflows import _groups
from fuchsiatrestle.workflows import _turns
from tests.fakes import dispatch_world

# Longest time without a run of a workflow that fits: the wait for its turn,
# the end of the shortest task and its start.
MAX_IDLE_MS = 3000
TASK_MS = 500


class _Workflow:
    """Stand-in for a ``Workflow`` with steps of one kind.

    Args:
        workflow_id: its id.
        is_running: True if any of its tasks runs.
        step: its only ``Step``.
    """

    def __init__(self, workflow_id, is_running=False, step=None):
        self.workflow_id = workflow_id
        self.is_running = is_running
        self.spec = workflows.WorkflowSpec(
            '', [step or workflows.Step(2, cpu=1000)]
        )


class _WaitTimes:
    """Stand-in for ``WaitTimes``.

    Args:
        wait_ms_by_workflow: waits by id of the workflow.
    """

    def __init__(self, wait_ms_by_workflow):
        self._wait_ms_by_workflow = wait_ms_by_workflow

    def longest_wait_ms(self, group, now_ms):
        """Returns the wait of a group."""
        return self._wait_ms_by_workflow[group.workflow.workflow_id]


def _make_group(workflow_id, *, is_suspected=False, **kwargs):
    return _groups.Group(
        _Workflow(workflow_id, **kwargs),
        0,
        0,
        [0, 1],
        is_suspected=is_suspected,
    )


class TurnPlannerTest(unittest.TestCase):
    def test_idle_workflow_that_waited_longest_has_the_first_turn(self):
        waits = {
            'short': _turns.TURN_WAIT_MS - 1,
            'long': 3 * _turns.TURN_WAIT_MS,
            'longest': 9 * _turns.TURN_WAIT_MS,
        }
        planner = _turns.TurnPlanner(_WaitTimes(waits))
        groups = [_make_group(name) for name in waits]
        self.assertEqual(
            ['longest', 'long'],
            [
                group.workflow.workflow_id
                for group in planner.find_turns(groups, 0)
            ],
        )

    def test_workflow_that_runs_and_other_kinds_have_no_turn(self):
        groups = [
            _make_group('runs', is_running=True),
            _make_group('suspected', is_suspected=True),
            _make_group('lasts', step=workflows.Step(1, cpu=1000, lasts=True)),
        ]
        waits = {group.workflow.workflow_id: 60_000 for group in groups}
        planner = _turns.TurnPlanner(_WaitTimes(waits))
        self.assertEqual([], planner.find_turns(groups, 0))


class StarvationTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_workflow_does_not_starve_behind_those_of_higher_priority(self):
        world = dispatch_world.World(1, workers=1)
        world.run(500)
        world.submit_task('serving', 4500)
        world.submit_task(
            'low', 1000, TASK_MS, prefix=dispatch_world.LOW_PRIORITY_PREFIX
        )
        waited_ms = 0
        while world.workflow_state('low') == 'queued' and waited_ms < 20_000:
            for number in range(4):
                world.submit_task(f'high-{world.now_ms}-{number}', 1000, 550)
            world.run(TASK_MS)
            waited_ms += TASK_MS
        self.assertLessEqual(waited_ms, MAX_IDLE_MS)
        self.assertEqual([], world.ledger.breaches)


if __name__ == '__main__':
    unittest.main()
