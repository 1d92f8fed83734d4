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

    Upstreams whose expected latency is at most ``MAX_LATENCY_RATIO`` times the
    least take turns, so that the entries don't all choose the same one.
    """

    MAX_LATENCY_RATIO = 1.25

    def __init__(self):
        self._choice_count = 0

    def choose(self, candidates):
        """Returns an upstream with the least or nearly the least latency."""
        if len(candidates) == 1:
            return candidates[0]
        expected_latencies_ms = [
            _expected_latency_ms(upstream) for upstream in candidates
        ]
        max_latency_ms = min(expected_latencies_ms) * self.MAX_LATENCY_RATIO
        low_latency_upstreams = [
            upstream
            for upstream, latency_ms in zip(
                candidates, expected_latencies_ms, strict=True
            )
            if latency_ms <= max_latency_ms
        ]
        self._choice_count += 1
        return low_latency_upstreams[
            self._choice_count % len(low_latency_upstreams)
        ]


def _expected_latency_ms(upstream):
    """Estimates the latency of one more request.

    The estimate is the upstream's mean latency times the number of slots that
    this entry would then use there.
    """
    return upstream.latency.mean_ms * (upstream.used_slots + 1)
