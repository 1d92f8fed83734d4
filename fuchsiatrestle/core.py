"""Base classes of the cores: state machines that decide without I/O.

A core is given an event and the time, and returns effects that its caller
carries out in order.  It uses no clock, socket, file or random source, so
that daemons and randomised tests run the same code.
"""

import abc

__all__ = ('Core', 'Value')


class Core(abc.ABC):
    """A state machine without I/O."""

    @abc.abstractmethod
    def step(self, event, now_ms):
        """Handles one event and returns the effects to carry out.

        Args:
            event: instance of one of the core's event classes.
            now_ms: monotonic time of this process, in milliseconds; it must
                not be lower than in the call before.

        Returns:
            A list of instances of the core's effect classes, to be carried
            out in order.
        """


class Value:
    """Base of events and effects: fields without behaviour.

    A subclass lists its fields in ``__slots__``.  Two values are equal if
    they are of the same class and their fields are equal.

    Args:
        *values: one value for each slot, in the order of ``__slots__``.

    Raises:
        TypeError: the number of values is not that of the slots.
    """

    __slots__ = ()

    def __init__(self, *values):
        field_names = self.__slots__
        if len(values) != len(field_names):
            raise TypeError(f'{type(self).__name__} takes {field_names!r}')
        for name, value in zip(field_names, values, strict=True):
            setattr(self, name, value)

    def __eq__(self, other):
        return (
            type(self) is type(other)
            and self._field_values() == other._field_values()
        )

    def __repr__(self):
        fields_text = ', '.join(
            f'{name}={getattr(self, name)!r}' for name in self.__slots__
        )
        return f'{type(self).__name__}({fields_text})'

    __hash__ = None

    def _field_values(self):
        return tuple(getattr(self, name) for name in self.__slots__)
