"""Settings of the two programs on the platform."""

from fuchsiatrestle import control
from fuchsiatrestle import settings

__all__ = (
    'CONTROL_SECTIONS',
    'ENTRY_SECTIONS',
    'control_peers',
    'for_control_daemon',
)

_PLATFORM = (
    # Addresses of some control daemons that operators and workers call.
    settings.AddressListOption('seeds'),
    settings.AddressOption('link'),
    settings.TextOption('data_centre', ''),
)

# Sections of control that are set here as they are there.
_SHARED_SECTIONS = ('workers', 'timing')

ENTRY_SECTIONS = (
    settings.Section(
        'platform',
        *_PLATFORM,
        settings.AddressOption('callers'),
        settings.AddressOption('ready'),
        settings.FloatOption('grace_s', 6.0, low=0.1, high=600),
        settings.FloatOption('health_lead_s', 2.0, low=0, high=600),
    ),
)

CONTROL_SECTIONS = (
    settings.Section(
        'platform',
        *_PLATFORM,
        settings.AddressOption('control'),
        settings.FolderOption('data_folder'),
    ),
    *(
        section
        for section in control.SECTIONS
        if section.name in _SHARED_SECTIONS
    ),
)


def control_peers(cfg):
    """Returns the link addresses of the seeds, by name.

    A control replica is named by its link address, whose port is the same
    on all VMs.
    """
    port = cfg.get('platform', 'link').port
    addresses = [
        settings.Address(seed.host, port)
        for seed in cfg.get('platform', 'seeds')
    ]
    return {str(address): address for address in addresses}


def for_control_daemon(cfg):
    """Returns the settings as ``ControlDaemon`` reads them."""
    link = cfg.get('platform', 'link')
    values = settings.defaults(control.SECTIONS)
    for key in list(values):
        if key[0] in _SHARED_SECTIONS:
            del values[key]
    own = {
        'name': str(link),
        'link': link,
        'data_folder': cfg.get('platform', 'data_folder'),
        'peers': control_peers(cfg),
        'data_centre': cfg.get('platform', 'data_centre'),
        'open_membership': True,
    }
    values.update({('control', key): value for key, value in own.items()})
    return cfg.extended(values)
