"""Settings of the entry daemon."""

from fuchsiatrestle.net import http
from fuchsiatrestle.net import tls
from fuchsiatrestle import settings

__all__ = ('SECTIONS', 'make_http_limits')

SECTIONS = (
    settings.Section(
        'entry',
        settings.NameOption('name'),
        settings.AddressOption('callers'),
        settings.AddressOption('platform'),
        settings.AddressOption('admin'),
        settings.AddressOption('link'),
        settings.PeerListOption('controls'),
        settings.TextOption('data_centre', ''),
        # If on, several processes may listen on the address ``callers``.
        settings.BoolOption('share_callers_port', False),
    ),
    # Limits of each of the three HTTP listeners, see ``http.Limits``.
    settings.Section(
        'limits',
        settings.IntOption(
            'head_bytes', 16384, min_value=512, max_value=1048576
        ),
        settings.IntOption(
            'body_bytes', 1048576, min_value=0, max_value=1073741824
        ),
        settings.FloatOption('head_s', 5.0, min_value=0.05, max_value=600),
        settings.FloatOption('body_s', 10.0, min_value=0.05, max_value=600),
        settings.FloatOption('idle_s', 60.0, min_value=0.05, max_value=3600),
        settings.FloatOption('write_s', 10.0, min_value=0.05, max_value=600),
        settings.IntOption('connections', 2000, min_value=1, max_value=100000),
    ),
    settings.Section(
        'stop',
        # Time between the start of a graceful stop, from which on the health
        # check fails, and the closing of the callers' listener.
        settings.FloatOption('health_lead_s', 1.0, min_value=0, max_value=300),
        # Time limit for requests that still run when the listener is closed.
        settings.FloatOption('grace_s', 30.0, min_value=0, max_value=3600),
    ),
    tls.SECTION,
)

_LIMIT_KEYS = (
    'head_bytes',
    'body_bytes',
    'head_s',
    'body_s',
    'idle_s',
    'write_s',
    'connections',
)


def make_http_limits(cfg):
    """Returns the ``http.Limits`` set in section ``limits``."""
    return http.Limits(**{key: cfg.get('limits', key) for key in _LIMIT_KEYS})
