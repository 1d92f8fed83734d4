"""The shape shared by all decision cores.

A core takes an event and the time and returns effects for its caller to
carry out, in order.  It reads no clock, socket, file or random source, so
the daemon and the randomised tests drive the same code.
"""

import abc

__all__ = ('Core',)


class Core(abc.ABC):
    """A state machine without I/O."""

    @abc.abstractmethod
    def step(self, event, now_ms):
        """Handles one event.

        Args:
            event: one of the core's event classes.
            now_ms: monotonic time of this process, in milliseconds; it never
                goes back between two calls.

        Returns:
            A list of the core's effect classes, to be carried out in order.
        """
