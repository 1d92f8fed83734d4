"""Runs the dispatcher through losses of workers about a change of leader."""

import logging
import unittest

from fuchsiatrestle import workflows
from tests.fakes import dispatch_world

# A long-running task runs again within this time after its last run if a
# worker has room for it.
MAX_WAIT_MS = 9000
# Longest leases that the workers of a deployment may accept.
LONGEST_LEASES_MS = (6000, 10_000)
# Time for which each of a series of leaders leads.
LEADER_MS = 2000


class LeaderChangeTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def _start_world(self, longest_lease_ms):
        """Returns a ``World`` in which one long-running task runs.

        Returns:
            The world and the name of the worker that runs the task.
        """
        world = dispatch_world.World(
            4,
            workers=2,
            timing=workflows.Timing(longest_lease_ms=longest_lease_ms),
        )
        world.submit_task('lasting', 1000)
        world.run(3000)
        (worker,) = world.ledger.running.values()
        return world, worker

    def _check_runs_elsewhere(self, world, worker):
        self.assertEqual(1, len(world.ledger.running))
        self.assertNotIn(worker, world.ledger.running.values())
        self.assertEqual([], world.ledger.breaches)

    def test_task_of_worker_lost_before_leader_change_runs_again_in_time(self):
        for longest_lease_ms in LONGEST_LEASES_MS:
            with self.subTest(longest_lease_ms=longest_lease_ms):
                world, worker = self._start_world(longest_lease_ms)
                world.crash_worker(worker, 60_000)
                world.run(2000)
                world.start_leader()
                world.run(MAX_WAIT_MS - 2000)
                self._check_runs_elsewhere(world, worker)

    def test_task_of_worker_cut_off_at_leader_change_runs_again_in_time(self):
        """The worker ends while neither leader can reach it."""
        for longest_lease_ms in LONGEST_LEASES_MS:
            with self.subTest(longest_lease_ms=longest_lease_ms):
                world, worker = self._start_world(longest_lease_ms)
                world.unreachable_workers.add(worker)
                world.run(500)
                world.start_leader()
                world.run(500)
                world.crash_worker(worker, 60_000)
                world.run(MAX_WAIT_MS)
                self._check_runs_elsewhere(world, worker)

    def test_task_of_worker_whose_next_process_answers_once_runs_again(self):
        """Nothing but that answer tells of the next process."""
        for longest_lease_ms in LONGEST_LEASES_MS:
            with self.subTest(longest_lease_ms=longest_lease_ms):
                world, worker = self._start_world(longest_lease_ms)
                world.start_leader()
                world.run(1000)
                ended_process_age_ms = world.now_ms
                world.unannounced_workers.add(worker)
                self._cut_off_after_polls(world, worker, 1)
                world.crash_worker(worker, 300)
                world.run(ended_process_age_ms + 2 * MAX_WAIT_MS)
                self.assertIn(worker, world.unreachable_workers)
                self._check_runs_elsewhere(world, worker)

    def test_task_that_the_next_process_does_not_list_runs_again_in_time(self):
        """The process answers a poll or more, then vanishes."""
        for longest_lease_ms in LONGEST_LEASES_MS:
            for led_ms, poll_count in ((0, 2), (500, 2), (1000, 1)):
                with self.subTest(
                    longest_lease_ms=longest_lease_ms, led_ms=led_ms
                ):
                    world, worker = self._start_world(longest_lease_ms)
                    world.run(60_000)
                    world.start_leader()
                    world.run(led_ms)
                    world.unannounced_workers.add(worker)
                    self._cut_off_after_polls(world, worker, poll_count)
                    world.crash_worker(worker, 300)
                    world.run(300 + longest_lease_ms + MAX_WAIT_MS)
                    self.assertIn(worker, world.unreachable_workers)
                    self._check_runs_elsewhere(world, worker)

    # Guards against a lease that each leader assumes to begin with it.
    def test_task_of_worker_cut_off_runs_again_though_leaders_change(self):
        world, worker = self._start_world(6000)
        world.unreachable_workers.add(worker)
        for _ in range(3 * MAX_WAIT_MS // LEADER_MS):
            world.start_leader()
            world.run(LEADER_MS)
        self._check_runs_elsewhere(world, worker)

    def test_task_of_silent_worker_runs_again_after_a_restart_of_all(self):
        """What is kept of its silence is part of snapshots."""
        world, worker = self._start_world(6000)
        world.unreachable_workers.add(worker)
        world.run(2000)
        world.restore_replicas()
        self.assertIn(worker, world.workflow_store.silent_workers)
        for _ in range(MAX_WAIT_MS // LEADER_MS):
            world.start_leader()
            world.run(LEADER_MS)
        self._check_runs_elsewhere(world, worker)

    def test_lease_of_worker_that_is_heard_again_counts_for_later_leaders(
        self,
    ):
        """One given before that was agreed let its task run twice."""
        for heard_ms in (200, 1000, 2500):
            for agreement_ms in (0, 300, 3000):
                with self.subTest(
                    heard_ms=heard_ms, agreement_ms=agreement_ms
                ):
                    self._check_lease_after_silence(heard_ms, agreement_ms)

    def _check_lease_after_silence(self, heard_ms, agreement_ms):
        world, worker = self._start_world(6000)
        world.unreachable_workers.add(worker)
        world.run(2000)
        self.assertIn(worker, world.workflow_store.silent_workers)
        world.added_agreement_ms = agreement_ms
        world.unreachable_workers.clear()
        world.run(heard_ms)
        world.added_agreement_ms = 0
        world.unreachable_workers.add(worker)
        world.start_leader()
        world.run(2 * MAX_WAIT_MS)
        self._check_runs_elsewhere(world, worker)

    def test_leases_go_on_after_a_cut_of_the_leader(self):
        """Each worker would wait until it is agreed that it is heard."""
        world = dispatch_world.World(4, workers=12)
        for number in range(12):
            world.submit_task(f'lasting-{number}', 5000)
        world.run(3000)
        world.unreachable_workers.update(world.worker_names())
        world.run(2500)
        self.assertEqual({}, world.workflow_store.silent_workers)
        world.added_agreement_ms = 3000
        world.unreachable_workers.clear()
        world.run(MAX_WAIT_MS)
        self.assertEqual(12, len(world.ledger.running))
        self.assertEqual({1}, {run for _, run in world.ledger.running})

    def test_worker_that_was_silent_gets_tasks_again(self):
        for crashes in (False, True):
            with self.subTest(crashes=crashes):
                world, worker = self._start_world(6000)
                world.unreachable_workers.add(worker)
                world.run(2000)
                if crashes:
                    world.crash_worker(worker, 100)
                world.unreachable_workers.clear()
                world.start_leader()
                world.run(MAX_WAIT_MS)
                self.assertEqual({}, world.workflow_store.silent_workers)
                self.assertEqual(1, len(world.ledger.running))
                world.submit_task('first', 7000, 1000)
                world.submit_task('second', 7000, 1000)
                world.run(MAX_WAIT_MS)
                for workflow_id in ('first', 'second'):
                    self.assertEqual(
                        'completed', world.workflow_state(workflow_id)
                    )
                self.assertEqual([], world.ledger.breaches)

    def _cut_off_after_polls(self, world, worker, poll_count):
        """Cuts off a worker once its next process has answered some polls."""
        next_process_after_ms = world.now_ms
        answers = []
        report_reply = world._report_reply

        def report_and_cut_off(token, order, reply):
            if reply is not None and reply.born_ms > next_process_after_ms:
                answers.append(reply)
                if len(answers) == poll_count:
                    world.unreachable_workers.add(worker)
            report_reply(token, order, reply)

        world._report_reply = report_and_cut_off


if __name__ == '__main__':
    unittest.main()
