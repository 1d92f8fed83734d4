"""Settings of the entry daemon."""

from fuchsiatrestle.net import http_limits
from fuchsiatrestle.net import tls
from fuchsiatrestle import settings

__all__ = ('SECTIONS',)

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
    http_limits.make_section(),
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
