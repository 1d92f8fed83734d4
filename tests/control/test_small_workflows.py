"""Tests of the limit on small workflows in the agreed state.

They guard against a leader that any number of small workflows fills, against
callers of one queue that shut out those of others, and against refusing
copies of accepted ones.
"""

import unittest
from unittest import mock

import msgspec

from fuchsiatrestle.control import _large_workflows
from fuchsiatrestle.control import _small_workflows
from fuchsiatrestle.state import _workflows
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import machine
from fuchsiatrestle.state import workflows
from tests.state import test_refusals

HOST = test_refusals.HOST
OTHER_QUEUE = msgspec.structs.replace(
    test_refusals.QUEUE, name='other', prefix='/other/'
)
DOCUMENT = msgspec.structs.replace(
    test_refusals.DOCUMENT, queues=[test_refusals.QUEUE, OTHER_QUEUE]
)
SPEC = workflows.WorkflowSpec('', [workflows.Step(2, cpu=1)])
LARGE_SPEC = workflows.WorkflowSpec('', [workflows.Step(1000, cpu=1)])
COMMAND_BYTES = 200
# Room for four of these in one queue, and as many in the other.
MAX_BYTES = 8 * (
    _small_workflows.WORKFLOW_BYTES
    + COMMAND_BYTES
    + 2 * _large_workflows.TASK_BYTES
)


class SmallWorkflowsTest(unittest.TestCase):
    def setUp(self):
        self.now_ms = 0
        self.machine = machine.StateMachine()
        self._apply(commands.PutDocument(DOCUMENT, b''))
        self.small = self._make_limit()

    def _make_limit(self):
        return _small_workflows.SmallWorkflows(
            self.machine.workflows, MAX_BYTES
        )

    def _apply(self, command):
        return self.machine.apply(self.machine.applied_index + 1, command)

    def _make_command(self, number, prefix='/q/', spec=SPEC):
        return commands.SubmitWorkflow(HOST, f'{prefix}{number}', spec, 1)

    def _may_propose(self, *args):
        self.now_ms += _small_workflows.PASS_INTERVAL_MS
        return self.small.may_propose(
            self._make_command(*args), COMMAND_BYTES, self.now_ms
        )

    def _submit(self, number, prefix='/q/'):
        """Submits a workflow; returns False if it has no room."""
        if not self._may_propose(number, prefix):
            return False
        command = self._make_command(number, prefix)
        self._apply(command)
        self.small.record_applied(command, COMMAND_BYTES)
        self.small.record_applied(command, COMMAND_BYTES)
        return True

    def _cancel(self, number):
        self._apply(commands.CancelWorkflow(HOST, f'/q/{number}', 5))

    def _fill_queue(self):
        self.assertEqual(
            [True] * 4 + [False], [self._submit(n) for n in range(5)]
        )

    def test_further_one_is_refused_until_one_has_ended(self):
        self._fill_queue()
        self._cancel(2)
        self.assertTrue(self._submit(6))
        self.assertFalse(self._submit(7))

    def test_queue_does_not_shut_out_another_one(self):
        self._fill_queue()
        self.assertTrue(
            all(self._submit(f'o{n}', '/other/') for n in range(4))
        )
        self.assertFalse(self._submit('o4', '/other/'))

    def test_copies_are_accepted(self):
        self._fill_queue()
        self.assertTrue(self._may_propose(1))
        self._cancel(1)
        self.assertTrue(self._submit(6))
        self.assertTrue(self._may_propose(1))

    def test_unknown_paths_are_judged_elsewhere(self):
        self._fill_queue()
        self.assertTrue(self._may_propose(9, '/unknown/'))

    def test_large_ones_take_nothing_of_it(self):
        command = self._make_command('large', spec=LARGE_SPEC)
        self._apply(command)
        self.small.record_applied(command, COMMAND_BYTES)
        self._fill_queue()
        self.assertTrue(self._may_propose('large', '/q/', LARGE_SPEC))

    def test_restored_state_is_weighed_again(self):
        self._fill_queue()
        self.small = self._make_limit()
        self.assertTrue(self._may_propose(5))
        self.small.rebuild()
        self.assertFalse(self._may_propose(5))

    def test_ended_ones_are_looked_for_now_and_then(self):
        """A pass over all of them for each refusal would take the leader."""
        self._fill_queue()
        self._cancel(2)
        command = self._make_command(6)
        for now_ms, may_propose in ((0, False), (999, False), (1000, True)):
            self.assertIs(
                may_propose,
                self.small.may_propose(
                    command, COMMAND_BYTES, self.now_ms + now_ms
                ),
            )

    def test_cancelled_ones_do_not_shut_out_others(self):
        """A client may cancel them as fast as it submits them."""
        with (
            mock.patch.object(_small_workflows, 'MAX_KNOWN_WORKFLOWS', 6),
            mock.patch.object(_workflows, 'MAX_DETAILED_ENDED', 2),
        ):
            for number in range(20):
                self.assertTrue(self._submit(number))
                self._cancel(number)
        self.assertEqual(2, self.machine.workflows.known_count)
        self.assertEqual(
            ['18', '19'],
            [
                workflow.workflow_id
                for workflow in self.machine.workflows.retained_workflows
            ],
        )
        # A copy of the submission does not run.
        outcome = self._apply(self._make_command(7))
        self.assertEqual('cancelled', outcome.reason)

    def test_number_of_known_ones_is_bounded(self):
        with mock.patch.object(_small_workflows, 'MAX_KNOWN_WORKFLOWS', 3):
            for number in range(3):
                self.assertTrue(self._submit(number))
            self._cancel(1)
            self.assertFalse(self._submit(3))
            self.assertTrue(self._may_propose(1))


if __name__ == '__main__':
    unittest.main()
