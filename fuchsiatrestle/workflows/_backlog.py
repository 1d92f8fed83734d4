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

import collections
import itertools

from fuchsiatrestle.workflows import _estimates

__all__ = ('Backlog', 'Group')

# A workflow earns nothing once its age exceeds this multiple of its objective.
WORTHLESS_OBJECTIVE_FACTOR = 3
# The critical paths of a workflow are recomputed when it has changed and, as
# what is learned from others changes, at this interval.  A round, of which
# there may be a hundred a second, recomputes no more than so many.
PATH_REFRESH_INTERVAL_MS = 1000
MAX_PATH_REFRESHES = 32


class Group:
    """Waiting tasks of one step in one occurrence of a workflow.

    The steps of a workflow are run once in each of its occurrences.  The
    interrupted tasks of a long-running step are in a group of their own,
    unless the step is a gang.  So is each task that may have crashed a worker.

    Attributes:
        workflow: the ``Workflow``.
        occurrence: number of the occurrence, from 0; a workflow that is not
            repeated has only occurrence 0.
        step_number: number of the step in the workflow.
        step: the ``Step``.
        waiting_task_ids: ids of its waiting tasks.
        is_interrupted: True if the tasks are long-running and ran before.
        is_suspected: True for a task that may have crashed its last worker.
    """

    __slots__ = (
        'is_interrupted',
        'is_suspected',
        'occurrence',
        'step',
        'step_number',
        'waiting_task_ids',
        'workflow',
    )

    def __init__(
        self,
        workflow,
        occurrence,
        step_number,
        waiting_task_ids,
        is_interrupted=False,
        is_suspected=False,
    ):
        self.workflow = workflow
        self.occurrence = occurrence
        self.step_number = step_number
        self.step = workflow.spec.steps[step_number]
        self.waiting_task_ids = waiting_task_ids
        self.is_interrupted = is_interrupted
        self.is_suspected = is_suspected

    def first_task_alone(self):
        """Returns a ``Group`` of the first waiting task alone."""
        return Group(
            self.workflow,
            self.occurrence,
            self.step_number,
            self.waiting_task_ids[:1],
            self.is_interrupted,
            self.is_suspected,
        )

    def without_first_task(self):
        """Returns a ``Group`` of the other waiting tasks, None if none."""
        if len(self.waiting_task_ids) < 2:
            return None
        return Group(
            self.workflow,
            self.occurrence,
            self.step_number,
            self.waiting_task_ids[1:],
            self.is_interrupted,
            self.is_suspected,
        )

    @property
    def key(self):
        """Value by which the group of a step is found again in later rounds.

        It tells the interrupted tasks of a step from the others, and each
        suspected task from all others.
        """
        return (
            self.workflow.workflow_id,
            self.occurrence,
            self.step_number,
            self.is_interrupted,
            self.waiting_task_ids[0] if self.is_suspected else None,
        )


class _CriticalPaths:
    """Longest paths through a workflow's steps, by estimated run times.

    Args:
        spec: the ``WorkflowSpec``.
        estimates_ms: estimated run time of a task, by step number.
        computed_ms: time since the epoch.

    Attributes:
        from_step_ms: by step number, the length of the longest path from the
            start of that step to the end of the workflow.
        longest_ms: length of the longest path of all.
        computed_ms: time since the epoch.
    """

    __slots__ = ('computed_ms', 'from_step_ms', 'longest_ms')

    def __init__(self, spec, estimates_ms, computed_ms):
        self.computed_ms = computed_ms
        self.from_step_ms = list(estimates_ms)
        for step_number in reversed(range(len(spec.steps))):
            for earlier_step in spec.steps[step_number].after:
                path_ms = (
                    estimates_ms[earlier_step] + self.from_step_ms[step_number]
                )
                self.from_step_ms[earlier_step] = max(
                    self.from_step_ms[earlier_step], path_ms
                )
        self.longest_ms = max(self.from_step_ms, default=0)


class Backlog:
    """Groups of waiting tasks of all open workflows.

    Args:
        workflow_store: the part of the replicated state with the workflows.
        learns_run_times: True if estimated run times are corrected by those
            of earlier tasks.
    """

    def __init__(self, workflow_store, learns_run_times=False):
        self._workflow_store = workflow_store
        self._estimates = _estimates.DeclaredEstimates()
        self._run_time_report = None
        if learns_run_times:
            self._estimates = _estimates.LearnedEstimates(workflow_store)
            self._run_time_report = _estimates.RunTimeReport(workflow_store)
        self._groups_by_workflow = {}
        # Those computed longest ago come first.  In a plain dict, a search
        # for the first one passes the places of all that have moved.
        self._critical_paths_by_workflow = collections.OrderedDict()
        # Time of the latest round, since the epoch.
        self._round_ms = 0
        for workflow_id in workflow_store.open_workflows:
            self.refresh_workflow(workflow_id)

    def refresh_workflow(self, workflow_id):
        """Recomputes the groups of a workflow after the workflow changed."""
        workflow = self._workflow_store.open_workflows.get(workflow_id)
        groups = list(_find_groups(workflow)) if workflow else []
        if groups:
            self._groups_by_workflow[workflow_id] = groups
        else:
            self._groups_by_workflow.pop(workflow_id, None)
        if workflow is None:
            self._critical_paths_by_workflow.pop(workflow_id, None)
        elif (
            self._estimates.may_change
            or workflow_id not in self._critical_paths_by_workflow
        ):
            self._compute_critical_paths(workflow)

    def _compute_critical_paths(self, workflow):
        self._critical_paths_by_workflow[workflow.workflow_id] = (
            _CriticalPaths(
                workflow.spec,
                self._estimates.estimate_steps_ms(workflow),
                self._round_ms,
            )
        )
        self._critical_paths_by_workflow.move_to_end(workflow.workflow_id)

    def _refresh_critical_paths(self):
        """Recomputes the critical paths that were computed longest ago."""
        oldest_ids = itertools.islice(
            self._critical_paths_by_workflow, MAX_PATH_REFRESHES
        )
        for workflow_id in list(oldest_ids):
            critical_paths = self._critical_paths_by_workflow[workflow_id]
            age_ms = self._round_ms - critical_paths.computed_ms
            # The age is negative if the time of day was set back.
            if 0 <= age_ms < PATH_REFRESH_INTERVAL_MS:
                return
            workflow = self._workflow_store.open_workflows.get(workflow_id)
            if workflow is not None:
                self._compute_critical_paths(workflow)

    def ready_groups(self, wall_ms):
        """Returns the groups that may start now, in the order of placement.

        Args:
            wall_ms: time since the epoch.
        """
        self._round_ms = wall_ms
        if self._estimates.may_change:
            self._refresh_critical_paths()
        if self._run_time_report is not None:
            self._run_time_report.report_if_due(wall_ms)
        groups = [
            group
            for workflow_groups in self._groups_by_workflow.values()
            for group in workflow_groups
            if group.workflow.spec.due_ms(group.occurrence) <= wall_ms
        ]
        return sorted(groups, key=lambda group: self._sort_key(group, wall_ms))

    def _sort_key(self, group, wall_ms):
        workflow = group.workflow
        queue = self._workflow_store.current_queue(workflow)
        critical_paths = self._critical_paths_by_workflow[workflow.workflow_id]
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


def _find_groups(workflow):
    for occurrence in workflow.occurrences:
        for step_number in range(len(workflow.spec.steps)):
            if workflow.is_step_done(occurrence, step_number):
                continue
            if not workflow.is_step_ready(occurrence, step_number):
                continue
            waiting_task_ids = [
                task_id
                for task_id in workflow.task_ids(occurrence, step_number)
                if _is_waiting(workflow.tasks[task_id])
            ]
            yield from _make_groups(
                workflow, occurrence, step_number, waiting_task_ids
            )


def _make_groups(workflow, occurrence, step_number, waiting_task_ids):
    """Yields the groups of the waiting tasks of a step.

    They are one group for each suspected task, one of the interrupted tasks
    and one of the others.  All waiting tasks of a gang are in one group, which
    counts as interrupted if one of them does.
    """
    step = workflow.spec.steps[step_number]
    if not step.gang:
        suspected_ids = [
            task_id
            for task_id in waiting_task_ids
            if workflow.tasks[task_id].possible_worker_crashes
        ]
        for task_id in suspected_ids:
            yield Group(
                workflow,
                occurrence,
                step_number,
                [task_id],
                is_interrupted=step.lasts,
                is_suspected=True,
            )
        if suspected_ids:
            waiting_task_ids = [
                task_id
                for task_id in waiting_task_ids
                if task_id not in suspected_ids
            ]
    interrupted_ids = [
        task_id
        for task_id in waiting_task_ids
        if step.lasts and workflow.tasks[task_id].last_run_number > 0
    ]
    if step.gang and interrupted_ids:
        interrupted_ids = waiting_task_ids
    other_ids = [
        task_id
        for task_id in waiting_task_ids
        if task_id not in interrupted_ids
    ]
    for task_ids in (interrupted_ids, other_ids):
        if task_ids:
            yield Group(
                workflow,
                occurrence,
                step_number,
                task_ids,
                is_interrupted=task_ids is interrupted_ids,
            )


def _is_waiting(task):
    return not task.is_done and not task.live_runs
