"""Randomised runs of configuration lease holders and granters.

For a longer run: ``python -m tests.membership.test_leases SEEDS EVENTS``.
"""

import sys
import unittest
from unittest import mock

from fuchsiatrestle import membership
from fuchsiatrestle.membership import _granter
from fuchsiatrestle.membership import _holder
from tests.membership import _world

SEED_COUNT = 40
EVENT_COUNT = 4000


def _run_seeds(seeds, event_count):
    """Runs a world for each seed.

    Returns:
        The numbers of all reports that a version is in force everywhere, and
        of all leases granted.
    """
    report_count = grant_count = 0
    for seed in seeds:
        world = _world.World(seed)
        world.run(event_count)
        report_count += world.report_count
        grant_count += world.grant_count
    return report_count, grant_count


def _handle_lease_from_receipt(holder, peer, lease, now_ms, effects):
    """Wrongly counts a lease from the arrival of its answer."""
    request = holder._pending_requests.get(lease.call_id)
    if request is not None:
        request.sent_ms = now_ms
    _HANDLE_LEASE(holder, peer, lease, now_ms, effects)


def _start_term_without_wait(granter, event, now_ms):
    """Wrongly lets a new leader grant before older leases have ended."""
    granter._term = event.term
    granter._lease_by_process.clear()
    return []


def _find_denial_reason_in_any_term(granter, message, lease, now_ms):
    """Wrongly accepts requests sent before this leader's term."""
    if granter._other_process_may_hold_lease(message, lease, now_ms):
        return 'other_process'
    return ''


_HANDLE_LEASE = _holder.ConfigLeaseHolder._handle_lease

# Without any one of these mechanisms, a run must violate a guarantee.
MECHANISMS = {
    'lease counted from sending': mock.patch.object(
        _holder.ConfigLeaseHolder, '_handle_lease', _handle_lease_from_receipt
    ),
    'new leader waits for older leases': mock.patch.object(
        _granter.ConfigLeaseGranter, '_start_term', _start_term_without_wait
    ),
    'one process of an entry at a time': mock.patch.object(
        _granter.ConfigLeaseGranter,
        '_other_process_may_hold_lease',
        lambda *args: False,
    ),
    'margin for drifting clocks': mock.patch.object(
        _granter, 'DRIFT_MARGIN_MS', 0
    ),
}


class LeaseTest(unittest.TestCase):
    """Guards the guarantees of ``membership`` and the need for each mechanism.

    A guarantee could break if messages are lost or late, a process freezes,
    clocks drift, or two leaders act at once.
    """

    def test_guarantees_hold(self):
        report_count, grant_count = _run_seeds(range(SEED_COUNT), EVENT_COUNT)
        self.assertGreater(report_count, 20 * SEED_COUNT)
        self.assertGreater(grant_count, 50 * SEED_COUNT)

    def test_each_mechanism_is_needed(self):
        for name, patch in MECHANISMS.items():
            with self.subTest(name), patch:
                with self.assertRaises(_world.Violation):
                    _run_seeds(range(1000, 1200), EVENT_COUNT)

    def test_request_from_before_the_election_grants_nothing(self):
        self.assertFalse(_grant_late_request())
        with mock.patch.object(
            _granter.ConfigLeaseGranter,
            '_find_denial_reason',
            _find_denial_reason_in_any_term,
        ):
            self.assertTrue(_grant_late_request())


def _grant_late_request():
    """Lets a renewal of an old process reach a leader elected after it.

    The old process states in it that it holds a lease, which was true when
    it was sent.  Meanwhile that lease has ended and a new process of the
    entry has been granted one.

    Returns:
        True if both processes hold a lease at the end.
    """
    old_holder = membership.ConfigLeaseHolder(
        'e1', 1, 'a:1', ['c1', 'c2', 'c3']
    )
    new_holder = membership.ConfigLeaseHolder(
        'e1', 2, 'a:1', ['c1', 'c2', 'c3']
    )
    _renew_lease(old_holder, _make_granter(1, -9000), 0)
    second_granter = _make_granter(2, 1)
    late_sends = old_holder.step(membership.Tick(), 1900)
    _renew_lease(new_holder, second_granter, 2060)
    third_granter = _make_granter(3, 2070)
    _deliver_sends(old_holder, third_granter, late_sends, 2080)
    return old_holder.is_held(2100) and new_holder.is_held(2100)


def _make_granter(term, now_ms):
    """Returns the granter of a leader elected at ``now_ms``."""
    granter = membership.ConfigLeaseGranter()
    version_agreed = membership.VersionAgreed(1, b'{}', {'e1': 'a:1'}, b'')
    granter.step(version_agreed, now_ms)
    granter.step(membership.LeaderReady(term), now_ms)
    return granter


def _renew_lease(holder, granter, now_ms):
    """Lets a holder learn the term and renew its lease."""
    _deliver_sends(
        holder, granter, holder.step(membership.Tick(), now_ms), now_ms
    )


def _deliver_sends(holder, granter, sends, now_ms):
    """Delivers messages and their answers until none is left."""
    while sends:
        send = sends.pop(0)
        if not isinstance(send, membership.SendToPeer):
            continue
        event = membership.MessageReceived('e1', send.message)
        for answer in granter.step(event, now_ms):
            event = membership.MessageReceived('c1', answer.message)
            sends += holder.step(event, now_ms)


if __name__ == '__main__':
    seed_count, event_count = map(int, sys.argv[1:])
    print('reports, grants:', _run_seeds(range(seed_count), event_count))
