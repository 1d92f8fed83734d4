"""Conversion between JSON objects and records.

Records are arrays on the wire between the system's own processes; people and
programs outside get named fields.
"""

import functools

import msgspec

from fuchsiatrestle import errors

__all__ = ('from_json', 'to_plain')


def from_json(kind, data):
    """Returns the record of class ``kind`` that a JSON object describes.

    Args:
        kind: a ``records.Record`` class.
        data: JSON bytes.

    Raises:
        errors.Error: the bytes are no such object.
    """
    try:
        value = msgspec.json.decode(data)
        return msgspec.convert(_arranged(_type_info(kind), value), kind)
    except (msgspec.DecodeError, KeyError, TypeError) as exc:
        raise errors.Error(str(exc), step='from_json') from exc


def to_plain(value):
    """Returns nested dicts and lists of a record."""
    if isinstance(value, msgspec.Struct):
        return {
            field.name: to_plain(getattr(value, field.name))
            for field in msgspec.structs.fields(value)
        }
    if isinstance(value, list):
        return [to_plain(item) for item in value]
    return value


@functools.lru_cache(maxsize=64)
def _type_info(kind):
    return msgspec.inspect.type_info(kind)


def _arranged(info, value):
    """Turns objects into the arrays that records are decoded from."""
    if isinstance(info, msgspec.inspect.ListType):
        return [_arranged(info.item_type, item) for item in value]
    if isinstance(info, msgspec.inspect.UnionType):
        if value is None:
            return None
        chosen = [
            one
            for one in info.types
            if not isinstance(one, msgspec.inspect.NoneType)
        ]
        return _arranged(chosen[0], value)
    if isinstance(info, msgspec.inspect.StructType):
        return _arranged_struct(info, value)
    return value


def _arranged_struct(info, value):
    if not isinstance(value, dict):
        raise TypeError(f'expected an object, got {value!r}')
    unknown = value.keys() - {field.name for field in info.fields}
    if unknown:
        raise KeyError(f'unknown field {sorted(unknown)[0]!r}')
    items = [info.tag]
    for field in info.fields:
        if field.name in value:
            items.append(_arranged(field.type, value[field.name]))
        elif field.required:
            raise KeyError(f'missing field {field.name!r}')
        elif field.default_factory is not msgspec.NODEFAULT:
            items.append(field.default_factory())
        else:
            items.append(field.default)
    return items
