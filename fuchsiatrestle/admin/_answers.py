"""Maps outcomes, query results and failures to status codes and JSON."""

from fuchsiatrestle import metrics
from fuchsiatrestle import named_json
from fuchsiatrestle.state import outcomes
from fuchsiatrestle.state import queries

__all__ = (
    'Answer',
    'make_failure_answer',
    'make_message_answer',
    'make_outcome_answer',
    'make_result_answer',
    'make_refusal',
)

RETRY_AFTER_S = 1

REFUSED_BAD_REQUEST = metrics.declare(
    'refused.admin_bad_request', 'Administration calls that were malformed.'
)
REFUSED_CONTROL = metrics.declare(
    'refused.admin_control', 'Administration calls that control refused.'
)
OUTCOME_UNKNOWN = metrics.declare(
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

# Status codes of the refusals that a repeated call would get again.  Every
# other refusal of control is answered with 503 and ``Retry-After``.
_FINAL_STATUS_BY_REASON = {
    'bad_request': 400,
    'unknown_member': 409,
    'known_member': 409,
    'last_voter': 409,
    'not_offered': 404,
    'unknown_data_centre': 404,
}


class Answer:
    """Status and JSON value that answer one administration call.

    Attributes:
        status: HTTP status code.
        json_body: dict, to be encoded as the JSON body.
        retry_after_s: value of the ``Retry-After`` header, in seconds; 0 for
            no such header.
    """

    __slots__ = ('retry_after_s', 'status', 'json_body')

    def __init__(self, status, json_body, retry_after_s=0):
        self.status = status
        self.json_body = json_body
        self.retry_after_s = retry_after_s


def _make_error(status, reason, detail, retry_after_s=0, **extra_fields):
    json_body = {'reason': reason, 'detail': detail, **extra_fields}
    return Answer(status, json_body, retry_after_s)


def make_refusal(status, reason, detail, field=''):
    """Returns the answer that refuses a call, and counts the refusal.

    Args:
        status: HTTP status code.
        reason: machine-readable reason.
        detail: one line for people.
        field: dotted path of the field at fault, empty if there is none.
    """
    counter = REFUSED_NOT_FOUND if status == 404 else REFUSED_BAD_REQUEST
    metrics.count(counter)
    return _make_error(status, reason, detail, field=field, outcome='not-run')


def make_failure_answer(failure):
    """Returns the answer to a call that got no outcome from control.

    It is a 504 if the call may have taken effect; the caller is told to send
    the same call again.  Otherwise nothing was changed.

    Args:
        failure: a ``control_client.CallFailure``.
    """
    extra_fields = {'step': failure.step, 'peer': failure.peer}
    if not failure.certainly_not_executed:
        metrics.count(OUTCOME_UNKNOWN)
        detail = failure.detail or 'send the same call again'
        return _make_error(
            504, failure.reason, detail, outcome='unknown', **extra_fields
        )
    metrics.count(REFUSED_CONTROL)
    extra_fields['outcome'] = 'not-run'
    detail = failure.detail or 'nothing was changed; try again'
    status = _FINAL_STATUS_BY_REASON.get(failure.reason)
    if status is not None:
        return _make_error(status, failure.reason, detail, **extra_fields)
    return _make_error(
        503, failure.reason, detail, RETRY_AFTER_S, **extra_fields
    )


def _make_conflict_answer(outcome):
    metrics.count(REFUSED_CONFLICT)
    detail = (
        f'the patch builds on version {outcome.base}, current is'
        f' {outcome.current}; read it and build a new patch on it'
    )
    extra_fields = named_json.to_builtins(outcome)
    return _make_error(
        409, 'version_conflict', detail, outcome='not-run', **extra_fields
    )


def _make_invalid_answer(outcome):
    metrics.count(REFUSED_INVALID)
    return _make_error(
        422,
        outcome.reason,
        outcome.detail,
        field=outcome.field,
        outcome='not-run',
    )


def make_outcome_answer(outcome):
    """Returns the answer to a command that control has applied.

    Args:
        outcome: a record of ``state.outcomes``; a ``ConfigConflict`` gives a
            409, an ``Invalid`` a 422.
    """
    if isinstance(outcome, outcomes.ConfigConflict):
        return _make_conflict_answer(outcome)
    if isinstance(outcome, outcomes.Invalid):
        return _make_invalid_answer(outcome)
    return Answer(200, named_json.to_builtins(outcome))


def make_result_answer(query_result):
    """Returns the answer to a query.

    Args:
        query_result: a record of ``state.queries``; a ``NotFound`` gives a
            404.
    """
    if isinstance(query_result, queries.NotFound):
        return make_refusal(
            404, 'not_found', f'{query_result.what} is not known'
        )
    return Answer(200, named_json.to_builtins(query_result))


def make_message_answer(message):
    """Returns the answer that contains a message of the control leader.

    The ``call_id``, which only concerns the link, is left out.
    """
    json_body = named_json.to_builtins(message)
    json_body.pop('call_id', None)
    return Answer(200, json_body)
