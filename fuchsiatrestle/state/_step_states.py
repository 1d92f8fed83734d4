"""State of one step of a workflow in one of its occurrences."""

__all__ = ('StepState',)

_WAITING = 1


class StepState:
    """Counts and times of the tasks of a step.

    Args:
        task_count: number of the tasks.
        ready_ms: see the attribute.

    Attributes:
        unfinished_count: number of the tasks that are not done.
        live_run_count: number of the runs that may be executing.
        failure_count: number of the runs that ended as failed.
        last_run_end_ms: agreed time at which it last had a live run, without
            the runs that certainly never ran; 0 if there was none.
        ready_ms: time since the epoch from which it may be started, None
            while a step that it depends on is not done.
        checkpoint: progress that a run of any of its tasks has saved, the one
            that was stored last as far as this replica knows, or empty.
    """

    __slots__ = (
        '_waiting_flags',
        'checkpoint',
        'failure_count',
        'last_run_end_ms',
        'live_run_count',
        'ready_ms',
        'unfinished_count',
    )

    def __init__(self, task_count, ready_ms):
        self.unfinished_count = task_count
        self.live_run_count = 0
        self.failure_count = 0
        self.last_run_end_ms = 0
        self.ready_ms = ready_ms
        self.checkpoint = ''
        # One byte a task, so that the waiting ones are found at once among
        # thousands.
        self._waiting_flags = bytearray([_WAITING]) * task_count

    @property
    def is_done(self):
        """True if all tasks are done."""
        return self.unfinished_count == 0

    def set_waiting(self, index, is_waiting):
        """Records whether a task waits for a worker.

        Args:
            index: position of the task in the step.
            is_waiting: True if it is neither done nor may be executing.
        """
        self._waiting_flags[index] = _WAITING if is_waiting else 0

    def find_waiting(self, max_count=None):
        """Returns the positions of the tasks that wait, in their order.

        Args:
            max_count: largest number of positions, None for all.
        """
        positions = []
        position = self._waiting_flags.find(_WAITING)
        while position >= 0 and (
            max_count is None or len(positions) < max_count
        ):
            positions.append(position)
            position = self._waiting_flags.find(_WAITING, position + 1)
        return positions

    def record_run_end(self, ended_ms):
        """Records that a run has ended at an agreed time."""
        self.last_run_end_ms = max(self.last_run_end_ms, ended_ms)
