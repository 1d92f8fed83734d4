"""Tests of the administration API without a socket."""

import json
import unittest

import curio
from returns import result

from fuchsiatrestle import admin
from fuchsiatrestle import messages
from fuchsiatrestle.net import control_client
from fuchsiatrestle.net import http
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import outcomes
from fuchsiatrestle.state import queries
from tests.fakes import admin as fakes

PATCH = '/v1/config?base=1&patch_id=p1'
JOB = {
    'job_id': 'j1',
    'team': 't1',
    'size': {'cpu_milli': 500, 'memory_mib': 64},
    'submitted_ms': 9,
}


def _make_failure(reason, executed=False):
    return result.Failure(
        control_client.CallFailure(
            reason, step='ask', peer='c1', executed=executed
        )
    )


class ApiTest(unittest.TestCase):
    def setUp(self):
        self.control = fakes.FakeControl()
        self.local_entry = fakes.FakeLocalEntry()
        self.api = admin.AdminApi(self.control, self.local_entry)

    def _send_request(self, method, target, body_value=None):
        body = body_value if isinstance(body_value, bytes) else b''
        if body_value is not None and not isinstance(body_value, bytes):
            body = json.dumps(body_value).encode()
        request = http.Request(method, target, (), body)
        response = curio.run(self.api.handle, request)
        return response, json.loads(response.body)

    def test_each_malformed_call_names_reason_and_field(self):
        negative_job = {**JOB, 'size': {'cpu_milli': -1, 'memory_mib': 1}}
        text_size = {'cpu_milli': 'x', 'memory_mib': 1}
        cases = (
            ('GET', '/v1/nothing', None, 404, 'unknown_path', ''),
            ('GET', '/', None, 404, 'unknown_path', ''),
            ('PUT', '/v1/config', None, 405, 'method_not_allowed', ''),
            ('GET', '/v1/config?x=1', None, 400, 'unknown_parameter', 'x'),
            (
                'GET',
                '/v1/config?version=-1',
                None,
                400,
                'bad_parameter',
                'version',
            ),
            ('GET', '/v1/jobs?limit=1&limit=2', None, 400, 'bad_query', ''),
            (
                'GET',
                f'/v1/config?version={2**64}',
                None,
                400,
                'bad_parameter',
                'version',
            ),
            (
                'GET',
                '/v1/config?version=' + '9' * 5000,
                None,
                400,
                'bad_parameter',
                'version',
            ),
            ('GET', '/v1/jobs?%ff=1', None, 400, 'bad_query', ''),
            ('PATCH', '/v1/config', b'{}', 400, 'missing_parameter', 'base'),
            ('PATCH', PATCH, b'{', 400, 'bad_json', ''),
            ('PATCH', PATCH, b'\xff', 400, 'bad_json', ''),
            ('PATCH', PATCH, b'[' * 100000, 400, 'bad_json', ''),
            ('PATCH', PATCH, [1], 400, 'bad_json', ''),
            ('PATCH', PATCH + 'x' * 128, {}, 400, 'bad_parameter', 'patch_id'),
            ('POST', '/v1/jobs', b'', 400, 'bad_json', ''),
            ('POST', '/v1/jobs', {'jobs': []}, 400, 'bad_field', 'jobs'),
            ('POST', '/v1/jobs', {'jbs': []}, 400, 'bad_field', 'jbs'),
            ('POST', '/v1/jobs', {}, 400, 'bad_field', 'jobs'),
            (
                'POST',
                '/v1/jobs',
                {'jobs': [{**JOB, 'size': text_size}]},
                400,
                'bad_field',
                'jobs[0].size.cpu_milli',
            ),
            (
                'POST',
                '/v1/jobs',
                {'jobs': [negative_job]},
                400,
                'bad_field',
                'jobs[0].size.cpu_milli',
            ),
            (
                'POST',
                '/v1/jobs',
                {'jobs': [{**JOB, 'colour': 1}]},
                400,
                'bad_field',
                'jobs[0].colour',
            ),
            (
                'POST',
                '/v1/drain',
                {'entry': 'e2'},
                409,
                'other_entry',
                'entry',
            ),
        )
        for method, target, value, status, reason, field in cases:
            with self.subTest(method=method, target=target, value=value):
                response, answer = self._send_request(method, target, value)
                self.assertEqual(status, response.status, answer)
                self.assertEqual(reason, answer['reason'])
                self.assertEqual(field, answer['field'])
                self.assertEqual('not-run', answer['outcome'])
        self.assertEqual([], self.control.calls)
        self.assertFalse(self.local_entry.drain_called)

    def test_outcomes_and_failures_map_to_status_codes(self):
        cases = (
            (outcomes.ConfigAccepted(2), 200, None),
            (outcomes.ConfigConflict(1, 5), 409, 'version_conflict'),
            (
                outcomes.Invalid('bad_value', 'services.q', 'x'),
                422,
                'bad_value',
            ),
            (_make_failure('no_quorum'), 503, 'no_quorum'),
            (_make_failure('timeout', None), 504, 'timeout'),
            (_make_failure('bad_request'), 400, 'bad_request'),
            (_make_failure('last_voter'), 409, 'last_voter'),
            (_make_failure('unknown', None), 504, 'unknown'),
        )
        for outcome, status, reason in cases:
            with self.subTest(outcome=outcome):
                self.control.answers['PatchConfig'] = outcome
                response, answer = self._send_request(
                    'PATCH', PATCH, {'a': None}
                )
                self.assertEqual(status, response.status)
                self.assertEqual(reason, answer.get('reason'))
                headers = dict(response.headers)
                self.assertEqual(status == 503, b'retry-after' in headers)
                is_outcome_unknown = answer.get('outcome') == 'unknown'
                self.assertEqual(status == 504, is_outcome_unknown)

    def test_conflict_tells_the_current_version(self):
        self.control.answers['PatchConfig'] = outcomes.ConfigConflict(1, 5)
        _, answer = self._send_request('PATCH', PATCH, {})
        self.assertEqual(5, answer['current'])

    def test_commands_carry_every_field(self):
        outcome = outcomes.JobOutcomes([outcomes.JobOutcome('j1', 'queued')])
        self.control.answers['SubmitJobs'] = outcome
        self.control.answers['CancelJobs'] = outcome
        job = {**JOB, 'idempotent': False, 'urgent': True, 'priority': 0}
        self._send_request(
            'POST', '/v1/jobs', {'jobs': [job], 'author': 'ann'}
        )
        _, answer = self._send_request(
            'POST', '/v1/jobs/cancel', {'job_ids': ['j1']}
        )
        self.assertEqual('queued', answer['jobs'][0]['state'])
        size = messages.Resources(500, 64, 0)
        spec = commands.JobSpec(
            'j1',
            't1',
            'default',
            0,
            size,
            idempotent=False,
            urgent=True,
            submitted_ms=9,
        )
        submission, cancel = self.control.calls
        self.assertEqual(commands.SubmitJobs([spec], 'ann'), submission)
        self.assertEqual(
            commands.CancelJobs(['j1'], '', cancel.cancelled_ms), cancel
        )
        self.assertLess(0, cancel.cancelled_ms)

    def test_queries(self):
        document = queries.ConfigDocument(3, b'{"services":{}}')
        self.control.answers = {
            'GetConfig': document,
            'GetJob': queries.NotFound('job j1'),
            'GetStatus': _make_failure('no_quorum'),
        }
        _, answer = self._send_request('GET', '/v1/config')
        self.assertEqual({'services': {}}, answer['document'])
        response, answer = self._send_request('GET', '/v1/jobs/j1')
        self.assertEqual(
            (404, 'not_found'), (response.status, answer['reason'])
        )
        response, answer = self._send_request('GET', '/v1/status')
        self.assertEqual(200, response.status)
        self.assertEqual('no_quorum', answer['control']['reason'])
        self.assertEqual('e1', answer['entry']['entry'])
        _, answer = self._send_request('GET', '/v1/upstreams')
        self.assertEqual(8, answer['upstreams'][0]['slots'])
        _, answer = self._send_request('GET', '/v1/counters')
        self.assertIn('refused.admin_not_found', answer['counters'])
        self.control.answers = {
            'GetCounters': queries.CounterList('c1', {'refused.x': 2}, {})
        }
        _, answer = self._send_request('GET', '/v1/control/counters')
        self.assertEqual(
            ('c1', {'refused.x': 2}), (answer['replica'], answer['counters'])
        )

    def test_members(self):
        member = messages.MemberView('c1', 'i', '127.0.0.1:1', 'voter', 9, 3)
        view = messages.MembersView(5, 'c1', 2, 9, [member])
        self.control.answers = {'ShowMembers': view, 'ChangeMember': view}
        _, answer = self._send_request('GET', '/v1/members')
        self.assertEqual('voter', answer['members'][0]['role'])
        self.assertNotIn('call_id', answer)
        add_body = {'change': 'add', 'name': 'c4', 'address': 'nowhere'}
        response, answer = self._send_request('POST', '/v1/members', add_body)
        self.assertEqual((400, 'address'), (response.status, answer['field']))
        add_body['address'] = '127.0.0.1:9'
        self._send_request('POST', '/v1/members', add_body)
        self.assertEqual('c4', self.control.calls[-1].name)

    def test_drain_of_the_named_entry(self):
        response, _ = self._send_request('POST', '/v1/drain', {'entry': 'e1'})
        self.assertEqual(202, response.status)
        self.assertTrue(self.local_entry.drain_called)
