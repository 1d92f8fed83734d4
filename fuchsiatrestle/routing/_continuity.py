"""Evidence that an upstream has ended requests sent to it earlier.

A frozen upstream keeps requests in its socket buffers and runs them when it
continues, long after their senders have given up.  Elapsed time alone thus
doesn't show that a request has ended.  A request is taken to have ended only
once the upstream has announced itself without a gap for as long as the request
may take.
"""

__all__ = ('REQUEST_END_MARGIN_MS', 'AnnouncementContinuity')

# An upstream announces itself each second; a gap longer than this may be a
# freeze.
MAX_GAP_MS = 1900
# A request counts as ended only once the upstream, after the request was sent,
# has announced itself without a gap for the longest time that the request may
# take plus this margin.  The margin allows for a freeze too short to show as a
# gap, and for the time that an announcement is on its way.
REQUEST_END_MARGIN_MS = 1000


class AnnouncementContinuity:
    """Time during which an upstream announced itself without a gap.

    A gap is a time of more than ``MAX_GAP_MS`` between two announcements.
    """

    __slots__ = (
        '_last_announcement_ms',
        '_requests_ended_up_to_ms',
        '_without_gap_since_ms',
    )

    def __init__(self):
        self._last_announcement_ms = None
        self._without_gap_since_ms = 0
        # Requests sent up to this time have ended.
        self._requests_ended_up_to_ms = -1

    def record_announcement(self, received_ms):
        """Records an announcement.

        Args:
            received_ms: earliest time at which this or another entry may have
                received it from the upstream itself.
        """
        last_announcement_ms = self._last_announcement_ms
        if (
            last_announcement_ms is None
            or received_ms - last_announcement_ms > MAX_GAP_MS
        ):
            self._without_gap_since_ms = received_ms
        if last_announcement_ms is None or received_ms > last_announcement_ms:
            self._last_announcement_ms = received_ms

    def have_requests_ended(self, sent_ms, longest_request_ms):
        """Tells whether requests sent up to a time must have ended.

        Args:
            sent_ms: latest time at which the requests may have been sent.
            longest_request_ms: longest time that one of them may take.
        """
        if sent_ms <= self._requests_ended_up_to_ms:
            return True
        if self._last_announcement_ms is None:
            return False
        evidence_start_ms = max(sent_ms, self._without_gap_since_ms)
        if self._last_announcement_ms < (
            evidence_start_ms + longest_request_ms + REQUEST_END_MARGIN_MS
        ):
            return False
        self._requests_ended_up_to_ms = sent_ms
        return True
