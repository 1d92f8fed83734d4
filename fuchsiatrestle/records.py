"""Base class and codec of all messages and stored records.

A record is a ``msgspec.Struct``: a class with slots whose field types are
checked when it is decoded.  On the wire and on disk it is a MessagePack array
that starts with the tag of its class, followed by its fields in order.

To keep old and new versions compatible, new fields are added at the end and
have a default; a reader ignores further fields that it does not know.
"""

import typing

import msgspec

__all__ = (
    'Codec',
    'DecodeError',
    'Record',
)

DecodeError = msgspec.DecodeError


class Record(
    msgspec.Struct, array_like=True, frozen=True, tag=True, kw_only=False
):
    """An immutable typed value.

    The tag is the class name unless the class statement gives another one.
    """


class Codec:
    """Encodes and decodes the records of a fixed set of classes.

    Args:
        *record_classes: classes of the records; their tags must differ.

    Attributes:
        record_classes: the record classes.
    """

    def __init__(self, *record_classes):
        self.record_classes = record_classes
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(typing.Union[record_classes])

    def encode(self, record):
        """Returns a record encoded as bytes."""
        return self._encoder.encode(record)

    def decode(self, data):
        """Returns the record that is encoded in ``data``.

        Raises:
            DecodeError: the bytes are not a valid record of these classes.
        """
        return self._decoder.decode(data)
