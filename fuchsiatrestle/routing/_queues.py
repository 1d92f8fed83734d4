"""Requests of one service that wait for a slot."""

import heapq

import sortedcontainers

__all__ = ('ServiceQueue',)


class ServiceQueue:
    """Waiting requests, by priority and then by deadline.

    Items need ``request_id``, ``priority`` and ``deadline_ms``.
    """

    def __init__(self):
        self._order = sortedcontainers.SortedList()
        self._items = {}
        self._deadlines = []

    def __len__(self):
        return len(self._items)

    def ahead_of(self, item):
        """Returns how many waiting requests come before ``item``."""
        return self._order.bisect_left(_rank(item))

    def push(self, item):
        """Adds a request."""
        self._order.add(_rank(item))
        self._items[item.request_id] = item
        heapq.heappush(self._deadlines, (item.deadline_ms, item.request_id))

    def pop(self):
        """Removes and returns the first request."""
        *_, request_id = self._order.pop(0)
        return self._items.pop(request_id)

    def push_back(self, item):
        """Puts a popped request back without a second deadline entry."""
        self._order.add(_rank(item))
        self._items[item.request_id] = item

    def last(self):
        """Returns the request that would be shed first."""
        return self._items[self._order[-1][-1]]

    def remove(self, item):
        """Removes a request if it waits; returns True if it did."""
        if self._items.pop(item.request_id, None) is None:
            return False
        self._order.remove(_rank(item))
        return True

    def pop_expired(self, now_ms):
        """Removes and returns requests whose deadline has passed."""
        expired = []
        while self._deadlines and self._deadlines[0][0] <= now_ms:
            _, request_id = heapq.heappop(self._deadlines)
            item = self._items.get(request_id)
            if item is not None and item.deadline_ms <= now_ms:
                self.remove(item)
                expired.append(item)
        return expired


def _rank(item):
    return item.priority, item.deadline_ms, item.request_id
