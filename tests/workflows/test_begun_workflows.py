"""Tests of the number of pending workflows that callers are told.

They guard against a workflow that counts as started although the start of its
run was refused, never sent or not answered, and against one that counts as
pending although it runs.
"""

import logging
import unittest

from fuchsiatrestle.state import workflows as records
from standins import worker_model
from tests.fakes import dispatch_world

WORKFLOWS = ('a', 'b', 'c')
WORK_MS = 60_000
# Callers may be told what was true so long ago.
MAX_AGE_MS = 2000
# Time in which a new leader has listed the runs of all workers.
TAKEOVER_MS = 2000


class BegunWorkflowsTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.world = dispatch_world.World(4, workers=1)
        self.world.run(2000)

    def _submit(self, *names):
        for name in names:
            self.world.submit_task(name, 1000, WORK_MS)

    def _assert_none_has_begun(self, duration_ms):
        """Runs the world while no run can begin, also for a new leader."""
        self._submit(*WORKFLOWS)
        for _ in range(duration_ms // 100):
            self.world.run(100)
            self.assertEqual(len(WORKFLOWS), self.world.count_pending())
        self.world.start_leader()
        self.world.run(TAKEOVER_MS)
        self.world.restore_replicas()
        self.assertEqual(len(WORKFLOWS), self.world.count_pending())
        self.assertEqual('queued', self.world.workflow_state('a'))
        self.assertEqual(0, self.world.ledger.starts)

    def _assert_all_have_begun(self):
        self.world.run_until(
            lambda: self.world.ledger.starts == len(WORKFLOWS), 20_000
        )
        self.world.run(MAX_AGE_MS)
        self.assertEqual(0, self.world.count_pending())
        self.assertEqual('running', self.world.workflow_state('a'))

    def test_starts_that_are_refused(self):
        self.world.shedding_workers.add('w0')
        self._assert_none_has_begun(6000)
        self.world.shedding_workers.clear()
        self._assert_all_have_begun()

    def test_starts_that_are_not_answered(self):
        self.world.startless_workers.add('w0')
        self._assert_none_has_begun(6000)
        self.world.startless_workers.clear()
        self._assert_all_have_begun()

    def test_starts_that_are_never_sent(self):
        """The worker falls silent before the placement is agreed."""
        self.world.deaf_workers.add('w0')
        self._assert_none_has_begun(3000)
        self.world.deaf_workers.clear()
        self._assert_all_have_begun()

    def test_runs_that_begin_are_told_soon(self):
        for name in WORKFLOWS:
            self._submit(name)
            self.world.run(MAX_AGE_MS)
            self.assertEqual(0, self.world.count_pending())

    def test_leader_changes_before_it_was_agreed(self):
        """The next leader sees the runs in the lists of the workers."""
        for change in (self.world.start_leader, self.world.restore_replicas):
            with self.subTest(change=change.__name__):
                name = change.__name__
                starts = self.world.ledger.starts
                self._submit(name)
                self.world.run_until(
                    lambda: self.world.ledger.starts > starts, 2000
                )
                self.assertEqual(1, self.world.count_pending())
                change()
                self.world.run(TAKEOVER_MS)
                self.assertEqual(0, self.world.count_pending())

    def test_workflow_has_begun_for_good(self):
        self._submit('a')
        self.world.run(MAX_AGE_MS)
        self.world.crash_worker('w0', downtime_ms=1000)
        self.world.shedding_workers.add('w0')
        self.world.run(10_000)
        self.assertEqual('running', self.world.workflow_state('a'))
        self.assertEqual(0, self.world.count_pending())

    def test_short_run_that_ends_first(self):
        """Its end is agreed before its start is told."""
        step = records.Step(1, cpu=100, memory_mb=1, estimate_ms=1)
        later = records.Step(1, cpu=99_000, memory_mb=1, after=[0])
        profile = worker_model.TaskProfile(100, 1, 1)
        self.world.submit('a', [step, later], [profile, profile])
        self.world.run(MAX_AGE_MS)
        self.assertEqual('running', self.world.workflow_state('a'))

    def test_random_faults(self):
        """Nothing counts as begun that has not, and soon all that has."""
        for seed in range(20):
            with self.subTest(seed=seed):
                self._check_random_run(seed)

    def _check_random_run(self, seed):
        faults = dispatch_world.Faults(0.1, 0.1, 0.1)
        world = dispatch_world.World(seed, workers=3, faults=faults)
        names = [f'n{number}' for number in range(12)]
        for number, name in enumerate(names):
            world.submit_task(name, 1000, WORK_MS)
            if number == 5:
                world.shedding_workers.add('w0')
                world.start_leader()
            if number == 9:
                world.shedding_workers.clear()
            world.run(700)
            begun = {task.workflow_id for task, _ in self._list_starts(world)}
            self.assertLessEqual(
                number + 1 - len(begun), world.count_pending()
            )
        world.faults = dispatch_world.Faults()
        world.run(15_000)
        self.assertEqual(0, world.count_pending())

    def _list_starts(self, world):
        return world.ledger.start_ms_by_run


if __name__ == '__main__':
    unittest.main()
