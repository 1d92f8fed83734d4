"""Budget that keeps retries to a small part of the requests."""

__all__ = ('RetryBudget',)

MAX_TOKENS = 10.0
# One retry a second is possible even if few requests arrive.
TOKENS_PER_MS = 0.001


class RetryBudget:
    """Token bucket filled by each request, and by time (``TOKENS_PER_MS``).

    A retry costs one token.
    """

    __slots__ = ('_last_refill_ms', '_tokens')

    def __init__(self, now_ms):
        self._tokens = MAX_TOKENS
        self._last_refill_ms = now_ms

    def credit_request(self, retry_percent):
        """Adds ``retry_percent`` hundredths of a token for one request."""
        self._tokens = min(MAX_TOKENS, self._tokens + retry_percent / 100)

    def try_spend_token(self, now_ms):
        """Spends the token for one retry, if there is one.

        Returns:
            True if it was spent; False if the retry must not be made.
        """
        gained_tokens = (now_ms - self._last_refill_ms) * TOKENS_PER_MS
        self._last_refill_ms = now_ms
        self._tokens = min(MAX_TOKENS, self._tokens + gained_tokens)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
