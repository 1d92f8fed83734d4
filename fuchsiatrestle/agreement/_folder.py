"""Data folder of a replica: identity, write-ahead log and snapshot.

The log is a row of segments of frames.  One frame holds all changes that one
fsync makes durable; the next frame is written only after that fsync.  The
snapshot is written aside, synced and renamed.  The identity is written last
when a folder is made, so a folder without one was never used.
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

SEGMENT_BYTES = 8 * 1024 * 1024
LOCK_NAME = 'lock'
ASIDE_SUFFIX = '.new'

STORAGE_FAILED = metrics.declare(
    'refused.storage_failed',
    'Writes refused because the data folder failed once.',
)

LOG = logs.get_logger(__name__)


class DataFolder:
    """An open data folder; owned by one thread at a time.

    After the first failed write or fsync it refuses every later one: what is
    on disk is then unknown until the folder is opened again.

    Attributes:
        path: the folder.
        state: ``FolderState`` at the time of opening.
    """

    def __init__(self, path, files):
        self.path = path
        self._files = files
        self._failed = False
        self._handle = None
        self._lock = None
        self.state = None

    @classmethod
    def open(cls, path, name, nonce, files=None):
        """Opens a folder, making it first if it is empty.

        Args:
            path: the folder; it must exist.
            name: name of the process, part of a new identity.
            nonce: random number for a new identity.
            files: ``Files`` to work through, ``OsFiles`` if None.

        Returns:
            The open folder with its ``state``.

        Raises:
            errors.DataDamaged: a record fails its checksum before the end;
                the text names file and offset.
            errors.StorageFailed: the folder can not be read or written.
        """
        folder = cls(os.path.abspath(path), files or _files.OsFiles())
        with folder._guard('open'):
            folder._lock = folder._files.lock(folder._join(LOCK_NAME))
            folder._recover(name, nonce)
        return folder

    @property
    def failed(self):
        """True once a write has failed."""
        return self._failed

    def close(self):
        """Closes the files; what was synced stays."""
        for handle in (self._handle, self._lock):
            if handle is not None:
                self._files.close(handle)
        self._handle = None
        self._lock = None

    # Writing

    def carry_out(self, effects):
        """Makes ``Write`` and ``Restore`` effects durable, in order.

        Consecutive writes share one frame and one fsync.

        Args:
            effects: non-empty list of ``Write`` and ``Restore``.

        Returns:
            The highest ``write_id``, to be reported by ``Synced``.

        Raises:
            errors.StorageFailed: nothing later may be written.
        """
        writes = []
        for effect in effects:
            if isinstance(effect, _events.Restore):
                self._write(writes)
                writes = []
                self.install(effect.snapshot)
            else:
                writes.append(effect)
        self._write(writes)
        return effects[-1].write_id

    def _write(self, writes):
        if not writes:
            return
        changes = [self._stored_change(write) for write in writes]
        with self._guard('append'):
            if self._segments[-1].size >= SEGMENT_BYTES:
                self._start_segment()
            self._append_frame(_stored.Batch(changes))
        segment = self._segments[-1]
        for change in changes:
            if change.entries:
                last = change.entries[-1].index
                segment.max_index = max(segment.max_index, last)

    def _stored_change(self, write):
        stored = None
        if write.hard_state is not None:
            self._hard_state = write.hard_state
            stored = self._stored_state()
        return _stored.Change(
            stored, write.truncate_from or 0, list(write.entries)
        )

    def _stored_state(self):
        state = self._hard_state
        return _stored.StoredState(state.term, state.vote, state.group)

    def save_snapshot(self, snapshot):
        """Saves a snapshot of applied state, then drops the log before it.

        One that is not newer than the snapshot stored changes nothing.

        Raises:
            errors.StorageFailed: nothing later may be written.
        """
        if snapshot.last_index <= self._snapshot_index:
            return
        with self._guard('snapshot'):
            self._replace_snapshot(snapshot)
            self._start_segment()
            self._remove_covered(snapshot.last_index)

    def install(self, snapshot):
        """Saves the leader's snapshot in place of log and snapshot.

        Raises:
            errors.StorageFailed: nothing later may be written.
        """
        with self._guard('install'):
            self._reset_seq = self._next_seq
            self._replace_snapshot(snapshot)
            self._start_segment()
            for segment in self._segments[:-1]:
                segment.max_index = 0
            self._remove_covered(snapshot.last_index)

    # Steps

    @contextlib.contextmanager
    def _guard(self, step):
        if self._failed:
            metrics.count(STORAGE_FAILED)
            raise errors.StorageFailed(
                f'{self.path}: an earlier write failed', step=step
            )
        try:
            yield
        except OSError as exc:
            self._failed = True
            LOG.error(
                'storage_failed',
                extra={'path': self.path, 'step': step, 'error': str(exc)},
            )
            raise errors.StorageFailed(
                f'{self.path}: {exc.strerror or exc}', step=step
            ) from exc

    def _join(self, name):
        return os.path.join(self.path, name)

    def _recover(self, name, nonce):
        self._remove_aside()
        found = _recovery.Recovery(self._files, self.path)
        self._segments = found.segments
        self._hard_state = found.hard_state
        self._reset_seq = found.reset_seq
        self._snapshot_index = found.base_index
        self._next_seq = found.next_seq
        if found.unborn:
            self._files.remove(found.unborn)
            self._files.sync_folder(self.path)
        if found.torn_tail:
            LOG.warning('torn_tail_cut', extra={'path': found.torn_tail[0]})
            self._files.truncate(*found.torn_tail)
        if not found.identity:
            self._make(_voters.make_identity(name, nonce))
            found = _recovery.Recovery(self._files, self.path)
        else:
            self._open_last_segment()
        self.state = found.state

    def _remove_aside(self):
        for name in self._files.names(self.path):
            if name.endswith(ASIDE_SUFFIX):
                self._files.remove(self._join(name))

    def _make(self, identity):
        if not self._segments:
            self._start_segment()
        else:
            self._open_last_segment()
        self._replace(_recovery.IDENTITY_NAME, _stored.Identity(identity))

    def _open_last_segment(self):
        name = _recovery.segment_name(self._segments[-1].number)
        self._handle = self._files.open_append(self._join(name))

    def _start_segment(self):
        number = self._segments[-1].number + 1 if self._segments else 1
        if self._handle is not None:
            self._files.close(self._handle)
            self._handle = None
        path = self._join(_recovery.segment_name(number))
        self._handle = self._files.open_append(path)
        self._segments.append(_recovery.Segment(number))
        self._append_frame(_stored.Opening(number, self._stored_state()))
        self._files.sync_folder(self.path)

    def _append_frame(self, record):
        data = _frames.encode(self._next_seq, _stored.CODEC.encode(record))
        self._files.append(self._handle, data)
        self._files.sync(self._handle)
        self._next_seq += 1
        self._segments[-1].size += len(data)

    def _replace_snapshot(self, snapshot):
        stored = _stored.StoredSnapshot(snapshot, self._reset_seq)
        self._replace(_recovery.SNAPSHOT_NAME, stored)
        self._snapshot_index = snapshot.last_index

    def _replace(self, name, record):
        path = self._join(name)
        aside = path + ASIDE_SUFFIX
        handle = self._files.open_append(aside)
        try:
            frame = _frames.encode(1, _stored.CODEC.encode(record))
            self._files.append(handle, frame)
            self._files.sync(handle)
        finally:
            self._files.close(handle)
        self._files.rename(aside, path)
        self._files.sync_folder(self.path)

    def _remove_covered(self, index):
        while len(self._segments) > 1:
            segment = self._segments[0]
            if segment.max_index > index:
                return
            name = _recovery.segment_name(segment.number)
            self._files.remove(self._join(name))
            # One at a time, so that a crash never leaves a gap in the row.
            self._files.sync_folder(self.path)
            del self._segments[0]
