"""Capacity of a worker and what is reserved of it."""

import collections

__all__ = ('Room',)


class Room:
    """Capacity of a worker and what its runs hold of it.

    A run that fills reserves no processor time; how much it would use is
    kept apart.

    Args:
        record: the ``WorkerRecord``.

    Attributes:
        free_cpu: processor time not reserved, in thousandths of a core.
        free_memory_mb: memory not reserved, in MiB.
        free_accelerators: accelerators not reserved.
        filling_cpu: processor time wanted by runs that fill.
        lasting_cpu: processor time reserved by runs that last.
        serving: number of runs with a tail target by image.
        serving_cpu: processor time reserved by them.
    """

    __slots__ = (
        '_steps',
        'filling_cpu',
        'free_accelerators',
        'free_cpu',
        'free_memory_mb',
        'lasting_cpu',
        'serving',
        'serving_cpu',
    )

    def __init__(self, record):
        self.free_cpu = record.cpu
        self.free_memory_mb = record.memory_mb
        self.free_accelerators = record.accelerators
        self.filling_cpu = 0
        self.lasting_cpu = 0
        self.serving = collections.Counter()
        self.serving_cpu = 0
        self._steps = collections.Counter()

    def count(self, task):
        """Returns how many tasks of the step of a task hold room."""
        return self._steps[_step_key(task)]

    def serving_images(self):
        """Returns the images of the runs with a tail target."""
        return {image for image, count in self.serving.items() if count}

    def take(self, run):
        """Reserves the room of a run."""
        self._change(run, 1)

    def give_back(self, run):
        """Frees the room of a run."""
        self._change(run, -1)

    def _change(self, run, sign):
        self._steps[_step_key(run.live.task)] += sign
        step = run.step
        if step is None:
            return
        self.free_memory_mb -= sign * step.memory_mb
        self.free_accelerators -= sign * step.accelerators
        if run.serves:
            self.serving[step.image] += sign
            self.serving_cpu += sign * step.cpu
        if step.fills:
            self.filling_cpu += sign * step.cpu
            return
        self.free_cpu -= sign * step.cpu
        if step.lasts:
            self.lasting_cpu += sign * step.cpu


def _step_key(task):
    return task.workflow_id, task.occurrence, task.step
