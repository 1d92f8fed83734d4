"""Administration API: operators' calls over HTTP/JSON.

``AdminApi`` turns a request into a command or a query, has a ``Control``
carry it out and turns the answer into JSON.  ``Local`` is the entry's own
part.  ``ROUTES`` is the list of calls that ``docs/ADMIN-API.md`` is made from.
"""

from fuchsiatrestle.admin._api import AdminApi
from fuchsiatrestle.admin._interfaces import Control
from fuchsiatrestle.admin._interfaces import Local
from fuchsiatrestle.admin._payloads import EntryStatus
from fuchsiatrestle.admin._payloads import UpstreamView
from fuchsiatrestle.admin._routes import ROUTES

__all__ = (
    'ROUTES',
    'AdminApi',
    'Control',
    'EntryStatus',
    'Local',
    'UpstreamView',
)
