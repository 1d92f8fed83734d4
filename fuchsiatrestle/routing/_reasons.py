"""Reasons of refusals and of retries, each with its counter."""

from fuchsiatrestle import metrics

__all__ = (
    'REFUSAL_REASON_BY_NAME',
    'RETRY_COUNTERS',
    'RefusalReason',
    'count_refusal',
    'count_retry',
    'count_retry_over_budget',
)


class RefusalReason:
    """Reason for which a request is refused, as the caller sees it.

    Attributes:
        name: machine-readable name.
        status: HTTP status of the refusal.
        description: one line for people, without a full stop.
        counter: metric that counts refusals for the reason.
    """

    __slots__ = ('counter', 'description', 'name', 'status')

    def __init__(self, name, status, description):
        self.name = name
        self.status = status
        self.description = description
        self.counter = metrics.declare(
            f'refused.{name}', f'{description} ({status}).'
        )


_REFUSAL_REASONS = (
    RefusalReason('bad_header', 400, 'A header of the request is not valid'),
    RefusalReason('unknown_path', 404, 'No service is declared for the path'),
    RefusalReason(
        'claim_held', 409, 'Another request holds the idempotency key'
    ),
    RefusalReason(
        'claim_answer_lost', 409, 'The request ran; no answer is kept'
    ),
    RefusalReason(
        'claim_expired', 409, 'The idempotency key is too old to judge'
    ),
    RefusalReason(
        'claim_mismatch', 422, 'The key was used for another request'
    ),
    RefusalReason('queue_full', 429, 'The queue of the service is full'),
    RefusalReason('queue_wait', 429, 'The wait would exceed the deadline'),
    RefusalReason('shed', 429, 'Displaced by a request of higher priority'),
    RefusalReason(
        'deadline_in_queue', 503, 'The deadline passed in the queue'
    ),
    RefusalReason(
        'no_config_lease', 503, 'This entry holds no configuration lease'
    ),
    RefusalReason('no_upstream', 503, 'No upstream of the service is ready'),
    RefusalReason('connect_failed', 503, 'No upstream could be connected to'),
    RefusalReason('upstream_refused', 503, 'The upstream refused the request'),
    RefusalReason('claim_unavailable', 503, 'The claim could not be agreed'),
    RefusalReason('stopping', 503, 'This entry is stopping'),
    RefusalReason(
        'claim_unknown', 504, 'An earlier request with the key may have run'
    ),
    RefusalReason(
        'deadline_exceeded', 504, 'No whole answer before the deadline'
    ),
    RefusalReason('upstream_silent', 504, 'The upstream stopped answering'),
    RefusalReason(
        'connection_lost', 504, 'The connection to the upstream broke'
    ),
    RefusalReason('bad_response', 504, 'The upstream sent no valid answer'),
)
REFUSAL_REASON_BY_NAME = {reason.name: reason for reason in _REFUSAL_REASONS}

RETRY_COUNTERS = {
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
        ('claim_held', 'Claimed again: another request held the key.'),
    )
}
RETRY_OVER_BUDGET_COUNTER = metrics.declare(
    'retry.budget_empty', 'Retries not made because the budget was spent.'
)


def count_refusal(reason_name):
    """Counts a refusal for a reason, a key of ``REFUSAL_REASON_BY_NAME``."""
    metrics.count(REFUSAL_REASON_BY_NAME[reason_name].counter)


def count_retry(reason_name):
    """Counts a retry for a reason, a key of ``RETRY_COUNTERS``."""
    metrics.count(RETRY_COUNTERS[reason_name])


def count_retry_over_budget():
    """Counts a retry that was not made because the budget was empty."""
    metrics.count(RETRY_OVER_BUDGET_COUNTER)
