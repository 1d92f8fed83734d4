"""Tests of the calls of operators on the control address.

They guard against answers that operators take for another state: an unknown
data centre that looks like an absent leader, and the other way round.
"""

import json
import logging
import unittest
from unittest import mock

import curio
from returns import result

from fuchsiatrestle import messages
from fuchsiatrestle.net import control_client
from fuchsiatrestle.net import evacuation_orders
from fuchsiatrestle.net import http
from fuchsiatrestle.platform import _operators
from fuchsiatrestle import settings
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import outcomes
from fuchsiatrestle.state import queries
from tests.fakes import admin as fakes
from tests.fakes import ports

NOT_ANSWERED = result.Failure(
    control_client.CallFailure(
        'no_quorum', step='query', peer='c1', executed=False
    )
)


def _make_list(order_count):
    view = queries.EvacuationView('dc a', order_count % 2 == 1, order_count)
    return queries.EvacuationList([view], True, [])


class HeartbeatTest(unittest.TestCase):
    def test_next_heartbeat_goes_to_the_member_that_the_leader_names(self):
        """All workers sent theirs to the leader, however many there were."""
        body = json.dumps(
            {
                'service': 'pool',
                'address': '10.0.0.9:1',
                'zone': 'dc',
                'machine': 'm',
                'state': 'ready',
                'capacity': {'cpu': 1000, 'mem_mb': 10, 'gpu': 0},
                'labels': ['a'],
                'clock_ms': 5,
                'sequence': 4,
                'born': 17,
            }
        ).encode()
        for receiver, address in (
            ('', '10.0.0.1:80'),
            ('10.0.0.2:9', '10.0.0.2:80'),
        ):
            with self.subTest(receiver=receiver):
                control = mock.Mock()

                async def call(message, budget_ms, receiver=receiver):
                    noted = messages.Noted(0, '10.0.0.1:9', receiver)
                    return result.Success(noted)

                control.call = call
                handler = _operators.ControlHandler(control, 80)
                request = http.Request(
                    'POST', '/instances/i-1/heartbeat', [], body
                )
                response = curio.run(handler.handle, request)
                self.assertEqual(
                    {'heartbeat_addr': address}, json.loads(response.body)
                )


class EvacuationCallTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.control = fakes.FakeControl()
        self.control.answers['GetEvacuations'] = _make_list(4)
        self.control.answers['StartEvacuation'] = outcomes.EvacuationOutcome(
            'dc a', True, 5
        )
        self.control.answers['EndEvacuation'] = outcomes.EvacuationOutcome(
            'dc a', False, 5
        )
        orders = evacuation_orders.EvacuationOrders(self.control, ('dc a',))
        self.handler = _operators.ControlHandler(self.control, 1, orders)

    def _call(self, path, method='POST'):
        """Returns the status and the decoded body of the response."""
        request = http.Request(method, path)
        response = curio.run(self.handler.handle, request)
        return response.status, json.loads(response.body)

    def _assert_refused(self, status, reason, path, method='POST'):
        actual_status, body = self._call(path, method)
        self.assertEqual((status, reason), (actual_status, body['reason']))

    def test_orders_are_acknowledged(self):
        self.assertEqual(
            (200, {'evacuated': True}), self._call('/evacuations/dc%20a/start')
        )
        self.assertEqual(
            commands.StartEvacuation('dc a', 4), self.control.calls[-1]
        )
        self.assertEqual(
            (200, {'evacuated': False}), self._call('/evacuations/dc%20a/end')
        )

    def test_late_order_is_acknowledged_only_if_it_was_accepted(self):
        """An accepted order is never refused, also after a later one."""
        for superseded, status in ((False, 200), (True, 503)):
            self.control.answers['StartEvacuation'] = (
                outcomes.EvacuationOutcome('dc a', False, 6, True, superseded)
            )
            self.assertEqual(
                status, self._call('/evacuations/dc%20a/start')[0]
            )

    def test_no_leader_is_503(self):
        for call in ('StartEvacuation', 'GetEvacuations'):
            self.control.answers[call] = NOT_ANSWERED
            self._assert_refused(503, 'no_quorum', '/evacuations/dc%20a/start')

    def test_unknown_data_centre_is_404_without_a_leader(self):
        self.control.answers['GetEvacuations'] = NOT_ANSWERED
        for path in ('/evacuations/dc/start', '/evacuations/dc/x/end'):
            self._assert_refused(404, 'unknown_data_centre', path)

    def test_order_whose_operator_has_gone_has_no_effect(self):
        """The network may deliver it long after its operator gave up."""
        for is_gone in (False, True):
            self.control.calls.clear()
            curio.run(self._send_order, is_gone)
            is_proposed = any(
                isinstance(call, commands.StartEvacuation)
                for call in self.control.calls
            )
            self.assertEqual(not is_gone, is_proposed)

    async def _send_order(self, is_gone):
        address = settings.Address('127.0.0.1', ports.find_free_ports(1)[0])
        server = http.Server(address, self.handler)
        await server.start()
        sock = await curio.open_connection(address.host, address.port)
        await sock.sendall(
            b'POST /evacuations/dc%20a/start HTTP/1.1\r\nhost: c\r\n'
            b'content-length: 0\r\n\r\n'
        )
        if is_gone:
            await sock.close()
            while not self.control.calls or server.open_connection_count:
                await curio.sleep(0.02)
        else:
            await sock.recv(1000)
            await sock.close()
        await server.stop(0)

    def test_unknown_paths(self):
        for path, method in (
            ('/evacuations/dc%20a/start', 'GET'),
            ('/evacuations/dc%20a/stop', 'POST'),
            ('/evacuations/dc%20a', 'POST'),
        ):
            self._assert_refused(404, 'unknown_path', path, method)

    def test_calls_are_unknown_where_evacuations_are_not_offered(self):
        self.handler = _operators.ControlHandler(self.control, 1)
        for path in ('/evacuations/dc%20a/start', '/evacuations/dc/end'):
            self._assert_refused(404, 'unknown_path', path)


if __name__ == '__main__':
    unittest.main()
