"""Tests that slow workers are told from slow tasks and get fewer tasks."""

import unittest

from fuchsiatrestle.state import workflows
from fuchsiatrestle import workflows as dispatcher
from fuchsiatrestle.workflows import _slow_workers
from standins import worker_model
from tests.fakes import dispatch_world

LONG_MS = 20_000
# The worker that runs tasks of two workflows.
SHARED = 'w1'
FOUND_MS = 4000


class SlowWorkersTest(unittest.TestCase):
    """One of six workers runs tasks of two workflows, others only of one."""

    def setUp(self):
        logs = self.assertLogs(_slow_workers.LOG, 'INFO')
        self.records = logs.__enter__().records
        self.addCleanup(logs.__exit__, None, None, None)
        # A context without any log line would fail.
        _slow_workers.LOG.info('test_started')

    def _start_load(
        self, find_slowdown=None, work_ms=LONG_MS, features=True, workers=6
    ):
        self.world = dispatch_world.World(
            1,
            workers=workers,
            features=dispatcher.Features(copies_stragglers=features),
        )
        # w0: 5 tasks of a; w1: 2 of a, 3 of b; w2: 5 of b.  w1 has the least
        # room that suffices for a task of 200.
        self._submit('a', 7, 1500, work_ms, find_slowdown)
        self._submit('b', 8, 1600, work_ms, find_slowdown)
        self.world.run(500)
        self.assertEqual(5, self._count_runs())

    def _submit(self, workflow_id, count, cpu, work_ms, find_slowdown=None):
        step = workflows.Step(
            count, cpu=cpu, memory_mb=10, estimate_ms=work_ms
        )
        profile = worker_model.TaskProfile(
            cpu, 10, work_ms, find_slowdown=find_slowdown
        )
        self.world.submit(workflow_id, [step], [profile])

    def _count_new_tasks(self, duration_ms):
        """Returns how many new tasks the shared worker gets.

        It has the least room, so that each of them prefers it.
        """
        count = 0
        for _ in range(duration_ms // 500):
            workflow_id = f'new{self.world.now_ms}'
            self._submit(workflow_id, 1, 200, 300)
            self.world.run(200)
            count += any(
                task.workflow_id == workflow_id and worker == SHARED
                for (task, _), worker in self.world.ledger.running.items()
            )
            self.world.run(300)
        return count

    def _events(self):
        return [
            record.msg
            for record in self.records
            if getattr(record, 'worker', None) == SHARED
        ]

    def test_slow_worker_gets_no_task_until_it_recovers(self):
        self._start_load()
        self.assertEqual(4, self._count_new_tasks(2000))
        self.world.slow_down_worker(SHARED, 5, 6000)
        self.world.run(FOUND_MS)
        self.assertEqual(['worker_slow'], self._events())
        self.assertLess(self.records[-1].pace, 0.4)
        self.assertEqual(0, self._count_new_tasks(1500))
        self.world.run(4000)
        self.assertEqual('worker_recovered', self._events()[-1])
        self.assertEqual(4, self._count_new_tasks(2000))
        self.assertEqual([], self.world.ledger.breaches)

    def test_without_the_feature_it_gets_tasks(self):
        self._start_load(features=False)
        self.world.slow_down_worker(SHARED, 5, 6000)
        self.world.run(FOUND_MS)
        self.assertGreater(self._count_new_tasks(1500), 0)

    def test_slow_tasks_do_not_make_their_worker_slow(self):
        """One task, all of one workflow there, and less than half of all."""
        self._start_load()
        running = sorted(
            (task.workflow_id, task.index)
            for (task, _), worker in self.world.ledger.running.items()
            if worker == SHARED
        )
        for slow_tasks in (running[:1], running[2:], running[1:3]):
            self._start_load(
                lambda task, run: (
                    7 if (task.workflow_id, task.index) in slow_tasks else 1
                )
            )
            self.world.run(10_000)
            self.assertEqual(1, len(self.records), slow_tasks)

    def test_worker_that_stays_slow_is_retried_with_few_tasks(self):
        """Pauses get longer, and a retry adds two runs at most."""
        self._start_load(work_ms=4000, workers=3)
        self.world.slow_down_worker(SHARED, 5)
        most_new_runs = 0
        for number in range(36):
            self._submit(f'c{number}', 10, 500, 4000)
            self.world.run(1000)
            most_new_runs = max(most_new_runs, self._count_runs('c'))
        self.assertEqual(2, most_new_runs)
        self.assertNotIn('worker_recovered', self._events())
        pauses_ms = [
            record.pause_ms
            for record in self.records
            if record.msg == 'worker_slow'
        ]
        self.assertEqual([3000, 6000, 12_000], pauses_ms)
        self.assertEqual(
            ['worker_slow', 'worker_retried'] * 2, self._events()[:4]
        )

    def _count_runs(self, prefix=''):
        """Returns the number of runs on the shared worker.

        Args:
            prefix: prefix of the ids of their workflows.
        """
        return sum(
            worker == SHARED and task.workflow_id.startswith(prefix)
            for (task, _), worker in self.world.ledger.running.items()
        )

    def test_restarted_worker_is_judged_anew(self):
        """Its second pause would last for 6 s."""
        self._start_load(workers=3)
        self.world.slow_down_worker(SHARED, 5)
        self.world.run_until(
            lambda: self._events().count('worker_slow') == 2, 20_000
        )
        self.world.crash_worker(SHARED, 200)
        # A process whose predecessor ended under runs waits for 2.5 s.
        self.world.run_until(lambda: self._count_runs() > 0, 3500)

    def test_few_workers_count_as_slow_at_a_time(self):
        """If many turn slow at once, the work has to run somewhere."""
        self._start_load()
        self._submit('c', 60, 200, LONG_MS)
        self._submit('d', 60, 200, LONG_MS)
        self.world.run(500)
        for name in (SHARED, 'w4'):
            self.world.slow_down_worker(name, 5)
        self.world.run(2 * FOUND_MS)
        slow_workers = {
            record.worker
            for record in self.records
            if record.msg == 'worker_slow'
        }
        self.assertEqual(1, len(slow_workers))


if __name__ == '__main__':
    unittest.main()
