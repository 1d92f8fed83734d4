"""Writes the reference pages that follow from the code.

``python -m tools.reference`` writes ``docs/COUNTERS.md`` and
``docs/ADMIN-API.md``; with ``--check`` it only compares them and ends with 1
if one is out of date.
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
PROGRAMS = {
    'entry': 'fuchsiatrestle.entry.__main__',
    'control': 'fuchsiatrestle.control.__main__',
}
GROUPS = (
    ('refused.', 'Refusals', 'One counter for each reason to refuse.'),
    ('retry.', 'Retries', 'One counter for each reason to try again.'),
    ('', 'Other counters, gauges and timings', ''),
)
NOTE = '<!-- written by python -m tools.reference; do not edit -->\n'


# Counters


_PRINT_DECLARED = (
    'import importlib, json; from fuchsiatrestle import metrics;'
    'importlib.import_module({module!r}); print(json.dumps(metrics.DECLARED))'
)


def _declared(module):
    """Returns the metrics of a program, read in a process of its own."""
    done = subprocess.run(
        [sys.executable, '-c', _PRINT_DECLARED.format(module=module)],
        cwd=DOCS.parent,
        check=True,
        capture_output=True,
        text=True,
    )
    return json.loads(done.stdout)


def _counter_rows(declared, prefix, taken):
    names = sorted(set().union(*declared.values()) - taken)
    for name in names:
        if not name.startswith(prefix):
            continue
        taken.add(name)
        programs = [key for key, values in declared.items() if name in values]
        text = declared[programs[0]][name]
        yield f'| `{name}` | {", ".join(programs)} | {text} |'


def make_counters():
    """Returns the text of the page of counters."""
    declared = {key: _declared(module) for key, module in PROGRAMS.items()}
    taken = set()
    lines = [
        '# Counters',
        '',
        NOTE,
        'All of them go to statsd as `PREFIX.PROGRAM.NAME`. Those of an entry',
        'since its start are read with `fuchsiatrestle-ctl counters`; what to',
        'do about each is in [OPERATING.md](OPERATING.md).',
    ]
    for prefix, title, text in GROUPS:
        lines += ['', f'## {title}', '']
        lines += [text, ''] if text else []
        lines += ['| name | program | meaning |', '|---|---|---|']
        lines += _counter_rows(declared, prefix, taken)
    return '\n'.join(lines) + '\n'


# Administration API


def _type_name(kind):
    """Returns how a field's type is written in the page."""
    if isinstance(kind, type):
        if issubclass(kind, msgspec.Struct):
            return f'[{kind.__name__}](#{kind.__name__.lower()})'
        return {int: 'number', str: 'text', bool: 'true or false'}[kind]
    origin = typing.get_origin(kind)
    arguments = typing.get_args(kind)
    if origin is typing.Literal:
        return ' or '.join(f'`{value}`' for value in arguments)
    if origin is list:
        return f'list of {_type_name(arguments[0])}'
    return _type_name(arguments[0])


def _bodies():
    """Returns the classes of request bodies, nested ones included."""
    found = []
    waiting = [route.body for route in admin.ROUTES if route.body]
    while waiting:
        kind = waiting.pop(0)
        if kind in found:
            continue
        found.append(kind)
        for hint in typing.get_type_hints(kind).values():
            waiting += [
                item
                for item in (hint, *typing.get_args(hint))
                if isinstance(item, type) and issubclass(item, msgspec.Struct)
            ]
    return found


def _default(field):
    if field.required:
        return 'required'
    return f'`{json.dumps(field.default)}`'


def _body_lines(kind):
    yield f'### {kind.__name__}'
    yield ''
    yield kind.__doc__.splitlines()[0]
    yield ''
    yield '| field | type | default |'
    yield '|---|---|---|'
    hints = typing.get_type_hints(kind)
    for field in msgspec.structs.fields(kind):
        name = _type_name(hints[field.name])
        yield f'| `{field.name}` | {name} | {_default(field)} |'


def _route_lines(route):
    yield f'| `{route.method} {route.path}` | {route.summary} |' + (
        f' [{route.body.__name__}](#{route.body.__name__.lower()}) |'
        if route.body
        else ' |'
    )


def _parameter_lines(route):
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
    """Returns the text of the page of the administration API."""
    lines = ['# Administration API', '', NOTE, _INTRODUCTION, '']
    lines += ['## Calls', '', '| call | what | body |', '|---|---|---|']
    for route in admin.ROUTES:
        lines += _route_lines(route)
    lines += ['', '## Query parameters', '']
    lines += ['| call | parameter | what | default |', '|---|---|---|---|']
    for route in admin.ROUTES:
        lines += _parameter_lines(route)
    lines += ['', '## Bodies']
    for kind in _bodies():
        lines += ['', *_body_lines(kind)]
    return '\n'.join(lines) + '\n'


PAGES = {'COUNTERS.md': make_counters, 'ADMIN-API.md': make_admin_api}


def main(argv):
    """Writes or checks the pages; returns the exit status."""
    stale = []
    for name, make in PAGES.items():
        path = DOCS / name
        text = make()
        if path.exists() and path.read_text(encoding='utf-8') == text:
            continue
        stale.append(name)
        if '--check' not in argv:
            path.write_text(text, encoding='utf-8')
    if stale and '--check' in argv:
        print(f'out of date: {", ".join(stale)}')
        return 1
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv))
