"""Estimate of an upstream's latency."""

__all__ = ('LatencyEstimate',)

RISE_WEIGHT = 0.3
FALL_WEIGHT = 0.1
DEVIATION_WEIGHT = 0.1
DEVIATIONS = 8
MIN_SAMPLES = 5


class LatencyEstimate:
    """Moving average that follows a rise faster than a fall.

    Attributes:
        mean_ms: the average, zero before the first sample.
        deviation_ms: average distance of a sample from the average.
        samples: number of samples taken.
    """

    __slots__ = ('deviation_ms', 'mean_ms', 'samples')

    def __init__(self):
        self.mean_ms = 0.0
        self.deviation_ms = 0.0
        self.samples = 0

    @property
    def known(self):
        """True once there are enough samples to compare with others."""
        return self.samples >= MIN_SAMPLES

    @property
    def unusual_ms(self):
        """A latency that few answers exceed."""
        return self.mean_ms + DEVIATIONS * self.deviation_ms

    def restart(self):
        """Forgets all samples."""
        self.samples = 0

    def exceed(self, latency_ms):
        """Takes into account that an answer took longer than that."""
        if latency_ms > self.mean_ms:
            self.add(latency_ms)

    def add(self, latency_ms):
        """Takes one sample."""
        self.samples += 1
        if self.samples == 1:
            self.mean_ms = latency_ms
            self.deviation_ms = latency_ms / 2
            return
        error_ms = latency_ms - self.mean_ms
        weight = RISE_WEIGHT if error_ms > 0 else FALL_WEIGHT
        self.mean_ms += weight * error_ms
        self.deviation_ms += DEVIATION_WEIGHT * (
            abs(error_ms) - self.deviation_ms
        )
