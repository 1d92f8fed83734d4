"""Fan-in of worker reports to the control leader."""

import collections

import curio
from returns import result

from fuchsiatrestle import messages
from fuchsiatrestle import metrics

__all__ = ('ReportsDesk',)

BATCH_S = 0.05
MAX_BATCH = 512
MAX_WAITING = 4096
ANSWER_MS = 1500

REPORTS = metrics.declare('reports.received', 'Reports of workers.')
BATCHES = metrics.declare('reports.batches', 'Batches of reports sent on.')


class _Waiting:
    """A report and the task that waits for its orders."""

    __slots__ = ('done', 'orders', 'report')

    def __init__(self, report):
        self.report = report
        self.orders = None
        self.done = curio.Event()


class ReportsDesk:
    """Collects reports for a short time and sends them on as one message.

    Args:
        entry: name of this entry.
        client: the ``control_client.ControlClient``.
    """

    def __init__(self, entry, client):
        self._entry = entry
        self._client = client
        self._waiting = collections.deque()
        self._wake = curio.Event()

    async def send(self, report):
        """Returns the ``WorkerOrders`` for a report, None without answer."""
        metrics.count(REPORTS)
        if len(self._waiting) >= MAX_WAITING:
            return None
        waiting = _Waiting(report)
        self._waiting.append(waiting)
        await self._wake.set()
        await waiting.done.wait()
        return waiting.orders

    async def send_forever(self):
        """Sends batches of reports out."""
        while True:
            await self._wake.wait()
            await curio.sleep(BATCH_S)
            self._wake.clear()
            while self._waiting:
                count = min(len(self._waiting), MAX_BATCH)
                batch = [self._waiting.popleft() for _ in range(count)]
                await curio.spawn(self._exchange, batch, daemon=True)

    async def _exchange(self, batch):
        metrics.count(BATCHES)
        reports = [waiting.report for waiting in batch]
        message = messages.ReportBatch(0, self._entry, reports)
        answer = await self._client.call(message, ANSWER_MS)
        orders = {}
        if isinstance(answer, result.Success):
            found = getattr(answer.unwrap(), 'orders', [])
            orders = {_identity(order): order for order in found}
        for waiting in batch:
            waiting.orders = orders.get(_identity(waiting.report))
            await waiting.done.set()


def _identity(record):
    return record.worker, record.incarnation, record.seq
