"""Tests of single decisions of the routing core."""

import unittest

from fuchsiatrestle import messages
from fuchsiatrestle.net import http
from fuchsiatrestle import routing

SERVICE = {
    'path': '/quotes',
    'deadline_ms': 1000,
    'max_queue': 2,
    'idempotent_methods': ['GET'],
}
MEMBERS = {'e1': {'address': '127.0.0.1:7001'}}
FIRST = '127.0.0.1:9001'
SECOND = '127.0.0.1:9002'


class _Driver:
    """Drives one core and keeps the time.

    The core has a lease, and the upstreams have announced themselves.
    """

    def __init__(self, addresses=(FIRST,), slots=1):
        self.now = 0
        self.core = routing.Core('e1', 1, 0)
        self.slots = slots
        self.addresses = addresses
        self.seq = 0
        self.document = http.encode_json(
            {'services': {'quotes': SERVICE}, 'entries': MEMBERS}
        )
        while self.now < 8000:
            self.pass_time(100)

    def step(self, event):
        return self.core.step(event, self.now)

    def announce(self, address, state='ready', incarnation=1):
        self.seq += 1
        announcement = messages.Announcement(
            'quotes', address, incarnation, self.seq, state, self.slots, 8, 0
        )
        return self.step(routing.AnnouncementHeard(announcement))

    def pass_time(self, duration_ms, announced=None, leased=True):
        effects = []
        end_ms = self.now + duration_ms
        while self.now < end_ms:
            self.now += 100
            if leased:
                effects += self.step(
                    routing.ConfigurationGranted(
                        1, self.now + 2000, self.document
                    )
                )
            if self.now % 500 == 0:
                for address in (
                    self.addresses if announced is None else announced
                ):
                    effects += self.announce(address)
            effects += self.step(routing.TickPassed())
        return effects

    def arrive(self, number, **kwargs):
        kwargs.setdefault('idempotent', True)
        return self.step(routing.RequestArrived(number, 'quotes', **kwargs))

    def end(self, number, reason='', written=True, **kwargs):
        return self.step(
            routing.AttemptEnded(number, reason, written, **kwargs)
        )


def _refusals(effects):
    return {
        effect.request_id: effect.reason
        for effect in effects
        if isinstance(effect, routing.Refuse)
    }


def _dispatches(effects):
    return {
        effect.request_id: effect.address
        for effect in effects
        if isinstance(effect, routing.Dispatch)
    }


class AdmissionTest(unittest.TestCase):
    def test_refuses_without_lease_and_for_unknown_services(self):
        driver = _Driver()
        effects = driver.step(routing.RequestArrived(1, 'other', True))
        self.assertEqual({1: 'unknown_path'}, _refusals(effects))
        driver.pass_time(2500, leased=False)
        effects = driver.arrive(2)
        self.assertEqual({2: 'no_config_lease'}, _refusals(effects))

    def test_queues_by_priority_and_sheds_the_lowest(self):
        driver = _Driver()
        self.assertEqual({1: FIRST}, _dispatches(driver.arrive(1)))
        driver.arrive(2, priority=5)
        driver.arrive(3, priority=5)
        self.assertEqual(
            {4: 'queue_full'}, _refusals(driver.arrive(4, priority=5))
        )
        self.assertEqual({3: 'shed'}, _refusals(driver.arrive(5, priority=1)))
        effects = driver.end(1, reusable=True)
        self.assertEqual({5: FIRST}, _dispatches(effects))

    def test_refuses_a_request_that_would_wait_too_long(self):
        driver = _Driver()
        for number in range(1, 8):
            driver.arrive(number)
            driver.now += 300
            driver.end(number, reusable=True)
        driver.pass_time(100)
        driver.arrive(20)
        effects = driver.arrive(21, budget_ms=400)
        self.assertEqual({21: 'queue_wait'}, _refusals(effects))

    def test_refuses_a_request_that_expires_in_the_queue(self):
        driver = _Driver()
        driver.arrive(1)
        driver.arrive(2, budget_ms=200)
        effects = driver.pass_time(300)
        self.assertEqual({2: 'deadline_in_queue'}, _refusals(effects))


class RetryTest(unittest.TestCase):
    # Idempotent, reason, written, refused by the upstream; is it retried?
    CASES = (
        (True, 'connection_lost', True, False, True),
        (False, 'connection_lost', True, False, False),
        (False, 'connect_failed', False, False, True),
        (False, 'stale_connection', False, False, True),
        (False, 'upstream_refused', True, True, True),
        (True, 'deadline_exceeded', True, False, False),
    )

    def test_retries_only_what_may_run_again(self):
        for idempotent, reason, written, refused, is_retried in self.CASES:
            with self.subTest(reason=reason, idempotent=idempotent):
                driver = _Driver((FIRST, SECOND))
                driver.arrive(1, idempotent=idempotent)
                effects = driver.end(
                    1, reason, written=written, refused=refused
                )
                self.assertEqual(is_retried, 1 in _dispatches(effects))
                for effect in effects:
                    if isinstance(effect, routing.Refuse):
                        self.assertEqual(written, effect.written)

    def test_an_empty_budget_prevents_retries(self):
        driver = _Driver((FIRST, SECOND), slots=64)
        retries = 0
        for number in range(1, 60):
            if number not in _dispatches(driver.arrive(number)):
                continue
            effects = driver.end(number, 'bad_response')
            if number in _dispatches(effects):
                retries += 1
                driver.end(number, reusable=True)
        self.assertGreater(retries, 5)
        self.assertLess(retries, 20)


class UpstreamTest(unittest.TestCase):
    def test_a_leaving_or_silent_upstream_gets_no_requests(self):
        driver = _Driver()
        driver.announce(FIRST, 'leaving')
        self.assertEqual({1: 'no_upstream'}, _refusals(driver.arrive(1)))
        # The same process can't cancel its departure.
        driver.announce(FIRST, 'ready')
        self.assertEqual({2: 'no_upstream'}, _refusals(driver.arrive(2)))
        driver.announce(FIRST, 'ready', incarnation=2)
        self.assertEqual({3: FIRST}, _dispatches(driver.arrive(3)))
        silent = _Driver()
        silent.pass_time(3000, announced=())
        self.assertEqual({1: 'no_upstream'}, _refusals(silent.arrive(1)))

    def test_a_slow_upstream_is_excluded_and_then_probed(self):
        addresses = tuple(f'127.0.0.1:{9001 + n}' for n in range(4))
        driver = _Driver(addresses, slots=2)
        number = 0
        excluded = set()
        for _ in range(10):
            running = {}
            for _ in range(8):
                number += 1
                running.update(_dispatches(driver.arrive(number)))
            driver.now += 10
            slow = []
            while running:
                request_id, address = running.popitem()
                if address == FIRST:
                    slow.append(request_id)
                else:
                    running.update(
                        _dispatches(driver.end(request_id, reusable=True))
                    )
            driver.now += 190
            while slow:
                effects = driver.end(slow.pop(), reusable=True)
                slow.extend(_dispatches(effects))
            driver.pass_time(100)
            excluded.update(
                status.announcement.address
                for status in driver.core.upstream_statuses(driver.now)
                if status.state == 'shunned'
            )
        self.assertEqual({FIRST}, excluded)
        driver.pass_time(11000)
        probes = [driver.arrive(number + n) for n in range(1, 9)]
        sent = [_dispatches(effects).values() for effects in probes]
        self.assertEqual(1, sum(FIRST in addresses for addresses in sent))

    def test_a_silent_connection_closes_the_idle_ones(self):
        driver = _Driver(slots=2)
        driver.arrive(1)
        driver.arrive(2)
        driver.end(1, reusable=True)
        driver.now += 900
        effects = driver.end(2, 'upstream_silent', draining=True)
        closed = [
            e for e in effects if isinstance(e, routing.CloseConnections)
        ]
        self.assertEqual(1, len(closed))


class ClaimTest(unittest.TestCase):
    CASES = (
        ('held', 'claim_held', True),
        ('unknown', 'claim_unknown', True),
        ('mismatch', 'claim_mismatch', False),
        ('expired', 'claim_expired', True),
        ('overloaded', 'claim_unavailable', False),
        ('unavailable', 'claim_unavailable', False),
        ('done', 'claim_answer_lost', True),
    )

    def test_a_request_is_refused_without_a_granted_claim(self):
        for state, reason, may_have_run in self.CASES:
            with self.subTest(state):
                driver = _Driver()
                (ask,) = driver.arrive(1, idempotent=False, key='k')
                self.assertIsInstance(ask, routing.AskClaim)
                (effect,) = driver.step(routing.ClaimResolved(1, state))
                self.assertEqual(
                    (reason, may_have_run), (effect.reason, effect.written)
                )

    def test_the_end_of_a_granted_claim_is_recorded(self):
        for reason, state in (('', 'done'), ('connection_lost', 'unknown')):
            driver = _Driver()
            driver.arrive(1, idempotent=False, key='k')
            effects = driver.step(routing.ClaimResolved(1, 'granted'))
            self.assertEqual({1: FIRST}, _dispatches(effects))
            effects = driver.end(1, reason)
            finished = [
                e for e in effects if isinstance(e, routing.FinishClaim)
            ]
            self.assertEqual([state], [one.state for one in finished])


if __name__ == '__main__':
    unittest.main()
