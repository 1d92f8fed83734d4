"""Checks which runs with a limited pace are stopped to move."""

import unittest
from unittest import mock

from fuchsiatrestle.state import workflows
from fuchsiatrestle.workflows import _clock
from fuchsiatrestle.workflows import _fleet
from fuchsiatrestle.workflows import _groups
from fuchsiatrestle.workflows import _interference
from fuchsiatrestle.workflows import _limited_runs
from fuchsiatrestle.workflows import _pacing
from fuchsiatrestle.workflows import _runs
from fuchsiatrestle.workflows import _waiting

WORKER_CPU = 10_000


class _DispatchState:
    """Stand-in for ``DispatchState`` that lists the stopped runs."""

    def __init__(self):
        self.now_ms = 0
        self.stopped_runs = []

    def stop_run(self, run, reason):
        """Records a stopped run."""
        self.stopped_runs.append(run)


class _Round:
    """Stand-in for ``PlacementRound``.

    Args:
        usable_workers: list of ``Worker``.
        waiting_groups: list of ``Group``.
    """

    is_mostly_free = False

    def __init__(self, usable_workers, waiting_groups=()):
        self.usable_workers = usable_workers
        self.waiting_groups = waiting_groups

    def workers_for(self, step, *, ignores_reservations):
        """Returns all workers."""
        return self.usable_workers


class _WaitTimes:
    """Stand-in for ``WaitTimes``: each group waits for its own time."""

    def longest_wait_ms(self, group, now_ms):
        """Returns the wait of a group."""
        return group.workflow.wait_ms

    def is_overdue(self, group, now_ms):
        """Returns True for all groups."""
        return True


class _IdleWorkflow:
    """Stand-in for a ``Workflow`` of which nothing runs.

    Args:
        workflow_id: its id.
        wait_ms: for how long it has waited.
    """

    is_running = False

    def __init__(self, workflow_id, wait_ms):
        self.workflow_id = workflow_id
        self.wait_ms = wait_ms
        step = workflows.Step(1, cpu=1000, image='f', fills=True)
        self.spec = workflows.WorkflowSpec('', [step])

    def has_live_run(self, occurrence, step_number):
        """Returns False."""
        return False


def _make_worker(name):
    record = workflows.WorkerRecord(
        name, 1, f'{name}:1', 'pool', 'dc', WORKER_CPU, 100_000, 0, []
    )
    return _fleet.Worker(record, _clock.LeaseClock(5000))


def _add_serving_run(worker, image, tail_ratio, model):
    """Adds a serving run and reports its tail."""
    step = workflows.Step(
        1, cpu=1000, lasts=True, image=image, tail_target_ms=100
    )
    live_run = workflows.LiveRun(
        workflows.TaskId(image, 0, 0, 0), 1, worker.name, 1
    )
    run = _runs.Run(live_run, step, _runs.Phase.RUNNING)
    run.measurement = 100 * tail_ratio
    worker.add_run(run)
    worker.pace_control = _pacing.PaceControl(model, worker.name)
    worker.pace_control.decide_paces([run], WORKER_CPU, 0)


class LimitTest(unittest.TestCase):
    def test_round_of_a_large_service_tries_the_longest_wait_only(self):
        worker = _make_worker('w')
        planner = _limited_runs.LimitedRunPlanner(
            _DispatchState(), _interference.InterferenceModel(), _WaitTimes()
        )
        groups = [
            _groups.Group(
                _IdleWorkflow(name, wait_ms),
                0,
                0,
                [workflows.TaskId(name, 0, 0, 0)],
            )
            for name, wait_ms in (('short', 3000), ('long', 9000))
        ]
        pool_round = _Round([worker], groups)
        with mock.patch.object(_limited_runs, 'MAX_CANDIDATES', 1):
            chosen = list(planner.choose_workers(pool_round))
        self.assertEqual(
            ['long'], [group.workflow.workflow_id for group, *_ in chosen]
        )

    def test_tail_near_target_does_not_keep_a_workflow_waiting(self):
        """The image disturbs nothing, but no worker takes its tasks."""
        model = _interference.InterferenceModel()
        model.adopt_image_pairs([workflows.ImagePair('s', 'f', False)])
        planner = _limited_runs.LimitedRunPlanner(
            _DispatchState(), model, _WaitTimes()
        )
        workflow = _IdleWorkflow('w', 9000)
        workflow.is_running = True
        task_ids = [workflows.TaskId('w', 0, 0, 0)]
        group = _groups.Group(workflow, 0, 0, task_ids)
        for tail_ratio, is_placed in ((0.5, False), (0.9, True)):
            with self.subTest(tail_ratio=tail_ratio):
                worker = _make_worker('w0')
                _add_serving_run(worker, 's', tail_ratio, model)
                chosen = planner.choose_workers(_Round([worker], [group]))
                self.assertEqual(is_placed, bool(list(chosen)))

    def test_no_run_shares_cpu_where_it_would_be_halted_at_once(self):
        """It would be stopped and start there again and again."""
        model = _interference.InterferenceModel()
        model.adopt_image_pairs([workflows.ImagePair('s', 'f', False)])
        planner = _limited_runs.LimitedRunPlanner(
            _DispatchState(), model, _WaitTimes()
        )
        task_ids = [workflows.TaskId('w', 0, 0, 0)]
        group = _groups.Group(_IdleWorkflow('w', 9000), 0, 0, task_ids)
        for tail_ratio, is_limited in ((0.5, False), (0.9, True)):
            with self.subTest(tail_ratio=tail_ratio):
                worker = _make_worker('w0')
                _add_serving_run(worker, 's', tail_ratio, model)
                busy_step = workflows.Step(
                    1, cpu=WORKER_CPU, image='f', fills=True
                )
                live_run = workflows.LiveRun(
                    workflows.TaskId('busy', 0, 0, 0), 1, 'w0', 1
                )
                worker.add_run(
                    _runs.Run(live_run, busy_step, _runs.Phase.RUNNING)
                )
                chosen = planner.choose_workers(_Round([worker], [group]))
                self.assertEqual(
                    [is_limited], [limits_pace for *_, limits_pace in chosen]
                )


class MoveTest(unittest.TestCase):
    def setUp(self):
        self.model = _interference.InterferenceModel()
        self.model.adopt_image_pairs([workflows.ImagePair('s', 'f', True)])
        self.state = _DispatchState()
        self.planner = _limited_runs.LimitedRunPlanner(
            self.state, self.model, _waiting.WaitTimes()
        )
        self.workers = [_make_worker(name) for name in ('w0', 'w1')]
        self._add_serving_run(self.workers[0])

    def _add_run(self, worker, step, index=0):
        task_id = workflows.TaskId(step.image, 0, 0, index)
        live_run = workflows.LiveRun(task_id, 1, worker.record.worker, 1)
        run = _runs.Run(live_run, step, _runs.Phase.RUNNING)
        worker.add_run(run)
        return run

    def _add_serving_run(self, worker):
        step = workflows.Step(
            1, cpu=1000, lasts=True, image='s', tail_target_ms=100
        )
        self._add_run(worker, step)

    def _add_limited_runs(self, count, **fields):
        """Puts runs at a limited pace beside the serving one."""
        worker = self.workers[0]
        step = workflows.Step(
            count, cpu=6000, memory_mb=10, image='f', fills=True, **fields
        )
        runs = []
        for index in range(count):
            run = self._add_run(worker, step, index)
            run.limit_pace()
            runs.append(run)
        worker.pace_control = _pacing.PaceControl(self.model, 'w0')
        worker.pace_control.decide_paces(
            list(worker.runs.values()), WORKER_CPU, 0
        )
        return runs

    def test_one_of_many_runs_moves_at_a_time(self):
        runs = self._add_limited_runs(3)
        self.planner.stop_run_to_move(_Round(self.workers))
        self.assertEqual(runs[:1], self.state.stopped_runs)

    def test_member_of_a_gang_is_not_stopped_to_move(self):
        self._add_limited_runs(3, gang=True)
        self.planner.stop_run_to_move(_Round(self.workers))
        self.assertEqual([], self.state.stopped_runs)

    def test_run_that_shares_cpu_moves_to_an_empty_worker(self):
        step = workflows.Step(1, cpu=6000, memory_mb=10, image='f', fills=True)
        run = self._add_run(self.workers[0], step)
        run.share_cpu()
        self.planner.stop_run_to_move(_Round(self.workers))
        self.assertEqual([run], self.state.stopped_runs)

    def test_run_does_not_move_to_a_worker_that_it_may_disturb(self):
        self._add_limited_runs(1)
        self.model.adopt_image_pairs([workflows.ImagePair('t', 'f', True)])
        step = workflows.Step(
            1, cpu=1000, lasts=True, image='t', tail_target_ms=100
        )
        self._add_run(self.workers[1], step)
        self.planner.stop_run_to_move(_Round(self.workers))
        self.assertEqual([], self.state.stopped_runs)

    def test_run_does_not_move_to_a_worker_that_would_not_take_it(self):
        """It would wait there, start here again, and be stopped again."""
        self._add_limited_runs(1)
        self.model.adopt_image_pairs([workflows.ImagePair('t', 'f', False)])
        for tail_ratio, is_moved in ((0.9, False), (0.5, True)):
            with self.subTest(tail_ratio=tail_ratio):
                self.workers[1] = _make_worker('w1')
                _add_serving_run(self.workers[1], 't', tail_ratio, self.model)
                self.planner.stop_run_to_move(_Round(self.workers))
                self.assertEqual(is_moved, bool(self.state.stopped_runs))


if __name__ == '__main__':
    unittest.main()
