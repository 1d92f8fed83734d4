"""Which images disturb which, learnt from the tails of serving tasks.

Answers a day on which nearly every worker serves: what fills has to go where
it does not disturb.  Whether it does depends on the pair of images; most
pairs either hardly matter or drive the tail far over its target at once, so
that a verdict on the pair is worth more than a measure of it.
"""

__all__ = ('Interference', 'Verdict')

# Share of its target above which a tail counts as disturbed, below which a
# task that fills beside it is cleared.
DISTURBED_AT = 0.9
CLEARED_AT = 0.7
# The same for images that are known to be light: a peak of the load alone
# may lead a little over the target.
SURELY_DISTURBED_AT = 1.3
# Processor time in use, in thousandths of a core, from which on a task that
# fills can be blamed, and which counts as one whole observation.
BLAME_CPU = 300
WHOLE_CPU = 3000
HEAVY_BLAME = 0.45
LIGHT_CLEARED = 2.0
# More observations than these do not make a pair any safer.
MOST_CLEARED = 9.0
# So many observations without a disturbance outweigh one with it.
CLEARED_PER_BLAME = 6
BLAME_KEPT = 0.9
# Blame fades, so that an image is tried again some time.
FADE_MS = 1000
FADE_KEPT = 0.95


class Verdict:
    """What is known of a pair of images."""

    LIGHT = 0
    UNKNOWN = 1
    HEAVY = 2


class _Evidence:
    """Observations of one pair."""

    __slots__ = ('blame', 'cleared')

    def __init__(self):
        self.blame = 0.0
        self.cleared = 0.0

    @property
    def verdict(self):
        """One of ``Verdict``."""
        outweighed = self.cleared >= CLEARED_PER_BLAME * self.blame
        if self.blame >= HEAVY_BLAME and not outweighed:
            return Verdict.HEAVY
        if self.cleared >= LIGHT_CLEARED and outweighed:
            return Verdict.LIGHT
        return Verdict.UNKNOWN

    def accuse(self, share):
        """Notes a share of a disturbance."""
        self.blame += share

    def clear(self, weight):
        """Notes an observation without a disturbance."""
        self.cleared = min(MOST_CLEARED, self.cleared + weight)
        self.blame *= BLAME_KEPT**weight


class Interference:
    """Evidence by (serving image, filling image)."""

    def __init__(self):
        self._pairs = {}
        self._faded_ms = 0

    def fade(self, now_ms):
        """Lets blame fade with time."""
        if now_ms - self._faded_ms < FADE_MS:
            return
        self._faded_ms = now_ms
        for evidence in self._pairs.values():
            evidence.blame *= FADE_KEPT

    def verdict(self, serving, filling):
        """Returns the ``Verdict`` on a pair of images."""
        evidence = self._pairs.get((serving, filling))
        return evidence.verdict if evidence else Verdict.UNKNOWN

    def worst(self, serving_images, filling):
        """Returns the worst verdict on one image that fills beside many."""
        return max(
            (self.verdict(serving, filling) for serving in serving_images),
            default=Verdict.LIGHT,
        )

    def observe(self, serving, ratio, cpu_by_image):
        """Takes one tail.

        Args:
            serving: image of the serving task.
            ratio: its tail as a share of its target.
            cpu_by_image: processor time in use beside it by each image that
                fills, in thousandths of a core.
        """
        active = {
            image: cpu
            for image, cpu in cpu_by_image.items()
            if cpu >= BLAME_CPU
        }
        if ratio >= DISTURBED_AT:
            self._accuse(serving, ratio, active)
        elif ratio < CLEARED_AT:
            for image, cpu in active.items():
                weight = min(1.0, cpu / WHOLE_CPU)
                self._evidence(serving, image).clear(weight)

    def _accuse(self, serving, ratio, active):
        """Blames the images that are not known to be light, else all."""
        suspects = {
            image: cpu
            for image, cpu in active.items()
            if self.verdict(serving, image) != Verdict.LIGHT
        }
        if not suspects and ratio >= SURELY_DISTURBED_AT:
            suspects = active
        total = sum(suspects.values())
        for image, cpu in suspects.items():
            self._evidence(serving, image).accuse(cpu / total)

    def _evidence(self, serving, image):
        return self._pairs.setdefault((serving, image), _Evidence())
