"""Time without a ready leader after the previous leader is lost.

The replicas run in virtual time with ticks of 50 ms, the timings of the
daemon and messages without delay.  Each trial has its own seed, which also
decides at which tick the leader is lost.  Times are compared with the
configuration lease of 2 s::

    python -m benchmarks.agreement_failover --replicas 3 --trials 300
"""

import statistics

from absl import app
from absl import flags

from fuchsiatrestle import agreement
from tests.agreement import cluster

FLAGS = flags.FLAGS

flags.DEFINE_integer('replicas', 3, 'Replicas of the group.')
flags.DEFINE_integer('trials', 300, 'Trials of each kind of loss.')

LEASE_MS = 2_000
ELECTION_TIMEOUT_MS = 30_000


def _isolate_replica(group, name):
    for other in group.node_names:
        group.cut_links |= {(name, other), (other, name)}


LEADER_LOSSES = {
    'kill': lambda group, name: group.kill(name),
    'freeze': lambda group, name: group.freeze(name),
    'cut': _isolate_replica,
    'hand-over': lambda group, name: group.transfer_leadership(name),
}


def _measure_failover_ms(names, seed, lose_leader):
    group = cluster.Cluster(names, seed, agreement.ReplicaConfig())
    group.run(5_000 + 50 * (seed % 7))
    old_leader = group.leader
    started_ms = group.now_ms
    lose_leader(group, old_leader)
    group.settle()
    has_new_leader = group.run_until(
        lambda: group.leader not in ('', old_leader), ELECTION_TIMEOUT_MS
    )
    if not has_new_leader:
        raise TimeoutError(
            f'expected a new leader in time, found none with seed {seed}'
        )
    return group.now_ms - started_ms


def main(argv):
    """Prints the distribution of times for each kind of loss."""
    names = tuple(f'c{number + 1}' for number in range(FLAGS.replicas))
    for kind, lose_leader in LEADER_LOSSES.items():
        failover_times_ms = sorted(
            _measure_failover_ms(names, seed, lose_leader)
            for seed in range(FLAGS.trials)
        )
        late_count = sum(time_ms > LEASE_MS for time_ms in failover_times_ms)
        print(
            f'replicas={len(names)} {kind}: min={failover_times_ms[0]} '
            f'median={statistics.median(failover_times_ms):.0f} '
            f'p99={failover_times_ms[len(failover_times_ms) * 99 // 100]} '
            f'max={failover_times_ms[-1]} ms, '
            f'{late_count} of {len(failover_times_ms)} beyond {LEASE_MS} ms',
            flush=True,
        )


if __name__ == '__main__':
    app.run(main)
