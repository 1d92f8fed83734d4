"""Evacuates data centres in the simulated world.

Guards against starts in a data centre after its evacuation was agreed, against
tasks that are lost or missed because they move, and against work for workers
that are still cold.
"""

import logging
import random
import unittest
from unittest import mock

import msgspec

from fuchsiatrestle.state import commands
from fuchsiatrestle.state import workflows as records
from fuchsiatrestle import workflows
from fuchsiatrestle.workflows import _placement
from standins import worker_model
from tests.fakes import dispatch_world

WORKER_COUNT = 4
# The workers with an even number stand in ``left``, the others in ``right``.
LEFT = ('w0', 'w2')
FAULTS = dispatch_world.Faults(0.05, 0.05, 0.05)
LASTING = records.Step(4, cpu=1000, memory_mb=10, lasts=True, may_miss=2)
LASTING_PROFILE = worker_model.TaskProfile(1000, 10, None)


def _make_batch(work_ms, count=2, **fields):
    """Returns a step and its profile."""
    step = records.Step(
        count, cpu=1000, memory_mb=10, estimate_ms=work_ms, **fields
    )
    profile = worker_model.TaskProfile(
        1000, 10, work_ms, writes_checkpoints=step.checkpoints
    )
    return step, profile


class EvacuationTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def _make_world(self, seed=1, **fields):
        fields.setdefault('features', workflows.Features(evacuation_ms=5000))
        self.world = dispatch_world.World(seed, workers=0, **fields)
        for number in range(WORKER_COUNT):
            side = 'right' if number % 2 else 'left'
            self.world.data_centre_by_worker[f'w{number}'] = side
            self.world.add_worker(f'w{number}')
        self.world.run(200)

    def _order(self, data_centre, make_command=commands.StartEvacuation):
        evacuations = self.world.machine.evacuations.make_list()
        self.world.apply_agreed(
            make_command(
                data_centre, evacuations.find_order_count(data_centre)
            )
        )

    def _end(self, data_centre):
        self._order(data_centre, commands.EndEvacuation)

    def _submit(self, workflow_id, step, profile):
        self.world.submit(workflow_id, [step], [profile])

    def _running_workers(self, workflow_id):
        return [
            worker
            for (task, _), worker in self.world.ledger.running.items()
            if task.workflow_id == workflow_id
        ]

    def _count_running_left(self, workflow_id):
        return sum(
            worker in LEFT for worker in self._running_workers(workflow_id)
        )

    def _count_starts_left(self):
        return sum(
            order.worker in LEFT for _, order in self.world.start_orders
        )

    def _assert_no_start_left(self, duration_ms):
        count = self._count_starts_left()
        self.world.run(duration_ms)
        self.assertEqual(count, self._count_starts_left())

    def _fill_left(self, workflow_id='stays', work_ms=20_000, **fields):
        """Starts a task of a workflow on each worker of ``left``."""
        self._order('right')
        self._submit(workflow_id, *_make_batch(work_ms, **fields))
        self.world.run(500)
        self._end('right')
        self.assertEqual(2, self._count_running_left(workflow_id))

    # Starts

    def test_nothing_is_started_until_the_end(self):
        self._make_world()
        self._order('left')
        self._submit('many', *_make_batch(1000, count=40))
        self._assert_no_start_left(2000)
        self.assertEqual(16, len(self._running_workers('many')))
        self._end('left')
        self.world.run(500)
        self.assertGreater(self._count_running_left('many'), 0)
        self.assertEqual([], self.world.ledger.breaches)

    def test_placement_that_is_agreed_later_is_not_ordered(self):
        self._make_world()
        self.world.added_agreement_ms = 500
        self._submit('w', *_make_batch(1000, count=16))
        self.world.run(300)
        self._order('left')
        self._assert_no_start_left(600)
        self.world.run_until(
            lambda: self.world.workflow_state('w') == 'completed', 10_000
        )

    def test_unanswered_start_is_not_ordered_again(self):
        self._make_world()
        self.world.startless_workers.update(LEFT)
        self._submit('w', *_make_batch(1000, count=16))
        self.world.run(100)
        self.assertGreater(self._count_starts_left(), 0)
        self._order('left')
        self._assert_no_start_left(1000)
        self.world.startless_workers.clear()
        self._assert_no_start_left(8000)
        self.assertEqual('completed', self.world.workflow_state('w'))
        self.assertEqual([], self.world.ledger.breaches)

    def test_started_run_whose_answer_was_lost_goes_on(self):
        """A long-running task must not be stopped as it seems not started."""
        self._make_world()
        step = records.Step(16, cpu=1000, memory_mb=10, lasts=True)
        self.world.voiceless_workers.update(LEFT)
        self._submit('lasting', step, LASTING_PROFILE)
        self.world.run(300)
        count = self._count_running_left('lasting')
        self.assertGreater(count, 0)
        self._order('left')
        self.world.run(900)
        self.world.voiceless_workers.clear()
        self._assert_no_start_left(6000)
        self.assertEqual(count, self._count_running_left('lasting'))
        self.assertEqual([], self.world.ledger.breaches)

    def test_answer_to_another_order_does_not_tell_that_a_start_failed(self):
        """Only a list tells; the answer to a stop came before it."""
        for delay_ms in range(0, 1000, 100):
            with self.subTest(delay_ms=delay_ms):
                self._make_world()
                self._fill_left()
                self._order('right')
                self.world.run(delay_ms)
                self.world.voiceless_workers.update(LEFT)
                step = records.Step(2, cpu=1000, memory_mb=10, lasts=True)
                self._submit('lasting', step, LASTING_PROFILE)
                self.world.run(900)
                self._order('left')
                self.world.run(150)
                self.world.voiceless_workers.clear()
                self.world.cancel('stays')
                self.world.run(3000)
                self.assertEqual(2, self._count_running_left('lasting'))

    def test_new_leader_orders_no_start_and_stops_no_run(self):
        self._make_world()
        self._fill_left()
        self.world.startless_workers.update(LEFT)
        self._submit('w', *_make_batch(1000, count=16))
        self.world.run(100)
        self._order('left')
        self.world.start_leader()
        self.world.startless_workers.clear()
        self._assert_no_start_left(8000)
        self.assertEqual(2, self._count_running_left('stays'))
        self.assertEqual('completed', self.world.workflow_state('w'))
        self.assertEqual([], self.world.ledger.breaches)

    def test_evacuation_outlasts_a_power_loss(self):
        self._make_world()
        self._order('left')
        self.world.restore_replicas()
        self._submit('w', *_make_batch(1000, count=16))
        self._assert_no_start_left(3000)

    def test_restarted_worker_gets_no_start(self):
        self._make_world()
        self._fill_left(work_ms=3000)
        self._order('left')
        for name in LEFT:
            self.world.crash_worker(name, 300)
        self._assert_no_start_left(12_000)
        self.assertEqual('completed', self.world.workflow_state('stays'))
        self.assertEqual([], self.world.ledger.breaches)

    def test_work_waits_while_all_data_centres_are_evacuated(self):
        self._make_world()
        for data_centre in ('left', 'right', 'empty'):
            self._order(data_centre)
        self._submit('w', *_make_batch(500))
        self.world.run(5000)
        self.assertEqual([], self.world.start_orders)
        self._end('right')
        self.world.run(2000)
        self.assertEqual('completed', self.world.workflow_state('w'))

    def test_no_start_whatever_faults_come(self):
        for seed in range(12):
            with self.subTest(seed=seed):
                self._run_with_faults(seed)

    def _run_with_faults(self, seed):
        source = random.Random(seed)
        self._make_world(seed, faults=FAULTS)
        for number in range(40):
            step, profile = _make_batch(
                source.randint(200, 4000), checkpoints=source.random() < 0.5
            )
            self._submit(f'w{number}', step, profile)
            fault = source.randrange(8)
            if fault == 0:
                self.world.start_leader()
            elif fault == 1:
                self.world.restore_replicas()
            elif fault == 2:
                name = source.choice(self.world.worker_names())
                self.world.crash_worker(name, 400)
            if number % 8 == 3:
                self._order('left')
            if number % 8 in (3, 4, 5):
                self._assert_no_start_left(source.randint(100, 1500))
            if number % 8 == 5:
                self._end('left')
            self.world.run(source.randint(10, 500))
        self.world.run(30_000)
        for number in range(40):
            self.assertEqual(
                'completed', self.world.workflow_state(f'w{number}')
            )
        self.assertEqual([], self.world.ledger.breaches)

    def test_without_the_feature_an_evacuation_changes_nothing(self):
        self._make_world(features=None)
        self._order('left')
        self._submit('many', *_make_batch(1000, count=20))
        self.world.run(500)
        self.assertGreater(self._count_running_left('many'), 0)

    # Moves

    def test_task_that_saves_its_progress_moves_if_much_is_left(self):
        for work_ms, checkpoints, remaining_count in (
            (20_000, True, 0),
            (20_000, False, 2),
            (4000, True, 2),
        ):
            with self.subTest(work_ms=work_ms, checkpoints=checkpoints):
                self._make_world()
                self._fill_left(work_ms=work_ms, checkpoints=checkpoints)
                self._order('left')
                self._assert_no_start_left(2500)
                self.assertEqual(
                    remaining_count, self._count_running_left('stays')
                )
                self.assertEqual(2, len(self._running_workers('stays')))

    def test_nothing_moves_while_capacity_elsewhere_is_short(self):
        """Moved tasks would wait, or take the room that others need."""
        self._make_world()
        self._order('left')
        for number in range(2):
            self.world.submit_task(f'large-{number}', 6500)
        self.world.run(500)
        self._end('left')
        self._fill_left(checkpoints=True)
        self._order('left')
        self.world.run(3000)
        self.assertEqual(2, self._count_running_left('stays'))

    def test_no_more_tasks_move_than_there_is_room_for(self):
        """The others would wait, and lose what they have not saved."""
        for name, fields in (
            ('memory', {'memory_mb': dispatch_world.MEMORY_MIB // 2}),
            ('processor time', {'fills': True, 'cpu': 3000, 'image': 'f'}),
        ):
            with self.subTest(scarce=name):
                self._make_world()
                fields = {'memory_mb': 10, 'cpu': 100, **fields}
                step = records.Step(
                    4, estimate_ms=30_000, checkpoints=True, **fields
                )
                profile = worker_model.TaskProfile(
                    step.cpu,
                    step.memory_mb,
                    30_000,
                    image=step.image,
                    fills=step.fills,
                    writes_checkpoints=True,
                )
                self._order('left')
                self._submit(
                    'other', msgspec.structs.replace(step, count=3), profile
                )
                self.world.run(500)
                self._end('left')
                self._order('right')
                self._submit('stays', step, profile)
                self.world.run(500)
                self._end('right')
                self._order('left')
                least_count = 4
                for _ in range(200):
                    self.world.run(20)
                    running_count = len(self._running_workers('stays'))
                    least_count = min(least_count, running_count)
                self.assertEqual(3, least_count)
                self.assertEqual(3, self._count_running_left('stays'))

    def test_runs_without_room_elsewhere_cost_the_leader_little(self):
        """It must not look for room for each run in each round."""
        self._make_world()
        memory_mb = dispatch_world.MEMORY_MIB // 8
        fields = {'memory_mb': memory_mb, 'cpu': 100, 'checkpoints': True}
        step = records.Step(16, estimate_ms=30_000, **fields)
        profile = worker_model.TaskProfile(
            100, memory_mb, 30_000, writes_checkpoints=True
        )
        for data_centre, workflow_id in (('left', 'other'), ('right', 'w')):
            self._order(data_centre)
            self._submit(workflow_id, step, profile)
            self.world.run(500)
            self._end(data_centre)
        self._order('left')
        with mock.patch.object(
            _placement, 'has_room', wraps=_placement.has_room
        ) as has_room:
            self.world.run(2000)
        self.assertEqual(16, self._count_running_left('w'))
        # Four times a second, once for each worker.
        self.assertLessEqual(has_room.call_count, 2 * 4 * 2 + 2)

    def test_long_running_tasks_move_one_at_a_time(self):
        for may_miss, moves in ((0, False), (1, True), (2, True)):
            with self.subTest(may_miss=may_miss):
                self._make_world()
                self._order('right')
                step = records.Step(
                    4, cpu=1000, memory_mb=10, lasts=True, may_miss=may_miss
                )
                self._submit('lasting', step, LASTING_PROFILE)
                self.world.run(500)
                self._end('right')
                self._order('left')
                least_count = 4
                for _ in range(500):
                    self.world.run(20)
                    running_count = len(self._running_workers('lasting'))
                    least_count = min(least_count, running_count)
                self.assertEqual(4 - moves, least_count)
                self.assertEqual(
                    0 if moves else 4, self._count_running_left('lasting')
                )

    def test_no_task_moves_while_another_of_its_step_is_missing(self):
        self._make_world()
        step = records.Step(
            4,
            cpu=1000,
            memory_mb=10,
            lasts=True,
            may_miss=1,
            most_per_worker=2,
        )
        self._submit('lasting', step, LASTING_PROFILE)
        self.world.run(500)
        (cut_off,) = set(self._running_workers('lasting')) - set(LEFT)
        self.world.unreachable_workers.add(cut_off)
        self.world.run(1500)
        count = self._count_running_left('lasting')
        self._order('left')
        self.world.run(2000)
        self.assertEqual(count, self._count_running_left('lasting'))
        self.world.unreachable_workers.clear()
        self.world.run(10_000)
        self.assertEqual(0, self._count_running_left('lasting'))

    def test_no_more_tasks_are_missed_than_allowed_over_leaders(self):
        """A new leader does not know which tasks the old one has stopped."""
        for seed in range(6):
            with self.subTest(seed=seed):
                self._make_world(seed)
                self._order('right')
                self._submit('lasting', LASTING, LASTING_PROFILE)
                self.world.run(500)
                self._end('right')
                self._order('left')
                self.world.added_agreement_ms = 200
                for _ in range(40):
                    self.world.run(150 + 10 * seed)
                    self.world.start_leader()
                    self.assertGreaterEqual(
                        len(self._running_workers('lasting')), 2
                    )
                self.world.run(20_000)
                self.assertEqual(0, self._count_running_left('lasting'))

    # Return

    def _end_cold(self):
        """Ends an evacuation after which ``left`` is cold for 4 s."""
        self._order('left')
        self.world.run(1000)
        for name in LEFT:
            self.world.cold_until_ms_by_worker[name] = self.world.now_ms + 4000
        self.world.run(1600)
        self._end('left')

    def test_cold_workers_get_what_warm_ones_have_no_room_for(self):
        self._make_world()
        self._end_cold()
        self._submit('fits', *_make_batch(20_000, count=16))
        self.world.run(400)
        self.assertEqual(0, self._count_running_left('fits'))
        self.assertEqual(16, len(self._running_workers('fits')))
        self._submit('more', *_make_batch(20_000))
        self.world.run(400)
        self.assertEqual(2, self._count_running_left('more'))

    def test_gang_prefers_warm_workers(self):
        self._make_world()
        self._end_cold()
        step, profile = _make_batch(20_000, gang=True, one_rack=True)
        self._submit('gang', step, profile)
        self.world.run(400)
        self.assertEqual(0, self._count_running_left('gang'))

    def test_cold_workers_get_no_serving_task(self):
        self._make_world()
        self._end_cold()
        step = records.Step(
            20,
            cpu=1000,
            memory_mb=10,
            lasts=True,
            tail_target_ms=50,
            image='i',
        )
        profile = worker_model.TaskProfile(
            1000, 10, None, image='i', tail_target_ms=50, calm_tail_ms=10
        )
        self._submit('serving', step, profile)
        self.world.run(400)
        self.assertEqual(0, self._count_running_left('serving'))
        self.world.run(8000)
        self.assertGreater(self._count_running_left('serving'), 0)

    def test_cold_workers_elsewhere_are_used_as_ever(self):
        """Workers that start on a normal day may be cold as well."""
        self._make_world()
        for name in LEFT:
            self.world.cold_until_ms_by_worker[name] = 60_000
        self._order('empty')
        self.world.run(1600)
        self._submit('many', *_make_batch(20_000, count=20))
        self.world.run(500)
        self.assertGreater(self._count_running_left('many'), 4)


if __name__ == '__main__':
    unittest.main()
