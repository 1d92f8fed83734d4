"""Leases that this leader granted, or has to assume were granted.

The leader counts a lease from its answer, plus a margin for clock drift.  The
worker counts it from the report that was answered, which is earlier.  So a
lease has ended on the worker before it ends by the leader's count.  A new
leader doesn't know which leases its predecessor granted.  It assumes that each
worker with a reservation got a full lease when the new leader's term began.
"""

import heapq

__all__ = ('LeaseTracker',)


class LeaseTracker:
    """Tracks when the last lease of each worker ends.

    Args:
        lease_duration_ms: length of a lease, margin included.
        started_ms: monotonic time at which this leader's scheduler starts.
    """

    def __init__(self, lease_duration_ms, started_ms):
        self._lease_duration_ms = lease_duration_ms
        self._assumed_lease_end_ms = started_ms + lease_duration_ms
        self._lease_end_ms_by_worker = {}
        self._lease_end_heap = []

    def end_ms(self, worker_name):
        """Returns the time after which the worker has no lease."""
        return self._lease_end_ms_by_worker.get(
            worker_name, self._assumed_lease_end_ms
        )

    def track_worker(self, worker_name, now_ms):
        """Makes ``pop_expired`` return the worker when its lease has ended."""
        if worker_name not in self._lease_end_ms_by_worker:
            end_ms = max(
                self._assumed_lease_end_ms, now_ms + self._lease_duration_ms
            )
            self._lease_end_ms_by_worker[worker_name] = end_ms
            heapq.heappush(self._lease_end_heap, (end_ms, worker_name))

    def record_grant(self, worker_name, now_ms):
        """Records a lease granted now."""
        self.track_worker(worker_name, now_ms)
        self._lease_end_ms_by_worker[worker_name] = max(
            self._lease_end_ms_by_worker[worker_name],
            now_ms + self._lease_duration_ms,
        )

    def pop_expired(self, now_ms):
        """Returns the workers whose last lease has ended since the last call.

        A worker is returned once, unless ``track_worker`` or ``record_grant``
        adds it again.
        """
        expired_workers = []
        while self._lease_end_heap and self._lease_end_heap[0][0] <= now_ms:
            _, worker_name = heapq.heappop(self._lease_end_heap)
            end_ms = self._lease_end_ms_by_worker[worker_name]
            if end_ms > now_ms:
                heapq.heappush(self._lease_end_heap, (end_ms, worker_name))
            else:
                expired_workers.append(worker_name)
                del self._lease_end_ms_by_worker[worker_name]
        return expired_workers
