"""JSON form of records, with named fields, for those outside the system.

Between the system's own processes records travel as arrays.  Workers,
upstreams and operators speak JSON objects with the field names of the same
records; a field that a record does not have is refused.
"""

import functools
import typing

import msgspec

from fuchsiatrestle import records

__all__ = (
    'NamedJsonInvalid',
    'decode',
    'encode',
    'to_plain',
)

NamedJsonInvalid = msgspec.DecodeError

_ENCODER = msgspec.json.Encoder()


def decode(kind, data):
    """Returns the record of class ``kind`` that a JSON object describes.

    Raises:
        NamedJsonInvalid: the text is no such object; it names the field.
    """
    return _to_records(_decoder(kind).decode(data))


def encode(record):
    """Returns the JSON object of a record, as bytes."""
    return _ENCODER.encode(to_plain(record))


def to_plain(value):
    """Returns nested dicts and lists of a record or of any struct.

    Bytes are taken to be JSON already, empty ones as null.
    """
    if isinstance(value, msgspec.Struct):
        return {
            name: to_plain(getattr(value, name))
            for name in value.__struct_fields__
        }
    if isinstance(value, (list, tuple)):
        return [to_plain(item) for item in value]
    if isinstance(value, dict):
        return {key: to_plain(item) for key, item in value.items()}
    if isinstance(value, bytes):
        return msgspec.Raw(value or b'null')
    return value


# Mirrors: structs with the fields of a record, decoded by name


@functools.lru_cache(maxsize=None)
def _decoder(kind):
    return msgspec.json.Decoder(_mirror(kind))


@functools.lru_cache(maxsize=None)
def _mirror(record):
    fields = [
        _mirrored_field(field) for field in msgspec.structs.fields(record)
    ]
    mirror = msgspec.defstruct(
        record.__name__, fields, forbid_unknown_fields=True
    )
    mirror.mirrored = record
    return mirror


def _mirrored_field(field):
    kind = _mirrored_type(field.type)
    if field.default is not msgspec.NODEFAULT:
        return field.name, kind, field.default
    if field.default_factory is not msgspec.NODEFAULT:
        default = msgspec.field(default_factory=field.default_factory)
        return field.name, kind, default
    return field.name, kind


def _mirrored_type(kind):
    arguments = typing.get_args(kind)
    if typing.get_origin(kind) is list:
        return list[_mirrored_type(arguments[0])]
    if arguments:
        return typing.Optional[_mirrored_type(arguments[0])]
    if isinstance(kind, type) and issubclass(kind, records.Record):
        return _mirror(kind)
    return kind


def _to_records(value):
    if isinstance(value, list):
        return [_to_records(item) for item in value]
    record = getattr(value, 'mirrored', None)
    if record is None:
        return value
    return record(
        *(
            _to_records(getattr(value, name))
            for name in value.__struct_fields__
        )
    )
