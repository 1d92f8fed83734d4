"""Tests of the JSON form of records."""

import json
import unittest

from fuchsiatrestle import messages
from fuchsiatrestle import named_json

SIZE = messages.Resources(1000, 2048)
REPORT = messages.WorkerReport(
    'w1',
    7,
    3,
    'dc1',
    'r1',
    SIZE,
    [messages.AttemptReport('j1', 2, 'running', SIZE, 400)],
)


class NamedJsonTest(unittest.TestCase):
    def test_what_is_encoded_decodes_to_the_same_record(self):
        data = named_json.encode(REPORT)
        self.assertEqual(REPORT, named_json.decode(type(REPORT), data))
        order = messages.AttemptOrder('start', 'j1', 2, 5000, SIZE)
        orders = messages.WorkerOrders('w1', 7, 3, [order])
        data = named_json.encode(orders)
        self.assertEqual(orders, named_json.decode(type(orders), data))

    def test_faults_name_the_field(self):
        report_fields = named_json.to_builtins(REPORT)
        faulty_reports = {
            'capacity': {**report_fields, 'capacity': 5},
            'colour': {**report_fields, 'colour': 'red'},
            'seq': {
                key: report_fields[key]
                for key in report_fields
                if key != 'seq'
            },
            'attempts[0]': {**report_fields, 'attempts': [{'job_id': 1}]},
        }
        for field, faulty_report in faulty_reports.items():
            with self.subTest(field=field):
                data = json.dumps(faulty_report).encode()
                with self.assertRaises(named_json.NamedJsonInvalid) as caught:
                    named_json.decode(messages.WorkerReport, data)
                self.assertIn(field, str(caught.exception))
