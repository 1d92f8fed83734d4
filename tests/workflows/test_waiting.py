"""Tests the log lines about long-running groups that wait."""

import unittest

from fuchsiatrestle.state import workflows
from fuchsiatrestle.workflows import _waiting
from standins import worker_model
from tests.fakes import dispatch_world


class WaitingLogTest(unittest.TestCase):
    def _submit_long_running(self, world, name, cpu):
        world.submit(
            name,
            [workflows.Step(1, cpu=cpu, memory_mb=10, lasts=True)],
            [worker_model.TaskProfile(cpu, 10, None)],
        )

    def test_group_without_room_is_reported_with_the_reason(self):
        world = dispatch_world.World(3, workers=2)
        for number in range(2):
            self._submit_long_running(world, f'most-{number}', 7000)
        world.run(500)
        world.unreachable_workers.add('w1')
        self._submit_long_running(world, 'waits', 1500)
        with self.assertLogs(_waiting.LOG) as logs:
            world.run(_waiting.MIN_REPORTED_WAIT_MS + 2000)
        record = logs.records[-1]
        self.assertEqual('waits', record.workflow)
        self.assertGreaterEqual(
            record.waited_ms, _waiting.MIN_REPORTED_WAIT_MS
        )
        self.assertEqual(
            (0, 0, 0),
            (record.room_open, record.room_reserved, record.room_unusable),
        )

    def test_new_task_beyond_the_share_leaves_reserved_room_to_batch(self):
        world = dispatch_world.World(3, workers=4)
        for number, cpu in enumerate((7200, 7200, 7200, 5000)):
            self._submit_long_running(world, f'filler-{number}', cpu)
            world.run(500)
        for name, cpu, work_ms in (
            ('slow', 1000, 60_000),
            ('larger-than-free', 2300, 400),
        ):
            world.submit(
                name,
                [workflows.Step(1, cpu=cpu, memory_mb=10)],
                [worker_model.TaskProfile(cpu, 10, work_ms)],
            )
            world.run(500)
        self._submit_long_running(world, 'waits', 1800)
        with self.assertLogs(_waiting.LOG) as logs:
            world.run(_waiting.MIN_REPORTED_WAIT_MS + 2000)
        record = logs.records[-1]
        self.assertEqual('waits', record.workflow)
        self.assertEqual(
            (0, 1, 0),
            (record.room_open, record.room_reserved, record.room_unusable),
        )

    def test_room_on_a_worker_out_of_use_is_told_apart(self):
        world = dispatch_world.World(3, workers=2)
        self._submit_long_running(world, 'most', 7000)
        world.run(500)
        empty_worker = next(
            name
            for name in ('w0', 'w1')
            if name not in world.ledger.running.values()
        )
        world.draining_workers.add(empty_worker)
        world.run(2000)
        self._submit_long_running(world, 'waits', 1500)
        with self.assertLogs(_waiting.LOG) as logs:
            world.run(_waiting.MIN_REPORTED_WAIT_MS + 2000)
        record = logs.records[-1]
        self.assertEqual('waits', record.workflow)
        self.assertEqual(
            (0, 0, 1),
            (record.room_open, record.room_reserved, record.room_unusable),
        )


if __name__ == '__main__':
    unittest.main()
