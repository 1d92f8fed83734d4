"""Tests that a job does not crash one worker after the other."""

import unittest

from tests.scheduling import _cell

# More crashes than a job may cause before it is parked.
TOO_MANY_CRASHES = 8
# Longest time until an attempt that was lost with its worker starts again.
RESTART_MS = 60_000


class CrashingJobTest(unittest.TestCase):
    def _run_until_started(self, cell, attempt_count):
        """Returns the worker of the newest attempt, None without one."""
        for _ in range(RESTART_MS // 500):
            if len(cell.ledger) >= attempt_count:
                return cell.ledger[-1].worker
            cell.advance(500)
        return None

    def test_job_that_crashes_each_worker_that_starts_it_is_parked(self):
        cell = _cell.Cell(4)
        cell.advance(1000)
        cell.submit(_cell.make_spec('deadly', command='sleep 100000000'))
        for crash in range(1, TOO_MANY_CRASHES + 1):
            worker = self._run_until_started(cell, crash)
            if worker is None:
                break
            cell.restart(worker)
        self.assertEqual('parked', cell.job_state('deadly'))


if __name__ == '__main__':
    unittest.main()
