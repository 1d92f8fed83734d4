"""Longest paths through the steps of the workflows, by estimated run times."""

import collections
import itertools

__all__ = ('CriticalPathTable',)

# The critical paths of a workflow are recomputed when it has changed and, as
# what is learned from others changes, at this interval.  A round, of which
# there may be a hundred a second, recomputes no more than so many.
PATH_REFRESH_INTERVAL_MS = 1000
MAX_PATH_REFRESHES = 32
# A workflow with more steps and dependencies is recomputed at the interval
# only, and counts as several in a round.
MAX_SMALL_GRAPH = 256


class _CriticalPaths:
    """Longest paths through a workflow's steps.

    Args:
        spec: the ``WorkflowSpec``.
        estimates_ms: estimated run time of a task, by step number.
        computed_ms: time since the epoch.

    Attributes:
        from_step_ms: by step number, the length of the longest path from the
            start of that step to the end of the workflow.
        longest_ms: length of the longest path of all.
        computed_ms: time since the epoch.
        graph_size: number of the steps and dependencies.
    """

    __slots__ = ('computed_ms', 'from_step_ms', 'graph_size', 'longest_ms')

    def __init__(self, spec, estimates_ms, computed_ms):
        self.computed_ms = computed_ms
        self.graph_size = len(spec.steps)
        self.from_step_ms = list(estimates_ms)
        for step_number in reversed(range(len(spec.steps))):
            earlier_steps = spec.steps[step_number].after
            self.graph_size += len(earlier_steps)
            for earlier_step in earlier_steps:
                path_ms = (
                    estimates_ms[earlier_step] + self.from_step_ms[step_number]
                )
                self.from_step_ms[earlier_step] = max(
                    self.from_step_ms[earlier_step], path_ms
                )
        self.longest_ms = max(self.from_step_ms, default=0)


class CriticalPathTable:
    """Critical paths of the open workflows whose tasks wait.

    Args:
        workflow_store: the part of the replicated state with the workflows.
        estimates: ``StepEstimates``.
    """

    def __init__(self, workflow_store, estimates):
        self._workflow_store = workflow_store
        self._estimates = estimates
        # Those computed longest ago come first.  In a plain dict, a search
        # for the first one passes the places of all that have moved.
        self._paths_by_workflow = collections.OrderedDict()
        # Time of the latest round, since the epoch.
        self._round_ms = 0

    def find(self, workflow):
        """Returns the ``_CriticalPaths`` of a workflow."""
        paths = self._paths_by_workflow.get(workflow.workflow_id)
        return paths if paths is not None else self._compute(workflow)

    def refresh_workflow(self, workflow):
        """Recomputes the paths of a workflow that has changed."""
        if not self._estimates.may_change:
            return
        paths = self._paths_by_workflow.get(workflow.workflow_id)
        if paths is not None and paths.graph_size <= MAX_SMALL_GRAPH:
            self._compute(workflow)

    def remove_workflow(self, workflow_id):
        """Forgets the paths of a workflow that is not open any more."""
        self._paths_by_workflow.pop(workflow_id, None)

    def start_round(self, wall_ms):
        """Recomputes the paths that were computed longest ago.

        Args:
            wall_ms: time since the epoch.
        """
        self._round_ms = wall_ms
        if not self._estimates.may_change:
            return
        oldest_ids = itertools.islice(
            self._paths_by_workflow, MAX_PATH_REFRESHES
        )
        remaining_size = MAX_PATH_REFRESHES * MAX_SMALL_GRAPH
        for workflow_id in list(oldest_ids):
            paths = self._paths_by_workflow[workflow_id]
            age_ms = self._round_ms - paths.computed_ms
            # The age is negative if the time of day was set back.
            if 0 <= age_ms < PATH_REFRESH_INTERVAL_MS or remaining_size <= 0:
                return
            remaining_size -= paths.graph_size
            workflow = self._workflow_store.open_workflows.get(workflow_id)
            if workflow is not None:
                self._compute(workflow)

    def _compute(self, workflow):
        paths = _CriticalPaths(
            workflow.spec,
            self._estimates.estimate_steps_ms(workflow),
            self._round_ms,
        )
        self._paths_by_workflow[workflow.workflow_id] = paths
        self._paths_by_workflow.move_to_end(workflow.workflow_id)
        return paths
