"""Checks of conditions that must always be true.

``require`` raises ``errors.InvariantBreach`` if a condition is false.  A
daemon then exits with ``DAEMON_EXIT_STATUS``: a replica whose own state is
inconsistent must not answer any more requests.  Randomised tests run the same
checks.
"""

from fuchsiatrestle import errors
from fuchsiatrestle import logs
from fuchsiatrestle import metrics

__all__ = (
    'DAEMON_EXIT_STATUS',
    'require',
)

# EX_SOFTWARE of sysexits.h: internal software error.
DAEMON_EXIT_STATUS = 70

INVARIANT_BREACHED = metrics.declare(
    'invariant.breached', 'An internal invariant failed; the daemon stops.'
)

LOG = logs.get_logger(__name__)


def require(condition, name, **detail):
    """Raises ``InvariantBreach`` unless ``condition`` is true.

    Args:
        condition: the condition that must be true.
        name: stable identifier of the invariant, used in logs and errors.
        **detail: values to log and to put into the error.

    Raises:
        errors.InvariantBreach: the condition is false.
    """
    if condition:
        return
    metrics.count(INVARIANT_BREACHED)
    LOG.error('invariant_breached', extra={'invariant': name, **detail})
    detail_text = ', '.join(
        f'{key}={value!r}' for key, value in detail.items()
    )
    raise errors.InvariantBreach(f'{name}: {detail_text}', step=name)
