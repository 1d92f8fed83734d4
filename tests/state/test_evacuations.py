"""Tests of the agreed orders to evacuate data centres.

They guard against orders that undo later ones, and against evacuations that
are lost with a process.
"""

import itertools
import unittest

from fuchsiatrestle import records
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import machine
from fuchsiatrestle.state import outcomes

START = commands.StartEvacuation('dc', 0)
END = commands.EndEvacuation('dc', 1)


class _OldMachineState(records.Record, tag='machine-1'):
    """Snapshot as an older build has written it."""

    applied: int
    parts: dict[str, bytes]


def _apply(state_machine, command):
    return state_machine.apply(state_machine.applied_index + 1, command)


class EvacuationTest(unittest.TestCase):
    def setUp(self):
        self.machine = machine.StateMachine()

    def _is_evacuated(self):
        return self.machine.evacuations.is_evacuated('dc')

    def test_repeated_and_late_orders_undo_nothing(self):
        """A start that was delayed must not undo the end that followed it."""
        for orders in itertools.product((START, END), repeat=6):
            with self.subTest(orders=orders):
                state_machine = machine.StateMachine()
                expected = []
                for order in orders:
                    outcome = _apply(state_machine, order)
                    if order is START and START not in expected:
                        expected.append(START)
                    elif order is END and expected == [START]:
                        expected.append(END)
                    self.assertEqual(
                        expected == [START],
                        state_machine.evacuations.is_evacuated('dc'),
                    )
                    self.assertFalse(outcome.superseded)
                    self.assertEqual(len(expected), outcome.order_count)

    def test_copy_that_was_read_after_its_order_is_not_refused(self):
        """Both copies of a start are sent before the end that follows."""
        _apply(self.machine, START)
        copy = commands.StartEvacuation('dc', 1)
        _apply(self.machine, END)
        outcome = _apply(self.machine, copy)
        self.assertFalse(outcome.superseded)
        self.assertFalse(self._is_evacuated())
        _apply(self.machine, commands.StartEvacuation('dc', 2))
        outcome = _apply(self.machine, commands.EndEvacuation('dc', 2))
        self.assertFalse(outcome.superseded)
        self.assertTrue(self._is_evacuated())

    def test_order_on_the_present_state_is_carried_out(self):
        for base in range(6):
            order = (START, END)[base % 2].__class__('dc', base)
            self.assertFalse(_apply(self.machine, order).repeated)
            self.assertEqual(base % 2 == 0, self._is_evacuated())
        self.assertFalse(self.machine.evacuations.is_evacuated('other'))

    def test_late_order_that_was_never_accepted_is_told(self):
        _apply(self.machine, commands.EndEvacuation('dc', 0))
        outcome = _apply(self.machine, START)
        self.assertEqual(
            outcomes.EvacuationOutcome('dc', False, 1, True, True), outcome
        )
        for base in range(1, 101):
            _apply(self.machine, commands.StartEvacuation('dc', base))
        # The kinds of the oldest orders are not kept.
        outcome = _apply(self.machine, commands.EndEvacuation('dc', 0))
        self.assertTrue(outcome.superseded)
        self.assertTrue(self._is_evacuated())

    def test_evacuation_outlasts_a_power_loss(self):
        """A replica restores the last snapshot and applies the log again."""
        snapshots = [self.machine.snapshot()]
        for command in (START, commands.StartEvacuation('other', 0), END):
            _apply(self.machine, command)
            snapshots.append(self.machine.snapshot())
        log = [START, commands.StartEvacuation('other', 0), END]
        for position, snapshot in enumerate(snapshots):
            with self.subTest(position=position):
                restored = machine.StateMachine()
                restored.restore(snapshot)
                for command in log[position:]:
                    _apply(restored, command)
                self.assertEqual(self.machine.snapshot(), restored.snapshot())
                self.assertEqual(
                    ['other'], restored.evacuations.list_evacuated_names()
                )

    def test_snapshot_of_the_previous_build_restores(self):
        codec = records.Codec(_OldMachineState)
        snapshot = codec.decode(self.machine.snapshot())
        del snapshot.parts['evacuations']
        restored = machine.StateMachine()
        restored.restore(codec.encode(snapshot))
        self.assertEqual([], restored.evacuations.list_evacuated_names())

    def test_data_centres_are_bounded(self):
        """Names that a faulty daemon proposes must not fill the state."""
        for number in range(1000):
            _apply(self.machine, commands.StartEvacuation(f'{number}', 0))
        self.assertIsInstance(_apply(self.machine, START), outcomes.Invalid)
        self.assertFalse(self._is_evacuated())


if __name__ == '__main__':
    unittest.main()
