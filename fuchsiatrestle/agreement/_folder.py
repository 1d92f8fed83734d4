"""Data folder of a replica: identity, write-ahead log and snapshot.

The log is a sequence of segment files, each a sequence of frames.  One frame
holds all changes that one fsync makes durable, and the next frame is written
only after that fsync.  Snapshot and identity are replaced atomically: written
to a temporary file, synced and renamed.  The identity is written last when a
folder is initialized, so a folder without an identity was never used.
"""

import contextlib
import os

from fuchsiatrestle.agreement import _events
from fuchsiatrestle.agreement import _files
from fuchsiatrestle.agreement import _frames
from fuchsiatrestle.agreement import _recovery
from fuchsiatrestle.agreement import _stored
from fuchsiatrestle.agreement import _voters
from fuchsiatrestle import errors
from fuchsiatrestle import logs
from fuchsiatrestle import metrics

__all__ = ('DataFolder',)

# A segment that has reached this size is followed by a new one.
SEGMENT_BYTES = 8 * 1024 * 1024
LOCK_FILE_NAME = 'lock'
TEMPORARY_SUFFIX = '.new'

STORAGE_FAILED = metrics.declare(
    'refused.storage_failed',
    'Writes refused because the data folder failed once.',
)

LOG = logs.get_logger(__name__)


class DataFolder:
    """An open data folder; only one thread may use it at a time.

    After the first failed write or fsync every later one fails as well, since
    the content of the disk is unknown until the folder is opened again.

    Args:
        path: absolute path of the folder.
        files: ``Files`` to work through.

    Attributes:
        path: absolute path of the folder.
        state: ``FolderState`` at the time of opening.
    """

    def __init__(self, path, files):
        self.path = path
        self._files = files
        self._has_failed = False
        self._segment_handle = None
        self._lock_handle = None
        self.state = None

    @classmethod
    def open(cls, path, name, identity_nonce, files=None, may_found=True):
        """Opens a data folder and recovers its state.

        An empty folder is initialized with a new identity.  A torn last
        write is cut off.

        Args:
            path: the folder; it must exist.
            name: name of the process, for a new identity.
            identity_nonce: random number for the new identity, used only if
                the folder holds none.
            files: ``Files`` to work through, ``OsFiles`` if None.
            may_found: True if the replica may take part in founding a group;
                used only with a new identity, and kept with it.

        Returns:
            The open folder with its ``state``.

        Raises:
            errors.DataDamaged: the content is damaged in another way than
                by a torn last write; the text names file and offset.
            errors.StorageFailed: the folder can not be read, written or
                locked.
        """
        folder = cls(os.path.abspath(path), files or _files.OsFiles())
        with folder._latch_failure('open'):
            folder._lock_handle = folder._files.lock(
                folder._path_of(LOCK_FILE_NAME)
            )
            folder._recover(name, identity_nonce, may_found)
        return folder

    @property
    def failed(self):
        """True once a write or fsync has failed."""
        return self._has_failed

    def close(self):
        """Closes the files and releases the lock; syncs nothing."""
        for handle in (self._segment_handle, self._lock_handle):
            if handle is not None:
                self._files.close(handle)
        self._segment_handle = None
        self._lock_handle = None

    # Writing

    def write_effects(self, effects):
        """Makes effects durable, in order.

        Consecutive ``PersistChanges`` share one frame and one fsync.

        Args:
            effects: non-empty list of ``PersistChanges`` and
                ``RestoreSnapshot``.

        Returns:
            The highest ``write_id``, to be reported by ``WritesSynced``.

        Raises:
            errors.StorageFailed: a write failed now or earlier.
        """
        writes = []
        for effect in effects:
            if isinstance(effect, _events.RestoreSnapshot):
                self._append_batch(writes)
                writes = []
                self.install_snapshot(effect.snapshot)
            else:
                writes.append(effect)
        self._append_batch(writes)
        return effects[-1].write_id

    def _append_batch(self, writes):
        if not writes:
            return
        changes = [self._make_stored_change(write) for write in writes]
        with self._latch_failure('append'):
            if self._segments[-1].size_bytes >= SEGMENT_BYTES:
                self._start_segment()
            self._append_frame(_stored.Batch(changes))
        segment = self._segments[-1]
        for change in changes:
            if change.entries:
                last_index = change.entries[-1].index
                segment.max_index = max(segment.max_index, last_index)

    def _make_stored_change(self, write):
        """Returns the ``Change`` of a write.

        A new hard state is also kept, for the first frame of later segments.
        """
        stored_state = None
        if write.hard_state is not None:
            self._hard_state = write.hard_state
            stored_state = self._make_stored_state()
        return _stored.Change(
            stored_state, write.truncate_from or 0, list(write.entries)
        )

    def _make_stored_state(self):
        state = self._hard_state
        return _stored.StoredState(state.term, state.vote, state.group)

    def save_snapshot(self, snapshot):
        """Saves a snapshot, then removes the segments that it covers.

        A snapshot that is not newer than the stored one is ignored.

        Raises:
            errors.StorageFailed: a write failed now or earlier.
        """
        if snapshot.last_index <= self._snapshot_index:
            return
        with self._latch_failure('snapshot'):
            self._replace_snapshot(snapshot)
            self._start_segment()
            self._remove_covered_segments(snapshot.last_index)

    def install_snapshot(self, snapshot):
        """Replaces the whole log and the snapshot by the leader's snapshot.

        The stored snapshot tells recovery to ignore the entries of all
        earlier frames, so a crash on the way leaves the old or the new state.

        Raises:
            errors.StorageFailed: a write failed now or earlier.
        """
        with self._latch_failure('install'):
            self._reset_seq = self._next_seq
            self._replace_snapshot(snapshot)
            self._start_segment()
            # The snapshot has replaced all entries of the older segments, so
            # these count as covered whatever their indexes are.
            for segment in self._segments[:-1]:
                segment.max_index = 0
            self._remove_covered_segments(snapshot.last_index)

    def retire(self):
        """Removes all data, so that the next opening draws a new identity.

        A marker file is made durable first.  A crash after that leaves a
        folder whose data the next opening removes.

        Raises:
            errors.StorageFailed: a write failed now or earlier.
        """
        with self._latch_failure('retire'):
            handle = self._files.open_append(
                self._path_of(_recovery.RETIRED_FILE_NAME)
            )
            self._files.sync(handle)
            self._files.close(handle)
            self._files.sync_folder(self.path)
            self._remove_retired_data()
            self._has_failed = True

    def _remove_retired_data(self):
        """Removes all data files, then the marker of a retired folder."""
        kept_names = (LOCK_FILE_NAME, _recovery.RETIRED_FILE_NAME)
        for file_name in self._files.list_file_names(self.path):
            if file_name not in kept_names:
                self._files.remove(self._path_of(file_name))
        self._files.sync_folder(self.path)
        self._files.remove(self._path_of(_recovery.RETIRED_FILE_NAME))
        self._files.sync_folder(self.path)

    # Steps of recovery and writing

    @contextlib.contextmanager
    def _latch_failure(self, step):
        """Turns ``OSError`` into ``StorageFailed`` and blocks later writes.

        Args:
            step: name of the operation, for the error and the log.

        Raises:
            errors.StorageFailed: the operation failed, or an earlier one
                did.
        """
        if self._has_failed:
            metrics.count(STORAGE_FAILED)
            raise errors.StorageFailed(
                f'{self.path}: an earlier write failed', step=step
            )
        try:
            yield
        except OSError as exc:
            self._has_failed = True
            LOG.error(
                'storage_failed',
                extra={'path': self.path, 'step': step, 'error': str(exc)},
            )
            raise errors.StorageFailed(
                f'{self.path}: {exc.strerror or exc}', step=step
            ) from exc

    def _path_of(self, file_name):
        return os.path.join(self.path, file_name)

    def _recover(self, name, identity_nonce, may_found):
        if _recovery.RETIRED_FILE_NAME in self._files.list_file_names(
            self.path
        ):
            self._remove_retired_data()
        self._remove_temporary_files()
        recovered = _recovery.Recovery(self._files, self.path)
        self._segments = recovered.segments
        self._hard_state = recovered.hard_state
        self._reset_seq = recovered.reset_seq
        self._snapshot_index = recovered.base_index
        self._next_seq = recovered.next_seq
        if recovered.incomplete_segment:
            self._files.remove(recovered.incomplete_segment)
            self._files.sync_folder(self.path)
        if recovered.torn_segment:
            LOG.warning(
                'torn_tail_cut', extra={'path': recovered.torn_segment[0]}
            )
            self._files.truncate(*recovered.torn_segment)
        if not recovered.identity:
            identity = _voters.make_identity(name, identity_nonce)
            self._initialize(_stored.Identity(identity, may_found))
            recovered = _recovery.Recovery(self._files, self.path)
        else:
            self._open_last_segment()
        self.state = recovered.state

    def _remove_temporary_files(self):
        for file_name in self._files.list_file_names(self.path):
            if file_name.endswith(TEMPORARY_SUFFIX):
                self._files.remove(self._path_of(file_name))

    def _initialize(self, identity_record):
        if not self._segments:
            self._start_segment()
        else:
            self._open_last_segment()
        self._replace_file(_recovery.IDENTITY_FILE_NAME, identity_record)

    def _open_last_segment(self):
        file_name = _recovery.segment_file_name(self._segments[-1].number)
        self._segment_handle = self._files.open_append(
            self._path_of(file_name)
        )

    def _start_segment(self):
        segment_number = self._segments[-1].number + 1 if self._segments else 1
        if self._segment_handle is not None:
            self._files.close(self._segment_handle)
            self._segment_handle = None
        path = self._path_of(_recovery.segment_file_name(segment_number))
        self._segment_handle = self._files.open_append(path)
        self._segments.append(_recovery.Segment(segment_number))
        self._append_frame(
            _stored.SegmentHeader(segment_number, self._make_stored_state())
        )
        self._files.sync_folder(self.path)

    def _append_frame(self, record):
        frame = _frames.encode_frame(
            self._next_seq, _stored.CODEC.encode(record)
        )
        self._files.append(self._segment_handle, frame)
        self._files.sync(self._segment_handle)
        self._next_seq += 1
        self._segments[-1].size_bytes += len(frame)

    def _replace_snapshot(self, snapshot):
        stored_snapshot = _stored.StoredSnapshot(snapshot, self._reset_seq)
        self._replace_file(_recovery.SNAPSHOT_FILE_NAME, stored_snapshot)
        self._snapshot_index = snapshot.last_index

    def _replace_file(self, file_name, record):
        path = self._path_of(file_name)
        temporary_path = path + TEMPORARY_SUFFIX
        handle = self._files.open_append(temporary_path)
        try:
            frame = _frames.encode_frame(1, _stored.CODEC.encode(record))
            self._files.append(handle, frame)
            self._files.sync(handle)
        finally:
            self._files.close(handle)
        self._files.rename(temporary_path, path)
        self._files.sync_folder(self.path)

    def _remove_covered_segments(self, covered_index):
        while len(self._segments) > 1:
            segment = self._segments[0]
            if segment.max_index > covered_index:
                return
            file_name = _recovery.segment_file_name(segment.number)
            self._files.remove(self._path_of(file_name))
            # The removal is synced before the next one, so that a crash
            # leaves no gap in the segment numbers.
            self._files.sync_folder(self.path)
            del self._segments[0]
