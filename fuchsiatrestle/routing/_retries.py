"""Budget that keeps retries a small part of the requests."""

__all__ = ('RetryBudget',)

MAX_TOKENS = 10.0
TOKENS_PER_MS = 0.001


class RetryBudget:
    """Token bucket filled by requests, and slowly by time."""

    __slots__ = ('_filled_ms', '_tokens')

    def __init__(self, now_ms):
        self._tokens = MAX_TOKENS
        self._filled_ms = now_ms

    def earn(self, percent):
        """Adds what one request allows."""
        self._tokens = min(MAX_TOKENS, self._tokens + percent / 100)

    def spend(self, now_ms):
        """Takes one retry; returns False if the budget is empty."""
        gained = (now_ms - self._filled_ms) * TOKENS_PER_MS
        self._filled_ms = now_ms
        self._tokens = min(MAX_TOKENS, self._tokens + gained)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
