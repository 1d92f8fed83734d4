"""Groups of waiting tasks, and those of a workflow that a round tries.

A caller may submit workflows with thousands of tasks, steps and occurrences,
all of which may be due at once.  What a placement round does for a workflow is
bounded therefore: it tries the first occurrences of each step, and of their
tasks the first ones.  A step that finds no worker does not keep the other
steps of its workflow from being tried.
"""

import heapq

__all__ = ('Group', 'WorkflowGroups')

# Largest number of groups of a workflow in a round, spread over its steps, and
# the least number of occurrences of a step.
MAX_GROUPS = 128
MIN_OCCURRENCES = 2
# Largest number of tasks of a workflow in a round, beyond the first one of
# each group and the members of gangs.
MAX_TASKS = 1024
# Largest number of suspected tasks of a step in a round.
MAX_SUSPECTED_TASKS = 64
# Largest number of due occurrences of a workflow that a round adds.
MAX_ADDED_OCCURRENCES = 256


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

    def _with_tasks(self, task_ids):
        """Returns a ``Group`` of some of its waiting tasks."""
        return Group(
            self.workflow,
            self.occurrence,
            self.step_number,
            task_ids,
            self.is_interrupted,
            self.is_suspected,
        )

    def first_tasks(self, max_count):
        """Returns a ``Group`` of so many of its waiting tasks at most."""
        if len(self.waiting_task_ids) <= max_count:
            return self
        return self._with_tasks(self.waiting_task_ids[:max_count])

    def first_task_alone(self):
        """Returns a ``Group`` of the first waiting task alone."""
        return self._with_tasks(self.waiting_task_ids[:1])

    def without_first_task(self):
        """Returns a ``Group`` of the other waiting tasks, None if none."""
        if len(self.waiting_task_ids) < 2:
            return None
        return self._with_tasks(self.waiting_task_ids[1:])

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


class WorkflowGroups:
    """Groups of the waiting tasks of a workflow, kept as its tasks change.

    The occurrences are added in their order, each once it is due and the
    earlier ones have few waiting tasks left.

    Args:
        workflow: the ``Workflow``.
    """

    __slots__ = (
        '_entry_steps',
        '_groups_by_step',
        '_max_occurrences',
        '_next_occurrence',
        'workflow',
    )

    def __init__(self, workflow):
        self.workflow = workflow
        steps = workflow.spec.steps
        self._max_occurrences = max(
            MIN_OCCURRENCES, MAX_GROUPS // max(1, len(steps))
        )
        # Numbers of the steps that wait for no other.
        self._entry_steps = [
            number for number, step in enumerate(steps) if not step.after
        ]
        # Non-empty lists of ``Group`` by step number, then by occurrence.
        self._groups_by_step = {}
        # First occurrence that was not added, None if there is none.
        self._next_occurrence = workflow.find_open_occurrence(0)

    # Changes

    def refresh_task(self, task_id):
        """Follows a change of a task.

        Args:
            task_id: id of the task.
        """
        occurrence = task_id.occurrence
        if (
            self._next_occurrence is not None
            and occurrence >= self._next_occurrence
        ):
            return
        self._refresh_step(occurrence, task_id.step)
        if self.workflow.is_step_done(occurrence, task_id.step):
            for step_number in self.workflow.dependent_steps(task_id.step):
                self._refresh_step(occurrence, step_number)

    def _refresh_step(self, occurrence, step_number):
        groups = _make_step_groups(self.workflow, occurrence, step_number)
        if groups:
            groups_by_occurrence = self._groups_by_step.setdefault(
                step_number, {}
            )
            groups_by_occurrence[occurrence] = groups
            return
        groups_by_occurrence = self._groups_by_step.get(step_number, {})
        groups_by_occurrence.pop(occurrence, None)
        if not groups_by_occurrence:
            self._groups_by_step.pop(step_number, None)

    def _add_due_occurrences(self, wall_ms):
        for _ in range(MAX_ADDED_OCCURRENCES):
            if not self._lacks_groups or not self.is_next_due(wall_ms):
                return
            occurrence = self._next_occurrence
            self._next_occurrence = self.workflow.find_open_occurrence(
                occurrence + 1
            )
            for step_number in range(len(self.workflow.spec.steps)):
                self._refresh_step(occurrence, step_number)

    @property
    def _lacks_groups(self):
        """True if a step could be tried in one more occurrence."""
        return any(
            len(self._groups_by_step.get(step_number, ()))
            < self._max_occurrences
            for step_number in self._entry_steps
        )

    # Queries

    @property
    def next_due_ms(self):
        """Due time of the next occurrence to be added, None if none is."""
        if self._next_occurrence is None:
            return None
        return self.workflow.spec.due_ms(self._next_occurrence)

    def is_next_due(self, wall_ms):
        """True if the next occurrence to be added is due.

        Args:
            wall_ms: time since the epoch.
        """
        next_due_ms = self.next_due_ms
        return next_due_ms is not None and next_due_ms <= wall_ms

    @property
    def has_groups(self):
        """True if tasks of the occurrences that were added wait."""
        return bool(self._groups_by_step)

    def find_due_groups(self, wall_ms):
        """Returns the groups that a round tries, by occurrence and step.

        Args:
            wall_ms: time since the epoch.
        """
        self._add_due_occurrences(wall_ms)
        places = [
            (occurrence, step_number)
            for step_number, groups_by_occurrence in (
                self._groups_by_step.items()
            )
            for occurrence in self._find_first(groups_by_occurrence)
            if self.workflow.spec.due_ms(occurrence) <= wall_ms
        ]
        groups = [
            group
            for occurrence, step_number in sorted(places)
            for group in self._groups_by_step[step_number][occurrence]
        ]
        return _limit_tasks(groups)

    def _find_first(self, groups_by_occurrence):
        if len(groups_by_occurrence) <= self._max_occurrences:
            return groups_by_occurrence
        return heapq.nsmallest(self._max_occurrences, groups_by_occurrence)


def _limit_tasks(groups):
    """Returns groups with ``MAX_TASKS`` tasks beyond one each at most."""
    remaining_count = MAX_TASKS
    limited_groups = []
    for group in groups:
        if not group.step.gang:
            group = group.first_tasks(1 + remaining_count)
            remaining_count -= len(group.waiting_task_ids) - 1
        limited_groups.append(group)
    return limited_groups


def _make_step_groups(workflow, occurrence, step_number):
    """Returns the groups of the waiting tasks of a step, empty if not ready.

    They are one group for each suspected task, one of the interrupted tasks
    and one of the others.  All waiting tasks of a gang are in one group, which
    counts as interrupted if one of them does.
    """
    if workflow.is_step_done(occurrence, step_number):
        return []
    if not workflow.is_step_ready(occurrence, step_number):
        return []
    step = workflow.spec.steps[step_number]
    waiting_ids = workflow.waiting_task_ids(
        occurrence, step_number, None if step.gang else MAX_TASKS
    )
    suspected_ids = []
    interrupted_ids = []
    other_ids = []
    for task_id in waiting_ids:
        task = workflow.tasks[task_id]
        if task.possible_worker_crashes and not step.gang:
            suspected_ids.append(task_id)
        elif step.lasts and task.last_run_number > 0:
            interrupted_ids.append(task_id)
        else:
            other_ids.append(task_id)
    if step.gang and interrupted_ids:
        interrupted_ids, other_ids = waiting_ids, []
    groups = [
        Group(
            workflow,
            occurrence,
            step_number,
            [task_id],
            is_interrupted=step.lasts,
            is_suspected=True,
        )
        for task_id in suspected_ids[:MAX_SUSPECTED_TASKS]
    ]
    for task_ids, is_interrupted in (
        (interrupted_ids, True),
        (other_ids, False),
    ):
        if task_ids:
            groups.append(
                Group(
                    workflow,
                    occurrence,
                    step_number,
                    task_ids,
                    is_interrupted=is_interrupted,
                )
            )
    return groups
