"""Counts the workers that crash when they start a task or an attempt."""

from fuchsiatrestle.state import commands

__all__ = ('CrashCounts',)

# What crashes its workers is given up when so many workers in a row have
# crashed when they started it, or may have crashed because of it.
MAX_WORKER_CRASHES = 3
MAX_POSSIBLE_WORKER_CRASHES = 5


class CrashCounts:
    """Mixin of a class with both counts as attributes.

    Attributes:
        worker_crashes: number of workers that crashed right after a start,
            since the last harmless one.
        possible_worker_crashes: the same, with those that may have crashed
            because of it.
    """

    __slots__ = ()

    def record_start_outcome(self, start_outcome, is_same_worker=False):
        """Counts one start.

        Args:
            start_outcome: one of ``commands.StartOutcome``.
            is_same_worker: True if its worker has crashed under it before; one
                that crashes again and again may do so by itself.
        """
        if start_outcome == commands.StartOutcome.SURVIVED:
            self.reset_crash_counts()
        elif start_outcome == commands.StartOutcome.CRASHED:
            self.worker_crashes += not is_same_worker
            self.possible_worker_crashes += 1
        elif start_outcome == commands.StartOutcome.MAY_HAVE_CRASHED:
            self.possible_worker_crashes += 1

    def reset_crash_counts(self):
        """Forgets all crashes so far."""
        self.worker_crashes = 0
        self.possible_worker_crashes = 0

    @property
    def crashes_workers(self):
        """True if it is given up because it crashes its workers."""
        return (
            self.worker_crashes >= MAX_WORKER_CRASHES
            or self.possible_worker_crashes >= MAX_POSSIBLE_WORKER_CRASHES
        )
