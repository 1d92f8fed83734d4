"""Tests the log lines about runs on workers that say nothing new of them."""

import contextlib
import unittest

import msgspec

from fuchsiatrestle.state import machine
from fuchsiatrestle.state import workflows
from fuchsiatrestle import workflows as dispatcher
from fuchsiatrestle.workflows import _announcing
from fuchsiatrestle.workflows import _book
from fuchsiatrestle.workflows import _proposals
from fuchsiatrestle.workflows import _runs
from fuchsiatrestle.workflows import _stalls
from standins import worker_model
from tests.fakes import dispatch_world

LASTING_STEP = workflows.Step(1, cpu=1000, memory_mb=100, lasts=True)
ENDLESS_PROFILE = worker_model.TaskProfile(1000, 100, None)
LEASE_MS = 6000
# Time after which the wait is reported and the lease is surely over.
LONG_WAIT_MS = 2 * LEASE_MS


class StallLogTest(unittest.TestCase):
    def setUp(self):
        self.world = dispatch_world.World(4, workers=1)
        self.world.run(2000)

    @contextlib.contextmanager
    def _collect_reports(self):
        """Yields a list that has all reports at the end."""
        reports = []
        with self.assertLogs(_book.LOG) as logs:
            yield reports
        reports += [
            record for record in logs.records if record.msg == 'runs_wait'
        ]

    def _run_lasting_task(self):
        self.world.submit('w', [LASTING_STEP], [ENDLESS_PROFILE])
        self.world.run(1000)
        self.assertEqual(['w0'], list(self.world.ledger.running.values()))

    def _replace_replies(self, order_type, replace_reply):
        """Replaces the replies to orders of a type, None for no report."""
        report_reply = self.world._report_reply

        def report_replaced_reply(token, order, reply):
            if isinstance(order, order_type):
                reply = replace_reply(reply)
                if reply is None:
                    return
            report_reply(token, order, reply)

        self.world._report_reply = report_replaced_reply

    def _refuse_orders(self, order_type, verdict):
        """Lets the worker refuse orders of a type, doing nothing."""
        execute_order = self.world._execute_order

        def execute_or_refuse(order):
            if not isinstance(order, order_type):
                return execute_order(order)
            model = self.world._worker_models[order.worker]
            clock_ms = model.clock_ms(self.world.now_ms)
            return dispatcher.Reply(
                verdict, clock_ms, model.born_ms, [], [], False
            )

        self.world._execute_order = execute_or_refuse

    def test_worker_that_answers_has_no_report(self):
        self.world.submit('w', [LASTING_STEP], [ENDLESS_PROFILE])
        with self._collect_reports() as reports:
            self.world.run(10_000)
        self.assertEqual([], reports)

    def test_run_on_a_silent_worker_waits_for_the_lease(self):
        self._run_lasting_task()
        self.world.unreachable_workers.add('w0')
        with self._collect_reports() as reports:
            self.world.run(LONG_WAIT_MS)
        self.assertEqual(
            {_stalls.Awaited.LEASE}, {report.waits_for for report in reports}
        )
        for report in reports:
            self.assertGreaterEqual(
                report.waited_ms, _stalls.MIN_REPORTED_WAIT_MS
            )
            self.assertLessEqual(report.waited_ms, LEASE_MS + 1000)

    def test_run_on_a_process_heard_once_waits_for_its_clock(self):
        """No log line told of a run that stayed until the end of the day."""
        self.world.voiceless_workers.add('w0')
        self.world.submit('w', [LASTING_STEP], [ENDLESS_PROFILE])
        self.world.run(300)
        self.world.first_announcement_ms = 10 * LONG_WAIT_MS
        self.world.crash_worker('w0', 200)
        self.world.voiceless_workers.clear()
        self._cut_off_after_next_poll()
        with self._collect_reports() as reports:
            self.world.run(2 * LONG_WAIT_MS)
        self.assertEqual(_stalls.Awaited.LEASE, reports[0].waits_for)
        self.assertIn(
            reports[-1].waits_for,
            (_stalls.Awaited.CLOCK, _stalls.Awaited.EARLIER_START),
        )

    def _cut_off_after_next_poll(self):
        def cut_off_if_answered(reply):
            if reply is not None:
                self.world.unreachable_workers.add('w0')
            return reply or dispatcher.Reply(
                dispatcher.Verdict.SILENT, None, 0, [], [], False
            )

        self._replace_replies(dispatcher.PollWorker, cut_off_if_answered)

    def test_run_on_a_worker_that_refuses_polls_is_reported(self):
        self._run_lasting_task()
        self._refuse_orders(
            dispatcher.PollWorker, dispatcher.Verdict.UNHEALTHY
        )
        with self._collect_reports() as reports:
            self.world.run(LONG_WAIT_MS)
        self.assertEqual(_stalls.Awaited.ACCEPTED_POLL, reports[-1].waits_for)
        self.assertEqual(
            dispatcher.Verdict.UNHEALTHY, reports[-1].poll_outcome
        )

    def test_poll_without_any_reply_is_reported(self):
        self._run_lasting_task()
        self._replace_replies(dispatcher.PollWorker, lambda reply: None)
        with self._collect_reports() as reports:
            self.world.run(LONG_WAIT_MS)
        self.assertEqual(_stalls.Awaited.POLL_REPLY, reports[-1].waits_for)

    def test_run_without_an_agreed_end_is_reported(self):
        self.world.submit_task('short', 1000, 1200)
        self.world.submit_task('long', 1000)
        self.world.run(1000)
        self.world.added_agreement_ms = 10 * LONG_WAIT_MS
        self.world.run(1000)
        self.world.withdraw_worker(
            'w0', self.world.last_announcement_by_worker['w0'].born_ms
        )
        with self._collect_reports() as reports:
            self.world.run(LEASE_MS)
        self.assertEqual(_stalls.Awaited.AGREEMENT, reports[-1].waits_for)

    def test_refused_stop_is_reported(self):
        self._run_lasting_task()
        self._refuse_orders(dispatcher.StopRun, dispatcher.Verdict.UNHEALTHY)
        self.world.cancel('w')
        with self._collect_reports() as reports:
            self.world.run(LONG_WAIT_MS)
        self.assertEqual(_stalls.Awaited.RETRY, reports[-1].waits_for)
        self.assertEqual('stopping', reports[-1].phase)

    def test_worker_is_reported_once_a_second(self):
        step = workflows.Step(6, cpu=1000, memory_mb=100, lasts=True)
        self.world.submit('w', [step], [ENDLESS_PROFILE])
        self.world.run(1000)
        self._refuse_orders(dispatcher.PollWorker, dispatcher.Verdict.FENCED)
        with self._collect_reports() as reports:
            self.world.run(10_000)
        self.assertLessEqual(len(reports), 10)
        self.assertGreaterEqual(len(reports), 5)


class AwaitedOfStartTest(unittest.TestCase):
    """What a start waits for that is not sent although polls are accepted."""

    def setUp(self):
        state = _book.DispatchState(
            machine.StateMachine().workflows, 1, dispatcher.Timing(), 0
        )
        self.stall_log = _stalls.StallLog(state, dispatcher.Timing())
        self.worker = state.fleet.add_worker(
            workflows.WorkerRecord(
                'w0', 5, 'w0:1', 'pool', 'dc', 8000, 8000, 0, ['a', 'r1']
            ),
            0,
        )
        live_run = workflows.LiveRun(
            workflows.TaskId('w', 0, 0, 0), 1, 'w0', 5
        )
        self.worker.add_run(
            _runs.Run(live_run, LASTING_STEP, _runs.Phase.STARTING)
        )

    def _check_awaited(self, awaited):
        with self.assertLogs(_book.LOG) as logs:
            for now_ms in range(0, 5000, 500):
                self.worker.listed_ms = now_ms
                if self.worker.last_announced_ms is not None:
                    self.worker.last_announced_ms = now_ms
                self.stall_log.report_if_due(self.worker, now_ms)
        self.assertEqual(
            [(awaited, 3000), (awaited, 4000)],
            [(record.waits_for, record.waited_ms) for record in logs.records],
        )

    def test_announcement(self):
        self._check_awaited(_stalls.Awaited.ANNOUNCEMENT)

    def test_clock(self):
        self.worker.last_announced_ms = 0
        self._check_awaited(_stalls.Awaited.CLOCK)

    def test_order(self):
        self.worker.last_announced_ms = 0
        self.worker.record_clock(10, 0)
        self._check_awaited(_stalls.Awaited.ORDER)


class PendingProposalLogTest(unittest.TestCase):
    """Nothing is placed, and no wait of a group logged, meanwhile."""

    def _submit_to_world(self, agreement_ms):
        world = dispatch_world.World(4, workers=1)
        world.run(2000)
        world.added_agreement_ms = agreement_ms
        world.submit('w', [LASTING_STEP], [ENDLESS_PROFILE])
        return world

    def test_proposal_that_is_not_agreed_is_reported_once_a_second(self):
        world = self._submit_to_world(agreement_ms=10 * LONG_WAIT_MS)
        with self.assertLogs(_proposals.LOG) as logs:
            world.run(5000)
        reports = logs.records
        self.assertEqual(
            ['proposal_pending'] * 5, [report.msg for report in reports]
        )
        self.assertEqual(1, reports[-1].placed)
        self.assertGreaterEqual(reports[-1].waited_ms, 5000)

    def test_proposal_that_is_agreed_soon_is_not_reported(self):
        world = self._submit_to_world(agreement_ms=500)
        with self.assertNoLogs(_proposals.LOG):
            world.run(5000)


class IgnoredAnnouncementLogTest(unittest.TestCase):
    def test_announcement_with_an_older_start_is_reported(self):
        """Nothing told of a worker that got no tasks for this cause."""
        world = dispatch_world.World(4, workers=1)
        world.run(2000)
        newest = world.last_announcement_by_worker['w0']
        older = msgspec.structs.replace(
            newest, born_ms=newest.born_ms - 1, sequence=newest.sequence + 1
        )
        with self.assertLogs(_announcing.LOG) as logs:
            for _ in range(3):
                world.deliver_announcement(older)
            world.run(_stalls.REPORT_INTERVAL_MS)
            world.deliver_announcement(older)
        reports = [
            record
            for record in logs.records
            if record.msg == 'announcement_ignored'
        ]
        self.assertEqual(2, len(reports))
        self.assertEqual(older.born_ms, reports[0].born_ms)
        self.assertEqual(newest.born_ms, reports[0].known_born_ms)


if __name__ == '__main__':
    unittest.main()
