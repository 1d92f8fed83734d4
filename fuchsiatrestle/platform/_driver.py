"""Carries orders to workers over HTTP."""

import time

import curio

from fuchsiatrestle import logs
from fuchsiatrestle import metrics
from fuchsiatrestle.net import http
from fuchsiatrestle.platform import _workers
from fuchsiatrestle import settings
from fuchsiatrestle import workflows

__all__ = ('HttpDriver',)

# Orders that one worker is sent at a time, besides the look that waits.
PARALLEL_ORDERS = 3
CALL_TIMEOUT_S = 1.0

ORDERS = metrics.declare('workers.orders', 'Orders sent to workers.')
ORDER_TIME = metrics.declare(
    'workers.order_ms', 'Time from an order to its answer, looks left out.'
)
UNANSWERED = metrics.declare(
    'workers.unanswered', 'Orders to workers that got no answer in time.'
)

LOG = logs.get_logger(__name__)


class _Channel:
    """Connections to one worker."""

    __slots__ = ('client', 'slots')

    def __init__(self, address):
        self.client = http.Client(
            settings.Address.parse(address), CALL_TIMEOUT_S
        )
        self.slots = curio.Semaphore(PARALLEL_ORDERS)


class HttpDriver(workflows.Driver):
    """One task an order, a few kept connections a worker."""

    def __init__(self):
        self._channels = {}
        self._report = None

    async def start(self, report):
        """Starts the driver; see ``workflows.Driver``."""
        self._report = report

    async def send(self, order):
        """Takes an order; returns at once."""
        await curio.spawn(self._carry_out, order, daemon=True)

    async def stop(self):
        """Closes the idle connections."""
        for channel in self._channels.values():
            channel.client.close()

    async def _carry_out(self, order):
        metrics.count(ORDERS)
        channel = self._channel(order)
        if isinstance(order, workflows.LookAt):
            timeout_s = CALL_TIMEOUT_S + order.wait_ms / 1000
            reply = await self._call(channel, order, timeout_s)
        else:
            async with channel.slots:
                started_s = time.monotonic()
                reply = await self._call(channel, order, CALL_TIMEOUT_S)
                took_ms = (time.monotonic() - started_s) * 1000
                metrics.timing(ORDER_TIME, took_ms)
        await self._report(workflows.Answered(order, reply))

    def _channel(self, order):
        channel = self._channels.get(order.address)
        if channel is None:
            channel = self._channels[order.address] = _Channel(order.address)
        return channel

    async def _call(self, channel, order, timeout_s):
        path, body = _workers.encode_order(order)
        headers = (
            http.JSON_TYPE,
            (b'fuchsiatrestle-target-instance', order.worker.encode()),
        )
        try:
            response = await channel.client.call(
                'POST', path, body, headers, timeout_s
            )
        except http.HttpFailed as exc:
            metrics.count(UNANSWERED)
            LOG.info(
                'order_unanswered',
                extra={
                    'worker': order.worker,
                    'call': path,
                    'error': str(exc),
                },
            )
            return _workers.silence()
        return _workers.decode_reply(order, response)
