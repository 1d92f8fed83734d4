"""Settings files in INI format, checked against declared options.

A program declares its sections as a list of ``Section``.  ``load`` reads and
checks a whole file before the program starts anything.  It returns a
``Settings`` value or raises ``errors.SettingsInvalid``, whose text names the
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
    'NameListOption',
    'NameOption',
    'Option',
    'PeerListOption',
    'Section',
    'Settings',
    'TextOption',
    'get_default_values',
    'load',
)

# Exit status of programs whose settings or command line can not be used.
INVALID_SETTINGS_EXIT_STATUS = 2

MAX_PORT = 65535
MAX_NAME_CHARS = 64

# Stands for the default of an option whose key the file must set.
_REQUIRED = object()


class Address:
    """IP address and port of one listener.

    Attributes:
        host: IP address, without brackets.
        port: port number.
    """

    __slots__ = ('host', 'port')

    def __init__(self, host, port):
        self.host = host
        self.port = port

    @classmethod
    def parse(cls, text):
        """Returns the address written as ``IP:port``.

        Raises:
            ValueError: the text is not such an address.
        """
        host, colon, port_text = text.rpartition(':')
        if not colon:
            raise ValueError('expected IP:port')
        host = host.strip('[]')
        ipaddress.ip_address(host)
        if not host.isprintable():
            # The name of an IPv6 zone may have any characters.
            raise ValueError('host has control characters')
        if not port_text.isascii() or not port_text.isdecimal():
            raise ValueError('port must be a whole number')
        port = int(port_text)
        if not 0 < port <= MAX_PORT:
            raise ValueError(f'port must be 1 to {MAX_PORT}')
        return cls(host, port)

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
        default: the typed value if the file does not set the key; without a
            default the key is required.
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
        """Returns the typed value of ``text``.

        Raises:
            ValueError: the text is not valid; the error says why.
        """


class TextOption(Option):
    """Free text on one line."""

    def parse(self, text):
        """Returns the text unchanged."""
        return text


class NameOption(Option):
    """Identifier of letters, digits, dash, underscore and dot."""

    def parse(self, text):
        """Returns the text if it is a valid identifier."""
        stripped = text.replace('-', '').replace('_', '').replace('.', '')
        if not stripped.isalnum() or len(text) > MAX_NAME_CHARS:
            raise ValueError('expected letters, digits, dash, underscore, dot')
        return text


class _RangeOption(Option):
    """Number within bounds, both included.

    Args:
        name: the key.
        default: see ``Option``.
        min_value: lowest valid number.
        max_value: highest valid number.
    """

    number_type = int

    def __init__(self, name, default=_REQUIRED, *, min_value, max_value):
        super().__init__(name, default)
        self.min_value = min_value
        self.max_value = max_value

    def parse(self, text):
        """Returns the number if it lies in range."""
        number = self.number_type(text)
        if not self.min_value <= number <= self.max_value:
            raise ValueError(f'must be {self.min_value} to {self.max_value}')
        return number


class IntOption(_RangeOption):
    """Whole number within bounds, both included."""


class FloatOption(_RangeOption):
    """Number within bounds, both included."""

    number_type = float


class BoolOption(Option):
    """``yes`` or ``no``, or another boolean word known to configparser."""

    def parse(self, text):
        """Returns True or False."""
        value_by_word = configparser.ConfigParser.BOOLEAN_STATES
        if text.lower() not in value_by_word:
            raise ValueError('expected yes or no')
        return value_by_word[text.lower()]


class ChoiceOption(Option):
    """One of a fixed set of words.

    Args:
        name: the key.
        default: see ``Option``.
        choices: the valid words.
    """

    def __init__(self, name, default=_REQUIRED, *, choices):
        super().__init__(name, default)
        self.choices = choices

    def parse(self, text):
        """Returns the word if it is one of the choices."""
        if text not in self.choices:
            raise ValueError(f'expected one of {", ".join(self.choices)}')
        return text


class AddressOption(Option):
    """Address as ``IP:port``."""

    def parse(self, text):
        """Returns an ``Address``."""
        return Address.parse(text)


class FolderOption(Option):
    """Existing folder that the process may write to."""

    def parse(self, text):
        """Returns the absolute path if the folder can be used."""
        path = os.path.abspath(text)
        if not os.path.isdir(path):
            raise ValueError('no such folder')
        if not os.access(path, os.W_OK | os.X_OK):
            raise ValueError('folder is not writable')
        return path


class AddressListOption(Option):
    """List of ``IP:port`` items, separated by commas or white space."""

    def parse(self, text):
        """Returns a list of ``Address``."""
        return [Address.parse(item) for item in text.replace(',', ' ').split()]


class NameListOption(Option):
    """List of different names, separated by commas or white space."""

    def parse(self, text):
        """Returns a tuple of the names, which may be empty."""
        names = tuple(text.replace(',', ' ').split())
        for name in names:
            if names.count(name) > 1:
                raise ValueError(f'{name!r} is listed twice')
        return names


class PeerListOption(Option):
    """List of ``name=IP:port`` items, separated by white space."""

    def parse(self, text):
        """Returns a dict from peer name to ``Address``."""
        peers = {}
        for item in text.split():
            name, equals, address_text = item.partition('=')
            if not equals or not name:
                raise ValueError(f'expected name=IP:port, got {item!r}')
            if name in peers:
                raise ValueError(f'peer {name!r} is listed twice')
            peers[name] = Address.parse(address_text)
        return peers


# Sections and files


class Section:
    """A named group of options.

    Args:
        name: name of the section.
        *options: the ``Option`` values of its keys.

    Attributes:
        name: name of the section.
        options: the ``Option`` of each key, by key.
    """

    __slots__ = ('name', 'options')

    def __init__(self, name, *options):
        self.name = name
        self.options = {option.name: option for option in options}


class Settings:
    """Checked values, read as ``cfg.get('section', 'key')``.

    Args:
        path: the settings file.
        values: typed values by (section, key).

    Attributes:
        path: the settings file.
    """

    __slots__ = ('_values', 'path')

    def __init__(self, path, values):
        self.path = path
        self._values = values

    def get(self, section, key):
        """Returns the typed value of a key that the program declares."""
        return self._values[section, key]

    def with_values(self, values):
        """Returns a copy with further values.

        Args:
            values: typed values by (section, key); they replace present ones.
        """
        return Settings(self.path, {**self._values, **values})


def _make_error(path, section_name, key, value_text, reason):
    """Returns a ``SettingsInvalid``; key and value are left out if None."""
    location = f'{path}: [{section_name}]'
    if key is not None:
        location += f' {key}'
    if value_text is not None:
        location += f' = {value_text!r}'
    return errors.SettingsInvalid(
        f'{location}: {reason}', step='load_settings'
    )


def _read_file(path):
    """Returns the parser of a settings file that was read."""
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
        message = ' '.join(str(exc).split())
        raise errors.SettingsInvalid(
            f'{path}: {message}', step='load_settings'
        ) from exc
    return parser


def _refuse_undeclared_names(path, parser, sections):
    """Raises ``SettingsInvalid`` if a section or key is not declared."""
    for section_name in parser.sections():
        if section_name not in sections:
            raise _make_error(
                path, section_name, None, None, 'unknown section'
            )
        for key, value_text in parser.items(section_name):
            if key not in sections[section_name].options:
                raise _make_error(
                    path, section_name, key, value_text, 'unknown key'
                )


def _parse_option(path, parser, section, option):
    """Returns the typed value of an option, its default if it is not set."""
    if not parser.has_option(section.name, option.name):
        if option.required:
            raise _make_error(
                path, section.name, option.name, None, 'missing required key'
            )
        return option.default
    text = parser.get(section.name, option.name).strip()
    try:
        return option.parse(text)
    except ValueError as exc:
        raise _make_error(
            path, section.name, option.name, text, str(exc)
        ) from exc


def get_default_values(sections):
    """Returns the default values of the options that are not required.

    Args:
        sections: the ``Section`` values to look through.

    Returns:
        A dict of typed values by (section, key).
    """
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
        sections: the ``Section`` values that the program declares.

    Returns:
        The checked ``Settings``.

    Raises:
        errors.SettingsInvalid: the file can not be read, a section or key is
            unknown, a required key is missing, or a value is not valid.
    """
    parser = _read_file(path)
    sections_by_name = {section.name: section for section in sections}
    _refuse_undeclared_names(path, parser, sections_by_name)
    value_by_option = {
        (section.name, option.name): _parse_option(
            path, parser, section, option
        )
        for section in sections
        for option in section.options.values()
    }
    return Settings(path, value_by_option)
