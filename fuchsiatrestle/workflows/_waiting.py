"""Decides when long-running tasks have waited too long, and logs why.

A long-running task has to start within seconds if a worker has room for it.
The log lines show whether the workers with room were reserved for other
groups, accepted no placements, or did not exist.
"""

from fuchsiatrestle import logs
from fuchsiatrestle.workflows import _placement
from fuchsiatrestle.workflows import _rounds

__all__ = ('WaitTimes', 'WaitingLog')

# Wait from which a long-running task is overdue.  It no longer yields to batch
# tasks; within the share of the long-running tasks, it may also use reserved
# workers.
OVERDUE_WAIT_MS = 2000
# Shortest time between two reports.
REPORT_INTERVAL_MS = 1000
# Groups that have waited for less are not reported.
MIN_REPORTED_WAIT_MS = 3000
# Largest number of groups in a report; those that waited longest come first.
MAX_REPORTED_GROUPS = 10

LOG = logs.get_logger(__name__)


class WaitTimes:
    """Measures for how long the tasks of long-running groups have waited."""

    def __init__(self):
        # By task id.
        self._waiting_since_ms_by_task = {}

    def update_waiting_groups(self, groups, now_ms):
        """Records which tasks wait now; the wait of all others has ended.

        Args:
            groups: list of the ``Group`` of long-running steps.
            now_ms: monotonic time.
        """
        self._waiting_since_ms_by_task = {
            task_id: self._waiting_since_ms_by_task.get(task_id, now_ms)
            for group in groups
            for task_id in group.waiting_task_ids
        }

    def longest_wait_ms(self, group, now_ms):
        """Returns the wait of the task of a group that has waited longest.

        Args:
            group: the ``Group``.
            now_ms: monotonic time.
        """
        waiting_since_ms = min(
            self._waiting_since_ms_by_task.get(task_id, now_ms)
            for task_id in group.waiting_task_ids
        )
        return now_ms - waiting_since_ms

    def is_overdue(self, group, now_ms):
        """True if a task of a long-running group has waited too long.

        Args:
            group: the ``Group``.
            now_ms: monotonic time.
        """
        if not group.step.lasts:
            return False
        return self.longest_wait_ms(group, now_ms) >= OVERDUE_WAIT_MS


class WaitingLog:
    """Reports the long-running groups that have waited longest.

    Args:
        wait_times: ``WaitTimes``.
        now_ms: monotonic time.
    """

    def __init__(self, wait_times, now_ms):
        self._wait_times = wait_times
        self._next_report_ms = now_ms + REPORT_INTERVAL_MS

    def report_if_due(self, rounds, workers, now_ms):
        """Logs a line for each reported group, at most once a second.

        Args:
            rounds: the ``PlacementRound`` of each service, after the round.
            workers: all workers.
            now_ms: monotonic time.
        """
        if now_ms < self._next_report_ms:
            return
        self._next_report_ms = now_ms + REPORT_INTERVAL_MS
        for pool_round in rounds:
            self._report_round(pool_round, workers, now_ms)

    def _report_round(self, pool_round, workers, now_ms):
        pool_workers = [
            worker
            for worker in workers
            if worker.record.pool == pool_round.pool
            and worker.withdrawn_ms is None
        ]
        waits_and_groups = self._find_long_waits(pool_round, now_ms)
        for wait_ms, group in waits_and_groups[:MAX_REPORTED_GROUPS]:
            room_counts = _count_workers_with_room(
                group, pool_round, pool_workers
            )
            LOG.info(
                'group_waits',
                extra={
                    'workflow': group.workflow.workflow_id,
                    'step': f'{group.occurrence}.{group.step_number}',
                    'waiting': len(group.waiting_task_ids),
                    'interrupted': group.is_interrupted,
                    'waited_ms': wait_ms,
                    'cpu': group.step.cpu,
                    **room_counts,
                    'reserved': len(pool_round.reserved_workers),
                    'long_running_share': pool_round.long_running_share,
                    'groups': len(waits_and_groups),
                },
            )

    def _find_long_waits(self, pool_round, now_ms):
        """Returns (wait in ms, ``Group``) pairs, the longest wait first."""
        waits_and_groups = [
            (self._wait_times.longest_wait_ms(group, now_ms), group)
            for group in pool_round.waiting_long_running_groups
        ]
        return sorted(
            (
                wait_and_group
                for wait_and_group in waits_and_groups
                if wait_and_group[0] >= MIN_REPORTED_WAIT_MS
            ),
            key=lambda wait_and_group: wait_and_group[0],
            reverse=True,
        )


def _count_workers_with_room(group, pool_round, workers):
    """Returns how many workers have room for a task of a group.

    The keys of the dict are those of the log line, one for each availability
    of the workers.
    """
    availabilities = (
        _rounds.Availability.OPEN,
        _rounds.Availability.RESERVED,
        _rounds.Availability.UNUSABLE,
    )
    counts = {f'room_{availability}': 0 for availability in availabilities}
    task_id = group.waiting_task_ids[0]
    for worker in workers:
        if _placement.has_room(group.step, task_id, worker):
            counts[f'room_{pool_round.find_availability(worker)}'] += 1
    return counts
