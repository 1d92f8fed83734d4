"""Checks what the bounds on the waits of tasks must not cost.

Runs that are at work go on, tasks that need memory get it, and the tails of
serving tasks stay watched.
"""

import logging
import unittest

import msgspec

from fuchsiatrestle.state import workflows
from fuchsiatrestle import workflows as dispatcher
from standins import worker_model
from tests.fakes import dispatch_world
from tests.workflows import test_best_effort_waits as waits

LASTING_STEP = workflows.Step(1, cpu=1000, memory_mb=100, lasts=True)
ENDLESS_PROFILE = worker_model.TaskProfile(1000, 100, None)
LONG_WAIT_MS = 12_500
BUSY_POLL_MS = dispatcher.Timing().busy_poll_wait_ms


class WaitBoundCostTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def _make_world(self):
        world = dispatch_world.World(4, workers=1)
        world.run(2000)
        return world

    def _replace_execution(self, world, replace):
        """Has ``replace`` answer orders to ``w0``; True passes them on."""
        execute_order = world._execute_order

        def execute(order):
            if order.worker == 'w0':
                reply = replace(order)
                if reply is not True:
                    return reply
            return execute_order(order)

        world._execute_order = execute

    def _refusal(self, world, verdict, name='w0'):
        model = world._worker_models[name]
        model.advance(world.now_ms)
        return dispatcher.Reply(
            verdict,
            model.clock_ms(world.now_ms),
            model.born_ms,
            [],
            [],
            False,
        )

    def test_limited_runs_are_polled_as_often_as_others_beside_serving(self):
        world = waits._make_world(1, workers=1)
        waits._submit_serving(world, 's', {'f': waits.HEAVY_SLOPE})
        world.run(3000)
        waits._submit_best_effort(world, 0, 'f', count=1, work_ms=20_000)
        worker = world._dispatcher._state.fleet.get('w0')
        world.run_until(
            lambda: any(
                run.is_pace_limited and run.is_listed
                for run in worker.runs.values()
            ),
            15_000,
        )
        world.run(3000)
        self.assertTrue(
            any(run.is_pace_limited for run in worker.runs.values())
        )
        self.assertLessEqual(worker.pending_poll.wait_ms, BUSY_POLL_MS)

    def test_tail_beside_limited_runs_recovers_if_the_image_gets_worse(self):
        """The interference of an image changes within seconds."""
        world = waits._make_world(1, workers=1)
        slopes = {'f': waits.HEAVY_SLOPE}
        waits._submit_serving(world, 's', slopes)
        world.run(3000)
        waits._submit_best_effort(world, 0, 'f', count=1, work_ms=90_000)
        worker = world._dispatcher._state.fleet.get('w0')
        world.run_until(
            lambda: any(
                run.is_pace_limited and (run.pace_percent or 0) >= 15
                for run in worker.runs.values()
            ),
            30_000,
        )
        slopes['f'] = 8 * waits.HEAVY_SLOPE
        world.run(200)
        profile = world.profiles_by_workflow[
            next(w for w in world.profiles_by_workflow if 'serving' in w)
        ][0]
        tails = world._worker_models['w0']._tails
        over_ms = 0
        longest_ms = 0
        for _ in range(600):
            world.run(20)
            world._worker_models['w0'].advance(world.now_ms)
            is_over = tails.mean_tail_ms(profile, world.now_ms) > (
                waits.TAIL_TARGET_MS
            )
            over_ms = over_ms + 20 if is_over else 0
            longest_ms = max(longest_ms, over_ms)
        self.assertLessEqual(longest_ms, 4000)

    def test_paced_down_runs_do_not_keep_memory_from_a_task(self):
        world = waits._make_world(1, workers=2)
        waits._submit_serving(world, 's', {'f': waits.HEAVY_SLOPE}, count=2)
        world.run(3000)
        for number in range(8):
            step = workflows.Step(
                1,
                cpu=3500,
                memory_mb=7000,
                estimate_ms=20_000,
                image='f',
                fills=True,
            )
            profile = worker_model.TaskProfile(
                3500, 7000, 20_000, fills=True, image='f'
            )
            world.submit(f'best-effort-{number}', [step], [profile])
        world.run(20_000)
        step = workflows.Step(1, cpu=1000, memory_mb=8000, estimate_ms=1000)
        profile = worker_model.TaskProfile(1000, 8000, 1000)
        world.submit('batch', [step], [profile])
        world.run(30_000)
        self.assertEqual('completed', world.workflow_state('batch'))

    def test_refused_polls_that_end_within_the_lease_end_no_run(self):
        for refused_ms in range(2500, 4400, 100):
            with self.subTest(refused_ms=refused_ms):
                self._check_short_refusal(refused_ms)

    def _check_short_refusal(self, refused_ms):
        world = self._make_world()
        world.submit('w', [LASTING_STEP], [ENDLESS_PROFILE])
        world.run(3000)
        (key,) = world.ledger.running
        until_ms = world.now_ms + refused_ms

        deliver_order = world._deliver_order

        def deliver_or_refuse(token, order):
            if world.now_ms < until_ms and isinstance(
                order, dispatcher.PollWorker
            ):
                reply = self._refusal(world, dispatcher.Verdict.UNHEALTHY)
                world._send_reply(token, order, reply)
            else:
                deliver_order(token, order)

        world._deliver_order = deliver_or_refuse
        world.run(LONG_WAIT_MS)
        self.assertEqual([key], list(world.ledger.running))
        self.assertEqual([], world.ledger.breaches)

    def test_task_leaves_a_worker_that_gets_polls_but_no_other_orders(self):
        world = self._make_world()

        def drop(order):
            return True if isinstance(order, dispatcher.PollWorker) else None

        self._replace_execution(world, drop)
        world.submit('w', [LASTING_STEP], [ENDLESS_PROFILE])
        world.run(300)
        world.add_worker('w1')
        world.run(4 * LONG_WAIT_MS)
        self.assertEqual(['w1'], list(world.ledger.running.values()))

    def test_task_leaves_a_worker_that_refuses_stops_and_gets_no_polls(self):
        world = self._make_world()
        world.submit('w', [LASTING_STEP], [ENDLESS_PROFILE])
        world.submit('x', [LASTING_STEP], [ENDLESS_PROFILE])
        world.run(1000)

        def answer(order):
            if isinstance(order, dispatcher.PollWorker):
                return None
            if isinstance(order, dispatcher.StopRun):
                return self._refusal(world, dispatcher.Verdict.UNHEALTHY)
            return True

        self._replace_execution(world, answer)
        world.cancel('x')
        world.add_worker('w1')
        world.run(4 * LONG_WAIT_MS)
        self.assertEqual(['w1'], list(world.ledger.running.values()))

    def test_worker_that_tells_its_clock_only_in_answers_gets_tasks(self):
        world = dispatch_world.World(4, workers=0)
        deliver_announcement = world.deliver_announcement
        world.deliver_announcement = lambda announcement: deliver_announcement(
            msgspec.structs.replace(announcement, clock_ms=None)
        )
        world.add_worker('w0')
        world.run(2000)
        world.submit('w', [LASTING_STEP], [ENDLESS_PROFILE])
        world.run(LONG_WAIT_MS)
        self.assertEqual(['w0'], list(world.ledger.running.values()))

    def test_probes_of_an_address_that_another_worker_has_are_spaced(self):
        world = self._make_world()
        world.submit('w', [LASTING_STEP], [ENDLESS_PROFILE])
        world.run(1000)
        polls = []
        verdicts = [dispatcher.Verdict.UNHEALTHY]

        def answer(order):
            if not isinstance(order, dispatcher.PollWorker):
                return True
            polls.append(world.now_ms)
            return self._refusal(world, verdicts[0])

        self._replace_execution(world, answer)
        world.run(3000)
        verdicts[0] = dispatcher.Verdict.OTHER_PROCESS
        polls.clear()
        world.run(2000)
        self.assertLess(len(polls), 30)

    def test_working_run_goes_on_after_a_cut_shorter_than_its_lease(self):
        world = self._make_world()
        world.submit('x', [LASTING_STEP], [ENDLESS_PROFILE])
        world.run(1000)
        world.voiceless_workers.add('w0')
        world.submit('w', [LASTING_STEP], [ENDLESS_PROFILE])
        world.run(100)
        starts = list(world.ledger.running)
        self.assertEqual(2, len(starts))
        world.run(4200)
        world.voiceless_workers.clear()
        world.run(LONG_WAIT_MS)
        self.assertEqual(set(starts), set(world.ledger.running))

    def _check_failing_paces(self, reply_verdict):
        world = waits._make_world(1, workers=1)
        waits._submit_serving(world, 's', {'f': waits.HEAVY_SLOPE})
        world.run(3000)

        def fail_paces(order):
            if not isinstance(order, dispatcher.SetRunPace):
                return True
            if reply_verdict is None:
                return None
            return self._refusal(world, reply_verdict)

        self._replace_execution(world, fail_paces)
        waits._submit_best_effort(world, 0, 'f', count=1, work_ms=60_000)
        world.run(30_000)
        self.assertEqual([], world.ledger.breaches)

    def test_run_whose_pace_orders_are_refused_does_not_disturb_for_long(self):
        self._check_failing_paces(dispatcher.Verdict.UNHEALTHY)

    def test_run_whose_pace_orders_are_lost_does_not_disturb_for_long(self):
        self._check_failing_paces(None)

    def test_gang_of_one_rack_leaves_a_worker_that_no_start_reaches(self):
        world = dispatch_world.World(4, workers=5)
        world.startless_workers.add('w0')
        world.run(2000)
        step = workflows.Step(
            2,
            cpu=5000,
            memory_mb=10,
            estimate_ms=1000,
            gang=True,
            one_rack=True,
            data_rack='r1',
        )
        profile = worker_model.TaskProfile(5000, 10, 1000)
        world.submit('g', [step], [profile])
        world.run(30_000)
        self.assertEqual('completed', world.workflow_state('g'))

    def test_working_run_goes_on_if_another_order_is_answered_first(self):
        world = self._make_world()
        world.submit('x', [LASTING_STEP], [ENDLESS_PROFILE])
        world.run(1000)
        world.voiceless_workers.add('w0')
        world.submit('w', [LASTING_STEP], [ENDLESS_PROFILE])
        world.run(100)
        self.assertEqual(2, len(world.ledger.running))
        world.cancel('x')
        world.run(3600)
        world.voiceless_workers.clear()
        world.run(LONG_WAIT_MS)
        self.assertEqual([1], [run for _, run in world.ledger.running])

    def test_limited_runs_that_run_at_full_pace_count_as_best_effort(self):
        world = waits._make_world(1, workers=1)
        waits._submit_serving(
            world, 's', {'f': waits.UNCLEAR_SLOPE, 'g': waits.LIGHT_SLOPE}
        )
        world.run(3000)
        waits._submit_best_effort(world, 'u', 'f', count=1, work_ms=8000)
        world.run(300)
        waits._submit_best_effort(world, 0, 'g', count=1, work_ms=60_000)
        worker = world._dispatcher._state.fleet.get('w0')
        world.run(40_000)
        cpu = sum(
            run.step.cpu
            for run in worker.runs.values()
            if run.is_best_effort and run.pace_percent == 100
        )
        self.assertEqual(cpu, worker.capacity.best_effort_cpu)


if __name__ == '__main__':
    unittest.main()
