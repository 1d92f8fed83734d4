"""Keeps the tasks that wait for a worker, in the order of placement.

The objective of a workflow is the time in which it should be completed.  The
slack of a group is the estimated time that would be left of the objective when
the workflow ends, if the group started now.  A group with negative slack is
late.  Groups of interrupted tasks come first, then groups that are not late,
then late ones; those so late that their workflow earns nothing come last, but
they are never dropped, and may get a turn (see ``_turns``).  Within each of
these classes, groups are ordered by the priority of their queue and then by
their slack, the least first.

Long-running tasks never count as late.  One that ran before is interrupted
while it waits, and goes before all other groups whatever its priority: its
start continues what was running, and running tasks do not make way either.

Where run times are learned (see ``_estimates``), both the objective and the
slack come from what is known when the critical paths of the workflow were
computed last.
"""

from fuchsiatrestle.workflows import _critical_paths
from fuchsiatrestle.workflows import _due_times
from fuchsiatrestle.workflows import _estimates
from fuchsiatrestle.workflows import _groups

__all__ = ('Backlog',)

# A workflow earns nothing once its age exceeds this multiple of its objective.
WORTHLESS_OBJECTIVE_FACTOR = 3


class Backlog:
    """Groups of waiting tasks of all open workflows.

    A workflow of which nothing waits is looked at again when one of its tasks
    has changed, or when its next occurrence is due.

    Args:
        workflow_store: the part of the replicated state with the workflows.
        learns_run_times: True if estimated run times are corrected by those
            of earlier tasks.
    """

    def __init__(self, workflow_store, learns_run_times=False):
        self._workflow_store = workflow_store
        estimates = _estimates.DeclaredEstimates()
        self._run_time_report = None
        if learns_run_times:
            estimates = _estimates.LearnedEstimates(workflow_store)
            self._run_time_report = _estimates.RunTimeReport(workflow_store)
        self._critical_paths = _critical_paths.CriticalPathTable(
            workflow_store, estimates
        )
        # ``WorkflowGroups`` by workflow id; those with waiting tasks again.
        self._groups_by_workflow = {}
        self._active_groups_by_workflow = {}
        self._due_times = _due_times.DueTimes()
        for workflow_id in workflow_store.open_workflows:
            self.refresh_workflow(workflow_id)

    # Changes

    def refresh_workflow(self, workflow_id):
        """Looks at all tasks of a workflow that is new, or has ended."""
        workflow = self._workflow_store.open_workflows.get(workflow_id)
        if workflow is None:
            self._remove_workflow(workflow_id)
            return
        if workflow_id in self._groups_by_workflow:
            return
        groups = _groups.WorkflowGroups(workflow)
        self._groups_by_workflow[workflow_id] = groups
        self._due_times.set(workflow_id, groups.next_due_ms)

    def refresh_tasks(self, workflow_id, task_ids):
        """Looks at tasks that have changed.

        Args:
            workflow_id: id of their workflow.
            task_ids: their ids.
        """
        groups = self._groups_by_workflow.get(workflow_id)
        if groups is None or workflow_id not in (
            self._workflow_store.open_workflows
        ):
            self.refresh_workflow(workflow_id)
            return
        # One task of each step that has changed.
        task_id_by_step = {
            (task_id.occurrence, task_id.step): task_id for task_id in task_ids
        }
        for task_id in task_id_by_step.values():
            groups.refresh_task(task_id)
        if groups.has_groups:
            self._active_groups_by_workflow[workflow_id] = groups
        self._critical_paths.refresh_workflow(groups.workflow)

    def _remove_workflow(self, workflow_id):
        self._groups_by_workflow.pop(workflow_id, None)
        self._active_groups_by_workflow.pop(workflow_id, None)
        self._critical_paths.remove_workflow(workflow_id)
        self._due_times.set(workflow_id, None)

    # Rounds

    def ready_groups(self, wall_ms):
        """Returns the groups that may start now, in the order of placement.

        Args:
            wall_ms: time since the epoch.
        """
        self._critical_paths.start_round(wall_ms)
        if self._run_time_report is not None:
            self._run_time_report.report_if_due(wall_ms)
        self._activate_due_workflows(wall_ms)
        groups = []
        for workflow_id, workflow_groups in list(
            self._active_groups_by_workflow.items()
        ):
            groups += workflow_groups.find_due_groups(wall_ms)
            if not workflow_groups.has_groups:
                if not workflow_groups.is_next_due(wall_ms):
                    del self._active_groups_by_workflow[workflow_id]
                    self._due_times.set(
                        workflow_id, workflow_groups.next_due_ms
                    )
        return sorted(groups, key=lambda group: self._sort_key(group, wall_ms))

    def _activate_due_workflows(self, wall_ms):
        for workflow_id in self._due_times.pop_due(wall_ms):
            self._active_groups_by_workflow[workflow_id] = (
                self._groups_by_workflow[workflow_id]
            )

    def _sort_key(self, group, wall_ms):
        workflow = group.workflow
        queue = self._workflow_store.current_queue(workflow)
        critical_paths = self._critical_paths.find(workflow)
        objective_ms = (
            queue.stretch * critical_paths.longest_ms + queue.target_ms
        )
        objective_start_ms = workflow.spec.due_ms(group.occurrence)
        objective_start_ms = objective_start_ms or workflow.submitted_ms
        age_ms = wall_ms - objective_start_ms
        slack_ms = (
            objective_ms
            - age_ms
            - critical_paths.from_step_ms[group.step_number]
        )
        lateness_class = 0
        if not group.step.lasts:
            is_late = slack_ms < 0
            is_worthless = age_ms > WORTHLESS_OBJECTIVE_FACTOR * objective_ms
            lateness_class = is_late + is_worthless
        return (
            not group.is_interrupted,
            lateness_class,
            queue.priority,
            slack_ms,
            workflow.workflow_id,
        )
