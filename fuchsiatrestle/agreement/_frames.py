"""Frames on disk: a numbered, checksummed record.

Layout: magic, sequence number, length of the payload, xxh64 of the two
numbers and the payload, payload; numbers are big-endian.
"""

import struct

import xxhash

__all__ = ('Frame', 'FrameReader', 'encode')

MAGIC = b'FTF1'

_HEADER = struct.Struct('>4sQIQ')
_NUMBERS = struct.Struct('>QI')


def _checksum(seq, payload):
    digest = xxhash.xxh64(_NUMBERS.pack(seq, len(payload)))
    digest.update(payload)
    return digest.intdigest()


def encode(seq, payload):
    """Returns the bytes of one frame."""
    header = _HEADER.pack(MAGIC, seq, len(payload), _checksum(seq, payload))
    return header + payload


class Frame:
    """One whole frame as read."""

    __slots__ = ('end', 'offset', 'payload', 'seq')

    def __init__(self, seq, payload, offset, end):
        self.seq = seq
        self.payload = payload
        self.offset = offset
        self.end = end


class FrameReader:
    """Reads the frames of one file.

    Attributes:
        frames: the whole frames, from the start of the file on.
        good_bytes: offset of the first byte that is in none of them.
        resumes_at: offset of a whole frame behind a damaged part, or None.
            A frame is synced before the next one is written, so a whole
            frame behind a broken one proves damage; a torn tail has none.
    """

    def __init__(self, data):
        self._data = data
        self.frames = []
        self.good_bytes = 0
        self.resumes_at = None
        self._read()

    @property
    def torn(self):
        """True if the file ends in bytes that are no frame."""
        return self.good_bytes < len(self._data)

    def _read(self):
        frame = self._frame_at(0)
        while frame is not None:
            self.frames.append(frame)
            self.good_bytes = frame.end
            frame = self._frame_at(frame.end)
        if self.torn:
            self.resumes_at = self._find_frame(self.good_bytes + 1)

    def _frame_at(self, offset):
        if len(self._data) - offset < _HEADER.size:
            return None
        magic, seq, length, checksum = _HEADER.unpack_from(self._data, offset)
        start = offset + _HEADER.size
        if magic != MAGIC or len(self._data) - start < length:
            return None
        payload = self._data[start : start + length]
        if _checksum(seq, payload) != checksum:
            return None
        return Frame(seq, payload, offset, start + length)

    def _find_frame(self, offset):
        while True:
            offset = self._data.find(MAGIC, offset)
            if offset < 0:
                return None
            if self._frame_at(offset) is not None:
                return offset
            offset += 1
