"""Interface for sending orders to workers."""

import abc

__all__ = ('Driver',)


class Driver(abc.ABC):
    """Carries orders to workers and reports the reply to each of them.

    Each order is reported exactly once.  If no reply came in time, it is
    reported as silent, and the worker may still carry it out later.
    """

    @abc.abstractmethod
    async def start(self, report):
        """Starts the driver.

        Args:
            report: coroutine function that is called with an ``Answered`` for
                each order.
        """

    @abc.abstractmethod
    async def send(self, order):
        """Sends an ``Order`` without waiting for the reply."""

    @abc.abstractmethod
    async def stop(self):
        """Closes all connections to workers."""
