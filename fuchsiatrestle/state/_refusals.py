"""Agreed refusals of workflows for want of capacity or configuration."""

import msgspec

from fuchsiatrestle import records
from fuchsiatrestle.state import _denials

__all__ = ('RefusalRow', 'RefusalTable')


class RefusalRow(records.Record, tag='refusal'):
    """Refusal of a workflow.

    Attributes:
        workflow_id: key of the workflow, see ``_denials.make_key``.
        submitted_ms: latest submission of the refused requests, since the
            epoch, by the clocks of the entries.
        refused_ms: time of the last refusal at the leader, since the epoch.
        retry_after_ms: time after which the caller should try again.
        queue_name: name of the queue; empty if there was no configuration.
        is_best_effort: see ``commands.RefuseWorkflow``.
    """

    workflow_id: str
    submitted_ms: int
    refused_ms: int
    retry_after_ms: int
    queue_name: str
    is_best_effort: bool


class RefusalTable(_denials.DenialTable):
    """The ``RefusalRow`` values that are kept, the oldest first.

    A refused caller may try again, so a later submission is not denied.
    """

    @staticmethod
    def find_time_ms(row):
        """Returns the time of a refusal, since the epoch."""
        return row.refused_ms

    def find_retry_after_ms(self, key, submitted_ms):
        """Returns when to try again if a request was refused, else None.

        Args:
            key: key of a workflow that is not known.
            submitted_ms: submission of the request, since the epoch.
        """
        refusal = self.find(key)
        if refusal is not None and submitted_ms <= max(
            refusal.submitted_ms, refusal.refused_ms
        ):
            return refusal.retry_after_ms
        return 0 if self.may_be_dropped(submitted_ms) else None

    def add(self, refusal):
        """Records a ``RefusalRow``; merges an earlier one of the workflow."""
        earlier = self.find(refusal.workflow_id)
        if earlier is not None:
            refusal = msgspec.structs.replace(
                refusal,
                submitted_ms=max(refusal.submitted_ms, earlier.submitted_ms),
                refused_ms=max(refusal.refused_ms, earlier.refused_ms),
            )
        self.put(refusal)
