"""Counters of the calls that a control replica refused."""

from fuchsiatrestle import metrics

__all__ = ('REASONS', 'count')

REASONS = (
    'not_leader',
    'no_quorum',
    'overloaded',
    'stopping',
    'storage_failed',
    'bad_request',
    'unknown',
    'change_pending',
    'not_ready',
    'not_caught_up',
    'unknown_member',
    'known_member',
    'last_voter',
)

_COUNTERS = {
    reason: metrics.declare(
        f'refused.call_{reason}',
        f'Calls refused by this control replica with the reason {reason}.',
    )
    for reason in REASONS
}


def count(reason):
    """Counts one refused call."""
    metrics.count(_COUNTERS[reason])
