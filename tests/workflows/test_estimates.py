"""Tests the use of learned run times for the order of placement."""

import logging
import random
import unittest
from unittest import mock

from fuchsiatrestle.state import _run_times
from fuchsiatrestle.state import workflows as records
from fuchsiatrestle import workflows
from fuchsiatrestle.workflows import _backlog
from fuchsiatrestle.workflows import _critical_paths
from fuchsiatrestle.workflows import _estimates
from standins import worker_model
from tests.fakes import dispatch_world

WALL_MS = dispatch_world.START_WALL_MS
STRETCH = 1.5
TARGET_MS = 250
LOAD_SEEDS = range(1, 9)
LOAD_WORKERS = 4
LOAD_DURATION_MS = 40_000
LOAD_IMAGES = 8


def _make_step(image, estimate_ms, **fields):
    return records.Step(
        1,
        cpu=1000,
        memory_mb=10,
        estimate_ms=estimate_ms,
        image=image,
        **fields,
    )


class BacklogTest(unittest.TestCase):
    """Order of waiting work in a world without workers."""

    def setUp(self):
        self.world = dispatch_world.World(1, workers=0)
        self.store = self.world.workflow_store

    def _submit(self, name, *steps):
        profile = worker_model.TaskProfile(1000, 10, 1000)
        self.world.submit(name, list(steps), [profile] * len(steps))

    def _learn(self, image, permille, count=_run_times.MIN_SAMPLES):
        for _ in range(count):
            step = _make_step(image, 1000)
            self.store.run_times.record_run('queue', 0, step, permille)

    def _find_order(self, backlog, age_ms=0):
        return [
            group.workflow.workflow_id
            for group in backlog.ready_groups(WALL_MS + age_ms)
        ]

    def test_learned_run_times_decide_the_order(self):
        """A workflow with time to spare would go before a pressing one."""
        self._submit('a', _make_step('', 500), _make_step('x', 500, after=[0]))
        self._submit('b', _make_step('', 500), _make_step('y', 900, after=[0]))
        self._learn('x', 4000)
        backlog = _backlog.Backlog(self.store)
        self.assertEqual(['a', 'b'], self._find_order(backlog))
        backlog = _backlog.Backlog(self.store, learns_run_times=True)
        self.assertEqual(['b', 'a'], self._find_order(backlog))

    def test_objective_is_that_of_the_learned_run_time(self):
        """A workflow in time would be placed after all others as late."""
        self._submit('a', _make_step('x', 1000))
        self._submit('b', _make_step('y', 20000))
        self._learn('x', 8000)
        backlog = _backlog.Backlog(self.store)
        self.assertEqual(['b', 'a'], self._find_order(backlog, 800))
        backlog = _backlog.Backlog(self.store, learns_run_times=True)
        self.assertEqual(['a', 'b'], self._find_order(backlog, 800))

    def test_tasks_of_the_step_itself_are_the_best_evidence(self):
        self._submit('a', _make_step('x', 1000))
        workflow = self.store.find_workflow('a')
        estimates = _estimates.LearnedEstimates(self.store)
        self.assertEqual([1000], estimates.estimate_steps_ms(workflow))
        self._learn('x', 2000)
        (kind_ms,) = estimates.estimate_steps_ms(workflow)
        self.assertAlmostEqual(2000, kind_ms, delta=64)
        for run_ms in (700, 4000, 600):
            workflow.record_run_time(0, run_ms)
        self.assertEqual([700], estimates.estimate_steps_ms(workflow))

    def test_rounds_recompute_a_bounded_number_of_paths(self):
        """Each end of a run changes what is known of many workflows."""
        count = 3 * _critical_paths.MAX_PATH_REFRESHES
        for number in range(count):
            self._submit(f'w{number}', _make_step('x', 1000))
        backlog = _backlog.Backlog(self.store, learns_run_times=True)
        for age_ms in (0, 100, 200, 300):
            backlog.ready_groups(WALL_MS + age_ms)
        self._learn('x', 3000)
        recomputed_ids = []
        estimate = _estimates.LearnedEstimates.estimate_steps_ms

        def estimate_and_record(estimates, workflow):
            recomputed_ids.append(workflow.workflow_id)
            return estimate(estimates, workflow)

        counts = []
        with mock.patch.object(
            _estimates.LearnedEstimates,
            'estimate_steps_ms',
            estimate_and_record,
        ):
            for age_ms in (400, 1210, 1220, 1230, 1240, -90_000):
                backlog.ready_groups(WALL_MS + age_ms)
                counts.append(len(recomputed_ids))
        limit = _critical_paths.MAX_PATH_REFRESHES
        self.assertEqual(
            [0, limit, 2 * limit, 3 * limit, 3 * limit, 4 * limit], counts
        )
        self.assertEqual(count, len(set(recomputed_ids)))

    def test_one_line_a_second_for_kinds_that_changed(self):
        """An operator's log would be filled by what is learned."""
        report = _estimates.RunTimeReport(self.store)
        for image in 'xyz':
            self._learn(image, 2000)
        with self.assertLogs(_estimates.LOG.name, logging.INFO) as logs:
            for age_ms in range(0, 10_000, 100):
                if age_ms == 5000:
                    self._learn('y', 500, 30)
                report.report_if_due(WALL_MS + age_ms)
                if age_ms in (900, 2900):
                    self.assertEqual(age_ms // 1000 + 1, len(logs.records))
        self.assertEqual(
            ['x', 'y', 'z', 'y'], [record.image for record in logs.records]
        )


class LoadTest(unittest.TestCase):
    """More work than room, declared wrong by a factor for each image."""

    def _draw_workflow(self, generator, factors):
        """Returns the length of the path, the steps and their profiles."""
        path_ms, steps, profiles = 0, [], []
        for number in range(generator.randint(1, 3)):
            image = generator.randrange(LOAD_IMAGES)
            work_ms = generator.choice((300, 600, 1200, 2400))
            work_ms = int(work_ms * generator.uniform(0.9, 1.1))
            step = records.Step(
                generator.randint(1, 6),
                cpu=generator.choice((1000, 2000)),
                memory_mb=10,
                estimate_ms=int(work_ms / factors[image]),
                image=f'image-{image}',
                after=[number - 1] if number else [],
            )
            if generator.random() < 0.03:
                work_ms *= 7
            path_ms += work_ms
            steps.append(step)
            profiles.append(worker_model.TaskProfile(step.cpu, 10, work_ms))
        return path_ms, steps, profiles

    def _count_in_time(self, seed, learns_run_times):
        """Returns how many workflows of one world met their objective."""
        generator = random.Random(seed)
        factors = [
            generator.uniform(0.2, 0.9) ** generator.choice((1, -1))
            for _ in range(LOAD_IMAGES)
        ]
        features = workflows.Features(learns_run_times=learns_run_times)
        world = dispatch_world.World(seed, LOAD_WORKERS, features=features)
        plans, work = [], 0
        while work < 1.1 * LOAD_WORKERS * 8000 * LOAD_DURATION_MS:
            path_ms, steps, profiles = self._draw_workflow(generator, factors)
            submit_ms = generator.uniform(0, LOAD_DURATION_MS)
            plans.append((submit_ms, path_ms, steps, profiles))
            work += sum(
                step.count * step.cpu * profile.work_ms
                for step, profile in zip(steps, profiles, strict=True)
            )
        plans.sort(key=lambda plan: plan[0])
        deadlines = {}
        in_time_count = 0
        while plans or deadlines:
            while plans and plans[0][0] <= world.now_ms:
                _, path_ms, steps, profiles = plans.pop(0)
                name = f'w{len(plans)}'
                deadlines[name] = world.now_ms + STRETCH * path_ms + TARGET_MS
                world.submit(name, steps, profiles)
            world.run(50)
            for name in list(deadlines):
                if world.workflow_state(name) == 'completed':
                    in_time_count += world.now_ms <= deadlines.pop(name)
        self.assertEqual([], world.ledger.breaches)
        return in_time_count

    def test_more_workflows_meet_their_objective(self):
        declared_count, learned_count = (
            sum(self._count_in_time(seed, learns) for seed in LOAD_SEEDS)
            for learns in (False, True)
        )
        self.assertGreater(
            learned_count,
            1.08 * declared_count,
            f'{learned_count} by learned, {declared_count} by declared ones',
        )


if __name__ == '__main__':
    unittest.main()
