"""Tests of the services that only the leader runs."""

import logging
import unittest

from fuchsiatrestle.control import _events
from fuchsiatrestle.control import _leader
from fuchsiatrestle import messages
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import machine
from fuchsiatrestle.state import workflows as records
from fuchsiatrestle import workflows

PEER = 'daemon'
WORKER = 'i-1'
BORN_MS = 17


def _make_announcement(state, sequence):
    return messages.WorkerAnnouncement(
        WORKER,
        BORN_MS,
        sequence,
        '10.0.0.1:1',
        'pool',
        'dc',
        state,
        8000,
        32768,
        0,
        ['a', 'r1'],
        1000 * sequence,
    )


class WithdrawalTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        state_machine = machine.StateMachine()
        queue = records.Queue(
            'queue', 'host', '/q/', 'pool', 0, 3, 1.5, 250, 3000
        )
        document = records.Document(1, [queue], [records.Pool('pool', False)])
        self._machine = state_machine
        self._machine.apply(1, commands.PutDocument(document, b''))
        self._services = _leader.LeaderServices(
            'leader', 1, state_machine, workflows.Timing(), 0
        )
        self._services.handle_tick(1_000_000, 0)

    def _call(self, message, now_ms):
        effects = self._services.handle_confirmed_call(
            _events.Call(PEER, message), now_ms
        )
        return self._apply(effects, now_ms)

    def _apply(self, effects, now_ms):
        """Applies proposals at once; returns the answers to the peer."""
        answers = []
        for effect in effects:
            if isinstance(effect, _events.SendToPeer):
                answers.append(effect.message.call_id)
            elif isinstance(effect, _leader.LeaderProposal):
                index = self._machine.applied_index + 1
                outcome = self._machine.apply(index, effect.command)
                answers += self._apply(
                    self._services.handle_applied_command(
                        effect.command, outcome, now_ms
                    ),
                    now_ms,
                )
        return answers

    def _start_run(self):
        self._call(
            messages.AnnounceWorker(1, _make_announcement('ready', 1)), 10
        )
        step = records.Step(1, cpu=1000, memory_mb=10, lasts=True)
        submission = commands.SubmitWorkflow(
            'host', '/q/w', records.WorkflowSpec('', [step]), 1_000_000
        )
        proposal = _leader.LeaderProposal(submission)
        self._apply([proposal], 20)

    def test_withdrawal_is_answered_at_once_without_runs(self):
        self._call(
            messages.AnnounceWorker(1, _make_announcement('draining', 1)), 10
        )
        withdrawal = messages.WithdrawWorker(2, WORKER, BORN_MS)
        self.assertEqual([2], self._call(withdrawal, 20))

    def test_withdrawal_of_unknown_worker_is_answered(self):
        withdrawal = messages.WithdrawWorker(2, 'other')
        self.assertEqual([2], self._call(withdrawal, 20))

    def test_withdrawal_waits_for_runs_but_not_for_ever(self):
        """A worker that got no answer in a second would ask again for ever."""
        self._start_run()
        self.assertEqual(1, len(self._machine.workflows.live_runs()))
        withdrawal = messages.WithdrawWorker(2, WORKER, BORN_MS)
        self.assertEqual([], self._call(withdrawal, 100))
        self.assertEqual(
            [], self._apply(self._services.handle_tick(1_000_500, 500), 500)
        )
        effects = self._services.handle_tick(1_000_800, 800)
        self.assertEqual([2], self._apply(effects, 800))
        resent_withdrawal = messages.WithdrawWorker(3, WORKER, BORN_MS)
        self.assertEqual([3], self._call(resent_withdrawal, 900))


if __name__ == '__main__':
    unittest.main()
