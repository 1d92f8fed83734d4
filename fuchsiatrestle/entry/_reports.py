"""Batching of worker reports that are sent to the control leader."""

import collections

import curio
from returns import result

from fuchsiatrestle import messages
from fuchsiatrestle import metrics

__all__ = ('ReportBatcher',)

# Time for which reports are collected before a batch is sent.
BATCH_DELAY_S = 0.05
MAX_BATCH_REPORTS = 512
MAX_QUEUED_REPORTS = 4096
ANSWER_TIMEOUT_MS = 1500

REPORTS_RECEIVED = metrics.declare('reports.received', 'Reports of workers.')
REPORT_BATCHES = metrics.declare(
    'reports.batches', 'Batches of reports sent on.'
)


class _PendingReport:
    """A report whose sender waits for its orders.

    Attributes:
        report: the ``messages.WorkerReport``.
        orders: the ``messages.WorkerOrders``; None until they arrive.  Stays
            None if control gives none within ``ANSWER_TIMEOUT_MS``.
        answered_event: event that is set once ``orders`` is final.
    """

    __slots__ = ('answered_event', 'orders', 'report')

    def __init__(self, report):
        self.report = report
        self.orders = None
        self.answered_event = curio.Event()


class ReportBatcher:
    """Collects reports for ``BATCH_DELAY_S`` and sends them together.

    One message for up to ``MAX_BATCH_REPORTS`` reports spares the control
    leader a call per worker.

    Args:
        entry: name of this entry.
        client: the ``control_client.ControlClient``.
    """

    def __init__(self, entry, client):
        self._entry = entry
        self._client = client
        self._queued_reports = collections.deque()
        self._wakeup = curio.Event()

    async def send_report(self, report):
        """Sends a ``messages.WorkerReport`` and waits for the orders.

        Returns:
            The ``messages.WorkerOrders``, or None if too many reports are
            queued or control gave no orders within ``ANSWER_TIMEOUT_MS``.
        """
        metrics.count(REPORTS_RECEIVED)
        if len(self._queued_reports) >= MAX_QUEUED_REPORTS:
            return None
        pending_report = _PendingReport(report)
        self._queued_reports.append(pending_report)
        await self._wakeup.set()
        await pending_report.answered_event.wait()
        return pending_report.orders

    async def send_reports_forever(self):
        """Sends the queued reports, each batch in a task of its own."""
        while True:
            await self._wakeup.wait()
            await curio.sleep(BATCH_DELAY_S)
            self._wakeup.clear()
            while self._queued_reports:
                batch_size = min(len(self._queued_reports), MAX_BATCH_REPORTS)
                batch = [
                    self._queued_reports.popleft() for _ in range(batch_size)
                ]
                await curio.spawn(self._send_batch, batch, daemon=True)

    async def _send_batch(self, batch):
        metrics.count(REPORT_BATCHES)
        reports = [pending_report.report for pending_report in batch]
        message = messages.ReportBatch(0, self._entry, reports)
        call_result = await self._client.call(message, ANSWER_TIMEOUT_MS)
        orders_by_report = {}
        if isinstance(call_result, result.Success):
            received_orders = getattr(call_result.unwrap(), 'orders', [])
            orders_by_report = {
                _get_report_key(order): order for order in received_orders
            }
        for pending_report in batch:
            pending_report.orders = orders_by_report.get(
                _get_report_key(pending_report.report)
            )
            await pending_report.answered_event.set()


def _get_report_key(record):
    """Returns the key that a report shares with the orders that answer it."""
    return record.worker, record.incarnation, record.seq
