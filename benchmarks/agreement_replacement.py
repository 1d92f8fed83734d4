"""Long randomised runs in which control replicas are replaced.

Each run starts a group on disks in memory and replaces replicas, planned and
unplanned, mixed with crashes, pauses, cuts, lost disks and lost power; see
``tests.agreement.replacement_runs``::

    python -m benchmarks.agreement_replacement --seed 0 --runs 10000
"""

import logging

from absl import app
from absl import flags

from fuchsiatrestle import errors
from tests.agreement import cluster
from tests.agreement import replacement_runs

FLAGS = flags.FLAGS

flags.DEFINE_integer('seed', 0, 'Seed of the first run.')
flags.DEFINE_integer('runs', 1000, 'Runs; each has the next seed.')

PROGRESS_RUNS = 100
FAILURE_TYPES = (cluster.ClusterInvariantBreach, errors.Error)


def main(argv):
    """Carries out the runs; returns exit status 1 if one had a breach."""
    logging.disable(logging.CRITICAL)
    failed_seeds = []
    for count in range(1, FLAGS.runs + 1):
        seed = FLAGS.seed + count - 1
        try:
            replacement_runs.ReplacementRun(seed).run()
        except FAILURE_TYPES as exc:
            print(f'seed={seed} FAILED: {exc}', flush=True)
            failed_seeds.append(seed)
        if count % PROGRESS_RUNS == 0:
            print(f'{count} runs, {len(failed_seeds)} failed', flush=True)
    return 1 if failed_seeds else 0


if __name__ == '__main__':
    app.run(main)
