"""Reads a data folder: what it holds and where its log goes on."""

import os
import re

from fuchsiatrestle.agreement import _events
from fuchsiatrestle.agreement import _frames
from fuchsiatrestle.agreement import _stored
from fuchsiatrestle import errors
from fuchsiatrestle import records

__all__ = (
    'IDENTITY_NAME',
    'Recovery',
    'SNAPSHOT_NAME',
    'Segment',
    'segment_name',
)

IDENTITY_NAME = 'identity'
SNAPSHOT_NAME = 'snapshot'

_SEGMENT_PATTERN = re.compile(r'log-(\d{8})')


def segment_name(number):
    """Returns the file name of a segment."""
    return f'log-{number:08d}'


def _damaged(path, offset, reason):
    return errors.DataDamaged(
        f'{path}: offset {offset}: {reason}', step='recover'
    )


class Segment:
    """One file of the log.

    Attributes:
        number: its number; numbers are consecutive.
        max_index: highest index ever appended in it.
        size: its whole frames, in bytes.
    """

    __slots__ = ('max_index', 'number', 'size')

    def __init__(self, number, size=0, max_index=0):
        self.number = number
        self.size = size
        self.max_index = max_index


class Recovery:
    """Result of reading a folder; changes nothing on disk.

    Args:
        files: the ``Files`` to read through.
        path: the folder.

    Attributes:
        identity: the identity, empty for a folder not yet made.
        snapshot: the ``Snapshot`` or None.
        reset_seq: see ``StoredSnapshot``.
        segments: the whole segments, oldest first.
        torn_tail: (path, good bytes) to cut, or None.
        unborn: path of a segment whose first frame never became whole.
        next_seq: sequence number of the next frame.

    Raises:
        errors.DataDamaged: with file and offset.
        OSError: the folder can not be read.
    """

    def __init__(self, files, path):
        self._files = files
        self._path = path
        self._names = files.names(path)
        self.hard_state = _events.HardState(0, '', '')
        self.segments = []
        self.torn_tail = None
        self.unborn = None
        self.next_seq = 1
        self._entries = []
        self._first_frames = 0
        self._read_identity()
        self._read_snapshot()
        self._read_segments()
        self._check_made()

    # Single-frame files

    def _read_single(self, name, kind):
        if name not in self._names:
            return None
        path = os.path.join(self._path, name)
        reader = _frames.FrameReader(self._files.read(path))
        if reader.torn or len(reader.frames) != 1:
            raise _damaged(path, reader.good_bytes, 'checksum failed')
        record = self._decode(path, reader.frames[0])
        if not isinstance(record, kind):
            raise _damaged(path, 0, 'wrong kind of record')
        return record

    def _decode(self, path, frame):
        try:
            return _stored.CODEC.decode(frame.payload)
        except records.DecodeError as exc:
            raise _damaged(path, frame.offset, str(exc)) from exc

    def _read_identity(self):
        stored = self._read_single(IDENTITY_NAME, _stored.Identity)
        self.identity = stored.identity if stored else ''

    def _read_snapshot(self):
        stored = self._read_single(SNAPSHOT_NAME, _stored.StoredSnapshot)
        self.snapshot = stored.snapshot if stored else None
        self.reset_seq = stored.reset_seq if stored else 0

    # Segments

    def _read_segments(self):
        numbers = sorted(
            int(match[1])
            for match in map(_SEGMENT_PATTERN.fullmatch, self._names)
            if match
        )
        for number in numbers:
            if self.segments and number != self.segments[-1].number + 1:
                missing = segment_name(self.segments[-1].number + 1)
                path = os.path.join(self._path, missing)
                raise _damaged(path, 0, 'segment is missing')
            self._read_segment(number, number == numbers[-1])

    def _read_segment(self, number, is_last):
        path = os.path.join(self._path, segment_name(number))
        reader = _frames.FrameReader(self._files.read(path))
        if reader.resumes_at is not None:
            raise _damaged(path, reader.good_bytes, 'damaged record')
        if reader.torn and not is_last:
            raise _damaged(path, reader.good_bytes, 'damaged record')
        if not reader.frames:
            if not is_last:
                raise _damaged(path, 0, 'segment is empty')
            self.unborn = path
            return
        segment = Segment(number, reader.good_bytes)
        self.segments.append(segment)
        for frame in reader.frames:
            self._replay(path, segment, frame)
        if reader.torn:
            self.torn_tail = (path, reader.good_bytes)

    def _replay(self, path, segment, frame):
        if self.next_seq not in (1, frame.seq):
            raise _damaged(path, frame.offset, f'expected {self.next_seq}')
        self.next_seq = frame.seq + 1
        record = self._decode(path, frame)
        if isinstance(record, _stored.Opening):
            self._set_hard_state(record.hard_state)
            return
        for change in record.changes:
            self._replay_change(path, segment, frame, change)

    def _replay_change(self, path, segment, frame, change):
        if change.hard_state is not None:
            self._set_hard_state(change.hard_state)
        if change.entries:
            last = change.entries[-1].index
            segment.max_index = max(segment.max_index, last)
        if frame.seq < self.reset_seq:
            return
        if change.truncate_from:
            self._drop_from(change.truncate_from)
        for entry in change.entries:
            self._append(path, frame, entry)

    def _set_hard_state(self, stored):
        self.hard_state = _events.HardState(
            stored.term, stored.vote, stored.group
        )

    def _drop_from(self, index):
        while self._entries and self._entries[-1].index >= index:
            self._entries.pop()

    def _append(self, path, frame, entry):
        if self._entries and entry.index != self._entries[-1].index + 1:
            raise _damaged(path, frame.offset, f'gap before {entry.index}')
        if not self._entries and entry.index > self.base_index + 1:
            raise _damaged(path, frame.offset, f'gap before {entry.index}')
        self._entries.append(entry)

    # Result

    @property
    def base_index(self):
        """Last index that the snapshot covers, 0 without one."""
        return self.snapshot.last_index if self.snapshot else 0

    def _check_made(self):
        if self.identity:
            if not self.segments:
                path = os.path.join(self._path, segment_name(1))
                raise _damaged(path, 0, 'log is missing')
            return
        if self.snapshot is not None or self.next_seq > 2:
            path = os.path.join(self._path, IDENTITY_NAME)
            raise _damaged(path, 0, 'identity is missing')

    @property
    def state(self):
        """The ``FolderState`` recovered."""
        base = self.base_index
        entries = [one for one in self._entries if one.index > base]
        return _stored.FolderState(
            self.identity, self.hard_state, entries, self.snapshot
        )
