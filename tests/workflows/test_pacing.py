"""Paces of best-effort runs beside serving tasks near their target.

Guards against work that is thrown away or stands still for no gain: runs that
are halted where a lower pace suffices, stopped where they disturb nothing,
kept halted although they could go on elsewhere, or added where they would be
slowed at once.
"""

import unittest
from unittest import mock

from fuchsiatrestle.state import workflows
from fuchsiatrestle.workflows import _clock
from fuchsiatrestle.workflows import _fleet
from fuchsiatrestle.workflows import _groups
from fuchsiatrestle.workflows import _interference
from fuchsiatrestle.workflows import _pacing
from fuchsiatrestle.workflows import _placement
from fuchsiatrestle.workflows import _runs

WORKER_CPU = 10_000
POLL_INTERVAL_MS = 500
TARGET_MS = 100
SERVING_STEP = workflows.Step(
    1, cpu=4000, lasts=True, image='s', tail_target_ms=TARGET_MS
)


def _make_worker(name='w'):
    record = workflows.WorkerRecord(
        name, 1, f'{name}:1', 'pool', 'dc', WORKER_CPU, 1000, 0, ['a', 'r']
    )
    return _fleet.Worker(record, _clock.LeaseClock(5000))


def _add_run(worker, workflow_id, step):
    task_id = workflows.TaskId(workflow_id, 0, 0, 0)
    live_run = workflows.LiveRun(task_id, 1, worker.name, 1)
    run = _runs.Run(live_run, step, _runs.Phase.RUNNING)
    run.started_ms = -10_000
    worker.add_run(run)
    return run


class PaceTest(unittest.TestCase):
    def setUp(self):
        self.model = _interference.InterferenceModel()
        self.worker = _make_worker()
        self.worker.pace_control = _pacing.PaceControl(self.model, 'w')
        self.serving_run = _add_run(self.worker, 's', SERVING_STEP)
        self.now_ms = 0

    def _add_best_effort_run(self, *, checkpoints=True, heavy=False):
        step = workflows.Step(
            1, cpu=2000, image='f', fills=True, checkpoints=checkpoints
        )
        pair = workflows.ImagePair('s', 'f', heavy)
        self.model.adopt_image_pairs([pair])
        return _add_run(self.worker, f'f-{checkpoints}', step)

    def _poll(self, tail_ratio):
        """Reports a tail; returns the runs to be stopped."""
        self.now_ms += POLL_INTERVAL_MS
        self.serving_run.measurement = tail_ratio * TARGET_MS
        runs = list(self.worker.runs.values())
        stopped_runs = self.worker.pace_control.decide_paces(
            runs, WORKER_CPU, self.now_ms
        )
        for run in runs:
            run.pace_percent = run.wanted_pace_percent
        return stopped_runs

    def test_tail_near_target_is_held_by_a_lower_pace_not_by_halts(self):
        run = self._add_best_effort_run()
        paces = []
        tail_ratio = 0.6
        for _ in range(60):
            self.assertEqual([], self._poll(tail_ratio))
            paces.append(run.pace_percent)
            tail_ratio = 0.6 + 0.5 * run.pace_percent / 100
        late_paces = paces[10:]
        self.assertNotIn(0, late_paces)
        self.assertGreaterEqual(sum(late_paces) / len(late_paces), 50)
        # At this pace the tail is at its target.
        above_target = [pace for pace in late_paces if pace > 80]
        self.assertLess(len(above_target), len(late_paces) / 3)

    def test_tail_far_over_target_halts_all_runs_at_once(self):
        run = self._add_best_effort_run()
        self._poll(0.5)
        self._poll(2.0)
        self.assertEqual(0, run.pace_percent)

    def test_lowest_pace_that_does_not_help_becomes_a_halt(self):
        run = self._add_best_effort_run()
        for _ in range(8):
            self._poll(1.15)
        self.assertEqual(0, run.pace_percent)

    def test_run_held_heavy_goes_on_where_tail_is_calm(self):
        run = self._add_best_effort_run(heavy=True)
        self.assertEqual([], self._poll(0.5))
        self.assertEqual(100, run.pace_percent)
        self._poll(0.9)
        self.assertIn(run, self._poll(0.9))

    def test_halted_task_that_saves_its_progress_moves_sooner(self):
        saved_run = self._add_best_effort_run(checkpoints=True)
        unsaved_run = self._add_best_effort_run(checkpoints=False)
        stop_ms_by_run = {}
        for _ in range(7):
            for run in self._poll(2.0):
                stop_ms_by_run.setdefault(run, self.now_ms)
        halted_ms = POLL_INTERVAL_MS
        self.assertEqual(
            {
                saved_run: halted_ms + _pacing.MAX_SAVED_HALT_MS,
                unsaved_run: halted_ms + _pacing.MAX_HALT_MS,
            },
            stop_ms_by_run,
        )

    def _add_unclassified_run(self):
        step = workflows.Step(1, cpu=1000, image='u', fills=True)
        return _add_run(self.worker, 'u', step)

    def test_others_are_slowed_while_halted_suspects_do_not_help(self):
        """The serving task must not wait until the suspects are stopped."""
        for tail_ratio, max_pace_percent in ((1.5, 0), (1.05, 75)):
            with self.subTest(tail_ratio=tail_ratio):
                self.setUp()
                run = self._add_best_effort_run(checkpoints=False)
                suspect_run = self._add_unclassified_run()
                self._poll(tail_ratio)
                self.assertEqual(0, suspect_run.pace_percent)
                self.assertEqual(100, run.pace_percent)
                for _ in range(2):
                    self._poll(tail_ratio)
                self.assertLessEqual(run.pace_percent, max_pace_percent)

    def test_tail_does_not_stay_slightly_over_target(self):
        """The lowest pace may leave the tail over its target for ever."""
        run = self._add_best_effort_run()
        for _ in range(6):
            self._poll(1.05)
        self.assertEqual(0, run.pace_percent)

    def test_halt_is_over_once_the_halted_runs_are_gone(self):
        """The others must not stay slow at a tail between the limits."""
        run = self._add_best_effort_run()
        suspect_run = self._add_unclassified_run()
        self._poll(0.9)
        self.assertEqual(0, suspect_run.pace_percent)
        self.worker.remove_run(suspect_run.key)
        for _ in range(2):
            self._poll(1.0)
        self.assertLess(run.pace_percent, 100)
        for _ in range(10):
            self._poll(0.8)
        self.assertEqual(100, run.pace_percent)
        self.assertTrue(self.worker.may_add_best_effort_run)

    def test_no_run_is_added_where_it_would_be_slowed(self):
        self._add_best_effort_run()
        self._poll(0.9)
        other_worker = _make_worker('other')
        placer = _placement.BestFit(self.model)
        step = workflows.Step(1, cpu=1000, image='f', fills=True)
        workflow = mock.Mock()
        workflow.spec.steps = [step]
        task_ids = [workflows.TaskId('n', 0, 0, 0)]
        group = _groups.Group(workflow, 0, 0, task_ids)
        chosen = placer.choose_workers(group, [self.worker, other_worker])
        self.assertEqual([(task_ids[0], other_worker)], chosen)
        self.assertEqual([], placer.choose_workers(group, [self.worker]))
        self._poll(0.5)
        self.assertTrue(placer.choose_workers(group, [self.worker]))


if __name__ == '__main__':
    unittest.main()
