"""Port to the workers."""

import abc

__all__ = ('Driver',)


class Driver(abc.ABC):
    """Carries orders to workers and reports every answer.

    An order is reported exactly once, as silent if no answer came in time;
    it may then still be carried out later.
    """

    @abc.abstractmethod
    async def start(self, report):
        """Starts the driver.

        Args:
            report: coroutine function, called with ``Answered``.
        """

    @abc.abstractmethod
    async def send(self, order):
        """Takes an ``Order``; returns at once."""

    @abc.abstractmethod
    async def stop(self):
        """Closes all connections."""
