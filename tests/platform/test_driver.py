"""Tests of the driver that sends orders to workers.

They guard against an order that leaves long after it was made: another leader
may have been elected, and the worker may have been started anew.
"""

import unittest
from unittest import mock

import curio

from fuchsiatrestle.net import http
from fuchsiatrestle.platform import _driver
from fuchsiatrestle import settings
from fuchsiatrestle import workflows
from tests.fakes import ports


class _Worker(http.Handler):
    """Accepts each order and counts them."""

    def __init__(self):
        self.order_count = 0

    async def handle(self, request):
        self.order_count += 1
        return http.make_json_response(200, {'clock_ms': 5})


class DriverAgeTest(unittest.TestCase):
    def _send(self, clock_readings_s):
        """Sends a stop order and returns the verdict and the worker.

        Args:
            clock_readings_s: readings of the clock when the order is made, and
                right before it is sent.
        """
        worker = _Worker()
        replies = []

        async def report(event):
            replies.append(event.reply)

        async def send():
            address = settings.Address('127.0.0.1', *ports.find_free_ports(1))
            server = http.Server(address, worker)
            await server.start()
            driver = _driver.HttpDriver()
            await driver.start(report)
            task = workflows.StopRun('w0', str(address), mock.Mock(), 1, 2)
            task.task.workflow_id = 'a'
            await driver.send(task)
            async with curio.timeout_after(10):
                while not replies:
                    await curio.sleep(0.01)
            await driver.stop()
            await server.stop(0)

        with mock.patch.object(
            _driver, 'read_clock_s', side_effect=clock_readings_s
        ):
            curio.run(send)
        return replies[0].verdict, worker

    def test_order_is_sent_in_time(self):
        verdict, worker = self._send((7.0, 7.9))
        self.assertEqual(workflows.Verdict.ACCEPTED, verdict)
        self.assertEqual(1, worker.order_count)

    def test_order_of_a_paused_process_is_not_sent(self):
        verdict, worker = self._send((7.0, 8.1))
        self.assertEqual(workflows.Verdict.SILENT, verdict)
        self.assertEqual(0, worker.order_count)


if __name__ == '__main__':
    unittest.main()
