"""Tests of denied workflows: cancelled or refused before they are submitted.

They guard against a workflow that runs although its cancel was acknowledged,
or although it was refused: an entry that stood still hands in an older copy.
"""

import itertools
import unittest
from unittest import mock

import msgspec

from fuchsiatrestle import records
from fuchsiatrestle.state import _denials
from fuchsiatrestle.state import _workflows
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import machine
from fuchsiatrestle.state import workflows
from tests.state import test_refusals

HOST = test_refusals.HOST
DOCUMENT = test_refusals.DOCUMENT
SPEC = test_refusals.SPEC
EMPTY_DOCUMENT = workflows.Document(1, [], [])
CANCELLED_MS = 1000
LONG_ID = 'n' * 10_000


def _submit(submitted_ms=10, name='a', prefix='/q/'):
    return commands.SubmitWorkflow(HOST, f'{prefix}{name}', SPEC, submitted_ms)


def _cancel(cancelled_ms=CANCELLED_MS, name='a'):
    return commands.CancelWorkflow(HOST, f'/q/{name}', cancelled_ms)


def _refuse(refused_ms, name='a'):
    return commands.RefuseWorkflow(
        HOST, f'/q/{name}', refused_ms, refused_ms, 1500
    )


class DenialTest(unittest.TestCase):
    def setUp(self):
        self.machine = machine.StateMachine()

    def _put_document(self, version=1):
        document = msgspec.structs.replace(DOCUMENT, version=version)
        self._apply(commands.PutDocument(document, b''))

    def _apply(self, command):
        outcome = self.machine.apply(self.machine.applied_index + 1, command)
        # A change of the leader, or a restart, at any place.
        snapshot = self.machine.snapshot()
        self.machine = machine.StateMachine()
        self.machine.restore(snapshot)
        return outcome

    def _find_state(self, name='a'):
        workflow = self.machine.workflows.find_workflow(name)
        return workflow.public_state if workflow else None


class CancelTest(DenialTest):
    def setUp(self):
        super().setUp()
        self._put_document()

    def test_copies_in_any_order(self):
        """Clocks of the entries differ, so the times tell nothing."""
        copies = (_submit(10), _cancel(), _submit(5000), _refuse(20))
        for order in itertools.permutations(copies):
            with self.subTest(order=order):
                self.machine = machine.StateMachine()
                self._put_document()
                for command in order:
                    self._apply(command)
                self.assertIn(self._find_state(), (None, 'cancelled'))
                self.assertFalse(self.machine.workflows.open_workflows)

    def test_outcomes(self):
        self.assertEqual('no_workflow', self._apply(_cancel()).reason)
        self.assertEqual('no_workflow', self._apply(_cancel(2000)).reason)
        outcome = self._apply(_submit())
        self.assertEqual(('', 'cancelled'), (outcome.state, outcome.reason))
        self.assertEqual(
            2000 + _denials.RETENTION_MS - 10, outcome.retry_after_ms
        )
        self.assertEqual('queued', self._apply(_submit(name='b')).state)

    def test_time_is_bounded(self):
        self._apply(_cancel())
        for age_ms, reason in ((-1, 'cancelled'), (0, '')):
            now_ms = CANCELLED_MS + _denials.RETENTION_MS + age_ms
            self._apply(commands.RecordProgress(1, now_ms))
            self.assertEqual(reason, self._apply(_submit()).reason)

    def test_number_is_bounded_and_dropped_cancels_hold(self):
        """A crowd of cancels must not let those of others be forgotten."""
        with mock.patch.object(_denials, 'MAX_ROWS', 3):
            for number in range(5):
                self._apply(_cancel(100 + number, f'n{number}'))
        self.assertEqual('cancelled', self._apply(_submit(101, 'n1')).reason)
        self.assertEqual('cancelled', self._apply(_submit(10, 'n4')).reason)
        # A new caller, or the same one, who comes again.
        self.assertEqual('queued', self._apply(_submit(102, 'n1')).state)
        self.assertEqual('queued', self._apply(_submit(102, 'new')).state)

    def test_time_of_an_idle_system(self):
        """The agreed time may be long ago when the cancel arrives."""
        cancelled_ms = CANCELLED_MS + 2 * _denials.RETENTION_MS
        self._apply(commands.RecordProgress(1, CANCELLED_MS))
        self._apply(_cancel(cancelled_ms))
        self._apply(commands.RecordProgress(2, cancelled_ms))
        self.assertEqual('cancelled', self._apply(_submit()).reason)

    def test_long_ids_take_no_memory(self):
        for make_command in (_cancel, _refuse):
            empty_bytes = len(self.machine.snapshot())
            for number in range(3):
                self._apply(make_command(100, f'{LONG_ID}{number}'))
            added_bytes = len(self.machine.snapshot()) - empty_bytes
            self.assertLess(added_bytes, 600)
        self.assertEqual(
            'cancelled', self._apply(_submit(1, f'{LONG_ID}1')).reason
        )
        self.assertEqual(
            'queued', self._apply(_submit(1, f'{LONG_ID}9')).state
        )

    def test_unknown_queue_and_missing_id(self):
        unknown_queue = commands.CancelWorkflow(HOST, '/other/a', 1)
        self.assertEqual('no_queue', self._apply(unknown_queue).reason)
        self.assertEqual('no_workflow', self._apply(_cancel(name='')).reason)

    def test_snapshot_of_a_build_without_cancels(self):
        self._apply(_submit())
        part = self.machine.workflows
        state = records.Codec(_workflows._PartState).decode(part.snapshot())
        fields = [getattr(state, name) for name in state.__struct_fields__[:8]]
        part.restore(
            records.Codec(_workflows._PartState).encode(
                _workflows._PartState(*fields)
            )
        )
        self.assertEqual('queued', self._find_state())


class NoDocumentTest(DenialTest):
    def test_refused_copy_does_not_run_once_there_is_a_document(self):
        """Its caller was told that it never runs (503)."""
        for refusal in (_submit(20), _refuse(20)):
            with self.subTest(refusal=refusal):
                self.machine = machine.StateMachine()
                self.assertEqual('no_document', self._apply(refusal).reason)
                self._put_document()
                self.assertEqual('overloaded', self._apply(_submit(20)).reason)
                self.assertIsNone(self._find_state())
                self.assertEqual('queued', self._apply(_submit(21)).state)

    def test_copy_refused_for_its_path_does_not_run_once_it_has_a_queue(self):
        """Its caller was told that there is no such queue (404)."""
        for refusal in (_submit(20), _refuse(20)):
            for name in ('a', 'a/b', LONG_ID):
                with self.subTest(refusal=type(refusal), name=name[:9]):
                    self._check_refused_path(refusal, name)

    def _check_refused_path(self, refusal, name):
        self.machine = machine.StateMachine()
        self._apply(commands.PutDocument(EMPTY_DOCUMENT, b''))
        refusal = msgspec.structs.replace(refusal, path=f'/q/{name}')
        self.assertEqual('no_queue', self._apply(refusal).reason)
        self._apply(commands.RecordProgress(1, 30))
        self._put_document(version=2)
        for copy_ms in (20, 10):
            outcome = self._apply(_submit(copy_ms, name))
            self.assertEqual('overloaded', outcome.reason)
        self.assertIsNone(self._find_state(name))
        self.assertEqual('queued', self._apply(_submit(21, name)).state)

    def test_copy_cancelled_by_its_path_does_not_run_once_it_has_a_queue(self):
        """Its caller was told that there is no such queue (404)."""
        self._apply(commands.PutDocument(EMPTY_DOCUMENT, b''))
        self.assertEqual('no_queue', self._apply(_cancel()).reason)
        self._put_document(version=2)
        for copy_ms in (10, CANCELLED_MS + 10):
            outcome = self._apply(_submit(copy_ms))
            self.assertEqual('cancelled', outcome.reason)

    def test_refused_path_denies_no_other_path(self):
        self._apply(commands.PutDocument(EMPTY_DOCUMENT, b''))
        self._apply(_submit(20, 'a'))
        self._apply(_cancel(name='c'))
        self._put_document(version=2)
        self.assertEqual('queued', self._apply(_submit(10, 'b')).state)

    def test_cancel_is_not_answered_as_of_an_unknown_queue(self):
        self.assertEqual('no_document', self._apply(_cancel()).reason)


class KeyTest(unittest.TestCase):
    def test_keys_of_digests_differ_from_all_ids(self):
        keys = {
            _denials.make_key(*texts)
            for texts in (('a',), ('a' * 64,), ('a' * 65,), ('a', 'b'))
        }
        self.assertEqual(4, len(keys))
        self.assertIn('a' * 64, keys)
        self.assertNotEqual(
            _denials.make_key('ab', 'c'), _denials.make_key('a', 'bc')
        )
        for key in keys - {'a', 'a' * 64}:
            self.assertGreater(len(key), _denials.MAX_KEY_CHARS)
            self.assertNotEqual(key, _denials.make_key(key))


if __name__ == '__main__':
    unittest.main()
