"""The shape shared by all decision cores.

A core takes an event and the time and returns effects for its caller to
carry out, in order.  It reads no clock, socket, file or random source, so
the daemon and the randomised tests drive the same code.
"""

import abc

__all__ = ('Core', 'Value')


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


class Value:
    """Plain data with positional slots: base of events and effects."""

    __slots__ = ()

    def __init__(self, *values):
        names = self.__slots__
        if len(values) != len(names):
            raise TypeError(f'{type(self).__name__} takes {names!r}')
        for name, value in zip(names, values, strict=True):
            setattr(self, name, value)

    def __eq__(self, other):
        return type(self) is type(other) and self._values() == other._values()

    def __repr__(self):
        inner = ', '.join(
            f'{name}={getattr(self, name)!r}' for name in self.__slots__
        )
        return f'{type(self).__name__}({inner})'

    __hash__ = None

    def _values(self):
        return tuple(getattr(self, name) for name in self.__slots__)
