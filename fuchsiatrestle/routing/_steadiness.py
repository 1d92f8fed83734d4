"""Evidence that an upstream has ended the work of before.

A frozen upstream keeps requests in its sockets and runs them once it goes on,
long after their senders have given up.  What has to be over by a certain time
is therefore believed over only when the upstream has been heard without a gap
for as long as a request may take.
"""

__all__ = ('ABANDON_HOLD_MS', 'Steadiness')

# An upstream announces itself each second; a longer gap may be a freeze.
STEADY_GAP_MS = 1900
# Covers a freeze within the gap and the way of an announcement.
ABANDON_HOLD_MS = 1000


class Steadiness:
    """When an upstream was heard, and since when without a gap."""

    __slots__ = ('_cleared_ms', '_made_ms', '_since_ms')

    def __init__(self):
        self._made_ms = None
        self._since_ms = 0
        self._cleared_ms = -1

    def hear(self, made_ms):
        """Notes when an announcement was made."""
        last_ms = self._made_ms
        if last_ms is None or made_ms - last_ms > STEADY_GAP_MS:
            self._since_ms = made_ms
        if last_ms is None or made_ms > last_ms:
            self._made_ms = made_ms

    def is_over(self, base_ms, longest_ms):
        """True if work begun by ``base_ms`` has certainly ended.

        Args:
            base_ms: latest time at which the work may have been sent.
            longest_ms: longest time a request may take.
        """
        if base_ms <= self._cleared_ms:
            return True
        if self._made_ms is None:
            return False
        start_ms = max(base_ms, self._since_ms)
        if self._made_ms < start_ms + longest_ms + ABANDON_HOLD_MS:
            return False
        self._cleared_ms = base_ms
        return True
