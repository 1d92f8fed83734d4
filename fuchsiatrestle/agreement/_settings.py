"""Timings and bounds of a replica."""

__all__ = ('ReplicaConfig',)


class ReplicaConfig:
    """Timings in milliseconds and bounds; the defaults suit one region.

    Attributes:
        heartbeat_ms: interval of the leader's heartbeats.
        election_min_ms: shortest time without a leader before an election;
            also the time after which a leader without quorum steps down and
            for which a follower refuses other candidates.
        election_max_ms: longest such time.
        hello_ms: interval at which a replica without voters says hello.
        max_append_entries: entries in one append.
        max_append_bytes: size of the entries in one append, in bytes.
        max_inflight: appends on their way to one follower.
        max_uncommitted_bytes: proposals not yet committed, in bytes.
        max_uncommitted: proposals not yet committed.
        max_waiting_reads: reads not yet answered.
        chunk_bytes: size of one chunk of a snapshot, in bytes.
        max_snapshot_bytes: largest snapshot accepted, in bytes.
        kept_entries: entries kept in memory behind a snapshot.
        promote_lag: entries that a learner may lack to be promoted.
        auto_admit: True if the leader admits new identities of the first
            members by itself and lets them replace silent namesakes.
        admit_unlisted: True if it admits others in the same way.
    """

    __slots__ = (
        'admit_unlisted',
        'auto_admit',
        'chunk_bytes',
        'election_max_ms',
        'election_min_ms',
        'heartbeat_ms',
        'hello_ms',
        'kept_entries',
        'max_append_bytes',
        'max_append_entries',
        'max_inflight',
        'max_snapshot_bytes',
        'max_uncommitted',
        'max_uncommitted_bytes',
        'max_waiting_reads',
        'promote_lag',
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
        max_inflight=8,
        max_uncommitted=10_000,
        max_uncommitted_bytes=16 * 1024 * 1024,
        max_waiting_reads=10_000,
        chunk_bytes=128 * 1024,
        max_snapshot_bytes=128 * 1024 * 1024,
        kept_entries=1000,
        promote_lag=0,
        auto_admit=True,
        admit_unlisted=False,
    ):
        self.heartbeat_ms = heartbeat_ms
        self.election_min_ms = election_min_ms
        self.election_max_ms = election_max_ms
        self.hello_ms = hello_ms
        self.max_append_entries = max_append_entries
        self.max_append_bytes = max_append_bytes
        self.max_inflight = max_inflight
        self.max_uncommitted = max_uncommitted
        self.max_uncommitted_bytes = max_uncommitted_bytes
        self.max_waiting_reads = max_waiting_reads
        self.chunk_bytes = chunk_bytes
        self.max_snapshot_bytes = max_snapshot_bytes
        self.kept_entries = kept_entries
        self.promote_lag = promote_lag
        self.auto_admit = auto_admit
        self.admit_unlisted = admit_unlisted
