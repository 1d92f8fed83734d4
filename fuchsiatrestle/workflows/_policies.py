"""Policies that take part in the placement rounds of a deployment.

A policy is one decision that only some deployments ask for.  It is switched
on by the settings (see ``Features``) and by what is agreed.
"""

import abc

__all__ = ('Placement', 'PlacementPolicy')


class Placement:
    """A run that a policy adds to a round.

    Attributes:
        group: ``Group`` of the task.
        task_id: id of the task.
        worker: the ``Worker`` that it is to run on.
    """

    __slots__ = ('group', 'task_id', 'worker')

    def __init__(self, group, task_id, worker):
        self.group = group
        self.task_id = task_id
        self.worker = worker


class PlacementPolicy(abc.ABC):
    """Hooks into a placement round; by default they change nothing.

    ``DispatchState.now_ms`` is the monotonic time of the round.
    """

    def start_round(self, ready_groups, wall_ms):
        """Called before the first group of a round is tried.

        Args:
            ready_groups: list of ``Group`` in the order of placement.
            wall_ms: time since the epoch.
        """
        return None

    def make_placer(self, interference_model):
        """Returns the ``Placer`` of this policy, None if it has none.

        Args:
            interference_model: the ``InterferenceModel``.
        """
        return None

    def may_use(self, worker):
        """Returns False if no task may be placed on a worker in this round.

        Args:
            worker: a ``Worker`` that accepts placements.
        """
        return True

    def find_start_obstacle(self, worker):
        """Returns why no start may be ordered on a worker, or empty.

        It is asked at each start, also of runs that an earlier round or an
        earlier leader has placed.

        Args:
            worker: a ``Worker``.
        """
        return ''

    def acts_after_groups(self):
        """Returns False if the two hooks below have nothing to do now.

        A round of each service is made for them, which takes processor time.
        """
        return True

    def stop_runs(self, pool_round):
        """Stops runs after all groups of the round were tried.

        Args:
            pool_round: the ``PlacementRound`` of a service.

        Returns:
            A list of the ``Worker`` values of which runs were stopped.
        """
        return []

    def find_placements(self, pool_round):
        """Yields further runs after all groups of the round were tried.

        Each run is placed before the next one is asked for.

        Args:
            pool_round: the ``PlacementRound`` of a service.

        Yields:
            ``Placement`` values.
        """
        return iter(())

    def record_command(self, command):
        """Called after an agreed command was applied.

        Args:
            command: the command, of workflows or documents.
        """
        return None

    def find_refusal(self, submission, wall_ms):
        """Decides whether a workflow is refused when it is submitted.

        Args:
            submission: the ``commands.SubmitWorkflow``, not proposed yet.
            wall_ms: time since the epoch.

        Returns:
            The ``commands.RefuseWorkflow`` to propose in its place, or None.
        """
        return None
