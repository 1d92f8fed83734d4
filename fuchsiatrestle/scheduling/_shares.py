"""What each team holds, against its quota and against the whole cell."""

__all__ = ('TeamShares',)

DIMENSIONS = ('cpu_milli', 'memory_mib', 'accelerators')


def _amounts(size):
    return (size.cpu_milli, size.memory_mib, size.accelerators)


class TeamShares:
    """Reservations of teams, agreed and proposed.

    Args:
        quotas: function that returns the quotas in force, by team.
    """

    def __init__(self, quotas):
        self._quotas = quotas
        self._held = {}
        self._by_job = {}
        self._capacities = {}
        self._total = [0, 0, 0]

    def set_capacity(self, worker, size):
        """Notes the capacity of one worker; None drops it."""
        old = self._capacities.pop(worker, None)
        for sign, amounts in ((-1, old), (1, size and _amounts(size))):
            for position, amount in enumerate(amounts or ()):
                self._total[position] += sign * amount
        if size is not None:
            self._capacities[worker] = _amounts(size)

    def hold(self, job_id, team, size):
        """Counts a reservation of one job towards its team."""
        self.release(job_id)
        amounts = _amounts(size)
        self._by_job[job_id] = (team, amounts)
        held = self._held.setdefault(team, [0, 0, 0])
        for position, amount in enumerate(amounts):
            held[position] += amount

    def release(self, job_id):
        """Ends what ``hold`` counted, if anything."""
        known = self._by_job.pop(job_id, None)
        if known is None:
            return
        team, amounts = known
        held = self._held[team]
        for position, amount in enumerate(amounts):
            held[position] -= amount
        if not any(held):
            del self._held[team]

    def held(self, team):
        """Returns what a team holds: (cpu_milli, memory_mib, accelerators)."""
        return tuple(self._held.get(team, (0, 0, 0)))

    def share(self, team):
        """Returns the largest share that the team has in any dimension."""
        held = self._held.get(team)
        if held is None:
            return 0.0
        quota = self._quotas().get(team)
        limits = _amounts(quota) if quota is not None else self._total
        return max(
            amount / limit if limit else float(amount > 0)
            for amount, limit in zip(held, limits, strict=True)
        )

    def short_dimension(self, team, need):
        """Returns the dimension in which the quota lacks room for a need.

        Args:
            team: the team.
            need: (cpu_milli, memory_mib, accelerators).
        """
        quota = self._quotas().get(team)
        if quota is None:
            return ''
        held = self._held.get(team, (0, 0, 0))
        rows = zip(DIMENSIONS, held, need, _amounts(quota), strict=True)
        for name, amount, wanted, limit in rows:
            if wanted and amount + wanted > limit:
                return name
        return ''
