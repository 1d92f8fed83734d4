"""Tests of agreed refusals of workflows.

They guard against a refusal of a workflow that was accepted, and against a
refused request that starts when an older copy of it arrives late.
"""

import itertools
import unittest
from unittest import mock

from fuchsiatrestle import records
from fuchsiatrestle.state import _denials
from fuchsiatrestle.state import _workflows
from fuchsiatrestle.state import _workflows_model
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import machine
from fuchsiatrestle.state import workflows

HOST = 'shop.example'
QUEUE = workflows.Queue('q', HOST, '/q/', 'pool', 0, 2, 1.5, 250, 3000)
DOCUMENT = workflows.Document(1, [QUEUE], [workflows.Pool('pool', False)])
SPEC = workflows.WorkflowSpec('', [workflows.Step(1, cpu=1, estimate_ms=9)])
REFUSED_MS = 25


def _submit(submitted_ms, name='a'):
    return commands.SubmitWorkflow(HOST, f'/q/{name}', SPEC, submitted_ms)


def _refuse(submitted_ms, refused_ms=REFUSED_MS, name='a'):
    return commands.RefuseWorkflow(
        HOST, f'/q/{name}', submitted_ms, refused_ms, 1500
    )


class _OldPartState(records.Record, tag='workflows-1'):
    """Snapshot of the workflows part by a build without refusals."""

    now_ms: int
    workflows: list[_workflows_model.WorkflowRow]
    ended: list[_workflows._EndedWorkflow]
    workers: list[workflows.WorkerRecord]
    pairs: list[workflows.ImagePair] = []


class RefusalsTest(unittest.TestCase):
    def setUp(self):
        self._start_machine()

    def _start_machine(self):
        self.machine = machine.StateMachine()
        self._apply(commands.PutDocument(DOCUMENT, b''))

    def _apply(self, command):
        return self.machine.apply(self.machine.applied_index + 1, command)

    def _is_accepted(self, command):
        outcome = self._apply(command)
        self.assertIn(
            (outcome.state, outcome.reason),
            (('queued', ''), ('', 'overloaded')),
        )
        return not outcome.reason

    def _restart_from_snapshot(self):
        snapshot = self.machine.snapshot()
        self.machine = machine.StateMachine()
        self.machine.restore(snapshot)

    def test_copies_in_any_order(self):
        """Two attempts before the refusal, and one after it."""
        copies = (_submit(10), _submit(20), _refuse(20), _submit(30))
        for order in itertools.permutations(copies):
            with self.subTest(order=order):
                self._start_machine()
                is_accepted = is_refused = False
                for command in order:
                    is_new = command.submitted_ms > REFUSED_MS
                    expected = (
                        is_accepted
                        or is_new
                        or not (
                            is_refused
                            or isinstance(command, commands.RefuseWorkflow)
                        )
                    )
                    is_accepted = self._is_accepted(command)
                    self.assertEqual(expected, is_accepted)
                    is_refused = is_refused or not is_accepted
                    self._restart_from_snapshot()

    def test_copies_by_an_entry_whose_clock_is_ahead(self):
        self.assertFalse(self._is_accepted(_refuse(REFUSED_MS + 90)))
        self.assertFalse(self._is_accepted(_submit(REFUSED_MS + 90)))
        self.assertFalse(self._is_accepted(_refuse(20)))
        self.assertFalse(self._is_accepted(_submit(REFUSED_MS + 90)))
        self.assertTrue(self._is_accepted(_submit(REFUSED_MS + 91)))

    def test_outcome_says_when_to_try_again(self):
        for command in (_refuse(20), _submit(20)):
            self.assertEqual(1500, self._apply(command).retry_after_ms)

    def test_number_is_bounded_and_dropped_refusals_hold(self):
        with mock.patch.object(_denials, 'MAX_ROWS', 3):
            for number in range(5):
                self._apply(_refuse(20, 100 + number, f'n{number}'))
                self._restart_from_snapshot()
        rows = self.machine.workflows.refusals
        self.assertEqual(['n2', 'n3', 'n4'], [row.workflow_id for row in rows])
        self.assertFalse(self._is_accepted(_submit(101, 'n1')))
        self.assertFalse(self._is_accepted(_submit(20, 'n4')))
        self.assertTrue(self._is_accepted(_submit(102, 'n1')))

    def test_time_is_bounded(self):
        self._apply(_refuse(20))
        for age_ms, row_count in ((-1, 1), (0, 0)):
            now_ms = REFUSED_MS + _denials.RETENTION_MS + age_ms
            self._apply(commands.RecordProgress(1, now_ms))
            rows = self.machine.workflows.refusals
            self.assertEqual(row_count, len(rows))

    def test_snapshot_of_a_build_without_refusals(self):
        self._apply(_submit(10))
        part = self.machine.workflows
        workflow_row = part.find_workflow('a').to_row()
        old_state = _OldPartState(5, [workflow_row], [], [])
        part.restore(records.Codec(_OldPartState).encode(old_state))
        self.assertTrue(self._is_accepted(_refuse(20)))
        self.assertFalse(self._is_accepted(_refuse(20, name='b')))

    def test_unknown_queue(self):
        command = commands.RefuseWorkflow(HOST, '/other/a', 1, 1, 1)
        self.assertEqual('no_queue', self._apply(command).reason)


if __name__ == '__main__':
    unittest.main()
