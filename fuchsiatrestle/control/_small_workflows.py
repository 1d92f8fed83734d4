"""Limits the memory that small workflows take while they are open.

Clients that nobody controls may hand in any number of them, due much later.
A queue may take half of the memory, so that its callers do not shut out those
of the others.  Ended ones are kept for a bounded time, of which only the state
for most of it, but they may have been cancelled as fast as they came; so the
number of all that are known is limited, too.
"""

import collections

import msgspec

from fuchsiatrestle.control import _large_workflows

__all__ = ('SmallWorkflows',)

# Memory of a workflow without its text and tasks, on the leader.
WORKFLOW_BYTES = 3000
# Largest number of workflows whose state is known.  Ended ones take some 250
# bytes each.
MAX_KNOWN_WORKFLOWS = 200_000
# Least time between two passes over all workflows for those that have ended.
PASS_INTERVAL_MS = 1000


class SmallWorkflows:
    """Memory of the open small workflows in the agreed state.

    It is an estimate that only decides what is proposed, and is not agreed.

    Args:
        workflows_part: part of the state that holds the workflows.
        max_bytes: limit of their memory together, in bytes.
    """

    __slots__ = (
        '_max_bytes',
        '_next_pass_ms',
        '_size_by_id',
        '_used_bytes_by_queue',
        '_workflows',
    )

    def __init__(self, workflows_part, max_bytes):
        self._workflows = workflows_part
        self._max_bytes = max_bytes
        # Name of the queue and estimated bytes, by workflow id.
        self._size_by_id = {}
        self._used_bytes_by_queue = collections.Counter()
        self._next_pass_ms = 0

    def rebuild(self):
        """Estimates the memory of all open workflows after a restore."""
        self._size_by_id = {}
        self._used_bytes_by_queue.clear()
        for workflow in self._workflows.open_workflows.values():
            spec_bytes = len(msgspec.msgpack.encode(workflow.spec))
            self._add(
                workflow.workflow_id,
                workflow.queue.name,
                _large_workflows.estimate_bytes(workflow.spec, spec_bytes),
            )

    def may_propose(self, command, command_bytes, now_ms):
        """Returns True unless a new small workflow does not fit.

        Args:
            command: the ``commands.SubmitWorkflow``.
            command_bytes: size of its encoding, in bytes.
            now_ms: monotonic time, in milliseconds.
        """
        queue, workflow_id = self._workflows.documents.resolve_path(
            command.host, command.path
        )
        workflow_bytes = _large_workflows.estimate_bytes(
            command.spec, command_bytes
        )
        if not workflow_id or workflow_bytes >= _large_workflows.LARGE_BYTES:
            return True
        workflow_bytes += WORKFLOW_BYTES
        if self._has_room(queue.name, workflow_bytes):
            return True
        if now_ms >= self._next_pass_ms:
            self._next_pass_ms = now_ms + PASS_INTERVAL_MS
            self._remove_ended()
            if self._has_room(queue.name, workflow_bytes):
                return True
        # A copy of a request that was accepted gets its answer.
        return self._workflows.find_public_state(workflow_id) is not None

    def _has_room(self, queue_name, workflow_bytes):
        used_bytes = self._used_bytes_by_queue.total()
        queue_bytes = self._used_bytes_by_queue[queue_name]
        return (
            used_bytes + workflow_bytes <= self._max_bytes
            and queue_bytes + workflow_bytes <= self._max_bytes / 2
            and self._workflows.known_count < MAX_KNOWN_WORKFLOWS
        )

    def record_applied(self, command, command_bytes):
        """Records a ``SubmitWorkflow`` that was applied.

        Args:
            command: the command.
            command_bytes: size of its encoding, in bytes.
        """
        queue, workflow_id = self._workflows.documents.resolve_path(
            command.host, command.path
        )
        if workflow_id in self._workflows.open_workflows:
            self._add(
                workflow_id,
                queue.name,
                _large_workflows.estimate_bytes(command.spec, command_bytes),
            )

    def _add(self, workflow_id, queue_name, workflow_bytes):
        if (
            workflow_bytes >= _large_workflows.LARGE_BYTES
            or workflow_id in self._size_by_id
        ):
            return
        workflow_bytes += WORKFLOW_BYTES
        self._size_by_id[workflow_id] = queue_name, workflow_bytes
        self._used_bytes_by_queue[queue_name] += workflow_bytes

    def _remove_ended(self):
        for workflow_id in list(self._size_by_id):
            if workflow_id in self._workflows.open_workflows:
                continue
            queue_name, workflow_bytes = self._size_by_id.pop(workflow_id)
            self._used_bytes_by_queue[queue_name] -= workflow_bytes
            if not self._used_bytes_by_queue[queue_name]:
                del self._used_bytes_by_queue[queue_name]
