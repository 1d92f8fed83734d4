"""The proof fails on the core without any one of its mechanisms."""

import random
import unittest

from fuchsiatrestle import errors
from tests.agreement import chaos
from tests.agreement import cluster
from tests.agreement import mutations
from tests.agreement import scenarios

FOUND = (cluster.Breach, errors.InvariantBreach, errors.DataDamaged)
SEEDS = 12
STEPS = 2_000


def _run(finder):
    if finder is not mutations.CHAOS:
        scenarios.SCENARIOS[finder]()
        return
    for seed in range(SEEDS):
        names = ('c1', 'c2', 'c3', 'c4', 'c5')[: 3 if seed % 2 else 5]
        chaos.run(names, seed, STEPS, random.Random(seed))


class MutationTest(unittest.TestCase):
    """Takes away one mechanism at a time."""

    def test_each_mutation_is_found(self):
        for name, mutation in mutations.MUTATIONS.items():
            with self.subTest(mutation=name):
                with mutation, self.assertRaises(FOUND):
                    _run(mutation.finder)

    def test_random_runs_pass_without_mutation(self):
        _run(mutations.CHAOS)


if __name__ == '__main__':
    unittest.main()
