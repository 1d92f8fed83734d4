"""All upstreams of one service, its queue and its retry budget."""

from fuchsiatrestle.routing import _queues
from fuchsiatrestle.routing import _retries

__all__ = ('ServiceGroup',)

OUTLIER_RATIO = 4.0
OUTLIER_FLOOR_MS = 5.0
# At least two thirds of the upstreams stay in use, however slow.
MAX_SHUNNED_DIVISOR = 3
ASSUMED_LATENCY_MS = 10.0


class ServiceGroup:
    """Upstreams and waiting requests of one service.

    Attributes:
        name: name of the service.
        cfg: the ``schema.Service``.
        upstreams: list of ``Upstream``.
        queue: the ``ServiceQueue``.
        budget: the ``RetryBudget``.
        median_ms: median of the upstreams' mean latencies.
    """

    __slots__ = ('budget', 'cfg', 'median_ms', 'name', 'queue', 'upstreams')

    def __init__(self, name, cfg, now_ms):
        self.name = name
        self.cfg = cfg
        self.upstreams = []
        self.queue = _queues.ServiceQueue()
        self.budget = _retries.RetryBudget(now_ms)
        self.median_ms = ASSUMED_LATENCY_MS

    def candidates(self, pending, now_ms):
        """Returns upstreams with a slot for the request, new ones first.

        Upstreams that failed the request before come into question only if
        no other is left.
        """
        free = [
            upstream
            for upstream in self.upstreams
            if upstream.free(now_ms) > 0
        ]
        if not pending.avoided:
            return free
        other = [
            upstream
            for upstream in free
            if upstream.address not in pending.avoided
        ]
        return other or free

    def capacity(self, now_ms):
        """Slots that are free or in use, over upstreams given work."""
        return sum(
            max(0, upstream.usable(now_ms)) for upstream in self.upstreams
        )

    def free(self, now_ms):
        """Slots that are free now."""
        return sum(
            max(0, upstream.free(now_ms)) for upstream in self.upstreams
        )

    @property
    def in_use(self):
        """Slots in use."""
        return sum(upstream.in_use for upstream in self.upstreams)

    def wait_ms(self, ahead, now_ms):
        """Estimates the wait of a request with ``ahead`` before it."""
        capacity = max(1, self.capacity(now_ms))
        return (ahead + 1) * self.median_ms / capacity

    def update_median(self):
        """Recomputes the median latency."""
        means = sorted(
            upstream.latency.mean_ms
            for upstream in self.upstreams
            if upstream.latency.samples
        )
        if means:
            self.median_ms = max(0.1, means[len(means) // 2])

    def shun_outliers(self, now_ms):
        """Excludes upstreams far slower than the median, but never many."""
        ready = [upstream for upstream in self.upstreams if upstream.ready]
        allowed = len(ready) // MAX_SHUNNED_DIVISOR
        allowed -= sum(
            upstream.health.is_shunned(now_ms) for upstream in ready
        )
        for upstream in ready:
            if allowed <= 0:
                return
            known = upstream.latency.known and not upstream.health.on_probation
            if known and self.is_slow(upstream.latency.mean_ms):
                upstream.health.shun(now_ms, 'slow')
                allowed -= 1

    def is_slow(self, latency_ms):
        """True if ``latency_ms`` makes an upstream an outlier."""
        return latency_ms > OUTLIER_RATIO * self.median_ms + OUTLIER_FLOOR_MS

    def is_silence(self, upstream, elapsed_ms):
        """True if an upstream that took so long is more than busy."""
        if upstream.latency.known:
            return elapsed_ms >= upstream.latency.unusual_ms
        return elapsed_ms >= self.cfg.deadline_ms // 2

    def take_latency(self, upstream, latency_ms, now_ms):
        """Notes a whole answer of an upstream."""
        health = upstream.health
        if health.on_probation and self.is_slow(latency_ms):
            health.shun(now_ms, 'slow')
            return
        if health.on_probation:
            upstream.latency.restart()
        health.succeed()
        upstream.latency.add(latency_ms)
