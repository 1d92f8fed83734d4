"""Choice of the worker for a task; decisions only.

Answers the load of a heavy day on shared workers: room must not fragment,
work should run near its data, and tasks that fill must not sit beside tasks
that serve while there is another place.
"""

import abc

from fuchsiatrestle.workflows import _interference

__all__ = ('BestFit', 'FirstFit', 'Offer', 'Placer')

# Share of the processor time reserved by serving tasks that they leave to
# tasks that fill; the rest covers the peaks of their load.
SERVING_LEAVES = 0.5
# Share of a worker up to which an image is tried that may disturb there.
TRIED_SHARE = 0.15
# Share of the workers that are kept free of serving tasks while others have
# room, for images that would disturb on all of them.
KEPT_FREE = 0.15
# Share of all processor time that lasting tasks get while quick ones wait.
MOST_LASTING = 0.88
# Share of the workers that are kept at most for tasks that do not fit yet.
MOST_RESERVED = 0.2

# Costs that order the workers for a serving task.
OPEN_COST = 1
MIX_COST = 2
OPEN_LAST_COST = 5


class Placer(abc.ABC):
    """Picks workers for the tasks of a group."""

    def place(self, group, workers):
        """Returns (task, worker) pairs, at most one for a waiting task.

        Args:
            group: ``Group``; for a gang all of its tasks are placed or none.
            workers: usable workers of the service.
        """
        self.survey(workers)
        if group.step.gang:
            return self._place_gang(group, workers)
        return self._fill(group, workers)

    def _place_gang(self, group, workers):
        for candidates in self._gang_candidates(group.step, workers):
            pairs = self._fill(group, candidates)
            if len(pairs) == group.step.count:
                return pairs
        return []

    def _fill(self, group, workers):
        """Returns (task, worker) pairs up to the first that does not fit."""
        ledger = _Ledger(group.step)
        pairs = []
        for task in group.waiting:
            worker = self._choose(group, task, workers, ledger)
            if worker is None:
                break
            ledger.take(worker)
            pairs.append((task, worker))
        return pairs

    def _gang_candidates(self, step, workers):
        """Yields sets of workers to try, best first."""
        if step.one_rack:
            racks = {}
            for worker in workers:
                racks.setdefault(_rack(worker), []).append(worker)
            yield from sorted(racks.values(), key=len, reverse=True)
        yield workers

    def _choose(self, group, task, workers, ledger):
        step = group.step
        best = None
        best_score = None
        for worker in workers:
            if not _is_allowed(step, task, worker, ledger):
                continue
            score = self.score(step, worker, ledger)
            if score is None:
                continue
            if best_score is None or score < best_score:
                best, best_score = worker, score
        return best

    def survey(self, workers):
        """Looks at all candidates before the first choice."""

    @abc.abstractmethod
    def score(self, step, worker, ledger):
        """Returns a value that is lowest for the best worker, None to skip.

        Args:
            step: the ``Step``.
            worker: a worker with room.
            ledger: what this round has put on the workers already.
        """


class FirstFit(Placer):
    """The first worker with room; the baseline of the comparisons."""

    def score(self, step, worker, ledger):
        """Returns the same value for all."""
        return 0


class BestFit(Placer):
    """Near the data, apart from what it would disturb, in the tightest gap.

    Serving tasks of one image go together, so that there are workers on which
    a given image that fills disturbs none.

    Args:
        interference: what is known of pairs of images.
    """

    def __init__(self, interference):
        self._interference = interference
        self._may_open = True

    def survey(self, workers):
        """Notes whether another worker may begin to serve."""
        free = sum(not worker.room.serving_cpu for worker in workers)
        self._may_open = free > KEPT_FREE * len(workers)

    def score(self, step, worker, ledger):
        """Orders by distance, disturbance and what is left over."""
        far = bool(step.data_rack) and step.data_rack not in _labels(worker)
        if step.fills:
            return self._score_filling(step, worker, ledger, far)
        mixed = 0
        if step.tail_target_ms:
            mixed = self._mixed(step, worker)
        left = worker.room.free_cpu - ledger.cpu(worker) - step.cpu
        return far, mixed, left

    def _score_filling(self, step, worker, ledger, far):
        unused = self._unused_cpu(worker, ledger)
        if unused < step.cpu:
            return None
        serving = worker.serving_images
        verdict = self._interference.worst(serving, step.image)
        if verdict == _interference.Verdict.HEAVY:
            return None
        if verdict == _interference.Verdict.UNKNOWN:
            if not self._may_try(step, worker, ledger):
                return None
        return far, verdict, not serving, -unused

    def _may_try(self, step, worker, ledger):
        """True if one more task may show whether its image disturbs.

        One such image at a time, and enough of it to be telling.
        """
        serving = worker.serving_images
        tried_cpu = ledger.cpu(worker)
        for run in worker.runs.values():
            if not run.fills:
                continue
            if run.step.image == step.image:
                tried_cpu += run.step.cpu
            elif (
                self._interference.worst(serving, run.step.image)
                != _interference.Verdict.LIGHT
            ):
                return False
        return tried_cpu < TRIED_SHARE * worker.record.cpu

    def _mixed(self, step, worker):
        """Returns how ill a serving task would sit on a worker."""
        if not worker.room.serving_cpu:
            return OPEN_COST if self._may_open else OPEN_LAST_COST
        disturbed = sum(
            self._interference.verdict(step.image, image)
            == _interference.Verdict.HEAVY
            for image in worker.filling_images
        )
        others = len(worker.serving_images - {step.image})
        return MIX_COST * (disturbed + others)

    @staticmethod
    def _unused_cpu(worker, ledger):
        """Returns the processor time that a task that fills could use."""
        room = worker.room
        return (
            room.free_cpu
            + SERVING_LEAVES * room.serving_cpu
            - room.filling_cpu
            - ledger.cpu(worker)
        )


class Offer:
    """Workers of a service in one round of placing.

    Answers small tasks that take every gap as it opens, so that room for a
    large one never comes together: what does not fit has a worker kept for
    it, on which nothing behind it is placed.

    Args:
        workers: the usable workers.
    """

    def __init__(self, workers):
        self._quick_waiting = []
        self._workers = workers
        self._reserved = set()
        self._most = int(MOST_RESERVED * len(workers)) + 1
        self._capacity = sum(worker.record.cpu for worker in workers)

    def is_beyond_share(self, group):
        """True if a lasting group leads beyond the share of lasting tasks.

        Answers a day with more lasting tasks than room: they never end, so
        that quick work of the same priority would find none any more.
        """
        if not group.step.lasts:
            return False
        held = sum(worker.room.lasting_cpu for worker in self._workers)
        wanted = group.step.cpu * len(group.waiting)
        return held + wanted > MOST_LASTING * self._capacity

    def workers_for(self, step):
        """Returns the workers on which a step may be placed."""
        if step.fills:
            return self._workers
        return [
            worker
            for worker in self._workers
            if worker.name not in self._reserved
        ]

    def yields(self, priority):
        """True if a lasting group makes way for quick tasks that wait."""
        return any(one <= priority for one in self._quick_waiting)

    def note_waiting(self, group, priority):
        """Keeps the worker where a waiting task will fit first."""
        if group.step.fills:
            return
        if not group.step.lasts:
            self._quick_waiting.append(priority)
        if len(self._reserved) >= self._most:
            return
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


def _could_run(step, task, worker):
    """True if a worker would run a task once enough of its room is free."""
    room = worker.room
    if step.label and step.label not in _labels(worker):
        return False
    if step.most_per_worker and room.count(task) >= step.most_per_worker:
        return False
    return step.cpu <= worker.record.cpu - room.lasting_cpu


class _Ledger:
    """What a round of placing has put on workers but not yet reserved."""

    __slots__ = ('_counts', '_step')

    def __init__(self, step):
        self._step = step
        self._counts = {}

    def take(self, worker):
        """Notes one more task of the step on a worker."""
        self._counts[worker.name] = self.count(worker) + 1

    def count(self, worker):
        """Returns the tasks put on a worker."""
        return self._counts.get(worker.name, 0)

    def cpu(self, worker):
        """Returns their processor time."""
        return self.count(worker) * self._step.cpu

    def memory_mb(self, worker):
        """Returns their memory."""
        return self.count(worker) * self._step.memory_mb

    def accelerators(self, worker):
        """Returns their accelerators."""
        return self.count(worker) * self._step.accelerators


def _is_allowed(step, task, worker, ledger):
    """True if a worker may run one more task of the step."""
    if step.label and step.label not in _labels(worker):
        return False
    room = worker.room
    if step.most_per_worker:
        present = room.count(task) + ledger.count(worker)
        if present >= step.most_per_worker:
            return False
    if room.free_memory_mb < step.memory_mb + ledger.memory_mb(worker):
        return False
    needed = step.accelerators + ledger.accelerators(worker)
    if room.free_accelerators < needed:
        return False
    return step.fills or room.free_cpu >= step.cpu + ledger.cpu(worker)


def _labels(worker):
    return worker.record.labels


def _rack(worker):
    """Returns the labels that place a worker; equal within a rack."""
    return tuple(worker.record.labels[1:])
