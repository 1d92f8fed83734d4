"""Builds JSON merge patches from INI files, JSON files and assignments.

A section of an INI file is ``[service NAME]``, ``[entry NAME]`` or ``[team
NAME]``; its keys are the fields of that object.  An empty value removes the
field; ``remove = yes`` as the only key removes the whole object.  The values
``yes`` and ``no`` are booleans; any other value is parsed as JSON if it is
JSON, and is text otherwise.  A list is therefore written as JSON.
"""

import configparser
import json

from fuchsiatrestle import errors

__all__ = ('parse_assignments', 'read_patch_file')

# Member of the configuration that holds the objects of each kind of section.
GROUP_BY_SECTION_KIND = {
    'service': 'services',
    'entry': 'entries',
    'team': 'teams',
}
REMOVE_KEY = 'remove'

_BOOLEAN_BY_WORD = {'yes': True, 'no': False}


def _make_invalid(location, reason):
    return errors.SettingsInvalid(f'{location}: {reason}', step='read_patch')


def _parse_value(value_text):
    value_text = value_text.strip()
    if not value_text:
        return None
    if value_text.lower() in _BOOLEAN_BY_WORD:
        return _BOOLEAN_BY_WORD[value_text.lower()]
    try:
        return json.loads(value_text)
    except ValueError:
        return value_text


def _parse_section(location, key_value_pairs):
    """Returns the patch of one object, None to remove the object."""
    object_fields = {
        key: _parse_value(value_text) for key, value_text in key_value_pairs
    }
    if REMOVE_KEY not in object_fields:
        return object_fields
    if object_fields != {REMOVE_KEY: True}:
        raise _make_invalid(
            location, f'{REMOVE_KEY} = yes must be the only key'
        )
    return None


def _parse_ini(path, ini_text):
    parser = configparser.ConfigParser(
        interpolation=None, default_section='\0'
    )
    parser.optionxform = str
    try:
        parser.read_string(ini_text, path)
    except configparser.Error as exc:
        raise _make_invalid(path, ' '.join(str(exc).split())) from exc
    patch = {}
    for section in parser.sections():
        section_kind, _, object_name = section.partition(' ')
        location = f'{path}: [{section}]'
        if (
            section_kind not in GROUP_BY_SECTION_KIND
            or not object_name.strip()
        ):
            expected_sections = ', '.join(
                f'[{section_kind} NAME]'
                for section_kind in GROUP_BY_SECTION_KIND
            )
            raise _make_invalid(
                location, f'unknown section, expected {expected_sections}'
            )
        group = patch.setdefault(GROUP_BY_SECTION_KIND[section_kind], {})
        group[object_name.strip()] = _parse_section(
            location, parser.items(section)
        )
    return patch


def _parse_json(path, json_text):
    try:
        patch = json.loads(json_text)
    except ValueError as exc:
        raise _make_invalid(path, str(exc)) from exc
    if not isinstance(patch, dict):
        raise _make_invalid(path, 'expected a JSON object')
    return patch


def read_patch_file(path, stream):
    """Returns the merge patch of a file in INI or JSON format.

    A file that starts with ``{`` is JSON.

    Args:
        path: name of the file, for error messages.
        stream: the open file, in text mode.

    Raises:
        errors.SettingsInvalid: the file is malformed; the text names the file
            and, in an INI file, the section.
    """
    try:
        file_text = stream.read()
    except UnicodeDecodeError as exc:
        raise _make_invalid(path, str(exc)) from exc
    if file_text.lstrip().startswith('{'):
        return _parse_json(path, file_text)
    return _parse_ini(path, file_text)


def parse_assignments(assignments):
    """Returns the merge patch of values of ``--set``.

    Args:
        assignments: texts ``service.NAME.KEY=VALUE``, and the same with
            ``entry`` and ``team``.

    Raises:
        errors.SettingsInvalid: an assignment, which the text names, is
            malformed.
    """
    patch = {}
    for assignment in assignments:
        field_path, equals, value_text = assignment.partition('=')
        section_kind, _, name_and_key = field_path.partition('.')
        object_name, _, field_name = name_and_key.rpartition('.')
        if (
            not equals
            or section_kind not in GROUP_BY_SECTION_KIND
            or not object_name
            or not field_name
        ):
            raise _make_invalid(
                f'--set {assignment!r}', 'expected service.NAME.KEY=VALUE'
            )
        group = patch.setdefault(GROUP_BY_SECTION_KIND[section_kind], {})
        group.setdefault(object_name, {})[field_name] = _parse_value(
            value_text
        )
    return patch
