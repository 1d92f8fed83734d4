"""Driver that sends orders to workers over HTTP."""

import time

import curio

from fuchsiatrestle import logs
from fuchsiatrestle import metrics
from fuchsiatrestle.net import http
from fuchsiatrestle.platform import _workers
from fuchsiatrestle import settings
from fuchsiatrestle import workflows

__all__ = ('HttpDriver',)

# Largest number of orders that one worker is sent at a time.  ``PollWorker``
# is not counted, as it asks the worker to delay its answer.
MAX_PARALLEL_ORDERS = 3
CALL_TIMEOUT_S = 1.0  # without the delay that a ``PollWorker`` asks for

SENT_ORDERS = metrics.declare('workers.orders', 'Orders sent to workers.')
ORDER_TIME = metrics.declare(
    'workers.order_ms', 'Time from an order to its answer, looks left out.'
)
UNANSWERED_ORDERS = metrics.declare(
    'workers.unanswered', 'Orders to workers that got no answer in time.'
)

LOG = logs.get_logger(__name__)


class _WorkerChannel:
    """HTTP client for one worker address, with a limit on its orders.

    Attributes:
        client: the ``http.Client``, which keeps its connections.
        order_slots: semaphore that limits the orders sent at a time.
    """

    __slots__ = ('client', 'order_slots')

    def __init__(self, address):
        self.client = http.Client(
            settings.Address.parse(address), CALL_TIMEOUT_S
        )
        self.order_slots = curio.Semaphore(MAX_PARALLEL_ORDERS)


class HttpDriver(workflows.Driver):
    """Sends each order in a task of its own; see ``workflows.Driver``."""

    def __init__(self):
        self._channels_by_address = {}
        self._report_reply = None

    async def start(self, report_reply):
        """Stores the coroutine function to which each answer is reported."""
        self._report_reply = report_reply

    async def send(self, order):
        """Starts to send an order; returns before it is sent."""
        await curio.spawn(self._send_and_report, order, daemon=True)

    async def stop(self):
        """Closes the idle connections to all workers."""
        for channel in self._channels_by_address.values():
            channel.client.close()

    async def _send_and_report(self, order):
        metrics.count(SENT_ORDERS)
        channel = self._get_or_create_channel(order)
        if isinstance(order, workflows.PollWorker):
            timeout_s = CALL_TIMEOUT_S + order.wait_ms / 1000
            reply = await self._call_worker(channel, order, timeout_s)
        else:
            async with channel.order_slots:
                started_s = time.monotonic()
                reply = await self._call_worker(channel, order, CALL_TIMEOUT_S)
                elapsed_ms = (time.monotonic() - started_s) * 1000
                metrics.timing(ORDER_TIME, elapsed_ms)
        await self._report_reply(workflows.ReplyReceived(order, reply))

    def _get_or_create_channel(self, order):
        channel = self._channels_by_address.get(order.address)
        if channel is None:
            channel = self._channels_by_address[order.address] = (
                _WorkerChannel(order.address)
            )
        return channel

    async def _call_worker(self, channel, order, timeout_s):
        """Sends an order and returns the ``workflows.Reply`` of the worker.

        Without an answer within ``timeout_s`` the verdict of the reply is
        ``SILENT``.
        """
        path, body = _workers.encode_order(order)
        headers = (
            http.JSON_TYPE,
            (b'fuchsiatrestle-target-instance', order.worker.encode()),
        )
        try:
            response = await channel.client.call(
                'POST', path, body, headers, timeout_s
            )
        except http.HttpError as exc:
            metrics.count(UNANSWERED_ORDERS)
            LOG.info(
                'order_unanswered',
                extra={
                    'worker': order.worker,
                    'call': path,
                    'error': str(exc),
                },
            )
            return _workers.make_silent_reply()
        return _workers.decode_reply(order, response)
