"""Schema of the agreed configuration document.

The document is JSON with three tables, each keyed by name.  An unknown
field, a wrong type or a value out of range is refused with its dotted path.
"""

import ipaddress
import re
import typing

import msgspec

__all__ = (
    'Document',
    'EntryMember',
    'SchemaInvalid',
    'Service',
    'Team',
    'check',
    'parse',
)

MAX_ENTRIES = 256
MAX_SERVICES = 1024
MAX_TEAMS = 1024
MAX_NAME_CHARS = 64
MAX_PORT = 65535

_NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]*')
_FIELD = re.compile(r'`(?P<field>[^`]+)`')
_AT = re.compile(r' - at `\$\.?(?P<path>[^`]*)`')

_Method = typing.Annotated[str, msgspec.Meta(pattern='^[A-Z]{1,16}$')]
_PathPrefix = typing.Annotated[
    str, msgspec.Meta(pattern='^/[!-~]*$', max_length=256)
]
_Priority = typing.Annotated[int, msgspec.Meta(ge=0, le=9)]
_DurationMs = typing.Annotated[int, msgspec.Meta(ge=1, le=3600000)]
_Bytes = typing.Annotated[int, msgspec.Meta(ge=0, le=1 << 30)]
_Count = typing.Annotated[int, msgspec.Meta(ge=0, le=1 << 40)]
_Queue = typing.Annotated[int, msgspec.Meta(ge=0, le=100000)]
_Percent = typing.Annotated[int, msgspec.Meta(ge=0, le=100)]
_ShortText = typing.Annotated[str, msgspec.Meta(max_length=64)]


class SchemaInvalid(ValueError):
    """The document breaks the schema.

    Attributes:
        field: dotted path of the offending field.
        detail: what is wrong with it.
    """

    def __init__(self, field, detail):
        super().__init__(f'{field}: {detail}')
        self.field = field
        self.detail = detail


class _Table(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """One row of the document."""


class Service(_Table):
    """A latency-critical service.

    Attributes:
        path: prefix of the request paths that belong to it.
        priority: 0 is shed last.
        deadline_ms: how long a request may take, waiting included.
        idempotent_methods: methods whose requests may be sent again.
        max_queue: requests that may wait at one entry.
        max_request_bytes: largest request body.
        max_held_answer_bytes: answers up to this size are held whole.
        retry_percent: retries allowed in relation to requests.
        progress_timeout_ms: silence on a connection that counts as failure.
    """

    path: _PathPrefix
    priority: _Priority = 0
    deadline_ms: _DurationMs = 1000
    idempotent_methods: list[_Method] = msgspec.field(
        default_factory=lambda: ['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE']
    )
    max_queue: _Queue = 1000
    max_request_bytes: _Bytes = 1 << 20
    max_held_answer_bytes: _Bytes = 1 << 20
    retry_percent: _Percent = 10
    progress_timeout_ms: _DurationMs = 1000


class EntryMember(_Table):
    """An entry that may serve.

    Attributes:
        address: ``IP:port`` of its link listener.
        data_centre: where it stands.
    """

    address: str
    data_centre: _ShortText = ''


class Team(_Table):
    """A team and its quota over running batch work."""

    cpu_milli: _Count
    memory_mib: _Count
    accelerators: _Count = 0


class Document(_Table):
    """The whole configuration."""

    services: dict[str, Service] = {}
    entries: dict[str, EntryMember] = {}
    teams: dict[str, Team] = {}


_ROWS = {
    'services': (Service, MAX_SERVICES),
    'entries': (EntryMember, MAX_ENTRIES),
    'teams': (Team, MAX_TEAMS),
}


def _located(prefix, exc):
    """Returns a ``SchemaInvalid`` that names the field of a decoder error."""
    text = str(exc)
    at = _AT.search(text)
    detail = _AT.sub('', text)
    path = prefix + ('.' + at['path'] if at and at['path'] else '')
    field = _FIELD.search(detail)
    if field and 'field `' in detail:
        path = f'{path}.{field["field"]}'
    return SchemaInvalid(path, detail)


def _check_name(table, name):
    if len(name) > MAX_NAME_CHARS or not _NAME.fullmatch(name):
        raise SchemaInvalid(
            f'{table}.{name[:MAX_NAME_CHARS]}',
            'names are letters, digits, dash, underscore and dot',
        )


def _check_table(table, rows):
    kind, limit = _ROWS[table]
    if not isinstance(rows, dict):
        raise SchemaInvalid(table, 'expected an object')
    if len(rows) > limit:
        raise SchemaInvalid(table, f'more than {limit} items')
    checked = {}
    for name, row in rows.items():
        _check_name(table, name)
        try:
            checked[name] = msgspec.convert(row, kind)
        except msgspec.ValidationError as exc:
            raise _located(f'{table}.{name}', exc) from exc
    return checked


def _check_unique(table, rows, field):
    seen = {}
    for name, row in sorted(rows.items()):
        value = getattr(row, field)
        if value in seen:
            raise SchemaInvalid(
                f'{table}.{name}.{field}',
                f'{value!r} is also that of {seen[value]}',
            )
        seen[value] = name


def _check_address(name, text):
    host, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(host.strip('[]'))
        valid = port.isdigit() and 0 < int(port) <= MAX_PORT
    except ValueError:
        valid = False
    if not valid:
        raise SchemaInvalid(f'entries.{name}.address', 'expected IP:port')


def check(value):
    """Returns the ``Document`` of a decoded JSON value.

    Raises:
        SchemaInvalid: with the dotted path of the first offending field.
    """
    if not isinstance(value, dict):
        raise SchemaInvalid('', 'expected an object')
    for table in value:
        if table not in _ROWS:
            raise SchemaInvalid(table[:MAX_NAME_CHARS], 'unknown field')
    tables = {
        table: _check_table(table, value.get(table, {})) for table in _ROWS
    }
    for name, entry in tables['entries'].items():
        _check_address(name, entry.address)
    _check_unique('services', tables['services'], 'path')
    _check_unique('entries', tables['entries'], 'address')
    return Document(**tables)


def parse(text):
    """Returns the ``Document`` of an agreed JSON text."""
    return check(msgspec.json.decode(text))
