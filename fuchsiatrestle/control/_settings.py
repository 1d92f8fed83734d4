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
        # All data centres, which are those that may be evacuated.
        settings.NameListOption('data_centres', ()),
        settings.IntOption(
            'snapshot_entries', 2000, min_value=10, max_value=1000000
        ),
        # If on, replicas that ``peers`` does not list may join, and the name
        # of each replica is its link address.
        settings.BoolOption('open_membership', False),
        # Off for a replica that came after the group was founded.  Read only
        # when the data folder is empty.
        settings.BoolOption('may_found', True),
        # Number of voters whose loss at the same time the group has to bear;
        # 0 if not known.  Used with ``open_membership`` only.
        settings.IntOption('tolerated_losses', 0, min_value=0, max_value=10),
    ),
    # See ``workflows.Timing``.
    settings.Section(
        'workers',
        settings.IntOption('lease_ms', 5900, min_value=500, max_value=60000),
        settings.IntOption(
            'longest_lease_ms', 6000, min_value=500, max_value=60000
        ),
        settings.IntOption('announce_ms', 1500, min_value=50, max_value=60000),
    ),
    # Limits on the memory of a replica.
    settings.Section(
        'state',
        # Log entries in memory after which a snapshot is taken.
        settings.IntOption(
            'log_bytes', 16777216, min_value=1048576, max_value=1 << 30
        ),
        # Memory of workflows that take more than 64 KiB each, together;
        # further ones are refused.
        settings.IntOption(
            'large_workflow_bytes',
            100663296,
            min_value=1048576,
            max_value=1 << 40,
        ),
        # Memory of the other workflows that are open, together; further ones
        # are refused.
        settings.IntOption(
            'small_workflow_bytes',
            67108864,
            min_value=1048576,
            max_value=1 << 40,
        ),
    ),
    # See ``workflows.Features``.
    settings.Section(
        'workflows',
        settings.IntOption('evacuation_ms', 0, min_value=0, max_value=600000),
        settings.BoolOption('refuse_overload', False),
        settings.BoolOption('learn_run_times', False),
        settings.BoolOption('copy_stragglers', False),
        settings.BoolOption('balance_sizes', False),
    ),
    # See ``agreement.ReplicaConfig``.
    settings.Section(
        'timing',
        settings.IntOption('heartbeat_ms', 150, min_value=10, max_value=1000),
        settings.IntOption(
            'election_min_ms', 600, min_value=50, max_value=1500
        ),
        settings.IntOption(
            'election_max_ms', 1200, min_value=60, max_value=3000
        ),
        # Used with ``open_membership`` only.
        settings.IntOption(
            'replaced_voter_ms', 1500, min_value=100, max_value=60000
        ),
        settings.IntOption(
            'lost_voter_ms', 10000, min_value=500, max_value=3600000
        ),
    ),
    tls.SECTION,
)
