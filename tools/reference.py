"""Generates the reference pages that are derived from the code.

``python -m tools.reference`` writes ``docs/COUNTERS.md`` and
``docs/ADMIN-API.md``. With ``--check`` it only compares them with the code and
exits with status 1 if a page is out of date.
"""

import json
import pathlib
import subprocess
import sys
import typing

import msgspec

from fuchsiatrestle import admin

__all__ = ('PAGES', 'main')

DOCS = pathlib.Path(__file__).resolve().parent.parent / 'docs'
# Module that declares each program.
PROGRAMS = {
    'entry': 'fuchsiatrestle.entry.program',
    'control': 'fuchsiatrestle.control.program',
}
# Prefix of the names, title and introduction of each table of counters. A name
# is listed in the first group that its prefix matches.
COUNTER_GROUPS = (
    ('refused.', 'Refusals', 'One counter for each reason to refuse.'),
    ('retry.', 'Retries', 'One counter for each reason to try again.'),
    ('', 'Other counters, gauges and timings', ''),
)
GENERATED_NOTE = '<!-- written by python -m tools.reference; do not edit -->\n'


# Counters


# The policies of placement rounds are imported only if a setting asks for
# them, so all modules of their package are imported where a program uses it.
_PRINT_DECLARED = """
import importlib, json, pkgutil, sys
from fuchsiatrestle import metrics
importlib.import_module({module!r})
package = sys.modules.get('fuchsiatrestle.workflows')
for module in pkgutil.iter_modules(package.__path__) if package else ():
    importlib.import_module(package.__name__ + '.' + module.name)
print(json.dumps(metrics.DECLARED))
"""


def _load_declared_metrics(module):
    """Returns the metrics that a program declares: descriptions by name.

    The module is imported in a new process, because importing it declares
    its metrics and those of the other programs must not be among them.

    Args:
        module: name of the module that declares the program.
    """
    completed = subprocess.run(
        [sys.executable, '-c', _PRINT_DECLARED.format(module=module)],
        cwd=DOCS.parent,
        check=True,
        capture_output=True,
        text=True,
    )
    return json.loads(completed.stdout)


def _format_counter_rows(declared_metrics, prefix, listed_names):
    """Yields table rows for the metrics not listed yet that have a prefix.

    Args:
        declared_metrics: descriptions of the metrics, by program and name.
        prefix: prefix of the names.
        listed_names: set of the names listed so far; those of the rows are
            added.
    """
    names = sorted(set().union(*declared_metrics.values()) - listed_names)
    for name in names:
        if not name.startswith(prefix):
            continue
        listed_names.add(name)
        program_names = [
            key
            for key, descriptions in declared_metrics.items()
            if name in descriptions
        ]
        description = declared_metrics[program_names[0]][name]
        yield f'| `{name}` | {", ".join(program_names)} | {description} |'


def make_counters():
    """Returns the text of ``COUNTERS.md``."""
    declared_metrics = {
        key: _load_declared_metrics(module) for key, module in PROGRAMS.items()
    }
    listed_names = set()
    lines = [
        '# Counters',
        '',
        GENERATED_NOTE,
        'All of them go to statsd as `PREFIX.PROGRAM.NAME`. Those of an entry',
        'since its start are read with `fuchsiatrestle-ctl counters`; what to',
        'do about each is in [OPERATING.md](OPERATING.md).',
    ]
    for prefix, title, introduction in COUNTER_GROUPS:
        lines += ['', f'## {title}', '']
        lines += [introduction, ''] if introduction else []
        lines += ['| name | program | meaning |', '|---|---|---|']
        lines += _format_counter_rows(declared_metrics, prefix, listed_names)
    return '\n'.join(lines) + '\n'


# Administration API


def _format_type(field_type):
    """Returns the text that describes the type of a field on the page."""
    if isinstance(field_type, type):
        if issubclass(field_type, msgspec.Struct):
            return f'[{field_type.__name__}](#{field_type.__name__.lower()})'
        return {int: 'number', str: 'text', bool: 'true or false'}[field_type]
    origin = typing.get_origin(field_type)
    arguments = typing.get_args(field_type)
    if origin is typing.Literal:
        return ' or '.join(f'`{value}`' for value in arguments)
    if origin is list:
        return f'list of {_format_type(arguments[0])}'
    return _format_type(arguments[0])


def _list_body_types():
    """Returns the classes of all request bodies and of structs in them."""
    body_types = []
    pending_types = [
        route.body_type for route in admin.ROUTES if route.body_type
    ]
    while pending_types:
        body_type = pending_types.pop(0)
        if body_type in body_types:
            continue
        body_types.append(body_type)
        for field_type in typing.get_type_hints(body_type).values():
            pending_types += [
                nested_type
                for nested_type in (field_type, *typing.get_args(field_type))
                if isinstance(nested_type, type)
                and issubclass(nested_type, msgspec.Struct)
            ]
    return body_types


def _format_default(field):
    if field.required:
        return 'required'
    return f'`{json.dumps(field.default)}`'


def _format_body_lines(body_type):
    yield f'### {body_type.__name__}'
    yield ''
    yield body_type.__doc__.splitlines()[0]
    yield ''
    yield '| field | type | default |'
    yield '|---|---|---|'
    type_hints = typing.get_type_hints(body_type)
    for field in msgspec.structs.fields(body_type):
        type_text = _format_type(type_hints[field.name])
        yield f'| `{field.name}` | {type_text} | {_format_default(field)} |'


def _format_route_lines(route):
    yield f'| `{route.method} {route.path}` | {route.summary} |' + (
        f' [{route.body_type.__name__}](#{route.body_type.__name__.lower()}) |'
        if route.body_type
        else ' |'
    )


def _format_parameter_lines(route):
    for parameter in route.parameters:
        default = 'required'
        if parameter.default is not None:
            default = f'`{json.dumps(parameter.default)}`'
        yield (
            f'| `{route.method} {route.path}` | `{parameter.name}` |'
            f' {parameter.summary} | {default} |'
        )


_INTRODUCTION = """\
HTTP/JSON on the `admin` address of every entry; any entry answers for the
whole system, but for `/v1/upstreams`, `/v1/counters`, `/v1/drain` and the
`entry` part of `/v1/status`, which are its own. `fuchsiatrestle-ctl` makes
the same calls. The address takes calls from operators only: let the
platform's network rules keep all others away from it.

Every call may be sent again through any entry: a patch under the same
`patch_id`, jobs under the same `job_id` and `submitted_ms`.

A refusal is an object with `reason` (for programs), `detail` (for people),
`field` where one is at fault, and `outcome`:

| status | meaning | `outcome` |
|---|---|---|
| 400 | malformed call: `bad_json`, `bad_field`, ... | `not-run` |
| 404, 405 | unknown path or thing, wrong method | `not-run` |
| 409 | `version_conflict` (with `current`), `last_voter`, ... | `not-run` |
| 422 | refused whole by the agreed state, with `field` | `not-run` |
| 503 | control could not take it; try again after `Retry-After` | `not-run` |
| 504 | the answer was lost, send the same call again | `unknown` |

The outcomes of jobs come one for each job, in a 200: `state`, `repeated`, and
`reason` if that job was refused."""


def make_admin_api():
    """Returns the text of ``ADMIN-API.md``."""
    lines = ['# Administration API', '', GENERATED_NOTE, _INTRODUCTION, '']
    lines += ['## Calls', '', '| call | what | body |', '|---|---|---|']
    for route in admin.ROUTES:
        lines += _format_route_lines(route)
    lines += ['', '## Query parameters', '']
    lines += ['| call | parameter | what | default |', '|---|---|---|---|']
    for route in admin.ROUTES:
        lines += _format_parameter_lines(route)
    lines += ['', '## Bodies']
    for body_type in _list_body_types():
        lines += ['', *_format_body_lines(body_type)]
    return '\n'.join(lines) + '\n'


PAGES = {'COUNTERS.md': make_counters, 'ADMIN-API.md': make_admin_api}


def main(argv):
    """Writes the pages that are out of date, or with ``--check`` lists them.

    Args:
        argv: command line.

    Returns:
        The exit status: 1 if ``--check`` found a page out of date, else 0.
    """
    stale_pages = []
    for name, make_page in PAGES.items():
        path = DOCS / name
        page_text = make_page()
        if path.exists() and path.read_text(encoding='utf-8') == page_text:
            continue
        stale_pages.append(name)
        if '--check' not in argv:
            path.write_text(page_text, encoding='utf-8')
    if stale_pages and '--check' in argv:
        print(f'out of date: {", ".join(stale_pages)}')
        return 1
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv))
