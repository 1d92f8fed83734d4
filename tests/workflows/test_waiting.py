"""Tests how waits are measured, and the log lines about them."""

import unittest

from fuchsiatrestle.workflows import _book
from fuchsiatrestle.workflows import _groups
from fuchsiatrestle.workflows import _waiting
from tests.fakes import dispatch_world


class WaitTimesTest(unittest.TestCase):
    WAIT_MS = 5000

    def _make_group(self):
        """Returns the group of a workflow that waits."""
        world = dispatch_world.World(3, workers=0)
        world.submit_task('waits', 1000, 400)
        workflow = world.workflow_store.find_workflow('waits')
        return _groups.Group(workflow, 0, 0, list(workflow.tasks))

    def test_wait_goes_on_under_the_next_leader(self):
        group = self._make_group()
        now_ms = 700  # of another clock than the earlier leader's
        for _ in range(2):
            wait_times = _waiting.WaitTimes()
            wall_ms = group.workflow.submitted_ms + self.WAIT_MS
            wait_times.update_waiting_groups([group], now_ms, wall_ms)
            self.assertEqual(
                self.WAIT_MS, wait_times.longest_wait_ms(group, now_ms)
            )

    def test_wait_counts_though_the_time_of_day_was_set_back(self):
        group = self._make_group()
        wait_times = _waiting.WaitTimes()
        wall_ms = group.workflow.submitted_ms - 60_000
        for now_ms in (1000, 1000 + self.WAIT_MS):
            wait_times.update_waiting_groups([group], now_ms, wall_ms + now_ms)
        self.assertEqual(
            self.WAIT_MS,
            wait_times.longest_wait_ms(group, 1000 + self.WAIT_MS),
        )


class WaitingLogTest(unittest.TestCase):
    def _record_last_report(self, world):
        """Returns the last report while the workflow ``waits`` waits."""
        with self.assertLogs(_waiting.LOG) as logs:
            world.run(_waiting.MIN_REPORTED_WAIT_MS + 2000)
        record = logs.records[-1]
        self.assertEqual('waits', record.workflow)
        return record

    def _check_room(self, record, *, open_count, reserved, unusable):
        """Checks the numbers of workers with room in a report."""
        self.assertEqual(
            (open_count, reserved, unusable),
            (record.room_open, record.room_reserved, record.room_unusable),
        )

    def test_group_without_room_is_reported_with_the_reason(self):
        world = dispatch_world.World(3, workers=2)
        for number in range(2):
            world.submit_task(f'filler-{number}', 7000)
        world.run(500)
        world.unreachable_workers.add('w1')
        world.submit_task('waits', 1500)
        record = self._record_last_report(world)
        self.assertGreaterEqual(
            record.waited_ms, _waiting.MIN_REPORTED_WAIT_MS
        )
        self._check_room(record, open_count=0, reserved=0, unusable=0)

    def test_new_task_beyond_the_share_leaves_reserved_room_to_batch(self):
        world = dispatch_world.World(3, workers=4)
        for number, cpu in enumerate((7200, 7200, 7200, 5000)):
            world.submit_task(f'filler-{number}', cpu)
            world.run(500)
        for name, cpu, work_ms in (
            ('slow', 1000, 60_000),
            ('larger-than-free', 2300, 400),
        ):
            world.submit_task(name, cpu, work_ms)
            world.run(500)
        world.submit_task('waits', 1800)
        record = self._record_last_report(world)
        self._check_room(record, open_count=0, reserved=1, unusable=0)

    def test_room_on_a_worker_out_of_use_is_told_apart(self):
        world = dispatch_world.World(3, workers=2)
        world.submit_task('most', 7000)
        world.run(500)
        empty_worker = next(
            name
            for name in ('w0', 'w1')
            if name not in world.ledger.running.values()
        )
        world.draining_workers.add(empty_worker)
        world.run(2000)
        world.submit_task('waits', 1500)
        record = self._record_last_report(world)
        self._check_room(record, open_count=0, reserved=0, unusable=1)

    def test_lost_run_tells_for_how_long_its_worker_was_silent(self):
        world = dispatch_world.World(4, workers=1)
        world.submit_task('lasting', 1000)
        world.run(1000)
        world.unreachable_workers.add('w0')
        with self.assertLogs(_book.LOG) as logs:
            world.run(10_000)
        record = next(
            record for record in logs.records if record.msg == 'run_lost'
        )
        self.assertEqual('lease_over', record.reason)
        self.assertGreater(record.silent_ms, 5900)
        self.assertFalse(record.adopted)

    def test_lost_run_of_a_worker_that_never_replied_is_told_apart(self):
        world = dispatch_world.World(4, workers=1)
        world.submit_task('lasting', 1000)
        world.run(1000)
        world.unreachable_workers.add('w0')
        world.start_leader()
        with self.assertLogs(_book.LOG) as logs:
            world.run(20_000)
        record = next(
            record for record in logs.records if record.msg == 'run_lost'
        )
        self.assertIsNone(record.silent_ms)
        self.assertTrue(record.adopted)


if __name__ == '__main__':
    unittest.main()
