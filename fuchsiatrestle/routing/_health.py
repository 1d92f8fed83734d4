"""Exclusion and probation of one upstream after failures or slow answers."""

from fuchsiatrestle import metrics

__all__ = ('Health',)

MIN_EXCLUSION_MS = 250
MAX_EXCLUSION_MS = 10000
# Number of failures without a success between them that excludes an upstream.
EXCLUDING_FAILURES = 3
# Request limit of an upstream that is neither excluded nor on probation.
NO_LIMIT = 1 << 30

EXCLUSION_COUNTERS = {
    reason: metrics.declare(f'upstream.shunned_{reason}', description)
    for reason, description in (
        ('failures', 'Upstreams given no work for a time after failures.'),
        ('slow', 'Upstreams given no work for a time as outliers.'),
        ('silent', 'Upstreams given no work for a time after silence.'),
    )
}
DISTRUST_COUNTER = metrics.declare(
    'upstream.distrusted',
    'Times a silent connection made the others of an upstream prove '
    'themselves.',
)


class Health:
    """Decides if an upstream gets any requests, one at a time, or none.

    Failures or slow answers exclude an upstream (``shunned`` in metrics and in
    the status for operators).  After an exclusion it is on probation: it gets
    one request at a time until an answer is not an outlier (see
    ``ServiceGroup.is_outlier``).  A silent connection puts the upstream on
    probation without an exclusion.

    Attributes:
        generation: incremented by each ``record_silence``; an idle connection
            of an older generation is not used again.
    """

    __slots__ = (
        '_consecutive_failures',
        '_excluded_until_ms',
        '_ignored_up_to_ms',
        '_is_on_probation',
        '_next_exclusion_ms',
        'generation',
    )

    def __init__(self):
        self._consecutive_failures = 0
        # A failure of an attempt begun up to this time isn't counted.
        self._ignored_up_to_ms = -1
        self._is_on_probation = False
        self._next_exclusion_ms = MIN_EXCLUSION_MS
        self._excluded_until_ms = 0
        self.generation = 0

    @property
    def on_probation(self):
        """True while the upstream gets one request at a time at most."""
        return self._is_on_probation

    def is_excluded(self, now_ms):
        """Tells whether the upstream gets no requests for now."""
        return now_ms < self._excluded_until_ms

    def request_limit(self, now_ms):
        """Returns how many requests the upstream may have in progress."""
        if now_ms < self._excluded_until_ms:
            return 0
        return 1 if self._is_on_probation else NO_LIMIT

    def record_success(self):
        """Ends probation and resets the count of failures.

        The next exclusion lasts ``MIN_EXCLUSION_MS`` again.
        """
        self._consecutive_failures = 0
        self._is_on_probation = False
        self._next_exclusion_ms = MIN_EXCLUSION_MS

    def record_failure(self, begun_ms, now_ms, *, exclude_at_once):
        """Counts a failed attempt; may exclude the upstream.

        An attempt begun before the last exclusion or silence is ignored, as
        its failure probably has the same cause.

        Args:
            begun_ms: start of the attempt.
            now_ms: current time.
            exclude_at_once: True if a single failure of this kind is enough.
        """
        if begun_ms <= self._ignored_up_to_ms:
            return
        self._consecutive_failures += 1
        if (
            exclude_at_once
            or self._is_on_probation
            or self._consecutive_failures >= EXCLUDING_FAILURES
        ):
            self.exclude(now_ms, 'failures')

    def record_silence(self, begun_ms, now_ms):
        """Puts the upstream on probation after a silent connection.

        An upstream that is on probation already is excluded, unless the
        attempt was begun before the last exclusion or silence.

        Args:
            begun_ms: start of the attempt, since when it has been silent.
            now_ms: current time.
        """
        metrics.count(DISTRUST_COUNTER)
        self.generation += 1
        if self._is_on_probation and begun_ms > self._ignored_up_to_ms:
            self.exclude(now_ms, 'silent')
        self._is_on_probation = True
        self._ignored_up_to_ms = now_ms

    def exclude(self, now_ms, reason):
        """Excludes the upstream for a time.

        The time doubles with each exclusion, up to ``MAX_EXCLUSION_MS``, until
        ``record_success`` resets it.

        Args:
            now_ms: current time.
            reason: key of ``EXCLUSION_COUNTERS``.
        """
        metrics.count(EXCLUSION_COUNTERS[reason])
        self._excluded_until_ms = now_ms + self._next_exclusion_ms
        self._next_exclusion_ms = min(
            2 * self._next_exclusion_ms, MAX_EXCLUSION_MS
        )
        self._is_on_probation = True
        self._consecutive_failures = 0
        self._ignored_up_to_ms = now_ms
