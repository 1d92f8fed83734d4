"""Turns outcomes, results and failures into status codes and JSON bodies."""

from fuchsiatrestle import metrics
from fuchsiatrestle import named_json
from fuchsiatrestle.state import outcomes
from fuchsiatrestle.state import queries

__all__ = (
    'Answer',
    'of_failure',
    'of_message',
    'of_outcome',
    'of_result',
    'refused',
)

RETRY_AFTER_S = 1

REFUSED_BAD_REQUEST = metrics.declare(
    'refused.admin_bad_request', 'Administration calls that were malformed.'
)
REFUSED_CONTROL = metrics.declare(
    'refused.admin_control', 'Administration calls that control refused.'
)
REFUSED_UNKNOWN = metrics.declare(
    'refused.admin_unknown',
    'Administration calls whose outcome is unknown; they may be agreed.',
)
REFUSED_CONFLICT = metrics.declare(
    'refused.admin_conflict', 'Patches built on a version no longer current.'
)
REFUSED_INVALID = metrics.declare(
    'refused.admin_invalid', 'Commands refused whole by the agreed state.'
)
REFUSED_NOT_FOUND = metrics.declare(
    'refused.admin_not_found', 'Administration calls for something unknown.'
)

# Refusals that trying again does not mend.
_STATUS_BY_REASON = {
    'bad_request': 400,
    'unknown_member': 409,
    'known_member': 409,
    'last_voter': 409,
}


class Answer:
    """Status and JSON value of one administration call.

    Attributes:
        status: HTTP status code.
        value: plain value to encode.
        retry_after_s: when to come again, 0 for no such advice.
    """

    __slots__ = ('retry_after_s', 'status', 'value')

    def __init__(self, status, value, retry_after_s=0):
        self.status = status
        self.value = value
        self.retry_after_s = retry_after_s


def _error(status, reason, detail, retry_after_s=0, **more):
    value = {'reason': reason, 'detail': detail, **more}
    return Answer(status, value, retry_after_s)


def refused(status, reason, detail, field=''):
    """Returns the answer to a call that never left this entry."""
    counter = REFUSED_NOT_FOUND if status == 404 else REFUSED_BAD_REQUEST
    metrics.count(counter)
    return _error(status, reason, detail, field=field, outcome='not-run')


def of_failure(failure):
    """Returns the answer to a call that control gave no outcome for.

    Args:
        failure: a ``control_client.CallFailure``.
    """
    more = {'step': failure.step, 'peer': failure.peer}
    if not failure.not_run:
        metrics.count(REFUSED_UNKNOWN)
        detail = failure.detail or 'send the same call again'
        return _error(504, failure.reason, detail, outcome='unknown', **more)
    metrics.count(REFUSED_CONTROL)
    more['outcome'] = 'not-run'
    detail = failure.detail or 'nothing was changed; try again'
    status = _STATUS_BY_REASON.get(failure.reason)
    if status is not None:
        return _error(status, failure.reason, detail, **more)
    return _error(503, failure.reason, detail, RETRY_AFTER_S, **more)


def _of_conflict(outcome):
    metrics.count(REFUSED_CONFLICT)
    detail = (
        f'the patch builds on version {outcome.base}, current is'
        f' {outcome.current}; read it and build a new patch on it'
    )
    more = named_json.to_plain(outcome)
    return _error(409, 'version_conflict', detail, outcome='not-run', **more)


def _of_invalid(outcome):
    metrics.count(REFUSED_INVALID)
    return _error(
        422,
        outcome.reason,
        outcome.detail,
        field=outcome.field,
        outcome='not-run',
    )


def of_outcome(outcome):
    """Returns the answer that carries the outcome of a command."""
    if isinstance(outcome, outcomes.ConfigConflict):
        return _of_conflict(outcome)
    if isinstance(outcome, outcomes.Invalid):
        return _of_invalid(outcome)
    return Answer(200, named_json.to_plain(outcome))


def of_result(result):
    """Returns the answer that carries the result of a query."""
    if isinstance(result, queries.NotFound):
        return refused(404, 'not_found', f'{result.what} is not known')
    return Answer(200, named_json.to_plain(result))


def of_message(message):
    """Returns the answer that carries a message of the control leader."""
    value = named_json.to_plain(message)
    value.pop('call_id', None)
    return Answer(200, value)
