"""Which orders a worker gets next."""

from fuchsiatrestle.workflows import _events
from fuchsiatrestle.workflows import _runs

__all__ = ('Orders',)

_Phase = _runs.Phase


class Orders:
    """Makes the orders that are due for a worker.

    Args:
        book: ``Book``.
        timing: ``Timing``.
    """

    def __init__(self, book, timing):
        self._book = book
        self._timing = timing

    def due(self, worker, now_ms):
        """Returns the orders to send to a worker now."""
        orders = []
        for run in worker.runs.values():
            if run.calling or now_ms < run.retry_ms:
                continue
            order = self._order_about(worker, run, now_ms)
            if order is not None:
                run.calling = True
                orders.append(order)
        orders += self._look(worker, now_ms)
        return orders

    def _order_about(self, worker, run, now_ms):
        record = worker.record
        if run.phase == _Phase.STARTING and run.started_ms is None:
            if worker.failures or (run.adopted and not worker.fenced):
                return None
            return self._start(worker, run, now_ms)
        if run.phase == _Phase.STOPPING and run.stopped_ms is None:
            return _events.StopRun(
                record.worker, record.address, *run.key, self._book.token
            )
        if run.phase == _Phase.RUNNING and run.pace != run.wanted_pace:
            return _events.PaceRun(
                record.worker,
                record.address,
                *run.key,
                run.wanted_pace,
                self._book.token,
            )
        return None

    def _start(self, worker, run, now_ms):
        until_ms = worker.clock.extend(now_ms)
        if until_ms is None:
            return None
        task_id, number = run.key
        workflow = self._book.part.workflow(task_id.workflow_id)
        return _events.StartRun(
            worker.record.worker,
            worker.record.address,
            task_id,
            number,
            workflow.spec.payload,
            until_ms,
            self._book.token,
            workflow.tasks[task_id].checkpoint,
            '',
        )

    # Looks

    def _look(self, worker, now_ms):
        if worker.looking or now_ms < worker.look_ms:
            return []
        noted = self._book.ends_noted(worker)
        holds_runs = any(run.is_active for run in worker.runs.values())
        if not holds_runs and noted <= worker.ends_told:
            return []
        if noted < worker.ends_taken and not self._must_renew(worker, now_ms):
            # It would answer at once with the ends that are being agreed.
            return []
        worker.looking = True
        worker.looked_ms = now_ms
        until_ms = None
        if holds_runs and not worker.failures:
            # Renewed without an answer, a lease would never be known over.
            until_ms = worker.clock.extend(now_ms)
        return [
            _events.LookAt(
                worker.record.worker,
                worker.record.address,
                until_ms,
                self._book.token,
                noted,
                self._wait_ms(worker, holds_runs),
            )
        ]

    def _must_renew(self, worker, now_ms):
        remaining_ms = worker.clock.remaining_ms(now_ms)
        return remaining_ms < self._timing.lease_ms / 2

    def _wait_ms(self, worker, holds_runs):
        if not holds_runs or not worker.fenced or worker.failures:
            return 0
        if any(run.phase == _Phase.STOPPING for run in worker.runs.values()):
            return self._timing.busy_look_wait_ms
        if worker.room.serving_cpu and worker.room.filling_cpu:
            return self._timing.busy_look_wait_ms
        return self._timing.look_wait_ms
