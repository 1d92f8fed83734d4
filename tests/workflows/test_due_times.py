"""Tests of the due times of workflows.

They guard against a workflow that is missed when it is due, and against
entries of workflows that are gone, which a caller could pile up.
"""

import random
import unittest

from fuchsiatrestle.workflows import _due_times


class DueTimesTest(unittest.TestCase):
    def test_workflows_are_due_at_the_time_set_last(self):
        for seed in range(50):
            with self.subTest(seed=seed):
                self._check_random_run(random.Random(seed))

    def _check_random_run(self, rng):
        due_times = _due_times.DueTimes()
        due_ms_by_workflow = {}
        wall_ms = 0
        for _ in range(500):
            workflow_id = f'w{rng.randrange(20)}'
            if rng.random() < 0.2:
                due_times.set(workflow_id, None)
                due_ms_by_workflow.pop(workflow_id, None)
            else:
                due_ms = wall_ms + rng.randrange(100)
                due_times.set(workflow_id, due_ms)
                due_ms_by_workflow[workflow_id] = due_ms
            wall_ms += rng.randrange(10)
            expected_ids = {
                name
                for name, due_ms in due_ms_by_workflow.items()
                if due_ms <= wall_ms
            }
            for name in expected_ids:
                del due_ms_by_workflow[name]
            due_ids = due_times.pop_due(wall_ms)
            self.assertEqual(len(due_ids), len(set(due_ids)))
            self.assertEqual(expected_ids, set(due_ids))

    def test_entries_of_removed_workflows_are_bounded(self):
        due_times = _due_times.DueTimes()
        due_times.set('kept', 10**9)
        for number in range(10 * _due_times.MAX_SPARE_ENTRIES):
            due_times.set(f'w{number}', 10**9 + number)
            due_times.set(f'w{number}', None)
        self.assertLessEqual(len(due_times), _due_times.MAX_SPARE_ENTRIES + 3)
        self.assertEqual([], due_times.pop_due(10**9 - 1))
        self.assertEqual(['kept'], due_times.pop_due(10**9))

    def test_time_that_is_set_again_takes_no_entry(self):
        due_times = _due_times.DueTimes()
        for _ in range(5):
            due_times.set('w', 7)
        self.assertEqual(1, len(due_times))


if __name__ == '__main__':
    unittest.main()
