"""Learns which images interfere with each other on a worker.

A serving task has a target for its tail latency; a best-effort task
(``fills`` in its step) uses the processor time that the others leave.  When
nearly every worker runs serving tasks, best-effort tasks have to share workers
with serving tasks, and should go where they do not raise the tail latency of
those.

Interference depends on the pair of images.  Most pairs either hardly matter
or drive the tail latency far over its target at once, so the model has two
classes, light and heavy, and keeps the probability that a pair is heavy.

A high tail latency may have several causes: any best-effort image on the
worker, a degraded worker, or a load peak of the serving task.  The causes are
combined as a noisy OR.  A cause gains probability only as far as the other
causes do not explain the tail latency, so that an image is not blamed for
running beside the one that interferes.
"""

import math

from fuchsiatrestle.state import workflows

__all__ = ('InterferenceModel', 'Severity')

# Ratios of a tail latency to its target.  From 0.9 the tail counts as
# disturbed, from 1.3 as severely disturbed; below 0.65 it is calm, which is
# evidence that the images beside it do not interfere.
DISTURBED_RATIO = 0.9
SEVERELY_DISTURBED_RATIO = 1.3
CALM_RATIO = 0.65
# A tail at or below this ratio to the previous one is recovering: it still
# shows the effect of tasks that ran earlier.
RECOVERING_RATIO = 0.75

# Prior probabilities that a pair of images is heavy and that a worker is
# degraded, which means that it is slow whatever runs on it.
HEAVY_PRIOR = 0.35
DEGRADED_WORKER_PRIOR = 0.02
# Bounds that keep an estimate from becoming certain.
MIN_PROBABILITY = 0.03
MAX_PROBABILITY = 0.97
# A pair counts as light if its probability of being heavy is at most
# LIGHT_MAX_PROBABILITY, and as heavy if it is at least HEAVY_MIN_PROBABILITY.
# In between it is unknown.
LIGHT_MAX_PROBABILITY = 0.18
HEAVY_MIN_PROBABILITY = 0.5
# Probabilities that a tail is mildly or severely disturbed by something other
# than the causes that the model tracks, for example by a load peak of the
# serving task, which may push its tail a little over its target.
UNEXPLAINED_MILD_PROBABILITY = 0.06
UNEXPLAINED_SEVERE_PROBABILITY = 0.015
# Probabilities that a degraded worker shows a disturbed or a calm tail.
DEGRADED_DISTURBS_PROBABILITY = 0.9
DEGRADED_CALM_PROBABILITY = 0.1
# If a pair is heavy, its best-effort image disturbs the tail with probability
# EFFECT_BASE_PROBABILITY plus EFFECT_PROBABILITY_PER_CPU_SHARE times the
# image's share of the worker's processor time, but at most
# EFFECT_MAX_PROBABILITY.
EFFECT_BASE_PROBABILITY = 0.3
EFFECT_PROBABILITY_PER_CPU_SHARE = 3.0
EFFECT_MAX_PROBABILITY = 0.9
# If a pair is heavy, the tail stays calm with probability 1 minus this factor
# times the best-effort image's share of the worker's processor time, but at
# least CALM_MIN_PROBABILITY.
CALM_PROBABILITY_LOSS_PER_CPU_SHARE = 4.0
CALM_MIN_PROBABILITY = 0.25
# Share of the worker's processor time from which on the model takes evidence
# for or against an image.
MIN_SUSPECT_CPU_SHARE = 0.01

# Limit, in log odds, on how far the tails of one worker can raise the
# probability of a pair, as the worker itself may be at fault.
MAX_LOG_ODDS_PER_WORKER = 3.0
# A worker's contribution, in log odds, is forgotten at or below this value.
NEGLIGIBLE_LOG_ODDS = 0.03
# At each interval the log odds decay towards the prior by this factor, so that
# a pair is tested again.
DECAY_INTERVAL_MS = 1000
DECAY_FACTOR = 0.965
# Probabilities given to pairs that an earlier leader had classified.
ADOPTED_HEAVY_PROBABILITY = 0.85
ADOPTED_LIGHT_PROBABILITY = 0.08


class Severity:
    """Interference between a serving and a best-effort image.

    The values are ordered, so that the largest one is the worst.
    """

    LIGHT = 0
    UNKNOWN = 1
    HEAVY = 2


class _PairEstimate:
    """Estimate of the interference of one pair of images.

    Attributes:
        heavy_probability: probability that the pair is heavy.
    """

    __slots__ = ('_log_odds_by_worker', 'heavy_probability')

    def __init__(self):
        self.heavy_probability = HEAVY_PRIOR
        self._log_odds_by_worker = {}

    @property
    def severity(self):
        """How strongly the best-effort image disturbs the serving image.

        One of the values of ``Severity``.
        """
        if self.heavy_probability >= HEAVY_MIN_PROBABILITY:
            return Severity.HEAVY
        if self.heavy_probability <= LIGHT_MAX_PROBABILITY:
            return Severity.LIGHT
        return Severity.UNKNOWN

    def raise_probability(self, worker_name, posterior):
        """Raises the probability towards a posterior after a disturbed tail.

        One worker can raise it by at most ``MAX_LOG_ODDS_PER_WORKER``.

        Args:
            worker_name: id of the worker with the disturbed tail.
            posterior: probability that the pair is heavy, given that tail.
        """
        uncapped_increase = _log_odds(
            min(posterior, MAX_PROBABILITY)
        ) - _log_odds(self.heavy_probability)
        added_log_odds = self._log_odds_by_worker.get(worker_name, 0.0)
        increase = min(
            uncapped_increase, MAX_LOG_ODDS_PER_WORKER - added_log_odds
        )
        if increase > 0:
            self._log_odds_by_worker[worker_name] = added_log_odds + increase
            self.heavy_probability = _probability_from_log_odds(
                _log_odds(self.heavy_probability) + increase
            )

    def lower_probability(self, calm_probability):
        """Lowers the probability after a calm tail.

        Args:
            calm_probability: probability of a calm tail if the pair is heavy.
        """
        odds = (
            self.heavy_probability
            * calm_probability
            / (1 - self.heavy_probability)
        )
        self.heavy_probability = max(MIN_PROBABILITY, odds / (1 + odds))

    def decay(self):
        """Moves the estimate one step back towards the prior."""
        prior = _log_odds(HEAVY_PRIOR)
        deviation = (_log_odds(self.heavy_probability) - prior) * DECAY_FACTOR
        self.heavy_probability = _probability_from_log_odds(prior + deviation)
        self._log_odds_by_worker = {
            worker_name: added_log_odds * DECAY_FACTOR
            for worker_name, added_log_odds in self._log_odds_by_worker.items()
            if added_log_odds > NEGLIGIBLE_LOG_ODDS
        }


class InterferenceModel:
    """Estimates which images interfere, and which workers are degraded."""

    def __init__(self):
        # By serving image, then by best-effort image.
        self._estimates = {}
        # Probability that a worker is degraded, by worker id.
        self._degraded_probability_by_worker = {}
        self._last_decay_ms = 0

    # Queries

    def severity(self, serving_image, best_effort_image):
        """Returns the ``Severity`` of a pair of images."""
        estimate = self._estimates.get(serving_image, {}).get(
            best_effort_image
        )
        return estimate.severity if estimate else Severity.UNKNOWN

    def worst_probability(self, serving_images, best_effort_image):
        """Returns the largest probability that an image disturbs another.

        Args:
            serving_images: images of the serving tasks on a worker.
            best_effort_image: the image that may disturb them.

        Returns:
            The probability, 0 if there are no serving images.
        """
        probabilities = []
        for serving_image in serving_images:
            estimates = self._estimates.get(serving_image, {})
            estimate = estimates.get(best_effort_image)
            probabilities.append(
                estimate.heavy_probability if estimate else HEAVY_PRIOR
            )
        return max(probabilities, default=0.0)

    def worst_severity(self, serving_images, best_effort_image):
        """Returns the worst ``Severity`` of an image beside serving images."""
        return max(
            (
                self.severity(serving_image, best_effort_image)
                for serving_image in serving_images
            ),
            default=Severity.LIGHT,
        )

    def count_images_light_beside(self, serving_images):
        """Counts best-effort images known to disturb no given serving image.

        An image counts if its severity is ``Severity.LIGHT`` beside each of
        ``serving_images``.

        Args:
            serving_images: images of the serving tasks on a worker.

        Returns:
            The number of these images, 0 if ``serving_images`` is empty.
        """
        light_image_sets = [
            {
                best_effort_image
                for best_effort_image, estimate in self._estimates.get(
                    serving_image, {}
                ).items()
                if estimate.severity == Severity.LIGHT
            }
            for serving_image in serving_images
        ]
        return (
            len(set.intersection(*light_image_sets)) if light_image_sets else 0
        )

    def dissimilarity(self, first_image, second_image):
        """Returns how far two serving images differ in what disturbs them.

        Only best-effort images count that are heavy beside at least one of
        the two and classified beside both.

        Args:
            first_image: a serving image.
            second_image: another serving image.

        Returns:
            The share of those best-effort images that are heavy beside only
            one of the two: 0 if the same images disturb both, 1 if no image
            disturbs both or if no image counts yet.
        """
        if first_image == second_image:
            return 0
        second_estimates = self._estimates.get(second_image, {})
        all_severity_sets = [
            {estimate.severity, second_estimates[best_effort_image].severity}
            for best_effort_image, estimate in self._estimates.get(
                first_image, {}
            ).items()
            if best_effort_image in second_estimates
        ]
        heavy_severity_sets = [
            severity_set
            for severity_set in all_severity_sets
            if Severity.HEAVY in severity_set
            and Severity.UNKNOWN not in severity_set
        ]
        if not heavy_severity_sets:
            return 1
        return sum(
            len(severity_set) > 1 for severity_set in heavy_severity_sets
        ) / len(heavy_severity_sets)

    def changed_image_pairs(self, agreed_pairs):
        """Returns the classified pairs that differ from the agreed ones.

        Args:
            agreed_pairs: ``ImagePair`` by serving and best-effort image, as
                in the replicated state.

        Returns:
            A list of ``ImagePair``.
        """
        changed_pairs = []
        for serving_image, estimates in self._estimates.items():
            for best_effort_image, estimate in estimates.items():
                if estimate.severity == Severity.UNKNOWN:
                    continue
                is_heavy = estimate.severity == Severity.HEAVY
                pair = workflows.ImagePair(
                    serving_image, best_effort_image, is_heavy
                )
                if (
                    agreed_pairs.get((serving_image, best_effort_image))
                    != pair
                ):
                    changed_pairs.append(pair)
        return changed_pairs

    # Learning

    def adopt_image_pairs(self, pairs):
        """Starts from the pairs that an earlier leader classified.

        Args:
            pairs: iterable of ``ImagePair``.
        """
        for pair in pairs:
            probability = (
                ADOPTED_HEAVY_PROBABILITY
                if pair.heavy
                else ADOPTED_LIGHT_PROBABILITY
            )
            self._pair_estimate(
                pair.serving, pair.filling
            ).heavy_probability = probability

    def decay(self, now_ms):
        """Moves all estimates towards the prior, once in each interval."""
        if now_ms - self._last_decay_ms < DECAY_INTERVAL_MS:
            return
        self._last_decay_ms = now_ms
        for estimates in self._estimates.values():
            for estimate in estimates.values():
                estimate.decay()

    def record_disturbed_tail(
        self, serving_image, tail_ratio, cpu_share_by_image, worker_name=''
    ):
        """Raises the probabilities of all causes of a disturbed tail.

        A tail below ``DISTURBED_RATIO`` changes nothing.

        Args:
            serving_image: image of the serving tasks.
            tail_ratio: their tail latency as a ratio to its target.
            cpu_share_by_image: by best-effort image, the largest share of the
                worker's processor time in the current window (see
                ``TailWindow``) and the previous one.
            worker_name: id of the worker, empty if not known.
        """
        if tail_ratio < DISTURBED_RATIO:
            return
        unexplained_probability = (
            UNEXPLAINED_SEVERE_PROBABILITY
            if tail_ratio >= SEVERELY_DISTURBED_RATIO
            else UNEXPLAINED_MILD_PROBABILITY
        )
        degraded_probability = self._degraded_probability_by_worker.get(
            worker_name, DEGRADED_WORKER_PRIOR
        )
        effect_probability_by_image = {
            image: _effect_probability(cpu_share)
            for image, cpu_share in cpu_share_by_image.items()
            if cpu_share >= MIN_SUSPECT_CPU_SHARE
        }
        undisturbed_probability = (1 - unexplained_probability) * (
            1 - degraded_probability * DEGRADED_DISTURBS_PROBABILITY
        )
        for image, effect_probability in effect_probability_by_image.items():
            undisturbed_probability *= (
                1
                - self._pair_estimate(serving_image, image).heavy_probability
                * effect_probability
            )
        for image, effect_probability in effect_probability_by_image.items():
            estimate = self._pair_estimate(serving_image, image)
            posterior = _posterior(
                estimate.heavy_probability,
                effect_probability,
                undisturbed_probability,
            )
            estimate.raise_probability(worker_name, posterior)
        if worker_name:
            degraded_probability = _posterior(
                degraded_probability,
                DEGRADED_DISTURBS_PROBABILITY,
                undisturbed_probability,
            )
            self._degraded_probability_by_worker[worker_name] = min(
                MAX_PROBABILITY, degraded_probability
            )

    def record_calm_tail(
        self, serving_image, tail_ratio, cpu_share_by_image, worker_name=''
    ):
        """Lowers the probabilities of all causes after a calm tail.

        A tail at or above ``CALM_RATIO`` changes nothing.  The arguments are
        those of ``record_disturbed_tail``, but ``cpu_share_by_image`` has the
        average shares in the current window.
        """
        if tail_ratio >= CALM_RATIO:
            return
        for image, cpu_share in cpu_share_by_image.items():
            if cpu_share >= MIN_SUSPECT_CPU_SHARE:
                self._pair_estimate(serving_image, image).lower_probability(
                    _calm_probability(cpu_share)
                )
        if worker_name in self._degraded_probability_by_worker:
            self._lower_degraded_probability(worker_name)

    def _lower_degraded_probability(self, worker_name):
        degraded_probability = self._degraded_probability_by_worker[
            worker_name
        ]
        odds = (
            degraded_probability
            * DEGRADED_CALM_PROBABILITY
            / (1 - degraded_probability)
        )
        if odds <= DEGRADED_WORKER_PRIOR:
            del self._degraded_probability_by_worker[worker_name]
        else:
            self._degraded_probability_by_worker[worker_name] = odds / (
                1 + odds
            )

    def _pair_estimate(self, serving_image, best_effort_image):
        """Returns the estimate of a pair of images; creates it if missing."""
        estimates = self._estimates.setdefault(serving_image, {})
        return estimates.setdefault(best_effort_image, _PairEstimate())


def _effect_probability(cpu_share):
    """Returns the probability that a heavy pair's image disturbs the tail."""
    return min(
        EFFECT_MAX_PROBABILITY,
        EFFECT_BASE_PROBABILITY + EFFECT_PROBABILITY_PER_CPU_SHARE * cpu_share,
    )


def _calm_probability(cpu_share):
    """Returns the probability that the tail is calm if the pair is heavy."""
    return max(
        CALM_MIN_PROBABILITY,
        1 - CALM_PROBABILITY_LOSS_PER_CPU_SHARE * cpu_share,
    )


def _posterior(prior, effect_probability, undisturbed_probability):
    """Returns the probability of one cause, given a disturbed tail.

    Args:
        prior: probability of the cause before this tail was measured.
        effect_probability: probability that the cause disturbs the tail if
            it is present.
        undisturbed_probability: probability that no cause would have
            disturbed the tail.
    """
    undisturbed_probability_if_present = (
        undisturbed_probability
        / (1 - prior * effect_probability)
        * (1 - effect_probability)
    )
    return (
        prior
        * (1 - undisturbed_probability_if_present)
        / (1 - undisturbed_probability)
    )


def _log_odds(probability):
    return math.log(probability / (1 - probability))


def _probability_from_log_odds(log_odds):
    return 1 / (1 + math.exp(-log_odds))
