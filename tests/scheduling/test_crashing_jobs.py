"""Tests that a job does not crash one worker after the other."""

import unittest

from fuchsiatrestle.state import commands
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

    def _crash_workers(self, cell, job_id, count, running_ms):
        """Restarts the worker of each attempt some time after its start."""
        attempt_count = len(cell.ledger)
        for crash in range(1, count + 1):
            worker = self._run_until_started(cell, attempt_count + crash)
            if worker is None:
                return
            cell.advance(running_ms)
            cell.restart(worker)
        cell.advance(RESTART_MS)

    def test_job_that_runs_until_its_workers_restart_is_not_parked(self):
        cell = _cell.Cell(4)
        cell.advance(1000)
        cell.submit(_cell.make_spec('harmless', command='sleep 100000000'))
        self._crash_workers(cell, 'harmless', TOO_MANY_CRASHES, 5000)
        self.assertEqual('running', cell.job_state('harmless'))

    def test_restarts_that_do_not_follow_each_other_park_no_job(self):
        cell = _cell.Cell(4)
        cell.advance(1000)
        cell.submit(_cell.make_spec('harmless', command='sleep 100000000'))
        for _ in range(TOO_MANY_CRASHES):
            self._crash_workers(cell, 'harmless', 2, 0)
            self._crash_workers(cell, 'harmless', 1, 5000)
        self.assertEqual('running', cell.job_state('harmless'))

    def test_job_that_silences_each_worker_that_starts_it_is_parked(self):
        cell = _cell.Cell(12)
        cell.advance(1000)
        cell.submit(_cell.make_spec('deadly', command='sleep 100000000'))
        silent_workers = set()
        for crash in range(1, TOO_MANY_CRASHES + 1):
            worker = self._run_until_started(cell, crash)
            if worker is None:
                break
            silent_workers.add(worker)
            cell.agents.pop(worker)
        cell.advance(RESTART_MS)
        self.assertEqual('parked', cell.job_state('deadly'))
        self.assertLess(len(silent_workers), TOO_MANY_CRASHES)

    def test_parked_job_that_is_queued_again_may_run(self):
        cell = _cell.Cell(4)
        cell.advance(1000)
        cell.submit(_cell.make_spec('mended', command='sleep 100000000'))
        self._crash_workers(cell, 'mended', TOO_MANY_CRASHES, 0)
        self.assertEqual('parked', cell.job_state('mended'))
        cell.apply_command(commands.ResolveJobs(['mended'], 'queued'))
        self._crash_workers(cell, 'mended', 1, 0)
        self.assertEqual('running', cell.job_state('mended'))

    def test_new_leader_counts_on(self):
        cell = _cell.Cell(4)
        cell.advance(1000)
        cell.submit(_cell.make_spec('deadly', command='sleep 100000000'))
        for crash in range(1, TOO_MANY_CRASHES + 1):
            worker = self._run_until_started(cell, crash)
            if worker is None:
                break
            cell.restart(worker)
            cell.elect()
        self.assertEqual('parked', cell.job_state('deadly'))


if __name__ == '__main__':
    unittest.main()
