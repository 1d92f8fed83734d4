"""Log lines of refused clients, few however many are refused."""

from fuchsiatrestle import logs

__all__ = ('RefusalLog',)

INTERVAL_S = 10.0

LOG = logs.get_logger(__name__)


class RefusalLog:
    """Counts the refusals of one listener and logs the sums.

    Each reason has one line in ``INTERVAL_S`` at most.

    Args:
        listener: address of the listener.
    """

    __slots__ = ('_due_s', '_last_host_by_reason', '_listener', '_new_counts')

    def __init__(self, listener):
        self._listener = listener
        self._due_s = 0.0
        self._new_counts = {}
        self._last_host_by_reason = {}

    def count(self, reason, host):
        """Counts one refusal.

        Args:
            reason: machine-readable reason, one of a fixed set.
            host: IP address of the client.
        """
        self._new_counts[reason] = self._new_counts.get(reason, 0) + 1
        self._last_host_by_reason[reason] = host

    def write_if_due(self, now_s):
        """Logs what was counted since the last lines, if these are old enough.

        Args:
            now_s: monotonic time in seconds.
        """
        if not self._new_counts or now_s < self._due_s:
            return
        self._due_s = now_s + INTERVAL_S
        for reason, refused_count in self._new_counts.items():
            LOG.warning(
                'clients_refused',
                extra={
                    'listener': self._listener,
                    'reason': reason,
                    'count': refused_count,
                    'last_peer': self._last_host_by_reason[reason],
                },
            )
        self._new_counts = {}
