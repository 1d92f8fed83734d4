"""Tests the answers to callers.

They guard against a refusal that does not say when to come back, and against
an old copy of a refused request that counts as a new attempt.
"""

import time
import unittest

import curio
from returns import result

from fuchsiatrestle.net import http
from fuchsiatrestle import pauses
from fuchsiatrestle.platform import _callers
from fuchsiatrestle.state import outcomes


class _Client:
    """Client of control that gives one outcome to all commands."""

    target_replica = 'c1'

    def __init__(self, outcome):
        self._outcome = outcome
        self.command = None
        self.age_ms = None
        self.timeout_ms = None

    async def propose(self, command, timeout_ms, age_ms):
        self.command = command
        self.age_ms = age_ms
        self.timeout_ms = timeout_ms
        return result.Success(self._outcome)


BODY = b'{"task_spec": "", "steps": [{"count": 1}]}'


class DeadlineTest(unittest.TestCase):
    def test_number_of_any_length_is_answered(self):
        """A number of thousands of digits was answered with status 500."""
        for text, budget_ms in (
            (b'1000', 850),
            (b'3600000', 3_060_000),
            (b'3600001', 2550),
            (b'9' * 400, 2550),
            (b'9' * 5000, 2550),
            (b'-1', 2550),
            (b'\xb2', 2550),
            (b'0', 1),
        ):
            with self.subTest(text=text[:9]):
                client = _Client(outcomes.WorkflowOutcome('queued'))
                handler = _callers.CallerHandler(client)
                headers = [(_callers.DEADLINE_HEADER, text)]
                request = http.Request('POST', '/q/a', headers, BODY)
                response = curio.run(handler.handle, request)
                self.assertEqual(200, response.status)
                self.assertEqual(budget_ms, client.timeout_ms)


class RefusalTest(unittest.TestCase):
    def test_request_that_waited_in_the_socket_is_as_old_as_its_receipt(self):
        client = _Client(outcomes.WorkflowOutcome('queued'))
        handler = _callers.CallerHandler(client)
        received_ms = time.monotonic_ns() // 1_000_000 - 5000
        request = http.Request('POST', '/q/a', [], BODY, received_ms)
        curio.run(handler.handle, request)
        age_ms = time.time() * 1000 - client.command.submitted_ms
        self.assertGreaterEqual(age_ms, 5000)
        self.assertGreaterEqual(client.age_ms, 5000)

    def test_request_that_waited_while_the_vm_was_suspended(self):
        """The monotonic clock, by which its age is known, stood still."""
        for method in ('POST', 'DELETE'):
            for received_before_ms, expected_age_ms in ((100, 5100), (-1, 0)):
                with self.subTest(method=method, age_ms=expected_age_ms):
                    self._check_age(
                        method, received_before_ms, expected_age_ms
                    )

    def _check_age(self, method, received_before_ms, expected_age_ms):
        suspended_ms = 7
        detector = pauses.PauseDetector(lambda: suspended_ms)
        client = _Client(outcomes.WorkflowOutcome('queued'))
        handler = _callers.CallerHandler(client, detector)
        resumed_ms = time.monotonic_ns() // 1_000_000
        suspended_ms += 5000
        detector.check(resumed_ms)
        request = http.Request(
            method, '/q/a', [], BODY, resumed_ms - received_before_ms
        )
        curio.run(handler.handle, request)
        self.assertGreaterEqual(client.age_ms, expected_age_ms)
        self.assertLess(client.age_ms, expected_age_ms + 4000)
        if method == 'POST':
            date_age_ms = time.time() * 1000 - client.command.submitted_ms
            self.assertGreaterEqual(date_age_ms, expected_age_ms)

    def test_denials_are_answered_in_whole_seconds(self):
        for reason, retry_after_ms, seconds in (
            ('overloaded', 0, 1),
            ('overloaded', 1000, 1),
            ('overloaded', 1001, 2),
            ('cancelled', 0, 1),
            ('cancelled', 899_001, 900),
        ):
            with self.subTest(reason=reason, retry_after_ms=retry_after_ms):
                outcome = outcomes.WorkflowOutcome('', reason, retry_after_ms)
                handler = _callers.CallerHandler(_Client(outcome))
                request = http.Request('POST', '/q/a', [], BODY)
                response = curio.run(handler.handle, request)
                self.assertEqual(429, response.status)
                self.assertIn(reason.encode(), response.body)
                self.assertIn(
                    (b'retry-after', b'%d' % seconds), response.headers
                )


if __name__ == '__main__':
    unittest.main()
