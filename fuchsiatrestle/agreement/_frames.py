"""Frames, the numbered and checksummed records of files on disk.

Layout of a frame: magic (4 bytes), sequence number (8), payload length (4),
checksum (8), payload.  Numbers are big-endian.  The checksum is the xxh64 of
sequence number, payload length and payload.
"""

import struct

import xxhash

__all__ = ('Frame', 'FrameReader', 'encode_frame')

MAGIC = b'FTF1'

_HEADER = struct.Struct('>4sQIQ')
_CHECKSUMMED_FIELDS = struct.Struct('>QI')


def _checksum(seq, payload):
    digest = xxhash.xxh64(_CHECKSUMMED_FIELDS.pack(seq, len(payload)))
    digest.update(payload)
    return digest.intdigest()


def encode_frame(seq, payload):
    """Returns the encoded frame of a payload."""
    header = _HEADER.pack(MAGIC, seq, len(payload), _checksum(seq, payload))
    return header + payload


class Frame:
    """One valid frame as read from a file.

    Attributes:
        seq: sequence number.
        payload: the payload.
        offset: offset of the frame in the file, in bytes.
        end_offset: offset right behind the frame, in bytes.
    """

    __slots__ = ('end_offset', 'offset', 'payload', 'seq')

    def __init__(self, seq, payload, offset, end_offset):
        self.seq = seq
        self.payload = payload
        self.offset = offset
        self.end_offset = end_offset


class FrameReader:
    """Reads the frames of one file.

    Args:
        data: content of the file.

    Attributes:
        frames: the consecutive valid ``Frame`` objects at the start of the
            file.
        valid_size_bytes: size of these frames, in bytes.
        next_frame_offset: offset of a valid frame behind invalid bytes, or
            None.  A frame is synced before the next one is written, so a
            valid frame behind invalid bytes proves damage, while a torn
            write is followed by none.
    """

    def __init__(self, data):
        self._data = data
        self.frames = []
        self.valid_size_bytes = 0
        self.next_frame_offset = None
        self._read_frames()

    @property
    def has_invalid_bytes(self):
        """True if invalid bytes follow the valid frames.

        They are left by a torn write or by damage; see ``next_frame_offset``.
        """
        return self.valid_size_bytes < len(self._data)

    def _read_frames(self):
        frame = self._frame_at(0)
        while frame is not None:
            self.frames.append(frame)
            self.valid_size_bytes = frame.end_offset
            frame = self._frame_at(frame.end_offset)
        if self.has_invalid_bytes:
            self.next_frame_offset = self._find_next_frame_offset(
                self.valid_size_bytes + 1
            )

    def _frame_at(self, offset):
        if len(self._data) - offset < _HEADER.size:
            return None
        magic, seq, payload_length, checksum = _HEADER.unpack_from(
            self._data, offset
        )
        payload_offset = offset + _HEADER.size
        if magic != MAGIC or len(self._data) - payload_offset < payload_length:
            return None
        payload = self._data[payload_offset : payload_offset + payload_length]
        if _checksum(seq, payload) != checksum:
            return None
        return Frame(seq, payload, offset, payload_offset + payload_length)

    def _find_next_frame_offset(self, offset):
        while True:
            offset = self._data.find(MAGIC, offset)
            if offset < 0:
                return None
            if self._frame_at(offset) is not None:
                return offset
            offset += 1
