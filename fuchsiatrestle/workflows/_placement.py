"""Choice of the worker for a task; decisions only.

Answers the load of a heavy day on shared workers: room must not fragment,
work should run near its data, and tasks that fill must not sit beside tasks
that serve while there is another place.
"""

import abc
import heapq

from fuchsiatrestle.workflows import _interference

__all__ = ('BestFit', 'FirstFit', 'Placer', 'suits')

# Share of the processor time reserved by serving tasks that they leave to
# tasks that fill; the rest covers the peaks of their load.
SERVING_LEAVES = 0.5
# Share of a worker up to which an image is tried that may disturb there.
TRIED_SHARE = 0.15

# Costs that order the workers for a serving task.
OPEN_COST = 1
MIX_COST = 2


class Placer(abc.ABC):
    """Picks workers for the tasks of a group."""

    def place(self, group, workers):
        """Returns (task, worker) pairs, at most one for a waiting task.

        Args:
            group: ``Group``; for a gang all of its tasks are placed or none.
            workers: usable workers of the service.
        """
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
        ranking = _Ranking(self, group, ledger, workers)
        pairs = []
        for task in group.waiting:
            worker = ranking.best()
            if worker is None:
                break
            ledger.take(worker)
            ranking.renew_best()
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

    Serving tasks of one image go together, then those of images that the same
    ones disturb, so that there are workers on which a given image that fills
    disturbs none.  What fills goes first where few others may go, and leaves
    the workers that most may use.

    Args:
        interference: what is known of pairs of images.
    """

    def __init__(self, interference):
        self._interference = interference

    def score(self, step, worker, ledger):
        """Orders by distance, disturbance and what is left over."""
        far = (
            bool(step.data_rack) and step.data_rack not in worker.record.labels
        )
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
        welcome = self._interference.welcome(serving)
        return far, verdict, not serving, welcome, -unused

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
            return OPEN_COST
        disturbed = sum(
            self._interference.verdict(step.image, image)
            == _interference.Verdict.HEAVY
            for image in worker.filling_images
        )
        unlike = sum(
            self._interference.unlikeness(step.image, image)
            for image in worker.serving_images
        )
        return MIX_COST * (disturbed + unlike)

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


class _Ranking:
    """Workers that may run one more task of a group, best first.

    Only the worker that was taken has to be judged again for the next task.

    Args:
        placer: ``Placer`` that scores.
        group: the ``Group``.
        ledger: what this round has put on the workers.
        workers: the candidates.
    """

    __slots__ = ('_group', '_heap', '_ledger', '_placer')

    def __init__(self, placer, group, ledger, workers):
        self._placer = placer
        self._group = group
        self._ledger = ledger
        self._heap = []
        for index, worker in enumerate(workers):
            score = self._score(worker)
            if score is not None:
                self._heap.append((score, index, worker))
        heapq.heapify(self._heap)

    def best(self):
        """Returns the best worker, None if none has room."""
        return self._heap[0][2] if self._heap else None

    def renew_best(self):
        """Judges the best worker again after it was taken."""
        _, index, worker = self._heap[0]
        score = self._score(worker)
        if score is None:
            heapq.heappop(self._heap)
        else:
            heapq.heapreplace(self._heap, (score, index, worker))

    def _score(self, worker):
        """Returns what orders a worker, None if it can not run the step."""
        group = self._group
        if not _is_allowed(group.step, group.waiting[0], worker, self._ledger):
            return None
        return self._placer.score(group.step, worker, self._ledger)


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
    """True if a worker may run one more task of the step of a task."""
    room = worker.room
    if not step.fills and room.free_cpu < step.cpu + ledger.cpu(worker):
        return False
    if room.free_memory_mb < step.memory_mb + ledger.memory_mb(worker):
        return False
    needed = step.accelerators + ledger.accelerators(worker)
    if room.free_accelerators < needed:
        return False
    return suits(step, task, worker, ledger.count(worker))


def suits(step, task, worker, added=0):
    """True if label and spread let a worker run one more task of a step.

    Args:
        step: the ``Step``.
        task: id of any of its tasks.
        worker: the worker, whose room does not matter here.
        added: tasks of the step put there and not yet reserved.
    """
    if step.label and step.label not in worker.record.labels:
        return False
    if not step.most_per_worker:
        return True
    return worker.room.count(task) + added < step.most_per_worker


def _rack(worker):
    """Returns the labels that place a worker; equal within a rack."""
    return tuple(worker.record.labels[1:])
