"""Decides which workflows get a turn because nothing of them runs.

Groups are placed by lateness, priority and slack.  New groups that go before
a late one may keep coming and take all room as it gets free.  So a workflow
of which nothing has run for a while gets a turn: one of its tasks is placed
before the groups that are in time, whatever their priority and whatever is
reserved.  The workflow that has waited longest comes first.

Best-effort tasks need no turn, as they reserve no processor time: they share
it, see ``_limited_runs``.
"""

__all__ = ('TurnPlanner',)

# Wait from which a workflow of which nothing runs gets a turn.
TURN_WAIT_MS = 1000


class TurnPlanner:
    """Finds the groups whose workflows get a turn.

    Args:
        wait_times: ``WaitTimes`` of the waiting groups.
    """

    def __init__(self, wait_times):
        self._wait_times = wait_times

    def find_turns(self, groups, now_ms):
        """Returns the groups that get a turn, the longest wait first.

        Long-running and best-effort tasks have their own rules, and suspected
        ones are started alone.

        Args:
            groups: list of ``Group``.
            now_ms: monotonic time.
        """
        waits_and_groups = []
        for group in groups:
            if group.step.lasts or group.step.fills or group.is_suspected:
                continue
            wait_ms = self._wait_times.longest_wait_ms(group, now_ms)
            if wait_ms >= TURN_WAIT_MS and not group.workflow.is_running:
                waits_and_groups.append((wait_ms, group))
        waits_and_groups.sort(
            key=lambda wait_and_group: wait_and_group[0], reverse=True
        )
        return [group for _, group in waits_and_groups]
