"""The scenarios and random runs detect each disabled mechanism."""

import random
import unittest

from fuchsiatrestle import errors
from tests.agreement import chaos
from tests.agreement import cluster
from tests.agreement import mutations
from tests.agreement import scenarios

DETECTING_ERRORS = (
    cluster.ClusterInvariantBreach,
    errors.InvariantBreach,
    errors.DataDamaged,
)
SEED_COUNT = 12
STEP_COUNT = 2_000


def _run_finder(finder):
    if finder is not mutations.CHAOS:
        scenarios.SCENARIOS[finder]()
        return
    for seed in range(SEED_COUNT):
        names = ('c1', 'c2', 'c3', 'c4', 'c5')[: 3 if seed % 2 else 5]
        chaos.run(names, seed, STEP_COUNT, random.Random(seed))


class MutationTest(unittest.TestCase):
    """Guards against tests that pass without a mechanism they should test."""

    def test_each_mutation_is_found(self):
        for name, mutation in mutations.MUTATIONS.items():
            with self.subTest(mutation=name):
                with mutation, self.assertRaises(DETECTING_ERRORS):
                    _run_finder(mutation.finder)

    def test_random_runs_pass_without_mutation(self):
        _run_finder(mutations.CHAOS)


if __name__ == '__main__':
    unittest.main()
