"""Tests of the services that only the leader runs."""

import logging
import unittest

import msgspec

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


class ReceiverTest(unittest.TestCase):
    """A leader that got all announcements itself had no time for the rest."""

    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self._services = _leader.LeaderServices(
            'c1', 1, machine.StateMachine(), workflows.Timing(), 0
        )
        self._now_ms = 0

    def _publish_members(self, *heard_age_by_name):
        members = [
            _events.MemberStatus(f'{name}@1', name, 'voter', 1, heard_age_ms)
            for name, heard_age_ms in heard_age_by_name
        ]
        self._services.update_replica_status(
            _events.ReplicaStatus(1, 1, members, [], 1)
        )

    def _announce(self, number):
        """Returns the receiver that the answer to an announcement names."""
        self._now_ms += 1
        announcement = msgspec.structs.replace(
            _make_announcement('ready', self._now_ms), worker=f'i-{number}'
        )
        call = _events.Call(PEER, messages.AnnounceWorker(7, announcement))
        effects = self._services.handle_confirmed_call(call, self._now_ms)
        (answer,) = (
            effect.message
            for effect in effects
            if isinstance(effect, _events.SendToPeer)
        )
        self.assertEqual((7, 'c1'), (answer.call_id, answer.leader))
        return answer.receiver

    def _announce_all(self, count):
        receivers = [self._announce(number) for number in range(count)]
        self._services.handle_tick(1_000_000, self._now_ms)
        return receivers

    def test_few_workers_announce_themselves_to_the_leader(self):
        self._publish_members(('c1', 0), ('c2', 0), ('c3', 0))
        self._announce_all(_leader.MAX_DIRECT_WORKERS)
        self.assertEqual('', self._announce(5))

    def test_many_workers_are_spread_over_members_that_are_heard(self):
        self._publish_members(
            ('c1', 0), ('c2', 30), ('c3', 1000), ('c4', 1001)
        )
        self._announce_all(_leader.MAX_DIRECT_WORKERS + 1)
        receivers = self._announce_all(_leader.MAX_DIRECT_WORKERS)
        self.assertEqual({'c2', 'c3'}, set(receivers))
        self.assertGreater(receivers.count('c2'), 400)
        self.assertGreater(receivers.count('c3'), 400)
        self.assertEqual(receivers[:9], [self._announce(n) for n in range(9)])

    def test_leader_that_hears_no_other_member_receives_them_itself(self):
        self._announce_all(_leader.MAX_DIRECT_WORKERS + 1)
        self.assertEqual('', self._announce(5))
        self._publish_members(('c1', 0), ('c2', 5000))
        self.assertEqual('', self._announce(5))

    def test_workers_that_are_gone_do_not_count(self):
        self._publish_members(('c1', 0), ('c2', 0))
        self._announce_all(_leader.MAX_DIRECT_WORKERS + 1)
        self.assertEqual('c2', self._announce(5))
        self._now_ms += 60_000
        self._services.handle_tick(1_000_000, self._now_ms)
        self.assertEqual('', self._announce(5))


if __name__ == '__main__':
    unittest.main()
