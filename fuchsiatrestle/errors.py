"""Exceptions shared by the whole package.

Every error names the step that failed and the peer it was dealing with, so
that a log line can be traced to one exchange.  Functions whose failure is an
ordinary answer return ``returns.result.Result`` instead of raising.
"""

__all__ = (
    'DataDamaged',
    'Error',
    'Failure',
    'InvariantBreach',
    'PeerUnavailable',
    'SettingsInvalid',
    'StorageFailed',
)

# Peer recorded by an error that involves no other process.
LOCAL_PEER = 'local'


class Error(Exception):
    """Base of all errors raised by the package.

    Args:
        reason: what went wrong, in one line.
        step: the operation in progress, such as ``append`` or ``connect``.
        peer: name or address of the other process, or ``local``.
    """

    def __init__(self, reason, *, step, peer=LOCAL_PEER):
        super().__init__(reason)
        self.reason = reason
        self.step = step
        self.peer = peer

    def __str__(self):
        return f'{self.reason} (step={self.step}, peer={self.peer})'


class SettingsInvalid(Error):
    """A settings file can not be used; the text names file and key."""


class StorageFailed(Error):
    """The data folder refused a write, a read or an fsync."""


class DataDamaged(Error):
    """A stored record fails its checksum before the end of its file."""


class PeerUnavailable(Error):
    """The other process could not be reached or did not answer in time."""


class InvariantBreach(Error):
    """A condition that must always hold was found broken."""


class Failure:
    """The failure side of a ``Result``: an expected refusal as a value.

    Attributes:
        reason: machine-readable reason, also the name of its counter.
        detail: one line for people that says what to do next.
        step: the operation that was refused.
        peer: name or address of the other process, or ``local``.
    """

    __slots__ = ('detail', 'peer', 'reason', 'step')

    def __init__(self, reason, detail='', *, step, peer=LOCAL_PEER):
        self.reason = reason
        self.detail = detail
        self.step = step
        self.peer = peer

    def __repr__(self):
        return (
            f'Failure(reason={self.reason!r}, detail={self.detail!r}, '
            f'step={self.step!r}, peer={self.peer!r})'
        )

    def __eq__(self, other):
        if not isinstance(other, Failure):
            return NotImplemented
        return repr(self) == repr(other)

    __hash__ = None
