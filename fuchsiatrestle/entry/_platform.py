"""Handler of the platform port, which upstreams and workers call."""

import ipaddress

import msgspec

from fuchsiatrestle import errors
from fuchsiatrestle import messages
from fuchsiatrestle import metrics
from fuchsiatrestle import named_json
from fuchsiatrestle.net import http
from fuchsiatrestle import number_ranges
from fuchsiatrestle import routing
from fuchsiatrestle import settings

__all__ = ('PlatformHandler',)

ANNOUNCEMENTS_PATH = '/v1/announcements'
WORKERS_PATH = '/v1/workers/'
REPORT_SUFFIX = '/report'
MAX_SLOTS = 4096
RETRY_AFTER_S = 1
MAX_ANNOUNCED_CONNECTIONS = 65536
MAX_SERVICE_NAME_CHARS = 64
UPSTREAM_STATES = ('ready', 'leaving')

ANNOUNCEMENTS_RECEIVED = metrics.declare(
    'announcements.received', 'Announcements of upstreams.'
)
REFUSED_BAD_ANNOUNCEMENT = metrics.declare(
    'refused.bad_announcement', 'Announcements that are not valid (400).'
)
REFUSED_BAD_REPORT = metrics.declare(
    'refused.bad_report', 'Reports of workers that are not valid (400).'
)
REFUSED_CONTROL_UNAVAILABLE = metrics.declare(
    'refused.control_unavailable',
    'Reports of workers that control did not answer in time (503).',
)
REFUSED_UNKNOWN_PATH = metrics.declare(
    'refused.unknown_platform_path',
    'Calls on the platform port without a meaning (404).',
)

_DECODING_ERRORS = (errors.Error, ValueError, named_json.NamedJsonInvalid)


class PlatformHandler(http.Handler):
    """Receives announcements of upstreams and reports of workers.

    An announcement goes to the routing core.  A report goes to control, and
    the response carries control's orders for the worker.

    Args:
        router: the ``Router``.
        report_batcher: the ``ReportBatcher``.
    """

    def __init__(self, router, report_batcher):
        self._router = router
        self._report_batcher = report_batcher

    async def handle(self, request):
        """Returns the response to one call; refuses paths it does not know."""
        path = request.path
        if path == ANNOUNCEMENTS_PATH:
            return await self._handle_post(request, self._handle_announcement)
        if path.startswith(WORKERS_PATH) and path.endswith(REPORT_SUFFIX):
            return await self._handle_post(request, self._handle_report)
        metrics.count(REFUSED_UNKNOWN_PATH)
        return http.make_reason_response(404, 'unknown_path')

    async def _handle_post(self, request, handle_call):
        if request.method != 'POST':
            metrics.count(REFUSED_UNKNOWN_PATH)
            return http.make_reason_response(405, 'method_not_allowed')
        return await handle_call(request)

    async def _handle_announcement(self, request):
        try:
            announcement = _decode_announcement(request.body)
        except _DECODING_ERRORS as exc:
            metrics.count(REFUSED_BAD_ANNOUNCEMENT)
            return http.make_reason_response(400, 'bad_announcement', str(exc))
        metrics.count(ANNOUNCEMENTS_RECEIVED)
        await self._router.step(
            routing.AnnouncementHeard(announcement, request.received_ms)
        )
        return http.make_json_response(200, {'taken': True})

    async def _handle_report(self, request):
        worker = request.path[len(WORKERS_PATH) : -len(REPORT_SUFFIX)]
        try:
            report = named_json.decode(messages.WorkerReport, request.body)
            if report.worker != worker:
                raise ValueError(f'path and report differ: {worker!r}')
            _check_amounts(report)
        except _DECODING_ERRORS as exc:
            metrics.count(REFUSED_BAD_REPORT)
            return http.make_reason_response(400, 'bad_report', str(exc))
        orders = await self._report_batcher.send_report(report)
        if orders is None:
            metrics.count(REFUSED_CONTROL_UNAVAILABLE)
            return http.make_reason_response(
                503,
                'control_unavailable',
                'control gave no orders in time; report again',
                [http.make_retry_after_header(RETRY_AFTER_S)],
            )
        return http.make_json_response(200, named_json.to_builtins(orders))


def _check_amounts(report):
    """Checks the resources in a ``messages.WorkerReport``.

    Raises:
        ValueError: one of them is out of range.
    """
    amounts = [report.capacity]
    amounts += [attempt.used for attempt in report.attempts]
    amounts += [load.used for load in report.services]
    for resources in amounts:
        for amount in msgspec.structs.astuple(resources):
            if not 0 <= amount <= number_ranges.MAX_AMOUNT:
                raise ValueError(
                    f'resources must be 0 to {number_ranges.MAX_AMOUNT}'
                )


def _decode_announcement(body):
    """Returns the ``messages.Announcement`` of a JSON body after checks.

    Raises:
        One of ``_DECODING_ERRORS``; its text is sent to the upstream.
    """
    announcement_fields = http.decode_json(body)
    if not isinstance(announcement_fields, dict):
        raise ValueError('expected an object')
    # The announcement comes from the upstream itself, so its age is 0,
    # whatever the body states.
    announcement_fields['age_ms'] = 0
    announcement = named_json.decode(
        messages.Announcement, http.encode_json(announcement_fields)
    )
    address = settings.Address.parse(announcement.address)
    ipaddress.ip_address(address.host)
    if announcement.state not in UPSTREAM_STATES:
        raise ValueError(f'state must be one of {", ".join(UPSTREAM_STATES)}')
    if not 0 <= announcement.slots <= MAX_SLOTS:
        raise ValueError(f'slots must be 0 to {MAX_SLOTS}')
    if not 0 <= announcement.connections <= MAX_ANNOUNCED_CONNECTIONS:
        raise ValueError(
            f'connections must be 0 to {MAX_ANNOUNCED_CONNECTIONS}'
        )
    if not 0 < len(announcement.service) <= MAX_SERVICE_NAME_CHARS:
        raise ValueError(
            f'service must have 1 to {MAX_SERVICE_NAME_CHARS} characters'
        )
    return announcement
