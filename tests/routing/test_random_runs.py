"""Randomised runs of several routing cores under faults, by seed.

A longer run: ``python -m tests.routing.test_random_runs FIRST_SEED COUNT``.
"""

import sys
import unittest

from tests.fakes import routing_world

SEEDS = range(1, 13)
FAULTY_MS = 20000
QUIET_MS = 25000


class Driver:
    """Sends requests and injects faults at random times.

    Faults end after ``FAULTY_MS``; after ``QUIET_MS`` more, every request must
    have a result and every slot must be free.
    """

    def __init__(self, seed):
        self.world = world = routing_world.World(seed)
        self.rng = world.rng
        world.network.loss_share = 0.05
        world.network.duplicate_share = 0.05
        world.network.delay_ms = 20
        for upstream in world.upstreams.values():
            upstream.stops_on_close = self.rng.random() < 0.5
            upstream.service_ms = self._make_service_ms(upstream)
        self._faults = [
            self._kill_upstream,
            self._freeze_upstream,
            self._start_leaving,
            self._black_hole_connection,
            self._kill_entry,
            self._freeze_entry,
            self._cut_control,
            self._cut_peers,
            self._change_members,
            self._slow_upstream,
        ]

    def _make_service_ms(self, upstream):
        def draw_ms():
            # An upstream that continues a request after the connection was
            # closed still has to end the request within the deadline.
            drawn_ms = self.rng.expovariate(1 / 30)
            return drawn_ms if upstream.stops_on_close else min(drawn_ms, 400)

        return draw_ms

    def run(self):
        world = self.world
        world.after(1000, self._send_request)
        world.after(6000, self._inject_fault)
        world.run_until(FAULTY_MS)
        world.network.cut_links.clear()
        for entry in world.entries.values():
            entry.reaches_control = True
        world.run_until(FAULTY_MS + QUIET_MS)
        world.check_requests()
        world.check_idle()

    def _send_request(self):
        world = self.world
        if world.now > FAULTY_MS:
            return
        world.after(self.rng.expovariate(1 / 2.0), self._send_request)
        name = self.rng.choice(['e1', 'e1', 'e1', *world.entries])
        if not world.entries[name].alive:
            return
        idempotent = self.rng.random() < 0.6
        key = ''
        if not idempotent and self.rng.random() < 0.3:
            key = f'k{self.rng.randrange(200)}'
        request = world.ask(name, idempotent, key)
        if self.rng.random() < 0.05:
            entry = world.entries[name]
            entry.run_later(
                self.rng.uniform(0, 100), entry.disconnect_caller, request
            )

    # Faults

    def _inject_fault(self):
        if self.world.now > FAULTY_MS:
            return
        self.world.after(self.rng.expovariate(1 / 400), self._inject_fault)
        self.rng.choice(self._faults)()

    def _choose_upstream(self):
        return self.rng.choice(list(self.world.upstreams.values()))

    def _choose_entry(self):
        return self.rng.choice(list(self.world.entries.values()))

    def _kill_upstream(self):
        upstream = self._choose_upstream()
        if upstream.alive:
            upstream.kill()
            self.world.after(self.rng.uniform(10, 4000), upstream.restart)

    def _freeze_upstream(self):
        self._choose_upstream().freeze(self.rng.choice([50, 300, 2000, 6000]))

    def _start_leaving(self):
        upstream = self._choose_upstream()
        if upstream.alive:
            upstream.start_leaving()
            self.world.after(self.rng.uniform(3500, 6000), upstream.kill)
            self.world.after(self.rng.uniform(6000, 8000), upstream.restart)

    def _black_hole_connection(self):
        self._choose_upstream().black_hole_connection()

    def _slow_upstream(self):
        upstream = self._choose_upstream()
        if upstream.stops_on_close:
            upstream.service_ms = lambda: self.rng.expovariate(1 / 300)

    def _kill_entry(self):
        entry = self._choose_entry()
        if entry.alive:
            entry.kill()
            self.world.after(
                self.rng.uniform(10, 3000),
                self.world.start_entry,
                entry.name,
            )

    def _freeze_entry(self):
        self._choose_entry().freeze(
            self.rng.choice([20, 300, 1500, 2500, 5000]),
            backlog_ms=self.rng.choice([0, 300, 1500]),
        )

    def _cut_control(self):
        entry = self._choose_entry()
        entry.reaches_control = False
        self.world.after(
            self.rng.uniform(500, 5000), self._reconnect_control, entry
        )

    def _reconnect_control(self, entry):
        entry.reaches_control = True

    def _cut_peers(self):
        first, second = self.rng.sample(sorted(self.world.entries), 2)
        self.world.network.cut_links.add((first, second))
        self.world.after(
            self.rng.uniform(500, 4000),
            self.world.network.cut_links.discard,
            (first, second),
        )

    def _change_members(self):
        member_count = self.rng.randint(1, 3)
        self.world.set_members(
            self.rng.sample(['e1', 'e2', 'e3'], member_count)
        )


class RandomRunTest(unittest.TestCase):
    def test_invariants_hold_under_faults(self):
        answered_count = 0
        for seed in SEEDS:
            with self.subTest(seed=seed):
                driver = Driver(seed)
                driver.run()
                answered_count += len(driver.world.latencies)
        # The invariants hold trivially if hardly any request is answered.
        self.assertGreater(answered_count, 1000 * len(SEEDS))


def main(args):
    """Runs ``COUNT`` seeds from ``FIRST_SEED`` on; raises at a failure."""
    first_seed, seed_count = int(args[0]), int(args[1])
    for seed in range(first_seed, first_seed + seed_count):
        driver = Driver(seed)
        try:
            driver.run()
        except Exception:
            print(f'seed {seed} failed', flush=True)
            raise
    print(f'{seed_count} seeds from {first_seed} passed')


if __name__ == '__main__':
    main(sys.argv[1:])
