"""Timings and limits of a replica."""

__all__ = ('ReplicaConfig',)


class ReplicaConfig:
    """Timings and limits; the defaults suit replicas in one region.

    Attributes:
        heartbeat_ms: interval of the leader's heartbeats, in milliseconds.
        election_min_ms: shortest election timeout, in milliseconds; also the
            time after which a leader without a quorum steps down, and for
            which a follower that heard its leader ignores candidates.
        election_max_ms: longest election timeout, in milliseconds.
        hello_ms: interval at which a replica that is no member sends hellos,
            in milliseconds.
        max_append_entries: limit of entries in one append.
        max_append_bytes: limit of the entries' data in one append, in bytes.
        max_inflight_appends: limit of unanswered appends to one follower.
        max_uncommitted_bytes: limit of proposals not yet committed, in
            bytes.
        max_uncommitted_entries: limit of the number of proposals not yet
            committed and of entries not yet durable on the leader's disk.
        max_waiting_reads: limit of reads not yet confirmed.
        snapshot_chunk_bytes: size of one snapshot chunk, in bytes.
        max_snapshot_bytes: limit of an encoded snapshot that is received, in
            bytes.
        max_kept_bytes: limit of the size of these entries, in bytes.
        max_kept_entries: number of entries before a snapshot's last index that
            stay in memory, for followers that lag a little.
        max_promote_lag_entries: number of committed entries that a learner
            may lack when it is promoted.
        auto_admit: True if the leader adds new identities of the initial
            members by itself and removes members of the same name that are
            not alive.
        auto_admit_unlisted: True if ``auto_admit`` applies to all other names
            as well; members that are gone are then removed, too.
        replaced_voter_ms: time for which a voter has to be silent before a
            newcomer takes its place, in milliseconds.
        lost_voter_ms: the same without a newcomer, if the group is better off
            without the voter; also for learners.
        tolerated_losses: number of voters whose loss at the same time the
            group has to bear, 0 if not known.
    """

    __slots__ = (
        'auto_admit',
        'auto_admit_unlisted',
        'election_max_ms',
        'election_min_ms',
        'heartbeat_ms',
        'hello_ms',
        'lost_voter_ms',
        'max_append_bytes',
        'max_append_entries',
        'max_inflight_appends',
        'max_kept_bytes',
        'max_kept_entries',
        'max_promote_lag_entries',
        'max_snapshot_bytes',
        'max_uncommitted_bytes',
        'max_uncommitted_entries',
        'max_waiting_reads',
        'replaced_voter_ms',
        'snapshot_chunk_bytes',
        'tolerated_losses',
    )

    def __init__(
        self,
        *,
        heartbeat_ms=150,
        election_min_ms=600,
        election_max_ms=1200,
        hello_ms=300,
        max_append_entries=256,
        max_append_bytes=256 * 1024,
        max_inflight_appends=8,
        max_uncommitted_entries=10_000,
        max_uncommitted_bytes=16 * 1024 * 1024,
        max_waiting_reads=10_000,
        snapshot_chunk_bytes=128 * 1024,
        max_snapshot_bytes=128 * 1024 * 1024,
        max_kept_entries=1000,
        max_kept_bytes=16 * 1024 * 1024,
        max_promote_lag_entries=0,
        auto_admit=True,
        auto_admit_unlisted=False,
        replaced_voter_ms=1500,
        lost_voter_ms=10_000,
        tolerated_losses=0,
    ):
        self.heartbeat_ms = heartbeat_ms
        self.election_min_ms = election_min_ms
        self.election_max_ms = election_max_ms
        self.hello_ms = hello_ms
        self.max_append_entries = max_append_entries
        self.max_append_bytes = max_append_bytes
        self.max_inflight_appends = max_inflight_appends
        self.max_uncommitted_entries = max_uncommitted_entries
        self.max_uncommitted_bytes = max_uncommitted_bytes
        self.max_waiting_reads = max_waiting_reads
        self.snapshot_chunk_bytes = snapshot_chunk_bytes
        self.max_snapshot_bytes = max_snapshot_bytes
        self.max_kept_entries = max_kept_entries
        self.max_kept_bytes = max_kept_bytes
        self.max_promote_lag_entries = max_promote_lag_entries
        self.auto_admit = auto_admit
        self.auto_admit_unlisted = auto_admit_unlisted
        self.replaced_voter_ms = replaced_voter_ms
        self.lost_voter_ms = lost_voter_ms
        self.tolerated_losses = tolerated_losses
