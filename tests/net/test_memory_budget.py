"""Tests of the memory budget, without a network.

They guard against a budget that is exceeded, that refuses a request although
clients that stopped sending hold it, or that ends a request which is handled.
"""

import random
import unittest

from fuchsiatrestle.net import _memory_budget


class _Holder:
    """A connection that holds a reservation."""

    def __init__(self, budget):
        self.budget = budget
        self.is_revoked = False
        self.reservation = _memory_budget.Reservation(self._revoke)

    def _revoke(self):
        self.is_revoked = True

    def resize(self, byte_count, now_s):
        self.reservation.active_s = now_s
        return self.budget.resize(self.reservation, byte_count, now_s)


class MemoryBudgetTest(unittest.TestCase):
    def setUp(self):
        self.budget = _memory_budget.MemoryBudget(100)
        self.holders = [_Holder(self.budget) for _ in range(4)]

    def _list_revoked(self):
        return [holder.is_revoked for holder in self.holders]

    def test_a_released_reservation_makes_room(self):
        first, second, *_ = self.holders
        self.assertTrue(first.resize(100, 0.0))
        self.assertFalse(second.resize(1, 0.0))
        self.assertTrue(first.resize(0, 0.0))
        self.assertTrue(second.resize(100, 0.0))
        self.assertEqual(100, self.budget.used_bytes)

    def test_clients_that_stopped_are_refused_first_longest_first(self):
        for number, holder in enumerate(self.holders[:3]):
            self.assertTrue(holder.resize(30, number * 0.1))
        self.assertTrue(self.holders[3].resize(30, 5.0))
        self.assertEqual([True, False, False, False], self._list_revoked())

    def test_last_request_is_refused_while_all_send(self):
        for holder in self.holders[:3]:
            self.assertTrue(holder.resize(30, 0.0))
        self.assertFalse(self.holders[3].resize(30, 0.1))
        self.assertTrue(self.holders[0].resize(45, 0.2))
        self.assertEqual([False, False, True, False], self._list_revoked())
        self.assertEqual(75, self.budget.used_bytes)

    def test_requests_that_are_handled_stay(self):
        for holder in self.holders[:3]:
            self.assertTrue(holder.resize(30, 0.0))
            holder.reservation.phase = _memory_budget.HANDLING
        self.assertFalse(self.holders[3].resize(30, 99.0))
        self.assertFalse(self.holders[0].resize(50, 99.0))
        self.assertNotIn(True, self._list_revoked())
        self.assertEqual(30, self.holders[0].reservation.byte_count)

    def test_an_answer_is_cut_only_if_its_reader_stopped(self):
        early, late, *_ = self.holders
        self.assertTrue(early.resize(40, 0.0))
        self.assertTrue(late.resize(60, 0.0))
        late.reservation.phase = _memory_budget.SENDING
        self.assertFalse(early.resize(50, 0.5))
        self.assertTrue(early.resize(50, 2.0))
        self.assertTrue(late.is_revoked)

    def test_never_exceeded_in_random_runs(self):
        rng = random.Random(5)
        holders = [_Holder(self.budget) for _ in range(20)]
        for step in range(5000):
            holder = rng.choice(holders)
            phases = (_memory_budget.RECEIVING, _memory_budget.HANDLING)
            holder.reservation.phase = rng.choice(phases)
            holder.resize(rng.choice((0, 5, 20, 60)), step * 0.2)
            sizes = [each.reservation.byte_count for each in holders]
            self.assertEqual(sum(sizes), self.budget.used_bytes)
            self.assertLessEqual(self.budget.used_bytes, 100)
