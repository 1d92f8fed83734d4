"""Capacity of a worker and the part of it that its runs reserve."""

import collections

from fuchsiatrestle.workflows import _runs

__all__ = ('Capacity',)

# Share of the processor time reserved by serving tasks that best-effort tasks
# may use; the rest covers the load peaks of the serving tasks.
SERVING_UNUSED_CPU_SHARE = 0.5


class Capacity:
    """Free and reserved capacity of a worker.

    A best-effort run reserves no processor time; the time that it could use
    is counted separately.

    Args:
        record: the ``WorkerRecord``.

    Attributes:
        free_cpu: processor time not reserved, in thousandths of a core.
        free_memory_mb: memory not reserved, in MiB.
        free_accelerators: accelerators not reserved.
        best_effort_cpu: processor time that best-effort runs could use, in
            thousandths of a core; those whose pace is limited do not count,
            nor those that share it and do not claim it yet.
        long_running_cpu: processor time reserved by long-running runs, in
            thousandths of a core.
        serving_run_count_by_image: number of serving runs by image; a run is
            serving if its tail latency has a target.
        serving_cpu: processor time reserved by serving runs, in thousandths
            of a core.
    """

    __slots__ = (
        '_run_count_by_step',
        'best_effort_cpu',
        'free_accelerators',
        'free_cpu',
        'free_memory_mb',
        'long_running_cpu',
        'serving_cpu',
        'serving_run_count_by_image',
    )

    def __init__(self, record):
        self.free_cpu = record.cpu
        self.free_memory_mb = record.memory_mb
        self.free_accelerators = record.accelerators
        self.best_effort_cpu = 0
        self.long_running_cpu = 0
        self.serving_run_count_by_image = collections.Counter()
        self.serving_cpu = 0
        self._run_count_by_step = collections.Counter()

    def count_fitting_tasks(self, step, cpu):
        """Returns how many tasks of a step fit beside the present runs.

        Label and ``most_per_worker`` are not checked.

        Args:
            step: the ``Step``.
            cpu: processor time that they may use, in thousandths of a core.

        Returns:
            The number, 0 at least; None if the step needs no capacity.
        """
        counts = [
            free // needed
            for free, needed in (
                (cpu, step.cpu),
                (self.free_memory_mb, step.memory_mb),
                (self.free_accelerators, step.accelerators),
            )
            if needed
        ]
        return max(0, min(counts)) if counts else None

    def count_step_runs(self, task_id):
        """Returns how many runs of the same step are on the worker.

        Args:
            task_id: id of any task of the step.
        """
        return self._run_count_by_step[_runs.make_step_key(task_id)]

    @property
    def best_effort_limit(self):
        """Processor time, in thousandths of a core, for best-effort runs."""
        return self.free_cpu + SERVING_UNUSED_CPU_SHARE * self.serving_cpu

    @property
    def unused_cpu(self):
        """Processor time that one more best-effort run could use.

        It is in thousandths of a core, and below 0 while some claim theirs.
        """
        return self.best_effort_limit - self.best_effort_cpu

    def serving_images(self):
        """Returns the set of images of the serving runs."""
        return {
            image
            for image, count in self.serving_run_count_by_image.items()
            if count
        }

    def is_exceeded_for(self, step):
        """True if the runs reserve more than there is of what a step needs.

        Args:
            step: the ``Step`` of one of the runs, None if it is not known.
        """
        if step is None:
            return False
        return (
            (self.free_cpu < 0 < step.cpu and not step.fills)
            or self.free_memory_mb < 0 < step.memory_mb
            or self.free_accelerators < 0 < step.accelerators
        )

    def reserve(self, run):
        """Reserves the capacity that a run needs."""
        self._adjust_reservation(run, 1)

    def release(self, run):
        """Frees the capacity that a run has reserved."""
        self._adjust_reservation(run, -1)

    def _adjust_reservation(self, run, sign):
        """Adds (sign 1) or removes (sign -1) the needs of a run."""
        self._run_count_by_step[_runs.make_step_key(run.live_run.task)] += sign
        step = run.step
        if step is None:
            return
        self.free_memory_mb -= sign * step.memory_mb
        self.free_accelerators -= sign * step.accelerators
        if run.is_serving:
            self.serving_run_count_by_image[step.image] += sign
            self.serving_cpu += sign * step.cpu
        if step.fills:
            if run.takes_cpu:
                self.best_effort_cpu += sign * step.cpu
            return
        self.free_cpu -= sign * step.cpu
        if step.lasts:
            self.long_running_cpu += sign * step.cpu
