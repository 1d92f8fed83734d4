"""Records stored in the frames of a data folder."""

from fuchsiatrestle.agreement import _voters
from fuchsiatrestle import messages
from fuchsiatrestle import records

__all__ = (
    'Batch',
    'CODEC',
    'Change',
    'FolderState',
    'Identity',
    'SegmentHeader',
    'StoredSnapshot',
    'StoredState',
)


class StoredState(records.Record, tag='hs'):
    """``HardState`` as stored."""

    term: int
    vote: str
    group: str


class Change(records.Record, tag='ch'):
    """One ``PersistChanges`` as stored.

    Attributes:
        hard_state: the new hard state, None if unchanged.
        truncate_from: first index to drop before the append, 0 for none.
        entries: entries to append.
    """

    hard_state: StoredState | None
    truncate_from: int
    entries: list[messages.Entry]


class Batch(records.Record, tag='ba'):
    """Changes made durable by one fsync."""

    changes: list[Change]


class SegmentHeader(records.Record, tag='op'):
    """First frame of a segment.

    Attributes:
        number: number of the segment.
        hard_state: the hard state when the segment was started, so that
            earlier segments can be removed.
    """

    number: int
    hard_state: StoredState


class Identity(records.Record, tag='id'):
    """Identity of the folder, written last when it is initialized.

    Attributes:
        identity: the identity.
        may_found: True if the replica may take part in founding a group.
    """

    identity: str
    may_found: bool = True


class StoredSnapshot(records.Record, tag='sn'):
    """A ``Snapshot`` as stored.

    Attributes:
        snapshot: the snapshot.
        reset_seq: sequence number of the first frame whose entries count; an
            installed snapshot has replaced the entries of earlier frames.
    """

    snapshot: _voters.Snapshot
    reset_seq: int


CODEC = records.Codec(Batch, SegmentHeader, Identity, StoredSnapshot)


class FolderState:
    """State recovered from a data folder.

    Attributes:
        identity: identity of the folder.
        hard_state: the last ``HardState``.
        entries: entries that follow the snapshot.
        snapshot: the ``Snapshot`` or None.
        may_found: True if the replica may take part in founding a group.
    """

    __slots__ = (
        'entries',
        'hard_state',
        'identity',
        'may_found',
        'snapshot',
    )

    def __init__(
        self, identity, hard_state, entries, snapshot, may_found=True
    ):
        self.identity = identity
        self.hard_state = hard_state
        self.entries = entries
        self.snapshot = snapshot
        self.may_found = may_found
