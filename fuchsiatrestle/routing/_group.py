"""All upstreams of one service, with its queue and its retry budget."""

from fuchsiatrestle.routing import _queues
from fuchsiatrestle.routing import _retries

__all__ = ('ServiceGroup',)

# An upstream is an outlier if its latency exceeds OUTLIER_RATIO times the
# median by more than OUTLIER_MARGIN_MS; the margin keeps small differences
# between fast upstreams from counting.
OUTLIER_RATIO = 4.0
OUTLIER_MARGIN_MS = 5.0
# At most one in READY_UPSTREAMS_PER_EXCLUSION ready upstreams is excluded as
# an outlier, so that at least two thirds of them stay in use, however slow.
READY_UPSTREAMS_PER_EXCLUSION = 3
# Median latency that is assumed before any answer has been measured.
ASSUMED_LATENCY_MS = 10.0


class ServiceGroup:
    """Upstreams and waiting requests of one service.

    Attributes:
        name: name of the service.
        cfg: the ``schema.Service``.
        upstreams: list of ``Upstream``.
        queue: the ``ServiceQueue``.
        retry_budget: the ``RetryBudget``.
        median_latency_ms: median of the upstreams' mean latencies.
    """

    __slots__ = (
        'cfg',
        'median_latency_ms',
        'name',
        'queue',
        'retry_budget',
        'upstreams',
    )

    def __init__(self, name, cfg, now_ms):
        self.name = name
        self.cfg = cfg
        self.upstreams = []
        self.queue = _queues.ServiceQueue()
        self.retry_budget = _retries.RetryBudget(now_ms)
        self.median_latency_ms = ASSUMED_LATENCY_MS

    def find_candidates(self, request, now_ms):
        """Finds the upstreams to which a request may be sent.

        Upstreams where an attempt of the request failed are returned only if
        no other upstream has a free slot.

        Args:
            request: the ``PendingRequest``.
            now_ms: current time.

        Returns:
            A list of ``Upstream``, empty if none has a free slot.
        """
        free_upstreams = [
            upstream
            for upstream in self.upstreams
            if upstream.count_free_slots(now_ms) > 0
        ]
        if not request.failed_addresses:
            return free_upstreams
        untried_upstreams = [
            upstream
            for upstream in free_upstreams
            if upstream.address not in request.failed_addresses
        ]
        return untried_upstreams or free_upstreams

    def count_allotted_slots(self, now_ms):
        """Counts the slots, used or free, that this entry may use."""
        return sum(
            max(0, upstream.count_allotted_slots(now_ms))
            for upstream in self.upstreams
        )

    def count_usable_slots(self, now_ms):
        """Counts the slots, in use or free, open to requests of this entry."""
        return sum(
            max(0, upstream.count_usable_slots(now_ms))
            for upstream in self.upstreams
        )

    def count_free_slots(self, now_ms):
        """Counts the slots on which a request may start now."""
        return sum(
            max(0, upstream.count_free_slots(now_ms))
            for upstream in self.upstreams
        )

    @property
    def used_slots(self):
        """Number of slots in use."""
        return sum(upstream.used_slots for upstream in self.upstreams)

    def estimate_wait_ms(self, requests_ahead, now_ms):
        """Estimates how long a request waits in the queue.

        Args:
            requests_ahead: number of queued requests before it.
            now_ms: current time.
        """
        usable_slots = max(1, self.count_usable_slots(now_ms))
        return (requests_ahead + 1) * self.median_latency_ms / usable_slots

    def update_median_latency(self):
        """Recomputes the median latency; keeps it if there are no samples."""
        mean_latencies_ms = sorted(
            upstream.latency.mean_ms
            for upstream in self.upstreams
            if upstream.latency.sample_count
        )
        if mean_latencies_ms:
            self.median_latency_ms = max(
                0.1, mean_latencies_ms[len(mean_latencies_ms) // 2]
            )

    def exclude_outliers(self, now_ms):
        """Excludes upstreams that are far slower than the median.

        Upstreams excluded for any reason count towards the number that may
        be excluded at once.
        """
        allowed_exclusions = self._count_allowed_exclusions(
            self.upstreams, now_ms
        )
        for upstream in self.upstreams:
            if allowed_exclusions <= 0:
                return
            is_comparable = (
                upstream.is_ready
                and upstream.latency.has_enough_samples
                and not upstream.health.is_on_probation
            )
            if is_comparable and self.is_outlier(upstream.latency.mean_ms):
                upstream.health.exclude(now_ms, 'slow')
                allowed_exclusions -= 1

    def _count_allowed_exclusions(self, excludable_upstreams, now_ms):
        """Counts the ready upstreams that may be excluded as outliers now.

        Args:
            excludable_upstreams: the upstreams whose exclusions count.
            now_ms: current time.
        """
        ready_count = sum(upstream.is_ready for upstream in self.upstreams)
        return ready_count // READY_UPSTREAMS_PER_EXCLUSION - sum(
            upstream.is_ready and upstream.health.is_excluded(now_ms)
            for upstream in excludable_upstreams
        )

    def is_outlier(self, latency_ms):
        """Tells whether a latency is far above the median of the service."""
        return (
            latency_ms
            > OUTLIER_RATIO * self.median_latency_ms + OUTLIER_MARGIN_MS
        )

    def is_unusual_silence(self, upstream, elapsed_ms):
        """Tells whether a wait is too long to be explained by load.

        Args:
            upstream: the ``Upstream`` that has not answered in full.
            elapsed_ms: time since the start of the attempt.
        """
        if upstream.latency.has_enough_samples:
            return elapsed_ms >= upstream.latency.max_usual_ms
        return elapsed_ms >= self.cfg.deadline_ms // 2

    def record_answer(self, upstream, latency_ms, now_ms):
        """Updates health and latency of an upstream after a whole answer.

        An upstream on probation is excluded again if the answer is an outlier
        (see ``is_outlier``) and not too many others are excluded; otherwise
        its probation ends and its latency estimate starts anew with this
        answer, so that the median follows if all upstreams became slower.

        Args:
            upstream: the ``Upstream`` that answered.
            latency_ms: time from the start of the attempt to the answer.
            now_ms: current time.
        """
        health = upstream.health
        if (
            health.is_on_probation
            and self.is_outlier(latency_ms)
            and self._count_allowed_exclusions(
                [other for other in self.upstreams if other is not upstream],
                now_ms,
            )
            > 0
        ):
            health.exclude(now_ms, 'slow')
            return
        if health.is_on_probation:
            upstream.latency.reset()
        health.record_success()
        upstream.latency.add_sample(latency_ms)
