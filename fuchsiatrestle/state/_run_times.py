"""Run times of tasks that have ended, against their declared estimates.

Declared estimates are off by a factor that tasks of the same kind share.  For
each kind, a histogram of the ratio of run time to declared estimate is part of
the agreed state, so that all replicas, and each new leader, know the same.

All arithmetic is on integers, and nothing depends on the time of day: old
ratios fade as new ones of their kind arrive.
"""

from fuchsiatrestle import records

__all__ = ('MIN_SAMPLES', 'KindEstimate', 'RunTimes', 'RunTimesRow')

# With fewer run times of a kind the declared estimate holds.  The median of
# five is off only if three of them are stragglers.
MIN_SAMPLES = 5
# Beyond this number of run times all weights of a kind are halved.  The next
# 64 run times then weigh as much as all earlier ones together.
MAX_SAMPLES = 128
# Weight of a new run time.  As a power of two, it can be halved four times
# until the run time is dropped.
SAMPLE_WEIGHT = 16
# Kinds beyond this number are dropped, the least recently updated one first.
MAX_KINDS = 512
# Images with longer names count as none.  This bounds a snapshot, as callers
# choose the names.
MAX_IMAGE_LENGTH = 256

# Ratios are counted in units of 1/1024, up to almost 64.
RATIO_UNIT = 1024
MAX_RATIO = 64 * RATIO_UNIT - 1
# Each range from a power of two to the next one has 16 buckets, so that the
# middle of a bucket is off by 1/32 at most.
_BUCKET_BITS = 4


class RunTimesRow(records.Record, tag='run-times'):
    """Stored form of the histogram of one kind.

    Attributes:
        image: image of the tasks, or empty.
        queue: name of the queue if there is no image, else empty.
        step: number of the step if there is no image, else 0.
        weights: numbers of the buckets, in rising order, each followed by the
            weight of the run times in it.
    """

    image: str
    queue: str
    step: int
    weights: list[int]


class KindEstimate:
    """What is known of the run times of one kind.

    Attributes:
        name: image, queue and step number as a tuple.
        image: image of the tasks, or empty.
        queue_name: name of the queue if there is no image, else empty.
        step_number: number of the step if there is no image, else 0.
        sample_count: number of run times, faded ones counted by their weight.
        median_permille: median of the ratio of run time to declared estimate,
            in thousandths.
    """

    __slots__ = (
        'image',
        'median_permille',
        'name',
        'queue_name',
        'sample_count',
        'step_number',
    )

    def __init__(self, name, sample_count, median_permille):
        self.name = name
        self.image, self.queue_name, self.step_number = name
        self.sample_count = sample_count
        self.median_permille = median_permille


class RunTimes:
    """Histograms of run times by kind.

    Tasks with the same image are of one kind.  Tasks without an image are of
    one kind if their queue and the number of their step are the same.
    """

    def __init__(self):
        # ``_RatioHistogram`` by kind, least recently updated first.
        self._histograms = {}

    # Queries

    def estimate_ms(self, queue_name, step_number, step, permille=500):
        """Returns a quantile of the run time of the tasks of a step.

        Args:
            queue_name: name of the workflow's queue.
            step_number: number of the step in its workflow.
            step: the ``Step``.
            permille: which quantile, in thousandths; the median by default.

        Returns:
            Milliseconds; the declared estimate while fewer than
            ``MIN_SAMPLES`` run times are known.
        """
        histogram = self._find_histogram(queue_name, step_number, step)
        if histogram is None:
            return step.estimate_ms
        ratio = histogram.find_quantile(permille)
        return max(1, step.estimate_ms * ratio // RATIO_UNIT)

    def has_samples(self, queue_name, step_number, step):
        """Returns True if ``estimate_ms`` is based on run times.

        Args:
            queue_name: name of the workflow's queue.
            step_number: number of the step in its workflow.
            step: the ``Step``.
        """
        histogram = self._find_histogram(queue_name, step_number, step)
        return histogram is not None

    def list_kind_estimates(self):
        """Returns the ``KindEstimate`` of each kind with enough run times.

        The least recently updated kind comes first.
        """
        return [
            KindEstimate(
                kind,
                histogram.sample_count,
                histogram.find_quantile(500) * 1000 // RATIO_UNIT,
            )
            for kind, histogram in self._histograms.items()
            if histogram.sample_count >= MIN_SAMPLES
        ]

    def _find_histogram(self, queue_name, step_number, step):
        """Returns the histogram for a step, None with too few run times."""
        if not _has_ratio(step):
            return None
        histogram = self._histograms.get(
            _find_kind(queue_name, step_number, step)
        )
        if histogram is None or histogram.sample_count < MIN_SAMPLES:
            return None
        return histogram

    # Changes

    def record_run(self, queue_name, step_number, step, run_ms):
        """Records the run time of a task that is done.

        Steps without a declared estimate and long-running ones are ignored.

        Args:
            queue_name: name of the workflow's queue.
            step_number: number of the step in its workflow.
            step: the ``Step``.
            run_ms: run time of the whole task, at least 0.
        """
        if not _has_ratio(step):
            return
        kind = _find_kind(queue_name, step_number, step)
        histogram = self._histograms.pop(kind, None) or _RatioHistogram()
        self._histograms[kind] = histogram
        histogram.add(run_ms * RATIO_UNIT // step.estimate_ms)
        if len(self._histograms) > MAX_KINDS:
            del self._histograms[next(iter(self._histograms))]

    # Snapshots

    def to_rows(self):
        """Returns the stored form, a list of ``RunTimesRow``."""
        return [
            RunTimesRow(*kind, histogram.to_weights())
            for kind, histogram in self._histograms.items()
        ]

    @classmethod
    def from_rows(cls, rows):
        """Returns the ``RunTimes`` for their stored form."""
        run_times = cls()
        run_times._histograms = {
            (row.image, row.queue, row.step): _RatioHistogram(row.weights)
            for row in rows
        }
        return run_times


class _RatioHistogram:
    """Weights of ratios in buckets whose width grows with the ratio.

    Args:
        weights: see ``RunTimesRow``.
    """

    __slots__ = ('_quantiles', '_total_weight', '_weight_by_bucket')

    def __init__(self, weights=()):
        self._weight_by_bucket = dict(
            zip(weights[::2], weights[1::2], strict=True)
        )
        self._total_weight = sum(self._weight_by_bucket.values())
        # Quantiles that were asked for since the last change, by permille.
        self._quantiles = {}

    @property
    def sample_count(self):
        """Number of ratios, faded ones counted by their weight."""
        return self._total_weight // SAMPLE_WEIGHT

    def add(self, ratio):
        """Adds a ratio, in units of 1/1024."""
        bucket = _find_bucket(min(ratio, MAX_RATIO))
        self._weight_by_bucket[bucket] = (
            self._weight_by_bucket.get(bucket, 0) + SAMPLE_WEIGHT
        )
        self._total_weight += SAMPLE_WEIGHT
        if self._total_weight > MAX_SAMPLES * SAMPLE_WEIGHT:
            self._halve_weights()
        self._quantiles.clear()

    def _halve_weights(self):
        self._weight_by_bucket = {
            bucket: weight // 2
            for bucket, weight in self._weight_by_bucket.items()
            if weight > 1
        }
        self._total_weight = sum(self._weight_by_bucket.values())

    def find_quantile(self, permille):
        """Returns a quantile of the ratio, in units of 1/1024."""
        if permille not in self._quantiles:
            self._quantiles[permille] = self._compute_quantile(permille)
        return self._quantiles[permille]

    def _compute_quantile(self, permille):
        # Nearest rank: the smallest bucket up to which there is this weight.
        missing_weight = max(1, -(-self._total_weight * permille // 1000))
        for bucket, weight in sorted(self._weight_by_bucket.items()):
            missing_weight -= weight
            if missing_weight <= 0:
                break
        return _find_middle(bucket)

    def to_weights(self):
        """Returns the stored form, see ``RunTimesRow``."""
        return [
            number
            for bucket_and_weight in sorted(self._weight_by_bucket.items())
            for number in bucket_and_weight
        ]


def _has_ratio(step):
    """Returns True if the run times of a step compare to an estimate."""
    return step.estimate_ms > 0 and not step.lasts


def _find_kind(queue_name, step_number, step):
    """Returns the kind of the tasks of a step, the key of its histogram."""
    if step.image and len(step.image) <= MAX_IMAGE_LENGTH:
        return step.image, '', 0
    return '', queue_name, step_number


def _find_bucket(ratio):
    """Returns the number of the bucket of a ratio."""
    shift = max(0, ratio.bit_length() - _BUCKET_BITS - 1)
    return (shift << _BUCKET_BITS) + (ratio >> shift)


def _find_middle(bucket):
    """Returns the middle of the ratios in a bucket."""
    shift = max(0, (bucket >> _BUCKET_BITS) - 1)
    first_ratio = (bucket - (shift << _BUCKET_BITS)) << shift
    return first_ratio + (1 << shift >> 1)
