"""Checks how best-effort runs share the processor time of a worker."""

import unittest

from fuchsiatrestle.state import workflows
from fuchsiatrestle.workflows import _clock
from fuchsiatrestle.workflows import _fleet
from fuchsiatrestle.workflows import _interference
from fuchsiatrestle.workflows import _pacing
from fuchsiatrestle.workflows import _runs

WORKER_CPU = 10_000
FULL_PACE_PERCENT = 100


def _make_worker():
    record = workflows.WorkerRecord(
        'w', 1, 'w:1', 'pool', 'dc', WORKER_CPU, 100_000, 0, []
    )
    return _fleet.Worker(record, _clock.LeaseClock(5000))


def _add_run(worker, name, cpu, *, shares_cpu=False):
    live_run = workflows.LiveRun(workflows.TaskId(name, 0, 0, 0), 1, 'w', 1)
    step = workflows.Step(1, cpu=cpu, memory_mb=10, image='f', fills=True)
    run = _runs.Run(live_run, step, _runs.Phase.RUNNING)
    run.record_start(0, None)
    if shares_cpu:
        run.share_cpu()
    worker.add_run(run)
    return run


class CpuSharingTest(unittest.TestCase):
    def setUp(self):
        self.worker = _make_worker()
        self.busy_run = _add_run(self.worker, 'busy', 8000)
        self.sharing_run = _add_run(
            self.worker, 'shares', 3000, shares_cpu=True
        )

    def test_run_that_shares_runs_slowly_until_another_one_ends(self):
        self.worker.update_cpu_sharing(1000)
        self.assertEqual(
            _runs.SHARED_PACE_PERCENT, self.sharing_run.wanted_pace_percent
        )
        self.worker.remove_run(self.busy_run.key)
        self.worker.update_cpu_sharing(2000)
        self.assertFalse(self.sharing_run.shares_cpu)
        self.assertEqual(
            FULL_PACE_PERCENT, self.sharing_run.wanted_pace_percent
        )
        self.assertEqual(7000, self.worker.capacity.unused_cpu)

    def test_new_runs_do_not_keep_a_run_sharing_for_good(self):
        self.assertEqual(2000, self.worker.capacity.unused_cpu)
        self.worker.update_cpu_sharing(_runs.MAX_SHARED_MS)
        self.assertTrue(self.sharing_run.claims_cpu)
        self.assertEqual(-1000, self.worker.capacity.unused_cpu)

    def test_runs_claim_cpu_one_at_a_time(self):
        other_run = _add_run(self.worker, 'other', 3000, shares_cpu=True)
        for _ in range(2):
            self.worker.update_cpu_sharing(_runs.MAX_SHARED_MS)
        self.assertTrue(self.sharing_run.claims_cpu)
        self.assertFalse(other_run.claims_cpu)

    def test_claim_ends_when_too_little_is_left_for_it(self):
        self.worker.update_cpu_sharing(_runs.MAX_SHARED_MS)
        self.assertTrue(self.sharing_run.claims_cpu)
        live_run = workflows.LiveRun(workflows.TaskId('l', 0, 0, 0), 1, 'w', 1)
        step = workflows.Step(1, cpu=8000, memory_mb=10, lasts=True)
        self.worker.add_run(_runs.Run(live_run, step, _runs.Phase.RUNNING))
        self.worker.update_cpu_sharing(2 * _runs.MAX_SHARED_MS)
        self.assertFalse(self.sharing_run.claims_cpu)

    def test_next_leader_does_not_let_all_runs_run_at_full_pace(self):
        worker = _make_worker()
        runs = [_add_run(worker, f'{name}', 4000) for name in range(4)]
        worker.adopt_cpu_sharing()
        self.assertEqual(2, sum(run.shares_cpu for run in runs))
        self.assertEqual(2000, worker.capacity.unused_cpu)

    def test_runs_that_share_are_halted_before_others(self):
        self._check_paces_beside_tail(140, (FULL_PACE_PERCENT, 0), 0)

    def test_others_are_slowed_if_tail_is_a_little_too_high(self):
        self._check_paces_beside_tail(120, (FULL_PACE_PERCENT, 0), 50)

    def _check_paces_beside_tail(self, tail_ms, first_paces, busy_pace):
        model = _interference.InterferenceModel()
        control = _pacing.PaceControl(model)
        step = workflows.Step(
            1, cpu=1, lasts=True, image='s', tail_target_ms=100
        )
        live_run = workflows.LiveRun(workflows.TaskId('s', 0, 0, 0), 1, 'w', 1)
        serving_run = _runs.Run(live_run, step, _runs.Phase.RUNNING)
        serving_run.measurement = tail_ms
        runs = [serving_run, self.busy_run, self.sharing_run]
        model.adopt_image_pairs([workflows.ImagePair('s', 'f', False)])
        control.decide_paces(runs, WORKER_CPU, 1000)
        paces = (
            self.busy_run.wanted_pace_percent,
            self.sharing_run.wanted_pace_percent,
        )
        self.assertEqual(first_paces, paces)
        # A tail shows the first change only once it has settled.
        control.decide_paces(runs, WORKER_CPU, 1000 + _pacing.SETTLE_MS)
        self.assertEqual(busy_pace, self.busy_run.wanted_pace_percent)

    def test_calm_tail_does_not_end_sharing(self):
        control = _pacing.PaceControl(_interference.InterferenceModel())
        control.decide_paces(list(self.worker.runs.values()), WORKER_CPU, 1000)
        self.assertEqual(
            _runs.SHARED_PACE_PERCENT, self.sharing_run.wanted_pace_percent
        )

    def test_halted_run_stays_halted_when_its_sharing_ends(self):
        self.sharing_run.want_halt(500)
        self.worker.remove_run(self.busy_run.key)
        self.worker.update_cpu_sharing(1000)
        self.assertFalse(self.sharing_run.shares_cpu)
        self.assertEqual(0, self.sharing_run.wanted_pace_percent)


if __name__ == '__main__':
    unittest.main()
