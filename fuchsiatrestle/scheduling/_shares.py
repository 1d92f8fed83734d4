"""Reservations of each team, relative to its quota or the whole cell."""

from fuchsiatrestle.scheduling import _capacity

__all__ = ('TeamShares',)

DIMENSIONS = ('cpu_milli', 'memory_mib', 'accelerators')


def _amounts_of_size(size):
    return (size.cpu_milli, size.memory_mib, size.accelerators)


class TeamShares:
    """Sums the reservations of each team, applied and proposed.

    Args:
        get_team_quotas: function that returns the ``messages.Resources``
            quotas in force, by team.
    """

    def __init__(self, get_team_quotas):
        self._get_team_quotas = get_team_quotas
        self._reserved_by_team = {}
        self._reservation_by_job = {}
        self._capacity_by_worker = {}
        self._total_capacity = [0, 0, 0]

    def set_worker_capacity(self, worker_name, capacity):
        """Sets a worker's part of the cell's capacity; None removes it."""
        old_amounts = self._capacity_by_worker.pop(worker_name, None)
        for sign, amounts in (
            (-1, old_amounts),
            (1, capacity and _amounts_of_size(capacity)),
        ):
            for position, amount in enumerate(amounts or ()):
                self._total_capacity[position] += sign * amount
        if capacity is not None:
            self._capacity_by_worker[worker_name] = _amounts_of_size(capacity)

    def add_reservation(self, job_id, team, size):
        """Counts a job's reservation, in place of an earlier one."""
        self.remove_reservation(job_id)
        amounts = _amounts_of_size(size)
        self._reservation_by_job[job_id] = (team, amounts)
        reserved_amounts = self._reserved_by_team.setdefault(team, [0, 0, 0])
        for position, amount in enumerate(amounts):
            reserved_amounts[position] += amount

    def remove_reservation(self, job_id):
        """Removes a job's reservation from the sums, if it is counted."""
        reservation = self._reservation_by_job.pop(job_id, None)
        if reservation is None:
            return
        team, amounts = reservation
        reserved_amounts = self._reserved_by_team[team]
        for position, amount in enumerate(amounts):
            reserved_amounts[position] -= amount
        if not any(reserved_amounts):
            del self._reserved_by_team[team]

    def reserved_amounts(self, team):
        """Returns (cpu_milli, memory_mib, accelerators) reserved by a team."""
        return tuple(self._reserved_by_team.get(team, (0, 0, 0)))

    def dominant_share(self, team):
        """Returns the team's largest share over all dimensions.

        The share is relative to the team's quota, or to the capacity of the
        cell if the team has none.
        """
        reserved_amounts = self._reserved_by_team.get(team)
        if reserved_amounts is None:
            return 0.0
        quota = self._get_team_quotas().get(team)
        limit_amounts = (
            _amounts_of_size(quota)
            if quota is not None
            else self._total_capacity
        )
        return max(
            amount / limit if limit else float(amount > 0)
            for amount, limit in zip(
                reserved_amounts, limit_amounts, strict=True
            )
        )

    def is_larger_than_quota(self, team, need):
        """True if a need exceeds the whole quota of a team, if it has one.

        Args:
            team: the team.
            need: required (cpu_milli, memory_mib, accelerators).
        """
        quota = self._get_team_quotas().get(team)
        return quota is not None and not _capacity.covers(
            _amounts_of_size(quota), need
        )

    def exceeded_dimension(self, team, need):
        """Returns a dimension in which a team would exceed its quota.

        The name is empty if the need fits into the quota, or if the team has
        no quota.

        Args:
            team: the team.
            need: required (cpu_milli, memory_mib, accelerators).
        """
        quota = self._get_team_quotas().get(team)
        if quota is None:
            return ''
        reserved_amounts = self._reserved_by_team.get(team, (0, 0, 0))
        dimension_rows = zip(
            DIMENSIONS,
            reserved_amounts,
            need,
            _amounts_of_size(quota),
            strict=True,
        )
        for dimension, reserved_amount, needed_amount, limit in dimension_rows:
            if needed_amount and reserved_amount + needed_amount > limit:
                return dimension
        return ''
