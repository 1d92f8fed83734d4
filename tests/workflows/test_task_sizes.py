"""Checks which task sizes count as likely and as large."""

import unittest

from fuchsiatrestle.state import workflows
from fuchsiatrestle.workflows import _backlog
from fuchsiatrestle.workflows import _clock
from fuchsiatrestle.workflows import _fleet
from fuchsiatrestle.workflows import _task_sizes
from standins import worker_model
from tests.fakes import dispatch_world

START_MS = dispatch_world.START_WALL_MS
POOL = dispatch_world.POOL
WORKER = _fleet.Worker(
    workflows.WorkerRecord('w', 1, 'w:1', POOL, 'dc', 12_000, 32_768, 0, []),
    _clock.LeaseClock(5000),
)
LEARNED_MS = _task_sizes.SPAN_MS * _task_sizes.SPAN_COUNT


class TaskSizesTest(unittest.TestCase):
    def setUp(self):
        self.world = dispatch_world.World(1, workers=0)
        self.backlog = _backlog.Backlog(self.world.workflow_store)
        self.task_sizes = self._make_task_sizes()

    def _make_task_sizes(self):
        return _task_sizes.TaskSizes(self.world.workflow_store)

    def _submit(self, workflow_id, cpu, count=1, **fields):
        step = workflows.Step(count, cpu=cpu, memory_mb=10, **fields)
        profile = worker_model.TaskProfile(cpu, 10, None)
        self.world.submit(workflow_id, [step], [profile])
        self.backlog.refresh_workflow(workflow_id)

    def _update(self, wall_ms, task_sizes=None):
        return (task_sizes or self.task_sizes).update(
            self.backlog.ready_groups(wall_ms), wall_ms
        )

    def _find_cpu_sizes(self, task_sizes=None):
        """Returns the CPU of all likely sizes and of the large ones."""
        profile = (task_sizes or self.task_sizes).make_profile(POOL, [WORKER])
        return [
            [size.cpu for size in sizes]
            for sizes in (profile.sizes, profile.large_sizes)
        ]

    def _end(self, workflow_id):
        self.world.cancel(workflow_id)
        self.backlog.refresh_workflow(workflow_id)

    def test_size_is_forgotten_after_some_minutes(self):
        self._update(START_MS)
        self._submit('large', 8000)
        self.assertEqual({POOL}, self._update(START_MS))
        self.assertEqual(set(), self._update(START_MS + 1))
        self._end('large')
        self._update(START_MS + LEARNED_MS - _task_sizes.SPAN_MS)
        self.assertEqual([[8000], [8000]], self._find_cpu_sizes())
        self._update(START_MS + LEARNED_MS)
        self.assertEqual([[], []], self._find_cpu_sizes())

    def test_waiting_size_is_likely_however_old_it_is(self):
        self._submit('large', 8000)
        self._submit('small', 500, count=200)
        for wall_ms in (START_MS, START_MS + 3 * LEARNED_MS):
            self._update(wall_ms)
            self.assertEqual([[500, 8000], [8000]], self._find_cpu_sizes())

    def test_rare_small_and_best_effort_sizes_do_not_count(self):
        self._update(START_MS)
        self._submit('common', 4000, count=200)
        self._submit('rare', 500)
        self._submit('best-effort', 8000, count=200, fills=True)
        self._update(START_MS)
        for workflow_id in ('common', 'rare', 'best-effort'):
            self._end(workflow_id)
        self._update(START_MS)
        self.assertEqual([[4000], [4000]], self._find_cpu_sizes())

    def test_new_leader_learns_from_open_and_ended_workflows(self):
        self._update(START_MS)
        for number, cpu in enumerate((500, 4000, 8000, 9000, 11_000, 13_000)):
            self._submit(f'w{number}', cpu, count=number + 1)
        self._update(START_MS)
        self._end('w2')
        self._update(START_MS)
        new_task_sizes = self._make_task_sizes()
        self._update(START_MS, new_task_sizes)
        sizes = self._find_cpu_sizes(new_task_sizes)
        self.assertEqual(sizes, self._find_cpu_sizes())
        self.assertEqual([4000, 9000, 11_000], sizes[1])

    def test_clock_set_back_does_not_keep_sizes_for_good(self):
        self._update(START_MS + 9 * LEARNED_MS)
        self._submit('large', 8000)
        self._update(START_MS + 9 * LEARNED_MS)
        self._end('large')
        self._update(START_MS)
        self.assertEqual([[], []], self._find_cpu_sizes())

    def test_number_of_size_groups_is_bounded(self):
        self._update(START_MS)
        limit = _task_sizes.MAX_GROUPS_PER_SPAN
        for number in range(limit + 20):
            step_fields = {'label': f'l{number}'}
            self._submit(f'w{number}', 1000, **step_fields)
        self._update(START_MS)
        for number in range(limit + 20):
            self._end(f'w{number}')
        self._update(START_MS)
        self.task_sizes.update([], START_MS)
        self.assertLessEqual(len(self._find_cpu_sizes()[0]), limit)


if __name__ == '__main__':
    unittest.main()
