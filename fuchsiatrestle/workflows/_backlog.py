"""Tasks that wait for a worker, in the order in which they are placed.

Answers the load of a busy day: urgent queues first, then what has the least
slack to its objective; what can no longer earn anything goes last, but is
never dropped.
"""

__all__ = ('Backlog', 'Group')

# After this many times its objective a workflow earns nothing more.
WORTHLESS_AFTER = 3


class Group:
    """Waiting tasks of one step of one occurrence.

    Attributes:
        workflow: the ``Workflow``.
        occurrence: number of the occurrence.
        number: number of the step.
        step: the ``Step``.
        waiting: ids of its waiting tasks.
    """

    __slots__ = ('number', 'occurrence', 'step', 'waiting', 'workflow')

    def __init__(self, workflow, occurrence, number, waiting):
        self.workflow = workflow
        self.occurrence = occurrence
        self.number = number
        self.step = workflow.spec.steps[number]
        self.waiting = waiting


class _Chains:
    """Longest chains of estimates within a workflow, in milliseconds."""

    __slots__ = ('from_step', 'whole_ms')

    def __init__(self, spec):
        self.from_step = [step.estimate_ms for step in spec.steps]
        for number in reversed(range(len(spec.steps))):
            for earlier in spec.steps[number].after:
                through = (
                    spec.steps[earlier].estimate_ms + self.from_step[number]
                )
                self.from_step[earlier] = max(self.from_step[earlier], through)
        self.whole_ms = max(self.from_step, default=0)


class Backlog:
    """Groups of all open workflows.

    Args:
        part: the state part with the workflows.
    """

    def __init__(self, part):
        self._part = part
        self._groups = {}
        self._chains = {}
        for workflow_id in part.open_workflows:
            self.refresh(workflow_id)

    def refresh(self, workflow_id):
        """Looks at a workflow again after it has changed."""
        workflow = self._part.open_workflows.get(workflow_id)
        groups = list(_find_groups(workflow)) if workflow else []
        if groups:
            self._groups[workflow_id] = groups
        else:
            self._groups.pop(workflow_id, None)
        if workflow is None:
            self._chains.pop(workflow_id, None)
        elif workflow_id not in self._chains:
            self._chains[workflow_id] = _Chains(workflow.spec)

    def ordered(self, wall_ms):
        """Returns the groups that may start now, first to place first."""
        groups = [
            group
            for found in self._groups.values()
            for group in found
            if group.workflow.spec.due_ms(group.occurrence) <= wall_ms
        ]
        return sorted(groups, key=lambda group: self._rank(group, wall_ms))

    def _rank(self, group, wall_ms):
        workflow = group.workflow
        queue = self._part.queue_of(workflow)
        chains = self._chains[workflow.workflow_id]
        objective_ms = queue.stretch * chains.whole_ms + queue.target_ms
        since_ms = workflow.spec.due_ms(group.occurrence)
        since_ms = since_ms or workflow.submitted_ms
        age_ms = wall_ms - since_ms
        slack_ms = objective_ms - age_ms - chains.from_step[group.number]
        lateness = 0
        if not group.step.lasts:
            late = slack_ms < 0
            worthless = age_ms > WORTHLESS_AFTER * objective_ms
            lateness = late + worthless
        return lateness, queue.priority, slack_ms, workflow.workflow_id


def _find_groups(workflow):
    for occurrence in workflow.occurrences:
        for number in range(len(workflow.spec.steps)):
            if workflow.is_step_done(occurrence, number):
                continue
            if not workflow.is_step_free(occurrence, number):
                continue
            waiting = [
                task_id
                for task_id in workflow.task_ids(occurrence, number)
                if _waits(workflow.tasks[task_id])
            ]
            if waiting:
                yield Group(workflow, occurrence, number, waiting)


def _waits(task):
    return not task.done and not task.live
