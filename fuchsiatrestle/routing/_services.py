"""The routing part of the configuration document."""

import xxhash

from fuchsiatrestle import errors
from fuchsiatrestle.state import schema

__all__ = (
    'UNDECLARED',
    'Configuration',
    'parse_configuration',
)

# Stands for a service that upstreams announce before it is declared.
UNDECLARED = schema.Service(path='/')


class Configuration:
    """One version of the configuration, as far as routing needs it.

    Attributes:
        version: its number.
        services: ``schema.Service`` by name.
        members: ``schema.EntryMember`` by name of the entry.
        members_digest: equal for equal sets of names.
    """

    __slots__ = (
        '_prefixes',
        'members',
        'members_digest',
        'services',
        'version',
    )

    def __init__(self, version, services, members):
        self.version = version
        self.services = services
        self.members = members
        names = '\0'.join(sorted(members)).encode()
        self.members_digest = xxhash.xxh64_intdigest(names) >> 1
        self._prefixes = sorted(
            ((service.path, name) for name, service in services.items()),
            key=lambda item: -len(item[0]),
        )

    def find_service(self, path):
        """Returns the name of the service for ``path``, None without one."""
        for prefix, name in self._prefixes:
            if not path.startswith(prefix):
                continue
            if len(path) == len(prefix) or prefix.endswith('/'):
                return name
            if path[len(prefix)] == '/':
                return name
        return None


def parse_configuration(version, document):
    """Returns the ``Configuration`` of a JSON document.

    Raises:
        errors.Error: the document has another shape.
    """
    try:
        parsed = schema.parse(document)
    except (schema.SchemaInvalid, ValueError) as exc:
        raise errors.Error(str(exc), step='parse_configuration') from exc
    return Configuration(version, parsed.services, parsed.entries)
