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
        self._ranks = sortedcontainers.SortedList()
        self._requests = {}
        # Heap of (deadline_ms, request_id).  The pair of a request that
        # leaves the queue stays on the heap until the deadline.
        self._deadlines = []

    def __len__(self):
        return len(self._requests)

    def count_ahead(self, request):
        """Counts the waiting requests that go before ``request``."""
        return self._ranks.bisect_left(_rank(request))

    def push(self, request):
        """Adds a request."""
        self._ranks.add(_rank(request))
        self._requests[request.request_id] = request
        heapq.heappush(
            self._deadlines, (request.deadline_ms, request.request_id)
        )

    def pop(self):
        """Removes and returns the request that is served first."""
        *_, request_id = self._ranks.pop(0)
        return self._requests.pop(request_id)

    def put_back(self, request):
        """Puts back a popped request, whose deadline is still on the heap."""
        self._ranks.add(_rank(request))
        self._requests[request.request_id] = request

    def get_last(self):
        """Returns the request that is served last and shed first."""
        return self._requests[self._ranks[-1][-1]]

    def remove(self, request):
        """Removes a request if it waits; returns True if it did."""
        if self._requests.pop(request.request_id, None) is None:
            return False
        self._ranks.remove(_rank(request))
        return True

    def pop_expired(self, now_ms):
        """Removes and returns the requests whose deadline has passed."""
        expired_requests = []
        while self._deadlines and self._deadlines[0][0] <= now_ms:
            _, request_id = heapq.heappop(self._deadlines)
            request = self._requests.get(request_id)
            if request is not None and request.deadline_ms <= now_ms:
                self.remove(request)
                expired_requests.append(request)
        return expired_requests


def _rank(request):
    """Returns the sort key of a request; ``request_id`` makes it unique."""
    return request.priority, request.deadline_ms, request.request_id
