"""Tests of operators' orders to evacuate a data centre, without a network.

They guard against orders that wait in a paused process and then undo later
ones, against accepted orders that are refused when they are sent again, and
against unknown data centres that are not told from an absent leader.
"""

import logging
import unittest

import curio
from returns import result

from fuchsiatrestle.net import control_client
from fuchsiatrestle.net import evacuation_orders
from fuchsiatrestle import pauses
from fuchsiatrestle.state import machine


class _Leader(control_client.ControlClient):
    """Answers from one state machine.

    Attributes:
        machine: the state machine.
        unanswered_calls: names of the calls that get no answer.
        delay_ms: time that the next read takes.
        held_commands: commands that are under way, if it is not None.
    """

    def __init__(self, test):
        self.machine = machine.StateMachine()
        self.unanswered_calls = ()
        self.delay_ms = 0
        self.held_commands = None
        self._test = test

    def apply(self, command):
        return self.machine.apply(self.machine.applied_index + 1, command)

    async def query(self, query, timeout_ms):
        self._test.now_ms += self.delay_ms
        return self._answer('query', self.machine.query(query))

    async def propose(self, command, timeout_ms):
        if self.held_commands is not None:
            self.held_commands.append(command)
            return self._answer('propose', None)
        return self._answer('propose', self.apply(command))

    def _answer(self, call, answer):
        if call in self.unanswered_calls:
            return result.Failure(
                control_client.CallFailure(
                    'timeout', step=call, peer='c1', executed=None
                )
            )
        return result.Success(answer)


class EvacuationOrderTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.now_ms = 1000
        self.suspended_ms = 0
        self.leader = _Leader(self)
        self.orders = evacuation_orders.EvacuationOrders(
            self.leader,
            ('dc', 'empty'),
            pauses.PauseDetector(lambda: self.suspended_ms),
            lambda: self.now_ms,
            min_handling_s=0,
        )

    def _order(self, is_start, name='dc', received_ms=None):
        """Returns the reason of the refusal, empty if it was accepted."""
        order_result = curio.run(self._run_order, is_start, name, received_ms)
        if isinstance(order_result, result.Success):
            return ''
        return order_result.failure().reason

    async def _run_order(self, is_start, name, received_ms):
        return await self.orders.order(
            name, is_start=is_start, received_ms=received_ms or self.now_ms
        )

    @property
    def _is_evacuated(self):
        return self.leader.machine.evacuations.is_evacuated('dc')

    def test_orders_in_any_sequence_are_acknowledged(self):
        for is_start in (False, True, True, False, False, True):
            self.assertEqual('', self._order(is_start))
            self.assertEqual(is_start, self._is_evacuated)

    def test_unknown_data_centre_needs_no_leader(self):
        self.leader.unanswered_calls = ('query', 'propose')
        self.assertEqual('unknown_data_centre', self._order(True, 'other'))
        self.assertEqual('timeout', self._order(True))

    def test_data_centre_without_workers_is_accepted(self):
        self.assertEqual('', self._order(True, 'empty'))

    def test_lost_answer_and_another_daemon(self):
        self.leader.unanswered_calls = ('propose',)
        self.assertEqual('timeout', self._order(True))
        self.leader.unanswered_calls = ()
        self.assertEqual('', self._order(True))

    def test_order_delayed_on_a_link_undoes_no_later_one(self):
        """Also not one that found its wish fulfilled when it arrived."""
        for later_orders in ((True, False), (False,), (False, False)):
            with self.subTest(later_orders=later_orders):
                self.setUp()
                outcome = self._apply_late_start(later_orders)
                self.assertFalse(self._is_evacuated)
                self.assertEqual(True not in later_orders, outcome.superseded)

    def test_order_that_is_late_but_was_sent_again_is_acknowledged(self):
        self.assertFalse(self._apply_late_start((True,)).superseded)
        self.assertTrue(self._is_evacuated)

    def _apply_late_start(self, later_orders):
        """Returns the outcome of a start that is applied after later orders.

        Args:
            later_orders: list of True for each start and False for each end.
        """
        self.leader.held_commands = delayed_commands = []
        self.leader.unanswered_calls = ('propose',)
        self._order(True)
        self.leader.held_commands = None
        self.leader.unanswered_calls = ()
        for is_start in later_orders:
            self.assertEqual('', self._order(is_start))
        (delayed_command,) = delayed_commands
        return self.leader.apply(delayed_command)

    def test_order_from_before_a_stop_of_the_process_has_no_effect(self):
        """The socket of a stopped process holds it until it goes on."""
        received_ms = self.now_ms
        self.now_ms += 1000
        self.assertEqual('late', self._order(True, received_ms=received_ms))
        self.assertFalse(self._is_evacuated)

    def test_order_whose_read_was_slow_has_no_effect(self):
        """A later order may have been agreed since the read was asked for."""
        self.leader.delay_ms = 1000
        self.assertEqual('late', self._order(True))
        self.assertFalse(self._is_evacuated)

    def test_order_from_before_a_suspension_has_no_effect(self):
        """The monotonic clock omits the suspension, so the order looks new."""
        received_ms = self.now_ms
        self.now_ms += 1
        self.suspended_ms = 60_000
        self.assertEqual('late', self._order(True, received_ms=received_ms))
        self.assertFalse(self._is_evacuated)
        self.now_ms += 1
        self.assertEqual('', self._order(True))

    def test_order_after_a_noticed_suspension_is_carried_out(self):
        self.suspended_ms = 60_000
        self.orders.check_pause()
        self.now_ms += 1
        self.assertEqual('', self._order(True))


if __name__ == '__main__':
    unittest.main()
