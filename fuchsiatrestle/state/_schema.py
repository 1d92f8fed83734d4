"""Schema of the agreed configuration document.

The document is a JSON object with three tables: services, entries and teams.
Each table is an object with one row by name.  A document with an unknown
field, a wrong type or a value out of range is refused with an error that
names the dotted path of the field.
"""

import ipaddress
import re
import typing

import msgspec

__all__ = (
    'Document',
    'EntryMember',
    'SchemaError',
    'Service',
    'Team',
    'check_document',
    'parse_document',
)

MAX_ENTRIES = 256
MAX_SERVICES = 1024
MAX_TEAMS = 1024
MAX_NAME_CHARS = 64
MAX_PORT = 65535

_NAME_PATTERN = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]*')
# Parts of the text of a ``msgspec.ValidationError``: the name of a missing or
# unknown field, and the path of the value at fault.
_QUOTED_FIELD_PATTERN = re.compile(r'`(?P<field>[^`]+)`')
_PATH_SUFFIX_PATTERN = re.compile(r' - at `\$\.?(?P<path>[^`]*)`')

# Types of fields with the range that a document may use.
_Method = typing.Annotated[str, msgspec.Meta(pattern='^[A-Z]{1,16}$')]
_PathPrefix = typing.Annotated[
    str, msgspec.Meta(pattern='^/[!-~]*$', max_length=256)
]
_Priority = typing.Annotated[int, msgspec.Meta(ge=0, le=9)]
_DurationMs = typing.Annotated[int, msgspec.Meta(ge=1, le=3600000)]
_SizeBytes = typing.Annotated[int, msgspec.Meta(ge=0, le=1 << 30)]
_Count = typing.Annotated[int, msgspec.Meta(ge=0, le=1 << 40)]
_QueueLength = typing.Annotated[int, msgspec.Meta(ge=0, le=100000)]
_Percent = typing.Annotated[int, msgspec.Meta(ge=0, le=100)]
_ShortText = typing.Annotated[str, msgspec.Meta(max_length=64)]


class SchemaError(ValueError):
    """A configuration document does not conform to the schema.

    Attributes:
        field: dotted path of the offending field.
        detail: what was expected, and what was found.
    """

    def __init__(self, field, detail):
        super().__init__(f'{field}: {detail}')
        self.field = field
        self.detail = detail


class _Row(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Base of the rows of the tables, and of the document itself."""


class Service(_Row):
    """A latency-critical service.

    Attributes:
        path: prefix of the paths of the requests to this service.
        priority: 0 to 9; 0 is the last to be shed under overload.
        deadline_ms: longest time that a request may take, including the time
            in the queue.
        idempotent_methods: HTTP methods whose requests may be sent again.
        max_queue: maximum number of requests that wait at one entry.
        max_request_bytes: maximum size of a request body.
        max_held_answer_bytes: maximum size of an answer that an entry buffers
            whole.
        retry_percent: maximum number of retries, in percent of the requests.
        progress_timeout_ms: longest time without data on a connection before
            it counts as failed.
    """

    path: _PathPrefix
    priority: _Priority = 0
    deadline_ms: _DurationMs = 1000
    idempotent_methods: list[_Method] = msgspec.field(
        default_factory=lambda: ['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE']
    )
    max_queue: _QueueLength = 1000
    max_request_bytes: _SizeBytes = 1 << 20
    max_held_answer_bytes: _SizeBytes = 1 << 20
    retry_percent: _Percent = 10
    progress_timeout_ms: _DurationMs = 1000


class EntryMember(_Row):
    """An entry that may serve requests.

    Attributes:
        address: ``IP:port`` of its link listener.
        data_centre: name of its data centre, empty if not given.
    """

    address: str
    data_centre: _ShortText = ''


class Team(_Row):
    """A team, with its quota for the batch jobs that run at one time.

    Attributes:
        cpu_milli: processor time, in thousandths of a core.
        memory_mib: memory, in MiB.
        accelerators: number of accelerators.
    """

    cpu_milli: _Count
    memory_mib: _Count
    accelerators: _Count = 0


class Document(_Row):
    """The whole configuration: its three tables, each by name."""

    services: dict[str, Service] = {}
    entries: dict[str, EntryMember] = {}
    teams: dict[str, Team] = {}


# Type of the rows and maximum number of rows, by name of the table.
_TABLES = {
    'services': (Service, MAX_SERVICES),
    'entries': (EntryMember, MAX_ENTRIES),
    'teams': (Team, MAX_TEAMS),
}


def _make_schema_error(prefix, exc):
    """Returns the ``SchemaError`` for an error of the msgspec decoder.

    Args:
        prefix: dotted path of the row that was decoded.
        exc: the ``msgspec.ValidationError``; its text has the path in the row.
    """
    error_text = str(exc)
    suffix = _PATH_SUFFIX_PATTERN.search(error_text)
    detail = _PATH_SUFFIX_PATTERN.sub('', error_text)
    path = prefix + ('.' + suffix['path'] if suffix and suffix['path'] else '')
    field_match = _QUOTED_FIELD_PATTERN.search(detail)
    if field_match and 'field `' in detail:
        path = f'{path}.{field_match["field"]}'
    return SchemaError(path, detail)


def _check_name(table, row_name):
    if len(row_name) > MAX_NAME_CHARS or not _NAME_PATTERN.fullmatch(row_name):
        raise SchemaError(
            f'{table}.{row_name[:MAX_NAME_CHARS]}',
            'names are letters, digits, dash, underscore and dot',
        )


def _convert_table(table, rows):
    """Converts the decoded rows of a table to its row type.

    Args:
        table: name of the table, a key of ``_TABLES``.
        rows: the decoded JSON value of the table.

    Returns:
        A dict of the converted rows by name.

    Raises:
        SchemaError: the table, a name or a row does not conform to the schema.
    """
    row_type, max_rows = _TABLES[table]
    if not isinstance(rows, dict):
        raise SchemaError(table, 'expected an object')
    if len(rows) > max_rows:
        raise SchemaError(table, f'more than {max_rows} items')
    converted_rows = {}
    for row_name, row in rows.items():
        _check_name(table, row_name)
        try:
            converted_rows[row_name] = msgspec.convert(row, row_type)
        except msgspec.ValidationError as exc:
            raise _make_schema_error(f'{table}.{row_name}', exc) from exc
    return converted_rows


def _check_unique_field(table, rows, field):
    names_by_value = {}
    for row_name, row in sorted(rows.items()):
        value = getattr(row, field)
        if value in names_by_value:
            raise SchemaError(
                f'{table}.{row_name}.{field}',
                f'{value!r} is also that of {names_by_value[value]}',
            )
        names_by_value[value] = row_name


def _check_address(entry_name, address):
    host, _, port = address.rpartition(':')
    try:
        ipaddress.ip_address(host.strip('[]'))
        is_valid = port.isdigit() and 0 < int(port) <= MAX_PORT
    except ValueError:
        is_valid = False
    if not is_valid:
        raise SchemaError(f'entries.{entry_name}.address', 'expected IP:port')


def check_document(document_value):
    """Converts a decoded JSON value to a ``Document``.

    Raises:
        SchemaError: the value does not conform to the schema; the error
            names the first offending field.
    """
    if not isinstance(document_value, dict):
        raise SchemaError('', 'expected an object')
    for table in document_value:
        if table not in _TABLES:
            raise SchemaError(table[:MAX_NAME_CHARS], 'unknown field')
    tables = {
        table: _convert_table(table, document_value.get(table, {}))
        for table in _TABLES
    }
    for name, entry in tables['entries'].items():
        _check_address(name, entry.address)
    _check_unique_field('services', tables['services'], 'path')
    _check_unique_field('entries', tables['entries'], 'address')
    return Document(**tables)


def parse_document(document_json):
    """Decodes a configuration document from JSON.

    Args:
        document_json: the document as JSON bytes.

    Returns:
        The ``Document``.

    Raises:
        msgspec.DecodeError: the text is not valid JSON.
        SchemaError: the document does not conform to the schema.
    """
    return check_document(msgspec.json.decode(document_json))
