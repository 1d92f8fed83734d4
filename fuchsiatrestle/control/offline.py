"""Operations on the data folder of a stopped control replica.

They change nothing in the folder.  Each raises ``errors.DataDamaged`` with
file and offset when a record fails its checksum, and ``errors.StorageFailed``
when the folder can not be read.
"""

import os

from fuchsiatrestle import agreement
from fuchsiatrestle.agreement import _files
from fuchsiatrestle.agreement import _recovery
from fuchsiatrestle import errors
from fuchsiatrestle.state import machine

__all__ = (
    'LogReport',
    'SnapshotReport',
    'save_snapshot',
    'verify_log',
    'verify_snapshot',
)

SAVED_MODE = 0o640


class LogReport:
    """What the log of a folder holds.

    Attributes:
        identity: identity of the folder, empty if it was never used.
        term: last term.
        entries: number of entries behind the snapshot.
        last_index: index of the last entry.
        torn_bytes_at: file whose last write did not finish, which is cut at
            the next start; empty if there is none.
    """

    __slots__ = ('entries', 'identity', 'last_index', 'term', 'torn_bytes_at')

    def __init__(self, identity, term, entries, last_index, torn_bytes_at):
        self.identity = identity
        self.term = term
        self.entries = entries
        self.last_index = last_index
        self.torn_bytes_at = torn_bytes_at


class SnapshotReport:
    """What a snapshot holds.

    Attributes:
        last_index: last log index it covers; 0 without a snapshot.
        config_version: configuration version in it.
        size: size of the state, in bytes.
        voters: identities of the voters at that index.
    """

    __slots__ = ('config_version', 'last_index', 'size', 'voters')

    def __init__(self, last_index, config_version, size, voters):
        self.last_index = last_index
        self.config_version = config_version
        self.size = size
        self.voters = voters


def _recover(folder):
    try:
        return _recovery.Recovery(_files.OsFiles(), os.path.abspath(folder))
    except OSError as exc:
        raise errors.StorageFailed(
            f'{folder}: {exc.strerror}', step='verify'
        ) from exc


def verify_log(folder):
    """Checks every record of the log; returns a ``LogReport``."""
    found = _recover(folder)
    state = found.state
    base = state.snapshot.last_index if state.snapshot else 0
    last = state.entries[-1].index if state.entries else base
    for entry in state.entries:
        if entry.kind == 'command':
            machine.decode_command(entry)
    return LogReport(
        state.identity,
        state.hard_state.term,
        len(state.entries),
        last,
        found.torn_tail[0] if found.torn_tail else '',
    )


def verify_snapshot(folder):
    """Checks and restores the snapshot; returns a ``SnapshotReport``."""
    snapshot = _recover(folder).snapshot
    if snapshot is None:
        return SnapshotReport(0, 0, 0, [])
    restored = machine.StateMachine()
    restored.restore(snapshot.data)
    return SnapshotReport(
        snapshot.last_index,
        restored.config.version,
        len(snapshot.data),
        list(snapshot.voters.voters),
    )


def save_snapshot(folder, path):
    """Copies the snapshot to a file that must not exist yet.

    The file is synced before this returns.

    Raises:
        errors.Error: there is no snapshot, or the file exists.
    """
    report = verify_snapshot(folder)
    if not report.last_index:
        raise errors.Error(f'{folder}: holds no snapshot', step='save')
    files = agreement.OsFiles()
    source = os.path.join(os.path.abspath(folder), _recovery.SNAPSHOT_NAME)
    data = files.read(source)
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC
    try:
        handle = os.open(path, flags, SAVED_MODE)
    except OSError as exc:
        raise errors.Error(f'{path}: {exc.strerror}', step='save') from exc
    try:
        files.append(handle, data)
        files.sync(handle)
    finally:
        files.close(handle)
    return report
