"""Measures for how long groups have waited, and logs why they wait.

A task has to start within seconds if a worker has room for it.  The log lines
show whether the workers with room were reserved for other groups, accepted no
placements, were barred to a best-effort image, or did not exist.
"""

import collections

from fuchsiatrestle import logs
from fuchsiatrestle.workflows import _placement
from fuchsiatrestle.workflows import _rounds
from fuchsiatrestle.workflows import _runs

__all__ = ('WaitTimes', 'WaitingLog')

# Wait from which a task is overdue.  A long-running one no longer yields to
# batch tasks; within the share of the long-running tasks, it may also use
# reserved workers.  A best-effort one may be placed where it may disturb
# serving tasks, if nothing else of its step runs.
OVERDUE_WAIT_MS = 2000
# Wait from which a best-effort task may be placed so beside other runs of its
# step.  It is longer, as each such start may disturb for a moment.
OVERDUE_BESIDE_RUNS_MS = 5000
# Shortest time between two reports.
REPORT_INTERVAL_MS = 1000
# Groups that have waited for less are not reported.
MIN_REPORTED_WAIT_MS = 3000
# Largest number of groups of each kind in a report; those that waited longest
# come first.
MAX_REPORTED_GROUPS = 10

LOG = logs.get_logger(__name__)


class WaitTimes:
    """Measures for how long groups have waited.

    Long-running tasks are measured one by one.  Any other group has waited
    since one of its tasks was placed last.  While nothing of its step, or no
    run of the long-running task, is live, the wait counts from the agreed
    time of that, so it goes on across changes of leader.  It also counts from
    the first round that saw it so, as the time of day may have been set back.
    """

    def __init__(self):
        # By task id; the first of them as seen by this leader alone.
        self._seen_since_ms_by_task = {}
        self._waiting_since_ms_by_task = {}
        # By the key of the group.
        self._waiting_since_ms_by_group = {}

    def update_waiting_groups(self, groups, now_ms, wall_ms):
        """Records which groups wait now; the wait of all others has ended.

        Args:
            groups: list of all ``Group`` that may start now.
            now_ms: monotonic time.
            wall_ms: time since the epoch.
        """
        wall_offset_ms = wall_ms - now_ms
        self._seen_since_ms_by_task = {
            task_id: self._seen_since_ms_by_task.get(task_id, now_ms)
            for group in groups
            if group.step.lasts
            for task_id in group.waiting_task_ids
        }
        self._waiting_since_ms_by_task = {
            task_id: _find_start(
                self._seen_since_ms_by_task[task_id],
                group.workflow.task_idle_since_ms(task_id),
                wall_offset_ms,
            )
            for group in groups
            if group.step.lasts
            for task_id in group.waiting_task_ids
        }
        self._waiting_since_ms_by_group = {
            group.key: _find_start(
                self._waiting_since_ms_by_group.get(group.key, now_ms),
                group.workflow.idle_since_ms(
                    group.occurrence, group.step_number
                ),
                wall_offset_ms,
            )
            for group in groups
            if not group.step.lasts
        }

    def record_placed_task(self, group, now_ms):
        """Starts the wait of a group anew, as one of its tasks was placed.

        Args:
            group: the ``Group``.
            now_ms: monotonic time.
        """
        if not group.step.lasts:
            self._waiting_since_ms_by_group[group.key] = now_ms

    def longest_wait_ms(self, group, now_ms):
        """Returns for how long a group has waited.

        Args:
            group: the ``Group``; the wait of a long-running one is that of its
                task that has waited longest.
            now_ms: monotonic time.
        """
        if not group.step.lasts:
            return now_ms - self._waiting_since_ms_by_group.get(
                group.key, now_ms
            )
        waiting_since_ms = min(
            self._waiting_since_ms_by_task.get(task_id, now_ms)
            for task_id in group.waiting_task_ids
        )
        return now_ms - waiting_since_ms

    def is_overdue(self, group, now_ms):
        """True if a group has waited too long.

        Args:
            group: the ``Group``.
            now_ms: monotonic time.
        """
        return self.longest_wait_ms(group, now_ms) >= OVERDUE_WAIT_MS

    def has_been_tried_enough(self, group, now_ms):
        """True if this leader has tried to place a task for too long.

        An earlier leader may have ordered starts whose outcomes this one has
        yet to learn.

        Args:
            group: the ``Group`` of a long-running task.
            now_ms: monotonic time.
        """
        return any(
            now_ms - self._seen_since_ms_by_task.get(task_id, now_ms)
            >= OVERDUE_WAIT_MS
            for task_id in group.waiting_task_ids
        )

    def is_overdue_beside_runs(self, group, now_ms):
        """True if a group has waited too long though others of its step run.

        Args:
            group: the ``Group``.
            now_ms: monotonic time.
        """
        return self.longest_wait_ms(group, now_ms) >= OVERDUE_BESIDE_RUNS_MS


def _find_start(measured_ms, idle_since_ms, wall_offset_ms):
    """Returns since when something waits, as monotonic time.

    Args:
        measured_ms: the monotonic time from which this leader has measured.
        idle_since_ms: agreed time since the epoch from which nothing of it is
            live, None if a run is.
        wall_offset_ms: time since the epoch at monotonic time 0.
    """
    if idle_since_ms is None:
        return measured_ms
    return min(measured_ms, idle_since_ms - wall_offset_ms)


class WaitingLog:
    """Reports the groups that have waited longest.

    Args:
        wait_times: ``WaitTimes``.
        placer: ``Placer``, which tells why a worker is not used.
        now_ms: monotonic time.
    """

    def __init__(self, wait_times, placer, now_ms):
        self._wait_times = wait_times
        self._placer = placer
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
        for kind in _runs.STEP_KINDS:
            self._report_kind(kind, pool_round, pool_workers, now_ms)

    def _report_kind(self, kind, pool_round, pool_workers, now_ms):
        waits_and_groups = self._find_long_waits(kind, pool_round, now_ms)
        for wait_ms, group in waits_and_groups[:MAX_REPORTED_GROUPS]:
            room_counts = _count_workers_with_room(
                group, pool_round, pool_workers
            )
            LOG.info(
                'group_waits',
                extra={
                    'kind': kind,
                    'workflow': group.workflow.workflow_id,
                    'step': f'{group.occurrence}.{group.step_number}',
                    'waiting': len(group.waiting_task_ids),
                    'interrupted': group.is_interrupted,
                    'waited_ms': wait_ms,
                    'idle': not group.workflow.is_running,
                    'cpu': group.step.cpu,
                    **room_counts,
                    **self._count_obstacles(group, pool_round, pool_workers),
                    'suspected': group.is_suspected,
                    'reserved': len(pool_round.reserved_workers),
                    'long_running_share': pool_round.long_running_share,
                    'reserved_share': pool_round.reserved_share,
                    'groups': len(waits_and_groups),
                },
            )

    def _count_obstacles(self, group, pool_round, workers):
        """Returns how many usable workers with room each obstacle bars.

        The keys of the dict are those of the log line.
        """
        task_id = group.waiting_task_ids[0]
        obstacles = collections.Counter(
            self._placer.find_obstacle(group.step, task_id, worker)
            for worker in workers
            if pool_round.find_availability(worker)
            != _rounds.Availability.UNUSABLE
        )
        return {
            f'barred_{obstacle}': obstacles[obstacle]
            for obstacle in _placement.BEST_EFFORT_OBSTACLES
        }

    def _find_long_waits(self, kind, pool_round, now_ms):
        """Returns (wait in ms, ``Group``) pairs, the longest wait first."""
        waits_and_groups = [
            (self._wait_times.longest_wait_ms(group, now_ms), group)
            for group in pool_round.waiting_groups
            if _runs.step_kind(group.step) == kind
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
