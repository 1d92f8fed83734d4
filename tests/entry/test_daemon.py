"""Tests of the entry daemon without its listeners.

They guard against an operator's order that is refused because the machine was
suspended long before the order arrived, and against one that had arrived
before the suspension and is carried out.
"""

import json
import logging
import os
import tempfile
import time
import unittest
from unittest import mock

import curio
from returns import result

from fuchsiatrestle import daemon
from fuchsiatrestle.entry import _daemon
from fuchsiatrestle.entry import _settings
from fuchsiatrestle.net import control_client
from fuchsiatrestle.net import http
from fuchsiatrestle import settings

SETTINGS = """
[entry]
name = e1
callers = 127.0.0.1:1
platform = 127.0.0.1:2
admin = 127.0.0.1:3
link = 127.0.0.1:4
controls = c1=127.0.0.1:5
"""
SUSPENSION_NS = 60_000_000_000


async def _time_out(self, query, timeout_ms=None):
    return result.Failure(
        control_client.CallFailure(
            'timeout', step='query', peer='c1', executed=False
        )
    )


class SuspensionTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.suspended_ns = 0
        read_clock_ns = time.clock_gettime_ns

        def read_shifted_clock_ns(clock_id):
            shift_ns = 0
            if clock_id == time.CLOCK_BOOTTIME:
                shift_ns = self.suspended_ns
            return read_clock_ns(clock_id) + shift_ns

        for target, name, replacement in (
            (time, 'clock_gettime_ns', read_shifted_clock_ns),
            (control_client.ControlClient, 'query', _time_out),
        ):
            patcher = mock.patch.object(target, name, replacement)
            patcher.start()
            self.addCleanup(patcher.stop)
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, 'entry.ini')
            with open(path, 'w', encoding='utf-8') as stream:
                stream.write(SETTINGS)
            cfg = settings.load(
                path, _settings.SECTIONS + daemon.COMMON_SECTIONS
            )
        self.entry_daemon = _daemon.EntryDaemon(cfg)

    async def _order(self, received_ms):
        """Returns the reason of the refusal.

        An order that reaches control is refused as ``timeout`` here.
        """
        response = await self.entry_daemon._admin_server.handler.handle(
            http.Request(
                'POST', '/v1/evacuations/dc/start', received_ms=received_ms
            )
        )
        return json.loads(response.body)['reason']

    async def _order_around_suspension(self, arrives_before):
        ticks = await curio.spawn(self.entry_daemon._renew_lease_forever)
        await curio.sleep(3 * _daemon.TICK_INTERVAL_S)
        before_ms = daemon.monotonic_ms()
        self.suspended_ns = SUSPENSION_NS
        await curio.sleep(3 * _daemon.TICK_INTERVAL_S)
        # An order of the millisecond of the last check counts as earlier.
        await curio.sleep(0.002)
        after_ms = daemon.monotonic_ms()
        reason = await self._order(before_ms if arrives_before else after_ms)
        await ticks.cancel()
        return reason

    def test_order_after_an_earlier_suspension_reaches_control(self):
        self.assertEqual(
            'timeout', curio.run(self._order_around_suspension, False)
        )

    def test_order_from_before_a_suspension_is_refused(self):
        self.assertEqual(
            'late', curio.run(self._order_around_suspension, True)
        )


if __name__ == '__main__':
    unittest.main()
