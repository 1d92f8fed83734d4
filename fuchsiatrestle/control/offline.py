"""Operations on the data folder of a stopped control replica.

They change nothing in the folder.  Each raises ``errors.DataDamaged``, which
names file and offset, if a record fails its checksum, and
``errors.StorageFailed`` if the folder can not be read.
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

SAVED_FILE_MODE = 0o640


class LogReport:
    """Contents of the log of a data folder.

    Attributes:
        identity: identity of the replica; empty if the folder was never used.
        term: last term that the replica recorded.
        entry_count: number of log entries after the snapshot.
        last_index: index of the last entry, or of the snapshot if there is no
            entry after it.
        torn_file: file that ends in an incomplete write, which the next start
            of the replica cuts off; empty if there is none.
    """

    __slots__ = ('entry_count', 'identity', 'last_index', 'term', 'torn_file')

    def __init__(self, identity, term, entry_count, last_index, torn_file):
        self.identity = identity
        self.term = term
        self.entry_count = entry_count
        self.last_index = last_index
        self.torn_file = torn_file


class SnapshotReport:
    """Contents of the snapshot of a data folder.

    Attributes:
        last_index: last log index that it covers; 0 if there is no snapshot.
        config_version: current configuration version at that index.
        size_bytes: size of the encoded state, in bytes.
        voters: identities of the voters at that index.
    """

    __slots__ = ('config_version', 'last_index', 'size_bytes', 'voters')

    def __init__(self, last_index, config_version, size_bytes, voters):
        self.last_index = last_index
        self.config_version = config_version
        self.size_bytes = size_bytes
        self.voters = voters


def _recover_folder(folder_path):
    try:
        return _recovery.Recovery(
            _files.OsFiles(), os.path.abspath(folder_path)
        )
    except OSError as exc:
        raise errors.StorageFailed(
            f'{folder_path}: {exc.strerror}', step='verify'
        ) from exc


def verify_log(folder_path):
    """Verifies the log and returns what it contains.

    Verifies the checksums of all records in the data folder, and that the
    command in each log entry after the snapshot can be decoded.

    Args:
        folder_path: path of the data folder.

    Returns:
        A ``LogReport``.
    """
    recovery = _recover_folder(folder_path)
    folder_state = recovery.state
    snapshot_index = (
        folder_state.snapshot.last_index if folder_state.snapshot else 0
    )
    last_index = (
        folder_state.entries[-1].index
        if folder_state.entries
        else snapshot_index
    )
    for entry in folder_state.entries:
        if entry.kind == 'command':
            machine.decode_command(entry)
    return LogReport(
        folder_state.identity,
        folder_state.hard_state.term,
        len(folder_state.entries),
        last_index,
        recovery.torn_segment[0] if recovery.torn_segment else '',
    )


def verify_snapshot(folder_path):
    """Verifies that the snapshot can be restored; returns what it contains.

    Args:
        folder_path: path of the data folder.

    Returns:
        A ``SnapshotReport``, in which all is 0 or empty without a snapshot.
    """
    snapshot = _recover_folder(folder_path).snapshot
    if snapshot is None:
        return SnapshotReport(0, 0, 0, [])
    restored_machine = machine.StateMachine()
    restored_machine.restore(snapshot.data)
    return SnapshotReport(
        snapshot.last_index,
        restored_machine.config.version,
        len(snapshot.data),
        list(snapshot.voters.voters),
    )


def save_snapshot(folder_path, copy_path):
    """Verifies the snapshot, then copies its file and syncs the copy.

    Args:
        folder_path: path of the data folder.
        copy_path: path of the copy, which must not exist yet.

    Returns:
        The ``SnapshotReport``.

    Raises:
        errors.Error: there is no snapshot, or the copy can not be created.
    """
    report = verify_snapshot(folder_path)
    if not report.last_index:
        raise errors.Error(f'{folder_path}: holds no snapshot', step='save')
    disk_files = agreement.OsFiles()
    snapshot_path = os.path.join(
        os.path.abspath(folder_path), _recovery.SNAPSHOT_FILE_NAME
    )
    snapshot_file_data = disk_files.read(snapshot_path)
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC
    try:
        copy_handle = os.open(copy_path, flags, SAVED_FILE_MODE)
    except OSError as exc:
        raise errors.Error(
            f'{copy_path}: {exc.strerror}', step='save'
        ) from exc
    try:
        disk_files.append(copy_handle, snapshot_file_data)
        disk_files.sync(copy_handle)
    finally:
        disk_files.close(copy_handle)
    return report
