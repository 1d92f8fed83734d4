"""Exceptions and failure values shared by the whole package.

Every error names the step that failed and the peer that took part, so that a
log line can be related to one exchange of messages.  Functions that are
expected to fail in normal operation return a ``returns.result.Result``, with
a ``Failure`` on its failure side, and do not raise.
"""

__all__ = (
    'DataDamaged',
    'Error',
    'Failure',
    'IdentityReplaced',
    'InvariantBreach',
    'PeerUnavailable',
    'SettingsInvalid',
    'StorageFailed',
)

# Peer named by an error that involves no other process.
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
    """A settings file can not be used.

    The text names the file, and the section, key and value if one is wrong.
    """


class StorageFailed(Error):
    """A write, a read or an fsync in the data folder has failed."""


class DataDamaged(Error):
    """Stored data is damaged, such as a record with a wrong checksum.

    A bad record at the end of the newest log file is not taken for damage: it
    is the rest of a write that a crash cut short.
    """


class IdentityReplaced(Error):
    """The agreement group goes on without the identity of this replica.

    Its data folder is empty again; the process joins with a new identity when
    it is started the next time.
    """


class PeerUnavailable(Error):
    """Another process could not be reached or did not answer in time."""


class InvariantBreach(Error):
    """A condition that must always be true was found to be false."""


class Failure:
    """An expected refusal, as the failure value of a ``Result``.

    Attributes:
        reason: machine-readable reason, also part of the name of the
            counter of such refusals.
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
