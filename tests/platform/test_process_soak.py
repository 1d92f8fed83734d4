"""A short run of the platform's fault soak, and the seeds that once failed."""

import tempfile
import unittest

import curio

from tests.platform import soak

SECONDS = 6
# Seeds that broke a promise once, with the cause.
FAILED_SEEDS = (
    # Runs on a silenced worker counted as going on after their lease.
    31,
)


class _Crashing(soak.Soak):
    """A soak whose faults can not be brought about."""

    async def _signal_entry(self, draws, end_s):
        raise OSError('no such process')


class SoakTest(unittest.TestCase):
    def test_lane_that_crashes_fails_the_run(self):
        with tempfile.TemporaryDirectory() as folder:
            played = _Crashing(1, folder, SECONDS)
            curio.run(played.run)
        self.assertEqual(1, len(played.breaches), played.breaches)
        self.assertIn('no such process', played.breaches[0])

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
