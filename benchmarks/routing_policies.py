"""Tail latency of routing policies, with the real cores in virtual time.

``python -m benchmarks.routing_policies [--seeds N] [--seconds N] [word ...]``
prints a table for each load whose name contains one of the words.  The
policies that were not chosen for routing are kept here as baselines.
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

ENTRY_COUNT = 8
UPSTREAM_COUNT = 24
SLOTS_PER_UPSTREAM = 8
SERVICE_MS = 50.0
DEADLINE_MS = 5000
WARM_UP_MS = 12000
SKEWED_WEIGHTS = (3, 2, 1, 1, 1, 0.5, 0.5, 0.5)
EVEN_WEIGHTS = (1,) * ENTRY_COUNT


# Baselines


class Random(_policies.Policy):
    """Picks any upstream with a free slot at random."""

    def __init__(self):
        self._rng = random.Random(1)

    def choose(self, candidates):
        """Returns a random candidate."""
        return self._rng.choice(candidates)


class RoundRobin(_policies.Policy):
    """Picks the upstreams in turn."""

    def __init__(self):
        self._choice_count = 0

    def choose(self, candidates):
        """Returns the next candidate."""
        self._choice_count += 1
        return candidates[self._choice_count % len(candidates)]


class LeastInFlight(_policies.Policy):
    """Picks an upstream with the fewest requests of this entry, in turn."""

    def __init__(self):
        self._choice_count = 0

    def choose(self, candidates):
        """Returns the next candidate among those with the fewest requests."""
        min_used_slots = min(upstream.used_slots for upstream in candidates)
        least_used = [
            up for up in candidates if up.used_slots == min_used_slots
        ]
        self._choice_count += 1
        return least_used[self._choice_count % len(least_used)]


class TwoChoices(_policies.Policy):
    """Picks the better of two random upstreams (power of two choices).

    The better one has the lower product of mean latency and load.
    """

    def __init__(self):
        self._rng = random.Random(1)

    def choose(self, candidates):
        """Returns the better of two random candidates."""
        pair = [self._rng.choice(candidates) for _ in range(2)]
        return min(pair, key=_policies._expected_latency_ms)


class _Variant:
    """A policy with or without lending and outlier exclusion.

    Args:
        policy_class: class of the policy.
        uses_lending: True if entries may borrow slots from each other.
        uses_exclusion: True if upstreams far slower than the median are
            excluded; the names of the variants call this shunning.
    """

    def __init__(
        self, policy_class, *, uses_lending=True, uses_exclusion=True
    ):
        self.policy_class = policy_class
        self.uses_lending = uses_lending
        self.uses_exclusion = uses_exclusion

    def disable_absent_mechanisms(self):
        """Returns a context in which mechanisms not in the variant are off."""
        patches = contextlib.ExitStack()
        if not self.uses_lending:
            patches.enter_context(
                mock.patch.object(
                    _lending.Lending, 'demand_slots', lambda *args: None
                )
            )
        if not self.uses_exclusion:
            patches.enter_context(
                mock.patch.object(
                    _group.ServiceGroup, 'exclude_outliers', lambda *args: None
                )
            )
        return patches


VARIANTS = {
    'random': _Variant(Random, uses_exclusion=False),
    'round robin': _Variant(RoundRobin, uses_exclusion=False),
    'least in-flight': _Variant(LeastInFlight, uses_exclusion=False),
    'two choices': _Variant(TwoChoices, uses_exclusion=False),
    'least latency, no shunning': _Variant(
        _policies.LeastLatency, uses_exclusion=False
    ),
    'least latency, equal shares': _Variant(
        _policies.LeastLatency, uses_lending=False
    ),
    'least latency, lending': _Variant(_policies.LeastLatency),
}


# Loads


class _Load:
    """Poisson arrivals at the entries, with at most one disturbance.

    Args:
        busy_share: mean share of all slots that the requests keep busy.
        weights: relative load of the entries.
        inject_disturbance: called with the world when the measured time
            starts, to slow down or kill an upstream; None for no disturbance.
        second_half_factor: factor on the load in the second half of the
            measured time.
    """

    def __init__(
        self,
        busy_share,
        weights=EVEN_WEIGHTS,
        inject_disturbance=None,
        second_half_factor=1.0,
    ):
        self.busy_share = busy_share
        self.weights = weights
        self.inject_disturbance = inject_disturbance
        self.second_half_factor = second_half_factor

    def run(self, seed, policy_class, measured_ms):
        """Returns the world after a warm-up and the measured time.

        Args:
            seed: seed of the world.
            policy_class: class of the policy.
            measured_ms: duration of the measured time, in milliseconds.
        """
        world = routing_world.World(
            seed, ENTRY_COUNT, UPSTREAM_COUNT, DEADLINE_MS, policy_class
        )
        for upstream in world.upstreams.values():
            upstream.service_ms = lambda: world.rng.expovariate(1 / SERVICE_MS)
        # The requests start 2 s before they are measured.
        world.run_until(WARM_UP_MS - 2000)
        start_ms = WARM_UP_MS
        end_ms = start_ms + measured_ms
        middle_ms = (start_ms + end_ms) / 2
        for name, weight in zip(world.entries, self.weights, strict=True):
            entry_share = weight / sum(self.weights)
            requests_per_ms = (
                self.busy_share
                * UPSTREAM_COUNT
                * SLOTS_PER_UPSTREAM
                / SERVICE_MS
                * entry_share
            )
            world.after(
                0,
                self._send_request,
                world,
                name,
                requests_per_ms,
                middle_ms,
                end_ms,
            )
        world.run_until(start_ms)
        world.latencies.clear()
        world.first_measured_index = len(world.requests)
        if self.inject_disturbance:
            self.inject_disturbance(world)
        world.run_until(end_ms + DEADLINE_MS)
        return world

    def _send_request(self, world, name, requests_per_ms, middle_ms, end_ms):
        if world.now >= end_ms:
            return
        world.ask(name)
        current_requests_per_ms = requests_per_ms * (
            self.second_half_factor if world.now > middle_ms else 1.0
        )
        gap_ms = world.rng.expovariate(current_requests_per_ms)
        world.after(
            gap_ms,
            self._send_request,
            world,
            name,
            requests_per_ms,
            middle_ms,
            end_ms,
        )


def _slow_down_upstream(world):
    upstream = next(iter(world.upstreams.values()))
    upstream.service_ms = lambda: world.rng.expovariate(1 / (10 * SERVICE_MS))


def _kill_upstream(world):
    world.after(500, next(iter(world.upstreams.values())).kill)


LOADS = {
    'even 0.60': _Load(0.6),
    'even 0.85': _Load(0.85),
    'uneven entries 0.60': _Load(0.6, SKEWED_WEIGHTS),
    'one upstream 10x slow 0.60': _Load(
        0.6, inject_disturbance=_slow_down_upstream
    ),
    'step 0.35 to 0.90': _Load(0.35, second_half_factor=0.9 / 0.35),
    'upstream killed 0.70': _Load(0.7, inject_disturbance=_kill_upstream),
}


def _measure(load, variant, seeds, measured_ms):
    latency_us = histogram.HdrHistogram(1, 60000000, 3)
    request_count = unanswered_count = 0
    with variant.disable_absent_mechanisms():
        for seed in range(1, seeds + 1):
            world = load.run(seed, variant.policy_class, measured_ms)
            requests = world.requests[world.first_measured_index :]
            request_count += len(requests)
            unanswered_count += sum(
                request.result != 'answered' for request in requests
            )
            for latency_ms in world.latencies:
                latency_us.record_value(max(1, int(1000 * latency_ms)))
    return latency_us, request_count, unanswered_count


def _print_table(load_name, load, seeds, measured_ms):
    print(f'\n{load_name}:\n')
    print('| policy | p50 ms | p99 ms | p99.9 ms | not answered | asked |')
    print('|---|---|---|---|---|---|', flush=True)
    for policy_name, variant in VARIANTS.items():
        latency_us, request_count, unanswered_count = _measure(
            load, variant, seeds, measured_ms
        )
        values = ' | '.join(
            f'{latency_us.get_value_at_percentile(percent) / 1000:.0f}'
            for percent in (50, 99, 99.9)
        )
        unanswered_percent = 100 * unanswered_count / request_count
        print(
            f'| {policy_name} | {values} | {unanswered_percent:.2f} % '
            f'| {request_count} |',
            flush=True,
        )


def main():
    """Prints a table for each chosen load."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=8)
    parser.add_argument('words', nargs='*')
    args = parser.parse_args()
    print(
        f'{ENTRY_COUNT} entries, {UPSTREAM_COUNT} upstreams of '
        f'{SLOTS_PER_UPSTREAM} slots, '
        f'exponential service of {SERVICE_MS:.0f} ms'
    )
    for name, load in LOADS.items():
        if not args.words or any(word in name for word in args.words):
            _print_table(name, load, args.seeds, 1000 * args.seconds)


if __name__ == '__main__':
    main()
