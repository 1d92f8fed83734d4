"""Tests the decisions of the dispatcher's parts, each on its own."""

import unittest

from fuchsiatrestle.state import workflows as records
from fuchsiatrestle.workflows import _clock
from fuchsiatrestle.workflows import _fleet
from fuchsiatrestle.workflows import _groups
from fuchsiatrestle.workflows import _interference
from fuchsiatrestle.workflows import _pacing
from fuchsiatrestle.workflows import _placement
from fuchsiatrestle.workflows import _rounds
from fuchsiatrestle.workflows import _runs
from fuchsiatrestle.workflows import _tails

QUEUE = records.Queue('q', 'h', '/q/', 'pool', 0, 3, 1.5, 250, 3000)
WORKER_CPU = 10_000


def _make_worker(name, labels=('a', 'r1'), cpu=WORKER_CPU):
    record = records.WorkerRecord(
        name, 1, f'{name}:1', 'pool', 'dc', cpu, 100_000, 0, list(labels)
    )
    return _fleet.Worker(record, _clock.LeaseClock(5000))


def _make_step(count=1, **fields):
    fields.setdefault('cpu', 1000)
    return records.Step(count, memory_mb=10, **fields)


def _make_group(step, name='w'):
    waiting_task_ids = [
        records.TaskId(name, 0, 0, index) for index in range(step.count)
    ]
    spec = records.WorkflowSpec('', [step])

    class _Workflow:
        workflow_id = name

    _Workflow.spec = spec
    return _groups.Group(_Workflow, 0, 0, waiting_task_ids)


def _add_run(worker, step, workflow_id, phase=_runs.Phase.RUNNING, index=0):
    live_run = records.LiveRun(
        records.TaskId(workflow_id, 0, 0, index), 1, worker.name, 1
    )
    run = _runs.Run(live_run, step, phase)
    worker.add_run(run)
    return run


class PlacementTest(unittest.TestCase):
    def setUp(self):
        self.interference = _interference.InterferenceModel()
        self.placer = _placement.BestFit(self.interference)

    def _choose_workers(self, step, workers):
        assignments = self.placer.choose_workers(_make_group(step), workers)
        return [worker.name for _, worker in assignments]

    def test_never_exceeds_free_capacity(self):
        workers = [_make_worker('a', cpu=2500), _make_worker('b', cpu=1500)]
        self.assertEqual(
            ['b', 'a', 'a'], self._choose_workers(_make_step(9), workers)
        )
        self.assertEqual(
            [], self._choose_workers(_make_step(1, cpu=3000), workers)
        )

    def test_labels_and_spread(self):
        workers = [
            _make_worker('a', ['x', 'r1']),
            _make_worker('b', ['y', 'r1']),
        ]
        self.assertEqual(
            ['b'], self._choose_workers(_make_step(1, label='y'), workers)
        )
        spread_step = _make_step(5, most_per_worker=2)
        worker_names = self._choose_workers(spread_step, workers)
        self.assertEqual(['a', 'a', 'b', 'b'], sorted(worker_names))

    def test_spread_counts_existing_runs(self):
        worker = _make_worker('a')
        step = _make_step(3, most_per_worker=1)
        _add_run(worker, step, 'w')
        self.assertEqual([], self._choose_workers(step, [worker]))

    def test_near_the_data_first_then_elsewhere(self):
        near_worker = _make_worker('near', ['a', 'r2'], cpu=1000)
        workers = [_make_worker('far'), near_worker]
        step = _make_step(2, data_rack='r2')
        self.assertEqual(['near', 'far'], self._choose_workers(step, workers))

    def test_gang_is_placed_whole_or_not(self):
        workers = [_make_worker('a', cpu=2000), _make_worker('b', cpu=1000)]
        self.assertEqual(
            [], self._choose_workers(_make_step(4, gang=True), workers)
        )
        self.assertEqual(
            3, len(self._choose_workers(_make_step(3, gang=True), workers))
        )

    def test_gang_on_one_rack_if_it_fits(self):
        workers = [
            _make_worker('a', ['k', 'r1'], cpu=1000),
            _make_worker('b', ['k', 'r2'], cpu=1000),
            _make_worker('c', ['k', 'r2'], cpu=1000),
        ]
        step = _make_step(2, gang=True, one_rack=True)
        self.assertEqual({'b', 'c'}, set(self._choose_workers(step, workers)))

    def test_best_effort_task_avoids_images_it_disturbs(self):
        heavy_worker, other_worker = (
            _make_worker('heavy'),
            _make_worker('other'),
        )
        _add_run(
            heavy_worker,
            _make_step(lasts=True, image='s', tail_target_ms=9),
            's',
        )
        self.interference.record_disturbed_tail('s', 5.0, {'f': 0.3})
        step = _make_step(1, fills=True, image='f')
        self.assertEqual(
            ['other'], self._choose_workers(step, [heavy_worker, other_worker])
        )
        self.assertEqual([], self._choose_workers(step, [heavy_worker]))

    def test_one_unknown_image_at_a_time(self):
        worker = _make_worker('a')
        _add_run(
            worker, _make_step(lasts=True, image='s', tail_target_ms=9), 's'
        )
        _add_run(worker, _make_step(fills=True, image='f'), 'f')
        step = _make_step(1, fills=True, image='g')
        self.assertEqual([], self._choose_workers(step, [worker]))
        for _ in range(3):
            self.interference.record_calm_tail('s', 0.4, {'f': 0.2})
        self.assertEqual(['a'], self._choose_workers(step, [worker]))

    def test_best_effort_task_leaves_workers_open_to_most_images(self):
        """An image that is light everywhere avoids the most open worker."""
        workers = [_make_worker('open', cpu=30_000), _make_worker('closed')]
        for worker, image in zip(workers, 'st', strict=True):
            step = _make_step(lasts=True, image=image, tail_target_ms=9)
            _add_run(worker, step, image)
        image_pairs = [
            records.ImagePair(
                serving, best_effort, serving + best_effort == 'tf'
            )
            for serving in 'st'
            for best_effort in 'fg'
        ]
        self.interference.adopt_image_pairs(image_pairs)
        light_step = _make_step(1, fills=True, image='g')
        self.assertEqual(['closed'], self._choose_workers(light_step, workers))
        heavy_step = _make_step(1, fills=True, image='f')
        self.assertEqual(['open'], self._choose_workers(heavy_step, workers))

    def test_serving_tasks_of_one_image_go_together(self):
        workers = [_make_worker(name) for name in 'abcdefgh']
        step = _make_step(1, lasts=True, image='s', tail_target_ms=9)
        other_step = _make_step(1, lasts=True, image='t', tail_target_ms=9)
        _add_run(workers[3], step, 'first')
        _add_run(workers[5], other_step, 'second')
        self.assertEqual(['d'], self._choose_workers(step, workers))

    def test_serving_image_shares_a_worker_with_a_similar_one(self):
        """Images that are disturbed by the same images share a worker."""
        workers = [_make_worker(name) for name in 'ab']
        for worker, image in zip(workers, ('u', 't'), strict=True):
            step = _make_step(lasts=True, image=image, tail_target_ms=9)
            _add_run(worker, step, image)
        for image in 'st':
            self.interference.record_disturbed_tail(image, 5.0, {'f': 0.3})
            for _ in range(3):
                self.interference.record_calm_tail(image, 0.4, {'g': 0.3})
        for _ in range(3):
            self.interference.record_calm_tail('u', 0.4, {'f': 0.3})
        step = _make_step(1, lasts=True, image='s', tail_target_ms=9)
        self.assertEqual(['b'], self._choose_workers(step, workers))

    def test_best_effort_work_finds_room_on_a_serving_fleet(self):
        """Serving images are grouped before any interference is known.

        Five serving images take most of a fleet.  A best-effort image is heavy
        beside two or three of them and still needs workers with none of these.
        """
        workers = [
            _make_worker(f'w{number}', cpu=32000) for number in range(33)
        ]
        images = 'abcde'
        for number in range(210):
            image = images[number % len(images)]
            step = _make_step(
                1, cpu=4500, lasts=True, image=image, tail_target_ms=9
            )
            group = _make_group(step, f'job-{number}')
            for _, worker in self.placer.choose_workers(group, workers):
                _add_run(worker, step, f'job-{number}')
        for heavy_images in ('ab', 'cde'):
            light_share = 1 - len(heavy_images) / len(images)
            worker_count = _count_workers_without(workers, heavy_images)
            self.assertGreaterEqual(worker_count, light_share * len(workers))


def _count_workers_without(workers, images):
    """Returns the number of workers that serve none of some images."""
    return sum(not worker.serving_images & set(images) for worker in workers)


class InterferenceTest(unittest.TestCase):
    def setUp(self):
        self.interference = _interference.InterferenceModel()

    def _severity(self, image='f'):
        return self.interference.severity('s', image)

    def test_severity_is_unknown_until_measured(self):
        severities = _interference.Severity
        self.assertEqual(severities.UNKNOWN, self._severity())
        self.interference.record_calm_tail('s', 0.3, {'f': 0.05})
        self.assertEqual(severities.UNKNOWN, self._severity())
        for _ in range(3):
            self.interference.record_calm_tail('s', 0.3, {'f': 0.2})
        self.assertEqual(severities.LIGHT, self._severity())

    def test_known_light_image_is_not_blamed_for_another(self):
        for _ in range(5):
            self.interference.record_calm_tail('s', 0.3, {'f': 0.2})
        self.interference.record_disturbed_tail('s', 3.0, {'f': 0.3, 'g': 0.1})
        severities = _interference.Severity
        self.assertEqual(severities.LIGHT, self._severity('f'))
        self.assertEqual(severities.HEAVY, self._severity('g'))

    def test_heavy_estimate_decays(self):
        self.interference.record_disturbed_tail('s', 3.0, {'f': 0.3})
        self.assertEqual(_interference.Severity.HEAVY, self._severity())
        for second in range(1, 60):
            self.interference.decay(second * 1000)
        self.assertEqual(_interference.Severity.UNKNOWN, self._severity())

    def test_image_beside_a_heavy_one_is_not_blamed(self):
        self.interference.adopt_image_pairs(
            [records.ImagePair('s', 'f', True)]
        )
        for worker in 'abcd':
            self.interference.record_disturbed_tail(
                's', 3.0, {'f': 0.3, 'g': 0.1}, worker
            )
        severities = _interference.Severity
        self.assertEqual(severities.HEAVY, self._severity('f'))
        self.assertNotEqual(severities.HEAVY, self._severity('g'))

    def test_degraded_worker_blames_no_image(self):
        for _ in range(5):
            self.interference.record_calm_tail('s', 0.3, {'f': 0.2}, 'sound')
        for _ in range(20):
            self.interference.record_disturbed_tail(
                's', 30.0, {'f': 0.2}, 'unsound'
            )
        self.assertNotEqual(_interference.Severity.HEAVY, self._severity())
        for worker in 'abc':
            self.interference.record_disturbed_tail(
                's', 3.0, {'f': 0.3}, worker
            )
        self.assertEqual(_interference.Severity.HEAVY, self._severity())

    def test_next_leader_adopts_learned_pairs(self):
        self.interference.record_disturbed_tail('s', 3.0, {'f': 0.3})
        for _ in range(5):
            self.interference.record_calm_tail('t', 0.3, {'f': 0.2})
        learned_pairs = self.interference.changed_image_pairs({})
        agreed_pairs = {
            (pair.serving, pair.filling): pair for pair in learned_pairs
        }
        self.assertEqual(
            [], self.interference.changed_image_pairs(agreed_pairs)
        )
        next_model = _interference.InterferenceModel()
        next_model.adopt_image_pairs(learned_pairs)
        severities = _interference.Severity
        self.assertEqual(severities.HEAVY, next_model.severity('s', 'f'))
        self.assertEqual(severities.LIGHT, next_model.severity('t', 'f'))


class TailWindowTest(unittest.TestCase):
    def setUp(self):
        self.interference = _interference.InterferenceModel()
        self.window = _tails.TailWindow('a', self.interference)
        self.worker = _make_worker('a')
        serving_step = _make_step(lasts=True, image='s', tail_target_ms=10)
        self.serving_run = _add_run(self.worker, serving_step, 's')
        self.now_ms = 10_000

    def _add_best_effort(self, image):
        run = _add_run(self.worker, _make_step(fills=True, image=image), image)
        run.measurement = 2000
        return run

    def _add_sample(self, tail_ms, best_effort_runs, elapsed_ms=500):
        self.now_ms += elapsed_ms
        self.serving_run.measurement = tail_ms
        self.window.add_sample(
            best_effort_runs, [self.serving_run], WORKER_CPU, self.now_ms
        )

    def test_recovering_tail_blames_nobody(self):
        """A tail falls for seconds after its cause has ended."""
        heavy_run = self._add_best_effort('f')
        self._add_sample(4, [heavy_run])
        for tail_ms in (100, 100):
            self._add_sample(tail_ms, [heavy_run])
        later_run = self._add_best_effort('g')
        for tail_ms in (60, 35, 20, 11):
            self._add_sample(tail_ms, [later_run])
        severities = _interference.Severity
        self.assertEqual(
            severities.HEAVY, self.interference.severity('s', 'f')
        )
        self.assertEqual(
            severities.UNKNOWN, self.interference.severity('s', 'g')
        )

    def test_polls_within_half_a_second_count_once(self):
        run = self._add_best_effort('f')
        run.measurement = 1000
        self._add_sample(4, [run])
        self._add_sample(4, [run])
        severity_before = self.interference.severity('s', 'f')
        for _ in range(4):
            self._add_sample(4, [run], 50)
        self.assertEqual(_interference.Severity.UNKNOWN, severity_before)
        self.assertEqual(severity_before, self.interference.severity('s', 'f'))

    def test_peak_of_one_task_alone_blames_nobody(self):
        other_serving_runs = [
            _add_run(self.worker, self.serving_run.step, 's', index=index)
            for index in (1, 2)
        ]
        for run in other_serving_runs:
            run.measurement = 4
        best_effort_run = self._add_best_effort('f')
        for _ in range(4):
            self.now_ms += 500
            self.serving_run.measurement = 50
            self.window.add_sample(
                [best_effort_run],
                [self.serving_run, *other_serving_runs],
                WORKER_CPU,
                self.now_ms,
            )
        severity = self.interference.severity('s', 'f')
        self.assertEqual(_interference.Severity.LIGHT, severity)


class PacingTest(unittest.TestCase):
    def setUp(self):
        self.interference = _interference.InterferenceModel()
        self.pace_control = _pacing.PaceControl(self.interference)
        self.worker = _make_worker('a')
        serving_step = _make_step(lasts=True, image='s', tail_target_ms=10)
        self.serving_run = _add_run(self.worker, serving_step, 's')
        self.best_effort_run = _add_run(
            self.worker, _make_step(fills=True, image='f'), 'f'
        )
        self.best_effort_run.measurement = 2000

    def _observe(self, tail_ms, now_ms):
        self.serving_run.measurement = tail_ms
        runs = list(self.worker.runs.values())
        return self.pace_control.decide_paces(runs, WORKER_CPU, now_ms)

    def test_run_is_halted_within_one_poll(self):
        self.assertEqual([], self._observe(4, 1000))
        self.assertEqual(100, self.best_effort_run.wanted_pace_percent)
        self._observe(12, 1500)
        self.assertEqual(0, self.best_effort_run.wanted_pace_percent)

    def test_run_is_moved_once_known_to_disturb(self):
        self._observe(30, 1000)
        self.best_effort_run.pace_percent = 0
        self.assertEqual([self.best_effort_run], self._observe(30, 1800))

    def test_run_resumes_when_the_tail_is_calm(self):
        self.interference.decay(0)
        self._observe(9, 1000)
        self.assertEqual(0, self.best_effort_run.wanted_pace_percent)
        self.best_effort_run.pace_percent = 0
        self.best_effort_run.measurement = 0
        self._observe(4, 1300)
        self.assertEqual(0, self.best_effort_run.wanted_pace_percent)
        self._observe(4, 2000)
        self.assertEqual(100, self.best_effort_run.wanted_pace_percent)

    def test_nothing_is_paced_without_serving_tasks(self):
        self.worker.remove_run(self.serving_run.key)
        runs = list(self.worker.runs.values())
        self.assertEqual(
            [], self.pace_control.decide_paces(runs, WORKER_CPU, 1000)
        )
        self.assertEqual(100, self.best_effort_run.wanted_pace_percent)


class ClosedWorkersTest(unittest.TestCase):
    def test_workers_of_other_services_leave_room_for_a_start_alone(self):
        pool_round = _rounds.PlacementRound(
            'pool',
            [_make_worker(f'w{number}') for number in range(5)],
            _rounds.ReservationLimits(),
            0,
        )
        for name in ('other', 'another'):
            pool_round.close_worker(name)
        self.assertTrue(pool_round.may_close_worker)
        for name in ('w1', 'w2'):
            pool_round.close_worker(name)
        self.assertFalse(pool_round.may_close_worker)
        open_names = [
            worker.name
            for worker in pool_round.workers_for(
                _make_step(), ignores_reservations=True
            )
        ]
        self.assertEqual(['w0', 'w3', 'w4'], open_names)


class LeaseClockTest(unittest.TestCase):
    def test_lease_is_over_only_on_the_slowest_clock(self):
        clock = _clock.LeaseClock(5000)
        clock.record_reading(100, 0)
        until_ms = clock.extend_lease(0)
        self.assertEqual(5100, until_ms)
        self.assertFalse(clock.has_surely_expired(5100))
        self.assertTrue(clock.has_surely_expired(5150))

    def test_waits_for_leases_of_an_earlier_leader(self):
        clock = _clock.LeaseClock(5000, sole_leader_since_ms=0)
        self.assertFalse(clock.has_surely_expired(5200))
        self.assertTrue(clock.has_surely_expired(5210))

    def test_late_reading_changes_nothing(self):
        clock = _clock.LeaseClock(5000)
        clock.record_reading(10_000, 1000)
        clock.record_reading(9_000, 2000)
        self.assertEqual(16_000, clock.extend_lease(2000))


if __name__ == '__main__':
    unittest.main()
