"""Tail latency by policy: the real cores in virtual time, one run.

``python -m benchmarks.routing_policies [--seeds N] [--seconds N] [word ...]``
prints a table for each load whose name contains one of the words.  The
policies that lost live on here as baselines only.
"""

import argparse
import contextlib
import random
from unittest import mock

from hdrh import histogram

from fuchsiatrestle.routing import _group
from fuchsiatrestle.routing import _lending
from fuchsiatrestle.routing import _policies
from tests.fakes import routing_world

ENTRIES = 8
UPSTREAMS = 24
SLOTS = 8
SERVICE_MS = 50.0
DEADLINE_MS = 5000
WARM_MS = 12000
SKEW = (3, 2, 1, 1, 1, 0.5, 0.5, 0.5)
EVEN = (1,) * ENTRIES


# Baselines


class Random(_policies.Policy):
    """Any upstream with a free slot."""

    def __init__(self):
        self._rng = random.Random(1)

    def choose(self, candidates):
        """Returns a random candidate."""
        return self._rng.choice(candidates)


class RoundRobin(_policies.Policy):
    """The upstreams in turn."""

    def __init__(self):
        self._turn = 0

    def choose(self, candidates):
        """Returns the next candidate."""
        self._turn += 1
        return candidates[self._turn % len(candidates)]


class LeastInFlight(_policies.Policy):
    """Fewest requests of this entry, then in turn."""

    def __init__(self):
        self._turn = 0

    def choose(self, candidates):
        """Returns a candidate with the fewest requests."""
        least = min(upstream.in_use for upstream in candidates)
        few = [up for up in candidates if up.in_use == least]
        self._turn += 1
        return few[self._turn % len(few)]


class TwoChoices(_policies.Policy):
    """The cheaper of two random upstreams."""

    def __init__(self):
        self._rng = random.Random(1)

    def choose(self, candidates):
        """Returns the one with the lower latency times load."""
        pair = [self._rng.choice(candidates) for _ in range(2)]
        return min(pair, key=_policies._cost)


class _Variant:
    """A policy with or without lending and outlier shunning."""

    def __init__(self, policy, *, lending=True, shunning=True):
        self.policy = policy
        self.lending = lending
        self.shunning = shunning

    def switched(self):
        """Returns a context in which the absent mechanisms are off."""
        stack = contextlib.ExitStack()
        if not self.lending:
            stack.enter_context(
                mock.patch.object(
                    _lending.Lending, 'demand', lambda *args: None
                )
            )
        if not self.shunning:
            stack.enter_context(
                mock.patch.object(
                    _group.ServiceGroup, 'shun_outliers', lambda *args: None
                )
            )
        return stack


VARIANTS = {
    'random': _Variant(Random, shunning=False),
    'round robin': _Variant(RoundRobin, shunning=False),
    'least in-flight': _Variant(LeastInFlight, shunning=False),
    'two choices': _Variant(TwoChoices, shunning=False),
    'least latency, no shunning': _Variant(
        _policies.LeastLatency, shunning=False
    ),
    'least latency, equal shares': _Variant(
        _policies.LeastLatency, lending=False
    ),
    'least latency, lending': _Variant(_policies.LeastLatency),
}


# Loads


class _Load:
    """Requests of callers over time, and one disturbance.

    Args:
        load: share of all slots that the load keeps busy.
        weights: relative load of the entries.
        disturb: called with the world at the start of the measured time.
        step: factor of the load in the second half of the measured time.
    """

    def __init__(self, load, weights=EVEN, disturb=None, step=1.0):
        self.load = load
        self.weights = weights
        self.disturb = disturb
        self.step = step

    def run(self, seed, policy, measured_ms):
        """Returns the world after the run."""
        world = routing_world.World(
            seed, ENTRIES, UPSTREAMS, DEADLINE_MS, policy
        )
        for upstream in world.upstreams.values():
            upstream.service_ms = lambda: world.rng.expovariate(1 / SERVICE_MS)
        world.run_until(WARM_MS - 2000)
        start_ms = WARM_MS
        end_ms = start_ms + measured_ms
        middle_ms = (start_ms + end_ms) / 2
        for name, weight in zip(world.entries, self.weights, strict=True):
            share = weight / sum(self.weights)
            rate = self.load * UPSTREAMS * SLOTS / SERVICE_MS * share
            world.after(0, self._arrive, world, name, rate, middle_ms, end_ms)
        world.run_until(start_ms)
        world.latencies.clear()
        world.measured_from = len(world.requests)
        if self.disturb:
            self.disturb(world)
        world.run_until(end_ms + DEADLINE_MS)
        return world

    def _arrive(self, world, name, rate, middle_ms, end_ms):
        if world.now >= end_ms:
            return
        world.ask(name)
        now_rate = rate * (self.step if world.now > middle_ms else 1.0)
        gap_ms = world.rng.expovariate(now_rate)
        world.after(gap_ms, self._arrive, world, name, rate, middle_ms, end_ms)


def _slow_one(world):
    slow = next(iter(world.upstreams.values()))
    slow.service_ms = lambda: world.rng.expovariate(1 / (10 * SERVICE_MS))


def _kill_one(world):
    world.after(500, next(iter(world.upstreams.values())).kill)


LOADS = {
    'even 0.60': _Load(0.6),
    'even 0.85': _Load(0.85),
    'uneven entries 0.60': _Load(0.6, SKEW),
    'one upstream 10x slow 0.60': _Load(0.6, disturb=_slow_one),
    'step 0.35 to 0.90': _Load(0.35, step=0.9 / 0.35),
    'upstream killed 0.70': _Load(0.7, disturb=_kill_one),
}


def _measure(load, variant, seeds, measured_ms):
    latency_us = histogram.HdrHistogram(1, 60000000, 3)
    asked = refused = 0
    with variant.switched():
        for seed in range(1, seeds + 1):
            world = load.run(seed, variant.policy, measured_ms)
            requests = world.requests[world.measured_from :]
            asked += len(requests)
            refused += sum(one.result != 'answered' for one in requests)
            for latency_ms in world.latencies:
                latency_us.record_value(max(1, int(1000 * latency_ms)))
    return latency_us, asked, refused


def _print_table(name, load, seeds, measured_ms):
    print(f'\n{name}:\n')
    print('| policy | p50 ms | p99 ms | p99.9 ms | not answered | asked |')
    print('|---|---|---|---|---|---|', flush=True)
    for label, variant in VARIANTS.items():
        latency_us, asked, refused = _measure(
            load, variant, seeds, measured_ms
        )
        values = ' | '.join(
            f'{latency_us.get_value_at_percentile(percent) / 1000:.0f}'
            for percent in (50, 99, 99.9)
        )
        share = 100 * refused / asked
        print(f'| {label} | {values} | {share:.2f} % | {asked} |', flush=True)


def main():
    """Prints the tables."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=8)
    parser.add_argument('words', nargs='*')
    args = parser.parse_args()
    print(
        f'{ENTRIES} entries, {UPSTREAMS} upstreams of {SLOTS} slots, '
        f'exponential service of {SERVICE_MS:.0f} ms'
    )
    for name, load in LOADS.items():
        if not args.words or any(word in name for word in args.words):
            _print_table(name, load, args.seeds, 1000 * args.seconds)


if __name__ == '__main__':
    main()
