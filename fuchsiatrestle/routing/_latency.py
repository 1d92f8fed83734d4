"""Estimate of an upstream's latency."""

__all__ = ('LatencyEstimate',)

# RISE_WEIGHT is the weight of a sample above the mean, FALL_WEIGHT that of any
# other sample.  RISE_WEIGHT is larger, so that a few slow answers are enough
# to turn requests away from an upstream that slows down.
RISE_WEIGHT = 0.3
FALL_WEIGHT = 0.1
DEVIATION_WEIGHT = 0.1
# A latency is unusual if it exceeds the mean by this many deviations.
UNUSUAL_DEVIATIONS = 8
# Samples needed before the estimate is compared with those of other upstreams.
MIN_SAMPLES = 5


class LatencyEstimate:
    """Moving average of latencies that follows a rise faster than a fall.

    Attributes:
        mean_ms: the average, zero before the first sample.
        deviation_ms: moving average of a sample's distance from the mean.
        sample_count: number of samples taken.
    """

    __slots__ = ('deviation_ms', 'mean_ms', 'sample_count')

    def __init__(self):
        self.mean_ms = 0.0
        self.deviation_ms = 0.0
        self.sample_count = 0

    @property
    def has_enough_samples(self):
        """True once the estimate can be compared with other upstreams'."""
        return self.sample_count >= MIN_SAMPLES

    @property
    def max_usual_ms(self):
        """Highest latency that counts as usual; few answers exceed it."""
        return self.mean_ms + UNUSUAL_DEVIATIONS * self.deviation_ms

    def reset(self):
        """Lets the next sample replace the mean and the deviation."""
        self.sample_count = 0

    def add_lower_bound(self, latency_ms):
        """Adds a sample of a request that took at least ``latency_ms``.

        A bound below the mean tells nothing and is ignored.
        """
        if latency_ms > self.mean_ms:
            self.add_sample(latency_ms)

    def add_sample(self, latency_ms):
        """Adds the latency of one answer."""
        self.sample_count += 1
        if self.sample_count == 1:
            self.mean_ms = latency_ms
            self.deviation_ms = latency_ms / 2
            return
        error_ms = latency_ms - self.mean_ms
        weight = RISE_WEIGHT if error_ms > 0 else FALL_WEIGHT
        self.mean_ms += weight * error_ms
        self.deviation_ms += DEVIATION_WEIGHT * (
            abs(error_ms) - self.deviation_ms
        )
