"""The agreed configuration document as typed values.

``parse`` turns the JSON of a ``ConfigLease`` or ``ConfigDocument`` into a
``Document`` of services, entries and teams.
"""

from fuchsiatrestle.state import _schema
from fuchsiatrestle.state._schema import Document
from fuchsiatrestle.state._schema import EntryMember
from fuchsiatrestle.state._schema import SchemaInvalid
from fuchsiatrestle.state._schema import Service
from fuchsiatrestle.state._schema import Team

__all__ = (
    'Document',
    'EntryMember',
    'SchemaInvalid',
    'Service',
    'Team',
    'parse',
)

parse = _schema.parse
