"""Due times of the next occurrences of workflows."""

import heapq

__all__ = ('DueTimes',)

# Spare entries, whose workflows were removed or got another time, are dropped
# beyond this number.
MAX_SPARE_ENTRIES = 1000


class DueTimes:
    """Tells which workflows have become due; each has one time at most."""

    def __init__(self):
        self._due_ms_by_workflow = {}
        # Heap of (due time, workflow id), also of times that were replaced.
        self._entries = []

    def __len__(self):
        return len(self._entries)

    def set(self, workflow_id, due_ms):
        """Sets when a workflow is due next, in place of an earlier time.

        Args:
            workflow_id: id of the workflow.
            due_ms: time since the epoch, None for never.
        """
        if due_ms == self._due_ms_by_workflow.get(workflow_id):
            return
        if due_ms is None:
            del self._due_ms_by_workflow[workflow_id]
        else:
            self._due_ms_by_workflow[workflow_id] = due_ms
            heapq.heappush(self._entries, (due_ms, workflow_id))
        self._drop_spare_entries()

    def pop_due(self, wall_ms):
        """Removes the workflows that are due and returns their ids.

        Args:
            wall_ms: time since the epoch.
        """
        due_ids = []
        while self._entries and self._entries[0][0] <= wall_ms:
            due_ms, workflow_id = heapq.heappop(self._entries)
            if self._due_ms_by_workflow.get(workflow_id) == due_ms:
                del self._due_ms_by_workflow[workflow_id]
                due_ids.append(workflow_id)
        return due_ids

    def _drop_spare_entries(self):
        max_count = 2 * len(self._due_ms_by_workflow) + MAX_SPARE_ENTRIES
        if len(self._entries) > max_count:
            self._entries = [
                (due_ms, workflow_id)
                for workflow_id, due_ms in self._due_ms_by_workflow.items()
            ]
            heapq.heapify(self._entries)
