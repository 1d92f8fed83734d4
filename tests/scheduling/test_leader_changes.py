"""Tests that a series of leaders keeps no bound from being reached."""

import unittest
from unittest import mock

from fuchsiatrestle.scheduling import _holds
from standins import _worker_agent
from tests.scheduling import _cell

# Time for which each of the leaders leads.
LEADER_MS = 2_000


def _advance_with_changes(cell, duration_ms, silent_workers=()):
    """Advances a cell whose leader changes again and again."""
    for _ in range(duration_ms // LEADER_MS):
        cell.elect()
        cell.advance(LEADER_MS, silent_workers=silent_workers)


class EvictionTest(unittest.TestCase):
    # Guards against a wait for a checkpoint that begins with each leader.
    @mock.patch.object(_worker_agent.WorkerAgent, '_force_checkpoint')
    def test_attempt_without_checkpoints_ends_though_leaders_change(self, _):
        cell = _cell.Cell(1, checkpoint_ms=100_000_000)
        cell.advance(1000)
        cell.submit(
            _cell.make_spec('evictable', 4000, command='sleep 100000000')
        )
        cell.advance(2000)
        cell.submit(_cell.make_spec('now', 4000, urgent=True))
        cell.advance(200, step_ms=100)
        self.assertEqual('evicting', cell.job_state('evictable'))
        _advance_with_changes(cell, 2 * cell.policy.evict_patience_ms)
        self.assertIn('now', [line.job_id for line in cell.ledger])


class HoldTest(unittest.TestCase):
    # Guards against a wait for room that begins with each leader.
    def test_worker_is_held_for_a_large_job_though_leaders_change(self):
        cell = _cell.Cell(1)
        cell.advance(1000)
        for second in range(2 * _holds.WAIT_BEFORE_HOLD_MS // 1000):
            if second % 30 == 0:
                cell.elect()
            cell.submit(
                *(
                    _cell.make_spec(
                        f's{second}-{n}', priority=0, command='sleep 3000'
                    )
                    for n in range(4)
                )
            )
            if second == 5:
                cell.submit(
                    _cell.make_spec(
                        'large', 4000, priority=1, submitted_ms=cell.now_ms
                    )
                )
            cell.advance(1000, step_ms=1000)
        self.assertIn('large', [line.job_id for line in cell.ledger])


class LeaseTest(unittest.TestCase):
    # Guards against a lease that each leader assumes to begin with it.
    def test_job_on_a_silent_worker_runs_elsewhere_though_leaders_change(self):
        cell = _cell.Cell(2)
        cell.advance(1000)
        cell.submit(_cell.make_spec('job', command='sleep 100000000'))
        cell.advance(2000)
        lease_ms = cell.policy.lease_ms + cell.policy.lease_margin_ms
        _advance_with_changes(cell, 3 * lease_ms, [cell.ledger[0].worker])
        self.assertEqual(2, len(cell.ledger))


if __name__ == '__main__':
    unittest.main()
