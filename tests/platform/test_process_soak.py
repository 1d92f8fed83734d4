"""Short runs of the platform's fault soak, also with seeds that once failed.

They guard against breaches of what callers, the operator and workers were
promised, and against a soak that passes although one of its tasks crashed.
"""

import tempfile
import unittest

import curio

from tests.platform import soak

SECONDS = 6
# Seeds that once had a breach, with its cause.
FAILED_SEEDS = (
    # Runs on a worker whose connections went silent counted as running after
    # their lease had expired.
    31,
)


class _CrashingSoak(soak.Soak):
    """A soak in which the task that disturbs the entry crashes."""

    async def _signal_entry(self, rng, end_s):
        raise OSError('no such process')


class SoakTest(unittest.TestCase):
    def test_task_that_crashes_fails_the_run(self):
        with tempfile.TemporaryDirectory() as folder:
            finished_soak = _CrashingSoak(1, folder, SECONDS)
            curio.run(finished_soak.run)
        self.assertEqual(
            1, len(finished_soak.breaches), finished_soak.breaches
        )
        self.assertIn('no such process', finished_soak.breaches[0])

    def _check_seed(self, seed):
        finished_soak = soak.run_seed(seed, SECONDS)
        self.assertEqual(
            [], finished_soak.breaches, '\n'.join(finished_soak.log_lines)
        )
        self.assertTrue(finished_soak.faults)

    def test_short_run(self):
        self._check_seed(1)

    def test_seeds_that_failed(self):
        for seed in FAILED_SEEDS:
            with self.subTest(seed=seed):
                self._check_seed(seed)


if __name__ == '__main__':
    unittest.main()
