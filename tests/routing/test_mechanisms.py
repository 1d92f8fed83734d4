"""Tests that the runs of routing cores notice a missing safety mechanism.

A patch disables one mechanism at a time.  A random or directed run must then
break the invariant that the mechanism maintains; if none does, the runs don't
test that mechanism.
"""

import contextlib
import functools
import unittest
from unittest import mock

from fuchsiatrestle import errors
from fuchsiatrestle.routing import _announcements
from fuchsiatrestle.routing import _continuity
from fuchsiatrestle.routing import _core
from fuchsiatrestle.routing import _lending
from fuchsiatrestle.routing import _loans
from fuchsiatrestle.routing import _shares
from fuchsiatrestle.routing import _upstreams
from tests.routing import test_random_runs
from tests.routing import test_scenarios

MAX_SEEDS = 40

SLOTS_WITHIN_LIMIT = 'world.slots_within_limit'
RUNS_AT_MOST_ONCE = 'world.runs_at_most_once'
NOT_RUN_IS_TRUE = 'world.not_run_is_true'
LEAVING_GETS_NOTHING = 'world.leaving_gets_nothing'


def _use_gained_slots_at_once():
    """Lets a new owner use a slot before older requests have ended."""
    return mock.patch.object(
        _shares.MembershipHistory,
        '_have_requests_ended',
        lambda self, epoch, upstream: True,
    )


def _skip_drain():
    """Frees a slot as soon as its request is abandoned."""
    original = _upstreams.Upstream.end_request

    def end_request(self, connection_id, now_ms, *, reusable, draining):
        return original(
            self, connection_id, now_ms, reusable=reusable, draining=False
        )

    return mock.patch.object(_upstreams.Upstream, 'end_request', end_request)


def _end_loans_with_term():
    """Lets a lender use a slot again as soon as the term is over."""
    return mock.patch.object(
        _loans.LentSlots,
        'has_ended',
        lambda self, now_ms: now_ms >= self.term_end_ms,
    )


def _count_term_from_receipt():
    """Lets a borrower count the term from the receipt of the loan."""
    original = _lending.Lending.accept_loan

    def accept_loan(self, peer, message, upstream, service, now_ms, effects):
        if message.demand_seq in self._open_demands:
            self._open_demands[message.demand_seq].sent_ms = now_ms
        return original(
            self, peer, message, upstream, service, now_ms, effects
        )

    return mock.patch.object(_lending.Lending, 'accept_loan', accept_loan)


def _skip_suspension():
    """Sends requests to a running upstream as soon as it is first heard."""
    return mock.patch.object(
        _upstreams.Upstream, 'suspend', lambda self, now_ms: None
    )


def _ignore_gaps():
    """Treats announcements before and after a freeze as without a gap."""
    return mock.patch.object(_continuity, 'MAX_GAP_MS', 1 << 30)


def _skip_check_before_write():
    """Writes a dispatched request without the check right before it."""
    return mock.patch.object(
        _core.Core, 'write_refusal_reason', lambda self, request_id, now_ms: ''
    )


def _accept_duplicate_loans():
    """Counts the slots of a duplicated loan message twice."""

    class ForgetfulDict(dict):
        def __contains__(self, key):
            return False

    original = _lending.Lending.__init__

    def init(self, entry, incarnation):
        original(self, entry, incarnation)
        self._term_end_ms_by_received_loan = ForgetfulDict()

    original_expire = _lending.Lending.expire_loans

    def expire_loans(self, now_ms):
        result = original_expire(self, now_ms)
        self._term_end_ms_by_received_loan = ForgetfulDict()
        return result

    stack = contextlib.ExitStack()
    stack.enter_context(mock.patch.object(_lending.Lending, '__init__', init))
    stack.enter_context(
        mock.patch.object(_lending.Lending, 'expire_loans', expire_loans)
    )
    return stack


def _retry_anything():
    """Retries a request that may have run even if not idempotent."""
    original = _core.Core._may_retry

    def may_retry(self, event, group, request, now_ms):
        with mock.patch.object(request, 'idempotent', True):
            return original(self, event, group, request, now_ms)

    return mock.patch.object(_core.Core, '_may_retry', may_retry)


def _ignore_leaving():
    """Sends requests to every upstream that was ever heard."""
    return mock.patch.object(
        _announcements.AnnouncementTable,
        'is_usable',
        lambda self, address, now_ms: address in self._newest_by_address,
    )


def _count_age_from_reading():
    """Counts the age of an announcement from the time when it is read."""
    original = _core.Core._process_announcement

    def process_announcement(
        self, announcement, received_ms, now_ms, effects, **kwargs
    ):
        original(
            self,
            announcement,
            now_ms - announcement.age_ms,
            now_ms,
            effects,
            **kwargs,
        )

    return mock.patch.object(
        _core.Core, '_process_announcement', process_announcement
    )


def _forget_written_attempts():
    """Refuses a request as not run although an attempt was written."""
    original = _core.Core._refuse

    def refuse(self, request, reason, now_ms, effects):
        request.may_have_run = False
        original(self, request, reason, now_ms, effects)

    return mock.patch.object(_core.Core, '_refuse', refuse)


MECHANISMS = {
    'wait before the use of gained slots': (
        _use_gained_slots_at_once,
        2,
        SLOTS_WITHIN_LIMIT,
    ),
    'drain of abandoned requests': (_skip_drain, 1, SLOTS_WITHIN_LIMIT),
    'wait of the lender after the term': (
        _end_loans_with_term,
        29,
        SLOTS_WITHIN_LIMIT,
    ),
    'duplicate loans dropped': (
        _accept_duplicate_loans,
        3,
        SLOTS_WITHIN_LIMIT,
    ),
    'no retry of what may have run': (_retry_anything, 6, RUNS_AT_MOST_ONCE),
    'no requests to a leaving upstream': (
        _ignore_leaving,
        1,
        LEAVING_GETS_NOTHING,
    ),
    'age of an announcement that waited for its reader': (
        _count_age_from_reading,
        test_scenarios.run_leaving_beside_freeze,
        LEAVING_GETS_NOTHING,
    ),
    'outcome of a written request': (
        _forget_written_attempts,
        1,
        NOT_RUN_IS_TRUE,
    ),
    'term counted from the demand': (
        _count_term_from_receipt,
        test_scenarios.run_late_loan,
        SLOTS_WITHIN_LIMIT,
    ),
    'suspension of a newly heard upstream': (
        _skip_suspension,
        test_scenarios.run_forgotten_upstream,
        SLOTS_WITHIN_LIMIT,
    ),
    'gaps between announcements': (
        _ignore_gaps,
        test_scenarios.run_silent_upstream,
        SLOTS_WITHIN_LIMIT,
    ),
    'check right before the write': (
        _skip_check_before_write,
        test_scenarios.run_frozen_before_write,
        SLOTS_WITHIN_LIMIT,
    ),
}


def _run_seed(seed):
    test_random_runs.Driver(seed).run()


def find_broken_invariant(patch, scenario):
    """Runs without a mechanism until an invariant breaks.

    Args:
        patch: function that returns a context in which the mechanism is
            disabled.
        scenario: function to run, or the seed of a random run that is likely
            to fail; the seeds up to ``MAX_SEEDS`` are tried after it.

    Returns:
        The name of the broken invariant, None if none broke.
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
                self.assertEqual(
                    invariant, find_broken_invariant(patch, scenario)
                )
