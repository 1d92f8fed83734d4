"""A short run of the platform's fault soak, and the seeds that once failed."""

import unittest

from tests.platform import soak

SECONDS = 6
# Seeds that broke a promise once, with the cause.
FAILED_SEEDS = (
    # Runs on a silenced worker counted as going on after their lease.
    31,
)


class SoakTest(unittest.TestCase):
    def _play(self, seed):
        played = soak.run_seed(seed, SECONDS)
        self.assertEqual([], played.breaches)
        self.assertTrue(played.faults)

    def test_short_run(self):
        self._play(1)

    def test_seeds_that_failed(self):
        for seed in FAILED_SEEDS:
            with self.subTest(seed=seed):
                self._play(seed)


if __name__ == '__main__':
    unittest.main()
