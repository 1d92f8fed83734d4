"""Reasons of refusals and retries, each with its counter."""

from fuchsiatrestle import metrics

__all__ = (
    'REASONS',
    'RETRY_REASONS',
    'Reason',
    'count_budget_empty',
    'count_refusal',
    'count_retry',
)


class Reason:
    """What a refusal reason means to the caller.

    Attributes:
        name: machine-readable reason.
        status: HTTP status.
        description: one line for people.
        counter: name of its counter.
    """

    __slots__ = ('counter', 'description', 'name', 'status')

    def __init__(self, name, status, description):
        self.name = name
        self.status = status
        self.description = description
        self.counter = metrics.declare(
            f'refused.{name}', f'{description} ({status}).'
        )


_ALL = (
    Reason('bad_header', 400, 'A header of the request is not valid'),
    Reason('unknown_path', 404, 'No service is declared for the path'),
    Reason('claim_held', 409, 'Another request holds the idempotency key'),
    Reason('claim_answer_lost', 409, 'The request ran; no answer is kept'),
    Reason('claim_expired', 409, 'The idempotency key is too old to judge'),
    Reason('claim_mismatch', 422, 'The key was used for another request'),
    Reason('queue_full', 429, 'The queue of the service is full'),
    Reason('queue_wait', 429, 'The wait would exceed the deadline'),
    Reason('shed', 429, 'Displaced by a request of higher priority'),
    Reason('deadline_in_queue', 503, 'The deadline passed in the queue'),
    Reason('no_config_lease', 503, 'This entry holds no configuration lease'),
    Reason('no_upstream', 503, 'No upstream of the service is ready'),
    Reason('connect_failed', 503, 'No upstream could be connected to'),
    Reason('upstream_refused', 503, 'The upstream refused the request'),
    Reason('claim_unavailable', 503, 'The claim could not be agreed'),
    Reason('stopping', 503, 'This entry is stopping'),
    Reason(
        'claim_unknown', 504, 'An earlier request with the key may have run'
    ),
    Reason('deadline_exceeded', 504, 'No whole answer before the deadline'),
    Reason('upstream_silent', 504, 'The upstream stopped answering'),
    Reason('connection_lost', 504, 'The connection to the upstream broke'),
    Reason('bad_response', 504, 'The upstream sent no valid answer'),
)
REASONS = {reason.name: reason for reason in _ALL}

RETRY_REASONS = {
    name: metrics.declare(f'retry.{name}', description)
    for name, description in (
        ('connect_failed', 'Sent again: the upstream refused to connect.'),
        ('connect_timeout', 'Sent again: connecting took too long.'),
        ('stale_connection', 'Sent again: an idle connection was closed.'),
        ('upstream_silent', 'Sent again: a connection made no progress.'),
        ('connection_lost', 'Sent again: a connection broke.'),
        ('bad_response', 'Sent again: the answer was not valid HTTP.'),
        ('upstream_refused', 'Sent again: the upstream did not run it.'),
        ('not_written', 'Sent again: the permission ended before writing.'),
    )
}
RETRY_REFUSED = metrics.declare(
    'retry.budget_empty', 'Retries not made because the budget was spent.'
)


def count_refusal(reason):
    """Counts one refusal."""
    metrics.count(REASONS[reason].counter)


def count_retry(reason):
    """Counts one retry."""
    metrics.count(RETRY_REASONS[reason])


def count_budget_empty():
    """Counts a retry that the budget did not allow."""
    metrics.count(RETRY_REFUSED)
