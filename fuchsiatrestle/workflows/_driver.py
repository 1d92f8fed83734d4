"""Interface for sending orders to workers."""

import abc

__all__ = ('MAX_SEND_MS', 'Driver')

# Longest time from ``Driver.send`` until the last byte of an order has left.
# Later ones are dropped: another leader may have been elected, which relies on
# it that no order of an earlier one reaches a process that starts later.
MAX_SEND_MS = 1000


class Driver(abc.ABC):
    """Carries orders to workers and reports the reply to each of them.

    The reply to each order is reported exactly once.  If none came before the
    driver's timeout, it is a ``Reply`` with ``Verdict.SILENT``, and the worker
    may still carry out the order later.
    """

    @abc.abstractmethod
    async def start(self, report_reply):
        """Starts the driver.

        Args:
            report_reply: coroutine function that is called with a
                ``ReplyReceived`` for each order.
        """

    @abc.abstractmethod
    async def send(self, order):
        """Sends an ``Order`` without waiting for the reply.

        It is sent within ``MAX_SEND_MS``, or not at all, on a connection to a
        process that accepts it within that time.
        """

    @abc.abstractmethod
    async def stop(self):
        """Closes all connections to workers."""
