"""Decides which workers the waiting groups may use in a placement round.

A group is the waiting tasks of one step; a placement round tries once to
place each group.  A long-running task (``lasts`` in its step) runs until its
workflow is cancelled; a batch task ends by itself.  The choice of a worker
among those that a group may use is in ``_placement``.
"""

from fuchsiatrestle.workflows import _crashes
from fuchsiatrestle.workflows import _placement

__all__ = ('Availability', 'PlacementRound', 'ReservationLimits')

# Share of the processor time of a round's workers that long-running tasks may
# reserve; groups that would exceed it make way for waiting batch tasks.
MAX_LONG_RUNNING_CPU_SHARE = 0.88
# Share of the workers that may be reserved for tasks that do not fit yet.  One
# more worker than this may be reserved, so that a small fleet can reserve one.
MAX_RESERVED_WORKER_SHARE = 0.2
# A service has much room while less than this share of the processor time of a
# round's workers is reserved by tasks.
MOSTLY_FREE_CPU_SHARE = 0.5
# Longest time for which rounds may reserve a worker without a break, and the
# length of the break: groups that fit get their turn in it.
MAX_RESERVATION_MS = 30_000
RESERVATION_BREAK_MS = 1000


class Availability:
    """Availability of a worker for the groups that come later in a round."""

    OPEN = 'open'
    RESERVED = 'reserved'  # for a group that does not fit yet
    UNUSABLE = 'unusable'  # it accepts no placements


class ReservationLimits:
    """Limits for how long the rounds may reserve a worker without a break.

    What a group waits for may not come for a long time, while the room on the
    worker that is reserved for it would suffice for others.
    """

    def __init__(self):
        # Both by name of the worker.
        self._reserved_since_ms = {}
        self._break_until_ms = {}

    def may_reserve(self, worker, now_ms):
        """False if the reservations of a worker are in a break.

        Args:
            worker: the ``Worker``.
            now_ms: monotonic time.
        """
        return now_ms >= self._break_until_ms.get(worker.name, now_ms)

    def record_reservations(self, worker_names, now_ms):
        """Records which workers the rounds of all services have reserved.

        Args:
            worker_names: names of the workers.
            now_ms: monotonic time.
        """
        self._reserved_since_ms = {
            name: self._reserved_since_ms.get(name, now_ms)
            for name in worker_names
        }
        self._break_until_ms = {
            name: break_until_ms
            for name, break_until_ms in self._break_until_ms.items()
            if break_until_ms > now_ms
        }
        for name, since_ms in self._reserved_since_ms.items():
            if now_ms - since_ms >= MAX_RESERVATION_MS:
                self._break_until_ms[name] = now_ms + RESERVATION_BREAK_MS


class PlacementRound:
    """Workers of a service in one placement round.

    Small tasks would take every gap as it opens, and a large task would
    never find enough room on one worker.  So the round reserves a worker for
    a group that does not fit, and groups that come later in the round do not
    use that worker.  Best-effort tasks, which reserve no processor time, may
    still be placed on it.  So may the groups that ignore reservations: the
    interrupted ones, the overdue ones within the share of the long-running
    tasks, and any overdue one while the service has much room.  They can not
    wait for as long as the rounds may reserve the worker again and again.

    Free capacity only shrinks within a round.  So if a task found no worker,
    later steps that need at least as much as its step are not tried, unless
    its step is a gang or has ``most_per_worker``.

    Args:
        pool: name of the service.
        workers: the workers of the service that accept placements.
        reservation_limits: the ``ReservationLimits``.
        now_ms: monotonic time.

    Attributes:
        pool: name of the service.
        reserved_workers: set of the names of the reserved workers.
        closed_worker_names: names of the workers on which a suspected task is
            started alone.
        waiting_groups: the groups that were not placed, or not whole.
    """

    def __init__(self, pool, workers, reservation_limits, now_ms):
        self.pool = pool
        self.waiting_groups = []
        self._workers = workers
        self._worker_count = len(workers)
        self.closed_worker_names = set()
        self._reservation_limits = reservation_limits
        self._now_ms = now_ms
        self._usable_names = {worker.name for worker in workers}
        self._has_cold_worker = any(worker.is_cold for worker in workers)
        # Highest priority (lowest number) of the queues of the batch groups
        # that found no worker for some of their tasks.
        self._waiting_batch_priority = None
        self.reserved_workers = set()
        self._max_reserved_workers = (
            int(MAX_RESERVED_WORKER_SHARE * len(workers)) + 1
        )
        self._unplaced_steps_by_competition = {}
        self._total_cpu = sum(worker.record.cpu for worker in workers)
        self._max_long_running_cpu = (
            MAX_LONG_RUNNING_CPU_SHARE * self._total_cpu
        )
        self._reserved_cpu = self._total_cpu - sum(
            worker.capacity.free_cpu for worker in workers
        )
        self._long_running_cpu = sum(
            worker.capacity.long_running_cpu for worker in workers
        )

    # Queries

    def exceeds_long_running_share(self, group):
        """True if placing a group would exceed the long-running tasks' share.

        Long-running tasks free no capacity by themselves.  Without the limit,
        more of them than the workers can run would leave no room for batch
        tasks of the same priority.  Interrupted tasks are exempt: they were
        placed within the share before.
        """
        if not group.step.lasts or group.is_interrupted:
            return False
        wanted_cpu = group.step.cpu * len(group.waiting_task_ids)
        return self._long_running_cpu + wanted_cpu > self._max_long_running_cpu

    @property
    def is_mostly_free(self):
        """True if much of the processor time was free before the round."""
        return self._reserved_cpu < MOSTLY_FREE_CPU_SHARE * self._total_cpu

    @property
    def may_close_worker(self):
        """True if one more suspected task may be started alone."""
        max_closed_workers = max(
            1, int(_crashes.MAX_TRIAL_WORKER_SHARE * self._worker_count)
        )
        return len(self.closed_worker_names) < max_closed_workers

    def must_yield_to_batch(self, priority):
        """True if a long-running group must make way for waiting batch tasks.

        Args:
            priority: priority of the group's queue; 0 is the highest, and
                only batch tasks of the same or a higher one count.
        """
        if self._waiting_batch_priority is None:
            return False
        return self._waiting_batch_priority <= priority

    @property
    def usable_workers(self):
        """Workers that accept placements, the reserved ones included."""
        return self._workers

    def may_fit(self, step, *, ignores_reservations):
        """False if a step with no larger needs found no worker this round.

        Args:
            step: the ``Step``.
            ignores_reservations: True if its group may use reserved workers.
        """
        return not any(
            _needs_at_most(unplaced_step, step)
            and not self._may_use_more_workers(step, unplaced_step)
            for unplaced_step in self._unplaced_steps_by_competition.get(
                _competition_key(step, ignores_reservations), ()
            )
        )

    def _may_use_more_workers(self, step, other_step):
        """True if only ``other_step`` is kept off cold workers."""
        return (
            self._has_cold_worker
            and bool(other_step.tail_target_ms)
            and not step.tail_target_ms
        )

    def workers_for(self, step, *, ignores_reservations):
        """Returns the workers on which tasks of a step may be placed.

        Args:
            step: the ``Step``.
            ignores_reservations: True if its group may use reserved workers.
        """
        if step.fills or ignores_reservations or not self.reserved_workers:
            return self._workers
        return [
            worker
            for worker in self._workers
            if worker.name not in self.reserved_workers
        ]

    # Figures for log lines

    @property
    def long_running_share(self):
        """Share of the processor time that long-running tasks reserve."""
        return round(self._long_running_cpu / max(self._total_cpu, 1), 3)

    @property
    def reserved_share(self):
        """Share of the processor time that was reserved before the round."""
        return round(self._reserved_cpu / max(self._total_cpu, 1), 3)

    def find_availability(self, worker):
        """Returns the ``Availability`` of a worker."""
        if worker.name in self.reserved_workers:
            return Availability.RESERVED
        if worker.name in self._usable_names:
            return Availability.OPEN
        return Availability.UNUSABLE

    # Results of the round

    def close_worker(self, name):
        """Keeps all groups that come later in the round off a worker.

        Args:
            name: name of the worker; one that the round may not use anyway is
                ignored.
        """
        if name not in self._usable_names:
            return
        self.closed_worker_names.add(name)
        self._usable_names.discard(name)
        self._workers = [
            worker for worker in self._workers if worker.name != name
        ]

    def record_placed_tasks(self, step, task_count):
        """Counts the processor time of placed tasks of a long-running step.

        Args:
            step: the ``Step``.
            task_count: number of its tasks that were placed.
        """
        if step.lasts:
            self._long_running_cpu += task_count * step.cpu

    def record_waiting_group(self, group, priority, *, ignores_reservations):
        """Records a group with waiting tasks and reserves a worker for it.

        Args:
            group: the ``Group``.
            priority: priority of its queue.
            ignores_reservations: True if it may use reserved workers.
        """
        step = group.step
        self.waiting_groups.append(group)
        if (
            not step.gang
            and not step.most_per_worker
            and self.may_fit(step, ignores_reservations=ignores_reservations)
        ):
            self._unplaced_steps_by_competition.setdefault(
                _competition_key(step, ignores_reservations), []
            ).append(step)
        if step.fills:
            return
        if not step.lasts:
            self._record_waiting_batch_priority(priority)
        if len(self.reserved_workers) < self._max_reserved_workers:
            self._reserve_worker(group)

    def record_suspected_group(self, group):
        """Records a suspected group that was not placed."""
        self.waiting_groups.append(group)

    def record_deferred_group(self, group):
        """Records a long-running group that made way for batch tasks."""
        self.waiting_groups.append(group)

    def _record_waiting_batch_priority(self, priority):
        if self._waiting_batch_priority is not None:
            priority = min(priority, self._waiting_batch_priority)
        self._waiting_batch_priority = priority

    def _reserve_worker(self, group):
        """Reserves the worker on which a group is likely to fit first.

        The candidates are the workers that may be reserved and are not
        reserved yet, meet the constraints of the group's step and would have
        the processor time for one of its tasks if they ran no batch tasks.
        The one with the most free processor time is chosen.
        """
        task_id = group.waiting_task_ids[-1]
        best_worker = max(
            (
                worker
                for worker in self.workers_for(
                    group.step, ignores_reservations=False
                )
                if self._reservation_limits.may_reserve(worker, self._now_ms)
                and _fits_without_batch_tasks(group.step, task_id, worker)
            ),
            key=lambda worker: worker.capacity.free_cpu,
            default=None,
        )
        if best_worker is not None:
            self.reserved_workers.add(best_worker.name)


def _competition_key(step, ignores_reservations):
    """Returns a key that is equal for steps that compete for capacity.

    Best-effort steps compete only with best-effort steps of the same image,
    and groups that ignore reservations may use more workers than others.
    """
    return step.fills, step.image if step.fills else '', ignores_reservations


def _needs_at_most(unplaced_step, step):
    """True if ``step`` needs at least as much as ``unplaced_step``."""
    return (
        unplaced_step.label in ('', step.label)
        and unplaced_step.cpu <= step.cpu
        and unplaced_step.memory_mb <= step.memory_mb
        and unplaced_step.accelerators <= step.accelerators
    )


def _fits_without_batch_tasks(step, task_id, worker):
    """True if a worker could run a task if no batch task reserved its CPU.

    Only the processor time that long-running tasks reserve counts as taken.
    The label and ``most_per_worker`` of the step must allow the task now;
    memory and accelerators are not checked.
    """
    if not _placement.meets_constraints(step, task_id, worker):
        return False
    return step.cpu <= worker.record.cpu - worker.capacity.long_running_cpu
