"""Events and effects of the configuration lease cores."""

from fuchsiatrestle import core

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


# Events


class Tick(core.Value):
    """Time has passed; sent every ``TICK_MS`` or more often."""

    __slots__ = ()


class Received(core.Value):
    """A message from the link peer called ``peer``."""

    __slots__ = ('peer', 'message')


class Release(core.Value):
    """The entry has stopped serving and gives its lease up."""

    __slots__ = ()


class LeaderReady(core.Value):
    """This control replica leads ``term``, its first entry is agreed."""

    __slots__ = ('term',)


class VersionAgreed(core.Value):
    """A configuration version was applied.

    ``document`` is its JSON, ``entries`` maps each entry that may serve to
    its address, ``patch`` is the merge patch that made it from the version
    before, empty if that is not known.
    """

    __slots__ = ('version', 'document', 'entries', 'patch')


# Effects


class Send(core.Value):
    """Send ``message`` to the link peer called ``peer``; it may be lost."""

    __slots__ = ('peer', 'message')


class ConfigInForce(core.Value):
    """``version`` with this ``document`` (JSON bytes) is now in force."""

    __slots__ = ('version', 'document')


class LeaseLost(core.Value):
    """The lease ended; the entry must refuse callers as not run."""

    __slots__ = ('reason',)
