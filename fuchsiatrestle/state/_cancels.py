"""Agreed cancels of workflows and jobs that were not known.

The submission may arrive after the cancel, by an entry that stood still.
"""

from fuchsiatrestle import records
from fuchsiatrestle.state import _denials

__all__ = ('CancelRow', 'CancelTable')


class CancelRow(records.Record, tag='cancel'):
    """Cancel of a workflow or job that was not known.

    Attributes:
        workflow_id: key of the workflow or job, see ``_denials.make_key``.
        cancelled_ms: time of the cancel, since the epoch.
    """

    workflow_id: str
    cancelled_ms: int


class CancelTable(_denials.DenialTable):
    """The ``CancelRow`` values that are kept, the oldest first.

    While a row is kept, no submission of its workflow or job is accepted, as
    none is once a known workflow was cancelled.  So the clocks of the entries
    do not matter.
    """

    @staticmethod
    def find_time_ms(row):
        """Returns the time of a cancel, since the epoch."""
        return row.cancelled_ms

    def find_retry_after_ms(self, key, submitted_ms, now_ms):
        """Returns when to try again if a workflow was cancelled, else None.

        Args:
            key: key of a workflow that is not known.
            submitted_ms: submission of the request, since the epoch.
            now_ms: agreed time, since the epoch.

        Returns:
            Milliseconds, 0 if it is not known.
        """
        cancel = self.find(key)
        if cancel is not None:
            forgotten_ms = cancel.cancelled_ms + _denials.RETENTION_MS
            return max(0, forgotten_ms - max(now_ms, submitted_ms))
        return 0 if self.may_be_dropped(submitted_ms) else None

    def denies(self, key, submitted_ms):
        """True if a workflow or job was, or may have been, cancelled.

        Args:
            key: key of one that is not known.
            submitted_ms: its submission, since the epoch.
        """
        return self.find(key) is not None or self.may_be_dropped(submitted_ms)

    def add(self, key, cancelled_ms):
        """Records a cancel, or a later one of the same workflow."""
        earlier = self.find(key)
        if earlier is not None:
            cancelled_ms = max(cancelled_ms, earlier.cancelled_ms)
        self.put(CancelRow(key, cancelled_ms))
