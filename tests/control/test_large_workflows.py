"""Tests of the limit on large workflows in the agreed state.

They guard against a leader that legal workflows fill, and against refusing
small workflows or copies of accepted ones.
"""

import types
import unittest

from fuchsiatrestle.agreement import _log
from fuchsiatrestle.control import _large_workflows
from fuchsiatrestle import messages
from fuchsiatrestle.net import _link_exchange
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import workflows

LARGE_TASKS = 1000


def _make_command(number, task_count=LARGE_TASKS):
    steps = [workflows.Step(task_count, 1, 1, 0, 1, [])]
    spec = workflows.WorkflowSpec('', steps)
    return commands.SubmitWorkflow('h', f'/{number}', spec, 1)


class _Workflows:
    """Part of the state in which the id of a workflow is its path."""

    def __init__(self):
        self.found = {}
        self.documents = types.SimpleNamespace(
            resolve_path=lambda host, path: (None, path)
        )

    @property
    def retained_workflows(self):
        return self.found.values()

    def find_workflow(self, workflow_id):
        return self.found.get(workflow_id)

    def find_public_state(self, workflow_id):
        return 'queued' if workflow_id in self.found else None


class LargeWorkflowsTest(unittest.TestCase):
    def setUp(self):
        self.part = _Workflows()
        self.large = _large_workflows.LargeWorkflows(self.part, 1000000)
        for number in (1, 2):
            command = _make_command(number)
            self.assertTrue(self.large.may_propose(command, 100))
            self.part.found[command.path] = types.SimpleNamespace(
                workflow_id=command.path, spec=command.spec
            )
            self.large.record_applied(command, 100)
            self.large.record_applied(command, 100)

    def test_a_further_one_is_refused_until_one_is_gone(self):
        self.assertFalse(self.large.may_propose(_make_command(3), 100))
        del self.part.found['/1']
        self.assertTrue(self.large.may_propose(_make_command(3), 100))

    def test_small_ones_and_copies_are_accepted(self):
        self.assertTrue(self.large.may_propose(_make_command(3, 10), 100))
        self.assertTrue(self.large.may_propose(_make_command(2), 100))

    def test_a_restored_state_is_weighed_again(self):
        large = _large_workflows.LargeWorkflows(self.part, 1000000)
        self.assertTrue(large.may_propose(_make_command(3), 100))
        large.rebuild()
        self.assertFalse(large.may_propose(_make_command(3), 100))


class KeptBytesTest(unittest.TestCase):
    def test_log_keeps_entries_within_their_size(self):
        entries = [
            messages.Entry(index, 1, 'command', b'x' * 10)
            for index in range(1, 11)
        ]
        log = _log.Log(0, 0, entries)
        self.assertEqual(7, log.find_kept_base(10, 1000, 35))
        self.assertEqual(6, log.find_kept_base(10, 4, 1000))
        self.assertEqual(0, log.find_kept_base(10, 1000, 1000))
        self.assertEqual(10, log.find_kept_base(10, 1000, 5))

    def test_link_queue_is_bounded_in_bytes(self):
        outbox = _link_exchange.Outbox(0.0)
        message = bytes(_link_exchange.MAX_FRAME_BYTES)
        for _ in range(100):
            outbox.put(message)
        queued_bytes = 0
        while outbox._queue:
            frame_messages = self._take(outbox)
            self.assertEqual(1, len(frame_messages))
            queued_bytes += len(frame_messages[0])
        self.assertEqual(_link_exchange.MAX_QUEUED_BYTES, queued_bytes)

    def _take(self, outbox):
        try:
            outbox.take_messages().send(None)
        except StopIteration as exc:
            return exc.value
        raise AssertionError('no message')
