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
FIRST_ADDRESS = '127.0.0.1:9001'
SECOND_ADDRESS = '127.0.0.1:9002'


class _Driver:
    """Drives one core and keeps the time.

    The core has a lease, and the upstreams have announced themselves.
    """

    def __init__(self, addresses=(FIRST_ADDRESS,), slots=1):
        self.now_ms = 0
        self.core = routing.Core('e1', 1, 0)
        self.slots = slots
        self.addresses = addresses
        self.seq = 0
        self.document = http.encode_json(
            {'services': {'quotes': SERVICE}, 'entries': MEMBERS}
        )
        while self.now_ms < 8000:
            self.pass_time(100)

    def step(self, event):
        return self.core.step(event, self.now_ms)

    def announce(self, address, state='ready', incarnation=1):
        self.seq += 1
        announcement = messages.Announcement(
            'quotes', address, incarnation, self.seq, state, self.slots, 8, 0
        )
        return self.step(routing.AnnouncementHeard(announcement, self.now_ms))

    def pass_time(
        self, duration_ms, announcing_addresses=None, has_lease=True
    ):
        effects = []
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += 100
            if has_lease:
                effects += self.step(
                    routing.ConfigurationGranted(
                        1, self.now_ms + 2000, self.document
                    )
                )
            if self.now_ms % 500 == 0:
                for address in (
                    self.addresses
                    if announcing_addresses is None
                    else announcing_addresses
                ):
                    effects += self.announce(address)
            effects += self.step(routing.TickPassed())
        return effects

    def send_request(self, number, **kwargs):
        kwargs.setdefault('idempotent', True)
        return self.step(routing.RequestArrived(number, 'quotes', **kwargs))

    def end_attempt(self, number, reason='', written=True, **kwargs):
        return self.step(
            routing.AttemptEnded(number, reason, written, **kwargs)
        )


def _refusal_reasons(effects):
    return {
        effect.request_id: effect.reason
        for effect in effects
        if isinstance(effect, routing.Refuse)
    }


def _dispatched_addresses(effects):
    return {
        effect.request_id: effect.address
        for effect in effects
        if isinstance(effect, routing.Dispatch)
    }


def _serve_requests(driver, numbers, latency_ms):
    """Sends a request each 100 ms and answers each after its latency.

    Returns:
        The number of answered requests.
    """
    dispatched_ms = {}
    answered_count = 0
    for number in numbers:
        effects = driver.send_request(number, idempotent=False)
        effects += driver.pass_time(100)
        for request_id in _dispatched_addresses(effects):
            dispatched_ms[request_id] = driver.now_ms
        for request_id, begun_ms in list(dispatched_ms.items()):
            if driver.now_ms - begun_ms >= latency_ms:
                del dispatched_ms[request_id]
                answered_count += 1
                effects = driver.end_attempt(request_id, reusable=True)
                for other_id in _dispatched_addresses(effects):
                    dispatched_ms[other_id] = driver.now_ms
    return answered_count


class AdmissionTest(unittest.TestCase):
    def test_refuses_without_lease_and_for_unknown_services(self):
        driver = _Driver()
        effects = driver.step(routing.RequestArrived(1, 'other', True))
        self.assertEqual({1: 'unknown_path'}, _refusal_reasons(effects))
        driver.pass_time(2500, has_lease=False)
        effects = driver.send_request(2)
        self.assertEqual({2: 'no_config_lease'}, _refusal_reasons(effects))

    def test_queues_by_priority_and_sheds_the_lowest(self):
        driver = _Driver()
        self.assertEqual(
            {1: FIRST_ADDRESS}, _dispatched_addresses(driver.send_request(1))
        )
        driver.send_request(2, priority=5)
        driver.send_request(3, priority=5)
        self.assertEqual(
            {4: 'queue_full'},
            _refusal_reasons(driver.send_request(4, priority=5)),
        )
        self.assertEqual(
            {3: 'shed'}, _refusal_reasons(driver.send_request(5, priority=1))
        )
        effects = driver.end_attempt(1, reusable=True)
        self.assertEqual({5: FIRST_ADDRESS}, _dispatched_addresses(effects))

    def test_refuses_a_request_that_would_wait_too_long(self):
        driver = _Driver()
        for number in range(1, 8):
            driver.send_request(number)
            driver.now_ms += 300
            driver.end_attempt(number, reusable=True)
        driver.pass_time(100)
        driver.send_request(20)
        effects = driver.send_request(21, budget_ms=400)
        self.assertEqual({21: 'queue_wait'}, _refusal_reasons(effects))

    def test_refuses_a_request_that_expires_in_the_queue(self):
        driver = _Driver()
        driver.send_request(1)
        driver.send_request(2, budget_ms=200)
        effects = driver.pass_time(300)
        self.assertEqual({2: 'deadline_in_queue'}, _refusal_reasons(effects))


class RetryTest(unittest.TestCase):
    # Each case: idempotent, reason of the failure, written, refused by the
    # upstream, and whether the request is retried.
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
                driver = _Driver((FIRST_ADDRESS, SECOND_ADDRESS))
                driver.send_request(1, idempotent=idempotent)
                effects = driver.end_attempt(
                    1, reason, written=written, refused=refused
                )
                self.assertEqual(
                    is_retried, 1 in _dispatched_addresses(effects)
                )
                for effect in effects:
                    if isinstance(effect, routing.Refuse):
                        self.assertEqual(written, effect.written)

    def test_an_empty_budget_prevents_retries(self):
        driver = _Driver((FIRST_ADDRESS, SECOND_ADDRESS), slots=64)
        retry_count = 0
        for number in range(1, 60):
            if number not in _dispatched_addresses(
                driver.send_request(number)
            ):
                continue
            effects = driver.end_attempt(number, 'bad_response')
            if number in _dispatched_addresses(effects):
                retry_count += 1
                driver.end_attempt(number, reusable=True)
        self.assertGreater(retry_count, 5)
        self.assertLess(retry_count, 20)


class UpstreamTest(unittest.TestCase):
    def test_a_leaving_or_silent_upstream_gets_no_requests(self):
        driver = _Driver()
        driver.announce(FIRST_ADDRESS, 'leaving')
        self.assertEqual(
            {1: 'no_upstream'}, _refusal_reasons(driver.send_request(1))
        )
        # A later announcement of the same process can't cancel ``leaving``.
        driver.announce(FIRST_ADDRESS, 'ready')
        self.assertEqual(
            {2: 'no_upstream'}, _refusal_reasons(driver.send_request(2))
        )
        driver.announce(FIRST_ADDRESS, 'ready', incarnation=2)
        self.assertEqual(
            {3: FIRST_ADDRESS}, _dispatched_addresses(driver.send_request(3))
        )
        silent_driver = _Driver()
        silent_driver.pass_time(3000, announcing_addresses=())
        self.assertEqual(
            {1: 'no_upstream'}, _refusal_reasons(silent_driver.send_request(1))
        )

    def _receive_batch(self, sent_ms, echoed_ms):
        """Returns the driver of a core that received a batch after 9 s."""
        driver = _Driver(addresses=())
        driver.pass_time(1000)
        announcement = messages.Announcement(
            'quotes', FIRST_ADDRESS, 1, 1, 'ready', 1, 8, 0
        )
        batch = messages.AnnouncementBatch(
            'e2', [announcement], sent_ms, echoed_ms
        )
        driver.step(routing.PeerSent('e2', batch))
        return driver

    def test_age_of_a_batch_is_counted_from_its_echo(self):
        # Each case: sent_ms and echoed_ms of the batch, and its largest age.
        cases = (
            (5, 9000, 0),
            (5, 7000, 2000),
            # Without an echo of this process, from the start of the process.
            (5, 0, 9000),
            (5, 9001, 9000),
            # A build without echoes.
            (0, 0, 0),
        )
        for sent_ms, echoed_ms, age_ms in cases:
            with self.subTest(sent_ms=sent_ms, echoed_ms=echoed_ms):
                driver = self._receive_batch(sent_ms, echoed_ms)
                (status,) = driver.core.upstream_statuses(driver.now_ms)
                self.assertEqual(age_ms, status.age_ms)

    def test_a_slow_upstream_is_excluded_and_then_probed(self):
        addresses = tuple(f'127.0.0.1:{9001 + n}' for n in range(4))
        driver = _Driver(addresses, slots=2)
        number = 0
        excluded_addresses = set()
        for _ in range(10):
            running_requests = {}
            for _ in range(8):
                number += 1
                running_requests.update(
                    _dispatched_addresses(driver.send_request(number))
                )
            driver.now_ms += 10
            slow_request_ids = []
            while running_requests:
                request_id, address = running_requests.popitem()
                if address == FIRST_ADDRESS:
                    slow_request_ids.append(request_id)
                else:
                    running_requests.update(
                        _dispatched_addresses(
                            driver.end_attempt(request_id, reusable=True)
                        )
                    )
            driver.now_ms += 190
            while slow_request_ids:
                effects = driver.end_attempt(
                    slow_request_ids.pop(), reusable=True
                )
                slow_request_ids.extend(_dispatched_addresses(effects))
            driver.pass_time(100)
            excluded_addresses.update(
                status.announcement.address
                for status in driver.core.upstream_statuses(driver.now_ms)
                if status.state == 'shunned'
            )
        self.assertEqual({FIRST_ADDRESS}, excluded_addresses)
        driver.pass_time(11000)
        probe_effects = [driver.send_request(number + n) for n in range(1, 9)]
        probed_addresses = [
            _dispatched_addresses(effects).values()
            for effects in probe_effects
        ]
        self.assertEqual(
            1,
            sum(FIRST_ADDRESS in addresses for addresses in probed_addresses),
        )

    def test_upstreams_that_all_answer_slowly_are_not_all_excluded(self):
        for upstream_count in (1, 2, 4):
            with self.subTest(upstream_count=upstream_count):
                driver = _Driver(
                    tuple(
                        f'127.0.0.1:{9001 + n}' for n in range(upstream_count)
                    ),
                    slots=8,
                )
                for number in range(3 * upstream_count):
                    driver.send_request(number, idempotent=False)
                for number in range(3 * upstream_count):
                    driver.end_attempt(number, 'connection_lost')
                statuses = driver.core.upstream_statuses(driver.now_ms)
                self.assertEqual({'shunned'}, {s.state for s in statuses})
                answered_count = _serve_requests(driver, range(100, 500), 100)
                self.assertGreaterEqual(answered_count, 390)

    def test_a_silent_connection_closes_the_idle_ones(self):
        driver = _Driver(slots=2)
        driver.send_request(1)
        driver.send_request(2)
        driver.end_attempt(1, reusable=True)
        driver.now_ms += 900
        effects = driver.end_attempt(2, 'upstream_silent', draining=True)
        close_effects = [
            e for e in effects if isinstance(e, routing.CloseConnections)
        ]
        self.assertEqual(1, len(close_effects))


class ClaimTest(unittest.TestCase):
    CASES = (
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
                (ask,) = driver.send_request(1, idempotent=False, key='k')
                self.assertIsInstance(ask, routing.AskClaim)
                (effect,) = driver.step(routing.ClaimResolved(1, state))
                self.assertEqual(
                    (reason, may_have_run), (effect.reason, effect.written)
                )

    def _resolve_as_held(self, driver):
        """Answers each ask with ``held``; returns the pauses and the rest."""
        pauses_ms = []
        while True:
            (effect,) = driver.step(routing.ClaimResolved(1, 'held'))
            if not isinstance(effect, routing.AskClaim):
                return pauses_ms, effect
            self.assertEqual(
                ('k', b'f'), (effect.key, effect.fingerprint), effect
            )
            pauses_ms.append(effect.delay_ms)
            driver.now_ms += effect.delay_ms

    def _send_keyed_request(self, driver, **fields):
        (ask,) = driver.send_request(
            1, idempotent=False, key='k', fingerprint=b'f', **fields
        )
        self.assertEqual(0, ask.delay_ms)

    def test_a_held_claim_is_asked_for_again_and_refused_in_the_end(self):
        driver = _Driver()
        self._send_keyed_request(driver)
        pauses_ms, effect = self._resolve_as_held(driver)
        self.assertEqual([10, 20, 40, 80, 160], pauses_ms)
        self.assertEqual(('claim_held', True), (effect.reason, effect.written))

    def test_a_held_claim_is_not_asked_for_beyond_the_deadline(self):
        driver = _Driver()
        self._send_keyed_request(driver, budget_ms=50)
        pauses_ms, effect = self._resolve_as_held(driver)
        self.assertEqual([10, 20], pauses_ms)
        self.assertEqual('claim_held', effect.reason)

    def test_a_held_claim_that_ends_meanwhile_gets_its_answer(self):
        driver = _Driver()
        self._send_keyed_request(driver)
        driver.step(routing.ClaimResolved(1, 'held'))
        (effect,) = driver.step(routing.ClaimResolved(1, 'done', 200, b'body'))
        self.assertIsInstance(effect, routing.ReplayAnswer)

    def test_a_held_claim_that_is_released_meanwhile_is_dispatched(self):
        driver = _Driver()
        self._send_keyed_request(driver)
        driver.step(routing.ClaimResolved(1, 'held'))
        effects = driver.step(routing.ClaimResolved(1, 'granted'))
        self.assertEqual({1: FIRST_ADDRESS}, _dispatched_addresses(effects))

    def test_the_end_of_a_granted_claim_is_recorded(self):
        for reason, state in (('', 'done'), ('connection_lost', 'unknown')):
            driver = _Driver()
            driver.send_request(1, idempotent=False, key='k')
            effects = driver.step(routing.ClaimResolved(1, 'granted'))
            self.assertEqual(
                {1: FIRST_ADDRESS}, _dispatched_addresses(effects)
            )
            effects = driver.end_attempt(1, reason)
            finish_effects = [
                e for e in effects if isinstance(e, routing.FinishClaim)
            ]
            self.assertEqual([state], [one.state for one in finish_effects])


if __name__ == '__main__':
    unittest.main()
