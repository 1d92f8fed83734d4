"""Requests of one service that wait for a slot."""

import heapq

import sortedcontainers

__all__ = ('ServiceQueue',)


class ServiceQueue:
    """Waiting requests, ordered by priority and then by deadline.

    A request needs the attributes ``request_id``, ``priority`` and
    ``deadline_ms``.
    """

    def __init__(self):
        self._sort_keys = sortedcontainers.SortedList()
        self._requests_by_id = {}
        # Heap of (deadline_ms, request_id).  The pair of a request that
        # leaves the queue stays on the heap until the deadline.
        self._deadline_heap = []

    def __len__(self):
        return len(self._requests_by_id)

    def count_ahead(self, request):
        """Counts the waiting requests that go before ``request``."""
        return self._sort_keys.bisect_left(_sort_key(request))

    def push(self, request):
        """Adds a request."""
        self._sort_keys.add(_sort_key(request))
        self._requests_by_id[request.request_id] = request
        heapq.heappush(
            self._deadline_heap, (request.deadline_ms, request.request_id)
        )

    def pop(self):
        """Removes and returns the request that is served first."""
        *_, request_id = self._sort_keys.pop(0)
        return self._requests_by_id.pop(request_id)

    def put_back(self, request):
        """Puts back a popped request, whose deadline is still on the heap."""
        self._sort_keys.add(_sort_key(request))
        self._requests_by_id[request.request_id] = request

    def get_last(self):
        """Returns the request that is served last and shed first."""
        return self._requests_by_id[self._sort_keys[-1][-1]]

    def remove(self, request):
        """Removes a request if it waits; returns True if it did."""
        if self._requests_by_id.pop(request.request_id, None) is None:
            return False
        self._sort_keys.remove(_sort_key(request))
        return True

    def pop_expired(self, now_ms):
        """Removes and returns the requests whose deadline has passed."""
        expired_requests = []
        while self._deadline_heap and self._deadline_heap[0][0] <= now_ms:
            _, request_id = heapq.heappop(self._deadline_heap)
            request = self._requests_by_id.get(request_id)
            if request is not None and request.deadline_ms <= now_ms:
                self.remove(request)
                expired_requests.append(request)
        return expired_requests


def _sort_key(request):
    """Returns the sort key of a request; ``request_id`` makes it unique."""
    return request.priority, request.deadline_ms, request.request_id
