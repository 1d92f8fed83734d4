"""Records inside the frames of a data folder."""

from fuchsiatrestle.agreement import _voters
from fuchsiatrestle import messages
from fuchsiatrestle import records

__all__ = (
    'Batch',
    'CODEC',
    'Change',
    'FolderState',
    'Identity',
    'Opening',
    'StoredSnapshot',
    'StoredState',
)


class StoredState(records.Record, tag='hs'):
    """Hard state as stored."""

    term: int
    vote: str
    group: str


class Change(records.Record, tag='ch'):
    """One ``Write`` as stored; ``truncate_from`` 0 drops nothing."""

    hard_state: StoredState | None
    truncate_from: int
    entries: list[messages.Entry]


class Batch(records.Record, tag='ba'):
    """Changes made durable by one fsync."""

    changes: list[Change]


class Opening(records.Record, tag='op'):
    """First frame of a segment, with the hard state so far."""

    number: int
    hard_state: StoredState


class Identity(records.Record, tag='id'):
    """Identity of the folder, written last when it is made."""

    identity: str


class StoredSnapshot(records.Record, tag='sn'):
    """A snapshot as stored.

    Attributes:
        reset_seq: entries in frames numbered below it are dropped, since an
            installed snapshot has replaced them.
    """

    snapshot: _voters.Snapshot
    reset_seq: int


CODEC = records.Codec(Batch, Opening, Identity, StoredSnapshot)


class FolderState:
    """What a data folder holds.

    Attributes:
        identity: identity of the folder.
        hard_state: the last ``HardState``.
        entries: entries that follow the snapshot.
        snapshot: the ``Snapshot`` or None.
    """

    __slots__ = ('entries', 'hard_state', 'identity', 'snapshot')

    def __init__(self, identity, hard_state, entries, snapshot):
        self.identity = identity
        self.hard_state = hard_state
        self.entries = entries
        self.snapshot = snapshot
