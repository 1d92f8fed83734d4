"""Builds JSON merge patches from INI files, JSON files and assignments.

A section of an INI file is ``[service NAME]``, ``[entry NAME]`` or ``[team
NAME]``; its keys are the fields of that object.  An empty value removes the
field, ``remove = yes`` alone removes the whole object.  A value is read as
JSON where it is JSON, as ``yes`` or ``no``, and as text otherwise; lists are
written as JSON.
"""

import configparser
import json

from fuchsiatrestle import errors

__all__ = ('from_assignments', 'from_file')

KINDS = {'service': 'services', 'entry': 'entries', 'team': 'teams'}
REMOVE_KEY = 'remove'

_WORDS = {'yes': True, 'no': False}


def _invalid(place, reason):
    return errors.SettingsInvalid(f'{place}: {reason}', step='read_patch')


def _parse_value(text):
    text = text.strip()
    if not text:
        return None
    if text.lower() in _WORDS:
        return _WORDS[text.lower()]
    try:
        return json.loads(text)
    except ValueError:
        return text


def _from_section(place, items):
    values = {key: _parse_value(text) for key, text in items}
    if REMOVE_KEY not in values:
        return values
    if values != {REMOVE_KEY: True}:
        raise _invalid(place, f'{REMOVE_KEY} = yes stands alone')
    return None


def _from_ini(path, text):
    parser = configparser.ConfigParser(
        interpolation=None, default_section='\0'
    )
    parser.optionxform = str
    try:
        parser.read_string(text, path)
    except configparser.Error as exc:
        raise _invalid(path, ' '.join(str(exc).split())) from exc
    patch = {}
    for section in parser.sections():
        kind, _, name = section.partition(' ')
        place = f'{path}: [{section}]'
        if kind not in KINDS or not name.strip():
            known = ', '.join(f'[{kind} NAME]' for kind in KINDS)
            raise _invalid(place, f'unknown section, expected {known}')
        group = patch.setdefault(KINDS[kind], {})
        group[name.strip()] = _from_section(place, parser.items(section))
    return patch


def _from_json(path, text):
    try:
        patch = json.loads(text)
    except ValueError as exc:
        raise _invalid(path, str(exc)) from exc
    if not isinstance(patch, dict):
        raise _invalid(path, 'expected a JSON object')
    return patch


def from_file(path, stream):
    """Returns the merge patch that a file holds, INI or JSON.

    Raises:
        errors.SettingsInvalid: naming file and section.
    """
    try:
        text = stream.read()
    except UnicodeDecodeError as exc:
        raise _invalid(path, str(exc)) from exc
    if text.lstrip().startswith('{'):
        return _from_json(path, text)
    return _from_ini(path, text)


def from_assignments(assignments):
    """Returns the merge patch of ``service.NAME.KEY=VALUE`` texts.

    Raises:
        errors.SettingsInvalid: naming the assignment.
    """
    patch = {}
    for text in assignments:
        place, equals, value = text.partition('=')
        kind, _, rest = place.partition('.')
        name, _, key = rest.rpartition('.')
        if not equals or kind not in KINDS or not name or not key:
            raise _invalid(
                f'--set {text!r}', 'expected service.NAME.KEY=VALUE'
            )
        group = patch.setdefault(KINDS[kind], {})
        group.setdefault(name, {})[key] = _parse_value(value)
    return patch
