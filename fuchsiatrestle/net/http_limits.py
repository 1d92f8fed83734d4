"""Settings section ``[limits]`` of the HTTP listeners of a process."""

from fuchsiatrestle import errors
from fuchsiatrestle.net import _http_server
from fuchsiatrestle.net import _memory_budget
from fuchsiatrestle.net import http
from fuchsiatrestle import settings

__all__ = (
    'SECTION_NAME',
    'apply_memory_budget',
    'make_limits',
    'make_section',
    'make_small_limits',
)

SECTION_NAME = 'limits'
# Listeners for health checks and metrics have few clients.
MAX_SMALL_LISTENER_CONNECTIONS = 128
# The budget has to have room for so many of the largest bodies as a request
# takes while it is handled.
MIN_BUDGET_BODIES = 4

_LIMIT_KEYS = (
    'head_bytes',
    'head_fields',
    'body_bytes',
    'head_s',
    'body_s',
    'idle_s',
    'write_s',
    'connections',
    'connections_per_address',
    'pipelined',
    'min_rate',
    'json_depth',
)


def make_section(
    *,
    body_bytes=1048576,
    head_s=5.0,
    idle_s=60.0,
    connections=1000,
    json_values=131072,
):
    """Returns the ``settings.Section`` of the limits.

    Args:
        body_bytes: default of the option of this name, and so on; see
            ``http.Limits``.
        head_s: as above.
        idle_s: as above.
        connections: as above.
        json_values: as above.
    """
    return settings.Section(
        SECTION_NAME,
        settings.IntOption(
            'head_bytes', 16384, min_value=512, max_value=1048576
        ),
        settings.IntOption('head_fields', 100, min_value=8, max_value=10000),
        settings.IntOption(
            'body_bytes', body_bytes, min_value=0, max_value=1073741824
        ),
        settings.FloatOption('head_s', head_s, min_value=0.05, max_value=600),
        settings.FloatOption('body_s', 10.0, min_value=0.05, max_value=600),
        settings.FloatOption('idle_s', idle_s, min_value=0.05, max_value=3600),
        settings.FloatOption('write_s', 10.0, min_value=0.05, max_value=600),
        settings.IntOption(
            'connections', connections, min_value=1, max_value=100000
        ),
        settings.IntOption(
            'connections_per_address', 500, min_value=1, max_value=100000
        ),
        settings.IntOption('pipelined', 32, min_value=0, max_value=10000),
        # Bytes a second.
        settings.IntOption('min_rate', 1024, min_value=1, max_value=1048576),
        settings.IntOption(
            'json_values', json_values, min_value=16, max_value=10000000
        ),
        settings.IntOption('json_depth', 32, min_value=4, max_value=500),
        # Budget of memory of the process; 0 for as much as bodies of the
        # largest size need, at least ``DEFAULT_BUDGET_BYTES``.
        settings.IntOption('memory_bytes', 0, min_value=0, max_value=1 << 40),
    )


def apply_memory_budget(cfg):
    """Sets the size of the memory budget of this process.

    Raises:
        errors.SettingsInvalid: it has no room for a body of the largest size.
    """
    needed_bytes = MIN_BUDGET_BODIES * cfg.get(SECTION_NAME, 'body_bytes')
    memory_bytes = cfg.get(SECTION_NAME, 'memory_bytes')
    if not memory_bytes:
        memory_bytes = max(_memory_budget.DEFAULT_BUDGET_BYTES, needed_bytes)
    if memory_bytes < needed_bytes:
        raise errors.SettingsInvalid(
            f'{cfg.path}: [{SECTION_NAME}] memory_bytes = {memory_bytes}: '
            f'must be {MIN_BUDGET_BODIES} times body_bytes or more',
            step='start',
        )
    _http_server.process_budget.max_bytes = memory_bytes


def make_limits(cfg, *, decodes_json, **further_limits):
    """Returns the ``http.Limits`` of a listener.

    Args:
        cfg: ``settings.Settings`` with the section.
        decodes_json: True if the listener decodes the bodies of requests.
        **further_limits: limits without a setting, by name.
    """
    limits = {key: cfg.get(SECTION_NAME, key) for key in _LIMIT_KEYS}
    if decodes_json:
        limits['json_values'] = cfg.get(SECTION_NAME, 'json_values')
    return http.Limits(**limits, **further_limits)


def make_small_limits(cfg):
    """Returns the ``http.Limits`` of a listener with few clients."""
    limits = make_limits(cfg, decodes_json=False)
    limits.connections = min(
        limits.connections, MAX_SMALL_LISTENER_CONNECTIONS
    )
    return limits
