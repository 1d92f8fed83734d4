"""Agreed refusals of workflows, kept for a bounded time and number.

A refused request must not start a workflow later, when an older copy of it
arrives late.
"""

import msgspec

from fuchsiatrestle import records

__all__ = ('RefusalRow', 'RefusalTable')

# Copies of a request arrive later than this only if a process stood still for
# as long.
RETENTION_MS = 900_000
# About 200 bytes of memory each.
MAX_REFUSALS = 10_000


class RefusalRow(records.Record, tag='refusal'):
    """Refusal of a workflow.

    Attributes:
        workflow_id: chosen by the caller.
        submitted_ms: latest submission of the refused requests, since the
            epoch, by the clocks of the entries.
        refused_ms: time of the last refusal at the leader, since the epoch.
        retry_after_ms: time after which the caller should try again.
        queue_name: name of the queue.
        is_best_effort: see ``commands.RefuseWorkflow``.
    """

    workflow_id: str
    submitted_ms: int
    refused_ms: int
    retry_after_ms: int
    queue_name: str
    is_best_effort: bool


class RefusalTable:
    """The refusals that are kept, the oldest first.

    Args:
        rows: list of ``RefusalRow`` to start with.
        dropped_ms: see the attribute.

    Attributes:
        dropped_ms: latest ``refused_ms`` of the refusals that were dropped
            because there were too many.  Nobody knows whether a request up to
            that time was refused.
    """

    def __init__(self, rows=(), dropped_ms=0):
        self.dropped_ms = dropped_ms
        self._refusals_by_workflow = {row.workflow_id: row for row in rows}

    def to_rows(self):
        """Returns the list of ``RefusalRow``, the oldest first."""
        return list(self._refusals_by_workflow.values())

    def find_retry_after_ms(self, workflow_id, submitted_ms):
        """Returns when to try again if a request was refused, else None.

        Args:
            workflow_id: id of a workflow that is not known.
            submitted_ms: submission of the request, since the epoch.
        """
        refusal = self._refusals_by_workflow.get(workflow_id)
        if refusal is not None and submitted_ms <= max(
            refusal.submitted_ms, refusal.refused_ms
        ):
            return refusal.retry_after_ms
        if submitted_ms <= self.dropped_ms:
            return 0
        return None

    def add(self, refusal):
        """Records a ``RefusalRow``; merges an earlier one of the workflow."""
        earlier = self._refusals_by_workflow.pop(refusal.workflow_id, None)
        if earlier is not None:
            refusal = msgspec.structs.replace(
                refusal,
                submitted_ms=max(refusal.submitted_ms, earlier.submitted_ms),
                refused_ms=max(refusal.refused_ms, earlier.refused_ms),
            )
        self._refusals_by_workflow[refusal.workflow_id] = refusal
        if len(self._refusals_by_workflow) > MAX_REFUSALS:
            oldest = self._pop_oldest()
            self.dropped_ms = max(self.dropped_ms, oldest.refused_ms)

    def remove_expired(self, now_ms):
        """Removes the refusals made at least ``RETENTION_MS`` ago.

        Args:
            now_ms: agreed time, since the epoch.
        """
        while self._refusals_by_workflow:
            oldest = next(iter(self._refusals_by_workflow.values()))
            if oldest.refused_ms > now_ms - RETENTION_MS:
                return
            self._pop_oldest()

    def _pop_oldest(self):
        oldest_id = next(iter(self._refusals_by_workflow))
        return self._refusals_by_workflow.pop(oldest_id)
