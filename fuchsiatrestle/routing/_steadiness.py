"""Evidence that an upstream has ended requests sent to it earlier.

A frozen upstream keeps requests in its socket buffers and runs them when it
continues, long after their senders have given up.  Elapsed time alone thus
doesn't show that a request has ended.  It is taken to have ended only once
the upstream has announced itself without a gap for as long as the request may
take.
"""

__all__ = ('ABANDON_HOLD_MS', 'AnnouncementContinuity')

# An upstream announces itself each second; a longer gap may be a freeze.
MAX_GAP_MS = 1900
# Covers a freeze that fits into the allowed gap, and the time that an
# announcement is on its way.
ABANDON_HOLD_MS = 1000


class AnnouncementContinuity:
    """Time during which an upstream announced itself without a gap."""

    __slots__ = ('_announced_ms', '_ended_up_to_ms', '_unbroken_since_ms')

    def __init__(self):
        self._announced_ms = None
        self._unbroken_since_ms = 0
        self._ended_up_to_ms = -1

    def record_announcement(self, made_ms):
        """Records an announcement that the upstream made at ``made_ms``."""
        last_ms = self._announced_ms
        if last_ms is None or made_ms - last_ms > MAX_GAP_MS:
            self._unbroken_since_ms = made_ms
        if last_ms is None or made_ms > last_ms:
            self._announced_ms = made_ms

    def has_ended(self, sent_ms, longest_request_ms):
        """Tells whether requests sent up to a time must have ended.

        Args:
            sent_ms: latest time at which the requests may have been sent.
            longest_request_ms: longest time that one of them may take.
        """
        if sent_ms <= self._ended_up_to_ms:
            return True
        if self._announced_ms is None:
            return False
        start_ms = max(sent_ms, self._unbroken_since_ms)
        if self._announced_ms < (
            start_ms + longest_request_ms + ABANDON_HOLD_MS
        ):
            return False
        self._ended_up_to_ms = sent_ms
        return True
