"""Inbox: a queue that any thread puts to and curio tasks read.

``put`` never waits and takes no lock that a reader holds, so that it may be
called from every thread, the one that runs curio included.
"""

import collections
from concurrent import futures

import curio

__all__ = ('Inbox',)


class Inbox:
    """An unbounded queue from any thread to curio tasks, in order.

    An item leaves the queue in the step in which ``get`` returns it: a reader
    that is cancelled before has taken nothing.
    """

    __slots__ = ('_items', '_wakeups')

    def __init__(self):
        self._items = collections.deque()
        # A future for each reader that waits.
        self._wakeups = set()

    def put(self, item):
        """Appends an item and wakes the readers that wait."""
        self._items.append(item)
        while self._wakeups:
            try:
                self._wakeups.pop().set_result(None)
            except KeyError:
                # Another thread has woken the last reader.
                return
            except futures.InvalidStateError:
                # The reader was cancelled while it waited.
                continue

    async def get(self):
        """Waits for an item, removes it from the queue and returns it."""
        while not self._items:
            wakeup = futures.Future()
            self._wakeups.add(wakeup)
            try:
                # A ``put`` that came before the future was added does not
                # complete it.
                if not self._items:
                    await curio.traps._future_wait(wakeup)
            finally:
                self._wakeups.discard(wakeup)
        return self._items.popleft()
