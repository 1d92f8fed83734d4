"""The task that holds back orders while the leadership is not confirmed."""

import collections

import curio

from fuchsiatrestle import daemon
from fuchsiatrestle import logs
from fuchsiatrestle import metrics

__all__ = ('OrderTask',)

# Interval at which held orders are checked while there are any.
HELD_CHECK_INTERVAL_S = 0.02
# Shortest time between two reports of held orders, and from the first of them
# to the first report.
REPORT_INTERVAL_MS = 1000

HELD_ORDERS = metrics.declare(
    'orders.held', 'Orders held until the leadership was confirmed.'
)
DROPPED_ORDERS = metrics.declare(
    'orders.dropped', 'Held orders dropped, as their term is no longer led.'
)

LOG = logs.get_logger(__name__)


class OrderTask:
    """Sends orders to the driver, in order, while the leadership is confirmed.

    A new leader assumes that earlier ones make no more orders.  So an order
    waits here while another replica may have been elected, and is dropped
    once its term, which is its ``token``, is no longer led.

    Args:
        leadership: the ``_leadership.Leadership`` of this replica.
        driver: the ``workflows.Driver``.
    """

    def __init__(self, leadership, driver):
        self._leadership = leadership
        self._driver = driver
        # Orders that wait, oldest first.
        self._held_orders = collections.deque()
        self._orders_are_held = curio.Event()
        # Time from which orders have been held without a break, and of the
        # next report of them.
        self._held_since_ms = 0
        self._next_report_ms = 0

    async def send(self, order):
        """Sends an order at once if possible, otherwise holds it."""
        if not self._held_orders and self._may_send(order):
            await self._driver.send(order)
            return
        metrics.count(HELD_ORDERS)
        if not self._held_orders:
            self._held_since_ms = daemon.monotonic_ms()
            self._next_report_ms = self._held_since_ms + REPORT_INTERVAL_MS
        self._held_orders.append(order)
        await self._orders_are_held.set()

    def _may_send(self, order):
        return self._leadership.may_order(order.token, daemon.monotonic_ms())

    async def run(self):
        """Sends or drops the held orders until cancelled."""
        while True:
            await self._orders_are_held.wait()
            self._orders_are_held.clear()
            while self._held_orders:
                await curio.sleep(HELD_CHECK_INTERVAL_S)
                self._drop_outdated_orders()
                await self._send_confirmed_orders()
                self._report_held_orders_if_due()

    def _drop_outdated_orders(self):
        held_orders = self._held_orders
        dropped_count = 0
        while held_orders and not self._leadership.leads(held_orders[0].token):
            held_orders.popleft()
            dropped_count += 1
        if dropped_count:
            metrics.count(DROPPED_ORDERS, dropped_count)
            LOG.info('orders_dropped', extra={'count': dropped_count})

    def _report_held_orders_if_due(self):
        """Logs, at most once a second, that orders wait to be sent."""
        now_ms = daemon.monotonic_ms()
        if not self._held_orders or now_ms < self._next_report_ms:
            return
        self._next_report_ms = now_ms + REPORT_INTERVAL_MS
        LOG.warning(
            'orders_held',
            extra={
                'count': len(self._held_orders),
                'token': self._held_orders[0].token,
                'waited_ms': now_ms - self._held_since_ms,
            },
        )

    async def _send_confirmed_orders(self):
        # An order leaves the queue only after it was sent, so that no later
        # one overtakes it.
        while self._held_orders and self._may_send(self._held_orders[0]):
            await self._driver.send(self._held_orders[0])
            self._held_orders.popleft()
