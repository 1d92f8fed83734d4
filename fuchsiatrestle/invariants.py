"""Conditions that must always hold, checked where they could break.

``require`` raises ``errors.InvariantBreach``.  A daemon lets it end the
process (see ``DAEMON_EXIT_STATUS``): a replica that is wrong about its own
state must not go on answering.  Randomised tests run the same checks.
"""

from fuchsiatrestle import errors
from fuchsiatrestle import logs
from fuchsiatrestle import metrics

__all__ = (
    'DAEMON_EXIT_STATUS',
    'require',
)

DAEMON_EXIT_STATUS = 70

INVARIANT_BREACHED = metrics.declare(
    'invariant.breached', 'An internal invariant failed; the daemon stops.'
)

LOG = logs.get_logger(__name__)


def require(condition, name, **detail):
    """Raises ``InvariantBreach`` unless ``condition`` is true.

    Args:
        condition: the checked truth.
        name: stable identifier of the invariant.
        **detail: values that explain a breach.
    """
    if condition:
        return
    metrics.count(INVARIANT_BREACHED)
    LOG.error('invariant_breached', extra={'invariant': name, **detail})
    text = ', '.join(f'{key}={value!r}' for key, value in detail.items())
    raise errors.InvariantBreach(f'{name}: {text}', step=name)
