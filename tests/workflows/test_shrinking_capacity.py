"""Runs the dispatcher on workers whose capacity shrinks and grows again.

The model of the workers checks each start against the capacity that counts at
that time: one that has shrunk counts only ``SHRINK_DELAY_MS`` later.
"""

import logging
import random
import unittest
from unittest import mock

from fuchsiatrestle.state import workflows as records
from standins import worker_model
from tests.fakes import dispatch_world

SEEDS = range(30)
FAULTY_STEPS = 12
FAULTY_STEP_MS = 2000
CALM_MS = 60_000
# Time after which a room that has grown must be in use: the next announcement,
# an order that is sent again, and a placement round.
GROWN_ROOM_USE_MS = 3000
# Time until a shrunken room counts, with one more announcement.
SHRUNK_MS = worker_model.SHRINK_DELAY_MS + dispatch_world.ANNOUNCE_INTERVAL_MS
WHOLE_CPU = 8000
SMALL_CPU = 2000
ALL_ORDERS_LOST = dispatch_world.Faults(lost_order_share=1.0)


def _submit_step(
    world,
    workflow_id,
    *,
    count=1,
    cpu=1000,
    memory_mib=10,
    work_ms=None,
    fills=False,
    accelerators=0,
):
    """Submits a workflow of one step; without ``work_ms`` its tasks last."""
    step = records.Step(
        count,
        cpu=cpu,
        memory_mb=memory_mib,
        accelerators=accelerators,
        estimate_ms=work_ms or 0,
        lasts=work_ms is None,
        fills=fills,
        image=workflow_id,
    )
    profile = worker_model.TaskProfile(
        cpu, memory_mib, work_ms, fills=fills, accelerators=accelerators
    )
    world.submit(workflow_id, [step], [profile])


class ShrinkingCapacityTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def _start_world(self, workers=1, seed=4, **arguments):
        world = dispatch_world.World(seed, workers=workers, **arguments)
        world.run(100)
        return world

    def _running_count(self, world, workflow_id=None):
        return sum(
            workflow_id in (None, task.workflow_id)
            for task, _ in world.ledger.running
        )

    def _check_no_breach(self, world):
        self.assertEqual([], world.ledger.breaches)

    # The model

    def test_model_reports_start_over_shrunken_capacity_after_delay(self):
        for delay_ms, breach_count in (
            (worker_model.SHRINK_DELAY_MS, 0),
            (worker_model.SHRINK_DELAY_MS + 1, 1),
        ):
            with self.subTest(delay_ms=delay_ms):
                ledger = worker_model.RunLedger()
                profile = worker_model.TaskProfile(1000, 10, None)
                model = worker_model.WorkerModel(
                    'w0', 0, 2000, 100, ledger, lambda task: profile
                )
                model.set_capacity(500, 500, 100)
                now_ms = 500 + delay_ms
                model.start_run(now_ms, 'task', 1, now_ms + 5000, 1)
                self.assertEqual(breach_count, len(ledger.breaches))

    def test_model_lets_best_effort_run_start_beside_too_many_others(self):
        ledger = worker_model.RunLedger()
        profiles = {
            'full': worker_model.TaskProfile(1000, 10, None),
            'fills': worker_model.TaskProfile(1000, 10, None, fills=True),
            'large': worker_model.TaskProfile(1000, 99, None, fills=True),
        }
        model = worker_model.WorkerModel(
            'w0', 0, 1000, 100, ledger, profiles.get
        )
        model.start_run(1, 'full', 1, 5000, 1)
        model.set_capacity(2, 500, 100)
        now_ms = 3 + worker_model.SHRINK_DELAY_MS
        model.start_run(now_ms, 'fills', 1, now_ms + 5000, 1)
        self.assertEqual([], ledger.breaches)
        model.start_run(now_ms, 'large', 1, now_ms + 5000, 1)
        self.assertEqual(1, len(ledger.breaches))

    # Placement

    def test_tasks_waiting_for_full_worker_fill_only_the_shrunken_room(self):
        world = self._start_world()
        for number in range(24):
            _submit_step(
                world, f'batch{number}', work_ms=3000 + 1000 * (number % 8)
            )
        world.run(1000)
        self.assertEqual(8, self._running_count(world))
        world.set_capacity('w0', SMALL_CPU)
        world.run(25_000)
        self.assertEqual(2, self._running_count(world))
        world.run(60_000)
        self._check_no_breach(world)
        for number in range(24):
            self.assertEqual(
                'completed', world.workflow_state(f'batch{number}')
            )

    def test_worker_shrunk_to_nothing_gets_no_task_and_gets_some_again(self):
        world = self._start_world()
        _submit_step(world, 'early', work_ms=2000)
        world.run(500)
        world.set_capacity('w0', 0, 0)
        world.run(SHRUNK_MS)
        self.assertEqual('completed', world.workflow_state('early'))
        _submit_step(world, 'lasting')
        _submit_step(world, 'filling', fills=True)
        world.run(20_000)
        self.assertEqual(0, self._running_count(world))
        world.set_capacity('w0', WHOLE_CPU)
        world.run(GROWN_ROOM_USE_MS)
        self.assertEqual(2, self._running_count(world))
        self._check_no_breach(world)

    def test_room_that_has_grown_again_is_used(self):
        world = self._start_world()
        world.set_capacity('w0', SMALL_CPU)
        world.run(SHRUNK_MS)
        _submit_step(world, 'batch', count=6, work_ms=90_000)
        world.run(5000)
        self.assertEqual(2, self._running_count(world))
        for cpu, running_count in ((4000, 4), (3000, 4), (6000, 6)):
            world.set_capacity('w0', cpu)
            world.run(SHRUNK_MS)
            self.assertEqual(running_count, self._running_count(world))
        self._check_no_breach(world)

    def test_late_older_announcement_does_not_restore_the_capacity(self):
        world = self._start_world()
        older_announcement = world.last_announcement_by_worker['w0']
        world.set_capacity('w0', SMALL_CPU)
        world.run(SHRUNK_MS)
        _submit_step(world, 'batch', count=4, work_ms=60_000)
        for _ in range(20):
            world.deliver_announcement(older_announcement)
            world.run(300)
        self.assertEqual(2, self._running_count(world))
        self._check_no_breach(world)

    def test_run_being_stopped_counts_on_shrunken_worker(self):
        stop_delay = mock.patch.object(worker_model, 'STOP_DELAY_MS', 12_000)
        with stop_delay:
            world = self._start_world()
            _submit_step(world, 'stopped', cpu=6000)
            world.run(1000)
            world.cancel('stopped')
            world.set_capacity('w0', 6500)
            world.run(SHRUNK_MS)
            _submit_step(world, 'next', cpu=1000)
            world.run(4000)
            self.assertEqual(1, self._running_count(world, 'stopped'))
            self.assertEqual(0, self._running_count(world, 'next'))
            world.run(4000)
        self.assertEqual(0, self._running_count(world, 'stopped'))
        self.assertEqual(1, self._running_count(world, 'next'))
        self._check_no_breach(world)

    def test_best_effort_tasks_reserve_memory_and_accelerators_only(self):
        for capacity, running_count in (
            ((4000, 100, 4), 1),
            ((4000, 1000, 2), 2),
            ((4000, 1000, 4), 3),
        ):
            with self.subTest(capacity=capacity):
                world = self._start_world()
                world.set_capacity('w0', WHOLE_CPU, 1000, 4)
                world.run(2000)
                world.set_capacity('w0', *capacity)
                world.run(SHRUNK_MS)
                _submit_step(
                    world,
                    'filling',
                    count=3,
                    cpu=500,
                    memory_mib=80,
                    fills=True,
                    accelerators=1,
                )
                _submit_step(world, 'batch', cpu=4000, work_ms=60_000)
                world.run(4000)
                self.assertEqual(
                    running_count, self._running_count(world, 'filling')
                )
                self._check_no_breach(world)

    def test_accelerators_that_are_gone_get_no_task(self):
        world = self._start_world()
        world.set_capacity('w0', WHOLE_CPU, accelerators=2)
        _submit_step(world, 'batch', count=6, work_ms=8000, accelerators=1)
        world.run(4000)
        self.assertEqual(2, self._running_count(world))
        world.set_capacity('w0', WHOLE_CPU, accelerators=1)
        world.run(12_000)
        self.assertEqual(1, self._running_count(world))
        world.run(40_000)
        self.assertEqual('completed', world.workflow_state('batch'))
        self._check_no_breach(world)

    def test_best_effort_run_on_worker_shrunk_to_nothing_runs_on(self):
        world = self._start_world()
        _submit_step(world, 'filling', work_ms=9000, fills=True)
        world.run(1000)
        world.set_capacity('w0', 0)
        world.run(10_000)
        self.assertEqual('completed', world.workflow_state('filling'))
        self.assertEqual(1, world.ledger.starts)
        self._check_no_breach(world)

    # Runs that are placed but not started

    def _check_runs_after_growing(self, world, workflow_id):
        world.run(1000)
        self.assertEqual(0, self._running_count(world, workflow_id))
        self._check_no_breach(world)
        world.set_capacity('w0', WHOLE_CPU)
        world.run(GROWN_ROOM_USE_MS)
        self.assertEqual(1, self._running_count(world, workflow_id))
        self._check_no_breach(world)

    def test_placement_agreed_after_shrinking_is_not_started(self):
        world = self._start_world()
        world.added_agreement_ms = 6000
        _submit_step(world, 'late', cpu=6000)
        world.run(200)
        world.added_agreement_ms = 0
        world.set_capacity('w0', SMALL_CPU)
        world.run(7000)
        self._check_runs_after_growing(world, 'late')

    def test_unanswered_start_is_not_repeated_after_shrinking(self):
        world = self._start_world()
        world.faults = ALL_ORDERS_LOST
        _submit_step(world, 'lost', cpu=6000)
        world.run(200)
        world.set_capacity('w0', SMALL_CPU)
        world.run(worker_model.SHRINK_DELAY_MS + 100)
        world.faults = dispatch_world.Faults()
        world.run(1000)
        self._check_runs_after_growing(world, 'lost')

    def test_unanswered_start_is_not_repeated_beside_other_runs(self):
        world = self._start_world()
        _submit_step(world, 'running', count=3, work_ms=60_000)
        world.run(1000)
        world.startless_workers.add('w0')
        _submit_step(world, 'lost', cpu=4000)
        world.run(200)
        world.set_capacity('w0', 5000)
        world.run(worker_model.SHRINK_DELAY_MS + 100)
        world.startless_workers.clear()
        world.run(1000)
        self.assertEqual(3, self._running_count(world, 'running'))
        self._check_runs_after_growing(world, 'lost')

    def test_task_whose_worker_shrunk_before_its_start_runs_elsewhere(self):
        world = self._start_world(workers=2)
        world.draining_workers.add('w1')
        world.run(2000)
        world.faults = ALL_ORDERS_LOST
        _submit_step(world, 'lost', cpu=6000)
        world.run(200)
        world.set_capacity('w0', SMALL_CPU)
        world.draining_workers.clear()
        world.run(worker_model.SHRINK_DELAY_MS + 100)
        world.faults = dispatch_world.Faults()
        world.run(3000)
        self.assertEqual({'w1'}, set(world.ledger.running.values()))
        self._check_no_breach(world)

    def test_run_that_runs_on_shrunken_worker_is_not_stopped(self):
        """The start was carried out, but its reply was lost."""
        world = self._start_world()
        world.faults = dispatch_world.Faults(lost_reply_share=1.0)
        _submit_step(world, 'started', cpu=6000)
        world.run(200)
        world.set_capacity('w0', SMALL_CPU)
        world.run(3000)
        world.faults = dispatch_world.Faults()
        world.run(10_000)
        self.assertEqual(1, self._running_count(world))
        self.assertEqual(1, world.ledger.starts)
        self._check_no_breach(world)

    def test_start_waits_for_announcement_of_worker_that_was_cut_off(self):
        """The worker shrinks while cut off and answers before it announces."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                world = self._start_world(seed=seed)
                world.faults = ALL_ORDERS_LOST
                _submit_step(world, 'lost', cpu=6000)
                world.run(200)
                world.unannounced_workers.add('w0')
                world.set_capacity('w0', SMALL_CPU)
                world.run(worker_model.SHRINK_DELAY_MS + 100)
                world.faults = dispatch_world.Faults()
                world.run(1000)
                world.unannounced_workers.clear()
                world.run(2000)
                self._check_runs_after_growing(world, 'lost')

    # Changes of leader

    def test_new_leader_places_nothing_by_the_old_capacity(self):
        world = self._start_world()
        world.set_capacity('w0', SMALL_CPU)
        world.unannounced_workers.add('w0')
        world.run(worker_model.SHRINK_DELAY_MS)
        world.start_leader()
        _submit_step(world, 'batch', count=4, work_ms=60_000)
        world.run(10_000)
        self.assertEqual(0, self._running_count(world))
        world.unannounced_workers.clear()
        world.run(GROWN_ROOM_USE_MS)
        self.assertEqual(2, self._running_count(world))
        self._check_no_breach(world)

    def test_new_leader_starts_no_adopted_run_over_shrunken_capacity(self):
        """The old leader knew that the worker had shrunk, or did not."""
        for announced in (True, False):
            for seed in SEEDS:
                with self.subTest(seed=seed, announced=announced):
                    world = self._start_world(seed=seed)
                    world.faults = ALL_ORDERS_LOST
                    _submit_step(world, 'adopted', cpu=6000)
                    world.run(200)
                    world.set_capacity('w0', SMALL_CPU)
                    if not announced:
                        world.unannounced_workers.add('w0')
                    world.run(worker_model.SHRINK_DELAY_MS + 100)
                    world.start_leader()
                    world.faults = dispatch_world.Faults()
                    world.run(1000)
                    world.unannounced_workers.clear()
                    world.run(2000)
                    self._check_runs_after_growing(world, 'adopted')

    def test_adopted_run_starts_in_time_on_worker_with_room(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                world = self._start_world(seed=seed)
                world.faults = ALL_ORDERS_LOST
                _submit_step(world, 'adopted', cpu=6000)
                world.run(200)
                world.start_leader()
                world.faults = dispatch_world.Faults()
                world.run(GROWN_ROOM_USE_MS)
                self.assertEqual(1, self._running_count(world))
                self._check_no_breach(world)

    # Random runs

    def _inject_change(self, world, random_source):
        """Changes the capacity of a worker, or the leader, or a worker."""
        worker = f'w{random_source.randrange(3)}'
        change = random_source.choice(
            ('shrink', 'shrink', 'grow', 'lead', 'cut', 'join', 'crash')
        )
        if change == 'shrink':
            world.set_capacity(
                worker,
                random_source.choice((0, 1000, 3000, 5000)),
                random_source.choice((500, 2000, 4000)),
                random_source.randint(0, 2),
            )
        elif change == 'grow':
            world.set_capacity(worker, WHOLE_CPU, accelerators=4)
        elif change == 'lead':
            world.start_leader()
        elif change == 'cut':
            world.unreachable_workers.add(worker)
        elif change == 'join':
            world.unreachable_workers.clear()
        elif worker in world._worker_models:
            world.crash_worker(worker, random_source.randint(200, 4000))

    def _run_random_world(self, seed, **delays):
        random_source = random.Random(f'shrinking/{seed}')
        faults = dispatch_world.Faults(
            lost_order_share=0.05,
            lost_reply_share=0.05,
            late_order_share=0.05,
            **delays,
        )
        world = dispatch_world.World(seed, workers=3, faults=faults)
        workflow_ids = []
        for number in range(FAULTY_STEPS):
            workflow_ids.append(f'{number:016x}')
            _submit_step(
                world,
                workflow_ids[-1],
                count=random_source.randint(1, 6),
                cpu=random_source.choice((500, 1000, 3000)),
                memory_mib=random_source.choice((10, 400, 900)),
                work_ms=random_source.randint(300, 6000),
                fills=random_source.random() < 0.25,
                accelerators=random_source.choice((0, 0, 1)),
            )
            for _ in range(3):
                self._inject_change(world, random_source)
                world.run(FAULTY_STEP_MS // 3)
        world.faults = dispatch_world.Faults()
        world.unreachable_workers.clear()
        for number in range(3):
            world.set_capacity(f'w{number}', WHOLE_CPU, accelerators=4)
        world.run(CALM_MS)
        return world, workflow_ids

    def test_random_changes_of_capacity_with_faults(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                world, workflow_ids = self._run_random_world(seed)
                self._check_no_breach(world)
                self.assertEqual(
                    {'completed'},
                    {
                        world.workflow_state(workflow_id)
                        for workflow_id in workflow_ids
                    },
                )

    def test_start_on_its_way_does_not_exceed_a_capacity_that_shrank(self):
        world, _ = self._run_random_world(
            247, max_delay_ms=worker_model.MIN_CONTACT_MS
        )
        self._check_no_breach(world)


if __name__ == '__main__':
    unittest.main()
