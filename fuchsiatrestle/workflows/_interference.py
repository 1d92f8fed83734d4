"""Which images disturb which, learnt from the tails of serving tasks.

Answers a day on which nearly every worker serves: what fills has to go where
it does not disturb.  Whether it does depends on the pair of images; most
pairs either hardly matter or drive the tail far over its target at once, so
each pair is light or heavy, with a probability.

A disturbed tail may have several causes: any image that fills beside it, the
worker itself, or a peak of the load.  Each is believed as far as the others
leave the tail unexplained (noisy or), so that what ran beside the cause is
not blamed with it.
"""

import math

from fuchsiatrestle.state import workflows

__all__ = ('Interference', 'Verdict')

# Shares of its target above which a tail counts as disturbed, surely so, and
# below which what fills beside it is cleared.
DISTURBED_AT = 0.9
SURELY_DISTURBED_AT = 1.3
CLEARED_AT = 0.65
# A tail that falls below this share of the one before is recovering: it tells
# of what ran earlier.
RECOVERING_AT = 0.75

# Probabilities.
PRIOR_HEAVY = 0.35
PRIOR_UNSOUND = 0.02
LEAST = 0.03
MOST = 0.97
LIGHT_AT = 0.18
HEAVY_AT = 0.5
# Probability of a disturbed tail without a cause that is known here, by how
# far it is over; a peak of the load may lead to a little.
OWN_PEAK = 0.06
OWN_EXCESS = 0.015
UNSOUND_DISTURBS = 0.9
UNSOUND_STAYS_CALM = 0.1
# A heavy image shows with its share of the worker's processor time.
SHOWS_AT_ONCE = 0.3
SHOWS_PER_SHARE = 3.0
SHOWS_MOST = 0.9
HIDDEN_PER_SHARE = 4.0
HIDDEN_LEAST = 0.25
# Shares of a worker in use from which on an image can be blamed.
BLAME_SHARE = 0.01

# What one worker says of a pair counts up to this much, in log odds.
MOST_PER_WORKER = 3.0
FORGOTTEN_BELOW = 0.03
# What is believed fades towards the prior, so that it is tested again.
FADE_MS = 1000
FADE_KEPT = 0.965
KNOWN_HEAVY = 0.85
KNOWN_LIGHT = 0.08


class Verdict:
    """What is known of a pair of images."""

    LIGHT = 0
    UNKNOWN = 1
    HEAVY = 2


class _Belief:
    """Probability that one pair is heavy.

    Attributes:
        heavy: the probability.
    """

    __slots__ = ('_by_worker', 'heavy')

    def __init__(self):
        self.heavy = PRIOR_HEAVY
        self._by_worker = {}

    @property
    def verdict(self):
        """One of ``Verdict``."""
        if self.heavy >= HEAVY_AT:
            return Verdict.HEAVY
        if self.heavy <= LIGHT_AT:
            return Verdict.LIGHT
        return Verdict.UNKNOWN

    def accuse(self, worker, heavy):
        """Raises the probability as far as one worker may raise it."""
        wanted = _log_odds(min(heavy, MOST)) - _log_odds(self.heavy)
        said = self._by_worker.get(worker, 0.0)
        added = min(wanted, MOST_PER_WORKER - said)
        if added > 0:
            self._by_worker[worker] = said + added
            self.heavy = _probability(_log_odds(self.heavy) + added)

    def clear(self, hidden):
        """Notes a calm tail, which a heavy image leaves that often."""
        odds = self.heavy * hidden / (1 - self.heavy)
        self.heavy = max(LEAST, odds / (1 + odds))

    def fade(self):
        """Lets what is believed fade towards the prior."""
        prior = _log_odds(PRIOR_HEAVY)
        left = (_log_odds(self.heavy) - prior) * FADE_KEPT
        self.heavy = _probability(prior + left)
        self._by_worker = {
            worker: said * FADE_KEPT
            for worker, said in self._by_worker.items()
            if said > FORGOTTEN_BELOW
        }


class Interference:
    """Beliefs by filling image, by serving image."""

    def __init__(self):
        self._pairs = {}
        self._unsound = {}
        self._faded_ms = 0

    # Queries

    def verdict(self, serving, filling):
        """Returns the ``Verdict`` on a pair of images."""
        belief = self._pairs.get(serving, {}).get(filling)
        return belief.verdict if belief else Verdict.UNKNOWN

    def worst(self, serving_images, filling):
        """Returns the worst verdict on one image that fills beside many."""
        return max(
            (self.verdict(serving, filling) for serving in serving_images),
            default=Verdict.LIGHT,
        )

    def welcome(self, serving_images):
        """Returns how many images that fill are light beside all of these."""
        light = [
            {
                filling
                for filling, belief in self._pairs.get(serving, {}).items()
                if belief.verdict == Verdict.LIGHT
            }
            for serving in serving_images
        ]
        return len(set.intersection(*light)) if light else 0

    def unlikeness(self, first, second):
        """Returns how far the images that disturb two serving images differ.

        From 0, the same ones disturb both, to 1; 1 while nothing is known.
        """
        if first == second:
            return 0
        seconds = self._pairs.get(second, {})
        verdicts = [
            {belief.verdict, seconds[filling].verdict}
            for filling, belief in self._pairs.get(first, {}).items()
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

    def changes(self, agreed):
        """Returns ``ImagePair`` values that differ from what is agreed.

        Args:
            agreed: ``ImagePair`` by serving and filling image.
        """
        found = []
        for serving, by_filling in self._pairs.items():
            for filling, belief in by_filling.items():
                if belief.verdict == Verdict.UNKNOWN:
                    continue
                heavy = belief.verdict == Verdict.HEAVY
                pair = workflows.ImagePair(serving, filling, heavy)
                if agreed.get((serving, filling)) != pair:
                    found.append(pair)
        return found

    # Commands

    def adopt(self, pairs):
        """Believes what an earlier leader learnt, ``ImagePair`` values."""
        for pair in pairs:
            heavy = KNOWN_HEAVY if pair.heavy else KNOWN_LIGHT
            self._belief(pair.serving, pair.filling).heavy = heavy

    def fade(self, now_ms):
        """Lets beliefs fade with time."""
        if now_ms - self._faded_ms < FADE_MS:
            return
        self._faded_ms = now_ms
        for by_filling in self._pairs.values():
            for belief in by_filling.values():
                belief.fade()

    def disturbed(self, serving, ratio, shares, worker=''):
        """Takes a tail near or over its target.

        Args:
            serving: image of the serving task.
            ratio: its tail as a share of its target.
            shares: share of the worker in use by each image that fills, now
                or a moment ago.
            worker: id of the worker.
        """
        if ratio < DISTURBED_AT:
            return
        own = OWN_EXCESS if ratio >= SURELY_DISTURBED_AT else OWN_PEAK
        unsound = self._unsound.get(worker, PRIOR_UNSOUND)
        causes = {
            image: _shows(share)
            for image, share in shares.items()
            if share >= BLAME_SHARE
        }
        calm = (1 - own) * (1 - unsound * UNSOUND_DISTURBS)
        for image, shows in causes.items():
            calm *= 1 - self._belief(serving, image).heavy * shows
        for image, shows in causes.items():
            belief = self._belief(serving, image)
            heavy = _explained(belief.heavy, shows, calm)
            belief.accuse(worker, heavy)
        if worker:
            unsound = _explained(unsound, UNSOUND_DISTURBS, calm)
            self._unsound[worker] = min(MOST, unsound)

    def calm(self, serving, ratio, shares, worker=''):
        """Takes a tail well below its target; see ``disturbed``."""
        if ratio >= CLEARED_AT:
            return
        for image, share in shares.items():
            if share >= BLAME_SHARE:
                self._belief(serving, image).clear(_stays_hidden(share))
        if worker in self._unsound:
            self._clear_worker(worker)

    def _clear_worker(self, worker):
        unsound = self._unsound[worker]
        odds = unsound * UNSOUND_STAYS_CALM / (1 - unsound)
        if odds <= PRIOR_UNSOUND:
            del self._unsound[worker]
        else:
            self._unsound[worker] = odds / (1 + odds)

    def _belief(self, serving, image):
        by_filling = self._pairs.setdefault(serving, {})
        return by_filling.setdefault(image, _Belief())


def _shows(share):
    """Returns how often a heavy image with that share disturbs."""
    return min(SHOWS_MOST, SHOWS_AT_ONCE + SHOWS_PER_SHARE * share)


def _stays_hidden(share):
    """Returns how often a heavy image leaves the tail calm."""
    return max(HIDDEN_LEAST, 1 - HIDDEN_PER_SHARE * share)


def _explained(prior, shows, calm):
    """Returns the probability of one cause after a disturbed tail.

    Args:
        prior: probability of the cause before.
        shows: probability that the cause disturbs.
        calm: probability that the tail had stayed calm, all causes together.
    """
    calm_with = calm / (1 - prior * shows) * (1 - shows)
    return prior * (1 - calm_with) / (1 - calm)


def _log_odds(probability):
    return math.log(probability / (1 - probability))


def _probability(log_odds):
    return 1 / (1 + math.exp(-log_odds))
