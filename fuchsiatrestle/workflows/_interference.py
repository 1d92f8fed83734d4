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
CLEARED_AT = 0.68
# Processor time in use, in thousandths of a core, from which on a task that
# fills can be blamed or cleared.
BLAME_CPU = 300
CLEAR_CPU = 1000
HEAVY_BLAME = 0.45
LIGHT_CLEARED = 3
# So many observations without a disturbance outweigh one with it.
CLEARED_PER_BLAME = 6
BLAME_KEPT = 0.85


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
        self.cleared = 0

    @property
    def verdict(self):
        """One of ``Verdict``."""
        outweighed = self.cleared >= CLEARED_PER_BLAME * self.blame
        if self.blame >= HEAVY_BLAME and not outweighed:
            return Verdict.HEAVY
        if self.cleared >= LIGHT_CLEARED and outweighed:
            return Verdict.LIGHT
        return Verdict.UNKNOWN


class Interference:
    """Evidence by (serving image, filling image)."""

    def __init__(self):
        self._pairs = {}

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
        if ratio >= DISTURBED_AT:
            self._blame(serving, cpu_by_image)
        elif ratio < CLEARED_AT:
            self._clear(serving, cpu_by_image)

    def _blame(self, serving, cpu_by_image):
        active = [
            image for image, cpu in cpu_by_image.items() if cpu >= BLAME_CPU
        ]
        suspects = [
            image
            for image in active
            if self.verdict(serving, image) != Verdict.LIGHT
        ]
        for image in suspects or active:
            evidence = self._evidence(serving, image)
            evidence.blame += 1 / len(suspects or active)

    def _clear(self, serving, cpu_by_image):
        for image, cpu in cpu_by_image.items():
            if cpu >= CLEAR_CPU:
                evidence = self._evidence(serving, image)
                evidence.cleared += 1
                evidence.blame *= BLAME_KEPT

    def _evidence(self, serving, image):
        return self._pairs.setdefault((serving, image), _Evidence())
