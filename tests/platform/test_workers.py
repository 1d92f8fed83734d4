"""Tests of the conversion of heartbeats, orders and answers.

They guard against malformed heartbeats and answers that are taken for valid
ones, and against orders with wrong names on the wire.
"""

import json
import unittest

from fuchsiatrestle.net import http
from fuchsiatrestle.platform import _documents
from fuchsiatrestle.platform import _workers
from fuchsiatrestle.state import workflows as records
from fuchsiatrestle import workflows

HEARTBEAT = {
    'service': 's',
    'address': '10.128.0.9:8080',
    'zone': 'riga-a',
    'version': 'v1',
    'slots': 8,
    'state': 'ready',
    'cold_left_ms': 0,
    'capacity': {'cpu': 16000, 'mem_mb': 32768, 'gpu': 0},
    'labels': ['a', 'r1-3'],
    'clock_ms': 482113,
    'sequence': 4,
    'born': 17,
}
TASK = records.TaskId('5c0e7a21d94b36f8', 0, 1, 17)
TASK_NAME = '5c0e7a21d94b36f8.0.1.17'
START = workflows.StartRun(
    'i-1', '10.128.0.9:8080', TASK, 2, 'text', 486000, 7, 'saved', ''
)
POLL_ORDER = workflows.PollWorker('i-1', '10.128.0.9:8080', None, 7, 57, 1000)


def _decode_reply(status, json_body, order=POLL_ORDER):
    return _workers.decode_reply(
        order, http.make_json_response(status, json_body)
    )


class ListTest(unittest.TestCase):
    def test_list_at_the_limit_is_not_complete(self):
        """The rest was taken for runs that are not there."""
        for count, is_complete in ((0, True), (499, True), (500, False)):
            with self.subTest(count=count):
                ends = [
                    [number, TASK_NAME, number, 'done', '']
                    for number in range(1, count + 1)
                ]
                reply = _decode_reply(200, {'born': 17, 'ended': ends})
                self.assertEqual(is_complete, reply.is_complete)


class AnnouncementTest(unittest.TestCase):
    def test_decoded(self):
        announcement = _workers.decode_announcement(
            'i-1', json.dumps(HEARTBEAT)
        )
        self.assertEqual(
            ('i-1', 17, 4), (announcement.worker, announcement.born_ms, 4)
        )
        self.assertEqual(
            (16000, 32768, 0), (announcement.cpu, announcement.memory_mb, 0)
        )
        self.assertEqual(482113, announcement.clock_ms)

    def test_cold_time_is_optional(self):
        """A heartbeat that is refused for it would cost the whole worker."""
        for value, cold_left_ms in ((30_000, 30_000), (1.5, 1), (None, 0)):
            body = json.dumps({**HEARTBEAT, 'cold_left_ms': value})
            announcement = _workers.decode_announcement('i-1', body)
            self.assertEqual(cold_left_ms, announcement.remaining_cold_ms)
        heartbeat = dict(HEARTBEAT)
        del heartbeat['cold_left_ms']
        announcement = _workers.decode_announcement(
            'i-1', json.dumps(heartbeat)
        )
        self.assertEqual(0, announcement.remaining_cold_ms)

    def test_withdrawal_names_the_process_or_none(self):
        for body, born_ms in ((b'', 0), (b'{}', 0), (b'{"born":17}', 17)):
            with self.subTest(body=body):
                self.assertEqual(
                    born_ms, _workers.decode_withdrawal('i-1', body)
                )

    def test_malformed_withdrawals_are_refused(self):
        for body in (b'{', b'[]', b'{"born":"x"}', b'\xff'):
            with self.subTest(body=body):
                with self.assertRaises(_documents.BodyInvalid):
                    _workers.decode_withdrawal('i-1', body)

    def test_malformed_heartbeats_are_refused(self):
        invalid_changes = (
            {'state': 'asleep'},
            {'address': 'nowhere'},
            {'address': 5},
            {'sequence': 'x'},
            {'capacity': 'large'},
            {'labels': None},
        )
        for change in invalid_changes:
            with self.subTest(change=change):
                body = json.dumps({**HEARTBEAT, **change})
                with self.assertRaises(_documents.BodyInvalid):
                    _workers.decode_announcement('i-1', body)
        for body in (b'', b'\xff\xfe', b'{"service":"s"}', b'[' * 99999):
            with self.assertRaises(_documents.BodyInvalid):
                _workers.decode_announcement('i-1', body)


class OrderTest(unittest.TestCase):
    def test_start(self):
        path, body = _workers.encode_order(START)
        self.assertEqual('/run-start', path)
        self.assertEqual(
            {
                'task': TASK_NAME,
                'run_id': 2,
                'task_spec': 'text',
                'until_ms': 486000,
                'fencing_token': 7,
                'checkpoint': 'saved',
            },
            json.loads(body),
        )

    def test_look_without_a_lease(self):
        path, body = _workers.encode_order(POLL_ORDER)
        self.assertEqual('/hold', path)
        self.assertEqual(
            {'fencing_token': 7, 'last_seen': 57, 'wait_ms': 1000},
            json.loads(body),
        )

    def test_stop_and_pace(self):
        stop_order = workflows.StopRun('i-1', 'x', TASK, 2, 7)
        pace_order = workflows.SetRunPace('i-1', 'x', TASK, 2, 40, 7)
        self.assertEqual('/run-stop', _workers.encode_order(stop_order)[0])
        path, body = _workers.encode_order(pace_order)
        self.assertEqual('/pace', path)
        self.assertEqual(40, json.loads(body)['percent'])


class ReplyTest(unittest.TestCase):
    def test_rows_of_a_look(self):
        reply = _decode_reply(
            200,
            {
                'clock_ms': 5,
                'born': 17,
                'running': [
                    [TASK_NAME, 2, 'saved', 41, 12],
                    [TASK_NAME, 3, '', 0],
                ],
                'ended': [[58, TASK_NAME, 1, 'done', '']],
            },
        )
        self.assertEqual(workflows.Verdict.ACCEPTED, reply.verdict)
        self.assertEqual((5, 17), (reply.clock_ms, reply.born_ms))
        self.assertEqual(
            [12, None], [row.measurement for row in reply.listed_runs]
        )
        self.assertEqual(
            [workflows.ListedEnd(58, TASK, 1, 'done', '')], reply.listed_ends
        )

    def test_malformed_rows_count_as_no_answer(self):
        malformed_rows = (
            [TASK_NAME, '2', 'saved', 41],
            [TASK_NAME, 2, None, 41],
            [TASK_NAME, 2, 'saved', 'much'],
            [TASK_NAME, 2, 'saved', 41, []],
            [TASK_NAME, 2],
            {'task': TASK_NAME},
            ['no task', 2, 'saved', 41],
            [5, 2, 'saved', 41],
        )
        for row in malformed_rows:
            with self.subTest(row=row):
                reply = _decode_reply(200, {'clock_ms': 5, 'running': [row]})
                self.assertEqual(workflows.Verdict.SILENT, reply.verdict)
        for row in (
            ['1', TASK_NAME, 1, 'done', ''],
            [1, TASK_NAME, 1, 'done', 7],
        ):
            with self.subTest(row=row):
                reply = _decode_reply(200, {'clock_ms': 5, 'ended': [row]})
                self.assertEqual(workflows.Verdict.SILENT, reply.verdict)

    def test_reasons_of_a_refusal(self):
        verdict = workflows.Verdict
        expected_verdicts = {
            'fence': verdict.FENCED,
            'old': verdict.OUTDATED,
            'late': verdict.TOO_LATE,
            'room': verdict.NO_ROOM,
            'ticket': verdict.NO_TICKET,
            'new reason': verdict.INVALID,
        }
        for reason, expected_verdict in expected_verdicts.items():
            reply = _decode_reply(
                409, {'clock_ms': 1, 'reason': reason}, START
            )
            self.assertEqual(expected_verdict, reply.verdict)
        self.assertEqual(verdict.OTHER_PROCESS, _decode_reply(421, {}).verdict)
        self.assertEqual(verdict.UNHEALTHY, _decode_reply(503, {}).verdict)
        self.assertEqual(verdict.SILENT, _decode_reply(500, {}).verdict)

    def test_unreadable_answers_count_as_none(self):
        bodies = (
            {'running': [['x']]},
            {'running': [5]},
            {'ended': [[1, 'name', 1, 'done', '']]},
            {'ended': [[1, TASK_NAME, 1, 'evaporated', '']]},
            {'clock_ms': 'noon'},
        )
        for body in bodies:
            with self.subTest(body=body):
                with self.assertLogs(level='WARNING'):
                    verdict = _decode_reply(200, body).verdict
                self.assertEqual(workflows.Verdict.SILENT, verdict)


if __name__ == '__main__':
    unittest.main()
