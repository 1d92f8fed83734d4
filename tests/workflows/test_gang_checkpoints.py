"""Tests of the checkpoint that the members of a gang resume from.

They guard against members that start with different ones: each waits for the
others, ends alone, and starts with the same values again, without an end.
"""

import collections
import logging
import unittest

from fuchsiatrestle import messages
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import machine
from fuchsiatrestle.state import workflows as records
from fuchsiatrestle import workflows

HOST = 'h.example'
WALL_MS = 1_700_000_000_000
QUEUE = records.Queue('q', HOST, '/q/', 'pool', 1, 9, 1.5, 250, 3000)
DOCUMENT = records.Document(1, [QUEUE], [records.Pool('pool', False)])
MEMBERS = 3
STEP = records.Step(
    MEMBERS, cpu=1000, estimate_ms=9000, checkpoints=True, gang=True
)
BORN_MS = 5


class GangCheckpointTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.state = machine.StateMachine()
        self.now_ms = 0
        self.term = 0
        self.end_number = 0
        # Sets of the checkpoints of all start orders, by run number.
        self.checkpoints_by_run = collections.defaultdict(set)
        self.starts = []
        # (poll, reply) pairs that are due at the next tick.
        self.replies = []
        self._apply(commands.PutDocument(DOCUMENT, b''))
        spec = records.WorkflowSpec('text', [STEP])
        self._apply(commands.SubmitWorkflow(HOST, '/q/w', spec, WALL_MS))
        self._elect()
        self._run_for(500)

    def _apply(self, command):
        self.state.apply(self.state.applied_index + 1, command)

    def _elect(self):
        self.term += 1
        self.core = workflows.Dispatcher(
            self.state.workflows, self.term, workflows.Timing(), self.now_ms
        )

    def _restore(self):
        snapshot = self.state.snapshot()
        self.state = machine.StateMachine()
        self.state.restore(snapshot)
        self._elect()

    def _step(self, event):
        for effect in self.core.step(event, self.now_ms):
            if isinstance(effect, workflows.Propose):
                self._agree(effect.command)
            elif isinstance(effect, workflows.StartRun):
                self.starts.append(effect)
                self.checkpoints_by_run[effect.run].add(effect.checkpoint)
            elif isinstance(effect, workflows.PollWorker):
                self.replies.append((effect, self._make_empty_list()))

    def _agree(self, command):
        self._apply(command)
        self._step(workflows.CommandApplied(command))

    def _make_empty_list(self):
        return workflows.Reply(
            workflows.Verdict.ACCEPTED,
            1000 + self.now_ms,
            BORN_MS,
            [],
            [],
            True,
        )

    def _run_for(self, duration_ms):
        """Passes time in which workers announce themselves and answer."""
        for _ in range(duration_ms // 100):
            self.now_ms += 100
            for number in range(MEMBERS):
                self._step(
                    workflows.WorkerAnnounced(
                        messages.WorkerAnnouncement(
                            f'w{number}',
                            BORN_MS,
                            self.now_ms,
                            f'10.0.0.{number + 1}:80',
                            'pool',
                            'dc',
                            'ready',
                            1000,
                            1000,
                            0,
                            ['a', 'r1'],
                            1000 + self.now_ms,
                        )
                    )
                )
            self._step(workflows.Tick(WALL_MS + self.now_ms))
            replies = self.replies
            self.replies = []
            for order, reply in replies:
                self._step(workflows.ReplyReceived(order, reply))

    def _end_members(self, **checkpoints):
        """Ends the runs of members by their numbers, as ``m0='a'``."""
        ends = []
        for live_run in self.state.workflows.live_runs():
            name = f'm{live_run.task.index}'
            if name not in checkpoints:
                continue
            self.end_number += 1
            ends.append(
                commands.RunEnd(
                    live_run.worker,
                    BORN_MS,
                    self.end_number,
                    live_run.task,
                    live_run.run,
                    'broken',
                    checkpoints[name],
                )
            )
            worker = self.core._state.fleet.get(live_run.worker)
            worker.remove_run((live_run.task, live_run.run))
        self._agree(
            commands.RecordProgress(0, WALL_MS + self.now_ms, [], ends)
        )

    def _check_starts(self, run_number):
        started = {
            start.task.index
            for start in self.starts
            if start.run == run_number
        }
        self.assertEqual(set(range(MEMBERS)), started)
        for checkpoints in self.checkpoints_by_run.values():
            self.assertEqual(1, len(checkpoints))

    def test_members_resume_from_the_same_checkpoint(self):
        self._end_members(m0='a@1', m1='b@2', m2='c@3')
        self._run_for(500)
        self._check_starts(2)
        self.assertEqual({'c@3'}, self.checkpoints_by_run[2])
        self._end_members(m0='a@7', m1='', m2='')
        self._run_for(500)
        self._check_starts(3)
        self.assertEqual({'a@7'}, self.checkpoints_by_run[3])

    def test_start_that_is_sent_again_keeps_the_checkpoint(self):
        """Another member has ended meanwhile, with a newer one."""
        for changes_leader in (False, True):
            with self.subTest(changes_leader=changes_leader):
                self.setUp()
                self._end_members(m0='a@1', m1='b@2', m2='c@3')
                self._run_for(300)
                start_count = len(self.starts)
                self._end_members(m1='b@9')
                if changes_leader:
                    self._restore()
                for start in self.starts[-MEMBERS:]:
                    silent = workflows.Reply(
                        workflows.Verdict.SILENT, None, 0, [], [], False
                    )
                    self._step(workflows.ReplyReceived(start, silent))
                self._run_for(1500)
                self.assertGreater(len(self.starts), start_count)
                self._check_starts(2)

    def test_leader_restored_from_a_snapshot_uses_one_checkpoint(self):
        self._end_members(m0='a@1', m1='b@2', m2='c@3')
        self._restore()
        self._run_for(500)
        self._check_starts(2)
        self.assertLess(self.checkpoints_by_run[2], {'a@1', 'b@2', 'c@3'})


if __name__ == '__main__':
    unittest.main()
