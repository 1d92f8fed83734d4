"""Long randomised run of the replicated log under faults.

Each round starts a group of three or five replicas on disks in memory and
applies random actions: messages are lost, duplicated, delayed and reordered;
links are cut; replicas are killed, frozen, or crash at a file operation;
disks fill up, fail or are erased; leadership is transferred, voters change
and logs are compacted.  Every step checks the invariants; from time to time
all faults end and the group must recover::

    python -m benchmarks.agreement_soak --seed 1 --steps 4000 --rounds 100
"""

import logging
import random
import time
import traceback

from absl import app
from absl import flags

from fuchsiatrestle import errors
from tests.agreement import chaos
from tests.agreement import cluster

FLAGS = flags.FLAGS

flags.DEFINE_integer('seed', 1, 'Seed of the first round.')
flags.DEFINE_integer('steps', 4_000, 'Random actions in a round.')
flags.DEFINE_integer('rounds', 100, 'Rounds; each has the next seed.')

NAMES = ('c1', 'c2', 'c3', 'c4', 'c5')
FAILURE_TYPES = (cluster.ClusterInvariantBreach, errors.Error)


def _run_round(seed, steps):
    names = NAMES[: 3 if seed % 2 else 5]
    started_s = time.monotonic()
    group = chaos.run(names, seed, steps, random.Random(seed))
    print(
        f'seed={seed} replicas={len(names)} steps={steps} '
        f'acknowledged={len(group.acknowledged_index_by_token)} '
        f'committed={len(group.committed_entry_by_index)} '
        f'terms={len(group.leader_identity_by_term)} '
        f'disks_lost={len(group.lost_identities)} '
        f'seconds={time.monotonic() - started_s:.1f}',
        flush=True,
    )


def main(argv):
    """Runs the rounds; returns exit status 1 if one broke an invariant."""
    logging.disable(logging.CRITICAL)
    failed_seeds = []
    for seed in range(FLAGS.seed, FLAGS.seed + FLAGS.rounds):
        try:
            _run_round(seed, FLAGS.steps)
        except FAILURE_TYPES:
            traceback.print_exc()
            print(f'seed={seed} FAILED', flush=True)
            failed_seeds.append(seed)
    print(
        f'{FLAGS.rounds - len(failed_seeds)} rounds passed, '
        f'failed: {failed_seeds}'
    )
    return 1 if failed_seeds else 0


if __name__ == '__main__':
    app.run(main)
