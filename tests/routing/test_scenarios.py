"""Directed runs: one fault at the moment most likely to break an invariant."""

import unittest

from fuchsiatrestle import invariants
from tests.fakes import routing_world

ADDRESS = '127.0.0.1:9000'
# Time at which leases, announcements and shares have settled.
SETTLED_MS = 8000
SERVICE_TIME_MS = 400


def _make_world(entries, upstreams=1):
    world = routing_world.World(7, entries=entries, upstreams=upstreams)
    for upstream in world.upstreams.values():
        upstream.stops_on_close = False
        upstream.service_ms = lambda: SERVICE_TIME_MS
    world.run_until(SETTLED_MS)
    return world


def _send_requests(world, entry_names, until_ms, interval_ms=5):
    """Sends enough requests to keep every slot in use."""
    if world.now >= until_ms:
        return
    for name in entry_names:
        if world.entries[name].alive:
            world.ask(name, idempotent=False)
    world.after(
        interval_ms, _send_requests, world, entry_names, until_ms, interval_ms
    )


def run_silent_upstream():
    """Freezes an upstream until the entries abandoned their requests.

    The upstream runs the abandoned requests when it continues.  New requests
    must not be sent until the abandoned ones have ended.
    """
    for step_ms in range(0, 1000, 100):
        world = _make_world(entries=2)
        upstream = world.upstreams[ADDRESS]
        upstream.freeze(7000 + step_ms)
        _send_requests(world, ['e1', 'e2'], SETTLED_MS + 12000)
        world.run_until(SETTLED_MS + 14000)
        invariants.require(upstream.begun_count > 20, 'scenario.worked_again')
        world.check_requests()


def run_forgotten_upstream():
    """Freezes an upstream until the entries have forgotten it.

    When the upstream continues, its buffers hold old requests that no entry
    knows of.
    """
    for step_ms in range(0, 1000, 250):
        world = _make_world(entries=2)
        upstream = world.upstreams[ADDRESS]
        upstream.freeze(70000 + step_ms)
        _send_requests(world, ['e1', 'e2'], SETTLED_MS + 1000)
        world.run_until(SETTLED_MS + 69000)
        _send_requests(world, ['e1', 'e2'], SETTLED_MS + 76000)
        world.run_until(SETTLED_MS + 79000)
        invariants.require(upstream.begun_count > 20, 'scenario.worked_again')
        world.check_requests()


def run_frozen_before_write():
    """Freezes an entry between the dispatch and the first byte.

    The entry loses its lease and its slots to another entry meanwhile, and
    must not write the request when it continues.
    """
    world = _make_world(entries=2)
    request = world.ask('e1', idempotent=False)
    world.run_until(world.now + 0.1)
    world.entries['e1'].freeze(7000)
    world.set_members(['e2'])
    _send_requests(world, ['e2'], SETTLED_MS + 8000)
    world.run_until(SETTLED_MS + 9000)
    invariants.require(
        world.upstreams[ADDRESS].max_in_flight == 8, 'scenario.slots_taken'
    )
    invariants.require(
        request.begun_count == 0, 'scenario.nothing_written_without_lease'
    )
    world.check_requests()


def run_late_loan():
    """Delays loans so that they arrive after their term."""
    world = _make_world(entries=2)
    upstream = world.upstreams[ADDRESS]
    upstream.service_ms = lambda: 490
    world.network.loan_delay_ms['e2', 'e1'] = 3500
    _send_requests(world, ['e1'], SETTLED_MS + 9000)
    world.run_until(SETTLED_MS + 200)
    _send_requests(world, ['e2'], SETTLED_MS + 9000)
    world.run_until(SETTLED_MS + 12000)
    invariants.require(upstream.begun_count > 20, 'scenario.worked')
    world.check_requests()


def _run_leaving_beside_freeze(
    freeze_ms, leaving_offset_ms, announced_entries, backlog_ms
):
    """Freezes an entry while an upstream starts to leave.

    Args:
        freeze_ms: time for which ``e1`` is frozen.
        leaving_offset_ms: time from its freeze to the start of the leaving.
        announced_entries: names of the entries that hear of the upstreams.
        backlog_ms: time for which ``e1`` reads its backlog afterwards.
    """
    world = _make_world(entries=2, upstreams=2)
    for upstream in world.upstreams.values():
        upstream.service_ms = lambda: 10
        upstream.announced_entries = announced_entries
    freeze_start_ms = SETTLED_MS + 2000
    freeze_end_ms = freeze_start_ms + freeze_ms
    world.after(
        freeze_start_ms + leaving_offset_ms - world.now,
        world.upstreams[ADDRESS].start_leaving,
    )
    _send_requests(world, ['e1'], freeze_start_ms)
    world.run_until(freeze_start_ms)
    world.entries['e1'].freeze(freeze_ms, backlog_ms)
    world.run_until(freeze_end_ms)
    _send_requests(world, ['e1'], freeze_end_ms + backlog_ms + 5000)
    world.run_until(freeze_end_ms + backlog_ms + 8000)
    late_requests = [
        request
        for request in world.requests
        if request.sent_ms > freeze_end_ms + backlog_ms + 3000
    ]
    invariants.require(
        all(request.result == 'answered' for request in late_requests),
        'scenario.answered_again',
    )


def run_leaving_beside_freeze():
    """Freezes an entry for 0.2 s to 10 s, an upstream leaves near that."""
    for freeze_ms in (200, 500, 900, 2000, 5000, 10000):
        leaving_offsets_ms = (-500, 50, freeze_ms // 2, freeze_ms + 100)
        for leaving_offset_ms in leaving_offsets_ms:
            for announced_entries in (['e1'], ['e2'], None):
                for backlog_ms in (0, 2500):
                    _run_leaving_beside_freeze(
                        freeze_ms,
                        leaving_offset_ms,
                        announced_entries,
                        backlog_ms,
                    )


class ScenarioTest(unittest.TestCase):
    def test_announcement_from_before_a_freeze_is_not_new_after_it(self):
        run_leaving_beside_freeze()

    def test_a_silent_upstream_is_given_time_to_end_its_work(self):
        run_silent_upstream()

    def test_a_forgotten_upstream_is_given_time_to_end_its_work(self):
        run_forgotten_upstream()

    def test_nothing_is_written_after_the_lease_was_lost(self):
        run_frozen_before_write()

    def test_a_loan_that_comes_after_its_term_is_not_used(self):
        run_late_loan()


class LendingTest(unittest.TestCase):
    def _run_with_two_slots(self, interval_ms):
        """Returns the results at each of three entries, of 20 s of calls."""
        world = routing_world.World(7, entries=3, upstreams=1)
        world.upstreams[ADDRESS].slots = 2
        world.upstreams[ADDRESS].service_ms = lambda: 20
        world.run_until(SETTLED_MS)
        _send_requests(
            world, list(world.entries), SETTLED_MS + 20000, interval_ms
        )
        world.run_until(SETTLED_MS + 22000)
        return [
            [r.result for r in world.requests[first_number::3]]
            for first_number in range(3)
        ]

    def test_an_entry_that_owns_no_slot_is_lent_one_that_is_idle(self):
        for results in self._run_with_two_slots(1000):
            self.assertGreaterEqual(results.count('answered'), 10)

    # Guards against a lender that waits for its only slot to come back.
    def test_an_entry_that_owns_no_slot_keeps_none_that_it_does_not_use(self):
        for results in self._run_with_two_slots(100):
            self.assertGreaterEqual(results.count('answered'), 190)
