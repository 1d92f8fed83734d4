"""Leases that this leader granted, or must assume were granted.

The giver counts a lease from the moment it answered, with a margin for clock
drift; the worker counts from the moment it sent the report, which is
earlier.  A new leader does not know what its predecessor granted, so it
assumes a full lease from its own start for every worker with a reservation.
"""

import heapq

__all__ = ('LeaseBook',)


class LeaseBook:
    """End of the last lease of each worker.

    Args:
        duration_ms: lease with margin.
        started_ms: start of this leader's term.
    """

    def __init__(self, duration_ms, started_ms):
        self._duration_ms = duration_ms
        self._assumed_ms = started_ms + duration_ms
        self._until = {}
        self._heap = []

    def until(self, worker):
        """Returns the time after which the worker holds no lease."""
        return self._until.get(worker, self._assumed_ms)

    def watch(self, worker, now_ms):
        """Makes sure ``expired`` reports the worker some time."""
        if worker not in self._until:
            until = max(self._assumed_ms, now_ms + self._duration_ms)
            self._until[worker] = until
            heapq.heappush(self._heap, (until, worker))

    def grant(self, worker, now_ms):
        """Notes a lease granted now."""
        self.watch(worker, now_ms)
        self._until[worker] = max(
            self._until[worker], now_ms + self._duration_ms
        )

    def expired(self, now_ms):
        """Returns the workers whose last lease has run out.

        A worker is returned once; ``watch`` or ``grant`` brings it back.
        """
        names = []
        while self._heap and self._heap[0][0] <= now_ms:
            _, worker = heapq.heappop(self._heap)
            until = self._until[worker]
            if until > now_ms:
                heapq.heappush(self._heap, (until, worker))
            else:
                names.append(worker)
                del self._until[worker]
        return names
