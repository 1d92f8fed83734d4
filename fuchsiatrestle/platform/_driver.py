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

CALL_TIMEOUT_S = 1.0  # without the delay that a ``PollWorker`` asks for

MAX_SEND_S = workflows.MAX_SEND_MS / 1000

SENT_ORDERS = metrics.declare('workers.orders', 'Orders sent to workers.')
ORDER_TIME = metrics.declare(
    'workers.order_ms', 'Time from an order to its answer, looks left out.'
)
UNANSWERED_ORDERS = metrics.declare(
    'workers.unanswered', 'Orders to workers that got no answer in time.'
)

LOG = logs.get_logger(__name__)


def read_clock_s():
    """Returns time in seconds that goes on while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class HttpDriver(workflows.Driver):
    """Sends each order at once, in a task of its own.

    No order waits here, as it could be sent when it is not wanted any more;
    the dispatcher limits how many wait for a worker.  See
    ``workflows.Driver``.
    """

    def __init__(self):
        self._clients_by_address = {}
        self._report_reply = None

    async def start(self, report_reply):
        """Stores the coroutine function to which each answer is reported."""
        self._report_reply = report_reply

    async def send(self, order):
        """Starts to send an order; returns before it is sent."""
        await curio.spawn(
            self._send_and_report, order, read_clock_s(), daemon=True
        )

    async def stop(self):
        """Closes the idle connections to all workers."""
        for client in self._clients_by_address.values():
            client.close()

    async def _send_and_report(self, order, ordered_s):
        metrics.count(SENT_ORDERS)
        client = self._get_or_create_client(order)
        timeout_s = CALL_TIMEOUT_S
        is_poll = isinstance(order, workflows.PollWorker)
        if is_poll:
            timeout_s += order.wait_ms / 1000
        started_s = time.monotonic()
        reply = await self._call_worker(client, order, ordered_s, timeout_s)
        if not is_poll:
            elapsed_ms = (time.monotonic() - started_s) * 1000
            metrics.timing(ORDER_TIME, elapsed_ms)
        await self._report_reply(workflows.ReplyReceived(order, reply))

    def _get_or_create_client(self, order):
        client = self._clients_by_address.get(order.address)
        if client is None:
            address = settings.Address.parse(order.address)
            client = http.Client(address, CALL_TIMEOUT_S)
            self._clients_by_address[order.address] = client
        return client

    async def _call_worker(self, client, order, ordered_s, timeout_s):
        """Sends an order and returns the ``workflows.Reply`` of the worker.

        Without an answer within ``timeout_s`` the verdict of the reply is
        ``SILENT``.  So it is if this process was paused since ``ordered_s``,
        and the order is too old to be sent.
        """

        def is_recent():
            return read_clock_s() - ordered_s <= MAX_SEND_S

        path, body = _workers.encode_order(order)
        headers = (
            http.JSON_TYPE,
            (b'fuchsiatrestle-target-instance', order.worker.encode()),
        )
        try:
            response = await client.call(
                'POST', path, body, headers, timeout_s, is_recent
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
