"""Records as JSON objects with named fields, for use outside the system.

The system's own processes exchange records as arrays.  Workers, upstreams and
operators use JSON objects with the field names of the same records; an object
with a field that the record does not have is refused.  So is one with a number
that a record can not be encoded with.
"""

import functools
import typing

import msgspec

from fuchsiatrestle import number_ranges
from fuchsiatrestle import records

__all__ = (
    'NamedJsonInvalid',
    'decode',
    'encode',
    'to_builtins',
)

NamedJsonInvalid = msgspec.DecodeError

_ENCODER = msgspec.json.Encoder()


def decode(record_class, json_bytes):
    """Returns the record that a JSON object describes.

    Args:
        record_class: class of the record.
        json_bytes: the JSON object, as bytes.

    Raises:
        NamedJsonInvalid: the data is no such object; the text names the field.
    """
    return _to_records(_make_decoder(record_class).decode(json_bytes))


def encode(record):
    """Returns a record encoded as a JSON object, as bytes."""
    return _ENCODER.encode(to_builtins(record))


def to_builtins(value):
    """Returns a struct, such as a record, as nested dicts and lists.

    Bytes within it must be JSON text and are inserted as they are, empty ones
    as null.
    """
    if isinstance(value, msgspec.Struct):
        return {
            name: to_builtins(getattr(value, name))
            for name in value.__struct_fields__
        }
    if isinstance(value, (list, tuple)):
        return [to_builtins(item) for item in value]
    if isinstance(value, dict):
        return {key: to_builtins(item) for key, item in value.items()}
    if isinstance(value, bytes):
        return msgspec.Raw(value or b'null')
    return value


# The classes of records decode arrays only.  For each of them a named struct
# class is created, which has the same fields but decodes a JSON object; its
# attribute ``mirrored`` is the class of the record.


@functools.lru_cache(maxsize=None)
def _make_decoder(record_class):
    return msgspec.json.Decoder(_make_named_struct(record_class))


@functools.lru_cache(maxsize=None)
def _make_named_struct(record_class):
    fields = [
        _make_named_field(field)
        for field in msgspec.structs.fields(record_class)
    ]
    named_struct = msgspec.defstruct(
        record_class.__name__, fields, forbid_unknown_fields=True
    )
    named_struct.mirrored = record_class
    return named_struct


def _make_named_field(field):
    field_type = _make_named_type(field.type)
    if field.default is not msgspec.NODEFAULT:
        return field.name, field_type, field.default
    if field.default_factory is not msgspec.NODEFAULT:
        default = msgspec.field(default_factory=field.default_factory)
        return field.name, field_type, default
    return field.name, field_type


def _make_named_type(field_type):
    type_arguments = typing.get_args(field_type)
    if typing.get_origin(field_type) is list:
        return list[_make_named_type(type_arguments[0])]
    if type_arguments:
        return typing.Optional[_make_named_type(type_arguments[0])]
    if isinstance(field_type, type) and issubclass(field_type, records.Record):
        return _make_named_struct(field_type)
    return number_ranges.Int64 if field_type is int else field_type


def _to_records(value):
    if isinstance(value, list):
        return [_to_records(item) for item in value]
    record_class = getattr(value, 'mirrored', None)
    if record_class is None:
        return value
    return record_class(
        *(
            _to_records(getattr(value, name))
            for name in value.__struct_fields__
        )
    )
