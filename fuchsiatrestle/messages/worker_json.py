"""JSON form of worker reports and of the orders that answer them.

Workers speak JSON objects with the field names of the records; between the
system's own processes the records travel as arrays.
"""

import typing

import msgspec

from fuchsiatrestle.messages import _workers

__all__ = (
    'JsonInvalid',
    'decode_orders',
    'decode_report',
    'encode_orders',
    'encode_report',
)

JsonInvalid = msgspec.DecodeError

_RECORDS = (
    _workers.Resources,
    _workers.AttemptReport,
    _workers.ServiceLoad,
    _workers.WorkerReport,
    _workers.AttemptOrder,
    _workers.WorkerOrders,
)
_PLAIN = {}


def _plain_type(kind):
    """Returns a field type with records replaced by their plain kin."""
    arguments = typing.get_args(kind)
    if typing.get_origin(kind) is list:
        return list[_plain_type(arguments[0])]
    if arguments:
        return typing.Optional[_plain_type(arguments[0])]
    return _PLAIN.get(kind, kind)


def _make_plain(record):
    fields = []
    for field in msgspec.structs.fields(record):
        kind = _plain_type(field.type)
        if field.default is not msgspec.NODEFAULT:
            fields.append((field.name, kind, field.default))
        elif field.default_factory is not msgspec.NODEFAULT:
            default = msgspec.field(default_factory=field.default_factory)
            fields.append((field.name, kind, default))
        else:
            fields.append((field.name, kind))
    return msgspec.defstruct(record.__name__, fields)


for _record in _RECORDS:
    _PLAIN[_record] = _make_plain(_record)
_RECORD_OF = {plain: record for record, plain in _PLAIN.items()}

_ENCODER = msgspec.json.Encoder()
_REPORTS = msgspec.json.Decoder(_PLAIN[_workers.WorkerReport])
_ORDERS = msgspec.json.Decoder(_PLAIN[_workers.WorkerOrders])


def _convert(value, kinds):
    """Rebuilds a value and all below it with the classes in ``kinds``."""
    if isinstance(value, list):
        return [_convert(item, kinds) for item in value]
    kind = kinds.get(type(value))
    if kind is None:
        return value
    values = (
        _convert(getattr(value, name), kinds)
        for name in value.__struct_fields__
    )
    return kind(*values)


def encode_report(report):
    """Returns the JSON of a ``WorkerReport``."""
    return _ENCODER.encode(_convert(report, _PLAIN))


def decode_report(data):
    """Returns the ``WorkerReport`` held by JSON.

    Raises:
        JsonInvalid: the text is no report; it names the field.
    """
    return _convert(_REPORTS.decode(data), _RECORD_OF)


def encode_orders(orders):
    """Returns the JSON of a ``WorkerOrders``."""
    return _ENCODER.encode(_convert(orders, _PLAIN))


def decode_orders(data):
    """Returns the ``WorkerOrders`` held by JSON.

    Raises:
        JsonInvalid: the text holds no orders.
    """
    return _convert(_ORDERS.decode(data), _RECORD_OF)
