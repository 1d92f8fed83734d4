"""Checks the query parameters and the JSON body of a call."""

import re
import urllib.parse

import msgspec

from fuchsiatrestle import number_ranges
from fuchsiatrestle import settings

__all__ = (
    'CallRefused',
    'check_address',
    'check_json_object',
    'decode_body',
    'decode_parameters',
)

MAX_PARAMETERS = 16
MAX_SHOWN_CHARS = 256  # of a parameter in an error

_ERROR_WITH_FIELD = re.compile(r'^(?P<text>.*?) - at `\$\.?(?P<field>.*?)`$')
_UNKNOWN_FIELD = re.compile(r'unknown field `(?P<name>[^`]*)`')
_MISSING_FIELD = re.compile(r'missing required field `(?P<name>[^`]*)`')

# The decoder raises RecursionError for JSON nested deeper than its limit.
_NOT_JSON_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)


class CallRefused(Exception):
    """The call is refused by this entry, before anything was changed.

    Attributes:
        status: HTTP status code of the refusal.
        reason: machine-readable reason.
        detail: one line for people.
        field: dotted path of the field or name of the parameter at fault,
            empty if there is none.
    """

    def __init__(self, status, reason, detail, field=''):
        super().__init__(detail)
        self.status = status
        self.reason = reason
        self.detail = detail
        self.field = field


def _split_decoder_error(message):
    """Splits an error message of the JSON decoder.

    Returns:
        The text without the part that names the field, and the dotted path of
        the field, empty if the message names no field.
    """
    field_match = _ERROR_WITH_FIELD.match(message)
    detail, field = (
        field_match.group('text', 'field') if field_match else (message, '')
    )
    for pattern in (_UNKNOWN_FIELD, _MISSING_FIELD):
        name_match = pattern.search(detail)
        if name_match:
            field = f'{field}.{name_match["name"]}'.lstrip('.')
    return detail, field


def decode_body(body, body_type):
    """Returns a JSON body, decoded and checked.

    Args:
        body: the body, as bytes.
        body_type: class that it has to conform to.

    Raises:
        CallRefused: the body is no JSON, or a field, which the error names,
            is unknown, missing or of the wrong type.
    """
    try:
        return msgspec.json.decode(body, type=body_type)
    except msgspec.ValidationError as exc:
        detail, field = _split_decoder_error(str(exc))
        raise CallRefused(400, 'bad_field', detail, field) from exc
    except _NOT_JSON_ERRORS as exc:
        raise CallRefused(400, 'bad_json', str(exc)) from exc


def check_json_object(body):
    """Checks that a body is a JSON object and returns it unchanged.

    Args:
        body: the body, as bytes.

    Raises:
        CallRefused: the body is no JSON object.
    """
    decoded_body = decode_body(body, object)
    if not isinstance(decoded_body, dict):
        raise CallRefused(400, 'bad_json', 'expected a JSON object')
    return body


def check_address(address_text, field):
    """Refuses a call if a text in it is not an address.

    Args:
        address_text: the text, expected as ``IP:port``.
        field: dotted path of the field that holds it.

    Raises:
        CallRefused: the text is no address.
    """
    try:
        settings.Address.parse(address_text)
    except ValueError as exc:
        raise CallRefused(
            400, 'bad_field', f'{address_text!r}: {exc}', field
        ) from exc


def _parse_query(query):
    try:
        name_value_pairs = urllib.parse.parse_qsl(
            query,
            keep_blank_values=True,
            strict_parsing=bool(query),
            errors='strict',
            max_num_fields=MAX_PARAMETERS,
        )
    except ValueError as exc:
        raise CallRefused(400, 'bad_query', str(exc)) from exc
    value_by_name = dict(name_value_pairs)
    if len(value_by_name) != len(name_value_pairs):
        raise CallRefused(400, 'bad_query', 'a parameter is given twice')
    return value_by_name


def _parse_parameter(parameter, value_text):
    if parameter.value_type is str:
        return value_text
    try:
        return number_ranges.parse_decimal(value_text, number_ranges.MAX_INT64)
    except ValueError as exc:
        shown_text = value_text[:MAX_SHOWN_CHARS]
        detail = f'expected a whole number, got {shown_text!r}'
        raise CallRefused(
            400, 'bad_parameter', detail, parameter.name
        ) from exc


def decode_parameters(query, parameters):
    """Returns the checked query parameters by name, with defaults.

    Args:
        query: query string of the request.
        parameters: the ``Parameter`` values that the route accepts.

    Raises:
        CallRefused: the query is malformed, or a parameter, which the error
            names, is unknown, missing or malformed.
    """
    given_value_by_name = _parse_query(query)
    parameter_by_name = {parameter.name: parameter for parameter in parameters}
    for name in given_value_by_name:
        if name not in parameter_by_name:
            detail = f'unknown parameter {name!r}'
            raise CallRefused(400, 'unknown_parameter', detail, name)
    value_by_name = {}
    for name, parameter in parameter_by_name.items():
        if name in given_value_by_name:
            value_by_name[name] = _parse_parameter(
                parameter, given_value_by_name[name]
            )
        elif parameter.default is None:
            detail = f'parameter {name!r} is required'
            raise CallRefused(400, 'missing_parameter', detail, name)
        else:
            value_by_name[name] = parameter.default
    return value_by_name
