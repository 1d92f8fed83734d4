"""Checks what a call brings: its query parameters and its JSON body."""

import re
import urllib.parse

import msgspec

from fuchsiatrestle import settings

__all__ = (
    'BadCall',
    'check_address',
    'decode_body',
    'decode_object',
    'decode_parameters',
)

MAX_PARAMETERS = 16

_MESSAGE_PLACE = re.compile(r'^(?P<text>.*?) - at `\$\.?(?P<field>.*?)`$')
_UNKNOWN_FIELD = re.compile(r'unknown field `(?P<name>[^`]*)`')
_MISSING_FIELD = re.compile(r'missing required field `(?P<name>[^`]*)`')

# Nesting deeper than the decoder's limit ends in a RecursionError.
_NOT_JSON = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)


class BadCall(Exception):
    """The call can not be carried out as sent.

    Attributes:
        status: HTTP status of the refusal.
        reason: machine-readable reason.
        detail: one line for people.
        field: dotted path of the offending field, empty if none.
    """

    def __init__(self, status, reason, detail, field=''):
        super().__init__(detail)
        self.status = status
        self.reason = reason
        self.detail = detail
        self.field = field


def _place(message):
    """Returns text and field of an error message of the decoder."""
    found = _MESSAGE_PLACE.match(message)
    text, field = found.group('text', 'field') if found else (message, '')
    for pattern in (_UNKNOWN_FIELD, _MISSING_FIELD):
        named = pattern.search(text)
        if named:
            field = f'{field}.{named["name"]}'.lstrip('.')
    return text, field


def decode_body(body, kind):
    """Returns the typed value of a JSON body.

    Raises:
        BadCall: naming the field that is unknown, missing or of wrong type.
    """
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.ValidationError as exc:
        text, field = _place(str(exc))
        raise BadCall(400, 'bad_field', text, field) from exc
    except _NOT_JSON as exc:
        raise BadCall(400, 'bad_json', str(exc)) from exc


def decode_object(body):
    """Checks that a body is one JSON object and returns its bytes."""
    value = decode_body(body, object)
    if not isinstance(value, dict):
        raise BadCall(400, 'bad_json', 'expected a JSON object')
    return body


def check_address(text, field):
    """Refuses a text that is not ``IP:port``."""
    try:
        settings.Address.parse(text)
    except ValueError as exc:
        raise BadCall(400, 'bad_field', f'{text!r}: {exc}', field) from exc


def _split(query):
    try:
        pairs = urllib.parse.parse_qsl(
            query,
            keep_blank_values=True,
            strict_parsing=bool(query),
            errors='strict',
            max_num_fields=MAX_PARAMETERS,
        )
    except ValueError as exc:
        raise BadCall(400, 'bad_query', str(exc)) from exc
    values = dict(pairs)
    if len(values) != len(pairs):
        raise BadCall(400, 'bad_query', 'a parameter is given twice')
    return values


def _value(parameter, text):
    if parameter.kind is str:
        return text
    if not text.isascii() or not text.isdigit():
        detail = f'expected a whole number, got {text!r}'
        raise BadCall(400, 'bad_parameter', detail, parameter.name)
    return int(text)


def decode_parameters(query, parameters):
    """Returns the query parameters by name, defaults filled in.

    Raises:
        BadCall: naming the parameter that is unknown, missing or malformed.
    """
    given = _split(query)
    known = {parameter.name: parameter for parameter in parameters}
    for name in given:
        if name not in known:
            detail = f'unknown parameter {name!r}'
            raise BadCall(400, 'unknown_parameter', detail, name)
    values = {}
    for name, parameter in known.items():
        if name in given:
            values[name] = _value(parameter, given[name])
        elif parameter.default is None:
            detail = f'parameter {name!r} is required'
            raise BadCall(400, 'missing_parameter', detail, name)
        else:
            values[name] = parameter.default
    return values
