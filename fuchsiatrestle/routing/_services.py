"""The routing part of the configuration document."""

import xxhash

from fuchsiatrestle import errors
from fuchsiatrestle.state import schema

__all__ = (
    'UNDECLARED_SERVICE',
    'Configuration',
    'parse_configuration',
)

# Settings of a service that upstreams announce before it is declared.
UNDECLARED_SERVICE = schema.Service(path='/')


class Configuration:
    """Part of a configuration version that routing needs.

    Attributes:
        version: number of the version.
        services: ``schema.Service`` by name.
        members: ``schema.EntryMember`` by name of the entry.
        members_digest: hash of the members' names, by which entries check
            that they share a set of members.
    """

    __slots__ = (
        '_prefix_name_pairs',
        'members',
        'members_digest',
        'services',
        'version',
    )

    def __init__(self, version, services, members):
        self.version = version
        self.services = services
        self.members = members
        joined_names = '\0'.join(sorted(members)).encode()
        self.members_digest = xxhash.xxh64_intdigest(joined_names) >> 1
        self._prefix_name_pairs = sorted(
            ((service.path, name) for name, service in services.items()),
            key=lambda prefix_name_pair: -len(prefix_name_pair[0]),
        )

    def find_service(self, path):
        """Finds the service with the longest prefix of a path.

        A prefix matches whole segments: ``/a`` matches ``/a/b``, not ``/ab``.

        Args:
            path: path of the request.

        Returns:
            The name of the service, None if none is declared for the path.
        """
        for prefix, service_name in self._prefix_name_pairs:
            if not path.startswith(prefix):
                continue
            if len(path) == len(prefix) or prefix.endswith('/'):
                return service_name
            if path[len(prefix)] == '/':
                return service_name
        return None


def parse_configuration(version, document):
    """Parses the routing part of a configuration document.

    Args:
        version: number of the version.
        document: the JSON, as bytes.

    Returns:
        The ``Configuration``.

    Raises:
        errors.Error: the document is not valid JSON, or does not follow the
            schema.
    """
    try:
        parsed_document = schema.parse_document(document)
    except (schema.SchemaError, ValueError) as exc:
        raise errors.Error(str(exc), step='parse_configuration') from exc
    return Configuration(
        version, parsed_document.services, parsed_document.entries
    )
