"""Time without a ready leader after the old one is lost.

The replicas run in virtual time with ticks of 50 ms, the daemon's own
timings and messages that take no time; each trial has a seed and a moment of
its own.  The configuration lease is 2 s::

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
LIMIT_MS = 30_000


def _cut(group, name):
    for other in group.names:
        group.cut_links |= {(name, other), (other, name)}


LOSSES = {
    'kill': lambda group, name: group.kill(name),
    'freeze': lambda group, name: group.freeze(name),
    'cut': _cut,
    'hand-over': lambda group, name: group.hand_over(name),
}


def _trial(names, seed, lose):
    group = cluster.Cluster(names, seed, agreement.ReplicaConfig())
    group.run(5_000 + 50 * (seed % 7))
    old = group.leader
    started_ms = group.now_ms
    lose(group, old)
    group.settle()
    found = group.run_until(lambda: group.leader not in ('', old), LIMIT_MS)
    if not found:
        raise TimeoutError(f'no leader with seed {seed}')
    return group.now_ms - started_ms


def main(argv):
    """Prints the distribution for each kind of loss."""
    names = tuple(f'c{number + 1}' for number in range(FLAGS.replicas))
    for kind, lose in LOSSES.items():
        spans = sorted(
            _trial(names, seed, lose) for seed in range(FLAGS.trials)
        )
        beyond = sum(span > LEASE_MS for span in spans)
        print(
            f'replicas={len(names)} {kind}: min={spans[0]} '
            f'median={statistics.median(spans):.0f} '
            f'p99={spans[len(spans) * 99 // 100]} max={spans[-1]} ms, '
            f'{beyond} of {len(spans)} beyond {LEASE_MS} ms',
            flush=True,
        )


if __name__ == '__main__':
    app.run(main)
