"""Tests of the platform port.

They guard against malformed announcements and reports that get past the
handler, and against fields lost between the JSON body and the records.
"""

import unittest

import curio

from fuchsiatrestle.entry import _platform
from fuchsiatrestle import messages
from fuchsiatrestle.net import http

RECEIVED_MS = 7000
ANNOUNCEMENT = {
    'service': 'quotes',
    'address': '127.0.0.1:9001',
    'incarnation': 5,
    'seq': 1,
    'state': 'ready',
    'slots': 8,
    'connections': 64,
}
REPORT = {
    'worker': 'w1',
    'incarnation': 5,
    'seq': 1,
    'data_centre': 'dc1',
    'rack': 'r1',
    'capacity': {'cpu_milli': 32000, 'memory_mib': 128000},
    'attempts': [
        {
            'job_id': 'j',
            'attempt': 1,
            'state': 'running',
            'used': {'cpu_milli': 1, 'memory_mib': 2},
            'age_ms': 3,
        }
    ],
}
BAD_BODIES = {
    'no JSON': b'{',
    'no object': b'[1]',
    'nested too deeply': b'[' * 100000,
    'not UTF-8': b'{"service": "\xff"}',
}
BAD_ANNOUNCEMENTS = (
    {'state': 'gone'},
    {'address': 'host:1'},
    {'address': '127.0.0.1:0'},
    {'slots': -1},
    {'slots': 'many'},
    {'connections': 10**9},
    {'service': ''},
    {'unknown': 1},
    # An entry that passed it on to others ended.
    {'incarnation': 2**64},
    {'seq': 2**64},
    {'seq': -(2**63) - 1},
    {'incarnation': 10**400},
    {'address': '127.0.0.1:٨٠'},
    {'address': '[::1%\x00]:80'},
)
BAD_REPORTS = (
    {'worker': 'other'},
    {'attempts': 5},
    {'attempts': [5]},
    {'capacity': None},
    {'capacity': {'cpu_milli': 'x', 'memory_mib': 1}},
    {'unknown': 1},
    # The other reports of its batch were never answered.
    {'incarnation': 2**64},
    {'seq': 2**64},
    {'capacity': {'cpu_milli': 10**13, 'memory_mib': 1}},
    {'capacity': {'cpu_milli': 1, 'memory_mib': -1}},
    {'attempts': [{**REPORT['attempts'][0], 'attempt': 2**64}]},
    {'attempts': [{**REPORT['attempts'][0], 'progress': 10**400}]},
    {
        'attempts': [
            {
                **REPORT['attempts'][0],
                'used': {'cpu_milli': 2**64, 'memory_mib': 2},
            }
        ]
    },
)


class _Recorder:
    """Records announcements and reports in place of router and batcher."""

    def __init__(self):
        self.received_records = []
        self.received_ms = None

    async def step(self, event):
        self.received_ms = event.received_ms
        self.received_records.append(event.announcement)

    async def send_report(self, report):
        self.received_records.append(report)
        order = messages.AttemptOrder('renew', 'j', 1, lease_ms=500)
        return messages.WorkerOrders('w1', 5, 1, [order])


class PlatformTest(unittest.TestCase):
    def setUp(self):
        self.recorder = _Recorder()
        self.handler = _platform.PlatformHandler(self.recorder, self.recorder)

    def _post(self, path, body):
        if not isinstance(body, bytes):
            body = http.encode_json(body)
        request = http.Request('POST', path, [], body, RECEIVED_MS)
        return curio.run(self.handler.handle, request)

    def test_takes_an_announcement(self):
        response = self._post('/v1/announcements', ANNOUNCEMENT)
        self.assertEqual(200, response.status)
        (announcement,) = self.recorder.received_records
        self.assertEqual(RECEIVED_MS, self.recorder.received_ms)
        self.assertEqual(
            (8, 64, 0),
            (
                announcement.slots,
                announcement.connections,
                announcement.age_ms,
            ),
        )

    def test_takes_a_report_and_answers_named_orders(self):
        response = self._post('/v1/workers/w1/report', REPORT)
        (report,) = self.recorder.received_records
        self.assertEqual(2, report.attempts[0].used.memory_mib)
        orders = http.decode_json(response.body)['orders']
        self.assertEqual(
            ('renew', 500), (orders[0]['kind'], orders[0]['lease_ms'])
        )

    def test_refuses_what_is_not_valid(self):
        cases = [
            (path, body)
            for path in ('/v1/announcements', '/v1/workers/w1/report')
            for body in BAD_BODIES.values()
        ]
        cases += [
            ('/v1/announcements', ANNOUNCEMENT | change)
            for change in BAD_ANNOUNCEMENTS
        ]
        cases += [
            ('/v1/workers/w1/report', REPORT | change)
            for change in BAD_REPORTS
        ]
        for path, body in cases:
            with self.subTest(path=path, body=body if len(body) < 999 else ''):
                response = self._post(path, body)
                self.assertEqual(400, response.status)
                self.assertIn('reason', http.decode_json(response.body))
        self.assertEqual([], self.recorder.received_records)
        self.assertEqual(404, self._post('/v1/other', b'').status)
