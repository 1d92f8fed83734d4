"""Counters of the calls that a control replica refused."""

from fuchsiatrestle import messages
from fuchsiatrestle import metrics

__all__ = ('count',)

_COUNTERS = {
    reason: metrics.declare(
        f'refused.call_{reason}',
        f'Calls refused by this control replica with the reason {reason}.',
    )
    for reason in messages.REFUSAL_REASONS
}


def count(reason):
    """Counts one refused call."""
    metrics.count(_COUNTERS[reason])
