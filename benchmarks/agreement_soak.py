"""Long randomised run of the replicated log under faults.

Each round founds a group of three or five replicas on disks in memory, then
loses, doubles, delays and reorders messages, cuts, kills, freezes, crashes
at each file operation, fills, fails and erases disks, hands over, changes
voters and compacts.  Every step checks the invariants; now and then all
faults end and the group must be whole again::

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
flags.DEFINE_integer('steps', 4_000, 'Random acts in a round.')
flags.DEFINE_integer('rounds', 100, 'Rounds; each has the next seed.')

NAMES = ('c1', 'c2', 'c3', 'c4', 'c5')
BREACHES = (cluster.Breach, errors.Error)


def _run_round(seed, steps):
    names = NAMES[: 3 if seed % 2 else 5]
    started = time.monotonic()
    group = chaos.run(names, seed, steps, random.Random(seed))
    print(
        f'seed={seed} replicas={len(names)} steps={steps} '
        f'acknowledged={len(group.acknowledged)} '
        f'committed={len(group.committed)} terms={len(group.leaders)} '
        f'disks_lost={len(group.lost_identities)} '
        f'seconds={time.monotonic() - started:.1f}',
        flush=True,
    )


def main(argv):
    """Runs the rounds; exit status 1 if one found a breach."""
    logging.disable(logging.CRITICAL)
    failed = []
    for seed in range(FLAGS.seed, FLAGS.seed + FLAGS.rounds):
        try:
            _run_round(seed, FLAGS.steps)
        except BREACHES:
            traceback.print_exc()
            print(f'seed={seed} FAILED', flush=True)
            failed.append(seed)
    print(f'{FLAGS.rounds - len(failed)} rounds passed, failed: {failed}')
    return 1 if failed else 0


if __name__ == '__main__':
    app.run(main)
