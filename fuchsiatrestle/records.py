"""Base of all typed messages and stored records.

A record is a ``msgspec.Struct``: a plain class with slots whose fields are
checked when it is decoded.  On the wire and on disk it is a MessagePack array
led by its tag.  Compatibility rule: new fields go last and have a default;
a reader ignores fields it does not know.
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
    """An immutable typed value, tagged with its class name."""


class Codec:
    """Encodes and decodes one closed family of records.

    Args:
        *kinds: every record class the family holds.
    """

    def __init__(self, *kinds):
        self.kinds = kinds
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(typing.Union[kinds])

    def encode(self, record):
        """Returns the bytes of one record."""
        return self._encoder.encode(record)

    def decode(self, data):
        """Returns the record held by ``data``.

        Raises:
            DecodeError: the bytes are no record of this family.
        """
        return self._decoder.decode(data)
