"""Tests when a straggling task gets a copy, and what becomes of both runs."""

import logging
import unittest

from fuchsiatrestle import metrics
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import workflows
from fuchsiatrestle import workflows as dispatcher
from fuchsiatrestle.workflows import _stragglers
from standins import worker_model
from tests.fakes import dispatch_world

WORK_MS = 2000
STRAGGLER_MS = 7 * WORK_MS
# Time by which a straggler has a copy, and by which that has ended.
COPIED_MS = 2 * WORK_MS + 1000
COPY_ENDED_MS = COPIED_MS + WORK_MS + 500
LEASE_OVER_MS = 8000
STRAGGLER = workflows.TaskId('w', 0, 0, 0)


def _find_slowdown(task, run):
    return 7 if task.index == 0 and run == 1 else 1


class _World(dispatch_world.World):
    """World in which the first run of the first task straggles."""

    def __init__(self, seed=1, workers=4, copies_stragglers=True):
        super().__init__(
            seed,
            workers,
            features=dispatcher.Features(copies_stragglers=copies_stragglers),
        )

    def submit_step(self, workflow_id='w', **fields):
        """Submits a step; ``run_fails`` and ``find_slowdown`` as profiled."""
        profile_fields = {
            name: fields.pop(name)
            for name in ('run_fails', 'find_slowdown')
            if name in fields
        }
        profile_fields.setdefault('find_slowdown', _find_slowdown)
        step_fields = {
            'count': 4,
            'cpu': 500,
            'memory_mb': 100,
            'estimate_ms': WORK_MS,
            'copies': True,
            **fields,
        }
        step = workflows.Step(**step_fields)
        profile = worker_model.TaskProfile(
            step.cpu, step.memory_mb, WORK_MS, **profile_fields
        )
        self.submit(workflow_id, [step], [profile])

    def task(self):
        """Returns the agreed ``Task`` of the straggler."""
        return self.workflow_store.find_workflow('w').tasks[STRAGGLER]

    def agreed_progress(self):
        """Returns all agreed ``RecordProgress``."""
        return [
            command
            for command in self._agreed_commands
            if isinstance(command, commands.RecordProgress)
        ]

    def find_end(self, task_id, run):
        """Returns how a run has ended, as agreed, None if it has not."""
        for command in self.agreed_progress():
            for run_end in command.ends:
                if (run_end.task, run_end.run) == (task_id, run):
                    return run_end.how
        return None

    def wait_for_copy(self):
        """Returns the names of the workers of both runs of the straggler."""
        self.run_until(
            lambda: (
                (STRAGGLER, 1) in self.ledger.running
                and (STRAGGLER, 2) in self.ledger.running
            ),
            COPIED_MS,
        )
        return [self.ledger.running[STRAGGLER, run] for run in (1, 2)]

    def wait_for_end(self, limit_ms):
        """Waits until the workflow has ended and nothing runs any more."""
        self.run_until(
            lambda: (
                self.workflow_state('w') not in ('queued', 'running')
                and not self.ledger.running
            ),
            limit_ms,
        )


class _CopyTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def _check_completed(self, world, starts):
        self.assertEqual([], world.ledger.breaches)
        self.assertEqual('completed', world.workflow_state('w'))
        self.assertEqual(starts, world.ledger.starts)


class TwoRunsTest(_CopyTest):
    """What happens to the two live runs of a task."""

    def setUp(self):
        super().setUp()
        self.world = _World()

    def test_copy_that_ends_first_counts(self):
        counts = _read_counts()
        self.world.submit_step()
        self.world.wait_for_end(COPY_ENDED_MS)
        self._check_completed(self.world, starts=5)
        self.world.run(1000)
        self.assertEqual({}, self.world.task().live_runs)
        self.assertEqual((1, 1, 0), _subtract(_read_counts(), counts))

    def test_other_run_is_stopped_while_the_workflow_goes_on(self):
        step = workflows.Step(
            4, cpu=500, memory_mb=100, estimate_ms=WORK_MS, copies=True
        )
        profile = worker_model.TaskProfile(
            500, 100, WORK_MS, find_slowdown=_find_slowdown
        )
        long_profile = worker_model.TaskProfile(500, 100, 3 * STRAGGLER_MS)
        self.world.submit(
            'w', [step, workflows.Step(1, cpu=500)], [profile, long_profile]
        )
        self.world.wait_for_copy()
        self.world.run_until(lambda: self.world.task().is_done, COPY_ENDED_MS)
        self.world.run(1000)
        self.assertNotIn((STRAGGLER, 1), self.world.ledger.running)
        self.assertEqual('running', self.world.workflow_state('w'))

    def test_straggler_that_ends_first_counts(self):
        """Guards against a second run that blocks the end of the first."""
        counts = _read_counts()
        self.world.submit_step(
            find_slowdown=lambda task, run: 7 if task.index == 0 else 1
        )
        self.world.wait_for_end(STRAGGLER_MS + 1000)
        self._check_completed(self.world, starts=5)
        self.world.run(1000)
        started, won, lost_cpu_ms = _subtract(_read_counts(), counts)
        self.assertEqual((1, 0), (started, won))
        copy_ms = STRAGGLER_MS - 2 * WORK_MS
        self.assertAlmostEqual(copy_ms * 0.5, lost_cpu_ms, delta=700)

    def test_both_ends_before_either_is_agreed(self):
        """The first end in the log counts, the other one changes nothing."""
        counts = _read_counts()
        self.world.submit_step(
            find_slowdown=lambda task, run: (
                (7 if run == 1 else 5) if task.index == 0 else 1
            )
        )
        self.world.wait_for_copy()
        self.world.run_until(lambda: self.world.now_ms > 13_000, 13_000)
        self.world.added_agreement_ms = 1000
        self.world.wait_for_end(5000)
        self.world.added_agreement_ms = 0
        self.world.run(2000)
        self._check_completed(self.world, starts=5)
        outcomes = [
            (run_end.run, run_end.how)
            for command in self.world.agreed_progress()
            for run_end in command.ends
            if run_end.task == STRAGGLER
        ]
        self.assertEqual([(1, 'done'), (2, 'done')], outcomes)
        self.assertEqual((1, 0), _subtract(_read_counts(), counts)[:2])
        self.assertEqual({}, self.world.task().live_runs)

    def test_failed_copy_leaves_the_other_run(self):
        self.world.submit_step(run_fails=lambda run: run == 2)
        self.world.wait_for_end(STRAGGLER_MS + 3000)
        self.assertEqual('completed', self.world.workflow_state('w'))
        self.assertEqual([], self.world.ledger.breaches)
        self.assertEqual(1, self.world.task().failures)
        self.assertLessEqual(self.world.ledger.starts, 6)

    def test_failed_straggler_leaves_its_copy(self):
        for seed in range(1, 21):
            with self.subTest(seed=seed):
                world = _World(seed)
                world.submit_step(
                    run_fails=lambda run: run == 1,
                    find_slowdown=lambda task, run: (
                        (7 if run == 1 else 6) if task.index == 0 else 1
                    ),
                )
                world.wait_for_end(STRAGGLER_MS + 2 * WORK_MS)
                self.assertEqual([], world.ledger.breaches)
                self.assertEqual('completed', world.workflow_state('w'))
                self.assertEqual(1, world.task().failures)
                self.assertEqual('done', world.find_end(STRAGGLER, 2))
                # The other three tasks fail once each, too.  The copy is slow
                # as well, so it may get a copy once the first run has failed.
                self.assertIn(world.ledger.starts, (8, 9))

    def test_lost_worker_of_either_run_leaves_the_other_run(self):
        for lost, end_ms in ((0, COPY_ENDED_MS), (1, STRAGGLER_MS)):
            for is_cut in (False, True):
                with self.subTest(lost=lost, is_cut=is_cut):
                    world = _World()
                    world.submit_step()
                    workers = world.wait_for_copy()
                    if is_cut:
                        world.unreachable_workers.add(workers[lost])
                    else:
                        world.crash_worker(workers[lost], 60_000)
                    world.run_until(
                        lambda: world.task().is_done,
                        end_ms + LEASE_OVER_MS,
                    )
                    self.assertEqual([], world.ledger.breaches)
                    self.assertEqual(0, world.task().failures)

    def test_lost_copy_is_replaced_after_a_while(self):
        """A refused start would else be repeated in each round."""
        self.world.submit_step()
        workers = self.world.wait_for_copy()
        self.world.run(1200)
        self.world.crash_worker(workers[1], 200)
        self.world.run(2500)
        self.assertEqual([1], list(self.world.task().live_runs))
        self.assertEqual(2, self.world.task().last_run_number)
        self.world.run(2500)
        self.assertEqual([1, 3], list(self.world.task().live_runs))
        self.assertEqual([], self.world.ledger.breaches)

    def test_new_leader_adopts_both_runs(self):
        """Guards against a third run, and against one that is not stopped."""
        for restores in (False, True):
            with self.subTest(restores=restores):
                world = _World()
                world.submit_step()
                world.wait_for_copy()
                if restores:
                    world.restore_replicas()
                else:
                    world.start_leader()
                world.run(500)
                self.assertEqual(2, len(world.task().live_runs))
                world.wait_for_end(COPY_ENDED_MS)
                self._check_completed(world, starts=5)

    def test_leader_that_ends_after_the_first_end(self):
        """The run that is not needed any more is stopped by the next one."""
        self.world.submit_step()
        self.world.wait_for_copy()
        self.world.run_until(lambda: self.world.task().is_done, COPY_ENDED_MS)
        self.world.start_leader()
        self.world.wait_for_end(2000)
        self._check_completed(self.world, starts=5)

    def test_cancel_stops_both_runs(self):
        self.world.submit_step()
        self.world.wait_for_copy()
        self.world.cancel('w')
        self.world.run(1000)
        self.assertEqual({}, self.world.ledger.running)
        self.assertEqual([], self.world.ledger.breaches)


class DecisionTest(_CopyTest):
    """When a task gets a copy, and where."""

    def _count_starts(self, workers=4, prepare=None, features=True, **fields):
        """Returns the number of starts until the straggler has ended."""
        world = _World(workers=workers, copies_stragglers=features)
        if prepare is not None:
            prepare(world)
        starts = world.ledger.starts
        world.submit_step(**fields)
        world.run(STRAGGLER_MS + 2000)
        self.assertEqual([], world.ledger.breaches)
        self.assertEqual('completed', world.workflow_state('w'))
        return world.ledger.starts - starts

    def test_copied_in_the_plain_case(self):
        self.assertEqual(5, self._count_starts())

    def test_not_copied_where_it_is_not_allowed(self):
        self.assertEqual(4, self._count_starts(features=False))
        self.assertEqual(4, self._count_starts(copies=False))

    def test_not_copied_on_the_worker_of_the_other_run(self):
        self.assertEqual(4, self._count_starts(workers=1))

    def test_not_copied_beyond_the_limit_for_a_worker(self):
        """Until 6 s, each of both workers has a run of the step."""
        world = _World(workers=2)
        world.submit_step(most_per_worker=1)
        world.run(3 * WORK_MS - 300)
        self.assertEqual(1, world.task().last_run_number)
        world.run(WORK_MS)
        self.assertEqual(2, world.task().last_run_number)
        self.assertEqual([], world.ledger.breaches)

    def test_not_copied_to_a_worker_without_the_label(self):
        self.assertEqual(4, self._count_starts(workers=2, label='a'))
        self.assertEqual(5, self._count_starts(workers=3, label='a'))

    def test_not_copied_by_the_declared_estimate_alone(self):
        """Estimates are off by a factor of up to two and more."""
        self.assertEqual(1, self._count_starts(count=1, estimate_ms=100))

    def test_not_copied_near_its_end(self):
        self.assertEqual(
            4,
            self._count_starts(
                find_slowdown=lambda task, run: 3 if task.index == 0 else 1
            ),
        )

    def test_new_leader_knows_the_run_times_of_ended_tasks(self):
        world = _World()
        world.submit_step()
        world.run(WORK_MS + 1000)
        world.start_leader()
        world.wait_for_copy()

    def test_single_task_is_copied_by_the_learned_run_time(self):
        def learn(world):
            for number in range(6):
                world.submit_step(
                    f'earlier{number}',
                    image='i',
                    count=1,
                    find_slowdown=lambda task, run: 1,
                )
            world.run(WORK_MS + 1000)

        self.assertEqual(
            2, self._count_starts(prepare=learn, count=1, image='i')
        )

    def test_not_copied_while_a_group_waits(self):
        def add_waiting_task(world):
            world.submit_task('wide', 9000, WORK_MS)

        self.assertEqual(4, self._count_starts(prepare=add_waiting_task))

    def test_not_copied_if_two_failures_would_use_up_the_attempts(self):
        world = _World()
        world.submit_step(
            run_fails=lambda run: run in (1, 2),
            find_slowdown=lambda task, run: (
                7 if task.index == 0 and run == 3 else 1
            ),
        )
        world.run(2 * WORK_MS + STRAGGLER_MS + 2000)
        self.assertEqual('completed', world.workflow_state('w'))
        self.assertEqual(3, world.task().last_run_number)

    def test_not_copied_while_it_may_crash_its_workers(self):
        world = _World()
        world.submit_step()
        world.run(WORK_MS + 500)
        world.task().possible_worker_crashes = 1
        world.run(COPIED_MS)
        self.assertEqual(1, world.task().last_run_number)

    def test_copies_stay_within_their_budget(self):
        """4 workers with 8 cores: 1.6 cores for copies of 0.5."""
        world = _World()
        world.submit_step(
            count=20,
            find_slowdown=lambda task, run: (
                7 if task.index < 8 and run == 1 else 1
            ),
        )
        most_copies = 0
        for _ in range(STRAGGLER_MS // 50):
            world.run(50)
            running = [task for task, _ in world.ledger.running]
            copy_count = len(running) - len(set(running))
            most_copies = max(most_copies, copy_count)
        self.assertEqual(3, most_copies)
        self.assertEqual([], world.ledger.breaches)


def _read_counts():
    counters = metrics.default_registry.counters()
    return tuple(
        counters.get(name, 0)
        for name in (
            _stragglers.COPIES_STARTED,
            _stragglers.COPIES_WON,
            _stragglers.LOST_COPY_CPU_MS,
        )
    )


def _subtract(counts, earlier_counts):
    return tuple(
        count - earlier
        for count, earlier in zip(counts, earlier_counts, strict=True)
    )


if __name__ == '__main__':
    unittest.main()
