"""Shows that the randomised runs fail without each mechanism they prove.

Each mechanism is switched off by a patch; a random or directed run then has
to break the invariant that the mechanism upholds.
"""

import contextlib
import functools
import unittest
from unittest import mock

from fuchsiatrestle import errors
from fuchsiatrestle.routing import _announcements
from fuchsiatrestle.routing import _core
from fuchsiatrestle.routing import _lending
from fuchsiatrestle.routing import _loans
from fuchsiatrestle.routing import _shares
from fuchsiatrestle.routing import _steadiness
from fuchsiatrestle.routing import _upstreams
from tests.routing import test_random_runs
from tests.routing import test_scenarios

MAX_SEEDS = 40

SLOTS = 'world.slots_within_limit'
ONCE = 'world.runs_at_most_once'
HONEST = 'world.not_run_is_true'
LEAVING = 'world.leaving_gets_nothing'


def _no_settling():
    """A new owner uses a slot at once."""
    return mock.patch.object(
        _shares.ShareHistory, '_is_over', lambda self, epoch, upstream: True
    )


def _no_drain():
    """A slot is free as soon as its request is given up."""
    original = _upstreams.Upstream.end

    def end(self, connection_id, now_ms, *, reusable, draining):
        return original(
            self, connection_id, now_ms, reusable=reusable, draining=False
        )

    return mock.patch.object(_upstreams.Upstream, 'end', end)


def _no_loan_margin():
    """A lender uses a slot again as soon as the term is over."""
    return mock.patch.object(
        _loans.GivenLoan,
        'is_over',
        lambda self, now_ms: now_ms >= self.until_ms,
    )


def _term_from_receipt():
    """A borrower counts the term from when the loan reached it."""
    original = _lending.Lending.take

    def take(self, peer, lend, upstream, service, now_ms, effects):
        if lend.demand_seq in self._demands:
            self._demands[lend.demand_seq].sent_ms = now_ms
        return original(self, peer, lend, upstream, service, now_ms, effects)

    return mock.patch.object(_lending.Lending, 'take', take)


def _no_hold_when_unknown():
    """An upstream that has run before gets work as soon as it is heard."""
    return mock.patch.object(
        _upstreams.Upstream, 'unsettle', lambda self, now_ms: None
    )


def _gaps_ignored():
    """Announcements before and after a freeze count as one series."""
    return mock.patch.object(_steadiness, 'STEADY_GAP_MS', 1 << 30)


def _no_check_before_write():
    """A dispatched request is written whatever happened meanwhile."""
    return mock.patch.object(
        _core.Core, 'may_write', lambda self, request_id, now_ms: ''
    )


def _no_doubled_loan_check():
    """A loan that arrives twice counts twice."""

    class Forgetful(dict):
        def __contains__(self, key):
            return False

    original = _lending.Lending.__init__

    def init(self, entry, incarnation):
        original(self, entry, incarnation)
        self._seen = Forgetful()

    expire = _lending.Lending.expire

    def forget(self, now_ms):
        ended = expire(self, now_ms)
        self._seen = Forgetful()
        return ended

    stack = contextlib.ExitStack()
    stack.enter_context(mock.patch.object(_lending.Lending, '__init__', init))
    stack.enter_context(mock.patch.object(_lending.Lending, 'expire', forget))
    return stack


def _resend_anything():
    """A request that may have run is sent again whatever its method."""
    original = _core.Core._may_retry

    def may_retry(self, event, group, pending, now_ms):
        with mock.patch.object(pending, 'idempotent', True):
            return original(self, event, group, pending, now_ms)

    return mock.patch.object(_core.Core, '_may_retry', may_retry)


def _leaving_ignored():
    """Every upstream once heard gets work."""
    return mock.patch.object(
        _announcements.AnnouncementTable,
        'is_usable',
        lambda self, address, now_ms: address in self._heard,
    )


def _forget_written():
    """A refusal says not-run although an attempt was written."""
    original = _core.Core._refuse

    def refuse(self, pending, reason, now_ms, effects):
        pending.written = False
        original(self, pending, reason, now_ms, effects)

    return mock.patch.object(_core.Core, '_refuse', refuse)


MECHANISMS = {
    'settling of gained slots': (_no_settling, 2, SLOTS),
    'drain of abandoned requests': (_no_drain, 1, SLOTS),
    'margin of the lender': (_no_loan_margin, 29, SLOTS),
    'doubled loans dropped': (_no_doubled_loan_check, 3, SLOTS),
    'no resend of what may have run': (_resend_anything, 6, ONCE),
    'nothing for one that leaves': (_leaving_ignored, 1, LEAVING),
    'outcome of a written request': (_forget_written, 1, HONEST),
    'term counted from the demand': (
        _term_from_receipt,
        test_scenarios.run_late_loan,
        SLOTS,
    ),
    'hold for an upstream not known': (
        _no_hold_when_unknown,
        test_scenarios.run_forgotten_upstream,
        SLOTS,
    ),
    'gaps between announcements': (
        _gaps_ignored,
        test_scenarios.run_silent_upstream,
        SLOTS,
    ),
    'check right before the write': (
        _no_check_before_write,
        test_scenarios.run_frozen_before_write,
        SLOTS,
    ),
}


def _run_seed(seed):
    test_random_runs.Driver(seed).run()


def first_breach(patch, scenario):
    """Returns the name of the first broken invariant, None without one.

    Args:
        patch: returns a context in which the mechanism is off.
        scenario: a function, or the seed of a run that is likely to fail;
            other seeds are tried after it.
    """
    if callable(scenario):
        runs = [scenario]
    else:
        seeds = (scenario, *range(1, MAX_SEEDS + 1))
        runs = [functools.partial(_run_seed, seed) for seed in seeds]
    for run in runs:
        with patch():
            try:
                run()
            except errors.InvariantBreach as exc:
                return exc.step
    return None


class MechanismTest(unittest.TestCase):
    def test_runs_fail_without_each_mechanism(self):
        for name, (patch, scenario, invariant) in MECHANISMS.items():
            with self.subTest(name):
                self.assertEqual(invariant, first_breach(patch, scenario))
