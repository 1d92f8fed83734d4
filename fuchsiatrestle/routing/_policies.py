"""Choice of one upstream among those with a free slot."""

import abc

__all__ = ('LeastLatency', 'Policy')


class Policy(abc.ABC):
    """Chooses an upstream for a request."""

    @abc.abstractmethod
    def choose(self, candidates):
        """Returns one of ``candidates``, a non-empty list of ``Upstream``."""


class LeastLatency(Policy):
    """Least expected latency, with rotation among the nearly equal.

    Upstreams within ``NEAR`` of the best take turns, so that entries do not
    all turn to the same one.
    """

    NEAR = 1.25

    def __init__(self):
        self._turn = 0

    def choose(self, candidates):
        """Returns the upstream with the least cost."""
        if len(candidates) == 1:
            return candidates[0]
        costs = [_cost(upstream) for upstream in candidates]
        bound = min(costs) * self.NEAR
        near = [
            upstream
            for upstream, cost in zip(candidates, costs, strict=True)
            if cost <= bound
        ]
        self._turn += 1
        return near[self._turn % len(near)]


def _cost(upstream):
    return upstream.latency.mean_ms * (upstream.in_use + 1)
