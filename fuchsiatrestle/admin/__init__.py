"""Administration API: operators' calls over HTTP/JSON.

``AdminApi`` turns a request into a command or a query, sends it to the
control leader through a ``Control`` and returns the answer as JSON.  A
``LocalEntry`` provides the state of the entry that serves the API.  ``ROUTES``
lists all calls; ``docs/ADMIN-API.md`` is generated from it.
"""

from fuchsiatrestle.admin._api import AdminApi
from fuchsiatrestle.admin._interfaces import Control
from fuchsiatrestle.admin._interfaces import LocalEntry
from fuchsiatrestle.admin._payloads import EntryStatus
from fuchsiatrestle.admin._payloads import UpstreamView
from fuchsiatrestle.admin._routes import ROUTES

__all__ = (
    'ROUTES',
    'AdminApi',
    'Control',
    'EntryStatus',
    'LocalEntry',
    'UpstreamView',
)
