"""Decisions of the dispatcher's parts, each on its own."""

import unittest

from fuchsiatrestle.state import workflows as records
from fuchsiatrestle.workflows import _backlog
from fuchsiatrestle.workflows import _clock
from fuchsiatrestle.workflows import _fleet
from fuchsiatrestle.workflows import _interference
from fuchsiatrestle.workflows import _pacing
from fuchsiatrestle.workflows import _placement
from fuchsiatrestle.workflows import _runs
from fuchsiatrestle.workflows import _tails

QUEUE = records.Queue('q', 'h', '/q/', 'pool', 0, 3, 1.5, 250, 3000)
CPU = 10_000


def _worker(name, labels=('a', 'r1'), cpu=CPU):
    record = records.WorkerRecord(
        name, 1, f'{name}:1', 'pool', 'dc', cpu, 100_000, 0, list(labels)
    )
    return _fleet.Worker(record, _clock.LeaseClock(5000, 6000))


def _step(count=1, **fields):
    fields.setdefault('cpu', 1000)
    return records.Step(count, memory_mb=10, **fields)


def _group(step, name='w'):
    waiting = [
        records.TaskId(name, 0, 0, index) for index in range(step.count)
    ]
    spec = records.WorkflowSpec('', [step])

    class _Workflow:
        workflow_id = name

    _Workflow.spec = spec
    return _backlog.Group(_Workflow, 0, 0, waiting)


def _run(worker, step, name, phase=_runs.Phase.RUNNING, index=0):
    live = records.LiveRun(
        records.TaskId(name, 0, 0, index), 1, worker.name, 1
    )
    run = _runs.Run(live, step, phase)
    worker.add(run)
    return run


class PlacementTest(unittest.TestCase):
    def setUp(self):
        self.interference = _interference.Interference()
        self.placer = _placement.BestFit(self.interference)

    def _place(self, step, workers):
        pairs = self.placer.place(_group(step), workers)
        return [worker.name for _, worker in pairs]

    def test_never_beyond_the_room(self):
        workers = [_worker('a', cpu=2500), _worker('b', cpu=1500)]
        self.assertEqual(['b', 'a', 'a'], self._place(_step(9), workers))
        self.assertEqual([], self._place(_step(1, cpu=3000), workers))

    def test_labels_and_spread(self):
        workers = [_worker('a', ['x', 'r1']), _worker('b', ['y', 'r1'])]
        self.assertEqual(['b'], self._place(_step(1, label='y'), workers))
        spread = _step(5, most_per_worker=2)
        placed = self._place(spread, workers)
        self.assertEqual(['a', 'a', 'b', 'b'], sorted(placed))

    def test_spread_counts_what_is_there(self):
        worker = _worker('a')
        step = _step(3, most_per_worker=1)
        _run(worker, step, 'w')
        self.assertEqual([], self._place(step, [worker]))

    def test_near_the_data_first_then_elsewhere(self):
        near = _worker('near', ['a', 'r2'], cpu=1000)
        workers = [_worker('far'), near]
        step = _step(2, data_rack='r2')
        self.assertEqual(['near', 'far'], self._place(step, workers))

    def test_gang_is_placed_whole_or_not(self):
        workers = [_worker('a', cpu=2000), _worker('b', cpu=1000)]
        self.assertEqual([], self._place(_step(4, gang=True), workers))
        self.assertEqual(3, len(self._place(_step(3, gang=True), workers)))

    def test_gang_on_one_rack_if_it_fits(self):
        workers = [
            _worker('a', ['k', 'r1'], cpu=1000),
            _worker('b', ['k', 'r2'], cpu=1000),
            _worker('c', ['k', 'r2'], cpu=1000),
        ]
        step = _step(2, gang=True, one_rack=True)
        self.assertEqual({'b', 'c'}, set(self._place(step, workers)))

    def test_filling_task_avoids_what_it_disturbs(self):
        heavy, other = _worker('heavy'), _worker('other')
        _run(heavy, _step(lasts=True, image='s', tail_target_ms=9), 's')
        self.interference.disturbed('s', 5.0, {'f': 0.3})
        step = _step(1, fills=True, image='f')
        self.assertEqual(['other'], self._place(step, [heavy, other]))
        self.assertEqual([], self._place(step, [heavy]))

    def test_one_unknown_image_at_a_time(self):
        worker = _worker('a')
        _run(worker, _step(lasts=True, image='s', tail_target_ms=9), 's')
        _run(worker, _step(fills=True, image='f'), 'f')
        step = _step(1, fills=True, image='g')
        self.assertEqual([], self._place(step, [worker]))
        for _ in range(3):
            self.interference.calm('s', 0.4, {'f': 0.2})
        self.assertEqual(['a'], self._place(step, [worker]))

    def test_what_fills_leaves_the_workers_that_most_may_use(self):
        """An image that disturbs none goes where the others may not go."""
        workers = [_worker('open', cpu=30_000), _worker('closed')]
        for worker, image in zip(workers, 'st', strict=True):
            step = _step(lasts=True, image=image, tail_target_ms=9)
            _run(worker, step, image)
        pairs = [
            records.ImagePair(serving, filling, serving + filling == 'tf')
            for serving in 'st'
            for filling in 'fg'
        ]
        self.interference.adopt(pairs)
        light = _step(1, fills=True, image='g')
        self.assertEqual(['closed'], self._place(light, workers))
        heavy = _step(1, fills=True, image='f')
        self.assertEqual(['open'], self._place(heavy, workers))

    def test_serving_tasks_of_one_image_go_together(self):
        workers = [_worker(name) for name in 'abcdefgh']
        step = _step(1, lasts=True, image='s', tail_target_ms=9)
        other = _step(1, lasts=True, image='t', tail_target_ms=9)
        _run(workers[3], step, 'first')
        _run(workers[5], other, 'second')
        self.assertEqual(['d'], self._place(step, workers))

    def test_serving_image_shares_a_worker_with_its_like(self):
        """What is disturbed by the same images goes together."""
        workers = [_worker(name) for name in 'ab']
        for worker, image in zip(workers, ('u', 't'), strict=True):
            step = _step(lasts=True, image=image, tail_target_ms=9)
            _run(worker, step, image)
        for image in 'st':
            self.interference.disturbed(image, 5.0, {'f': 0.3})
            for _ in range(3):
                self.interference.calm(image, 0.4, {'g': 0.3})
        for _ in range(3):
            self.interference.calm('u', 0.4, {'f': 0.3})
        step = _step(1, lasts=True, image='s', tail_target_ms=9)
        self.assertEqual(['b'], self._place(step, workers))

    def test_filling_work_finds_room_on_a_fleet_that_serves(self):
        """Five serving images fill most of a fleet before anything is known.

        Each of the images that fill is heavy beside two or three of them.
        """
        workers = [_worker(f'w{number}', cpu=32000) for number in range(33)]
        images = 'abcde'
        for number in range(210):
            image = images[number % len(images)]
            step = _step(
                1, cpu=4500, lasts=True, image=image, tail_target_ms=9
            )
            group = _group(step, f'job-{number}')
            for _, worker in self.placer.place(group, workers):
                _run(worker, step, f'job-{number}')
        for heavy in ('ab', 'cde'):
            light_share = 1 - len(heavy) / len(images)
            found = _count_without(workers, heavy)
            self.assertGreaterEqual(found, light_share * len(workers))


def _count_without(workers, images):
    """Returns the number of workers that serve none of some images."""
    return sum(not worker.serving_images & set(images) for worker in workers)


class InterferenceTest(unittest.TestCase):
    def setUp(self):
        self.interference = _interference.Interference()

    def _verdict(self, image='f'):
        return self.interference.verdict('s', image)

    def test_unknown_until_shown(self):
        verdict = _interference.Verdict
        self.assertEqual(verdict.UNKNOWN, self._verdict())
        self.interference.calm('s', 0.3, {'f': 0.05})
        self.assertEqual(verdict.UNKNOWN, self._verdict())
        for _ in range(3):
            self.interference.calm('s', 0.3, {'f': 0.2})
        self.assertEqual(verdict.LIGHT, self._verdict())

    def test_known_light_image_is_not_blamed_for_another(self):
        for _ in range(5):
            self.interference.calm('s', 0.3, {'f': 0.2})
        self.interference.disturbed('s', 3.0, {'f': 0.3, 'g': 0.1})
        verdict = _interference.Verdict
        self.assertEqual(verdict.LIGHT, self._verdict('f'))
        self.assertEqual(verdict.HEAVY, self._verdict('g'))

    def test_blame_fades(self):
        self.interference.disturbed('s', 3.0, {'f': 0.3})
        self.assertEqual(_interference.Verdict.HEAVY, self._verdict())
        for second in range(1, 60):
            self.interference.fade(second * 1000)
        self.assertEqual(_interference.Verdict.UNKNOWN, self._verdict())

    def test_what_ran_beside_a_heavy_image_is_not_blamed(self):
        self.interference.adopt([records.ImagePair('s', 'f', True)])
        for worker in 'abcd':
            self.interference.disturbed('s', 3.0, {'f': 0.3, 'g': 0.1}, worker)
        verdict = _interference.Verdict
        self.assertEqual(verdict.HEAVY, self._verdict('f'))
        self.assertNotEqual(verdict.HEAVY, self._verdict('g'))

    def test_unsound_worker_blames_no_image(self):
        for _ in range(5):
            self.interference.calm('s', 0.3, {'f': 0.2}, 'sound')
        for _ in range(20):
            self.interference.disturbed('s', 30.0, {'f': 0.2}, 'unsound')
        self.assertNotEqual(_interference.Verdict.HEAVY, self._verdict())
        for worker in 'abc':
            self.interference.disturbed('s', 3.0, {'f': 0.3}, worker)
        self.assertEqual(_interference.Verdict.HEAVY, self._verdict())

    def test_next_leader_believes_what_this_one_learnt(self):
        self.interference.disturbed('s', 3.0, {'f': 0.3})
        for _ in range(5):
            self.interference.calm('t', 0.3, {'f': 0.2})
        learnt = self.interference.changes({})
        agreed = {(one.serving, one.filling): one for one in learnt}
        self.assertEqual([], self.interference.changes(agreed))
        other = _interference.Interference()
        other.adopt(learnt)
        verdict = _interference.Verdict
        self.assertEqual(verdict.HEAVY, other.verdict('s', 'f'))
        self.assertEqual(verdict.LIGHT, other.verdict('t', 'f'))


class TailWindowTest(unittest.TestCase):
    def setUp(self):
        self.interference = _interference.Interference()
        self.window = _tails.TailWindow('a', self.interference)
        self.worker = _worker('a')
        serving = _step(lasts=True, image='s', tail_target_ms=10)
        self.serving = _run(self.worker, serving, 's')
        self.now_ms = 10_000

    def _fill(self, image):
        run = _run(self.worker, _step(fills=True, image=image), image)
        run.figure = 2000
        return run

    def _look(self, tail_ms, filling, after_ms=500):
        self.now_ms += after_ms
        self.serving.figure = tail_ms
        self.window.observe(filling, [self.serving], CPU, self.now_ms)

    def test_recovering_tail_blames_nobody(self):
        """A tail falls for seconds after its cause has gone."""
        heavy = self._fill('f')
        self._look(4, [heavy])
        for tail_ms in (100, 100):
            self._look(tail_ms, [heavy])
        other = self._fill('g')
        for tail_ms in (60, 35, 20, 11):
            self._look(tail_ms, [other])
        verdict = _interference.Verdict
        self.assertEqual(verdict.HEAVY, self.interference.verdict('s', 'f'))
        self.assertEqual(verdict.UNKNOWN, self.interference.verdict('s', 'g'))

    def test_looks_within_half_a_second_count_once(self):
        run = self._fill('f')
        run.figure = 1000
        self._look(4, [run])
        self._look(4, [run])
        once = self.interference.verdict('s', 'f')
        for _ in range(4):
            self._look(4, [run], 50)
        self.assertEqual(_interference.Verdict.UNKNOWN, once)
        self.assertEqual(once, self.interference.verdict('s', 'f'))

    def test_peak_of_one_task_alone_blames_nobody(self):
        others = [
            _run(self.worker, self.serving.step, 's', index=index)
            for index in (1, 2)
        ]
        for run in others:
            run.figure = 4
        filling = self._fill('f')
        for _ in range(4):
            self.now_ms += 500
            self.serving.figure = 50
            self.window.observe(
                [filling], [self.serving, *others], CPU, self.now_ms
            )
        verdict = self.interference.verdict('s', 'f')
        self.assertEqual(_interference.Verdict.LIGHT, verdict)


class PacingTest(unittest.TestCase):
    def setUp(self):
        self.interference = _interference.Interference()
        self.control = _pacing.PaceControl(self.interference)
        self.worker = _worker('a')
        serving = _step(lasts=True, image='s', tail_target_ms=10)
        self.serving = _run(self.worker, serving, 's')
        self.filling = _run(self.worker, _step(fills=True, image='f'), 'f')
        self.filling.figure = 2000

    def _observe(self, tail_ms, now_ms):
        self.serving.figure = tail_ms
        runs = list(self.worker.runs.values())
        return self.control.observe(runs, CPU, now_ms)

    def test_halted_within_one_look(self):
        self.assertEqual([], self._observe(4, 1000))
        self.assertEqual(100, self.filling.wanted_pace)
        self._observe(12, 1500)
        self.assertEqual(0, self.filling.wanted_pace)

    def test_moved_once_known_to_disturb(self):
        self._observe(30, 1000)
        self.filling.pace = 0
        self.assertEqual([self.filling], self._observe(30, 1800))

    def test_goes_on_when_the_tail_has_calmed(self):
        self.interference.fade(0)
        self._observe(9, 1000)
        self.assertEqual(0, self.filling.wanted_pace)
        self.filling.pace = 0
        self.filling.figure = 0
        self._observe(4, 1300)
        self.assertEqual(0, self.filling.wanted_pace)
        self._observe(4, 2000)
        self.assertEqual(100, self.filling.wanted_pace)

    def test_nothing_is_paced_without_serving_tasks(self):
        self.worker.drop(self.serving.key)
        runs = list(self.worker.runs.values())
        self.assertEqual([], self.control.observe(runs, CPU, 1000))
        self.assertEqual(100, self.filling.wanted_pace)


class LeaseClockTest(unittest.TestCase):
    def test_over_only_on_the_slowest_clock(self):
        clock = _clock.LeaseClock(5000, 6000)
        clock.note(100, 0)
        until_ms = clock.extend(0)
        self.assertEqual(5100, until_ms)
        self.assertFalse(clock.is_over(5100))
        self.assertTrue(clock.is_over(5150))

    def test_waits_for_leases_of_an_earlier_leader(self):
        clock = _clock.LeaseClock(5000, 6000, since_ms=0)
        self.assertFalse(clock.is_over(6000))
        self.assertTrue(clock.is_over(8200))

    def test_late_reading_changes_nothing(self):
        clock = _clock.LeaseClock(5000, 6000)
        clock.note(10_000, 1000)
        clock.note(9_000, 2000)
        self.assertEqual(16_000, clock.extend(2000))


if __name__ == '__main__':
    unittest.main()
