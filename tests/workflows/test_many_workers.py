"""Tests of what a leader does less often while it has many workers.

They guard against a leader that has no time for anything but polls.
"""

import logging
import unittest
from unittest import mock

from fuchsiatrestle import workflows
from fuchsiatrestle.workflows import _orders
from tests.fakes import dispatch_world

TIMING = workflows.Timing()


class ManyWorkersTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def _find_poll_waits(self, worker_count, max_run_ms):
        """Returns the waits that the polls ask for, and the runs' states."""
        world = dispatch_world.World(4, workers=worker_count)
        poll_waits_ms = set()
        send_order = world._send_order

        def record_and_send(order):
            if isinstance(order, workflows.PollWorker):
                poll_waits_ms.add(order.wait_ms)
            send_order(order)

        world._send_order = record_and_send
        world.submit_task('lasting', 1000)
        world.submit_task('batch', 1000, max_run_ms)
        world.run(max_run_ms + 1000)
        self.assertEqual('completed', world.workflow_state('batch'))
        self.assertEqual(1, len(world.ledger.running))
        return poll_waits_ms

    def test_each_of_many_workers_is_polled_less_often(self):
        for worker_count, wait_ms in (
            (3, TIMING.poll_wait_ms),
            (4, TIMING.long_poll_wait_ms),
        ):
            with (
                self.subTest(worker_count=worker_count),
                mock.patch.object(_orders, 'MANY_WORKERS', 3),
            ):
                poll_waits_ms = self._find_poll_waits(worker_count, 9000)
                self.assertEqual(wait_ms, max(poll_waits_ms))


if __name__ == '__main__':
    unittest.main()
