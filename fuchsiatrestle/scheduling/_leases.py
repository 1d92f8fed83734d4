"""Leases that this leader granted, or must assume were granted.

The giver counts a lease from the moment it answered, with a margin for clock
drift; the worker counts from the moment it sent the report, which is
earlier.  A new leader does not know what its predecessor granted, so it
assumes a full lease from its own start for every worker with a reservation.
"""

import heapq

__all__ = ('LeaseTracker',)


class LeaseTracker:
    """End of the last lease of each worker.

    Args:
        duration_ms: lease with margin.
        started_ms: start of this leader's term.
    """

    def __init__(self, duration_ms, started_ms):
        self._duration_ms = duration_ms
        self._assumed_end_ms = started_ms + duration_ms
        self._end_ms_by_worker = {}
        self._heap = []

    def end_ms(self, worker):
        """Returns the time after which the worker holds no lease."""
        return self._end_ms_by_worker.get(worker, self._assumed_end_ms)

    def track_worker(self, worker, now_ms):
        """Makes sure ``expired`` reports the worker some time."""
        if worker not in self._end_ms_by_worker:
            end_ms = max(self._assumed_end_ms, now_ms + self._duration_ms)
            self._end_ms_by_worker[worker] = end_ms
            heapq.heappush(self._heap, (end_ms, worker))

    def record_grant(self, worker, now_ms):
        """Notes a lease granted now."""
        self.track_worker(worker, now_ms)
        self._end_ms_by_worker[worker] = max(
            self._end_ms_by_worker[worker], now_ms + self._duration_ms
        )

    def pop_expired(self, now_ms):
        """Returns the workers whose last lease has run out.

        A worker is returned once; ``watch`` or ``grant`` brings it back.
        """
        names = []
        while self._heap and self._heap[0][0] <= now_ms:
            _, worker = heapq.heappop(self._heap)
            end_ms = self._end_ms_by_worker[worker]
            if end_ms > now_ms:
                heapq.heappush(self._heap, (end_ms, worker))
            else:
                names.append(worker)
                del self._end_ms_by_worker[worker]
        return names
