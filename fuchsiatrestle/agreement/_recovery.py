"""Recovery: reads a data folder and finds the end of its log."""

import os
import re

from fuchsiatrestle.agreement import _events
from fuchsiatrestle.agreement import _frames
from fuchsiatrestle.agreement import _stored
from fuchsiatrestle import errors
from fuchsiatrestle import records

__all__ = (
    'IDENTITY_FILE_NAME',
    'RETIRED_FILE_NAME',
    'Recovery',
    'SNAPSHOT_FILE_NAME',
    'Segment',
    'segment_file_name',
)

IDENTITY_FILE_NAME = 'identity'
SNAPSHOT_FILE_NAME = 'snapshot'
# Marks a folder whose data does not count any more.
RETIRED_FILE_NAME = 'retired'

_SEGMENT_PATTERN = re.compile(r'log-(\d{8})')


def segment_file_name(number):
    """Returns the file name of the segment with a number."""
    return f'log-{number:08d}'


def _damage_error(path, offset, reason):
    return errors.DataDamaged(
        f'{path}: offset {offset}: {reason}', step='recover'
    )


class Segment:
    """One file of the log.

    Args:
        number: its number, part of the file name.
        size_bytes: size of its valid frames, in bytes.
        max_index: highest index of an entry in it, 0 for none.

    Attributes:
        number: its number; the numbers of a folder are consecutive.
        size_bytes: size of its valid frames, in bytes.
        max_index: highest index of any entry in it, even if truncated later.
    """

    __slots__ = ('max_index', 'number', 'size_bytes')

    def __init__(self, number, size_bytes=0, max_index=0):
        self.number = number
        self.size_bytes = size_bytes
        self.max_index = max_index


class Recovery:
    """Reads a data folder and replays its log; changes nothing on disk.

    Args:
        files: ``Files`` to read through.
        path: the folder.

    Attributes:
        identity: identity of the folder, empty if it is not initialized.
        may_found: True if the replica may take part in founding a group.
        hard_state: the last ``HardState``.
        snapshot: the ``Snapshot`` or None.
        reset_seq: sequence number of the first frame whose entries count;
            see ``StoredSnapshot``.
        segments: the ``Segment`` objects with valid frames, oldest first.
        torn_segment: (path, number of valid bytes) of a segment whose last
            write was torn, or None.
        incomplete_segment: path of a last segment without any valid frame,
            or None.
        next_seq: sequence number of the next frame.

    Raises:
        errors.DataDamaged: the content is damaged in another way than by a
            torn last write; the text names file and offset.
        OSError: the folder can not be read.
    """

    def __init__(self, files, path):
        self._files = files
        self._path = path
        self._file_names = files.list_file_names(path)
        if RETIRED_FILE_NAME in self._file_names:
            self._file_names = []
        self.hard_state = _events.HardState(0, '', '')
        self.segments = []
        self.torn_segment = None
        self.incomplete_segment = None
        self.next_seq = 1
        self._entries = []
        self._first_frames = 0
        self._read_identity()
        self._read_snapshot()
        self._read_segments()
        self._require_log_and_identity()

    # Single-frame files

    def _read_single_frame_file(self, file_name, record_class):
        if file_name not in self._file_names:
            return None
        path = os.path.join(self._path, file_name)
        reader = _frames.FrameReader(self._files.read(path))
        if reader.has_invalid_bytes or len(reader.frames) != 1:
            raise _damage_error(
                path, reader.valid_size_bytes, 'checksum failed'
            )
        record = self._decode(path, reader.frames[0])
        if not isinstance(record, record_class):
            raise _damage_error(path, 0, 'wrong kind of record')
        return record

    def _decode(self, path, frame):
        try:
            return _stored.CODEC.decode(frame.payload)
        except records.DecodeError as exc:
            raise _damage_error(path, frame.offset, str(exc)) from exc

    def _read_identity(self):
        stored = self._read_single_frame_file(
            IDENTITY_FILE_NAME, _stored.Identity
        )
        self.identity = stored.identity if stored else ''
        self.may_found = stored.may_found if stored else True

    def _read_snapshot(self):
        stored = self._read_single_frame_file(
            SNAPSHOT_FILE_NAME, _stored.StoredSnapshot
        )
        self.snapshot = stored.snapshot if stored else None
        self.reset_seq = stored.reset_seq if stored else 0

    # Segments

    def _read_segments(self):
        segment_numbers = sorted(
            int(match[1])
            for match in map(_SEGMENT_PATTERN.fullmatch, self._file_names)
            if match
        )
        for number in segment_numbers:
            if self.segments and number != self.segments[-1].number + 1:
                missing_file_name = segment_file_name(
                    self.segments[-1].number + 1
                )
                path = os.path.join(self._path, missing_file_name)
                raise _damage_error(path, 0, 'segment is missing')
            self._read_segment(number, number == segment_numbers[-1])

    def _read_segment(self, number, is_last_segment):
        # Only the last write of the last segment can be torn by a crash;
        # other invalid bytes are damage to data that was durable.
        path = os.path.join(self._path, segment_file_name(number))
        reader = _frames.FrameReader(self._files.read(path))
        if reader.next_frame_offset is not None:
            raise _damage_error(
                path, reader.valid_size_bytes, 'damaged record'
            )
        if reader.has_invalid_bytes and not is_last_segment:
            raise _damage_error(
                path, reader.valid_size_bytes, 'damaged record'
            )
        if not reader.frames:
            if not is_last_segment:
                raise _damage_error(path, 0, 'segment is empty')
            self.incomplete_segment = path
            return
        segment = Segment(number, reader.valid_size_bytes)
        self.segments.append(segment)
        for frame in reader.frames:
            self._replay_frame(path, segment, frame)
        if reader.has_invalid_bytes:
            self.torn_segment = (path, reader.valid_size_bytes)

    def _replay_frame(self, path, segment, frame):
        # ``next_seq`` is 1 only before the first frame.  That frame may have
        # any sequence number, as older segments are removed.
        if self.next_seq not in (1, frame.seq):
            raise _damage_error(
                path, frame.offset, f'expected frame {self.next_seq}'
            )
        self.next_seq = frame.seq + 1
        record = self._decode(path, frame)
        if isinstance(record, _stored.SegmentHeader):
            self._set_hard_state(record.hard_state)
            return
        for change in record.changes:
            self._replay_change(path, segment, frame, change)

    def _replay_change(self, path, segment, frame, change):
        if change.hard_state is not None:
            self._set_hard_state(change.hard_state)
        if change.entries:
            last_index = change.entries[-1].index
            segment.max_index = max(segment.max_index, last_index)
        # An installed snapshot has replaced the entries of these frames;
        # their hard state still counts.
        if frame.seq < self.reset_seq:
            return
        if change.truncate_from:
            self._drop_entries_from(change.truncate_from)
        for entry in change.entries:
            self._append_entry(path, frame, entry)

    def _set_hard_state(self, stored_state):
        self.hard_state = _events.HardState(
            stored_state.term, stored_state.vote, stored_state.group
        )

    def _drop_entries_from(self, index):
        while self._entries and self._entries[-1].index >= index:
            self._entries.pop()

    def _append_entry(self, path, frame, entry):
        if self._entries and entry.index != self._entries[-1].index + 1:
            raise _damage_error(
                path, frame.offset, f'gap before entry {entry.index}'
            )
        if not self._entries and entry.index > self.base_index + 1:
            raise _damage_error(
                path, frame.offset, f'gap before entry {entry.index}'
            )
        self._entries.append(entry)

    # Results

    @property
    def base_index(self):
        """Last index that the snapshot covers, 0 without a snapshot."""
        return self.snapshot.last_index if self.snapshot else 0

    def _require_log_and_identity(self):
        if self.identity:
            if not self.segments:
                path = os.path.join(self._path, segment_file_name(1))
                raise _damage_error(path, 0, 'log is missing')
            return
        # The identity is written last when a folder is initialized, so a
        # crash on the way leaves at most the header of the first segment
        # (frame 1).  More than that without an identity is damage.
        if self.snapshot is not None or self.next_seq > 2:
            path = os.path.join(self._path, IDENTITY_FILE_NAME)
            raise _damage_error(path, 0, 'identity is missing')

    @property
    def state(self):
        """The recovered ``FolderState``."""
        base_index = self.base_index
        entries = [
            entry for entry in self._entries if entry.index > base_index
        ]
        return _stored.FolderState(
            self.identity,
            self.hard_state,
            entries,
            self.snapshot,
            self.may_found,
        )
