"""Tests what the agreed state learns of the run times of tasks."""

import random
import unittest

import msgspec

from fuchsiatrestle.state import _run_times
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import machine
from fuchsiatrestle.state import workflows

HOST = 'shop.example'
WORKER = workflows.WorkerRecord(
    'w1', 5, '10.0.0.1:80', 'pool', 'dc', 8000, 8000, 0, []
)
QUEUE = workflows.Queue('q', HOST, '/q/', 'pool', 0, 3, 1.5, 250, 3000)
STEP = workflows.Step(1, estimate_ms=1000, image='i')


def _make_machine(*steps):
    """Returns a machine with the workflow ``a`` of these steps."""
    state_machine = machine.StateMachine()
    document = workflows.Document(1, [QUEUE], [workflows.Pool('pool', False)])
    spec = workflows.WorkflowSpec('', list(steps))
    for command in (
        commands.PutDocument(document, b''),
        commands.RecordProgress(1, 10, workers=[WORKER]),
        commands.SubmitWorkflow(HOST, '/q/a', spec, 10),
    ):
        _apply_command(state_machine, command)
    return state_machine


def _apply_command(state_machine, command):
    state_machine.apply(state_machine.applied_index + 1, command)


def _restore_machine(snapshot):
    state_machine = machine.StateMachine()
    state_machine.restore(snapshot)
    return state_machine


# Tag and fields of the snapshot of the workflows part before run times.
_OLD_ROW_LENGTH = 8  # with the tag, without ``run_ms`` and later fields
_OLD_PART_LENGTH = 6


def _remove_run_times(snapshot):
    """Returns a snapshot as the build before wrote it."""
    state = msgspec.msgpack.decode(snapshot)
    part = msgspec.msgpack.decode(state[2]['workflows'])
    for row in part[2]:
        del row[_OLD_ROW_LENGTH:]
    state[2]['workflows'] = msgspec.msgpack.encode(part[:_OLD_PART_LENGTH])
    return msgspec.msgpack.encode(state)


class RunTimesTest(unittest.TestCase):
    def setUp(self):
        self.run_times = _run_times.RunTimes()

    def _record(self, *run_times_ms, queue='q', number=0, step=STEP):
        for run_ms in run_times_ms:
            self.run_times.record_run(queue, number, step, run_ms)

    def _check(self, expected_ms, permille=500, **fields):
        """Checks an estimate for a step like ``STEP`` but for the fields."""
        step = msgspec.structs.replace(STEP, **fields)
        found_ms = self.run_times.estimate_ms('q', 0, step, permille)
        self.assertAlmostEqual(expected_ms, found_ms, delta=expected_ms / 31)

    def test_declared_estimate_holds_while_little_is_known(self):
        self._record(*[5000] * (_run_times.MIN_SAMPLES - 1))
        self.assertFalse(self.run_times.has_samples('q', 0, STEP))
        self.assertEqual(1000, self.run_times.estimate_ms('q', 0, STEP))
        self._record(5000)
        self.assertTrue(self.run_times.has_samples('q', 0, STEP))
        self._check(5000)
        self._check(500, estimate_ms=100)

    def test_no_ratio_without_an_estimate_or_an_end(self):
        for fields in ({'estimate_ms': 0}, {'lasts': True}):
            step = msgspec.structs.replace(STEP, **fields)
            self._record(*[5000] * 9, step=step)
            self.assertEqual([], self.run_times.to_rows())
            self._record(*[5000] * 9)
            self.assertFalse(self.run_times.has_samples('q', 0, step))
            self.run_times = _run_times.RunTimes()

    def test_stragglers_move_high_quantiles_only(self):
        self._record(*[500] * 95, *[7000] * 4)
        self._check(500)
        self._check(500, permille=950)
        self._check(7000, permille=980)

    def test_ratios_of_any_size_are_counted(self):
        """A ratio outside the buckets would stop each replica."""
        self._record(*[0] * 50, *[10**12] * 51)
        self._check(64000)
        self._check(1, permille=100)
        for ratio in range(_run_times.MAX_RATIO + 1):
            bucket = _run_times._find_bucket(ratio)
            middle = _run_times._find_middle(bucket)
            self.assertEqual(bucket, _run_times._find_bucket(middle))
            self.assertLessEqual(32 * abs(middle - ratio), ratio)
        self.assertEqual(207, bucket)

    def test_kind_is_the_image_or_the_queue_and_step(self):
        """Two kinds in one histogram would spoil the estimates of both."""
        unnamed = msgspec.structs.replace(STEP, image='')
        long_image = 'i' * (_run_times.MAX_IMAGE_LENGTH + 1)
        overlong = msgspec.structs.replace(STEP, image=long_image)
        self._record(*[2000] * 9, queue='other', number=3)
        self._record(*[3000] * 9, step=unnamed)
        self._record(*[4000] * 9, step=unnamed, number=1)
        self._record(*[6000] * 9, step=unnamed, queue='other')
        self._check(2000)
        self._check(3000, image='')
        self._check(3000, image=long_image)
        self._record(*[8000] * 30, step=overlong)
        self._check(8000, image='')
        self.assertEqual(4, len(self.run_times.to_rows()))

    def test_old_run_times_fade(self):
        """An image that got slower would be held for a fast one."""
        self._record(*[500] * 1000)
        self._record(*[4000] * _run_times.MAX_SAMPLES)
        self._check(4000)
        self._record(*[4000] * 5 * _run_times.MAX_SAMPLES)
        self.assertEqual(2, len(self.run_times.to_rows()[0].weights))
        self.assertLessEqual(
            self.run_times.list_kind_estimates()[0].sample_count,
            _run_times.MAX_SAMPLES,
        )

    def test_least_recently_updated_kinds_are_dropped(self):
        """Callers choose the images, which must not fill the memory."""
        for number in range(_run_times.MAX_KINDS + 3):
            step = msgspec.structs.replace(STEP, image=str(number))
            self._record(*[2000] * 5, step=step)
            self._record(2000)
        self.assertEqual(_run_times.MAX_KINDS, len(self.run_times.to_rows()))
        self._check(2000)
        self._check(1000, image='3')
        self._check(2000, image='4')

    def test_queries_do_not_change_the_stored_form(self):
        """Replicas that were asked differently would have other snapshots."""
        generator = random.Random(7)
        other = _run_times.RunTimes()
        for number in range(3000):
            step = msgspec.structs.replace(
                STEP, image=str(generator.randrange(600))
            )
            run_ms = generator.randrange(1, 9000)
            self._record(run_ms, step=step)
            other.record_run('q', 0, step, run_ms)
            queried_step = msgspec.structs.replace(
                STEP, image=str(generator.randrange(600))
            )
            for permille in generator.sample((1, 500, 990, 1000), 2):
                self.run_times.estimate_ms('q', 0, queried_step, permille)
            self.run_times.list_kind_estimates()
            if number % 100 == 0:
                other = _run_times.RunTimes.from_rows(other.to_rows())
                self.assertEqual(self.run_times.to_rows(), other.to_rows())


class RecordedRunsTest(unittest.TestCase):
    """Which runs the workflows part counts, and its snapshots."""

    def setUp(self):
        self.machine = _make_machine(msgspec.structs.replace(STEP, count=20))
        self.end_count = 0

    def _run_task(
        self, index, run_ms=3000, run=1, how='done', checkpoint='', placed=50
    ):
        task = workflows.TaskId('a', 0, 0, index)
        live_run = workflows.LiveRun(task, run, 'w1', 5, placed)
        self.end_count += 1
        run_end = commands.RunEnd(
            'w1', 5, self.end_count, task, run, how, checkpoint
        )
        _apply_command(
            self.machine,
            commands.RecordProgress(1, 20, placed=[live_run]),
        )
        _apply_command(
            self.machine,
            commands.RecordProgress(1, placed + run_ms, ends=[run_end]),
        )

    def _has_samples(self):
        part = self.machine.workflows
        return part.run_times.has_samples('q', 0, STEP)

    def test_whole_runs_that_are_done_count(self):
        for index in range(5):
            self.assertFalse(self._has_samples())
            self._run_task(index)
        self.assertTrue(self._has_samples())
        part = self.machine.workflows
        self.assertEqual(3000, part.find_workflow('a').median_run_ms(0))

    def test_other_runs_do_not_count(self):
        for index in range(7):
            self._run_task(index, how='stopped', checkpoint='half')
            self._run_task(index, 100, run=2)
        for index in range(7, 14):
            self._run_task(index, how='failed')
            self._run_task(index, run=2, placed=0)
        now_ms = 10**6
        _apply_command(self.machine, commands.RecordProgress(1, now_ms))
        for index in range(14, 20):
            self._run_task(index, -1, placed=now_ms + 1)
        self.assertEqual('completed', self._find_workflow().state)
        self.assertFalse(self._has_samples())
        self.assertIsNone(self._find_workflow().median_run_ms(0))

    def test_run_times_are_right_after_the_clock_was_set_back(self):
        """The latest agreed time is then ahead of the clock for long."""
        _apply_command(self.machine, commands.RecordProgress(1, 10**6))
        for index in range(5):
            self._run_task(index)
        part = self.machine.workflows
        self.assertEqual(3000, part.find_workflow('a').median_run_ms(0))

    def test_long_running_tasks_do_not_count(self):
        step = msgspec.structs.replace(STEP, count=5, lasts=True)
        self.machine = _make_machine(step)
        for index in range(5):
            self._run_task(index)
        self.assertFalse(self._has_samples())
        self.assertIsNone(self._find_workflow().median_run_ms(0))

    def _find_workflow(self):
        return self.machine.workflows.find_workflow('a')

    def test_no_median_of_a_step_while_most_of_it_executes(self):
        """The first tasks to end are the shortest ones of their step."""
        for index in range(4, 10):
            live_run = workflows.LiveRun(
                workflows.TaskId('a', 0, 0, index), 1, 'w1', 5, 1
            )
            _apply_command(
                self.machine, commands.RecordProgress(1, 1, placed=[live_run])
            )
        medians = []
        for index in (0, 1, 2, 3, 10, 11):
            self._run_task(index)
            medians.append(self._find_workflow().median_run_ms(0))
        self.assertEqual([None] * 5 + [3000], medians)

    def test_new_leader_knows_as_much_as_the_old_one(self):
        for index in range(20):
            self._run_task(index, 1000 + 200 * index)
            snapshot = self.machine.snapshot()
            other = _restore_machine(snapshot)
            self.assertEqual(snapshot, other.snapshot())
            for permille in (100, 500, 900):
                self.assertEqual(
                    *[
                        replica.workflows.run_times.estimate_ms(
                            'q', 0, STEP, permille
                        )
                        for replica in (self.machine, other)
                    ]
                )
            self.assertEqual(
                self._find_workflow().median_run_ms(0),
                other.workflows.find_workflow('a').median_run_ms(0),
            )
            if index % 7 == 0:
                self.machine = other

    def test_snapshot_of_the_build_before_restores(self):
        for index in range(9):
            self._run_task(index)
        snapshot = _remove_run_times(self.machine.snapshot())
        self.machine = _restore_machine(snapshot)
        self.assertFalse(self._has_samples())
        self.assertIsNone(self._find_workflow().median_run_ms(0))
        self.assertEqual(snapshot, _remove_run_times(self.machine.snapshot()))
        for index in range(9, 14):
            self._run_task(index)
        self.assertTrue(self._has_samples())


if __name__ == '__main__':
    unittest.main()
