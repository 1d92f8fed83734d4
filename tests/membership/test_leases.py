"""Randomised runs of lease holders against lease granters.

A long run: ``python -m tests.membership.test_leases SEEDS STEPS``.
"""

import sys
import unittest
from unittest import mock

from fuchsiatrestle import membership
from fuchsiatrestle.membership import _granter
from fuchsiatrestle.membership import _holder
from tests.membership import _world

SEEDS = 40
STEPS = 4000


def _run(seeds, steps):
    """Runs the seeds; returns the number of claims and grants."""
    claims = granted = 0
    for seed in seeds:
        world = _world.World(seed)
        world.run(steps)
        claims += world.claims
        granted += world.granted
    return claims, granted


def _grant_from_receipt(holder, peer, lease, now_ms, effects):
    sent = holder._sent.get(lease.call_id)
    if sent is not None:
        sent.sent_ms = now_ms
    _TAKE_LEASE(holder, peer, lease, now_ms, effects)


def _no_wait_after_election(granter, event, now_ms):
    granter._term = event.term
    granter._leases.clear()
    return []


def _any_term(granter, message, known, now_ms):
    if granter._other_may_hold(message, known, now_ms):
        return 'other_process'
    return ''


_TAKE_LEASE = _holder.ConfigLeaseHolder._take_lease

# Each promise has to break when the mechanism behind it is taken away.
MECHANISMS = {
    'lease counted from sending': mock.patch.object(
        _holder.ConfigLeaseHolder, '_take_lease', _grant_from_receipt
    ),
    'new leader waits for older leases': mock.patch.object(
        _granter.ConfigLeaseGranter, '_start_term', _no_wait_after_election
    ),
    'one process of an entry at a time': mock.patch.object(
        _granter.ConfigLeaseGranter, '_other_may_hold', lambda *args: False
    ),
    'margin for drifting clocks': mock.patch.object(
        _granter, 'DRIFT_MARGIN_MS', 0
    ),
}


class LeaseTest(unittest.TestCase):
    def test_promises_hold(self):
        claims, granted = _run(range(SEEDS), STEPS)
        self.assertGreater(claims, 20 * SEEDS)
        self.assertGreater(granted, 50 * SEEDS)

    def test_each_mechanism_is_needed(self):
        for name, patch in MECHANISMS.items():
            with self.subTest(name), patch:
                with self.assertRaises(_world.Violation):
                    _run(range(1000, 1200), STEPS)

    def test_request_from_before_the_election_grants_nothing(self):
        self.assertFalse(_grant_late_request())
        with mock.patch.object(
            _granter.ConfigLeaseGranter, '_denial', _any_term
        ):
            self.assertTrue(_grant_late_request())


def _grant_late_request():
    """A request of an old process reaches a leader elected after it.

    Returns:
        True if the old process holds a lease beside the new one.
    """
    old = membership.ConfigLeaseHolder('e1', 1, 'a:1', ['c1', 'c2', 'c3'])
    new = membership.ConfigLeaseHolder('e1', 2, 'a:1', ['c1', 'c2', 'c3'])
    _exchange(old, _elect(1, -9000), 0)
    second = _elect(2, 1)
    late = old.step(membership.Tick(), 1900)
    _exchange(new, second, 2060)
    third = _elect(3, 2070)
    _deliver(old, third, late, 2080)
    return old.is_held(2100) and new.is_held(2100)


def _elect(term, now_ms):
    granter = membership.ConfigLeaseGranter()
    agreed = membership.VersionAgreed(1, b'{}', {'e1': 'a:1'}, b'')
    granter.step(agreed, now_ms)
    granter.step(membership.LeaderReady(term), now_ms)
    return granter


def _exchange(holder, granter, now_ms):
    """Lets a holder learn the term and renew."""
    _deliver(holder, granter, holder.step(membership.Tick(), now_ms), now_ms)


def _deliver(holder, granter, sends, now_ms):
    while sends:
        send = sends.pop(0)
        if not isinstance(send, membership.Send):
            continue
        event = membership.Received('e1', send.message)
        for answer in granter.step(event, now_ms):
            event = membership.Received('c1', answer.message)
            sends += holder.step(event, now_ms)


if __name__ == '__main__':
    seeds, steps = map(int, sys.argv[1:])
    print('claims, grants:', _run(range(seeds), steps))
