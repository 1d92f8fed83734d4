"""Settings of the two programs on the platform."""

from fuchsiatrestle.control import program
from fuchsiatrestle.net import http_limits
from fuchsiatrestle import settings

__all__ = (
    'CONTROL_SECTIONS',
    'ENTRY_SECTIONS',
    'make_control_addresses',
    'make_control_daemon_settings',
)

_COMMON_OPTIONS = (
    # Control addresses, which operators and workers call, of some of the
    # control daemons.
    settings.AddressListOption('seeds'),
    # Link address of the process; its text is also the name of the process.
    settings.AddressOption('link'),
    settings.TextOption('data_centre', ''),
)

# Names of the sections of the control daemon that are also part of the
# platform's settings file.
_SHARED_SECTION_NAMES = ('workers', 'workflows', 'timing', 'state')

# Callers and workers may take 3 s for a head, keep an idle connection for 15 s
# and send bodies of 262,144 bytes, so these times are somewhat longer.
_BODY_LIMITS = {'body_bytes': 262144, 'idle_s': 20.0, 'json_values': 32768}
_ENTRY_LIMITS_SECTION = http_limits.make_section(**_BODY_LIMITS)
# Each worker keeps a connection to the leader for its announcements, and the
# leader one to each worker, so the listener must leave descriptors for those.
_CONTROL_LIMITS_SECTION = http_limits.make_section(
    **_BODY_LIMITS, connections=2000
)

ENTRY_SECTIONS = (
    settings.Section(
        'platform',
        *_COMMON_OPTIONS,
        settings.AddressOption('callers'),
        settings.AddressOption('ready'),
        settings.FloatOption('grace_s', 6.0, min_value=0.1, max_value=600),
        settings.FloatOption('health_lead_s', 2.0, min_value=0, max_value=600),
    ),
    _ENTRY_LIMITS_SECTION,
)

CONTROL_SECTIONS = (
    settings.Section(
        'platform',
        *_COMMON_OPTIONS,
        settings.AddressOption('control'),
        settings.FolderOption('data_folder'),
        # All data centres, which are those that may be evacuated.
        settings.NameListOption('data_centres', ()),
        # See the options of the same names of the control daemon.
        settings.BoolOption('may_found', True),
        settings.IntOption('tolerated_losses', 0, min_value=0, max_value=10),
    ),
    _CONTROL_LIMITS_SECTION,
    *(
        section
        for section in program.SECTIONS
        if section.name in _SHARED_SECTION_NAMES
    ),
)


def make_control_addresses(cfg):
    """Returns the link address of each control daemon in ``seeds``, by name.

    The name of a control replica is the text of its link address.  The port
    of the link is the same on all VMs.

    Args:
        cfg: settings of either program.
    """
    link_port = cfg.get('platform', 'link').port
    addresses = [
        settings.Address(seed.host, link_port)
        for seed in cfg.get('platform', 'seeds')
    ]
    return {str(address): address for address in addresses}


def make_control_daemon_settings(cfg):
    """Returns the settings in the form that ``program.ControlDaemon`` reads.

    Options that the platform's settings file does not declare get their
    defaults.

    Args:
        cfg: settings loaded with ``CONTROL_SECTIONS``.
    """
    link_address = cfg.get('platform', 'link')
    value_by_option = settings.get_default_values(program.SECTIONS)
    for key in list(value_by_option):
        if key[0] in _SHARED_SECTION_NAMES:
            del value_by_option[key]
    control_values = {
        'name': str(link_address),
        'link': link_address,
        'data_folder': cfg.get('platform', 'data_folder'),
        'peers': make_control_addresses(cfg),
        'data_centre': cfg.get('platform', 'data_centre'),
        'data_centres': cfg.get('platform', 'data_centres'),
        'open_membership': True,
        'may_found': cfg.get('platform', 'may_found'),
        'tolerated_losses': cfg.get('platform', 'tolerated_losses'),
    }
    value_by_option.update(
        {('control', key): value for key, value in control_values.items()}
    )
    return cfg.with_values(value_by_option)
