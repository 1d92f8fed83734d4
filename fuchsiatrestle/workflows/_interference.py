"""Which images disturb which, learnt from the tails of serving tasks.

Answers a day on which nearly every worker serves: what fills has to go where
it does not disturb.  Whether it does depends on the pair of images; most
pairs either hardly matter or drive the tail far over its target at once, so
that a verdict on the pair is worth more than a measure of it.
"""

__all__ = ('Interference', 'Verdict')

# Shares of its target above which a tail counts as disturbed, surely so, and
# below which a task that fills beside it is cleared.
DISTURBED_AT = 0.9
SURELY_DISTURBED_AT = 1.3
CLEARED_AT = 0.7
# What a tail between the two first is worth as evidence: a peak of the load
# alone may lead there.
WEAK_EVIDENCE = 0.3
# Shares of a worker in use from which on an image can be blamed, and from
# which on it would show if it disturbed.
BLAME_SHARE = 0.01
TELLING_SHARE = 0.12
WEAK_CLEARANCE = 0.1
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
    """Evidence by filling image, by serving image."""

    def __init__(self):
        self._pairs = {}
        self._faded_ms = 0

    def fade(self, now_ms):
        """Lets blame fade with time."""
        if now_ms - self._faded_ms < FADE_MS:
            return
        self._faded_ms = now_ms
        for by_filling in self._pairs.values():
            for evidence in by_filling.values():
                evidence.blame *= FADE_KEPT

    def verdict(self, serving, filling):
        """Returns the ``Verdict`` on a pair of images."""
        evidence = self._pairs.get(serving, {}).get(filling)
        return evidence.verdict if evidence else Verdict.UNKNOWN

    def worst(self, serving_images, filling):
        """Returns the worst verdict on one image that fills beside many."""
        return max(
            (self.verdict(serving, filling) for serving in serving_images),
            default=Verdict.LIGHT,
        )

    def unlikeness(self, first, second):
        """Returns how far the images that disturb two serving images differ.

        From 0, the same ones disturb both, to 1; 1 while nothing is known.
        """
        if first == second:
            return 0
        seconds = self._pairs.get(second, {})
        verdicts = [
            {evidence.verdict, seconds[filling].verdict}
            for filling, evidence in self._pairs.get(first, {}).items()
            if filling in seconds
        ]
        heavy = [
            one
            for one in verdicts
            if Verdict.HEAVY in one and Verdict.UNKNOWN not in one
        ]
        if not heavy:
            return 1
        return sum(len(one) > 1 for one in heavy) / len(heavy)

    def disturbed(self, serving, ratio, shares):
        """Takes a tail near or over its target.

        Args:
            serving: image of the serving task.
            ratio: its tail as a share of its target.
            shares: share of the worker in use by each image that fills, now
                or a moment ago.
        """
        if ratio < DISTURBED_AT:
            return
        active = {
            image: share
            for image, share in shares.items()
            if share >= BLAME_SHARE
        }
        suspects = {
            image: share
            for image, share in active.items()
            if self.verdict(serving, image) != Verdict.LIGHT
        }
        weight = WEAK_EVIDENCE
        if ratio >= SURELY_DISTURBED_AT:
            weight = 1.0
            suspects = suspects or active
        total = sum(suspects.values())
        for image, share in suspects.items():
            self._evidence(serving, image).accuse(weight * share / total)

    def calm(self, serving, ratio, shares):
        """Takes a tail well below its target; see ``disturbed``."""
        if ratio >= CLEARED_AT:
            return
        for image, share in shares.items():
            if share >= BLAME_SHARE:
                telling = share >= TELLING_SHARE
                weight = 1.0 if telling else WEAK_CLEARANCE
                self._evidence(serving, image).clear(weight)

    def _evidence(self, serving, image):
        by_filling = self._pairs.setdefault(serving, {})
        return by_filling.setdefault(image, _Evidence())
