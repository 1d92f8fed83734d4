"""Exclusion and probation of one upstream after failures or slow answers."""

from fuchsiatrestle import metrics

__all__ = ('Health',)

MIN_EXCLUSION_MS = 250
MAX_EXCLUSION_MS = 10000
# Number of failures without a success between them that excludes an upstream.
FAILURES_TO_EXCLUDE = 3
# Request limit of an upstream that is neither excluded nor on probation.
NO_REQUEST_LIMIT = 1 << 30

EXCLUSION_COUNTERS = {
    reason: metrics.declare(f'upstream.shunned_{reason}', description)
    for reason, description in (
        ('failures', 'Upstreams given no work for a time after failures.'),
        ('slow', 'Upstreams given no work for a time as outliers.'),
        ('silent', 'Upstreams given no work for a time after silence.'),
    )
}
SILENT_ATTEMPT_COUNTER = metrics.declare(
    'upstream.distrusted',
    'Times a silent connection made the others of an upstream prove '
    'themselves.',
)


class Health:
    """Decides if an upstream gets no requests, one at a time, or any number.

    Failures or slow answers exclude an upstream (``shunned`` in metrics and in
    the status for operators).  After an exclusion it is on probation: it gets
    one request at a time until an answer is not an outlier (see
    ``ServiceGroup.is_outlier``).  A silent connection puts the upstream on
    probation without an exclusion; if it is on probation already, it may be
    excluded (see ``record_silent_attempt``).

    Attributes:
        connection_generation: incremented by each ``record_silent_attempt``;
            an idle connection of an older generation is not used again.
    """

    __slots__ = (
        '_consecutive_failures',
        '_excluded_until_ms',
        '_failures_ignored_up_to_ms',
        '_is_on_probation',
        '_next_exclusion_ms',
        'connection_generation',
    )

    def __init__(self):
        self._consecutive_failures = 0
        # A failure of an attempt begun up to this time isn't counted.
        self._failures_ignored_up_to_ms = -1
        self._is_on_probation = False
        self._next_exclusion_ms = MIN_EXCLUSION_MS
        self._excluded_until_ms = 0
        self.connection_generation = 0

    @property
    def is_on_probation(self):
        """True while the upstream gets one request at a time at most."""
        return self._is_on_probation

    def is_excluded(self, now_ms):
        """Tells whether the upstream gets no requests for now."""
        return now_ms < self._excluded_until_ms

    def request_limit(self, now_ms):
        """Returns how many requests the upstream may have in progress."""
        if now_ms < self._excluded_until_ms:
            return 0
        return 1 if self._is_on_probation else NO_REQUEST_LIMIT

    def record_success(self):
        """Ends probation and resets the count of failures.

        The next exclusion lasts ``MIN_EXCLUSION_MS`` again.
        """
        self._consecutive_failures = 0
        self._is_on_probation = False
        self._next_exclusion_ms = MIN_EXCLUSION_MS

    def record_failure(self, attempt_begun_ms, now_ms, *, exclude_at_once):
        """Counts a failed attempt; may exclude the upstream.

        The failure of an attempt begun before the last exclusion or silent
        attempt was recorded is ignored, as it probably has the same cause.

        Args:
            attempt_begun_ms: start of the attempt.
            now_ms: current time.
            exclude_at_once: True if a single failure of this kind excludes
                the upstream.
        """
        if attempt_begun_ms <= self._failures_ignored_up_to_ms:
            return
        self._consecutive_failures += 1
        if (
            exclude_at_once
            or self._is_on_probation
            or self._consecutive_failures >= FAILURES_TO_EXCLUDE
        ):
            self.exclude(now_ms, 'failures')

    def record_silent_attempt(self, attempt_begun_ms, now_ms):
        """Puts the upstream on probation after its connection went silent.

        An upstream that is on probation already is excluded, unless the
        attempt was begun before the last exclusion or silent attempt was
        recorded.

        Args:
            attempt_begun_ms: start of the attempt.
            now_ms: current time.
        """
        metrics.count(SILENT_ATTEMPT_COUNTER)
        self.connection_generation += 1
        if (
            self._is_on_probation
            and attempt_begun_ms > self._failures_ignored_up_to_ms
        ):
            self.exclude(now_ms, 'silent')
        self._is_on_probation = True
        self._failures_ignored_up_to_ms = now_ms

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
        self._failures_ignored_up_to_ms = now_ms
