"""Tests of the dates of requests, which the leader's clock limits.

They guard against an older copy of a refused or cancelled request that runs,
as the entry that held it back has a clock that is ahead.
"""

import unittest
from unittest import mock

import msgspec

from fuchsiatrestle.control import _events
from fuchsiatrestle.control import _large_workflows
from fuchsiatrestle import messages
from fuchsiatrestle import records
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import workflows
from tests.control import test_service
from tests.state import test_refusals

WALL_MS = 1_700_000_000_000
CLOCK_AHEAD_MS = 2000
SPEC = workflows.WorkflowSpec('', [workflows.Step(1)])


class RequestDateTest(test_service.ServiceCase):
    def setUp(self):
        super().setUp()
        self._become_leader()
        self.index = self.service.machine.applied_index
        self._agree(commands.PutDocument(test_refusals.DOCUMENT, b''))

    def _agree(self, command):
        """Applies a command and returns the outcome."""
        self.index += 1
        return self.service.machine.apply(self.index, command)

    def _propose(self, command, age_ms):
        """Returns the command that is proposed for a call."""
        self._step(_events.Tick(WALL_MS + self.now_ms + 1))
        self.last_call_id += 1
        call = _events.Call(
            'e1',
            messages.ProposeCommand(
                self.last_call_id, commands.CODEC.encode(command), age_ms
            ),
        )
        ((_, proposed),) = self._step(call)[0].event.proposals
        return commands.CODEC.decode(proposed)

    def _receive(self, clock_ms, age_ms):
        """Returns the submission of a request that an entry received.

        Args:
            clock_ms: how far the clock of the entry is ahead.
            age_ms: time since it received the request.
        """
        now_ms = WALL_MS + self.now_ms + 2
        return commands.SubmitWorkflow(
            'shop.example', '/q/a', SPEC, now_ms + clock_ms - age_ms
        )

    def _refuse(self):
        """Agrees on the refusal of a request received just now."""
        submission = self._receive(0, 0)
        outcome = self._agree(
            commands.RefuseWorkflow(
                submission.host,
                submission.path,
                submission.submitted_ms,
                submission.submitted_ms,
                1000,
            )
        )
        self.assertEqual('overloaded', outcome.reason)

    def test_copy_that_an_entry_held_back_is_denied_whatever_its_clock(self):
        for clock_ms in (-CLOCK_AHEAD_MS, 0, CLOCK_AHEAD_MS, 10**9, 10**13):
            with self.subTest(clock_ms=clock_ms):
                self.setUp()
                self._refuse()
                copy = self._propose(self._receive(clock_ms, 700), 700)
                self.assertEqual('overloaded', self._agree(copy).reason)

    def test_later_attempt_is_accepted(self):
        for clock_ms in (0, CLOCK_AHEAD_MS):
            with self.subTest(clock_ms=clock_ms):
                self.setUp()
                self._refuse()
                self.now_ms += 1000
                attempt = self._propose(self._receive(clock_ms, 0), 0)
                self.assertEqual('queued', self._agree(attempt).state)

    def test_no_date_is_after_the_receipt(self):
        for clock_ms, age_ms, age_by_date_ms in (
            (0, 0, 0),
            (0, 700, 700),
            (CLOCK_AHEAD_MS, 700, 700),
            (-CLOCK_AHEAD_MS, 700, 700 + CLOCK_AHEAD_MS),
            (CLOCK_AHEAD_MS, 0, 0),
        ):
            with self.subTest(clock_ms=clock_ms, age_ms=age_ms):
                proposed = self._propose(
                    self._receive(clock_ms, age_ms), age_ms
                )
                self.assertEqual(
                    WALL_MS + self.now_ms - age_by_date_ms,
                    proposed.submitted_ms,
                )

    def test_dates_of_cancels(self):
        """One in the future would stay in the table and hold up others."""
        ahead_ms = WALL_MS + 10**9
        for cancel in (
            commands.CancelWorkflow('shop.example', '/q/a', ahead_ms),
            commands.CancelJobs(['j'], '', ahead_ms),
        ):
            with self.subTest(cancel=cancel):
                proposed = self._propose(cancel, 5)
                self.assertEqual(
                    WALL_MS + self.now_ms - 5, proposed.cancelled_ms
                )

    def test_age_longer_than_the_time_since_the_epoch(self):
        proposed = self._propose(self._receive(0, 0), 10**12 * 2)
        self.assertEqual(0, proposed.submitted_ms)

    def test_age_that_is_out_of_range_is_no_message(self):
        for age_ms in (-1, 10**13):
            call = messages.ProposeCommand(1, b'', age_ms)
            with self.assertRaises(records.DecodeError):
                messages.CODEC.decode(messages.CODEC.encode(call))

    def test_refusals_without_a_view_of_capacity_deny_older_copies(self):
        """They were dated by the clock of the entry, which may be behind."""
        unknown_path = msgspec.structs.replace(
            self._receive(-CLOCK_AHEAD_MS, 0), path='/other/a'
        )
        large = self._receive(-CLOCK_AHEAD_MS, 0)
        for submission, may_propose in ((unknown_path, True), (large, False)):
            with (
                self.subTest(path=submission.path),
                mock.patch.object(
                    _large_workflows.LargeWorkflows,
                    'may_propose',
                    return_value=may_propose,
                ),
            ):
                refusal = self._propose(submission, 0)
                self.assertIsInstance(refusal, commands.RefuseWorkflow)
                self.assertEqual(WALL_MS + self.now_ms, refusal.refused_ms)


if __name__ == '__main__':
    unittest.main()
