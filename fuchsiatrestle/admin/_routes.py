"""The calls of the administration API and how a request finds its call."""

from fuchsiatrestle.admin import _calls
from fuchsiatrestle.admin import _payloads

__all__ = ('ROUTES', 'RouteMatch', 'Parameter', 'Route', 'find_route')


class Parameter:
    """One query parameter.

    Attributes:
        name: its name.
        value_type: ``int``, for a whole number from 0, or ``str``.
        default: value when absent; None if the parameter is required.
        summary: one line of documentation.
    """

    __slots__ = ('default', 'value_type', 'name', 'summary')

    def __init__(self, name, value_type, default, summary):
        self.name = name
        self.value_type = value_type
        self.default = default
        self.summary = summary


class Route:
    """One call.

    Attributes:
        method: HTTP method.
        path: path pattern; a segment in braces matches any one segment.
        action: name of the method of ``AdminApi`` that carries the call out,
            without its leading underscore.
        summary: one line of documentation.
        parameters: the ``Parameter`` values that the call accepts.
        body_type: class of the JSON body; None if the body is not checked.
    """

    __slots__ = (
        'action',
        'body_type',
        'method',
        'parameters',
        'path',
        'summary',
    )

    def __init__(
        self, method, path, action, summary, parameters=(), body_type=None
    ):
        self.method = method
        self.path = path
        self.action = action
        self.summary = summary
        self.parameters = parameters
        self.body_type = body_type

    def match_path(self, path):
        """Matches the path of a request.

        Returns:
            The values of the segments in braces by name, or None if the path
            does not match.
        """
        pattern_segments = self.path.split('/')
        path_segments = path.split('/')
        if len(pattern_segments) != len(path_segments):
            return None
        path_values = {}
        for pattern, segment in zip(
            pattern_segments, path_segments, strict=True
        ):
            if pattern.startswith('{') and segment:
                path_values[pattern.strip('{}')] = segment
            elif pattern != segment:
                return None
        return path_values


class RouteMatch:
    """The route that a request matched, and the values from its path.

    Attributes:
        route: the ``Route``.
        path_values: values of the path segments in braces, by name.
    """

    __slots__ = ('path_values', 'route')

    def __init__(self, route, path_values):
        self.route = route
        self.path_values = path_values


_PATCH_PARAMETERS = (
    Parameter('base', int, None, 'version that the patch builds on'),
    Parameter('patch_id', str, None, 'a resend under it changes nothing'),
    Parameter('author', str, '', 'kept in the history'),
)
_LIST_PARAMETERS = (
    Parameter('state', str, '', 'only jobs in this state'),
    Parameter('team', str, '', 'only jobs of this team'),
    Parameter('after', str, '', '`next_after` of the page before'),
    Parameter('limit', int, 100, 'jobs a page'),
)

ROUTES = (
    Route('GET', '/v1/status', 'get_status', 'Leader and entry in short.'),
    Route(
        'GET',
        '/v1/config',
        'get_config',
        'One version of the configuration.',
        (Parameter('version', int, 0, 'version, 0 for the current one'),),
    ),
    Route(
        'PATCH',
        '/v1/config',
        'patch_config',
        'Submits a JSON merge patch (RFC 7396) as body.',
        _PATCH_PARAMETERS,
    ),
    Route(
        'GET',
        '/v1/config/history',
        'get_history',
        'Accepted patches, newest first.',
        (Parameter('limit', int, 20, 'number of versions'),),
    ),
    Route('GET', '/v1/jobs', 'list_jobs', 'Jobs, by page.', _LIST_PARAMETERS),
    Route(
        'POST',
        '/v1/jobs',
        'submit_jobs',
        'Submits jobs; each has its own outcome.',
        body_type=_payloads.SubmitBody,
    ),
    Route(
        'POST',
        '/v1/jobs/cancel',
        'cancel_jobs',
        'Cancels jobs in one batch.',
        body_type=_payloads.CancelBody,
    ),
    Route(
        'POST',
        '/v1/jobs/resolve',
        'resolve_jobs',
        'Settles parked jobs.',
        body_type=_payloads.ResolveBody,
    ),
    Route('GET', '/v1/jobs/{job_id}', 'get_job', 'One job with its history.'),
    Route(
        'GET',
        '/v1/jobs/{job_id}/why',
        'get_job_reason',
        'Why a job stands where it does.',
    ),
    Route('GET', '/v1/members', 'get_members', 'The control replicas.'),
    Route(
        'POST',
        '/v1/members',
        'change_member',
        'Adds or removes one control replica.',
        body_type=_payloads.MemberBody,
    ),
    Route('GET', '/v1/workers', 'get_workers', 'Workers that control knows.'),
    Route(
        'GET',
        '/v1/evacuations',
        'get_evacuations',
        'Data centres, and which of them are evacuated.',
    ),
    Route(
        'POST',
        '/v1/evacuations/{data_centre}/start',
        'start_evacuation',
        'Starts nothing more on the workers of a data centre.',
    ),
    Route(
        'POST',
        '/v1/evacuations/{data_centre}/end',
        'end_evacuation',
        'Lets tasks return to a data centre.',
    ),
    Route(
        'GET',
        '/v1/upstreams',
        'get_upstreams',
        'Upstreams as this entry sees them.',
    ),
    Route(
        'GET',
        '/v1/counters',
        'get_counters',
        'Counters and gauges of this entry since its start.',
    ),
    Route(
        'GET',
        '/v1/control/counters',
        'get_control_counters',
        'Counters and gauges of the leading control replica.',
    ),
    Route(
        'POST',
        '/v1/drain',
        'drain',
        'Starts the graceful stop of the named entry.',
        body_type=_payloads.DrainBody,
    ),
)


def find_route(method, path):
    """Returns the ``RouteMatch`` of a request.

    Args:
        method: HTTP method.
        path: decoded path, without the query.

    Raises:
        CallRefused: with status 404 if no route has the path, with 405 if
            the routes that have it take other methods.
    """
    allowed_methods = []
    for route in ROUTES:
        path_values = route.match_path(path)
        if path_values is None:
            continue
        if route.method == method:
            return RouteMatch(route, path_values)
        allowed_methods.append(route.method)
    if allowed_methods:
        detail = f'{path} takes {", ".join(allowed_methods)}, not {method}'
        raise _calls.CallRefused(405, 'method_not_allowed', detail)
    raise _calls.CallRefused(404, 'unknown_path', f'no call at {path}')
