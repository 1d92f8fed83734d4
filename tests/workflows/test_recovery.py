"""Runs the dispatcher against one kind of fault at a time."""

import logging
import unittest

import msgspec

from fuchsiatrestle.state import commands
from fuchsiatrestle.state import workflows
from fuchsiatrestle import workflows as dispatcher
from standins import worker_model
from tests.fakes import dispatch_world

STEP = workflows.Step(1, cpu=1000, memory_mb=100, estimate_ms=500)
STEP_SIZE = worker_model.TaskProfile(1000, 100, 500)
LONG_RUNNING_STEP = workflows.Step(1, cpu=1000, memory_mb=100, lasts=True)
ENDLESS_SIZE = worker_model.TaskProfile(1000, 100, None)
LEASE_MS = 6000
# A long-running task runs again within this time after its last run if a
# worker has room for it.
MAX_WAIT_MS = 9000


class RecoveryTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_worker_is_used_again_after_it_was_unreachable(self):
        world = dispatch_world.World(1, workers=1)
        world.submit('lasting', [LONG_RUNNING_STEP], [ENDLESS_SIZE])
        world.run(1000)
        world.unreachable_workers.add('w0')
        world.run(20_000)
        self.assertEqual([], world.workflow_store.live_runs())
        world.unreachable_workers.clear()
        world.run(5000)
        self.assertEqual(1, len(world.workflow_store.live_runs()))
        world.submit('quick', [STEP], [STEP_SIZE])
        world.run(3000)
        self.assertEqual('completed', world.workflow_state('quick'))
        self.assertEqual([], world.ledger.breaches)

    def test_long_running_task_is_restarted_however_it_ends(self):
        world = dispatch_world.World(2, workers=2)
        world.submit('lasting', [LONG_RUNNING_STEP], [ENDLESS_SIZE])
        for _ in range(5):
            world.run(3000)
            worker = world.workflow_store.live_runs()[0].worker
            world.crash_worker(worker, 500)
        world.run(8000)
        self.assertEqual('running', world.workflow_state('lasting'))
        self.assertEqual(1, len(world.ledger.running))
        self.assertEqual([], world.ledger.breaches)

    def test_next_leader_knows_which_images_disturb(self):
        world = dispatch_world.World(4, workers=2)
        serving_step = workflows.Step(
            1,
            cpu=1000,
            memory_mb=100,
            lasts=True,
            image='s',
            tail_target_ms=9,
        )
        world.submit('serving', [serving_step], [ENDLESS_SIZE])
        world.run(1000)
        serving_worker = world.workflow_store.live_runs()[0].worker
        pair = workflows.ImagePair('s', 'f', True)
        world.apply_agreed(commands.RecordProgress(0, 0, learned=[pair]))
        world.start_leader()
        best_effort_step = workflows.Step(
            4, cpu=1000, memory_mb=100, image='f', fills=True
        )
        world.submit('filling', [best_effort_step], [ENDLESS_SIZE])
        world.run(3000)
        best_effort_workers = {
            run.worker
            for run in world.workflow_store.live_runs()
            if run.task.workflow_id == 'filling'
        }
        self.assertEqual({'w0', 'w1'} - {serving_worker}, best_effort_workers)

    def test_announcement_of_another_writer_takes_no_worker_away(self):
        """It names a service that is not configured, under a known id."""
        for born_ms, sequence in ((1, 10_000), (90_000, 1)):
            with self.subTest(born_ms=born_ms):
                world = dispatch_world.World(1, workers=1)
                world.submit('lasting', [LONG_RUNNING_STEP], [ENDLESS_SIZE])
                world.run(2000)
                own = world.last_announcement_by_worker['w0']
                for state in ('ready', 'draining'):
                    world.deliver_announcement(
                        msgspec.structs.replace(
                            own,
                            pool='another-writers',
                            address='10.9.9.9:9',
                            born_ms=born_ms,
                            sequence=sequence,
                            state=state,
                        )
                    )
                world.submit('quick', [STEP], [STEP_SIZE])
                world.run(3000)
                self.assertEqual('completed', world.workflow_state('quick'))
                self.assertEqual(2, world.ledger.starts)
                self.assertEqual([], world.ledger.breaches)

    def test_worker_may_go_to_another_configured_service(self):
        world = dispatch_world.World(1, workers=1)
        world.run(2000)
        own = world.last_announcement_by_worker['w0']
        document = world.workflow_store.documents.document
        pools = [*document.pools, workflows.Pool('other', False)]
        new_document = msgspec.structs.replace(
            document, version=document.version + 1, pools=pools
        )
        world.apply_agreed(commands.PutDocument(new_document, b''))
        world.deliver_announcement(
            msgspec.structs.replace(own, pool='other', sequence=10_000)
        )
        world.run(100)
        record = world.workflow_store.worker_records['w0']
        self.assertEqual('other', record.pool)

    def test_draining_worker_gets_nothing_new(self):
        world = dispatch_world.World(5, workers=2)
        world.draining_workers.add('w0')
        world.run(2000)
        for number in range(20):
            world.submit(f'quick-{number}', [STEP], [STEP_SIZE])
            world.run(200)
            used_workers = set(world.ledger.running.values())
            self.assertLessEqual(used_workers, {'w1'})
        world.run(10_000)
        workflow_states = {
            world.workflow_state(f'quick-{number}') for number in range(20)
        }
        self.assertEqual({'completed'}, workflow_states)

    def test_cancelled_tasks_stop_in_time(self):
        world = dispatch_world.World(3, workers=2)
        world.submit('lasting', [LONG_RUNNING_STEP], [ENDLESS_SIZE])
        world.run(2000)
        self.assertEqual(1, len(world.ledger.running))
        world.cancel('lasting')
        world.run(1000)
        self.assertEqual({}, world.ledger.running)
        self.assertEqual('cancelled', world.workflow_state('lasting'))

    def test_new_leader_adopts_running_tasks(self):
        world = dispatch_world.World(4, workers=2)
        world.submit('lasting', [LONG_RUNNING_STEP], [ENDLESS_SIZE])
        world.run(2000)
        for _ in range(5):
            world.start_leader()
            world.run(4000)
        self.assertEqual(1, world.ledger.starts)
        self.assertEqual(1, len(world.ledger.running))

    def test_frozen_leader_that_wakes_does_no_harm(self):
        """A frozen leader wakes up and sends orders after it was replaced.

        They reach workers that may or may not have seen the new leader's
        fencing token.  No rule may be broken and every workflow has to end.
        """
        for frozen_ms in (0, 2, 100, 1500, 6000):
            with self.subTest(frozen_ms=frozen_ms):
                self._freeze_and_wake(frozen_ms)

    def _freeze_and_wake(self, frozen_ms):
        world = dispatch_world.World(6, workers=3)
        steps = [STEP, workflows.Step(4, cpu=1000, memory_mb=10, after=[0])]
        sizes = [STEP_SIZE, worker_model.TaskProfile(1000, 10, 900)]
        sent_orders = 0
        for number in range(12):
            world.submit(f'job-{number}', steps, sizes)
            # The leader's placements are agreed while it is frozen.
            world.run(5)
            frozen_leader = world.freeze_leader()
            if number % 4 == 3:
                world.cancel(f'job-{number}')
            world.run(frozen_ms)
            sent_orders += world.wake_leader(frozen_leader)
            world.run(world.random.randint(1, 700))
        self.assertGreater(sent_orders, 0)
        world.run(20_000)
        workflow_states = {
            world.workflow_state(f'job-{number}') for number in range(12)
        }
        self.assertLessEqual(workflow_states, {'completed', 'cancelled'})
        self.assertEqual({}, world.ledger.running)
        self.assertEqual([], world.ledger.breaches)

    def test_start_order_under_way_at_a_restart_starts_no_second_run(self):
        """The order for the ended process reaches the next one."""
        for lead_ms in range(40):
            with self.subTest(lead_ms=lead_ms):
                world = dispatch_world.World(4, workers=1)
                world.run(500)
                world.crash_worker('w0', 1000)
                world.run(1000 - lead_ms)
                world.submit('lasting', [LONG_RUNNING_STEP], [ENDLESS_SIZE])
                world.run(10_000)
                self.assertEqual(1, len(world.ledger.running))
                self.assertEqual([], world.ledger.breaches)

    def test_start_that_reaches_the_next_process_first_runs_only_once(self):
        """The next process answers a poll before it answers the start."""
        step = workflows.Step(8, cpu=1000, memory_mb=10, estimate_ms=3000)
        size = worker_model.TaskProfile(1000, 10, 3000)
        for seed in range(20):
            with self.subTest(seed=seed):
                world = dispatch_world.World(seed, workers=2)
                world.run(500)
                world.unannounced_workers.add('w0')
                world.crash_worker('w0', 500)
                world.run(1500)
                world.submit('batch', [step], [size])
                world.run(2000)
                world.unannounced_workers.clear()
                world.run(20_000)
                self.assertEqual([], world.ledger.breaches)
                self.assertEqual('completed', world.workflow_state('batch'))

    def test_late_withdrawal_loses_no_runs_of_the_next_process(self):
        world = dispatch_world.World(4, workers=1)
        world.run(500)
        world.crash_worker('w0', 1000)
        world.run(2000)
        world.submit('lasting', [LONG_RUNNING_STEP], [ENDLESS_SIZE])
        world.run(1000)
        world.withdraw_worker('w0')
        world.run(10_000)
        self.assertEqual(['w0'], list(world.ledger.running.values()))
        self.assertEqual([], world.ledger.breaches)

    def test_runs_of_a_worker_that_drained_and_left_start_elsewhere(self):
        world = dispatch_world.World(4, workers=2)
        world.submit('lasting', [LONG_RUNNING_STEP], [ENDLESS_SIZE])
        world.run(1000)
        (worker,) = world.ledger.running.values()
        world.draining_workers.add(worker)
        world.run(2000)
        world.leave(worker)
        world.run(2000)
        self.assertNotIn(worker, world.worker_names())
        self.assertEqual(1, len(world.ledger.running))
        self.assertNotIn(worker, world.ledger.running.values())
        self.assertEqual([], world.ledger.breaches)

    def test_worker_is_polled_after_a_reply_names_an_older_process(self):
        world = dispatch_world.World(1, workers=0)
        world.run(1000)
        world.add_worker('w0')
        world.run(2000)
        world.submit_task('lasting', 500)
        is_outdated = True
        execute_order = world._execute_order

        def execute_with_older_born(order):
            reply = execute_order(order)
            if is_outdated and isinstance(order, dispatcher.PollWorker):
                reply = dispatcher.Reply(
                    reply.verdict,
                    reply.clock_ms,
                    1,
                    reply.listed_runs,
                    reply.listed_ends,
                    reply.is_complete,
                )
            return reply

        world._execute_order = execute_with_older_born
        world.run(2000)
        is_outdated = False
        polls = []
        world._execute_order = lambda order: (
            (isinstance(order, dispatcher.PollWorker) and polls.append(order))
            or execute_order(order)
        )
        world.run(20_000)
        self.assertTrue(polls)
        self.assertEqual([], world.ledger.breaches)
        self.assertEqual(1, len(world.ledger.running))

    def test_tasks_of_a_worker_that_refuses_all_orders_run_elsewhere(self):
        """Its refusals kept runs alive that had lapsed there."""
        world = dispatch_world.World(1, workers=2)
        world.submit('lasting', [LONG_RUNNING_STEP], [ENDLESS_SIZE])
        world.run(2000)
        (worker,) = world.ledger.running.values()
        execute_order = world._execute_order
        refusal = dispatcher.Reply(
            dispatcher.Verdict.UNHEALTHY, None, 0, [], [], False
        )
        world._execute_order = lambda order: (
            refusal if order.worker == worker else execute_order(order)
        )
        world.run(LEASE_MS + MAX_WAIT_MS)
        self.assertEqual(1, len(world.ledger.running))
        self.assertNotIn(worker, world.ledger.running.values())
        self.assertEqual([], world.ledger.breaches)


if __name__ == '__main__':
    unittest.main()
