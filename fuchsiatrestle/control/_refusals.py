"""Counters of the calls that a control replica refused."""

from fuchsiatrestle import messages
from fuchsiatrestle import metrics

__all__ = ('count_refusal',)

_COUNTERS_BY_REASON = {
    reason: metrics.declare(
        f'refused.call_{reason}',
        f'Calls refused by this control replica with the reason {reason}.',
    )
    for reason in messages.REFUSAL_REASONS
}


def count_refusal(reason):
    """Counts one call that this replica refused.

    Args:
        reason: one of ``messages.REFUSAL_REASONS``.
    """
    metrics.count(_COUNTERS_BY_REASON[reason])
