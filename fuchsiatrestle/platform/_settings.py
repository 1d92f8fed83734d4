"""Settings of the two programs on the platform."""

from fuchsiatrestle import control
from fuchsiatrestle import settings

__all__ = (
    'CONTROL_SECTIONS',
    'ENTRY_SECTIONS',
    'control_peers',
    'for_control_daemon',
)

_COMMON_OPTIONS = (
    # Control addresses, for operators and workers, of some control daemons.
    settings.AddressListOption('seeds'),
    settings.AddressOption('link'),
    settings.TextOption('data_centre', ''),
)

# Sections of the control daemon that the platform's settings file holds too.
_SHARED_SECTIONS = ('workers', 'timing')

ENTRY_SECTIONS = (
    settings.Section(
        'platform',
        *_COMMON_OPTIONS,
        settings.AddressOption('callers'),
        settings.AddressOption('ready'),
        settings.FloatOption('grace_s', 6.0, low=0.1, high=600),
        settings.FloatOption('health_lead_s', 2.0, low=0, high=600),
    ),
)

CONTROL_SECTIONS = (
    settings.Section(
        'platform',
        *_COMMON_OPTIONS,
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
    """Returns the ``settings.Address`` of the link of each seed, by its name.

    The name of a control replica is its link address as a text.  The port of
    the link is the same on all VMs.
    """
    port = cfg.get('platform', 'link').port
    addresses = [
        settings.Address(seed.host, port)
        for seed in cfg.get('platform', 'seeds')
    ]
    return {str(address): address for address in addresses}


def for_control_daemon(cfg):
    """Returns the settings as ``control.ControlDaemon`` reads them.

    What the platform's settings file does not hold has its default.
    """
    link = cfg.get('platform', 'link')
    values = settings.defaults(control.SECTIONS)
    for key in list(values):
        if key[0] in _SHARED_SECTIONS:
            del values[key]
    control_values = {
        'name': str(link),
        'link': link,
        'data_folder': cfg.get('platform', 'data_folder'),
        'peers': control_peers(cfg),
        'data_centre': cfg.get('platform', 'data_centre'),
        'open_membership': True,
    }
    values.update(
        {('control', key): value for key, value in control_values.items()}
    )
    return cfg.extended(values)
