"""Events and effects of the configuration lease cores."""

__all__ = (
    'ConfigInForce',
    'LeaseLost',
    'LeaderReady',
    'Received',
    'Release',
    'Send',
    'Tick',
    'VersionAgreed',
)


class _Value:
    """Plain data with positional slots."""

    __slots__ = ()

    def __init__(self, *values):
        for name, value in zip(self.__slots__, values, strict=True):
            setattr(self, name, value)

    def __repr__(self):
        inner = ', '.join(
            f'{name}={getattr(self, name)!r}' for name in self.__slots__
        )
        return f'{type(self).__name__}({inner})'


# Events


class Tick(_Value):
    """Time has passed; sent every ``TICK_MS`` or more often."""

    __slots__ = ()


class Received(_Value):
    """A message from the link peer called ``peer``."""

    __slots__ = ('peer', 'message')


class Release(_Value):
    """The entry has stopped serving and gives its lease up."""

    __slots__ = ()


class LeaderReady(_Value):
    """This control replica leads ``term``, its first entry is agreed."""

    __slots__ = ('term',)


class VersionAgreed(_Value):
    """A configuration version was applied.

    ``document`` is its JSON, ``entries`` maps each entry that may serve to
    its address, ``patch`` is the merge patch that made it from the version
    before, empty if that is not known.
    """

    __slots__ = ('version', 'document', 'entries', 'patch')


# Effects


class Send(_Value):
    """Send ``message`` to the link peer called ``peer``; it may be lost."""

    __slots__ = ('peer', 'message')


class ConfigInForce(_Value):
    """``version`` with this ``document`` (JSON bytes) is now in force."""

    __slots__ = ('version', 'document')


class LeaseLost(_Value):
    """The lease ended; the entry must refuse callers as not run."""

    __slots__ = ('reason',)
