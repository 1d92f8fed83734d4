"""INI settings: declared options, checked whole before anything starts.

A program declares its sections as a list of ``Section``.  ``load`` returns a
``Settings`` value or raises ``errors.SettingsInvalid`` whose text names the
file, the section, the key and the value.
"""

import abc
import configparser
import ipaddress
import os

from fuchsiatrestle import errors

__all__ = (
    'Address',
    'AddressListOption',
    'AddressOption',
    'BoolOption',
    'ChoiceOption',
    'FloatOption',
    'FolderOption',
    'IntOption',
    'NameOption',
    'Option',
    'PeerListOption',
    'Section',
    'Settings',
    'TextOption',
    'defaults',
    'load',
)

EXIT_STATUS = 2

MAX_PORT = 65535
MAX_NAME_CHARS = 64

_REQUIRED = object()


class Address:
    """IP number and port of one listener."""

    __slots__ = ('host', 'port')

    def __init__(self, host, port):
        self.host = host
        self.port = port

    @classmethod
    def parse(cls, text):
        """Returns the address written as ``IP:port``.

        Raises:
            ValueError: the text is no such address.
        """
        host, colon, port = text.rpartition(':')
        if not colon:
            raise ValueError('expected IP:port')
        host = host.strip('[]')
        ipaddress.ip_address(host)
        number = int(port)
        if not 0 < number <= MAX_PORT:
            raise ValueError(f'port must be 1 to {MAX_PORT}')
        return cls(host, number)

    def __eq__(self, other):
        return str(self) == str(other)

    def __hash__(self):
        return hash(str(self))

    def __str__(self):
        if ':' in self.host:
            return f'[{self.host}]:{self.port}'
        return f'{self.host}:{self.port}'

    def __repr__(self):
        return f'Address({str(self)!r})'


# Options


class Option(abc.ABC):
    """One key of a section.

    Args:
        name: the key.
        default: its value when absent; without one the key is required.
    """

    def __init__(self, name, default=_REQUIRED):
        self.name = name
        self.default = default

    @property
    def required(self):
        """True if the file must set this key."""
        return self.default is _REQUIRED

    @abc.abstractmethod
    def parse(self, text):
        """Returns the typed value of ``text`` or raises ``ValueError``."""


class TextOption(Option):
    """Free text on one line."""

    def parse(self, text):
        """Returns the text itself."""
        return text


class NameOption(Option):
    """Identifier of letters, digits, dash, underscore and dot."""

    def parse(self, text):
        """Returns the identifier."""
        plain = text.replace('-', '').replace('_', '').replace('.', '')
        if not plain.isalnum() or len(text) > MAX_NAME_CHARS:
            raise ValueError('expected letters, digits, dash, underscore, dot')
        return text


class _RangeOption(Option):
    kind = int

    def __init__(self, name, default=_REQUIRED, *, low, high):
        super().__init__(name, default)
        self.low = low
        self.high = high

    def parse(self, text):
        """Returns the number if it lies in range."""
        value = self.kind(text)
        if not self.low <= value <= self.high:
            raise ValueError(f'must be {self.low} to {self.high}')
        return value


class IntOption(_RangeOption):
    """Whole number within bounds, both included."""


class FloatOption(_RangeOption):
    """Number within bounds, both included."""

    kind = float


class BoolOption(Option):
    """``yes`` or ``no``."""

    def parse(self, text):
        """Returns the truth value."""
        states = configparser.ConfigParser.BOOLEAN_STATES
        if text.lower() not in states:
            raise ValueError('expected yes or no')
        return states[text.lower()]


class ChoiceOption(Option):
    """One of a fixed set of words."""

    def __init__(self, name, default=_REQUIRED, *, choices):
        super().__init__(name, default)
        self.choices = choices

    def parse(self, text):
        """Returns the word if it is one of the choices."""
        if text not in self.choices:
            raise ValueError(f'expected one of {", ".join(self.choices)}')
        return text


class AddressOption(Option):
    """``IP:port``."""

    def parse(self, text):
        """Returns an ``Address``."""
        return Address.parse(text)


class FolderOption(Option):
    """Existing folder that the process may write to."""

    def parse(self, text):
        """Returns the absolute path."""
        path = os.path.abspath(text)
        if not os.path.isdir(path):
            raise ValueError('no such folder')
        if not os.access(path, os.W_OK | os.X_OK):
            raise ValueError('folder is not writable')
        return path


class AddressListOption(Option):
    """Comma or space separated ``IP:port`` items."""

    def parse(self, text):
        """Returns a list of ``Address``."""
        return [Address.parse(item) for item in text.replace(',', ' ').split()]


class PeerListOption(Option):
    """Space or line separated ``name=IP:port`` items."""

    def parse(self, text):
        """Returns a dict of ``Address`` by peer name."""
        peers = {}
        for item in text.split():
            name, equals, address = item.partition('=')
            if not equals or not name:
                raise ValueError(f'expected name=IP:port, got {item!r}')
            if name in peers:
                raise ValueError(f'peer {name!r} is listed twice')
            peers[name] = Address.parse(address)
        return peers


# Sections and files


class Section:
    """A named group of options."""

    __slots__ = ('name', 'options')

    def __init__(self, name, *options):
        self.name = name
        self.options = {option.name: option for option in options}


class Settings:
    """Checked values, read as ``cfg.get('section', 'key')``."""

    __slots__ = ('_values', 'path')

    def __init__(self, path, values):
        self.path = path
        self._values = values

    def get(self, section, key):
        """Returns the typed value of one key."""
        return self._values[section, key]

    def extended(self, values):
        """Returns the settings with more values, by (section, key)."""
        return Settings(self.path, {**self._values, **values})


def _invalid(path, section, key, value, reason):
    place = f'{path}: [{section}]'
    if key is not None:
        place += f' {key}'
    if value is not None:
        place += f' = {value!r}'
    return errors.SettingsInvalid(f'{place}: {reason}', step='load_settings')


def _read(path):
    parser = configparser.ConfigParser(
        interpolation=None, strict=True, default_section='\0'
    )
    try:
        with open(path, encoding='utf-8') as stream:
            parser.read_file(stream)
    except OSError as exc:
        raise errors.SettingsInvalid(
            f'{path}: can not be read: {exc.strerror}', step='load_settings'
        ) from exc
    except (configparser.Error, UnicodeDecodeError) as exc:
        line = ' '.join(str(exc).split())
        raise errors.SettingsInvalid(
            f'{path}: {line}', step='load_settings'
        ) from exc
    return parser


def _refuse_unknown(path, parser, sections):
    for name in parser.sections():
        if name not in sections:
            raise _invalid(path, name, None, None, 'unknown section')
        for key, text in parser.items(name):
            if key not in sections[name].options:
                raise _invalid(path, name, key, text, 'unknown key')


def _value(path, parser, section, option):
    if not parser.has_option(section.name, option.name):
        if option.required:
            raise _invalid(
                path, section.name, option.name, None, 'missing required key'
            )
        return option.default
    text = parser.get(section.name, option.name).strip()
    try:
        return option.parse(text)
    except ValueError as exc:
        raise _invalid(
            path, section.name, option.name, text, str(exc)
        ) from exc


def defaults(sections):
    """Returns the values of the options that need not be set."""
    return {
        (section.name, option.name): option.default
        for section in sections
        for option in section.options.values()
        if not option.required
    }


def load(path, sections):
    """Reads and checks a settings file.

    Args:
        path: the INI file.
        sections: the ``Section`` values the program knows.

    Returns:
        The checked ``Settings``.

    Raises:
        errors.SettingsInvalid: with file, section, key and value.
    """
    parser = _read(path)
    by_name = {section.name: section for section in sections}
    _refuse_unknown(path, parser, by_name)
    values = {
        (section.name, option.name): _value(path, parser, section, option)
        for section in sections
        for option in section.options.values()
    }
    return Settings(path, values)
