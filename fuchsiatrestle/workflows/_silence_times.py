"""When this replica learned which workers get no leases any more."""

__all__ = ('SilenceTimes',)


class SilenceTimes:
    """Monotonic times by which the last leases of silent workers were given.

    A leader that has proposed that a worker is silent gives it no lease, and
    no other leader does, before it is agreed that the worker is heard again.
    So all its leases were given before this replica applied the first of the
    two commands, whoever leads since.
    """

    __slots__ = ('_seen_by_worker',)

    def __init__(self):
        # For each silent worker, the log index of the command and the time.
        self._seen_by_worker = {}

    def update(self, silent_workers, now_ms):
        """Records the time of those that were not silent at the last update.

        Args:
            silent_workers: see ``state.WorkflowsPart.silent_workers``.
            now_ms: monotonic time, in milliseconds.
        """
        self._seen_by_worker = {
            name: (index, self._find_seen_ms(name, index, now_ms))
            for name, index in silent_workers.items()
        }

    def _find_seen_ms(self, name, index, now_ms):
        seen_index, seen_ms = self._seen_by_worker.get(name, (None, 0))
        return seen_ms if seen_index == index else now_ms

    def find_ms(self, name):
        """Returns the time of a worker that is silent, None if it is not.

        Args:
            name: id of the worker.
        """
        return self._seen_by_worker.get(name, (0, None))[1]
