"""Routing decisions of an entry, without I/O.

``Core`` takes events (requests, answers, announcements, messages of peers,
configuration leases, ticks) and returns effects (dispatch, refuse, claim,
close, send).  The modules behind it, in the order a request meets them:

* ``_services``: declared services and their paths,
* ``_queues``: waiting requests, admission and shedding,
* ``_announcements``: what the upstreams last said of themselves,
* ``_shares`` and ``_loans``: which slots this entry may use,
* ``_upstreams`` and ``_latency``: one upstream's use and health,
* ``_policies``: the choice of an upstream,
* ``_retries``: retry budget,
* ``_lending``: demand for and offers of slots between entries,
* ``_reasons``: reasons of refusals and retries, with their counters.
"""

from fuchsiatrestle.routing import _core
from fuchsiatrestle.routing import _effects
from fuchsiatrestle.routing import _events
from fuchsiatrestle.routing import _reasons
from fuchsiatrestle.routing import _services
from fuchsiatrestle.routing import _steadiness
from fuchsiatrestle.routing._effects import *
from fuchsiatrestle.routing._events import *

__all__ = (
    _effects.__all__
    + _events.__all__
    + (
        'ABANDON_HOLD_MS',
        'PEER_MESSAGES',
        'REASONS',
        'TICK_MS',
        'Configuration',
        'Core',
        'parse_configuration',
    )
)

ABANDON_HOLD_MS = _steadiness.ABANDON_HOLD_MS
PEER_MESSAGES = _events.PEER_MESSAGES
REASONS = _reasons.REASONS
TICK_MS = _core.TICK_MS
Configuration = _services.Configuration
Core = _core.Core
parse_configuration = _services.parse_configuration
