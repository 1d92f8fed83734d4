"""Choice of one upstream among those with a free slot."""

import abc

__all__ = ('LeastLatency', 'Policy')


class Policy(abc.ABC):
    """Chooses the upstream to which a request is sent."""

    @abc.abstractmethod
    def choose(self, candidates):
        """Returns one of ``candidates``, a non-empty list of ``Upstream``."""


class LeastLatency(Policy):
    """Chooses the upstream with the least expected latency.

    Upstreams whose cost (expected latency) is at most ``MAX_COST_RATIO``
    times the least take turns, so that the entries don't all choose the same
    one.
    """

    MAX_COST_RATIO = 1.25

    def __init__(self):
        self._choice_count = 0

    def choose(self, candidates):
        """Returns an upstream whose cost is the least or nearly so."""
        if len(candidates) == 1:
            return candidates[0]
        costs = [_cost(upstream) for upstream in candidates]
        max_cost = min(costs) * self.MAX_COST_RATIO
        low_cost_upstreams = [
            upstream
            for upstream, cost in zip(candidates, costs, strict=True)
            if cost <= max_cost
        ]
        self._choice_count += 1
        return low_cost_upstreams[self._choice_count % len(low_cost_upstreams)]


def _cost(upstream):
    """Estimates the latency of one more request.

    The estimate is the upstream's mean latency times the number of slots that
    this entry would then use there.
    """
    return upstream.latency.mean_ms * (upstream.used_slots + 1)
