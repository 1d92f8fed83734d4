"""Chooses workers for tasks, without I/O.

On a heavily loaded fleet the free capacity must not be fragmented, tasks
should run near their data, and best-effort tasks must not run beside serving
tasks that they disturb.
"""

import abc
import heapq

from fuchsiatrestle.workflows import _interference

__all__ = (
    'BEST_EFFORT_OBSTACLES',
    'BestFit',
    'FirstFit',
    'LeastDisturbance',
    'Obstacle',
    'Placer',
    'SharedCpu',
    'has_room',
    'meets_constraints',
)

# While it is not known whether a best-effort image disturbs the serving tasks
# on a worker, one more task of the image is put there only if the tasks of the
# image there could use less than this share of the worker's processor time.
TRIAL_CPU_SHARE = 0.15

# Largest number of runs on a worker.  Callers may submit tasks that need next
# to nothing, and a new leader takes over all runs in one step.
MAX_RUNS = 250

# Costs that order the workers for a serving task.  A worker without serving
# tasks costs ``NO_SERVING_COST``.  On any other worker, each best-effort image
# that is heavy beside the task costs ``MIXED_IMAGES_COST``, and each serving
# image costs ``MIXED_IMAGES_COST`` times its dissimilarity to the image of the
# task.
NO_SERVING_COST = 1
MIXED_IMAGES_COST = 2


class Obstacle:
    """Why a worker is not used for a task."""

    NO_ROOM = 'no_room'  # it lacks the capacity or the label
    # The ones below bar best-effort images only.
    CPU_IN_USE = 'cpu_in_use'  # other tasks use the processor time
    HEAVY = 'heavy'  # the image disturbs the serving tasks there
    TRIAL = 'trial'  # the image or another one is being tried there
    TAIL = 'tail'  # the tail latency there is near its target


BEST_EFFORT_OBSTACLES = (
    Obstacle.CPU_IN_USE,
    Obstacle.HEAVY,
    Obstacle.TRIAL,
    Obstacle.TAIL,
)


class Placer(abc.ABC):
    """Chooses workers for the waiting tasks of a group."""

    def choose_workers(self, group, workers):
        """Chooses a worker for each waiting task that fits.

        Args:
            group: ``Group``; if it is a gang, either all of its tasks get a
                worker or none of them does.
            workers: workers of the service that accept placements.

        Returns:
            A list of (task id, ``Worker``), at most one for each task.
        """
        if group.step.gang:
            return self._choose_gang_workers(group, workers)
        return self._choose_worker_per_task(group, workers)

    def _choose_gang_workers(self, group, workers):
        for candidate_workers in self._gang_candidate_sets(
            group.step, workers
        ):
            assignments = self._choose_worker_per_task(
                group, candidate_workers
            )
            if len(assignments) == group.step.count:
                return assignments
        return []

    def _choose_worker_per_task(self, group, workers):
        """Returns (task id, worker) pairs, up to the first unplaced task."""
        allocations = _RoundAllocations(group.step)
        ranking = _WorkerRanking(self, group, allocations, workers)
        assignments = []
        for task_id in group.waiting_task_ids:
            worker = ranking.best_worker()
            if worker is None:
                break
            allocations.add_task(worker)
            ranking.rescore_best_worker()
            assignments.append((task_id, worker))
        return assignments

    def _gang_candidate_sets(self, step, workers):
        """Yields lists of workers for a gang, the preferred one first."""
        warm_workers = [worker for worker in workers if not worker.is_cold]
        if len(warm_workers) < len(workers):
            yield from self._gang_candidate_sets(step, warm_workers)
        if step.one_rack:
            racks = {}
            for worker in workers:
                racks.setdefault(_rack_key(worker), []).append(worker)
            yield from sorted(racks.values(), key=len, reverse=True)
        yield workers

    def find_obstacle(self, step, task_id, worker):
        """Returns the ``Obstacle`` to a task on a worker, None if it fits.

        Args:
            step: the ``Step``.
            task_id: id of any of its tasks.
            worker: a ``Worker``.
        """
        return None if has_room(step, task_id, worker) else Obstacle.NO_ROOM

    @abc.abstractmethod
    def score_worker(self, step, worker, allocations):
        """Returns a sort key that is lowest for the best worker.

        Args:
            step: the ``Step``.
            worker: a ``Worker`` that has enough free capacity.
            allocations: ``_RoundAllocations`` of the group so far.

        Returns:
            A comparable value, or None if the worker must not be used.
        """


class FirstFit(Placer):
    """Chooses the first worker that fits; a baseline for comparisons."""

    def score_worker(self, step, worker, allocations):
        """Returns the same sort key for all workers."""
        return 0


class BestFit(Placer):
    """Prefers workers near the data, then those without interference.

    Among equal workers, a task that reserves processor time goes where the
    least processor time remains free, and a best-effort task goes where the
    most processor time is unused.
    Serving tasks are put beside tasks of the same image, or else of images
    that are disturbed by the same best-effort images.  This leaves workers on
    which a given best-effort image disturbs no task.  A best-effort task
    prefers workers on which few best-effort images are known to disturb no
    task, which leaves the workers that suit many images to the other images.

    Args:
        interference_model: the ``InterferenceModel``.
    """

    def __init__(self, interference_model):
        self._interference_model = interference_model

    def score_worker(self, step, worker, allocations):
        """Returns a key of data distance, interference and remaining CPU."""
        is_far_from_data = (
            bool(step.data_rack) and step.data_rack not in worker.record.labels
        )
        if step.fills:
            return self._score_best_effort(
                step, worker, allocations, is_far_from_data
            )
        colocation_cost = 0
        if step.tail_target_ms:
            colocation_cost = self._colocation_cost(step, worker)
        return (
            is_far_from_data,
            colocation_cost,
            self._score_room(step, worker, allocations),
        )

    def _score_room(self, step, worker, allocations):
        """Returns a sort key of the room that a task leaves on a worker.

        It is the processor time that remains free.
        """
        return (
            worker.capacity.free_cpu
            - allocations.allocated_cpu(worker)
            - step.cpu
        )

    def find_obstacle(self, step, task_id, worker):
        """Tells also what bars a worker to a best-effort step."""
        obstacle = super().find_obstacle(step, task_id, worker)
        if obstacle is not None or not step.fills:
            return obstacle
        return self._find_best_effort_obstacle(
            step, worker, _RoundAllocations(step)
        )

    def _find_best_effort_obstacle(self, step, worker, allocations):
        """Returns what bars a worker to a best-effort step, or None."""
        if self._unused_cpu(worker, allocations) < step.cpu:
            return Obstacle.CPU_IN_USE
        if not worker.may_add_best_effort_run:
            return Obstacle.TAIL
        severity = self._interference_model.worst_severity(
            worker.serving_images, step.image
        )
        if severity == _interference.Severity.HEAVY:
            return Obstacle.HEAVY
        if severity == _interference.Severity.UNKNOWN:
            if not self._may_try_image(step, worker, allocations):
                return Obstacle.TRIAL
        return None

    def _score_best_effort(self, step, worker, allocations, is_far_from_data):
        """Returns the sort key of a worker for a best-effort task.

        It is None if the worker must not be used.
        """
        if self._find_best_effort_obstacle(step, worker, allocations):
            return None
        unused_cpu = self._unused_cpu(worker, allocations)
        serving_images = worker.serving_images
        severity = self._interference_model.worst_severity(
            serving_images, step.image
        )
        light_image_count = self._interference_model.count_images_light_beside(
            serving_images
        )
        return (
            is_far_from_data,
            severity,
            not worker.is_tail_calm,
            not serving_images,
            light_image_count,
            -unused_cpu,
        )

    def _may_try_image(self, step, worker, allocations):
        """True if one more task of an unclassified image may be tried.

        Only one such image is on trial on a worker at a time, so that its
        effect can be told apart; it may use ``TRIAL_CPU_SHARE`` of the
        worker, which is enough to show an effect.
        """
        serving_images = worker.serving_images
        trial_cpu = allocations.allocated_cpu(worker)
        for run in worker.runs.values():
            if not run.is_best_effort:
                continue
            if run.step.image == step.image:
                trial_cpu += run.step.cpu
            elif (
                self._interference_model.worst_severity(
                    serving_images, run.step.image
                )
                != _interference.Severity.LIGHT
            ):
                return False
        return trial_cpu < TRIAL_CPU_SHARE * worker.record.cpu

    def _colocation_cost(self, step, worker):
        """Returns the cost of a serving task beside the tasks on a worker."""
        if not worker.capacity.serving_cpu:
            return NO_SERVING_COST
        heavy_image_count = sum(
            self._interference_model.severity(step.image, image)
            == _interference.Severity.HEAVY
            for image in worker.best_effort_images
        )
        dissimilarity_sum = sum(
            self._interference_model.dissimilarity(step.image, image)
            for image in worker.serving_images
        )
        return MIXED_IMAGES_COST * (heavy_image_count + dissimilarity_sum)

    @staticmethod
    def _unused_cpu(worker, allocations):
        """Returns the processor time that a best-effort task could use."""
        return worker.capacity.unused_cpu - allocations.allocated_cpu(worker)


class LeastDisturbance(BestFit):
    """Puts a best-effort task where it is likely to disturb the least.

    It is for tasks that ``BestFit`` keeps off every worker, and whose pace is
    limited therefore.

    Args:
        interference_model: the ``InterferenceModel``.
        shares_cpu: True if tasks may share processor time that other
            best-effort runs use.
    """

    def __init__(self, interference_model, *, shares_cpu):
        super().__init__(interference_model)
        self._shares_cpu = shares_cpu

    def _score_best_effort(self, step, worker, allocations, is_far_from_data):
        usable_cpu = worker.capacity.best_effort_limit
        if not self._shares_cpu:
            usable_cpu = self._unused_cpu(worker, allocations)
        if usable_cpu < step.cpu:
            return None
        limited_run_count = allocations.task_count(worker) + sum(
            run.is_pace_limited for run in worker.runs.values()
        )
        probability = self._interference_model.worst_probability(
            worker.serving_images, step.image
        )
        return (
            limited_run_count,
            not worker.is_tail_calm,
            round(probability, 1),
            is_far_from_data,
            -self._unused_cpu(worker, allocations),
        )


class SharedCpu(BestFit):
    """Puts a best-effort task where its image disturbs no serving task.

    It may share the processor time there with other best-effort runs; the
    workers that have enough of it for the task are preferred, and the one on
    which other runs use the least.  Where the tail is near its target, the
    task needs unused processor time, as a run that shares it would be halted
    at once.
    """

    def _score_best_effort(self, step, worker, allocations, is_far_from_data):
        severity = self._interference_model.worst_severity(
            worker.serving_images, step.image
        )
        if severity != _interference.Severity.LIGHT:
            return None
        unused_cpu = self._unused_cpu(worker, allocations)
        if unused_cpu < step.cpu and not worker.may_add_best_effort_run:
            # Runs that share processor time are halted first.
            return None
        return (
            worker.capacity.best_effort_limit < step.cpu,
            not worker.is_tail_calm,
            is_far_from_data,
            -unused_cpu,
        )


class _WorkerRanking:
    """Heap of the workers that may run one more task of a group.

    A task changes the score of the worker that it is put on and of no other,
    so only that worker is scored again for the next task.

    Args:
        placer: ``Placer`` that scores the workers.
        group: the ``Group``.
        allocations: ``_RoundAllocations`` of the group so far.
        workers: the candidates.
    """

    __slots__ = ('_allocations', '_group', '_heap', '_placer')

    def __init__(self, placer, group, allocations, workers):
        self._placer = placer
        self._group = group
        self._allocations = allocations
        self._heap = []
        for worker_position, worker in enumerate(workers):
            score = self._score_if_allowed(worker)
            if score is not None:
                self._heap.append((score, worker_position, worker))
        heapq.heapify(self._heap)

    def best_worker(self):
        """Returns the worker with the lowest score, None if none is left."""
        return self._heap[0][2] if self._heap else None

    def rescore_best_worker(self):
        """Scores the best worker again after a task was put on it."""
        _, worker_position, worker = self._heap[0]
        score = self._score_if_allowed(worker)
        if score is None:
            heapq.heappop(self._heap)
        else:
            heapq.heapreplace(self._heap, (score, worker_position, worker))

    def _score_if_allowed(self, worker):
        """Returns the score of a worker, None if it can't run the step."""
        group = self._group
        if not _is_task_allowed(
            group.step, group.waiting_task_ids[0], worker, self._allocations
        ):
            return None
        score = self._placer.score_worker(
            group.step, worker, self._allocations
        )
        if score is None:
            return None
        return worker.is_cold, worker.failed_start_count, score


class _RoundAllocations:
    """Tasks of one step that were put on workers but hold no capacity yet."""

    __slots__ = ('_step', '_task_count_by_worker')

    def __init__(self, step):
        self._step = step
        self._task_count_by_worker = {}

    def add_task(self, worker):
        """Counts one more task of the step on a worker."""
        self._task_count_by_worker[worker.name] = self.task_count(worker) + 1

    def task_count(self, worker):
        """Returns the number of tasks put on a worker."""
        return self._task_count_by_worker.get(worker.name, 0)

    def allocated_cpu(self, worker):
        """Returns the processor time of the tasks put on a worker.

        It is in thousandths of a core.
        """
        return self.task_count(worker) * self._step.cpu

    def allocated_memory_mb(self, worker):
        """Returns the memory of the tasks put on a worker, in MiB."""
        return self.task_count(worker) * self._step.memory_mb

    def allocated_accelerators(self, worker):
        """Returns the number of accelerators of the tasks put on a worker."""
        return self.task_count(worker) * self._step.accelerators


def _is_task_allowed(step, task_id, worker, allocations, freed_memory_mb=0):
    """True if a worker has the capacity and the labels for one more task."""
    capacity = worker.capacity
    run_count = len(worker.runs) + allocations.task_count(worker)
    if run_count >= MAX_RUNS:
        return False
    if worker.max_run_count is not None and run_count >= worker.max_run_count:
        return False
    if (
        not step.fills
        and capacity.free_cpu < step.cpu + allocations.allocated_cpu(worker)
    ):
        return False
    if (
        capacity.free_memory_mb + freed_memory_mb
        < step.memory_mb + allocations.allocated_memory_mb(worker)
    ):
        return False
    needed_accelerators = (
        step.accelerators + allocations.allocated_accelerators(worker)
    )
    if capacity.free_accelerators < needed_accelerators:
        return False
    return meets_constraints(
        step, task_id, worker, allocations.task_count(worker)
    )


def has_room(step, task_id, worker, freed_memory_mb=0):
    """True if a worker has the capacity and the labels for a task.

    Args:
        step: the ``Step``.
        task_id: id of any of its tasks.
        worker: the ``Worker``.
        freed_memory_mb: memory that counts as free beside what is free, in
            MiB.
    """
    return _is_task_allowed(
        step, task_id, worker, _RoundAllocations(step), freed_memory_mb
    )


def meets_constraints(step, task_id, worker, added_task_count=0):
    """True if label and ``most_per_worker`` allow one more task of a step.

    A serving task is not allowed on a cold worker, either.  The free capacity
    of the worker is not checked.

    Args:
        step: the ``Step``.
        task_id: id of any of its tasks.
        worker: the ``Worker``.
        added_task_count: tasks of the step that were put on the worker in this
            round and hold no capacity yet.
    """
    if step.label and step.label not in worker.record.labels:
        return False
    if step.tail_target_ms and worker.is_cold:
        return False
    if not step.most_per_worker:
        return True
    return (
        worker.capacity.count_step_runs(task_id) + added_task_count
        < step.most_per_worker
    )


def _rack_key(worker):
    """Returns the location labels of a worker, which are equal in a rack."""
    return tuple(worker.record.labels[1:])
