"""Tests that a task with room elsewhere does not wait without an end.

The bounds are those that follow from a proof, as that all leases are surely
over or that a start was never sent, or from the rules of the platform.
"""

import errno
import logging
import unittest
from unittest import mock

import curio
import msgspec

from fuchsiatrestle.platform import _driver
from fuchsiatrestle.state import workflows
from fuchsiatrestle import workflows as dispatcher
from fuchsiatrestle.workflows import _announcing
from fuchsiatrestle.workflows import _clock
from fuchsiatrestle.workflows import _fleet
from standins import worker_model
from tests.fakes import dispatch_world

LASTING_STEP = workflows.Step(1, cpu=1000, memory_mb=100, lasts=True)
ENDLESS_PROFILE = worker_model.TaskProfile(1000, 100, None)
SILENT_REPLY = dispatcher.Reply(
    dispatcher.Verdict.SILENT, None, 0, [], [], False
)
# Twice the longest lease, and a clock that is 2% slow.
LONG_WAIT_MS = 12_500


class UnboundedWaitTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.world = dispatch_world.World(4, workers=1)
        self.world.run(2000)

    def _submit(self):
        self.world.submit('w', [LASTING_STEP], [ENDLESS_PROFILE])

    def _replace_replies(self, replace_reply):
        """Replaces the replies of ``w0``, each of which may be None."""
        report_reply = self.world._report_reply

        def report_replaced_reply(token, order, reply):
            if order.worker == 'w0':
                reply = replace_reply(order, reply)
            report_reply(token, order, reply)

        self.world._report_reply = report_replaced_reply

    def _replace_announcements(self, **fields):
        """Replaces fields of the announcements of ``w0``."""
        deliver_announcement = self.world.deliver_announcement

        def deliver_replaced_announcement(announcement):
            if announcement.worker == 'w0':
                announcement = msgspec.structs.replace(announcement, **fields)
            deliver_announcement(announcement)

        self.world.deliver_announcement = deliver_replaced_announcement

    def _replace_reply_fields(self, **fields):
        """Replaces fields of the replies of ``w0`` to polls."""

        def replace_fields(order, reply):
            if reply is None or not isinstance(order, dispatcher.PollWorker):
                return reply
            return dispatcher.Reply(
                *(
                    fields.get(name, getattr(reply, name))
                    for name in dispatcher.Reply.__slots__
                )
            )

        self._replace_replies(replace_fields)

    def _check_runs_on(self, worker):
        self.assertEqual([], self.world.ledger.breaches)
        self.assertEqual([worker], list(self.world.ledger.running.values()))

    def test_run_on_a_process_heard_once_is_over_with_its_leases(self):
        """Its answer to a poll has told its clock, too."""
        self.world.voiceless_workers.add('w0')
        self._submit()
        self.world.run(300)
        self.world.first_announcement_ms = 100 * LONG_WAIT_MS
        self.world.crash_worker('w0', 200)
        self.world.voiceless_workers.clear()
        self._replace_replies(self._cut_off_once_answered)
        self.world.run(3000)
        self.assertIn('w0', self.world.unreachable_workers)
        self.world.first_announcement_ms = 0
        self.world.add_worker('w1')
        self.world.run(LONG_WAIT_MS)
        self._check_runs_on('w1')

    def _cut_off_once_answered(self, order, reply):
        if reply is not None and isinstance(order, dispatcher.PollWorker):
            self.world.unreachable_workers.add('w0')
        return reply

    def test_run_on_a_worker_that_refuses_polls_is_over_with_its_leases(self):
        """A poll that was refused has given no lease."""
        self._submit()
        self.world.run(1000)
        self._check_runs_on('w0')
        self._refuse_polls(dispatcher.Verdict.UNHEALTHY)
        self.world.add_worker('w1')
        self.world.run(LONG_WAIT_MS)
        self._check_runs_on('w1')

    def _refuse_polls(self, verdict):
        execute_order = self.world._execute_order

        def execute_or_refuse(order):
            if order.worker != 'w0' or not isinstance(
                order, dispatcher.PollWorker
            ):
                return execute_order(order)
            model = self.world._worker_models['w0']
            model.advance(self.world.now_ms)
            return dispatcher.Reply(
                verdict,
                model.clock_ms(self.world.now_ms),
                model.born_ms,
                [],
                [],
                False,
            )

        self.world._execute_order = execute_or_refuse

    def test_task_leaves_a_worker_that_never_tells_its_clock(self):
        """No start was sent, as no lease can be named."""
        self._replace_announcements(clock_ms=None)
        self._replace_reply_fields(clock_ms=None)
        self.world.crash_worker('w0', 200)
        self.world.run(4000)
        self._submit()
        self.world.run(1000)
        self.world.add_worker('w1')
        self.world.run(LONG_WAIT_MS)
        self._check_runs_on('w1')

    def test_task_leaves_a_worker_that_no_start_reaches(self):
        """A stop, accepted, and a whole list prove that it has not started."""
        self.world.startless_workers.add('w0')
        self._submit()
        self.world.run(300)
        self.world.add_worker('w1')
        self.world.run(LONG_WAIT_MS)
        self._check_runs_on('w1')

    def test_end_listed_after_a_later_one_counts(self):
        """Such an end was dropped, and its run stayed live."""
        self._replace_replies(self._reverse_ends)
        step = workflows.Step(4, cpu=1000, memory_mb=10, estimate_ms=300)
        profile = worker_model.TaskProfile(1000, 10, 300)
        self.world.submit('w', [step], [profile])
        self.world.run(LONG_WAIT_MS)
        self.assertEqual([], self.world.ledger.breaches)
        self.assertEqual('completed', self.world.workflow_state('w'))

    @staticmethod
    def _reverse_ends(order, reply):
        return reply and dispatcher.Reply(
            reply.verdict,
            reply.clock_ms,
            reply.born_ms,
            reply.listed_runs,
            reply.listed_ends[::-1],
            reply.is_complete,
        )

    def _start_process_with_clock_set_back(self):
        """Starts one that names an earlier start than the one before it."""
        self.world.crash_worker('w0', 200)
        self.world.run(4000)
        self._replace_announcements(born_ms=1)
        self._replace_reply_fields(born_ms=1)
        self.world.crash_worker('w0', 200)
        self.world.run(4000)

    def test_process_whose_clock_was_set_back_gets_tasks(self):
        """It names an earlier start than the process before it."""
        self._start_process_with_clock_set_back()
        self._submit()
        self.world.run(LONG_WAIT_MS)
        self._check_runs_on('w0')

    # Guards against a start anew beside a run, by a late announcement.
    def test_run_goes_on_if_an_ended_process_with_a_later_start_is_heard(self):
        deliver_announcement = self.world.deliver_announcement
        self._start_process_with_clock_set_back()
        self._submit()
        self.world.run(LONG_WAIT_MS)
        self._check_runs_on('w0')
        ended_born_ms = self.world._dispatcher._state.fleet.get(
            'w0'
        ).record.ended_born_ms
        self.assertGreater(ended_born_ms, 1)
        self.world.add_worker('w1')
        for changes_leader in (False, True):
            if changes_leader:
                self.world.start_leader()
                self.world.run(3000)
            deliver_announcement(
                msgspec.structs.replace(
                    self.world.last_announcement_by_worker['w0'],
                    born_ms=ended_born_ms,
                    sequence=10_000,
                )
            )
            self.world.run(LONG_WAIT_MS)
            self._check_runs_on('w0')
            self.assertEqual(1, self.world.ledger.starts)

    def test_process_that_follows_one_whose_clock_was_set_back_gets_tasks(
        self,
    ):
        deliver_announcement = self.world.deliver_announcement
        report_reply = self.world._report_reply
        self._start_process_with_clock_set_back()
        self.world.deliver_announcement = deliver_announcement
        self.world._report_reply = report_reply
        self._replace_announcements(born_ms=2)
        self._replace_reply_fields(born_ms=2)
        self.world.crash_worker('w0', 200)
        self.world.run(4000)
        self._submit()
        self.world.run(LONG_WAIT_MS)
        self._check_runs_on('w0')

    def test_uptime_of_a_process_is_not_told_by_starts_after_a_set_back_clock(
        self,
    ):
        uptime_ms = 60_000
        record = workflows.WorkerRecord(
            'w0', 1, 'w0:1', 'pool', 'dc', 1000, 100, 0, []
        )
        worker = _fleet.Worker(
            msgspec.structs.replace(record, ended_born_ms=6000),
            _clock.LeaseClock(5000),
        )
        worker.record_clock(uptime_ms, 0)
        next_record = msgspec.structs.replace(record, born_ms=2)
        self.assertGreaterEqual(
            _announcing._find_max_uptime_ms(worker, next_record, 0), uptime_ms
        )

    # Guards against a run that is taken for over while it goes on.
    def test_late_announcement_of_an_earlier_process_replaces_none(self):
        self.world.crash_worker('w0', 200)
        self.world.run(4000)
        self._submit()
        self.world.run(2000)
        self.world.add_worker('w1')
        for number in range(20):
            self.world.deliver_announcement(
                msgspec.structs.replace(
                    self.world.last_announcement_by_worker['w0'],
                    born_ms=1,
                    sequence=10_000 + number,
                )
            )
            self.world.run(500)
        self._check_runs_on('w0')
        self.assertEqual(1, self.world.ledger.starts)


class DriverReplyTest(unittest.TestCase):
    def test_order_without_a_free_descriptor_is_reported_as_silent(self):
        """A worker whose poll is never reported is never polled again."""
        replies = []

        async def append_reply(event):
            replies.append(event.reply)

        async def send_order():
            driver = _driver.HttpDriver()
            await driver.start(append_reply)
            order = dispatcher.PollWorker('w0', '127.0.0.1:1', None, 1, 0, 0)
            await driver.send(order)
            await curio.sleep(0.1)

        error = OSError(errno.EMFILE, 'Too many open files')
        with mock.patch.object(curio.socket, 'socket', side_effect=error):
            curio.run(send_order)
        self.assertEqual([SILENT_REPLY], replies)


if __name__ == '__main__':
    unittest.main()
