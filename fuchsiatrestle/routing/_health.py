"""When an upstream is given no work, or one request at a time."""

from fuchsiatrestle import metrics

__all__ = ('Health',)

SHUN_MIN_MS = 250
SHUN_MAX_MS = 10000
FAILURES_IN_A_ROW = 3
UNLIMITED = 1 << 30

SHUNNED = {
    reason: metrics.declare(f'upstream.shunned_{reason}', description)
    for reason, description in (
        ('failures', 'Upstreams given no work for a time after failures.'),
        ('slow', 'Upstreams given no work for a time as outliers.'),
        ('silent', 'Upstreams given no work for a time after silence.'),
    )
}
DISTRUSTED = metrics.declare(
    'upstream.distrusted',
    'Times a silent connection made the others of an upstream prove '
    'themselves.',
)


class Health:
    """Failures, silence and slowness of one upstream.

    After an exclusion the upstream is on probation: it gets one request at a
    time until one is answered well.

    Attributes:
        generation: grows with each silence; connections of an older one are
            not reused.
    """

    __slots__ = (
        '_failures',
        '_judged_ms',
        '_probation',
        '_shun_ms',
        '_shunned_until_ms',
        'generation',
    )

    def __init__(self):
        self._failures = 0
        self._judged_ms = -1
        self._probation = False
        self._shun_ms = SHUN_MIN_MS
        self._shunned_until_ms = 0
        self.generation = 0

    @property
    def on_probation(self):
        """True if one request at a time has to prove the upstream."""
        return self._probation

    def is_shunned(self, now_ms):
        """True while the upstream is given no work."""
        return now_ms < self._shunned_until_ms

    def limit(self, now_ms):
        """Returns how many requests it may have in progress."""
        if now_ms < self._shunned_until_ms:
            return 0
        return 1 if self._probation else UNLIMITED

    def succeed(self):
        """Notes a whole answer."""
        self._failures = 0
        self._probation = False
        self._shun_ms = SHUN_MIN_MS

    def fail(self, begun_ms, now_ms, *, at_once):
        """Notes a failed attempt.

        Attempts begun before the last judgement tell nothing new.

        Args:
            begun_ms: start of the attempt.
            now_ms: time now.
            at_once: True if one such failure is enough to shun.
        """
        if begun_ms <= self._judged_ms:
            return
        self._failures += 1
        if at_once or self._probation or self._failures >= FAILURES_IN_A_ROW:
            self.shun(now_ms, 'failures')

    def distrust(self, begun_ms, now_ms):
        """Notes that a connection has been silent since ``begun_ms``."""
        metrics.count(DISTRUSTED)
        self.generation += 1
        if self._probation and begun_ms > self._judged_ms:
            self.shun(now_ms, 'silent')
        self._probation = True
        self._judged_ms = now_ms

    def shun(self, now_ms, reason):
        """Excludes the upstream for a time that doubles on repetition."""
        metrics.count(SHUNNED[reason])
        self._shunned_until_ms = now_ms + self._shun_ms
        self._shun_ms = min(2 * self._shun_ms, SHUN_MAX_MS)
        self._probation = True
        self._failures = 0
        self._judged_ms = now_ms
