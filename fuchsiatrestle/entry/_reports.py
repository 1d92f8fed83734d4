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
        orders: the ``messages.WorkerOrders``; None until they arrive, and
            for good if control gives none within ``ANSWER_TIMEOUT_MS``.
        answered: event that is set once ``orders`` is final.
    """

    __slots__ = ('answered', 'orders', 'report')

    def __init__(self, report):
        self.report = report
        self.orders = None
        self.answered = curio.Event()


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
        self._queue = collections.deque()
        self._wakeup = curio.Event()

    async def send_report(self, report):
        """Sends a ``messages.WorkerReport`` and waits for the orders.

        Returns:
            The ``messages.WorkerOrders``, or None if too many reports are
            queued or control gave no orders within ``ANSWER_TIMEOUT_MS``.
        """
        metrics.count(REPORTS_RECEIVED)
        if len(self._queue) >= MAX_QUEUED_REPORTS:
            return None
        pending_report = _PendingReport(report)
        self._queue.append(pending_report)
        await self._wakeup.set()
        await pending_report.answered.wait()
        return pending_report.orders

    async def send_forever(self):
        """Sends the queued reports, each batch in a task of its own."""
        while True:
            await self._wakeup.wait()
            await curio.sleep(BATCH_DELAY_S)
            self._wakeup.clear()
            while self._queue:
                count = min(len(self._queue), MAX_BATCH_REPORTS)
                batch = [self._queue.popleft() for _ in range(count)]
                await curio.spawn(self._send_batch, batch, daemon=True)

    async def _send_batch(self, batch):
        metrics.count(REPORT_BATCHES)
        reports = [pending_report.report for pending_report in batch]
        message = messages.ReportBatch(0, self._entry, reports)
        answer = await self._client.call(message, ANSWER_TIMEOUT_MS)
        orders = {}
        if isinstance(answer, result.Success):
            answered_orders = getattr(answer.unwrap(), 'orders', [])
            orders = {
                _report_identity(order): order for order in answered_orders
            }
        for pending_report in batch:
            pending_report.orders = orders.get(
                _report_identity(pending_report.report)
            )
            await pending_report.answered.set()


def _report_identity(record):
    """Returns what a report and the orders that answer it have in common."""
    return record.worker, record.incarnation, record.seq
