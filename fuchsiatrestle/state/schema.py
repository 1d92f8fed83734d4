"""Public interface to the schema of the agreed configuration document.

``parse_document`` turns the JSON of a ``ConfigLease`` or ``ConfigDocument``
into a ``Document`` of services, entries and teams.  With ``apply_patches`` and
``digest_document`` an entry that receives patches instead of whole documents
computes the next version and verifies it.
"""

from fuchsiatrestle.state import _merge
from fuchsiatrestle.state._merge import JsonError
from fuchsiatrestle.state import _schema
from fuchsiatrestle.state._schema import Document
from fuchsiatrestle.state._schema import EntryMember
from fuchsiatrestle.state._schema import SchemaError
from fuchsiatrestle.state._schema import Service
from fuchsiatrestle.state._schema import Team

__all__ = (
    'Document',
    'EntryMember',
    'JsonError',
    'SchemaError',
    'Service',
    'Team',
    'apply_patches',
    'digest_document',
    'parse_document',
)

apply_patches = _merge.apply_patches
digest_document = _merge.digest_document
parse_document = _schema.parse_document
