"""What one round of placing offers to the groups that wait, in their order.

Decisions only; the choice of a worker is in ``_placement``.
"""

from fuchsiatrestle.workflows import _placement

__all__ = ('HeldBack', 'Offer')

# Share of all processor time that lasting tasks get while quick ones wait.
MOST_LASTING = 0.88
# A lasting task that has room has to run again within seconds.
HELD_BACK_MS = 2000
# Share of the workers that are kept at most for tasks that do not fit yet.
MOST_RESERVED = 0.2


class Offer:
    """Workers of a service in one round of placing.

    Answers small tasks that take every gap as it opens, so that room for a
    large one never comes together: what does not fit has a worker kept for
    it, on which nothing behind it is placed.

    Room only shrinks within a round, so a step that asks for as much as one
    that found no worker is not tried.

    Args:
        workers: the usable workers.
    """

    def __init__(self, workers):
        self._workers = workers
        self._quick_priority = None
        self._reserved = set()
        self._most_reserved = int(MOST_RESERVED * len(workers)) + 1
        self._misses = {}
        capacity = sum(worker.record.cpu for worker in workers)
        self._most_lasting = MOST_LASTING * capacity
        self._lasting_cpu = sum(worker.room.lasting_cpu for worker in workers)

    # Queries

    def is_beyond_share(self, group):
        """True if a lasting group leads beyond the share of lasting tasks.

        Answers a day with more lasting tasks than room: they never end, so
        that quick work of the same priority would find none any more.
        """
        if not group.step.lasts:
            return False
        wanted = group.step.cpu * len(group.waiting)
        return self._lasting_cpu + wanted > self._most_lasting

    def yields(self, priority):
        """True if a lasting group makes way for quick tasks that wait."""
        if self._quick_priority is None:
            return False
        return self._quick_priority <= priority

    def has_room(self, step):
        """False if a step that asks for no more has found no worker."""
        return not any(
            _asks_for_less(miss, step)
            for miss in self._misses.get(_kind(step), ())
        )

    def workers_for(self, step):
        """Returns the workers on which a step may be placed."""
        if step.fills or not self._reserved:
            return self._workers
        return [
            worker
            for worker in self._workers
            if worker.name not in self._reserved
        ]

    # Commands

    def note_placed(self, step, count):
        """Notes that tasks of a step have got their workers."""
        if step.lasts:
            self._lasting_cpu += count * step.cpu

    def note_waiting(self, group, priority):
        """Notes a group that waits; keeps a worker where it will fit first."""
        step = group.step
        if not step.gang and not step.most_per_worker and self.has_room(step):
            self._misses.setdefault(_kind(step), []).append(step)
        if step.fills:
            return
        if not step.lasts:
            self._note_quick(priority)
        if len(self._reserved) < self._most_reserved:
            self._reserve(group)

    def _note_quick(self, priority):
        if self._quick_priority is not None:
            priority = min(priority, self._quick_priority)
        self._quick_priority = priority

    def _reserve(self, group):
        task = group.waiting[-1]
        best = max(
            (
                worker
                for worker in self.workers_for(group.step)
                if _could_run(group.step, task, worker)
            ),
            key=lambda worker: worker.room.free_cpu,
            default=None,
        )
        if best is not None:
            self._reserved.add(best.name)


class HeldBack:
    """Since when groups of lasting tasks have been making way.

    Quick work goes first, but not for ever: a lasting task is missed by its
    own users while it does not run.
    """

    def __init__(self):
        self._since_ms = {}

    def is_over(self, group, now_ms):
        """True if a group has made way for long enough."""
        since_ms = self._since_ms.get(_group_key(group), now_ms)
        return now_ms - since_ms >= HELD_BACK_MS

    def renew(self, groups, now_ms):
        """Takes the groups that came last in this round."""
        self._since_ms = {
            key: self._since_ms.get(key, now_ms)
            for key in map(_group_key, groups)
        }


def _group_key(group):
    return group.workflow.workflow_id, group.occurrence, group.number


def _kind(step):
    """Returns what steps have in common that compete for the same room."""
    return step.fills, step.image if step.fills else ''


def _asks_for_less(miss, step):
    """True if a step can not fit where another one did not."""
    return (
        miss.label in ('', step.label)
        and miss.cpu <= step.cpu
        and miss.memory_mb <= step.memory_mb
        and miss.accelerators <= step.accelerators
    )


def _could_run(step, task, worker):
    """True if a worker would run a task once enough of its room is free."""
    if not _placement.suits(step, task, worker):
        return False
    return step.cpu <= worker.record.cpu - worker.room.lasting_cpu
