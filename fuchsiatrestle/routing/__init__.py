"""Routing decisions of an entry, without I/O.

``Core`` handles events (requests, answers, announcements, messages of other
entries, configuration leases, ticks) and returns effects (dispatch, refuse,
claim, close, send).  A slot is the right to have one request in progress at an
upstream.  The modules of the classes that make up ``Core``, each of which
extends the class of the module before:

* ``_state``: state of the entry, and queries about it,
* ``_admission``: admission, queueing, claims and refusals,
* ``_attempts``: dispatch, outcome of attempts, retries,
* ``_peers``: announcements and messages of other entries,
* ``_core``: handling of events, configurations and ticks.

The modules that these classes use:

* ``_services``: declared services and their paths,
* ``_pending`` and ``_queues``: state of a request, and waiting requests,
* ``_announcements``: newest announcement of each upstream,
* ``_shares`` and ``_loans``: slots that this entry owns, lent or borrowed,
* ``_continuity``: evidence that an upstream has ended earlier requests,
* ``_upstreams``, ``_health`` and ``_latency``: state of one upstream,
* ``_group``: all upstreams of one service,
* ``_policies``: choice of an upstream,
* ``_retries``: retry budget,
* ``_lending``: lending of slots between entries,
* ``_reasons``: reasons of refusals and retries, with their counters.
"""

from fuchsiatrestle.routing import _continuity
from fuchsiatrestle.routing import _core
from fuchsiatrestle.routing import _effects
from fuchsiatrestle.routing import _events
from fuchsiatrestle.routing import _reasons
from fuchsiatrestle.routing import _services
from fuchsiatrestle.routing._effects import *
from fuchsiatrestle.routing._events import *

__all__ = (
    _effects.__all__
    + _events.__all__
    + (
        'PEER_MESSAGES',
        'REFUSAL_REASON_BY_NAME',
        'REQUEST_END_MARGIN_MS',
        'TICK_MS',
        'Configuration',
        'Core',
        'parse_configuration',
    )
)

PEER_MESSAGES = _events.PEER_MESSAGES
REFUSAL_REASON_BY_NAME = _reasons.REFUSAL_REASON_BY_NAME
REQUEST_END_MARGIN_MS = _continuity.REQUEST_END_MARGIN_MS
TICK_MS = _core.TICK_MS
Configuration = _services.Configuration
Core = _core.Core
parse_configuration = _services.parse_configuration
