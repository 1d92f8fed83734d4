"""Settings of the control daemon."""

from fuchsiatrestle.net import tls
from fuchsiatrestle import settings

__all__ = ('SECTIONS',)

SECTIONS = (
    settings.Section(
        'control',
        settings.NameOption('name'),
        settings.AddressOption('link'),
        settings.FolderOption('data_folder'),
        settings.PeerListOption('peers'),
        settings.NameOption('cell', 'main'),
        settings.TextOption('data_centre', ''),
        settings.IntOption('snapshot_entries', 2000, low=10, high=1000000),
        # If on, replicas that ``peers`` does not list may join, and the name
        # of each replica is its link address.
        settings.BoolOption('open_membership', False),
    ),
    # See ``workflows.Timing``.
    settings.Section(
        'workers',
        settings.IntOption('lease_ms', 5900, low=500, high=60000),
        settings.IntOption('longest_lease_ms', 6000, low=500, high=60000),
        settings.IntOption('announce_ms', 1500, low=50, high=60000),
    ),
    # See ``agreement.ReplicaConfig``.
    settings.Section(
        'timing',
        settings.IntOption('heartbeat_ms', 150, low=10, high=1000),
        settings.IntOption('election_min_ms', 600, low=50, high=1500),
        settings.IntOption('election_max_ms', 1200, low=60, high=3000),
    ),
    tls.SECTION,
)
