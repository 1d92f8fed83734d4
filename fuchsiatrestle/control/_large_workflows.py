"""Limits the memory that large workflows take in the agreed state.

Bodies of legal size, each accepted, would fill the memory of the leader.  The
leader refuses further large workflows before they are proposed.  Small ones
have a limit of their own, see ``_small_workflows``, so that a caller with
large ones does not shut out the others.
"""

import msgspec

__all__ = ('LARGE_BYTES', 'LargeWorkflows', 'estimate_bytes')

# Memory of a workflow from which on it counts as large.  It has 150 tasks or
# more, or long texts.
LARGE_BYTES = 64 * 1024
# Memory of a task in the agreed state.
TASK_BYTES = 400


class LargeWorkflows:
    """Memory of the large workflows in the agreed state.

    It is an estimate that only decides what is proposed, and is not agreed.

    Args:
        workflows_part: part of the state that holds the workflows.
        max_bytes: limit of their memory together, in bytes.
    """

    __slots__ = ('_bytes_by_id', '_max_bytes', '_used_bytes', '_workflows')

    def __init__(self, workflows_part, max_bytes):
        self._workflows = workflows_part
        self._max_bytes = max_bytes
        self._bytes_by_id = {}
        self._used_bytes = 0

    def rebuild(self):
        """Estimates the memory of all workflows after a restore."""
        self._bytes_by_id = {}
        self._used_bytes = 0
        for workflow in self._workflows.retained_workflows:
            spec_bytes = len(msgspec.msgpack.encode(workflow.spec))
            self._add(
                workflow.workflow_id,
                estimate_bytes(workflow.spec, spec_bytes),
            )

    def may_propose(self, command, command_bytes):
        """Returns True unless a new large workflow does not fit.

        Args:
            command: the ``commands.SubmitWorkflow``.
            command_bytes: size of its encoding, in bytes.
        """
        workflow_bytes = estimate_bytes(command.spec, command_bytes)
        if (
            workflow_bytes < LARGE_BYTES
            or self._used_bytes + workflow_bytes <= self._max_bytes
        ):
            return True
        self._remove_expired()
        if self._used_bytes + workflow_bytes <= self._max_bytes:
            return True
        # A copy of a request that was accepted gets its answer.
        return self._find_submitted_id(command) is not None

    def record_applied(self, command, command_bytes):
        """Records a ``SubmitWorkflow`` that was applied.

        Args:
            command: the command.
            command_bytes: size of its encoding, in bytes.
        """
        workflow_bytes = estimate_bytes(command.spec, command_bytes)
        if workflow_bytes < LARGE_BYTES:
            return
        workflow_id = self._find_submitted_id(command)
        if workflow_id is not None:
            self._add(workflow_id, workflow_bytes)

    def _find_submitted_id(self, command):
        """Returns the id of the workflow of a command, None if unknown."""
        _, workflow_id = self._workflows.documents.resolve_path(
            command.host, command.path
        )
        if self._workflows.find_public_state(workflow_id) is None:
            return None
        return workflow_id

    def _add(self, workflow_id, workflow_bytes):
        if (
            workflow_bytes >= LARGE_BYTES
            and workflow_id not in self._bytes_by_id
        ):
            self._bytes_by_id[workflow_id] = workflow_bytes
            self._used_bytes += workflow_bytes

    def _remove_expired(self):
        for workflow_id in list(self._bytes_by_id):
            if self._workflows.find_workflow(workflow_id) is None:
                self._used_bytes -= self._bytes_by_id.pop(workflow_id)


def estimate_bytes(spec, spec_bytes):
    """Returns the memory that a workflow takes, in bytes, as an estimate.

    Args:
        spec: the ``WorkflowSpec``.
        spec_bytes: size of its encoding, in bytes.
    """
    task_count = sum(step.count for step in spec.steps)
    return spec_bytes + TASK_BYTES * task_count * max(1, spec.occurrences)
