"""Runs the scheduler under many random fault sequences.

Start it with ``python -m tests.scheduling.soak --seed 1 --runs 9``.  Each run
draws its actions from its own seed.  If a run fails, its seed is printed, with
which the failure can be reproduced.
"""

import argparse
import collections
import logging
import sys

from fuchsiatrestle import errors
from tests.scheduling import _faults


def main():
    """Runs all seeds; returns exit status 1 if any run failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--runs', type=int, default=500)
    parser.add_argument('--steps', type=int, default=400)
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    counts = collections.Counter()
    for seed in range(options.seed, options.seed + options.runs):
        try:
            cell = _faults.run_random_actions(seed, options.steps)
        except (AssertionError, errors.Error) as exc:
            print(f'seed {seed}: {type(exc).__name__}: {exc}')
            counts['breaches'] += 1
            continue
        counts['attempts'] += len(cell.ledger)
        counts.update(cell.part.counts_by_state())
    print(
        f'{options.runs} runs, '
        + ', '.join(
            f'{count} {name}' for name, count in sorted(counts.items())
        )
    )
    return 1 if counts['breaches'] else 0


if __name__ == '__main__':
    sys.exit(main())
