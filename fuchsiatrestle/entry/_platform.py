"""Answers upstreams and workers on the platform port."""

import ipaddress

from fuchsiatrestle import errors
from fuchsiatrestle import messages
from fuchsiatrestle import metrics
from fuchsiatrestle import named_json
from fuchsiatrestle.net import http
from fuchsiatrestle import routing
from fuchsiatrestle import settings

__all__ = ('PlatformHandler',)

ANNOUNCEMENTS_PATH = '/v1/announcements'
WORKERS_PATH = '/v1/workers/'
REPORT_SUFFIX = '/report'
MAX_SLOTS = 4096
RETRY_AFTER_S = 1
MAX_CONNECTIONS = 65536
MAX_NAME_CHARS = 64
STATES = ('ready', 'leaving')

ANNOUNCED = metrics.declare(
    'announcements.received', 'Announcements of upstreams.'
)
BAD_ANNOUNCEMENT = metrics.declare(
    'refused.bad_announcement', 'Announcements that are not valid (400).'
)
BAD_REPORT = metrics.declare(
    'refused.bad_report', 'Reports of workers that are not valid (400).'
)
NO_ORDERS = metrics.declare(
    'refused.control_unavailable',
    'Reports of workers that control did not answer in time (503).',
)
UNKNOWN_PATH = metrics.declare(
    'refused.unknown_platform_path',
    'Calls on the platform port without a meaning (404).',
)

_INVALID = (errors.Error, ValueError, named_json.NamedJsonInvalid)


class PlatformHandler(http.Handler):
    """Takes announcements and worker reports.

    Args:
        router: the ``Router``.
        reports: the ``ReportsDesk``.
    """

    def __init__(self, router, reports):
        self._router = router
        self._reports = reports

    async def handle(self, request):
        """Returns the response to one call."""
        path = request.path
        if path == ANNOUNCEMENTS_PATH:
            return await self._take(request, self._announce)
        if path.startswith(WORKERS_PATH) and path.endswith(REPORT_SUFFIX):
            return await self._take(request, self._report)
        metrics.count(UNKNOWN_PATH)
        return http.reason_response(404, 'unknown_path')

    async def _take(self, request, action):
        if request.method != 'POST':
            metrics.count(UNKNOWN_PATH)
            return http.reason_response(405, 'method_not_allowed')
        return await action(request)

    async def _announce(self, request):
        try:
            announcement = _announcement(request.body)
        except _INVALID as exc:
            metrics.count(BAD_ANNOUNCEMENT)
            return http.reason_response(400, 'bad_announcement', str(exc))
        metrics.count(ANNOUNCED)
        await self._router.step(routing.AnnouncementHeard(announcement))
        return http.json_response(200, {'taken': True})

    async def _report(self, request):
        name = request.path[len(WORKERS_PATH) : -len(REPORT_SUFFIX)]
        try:
            report = named_json.decode(messages.WorkerReport, request.body)
            if report.worker != name:
                raise ValueError(f'path and report differ: {name!r}')
        except _INVALID as exc:
            metrics.count(BAD_REPORT)
            return http.reason_response(400, 'bad_report', str(exc))
        orders = await self._reports.send(report)
        if orders is None:
            metrics.count(NO_ORDERS)
            return http.reason_response(
                503,
                'control_unavailable',
                'control gave no orders in time; report again',
                [http.retry_after(RETRY_AFTER_S)],
            )
        return http.json_response(200, named_json.to_plain(orders))


def _announcement(body):
    """Returns the checked ``messages.Announcement`` of a JSON body."""
    value = http.decode_json(body)
    if not isinstance(value, dict):
        raise ValueError('expected an object')
    value['age_ms'] = 0
    said = named_json.decode(messages.Announcement, http.encode_json(value))
    address = settings.Address.parse(said.address)
    ipaddress.ip_address(address.host)
    if said.state not in STATES:
        raise ValueError(f'state must be one of {", ".join(STATES)}')
    if not 0 <= said.slots <= MAX_SLOTS:
        raise ValueError(f'slots must be 0 to {MAX_SLOTS}')
    if not 0 <= said.connections <= MAX_CONNECTIONS:
        raise ValueError(f'connections must be 0 to {MAX_CONNECTIONS}')
    if not 0 < len(said.service) <= MAX_NAME_CHARS:
        raise ValueError(f'service must have 1 to {MAX_NAME_CHARS} characters')
    return said
