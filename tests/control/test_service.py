"""Tests of the service core, which answers calls from the agreed state."""

import unittest
from unittest import mock

from fuchsiatrestle import agreement
from fuchsiatrestle.control import _events
from fuchsiatrestle.control import _large_workflows
from fuchsiatrestle.control import _service
from fuchsiatrestle import errors
from fuchsiatrestle import messages
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import outcomes
from fuchsiatrestle.state import queries
from fuchsiatrestle.state import workflows as records
from fuchsiatrestle import workflows
from fuchsiatrestle.workflows import _dispatcher as dispatcher

ENCODED_PATCH = commands.CODEC.encode(commands.PatchConfig(1, 'p', b'{}'))
ENCODED_QUERY = queries.CODEC.encode(queries.GetConfig())


class ServiceCase(unittest.TestCase):
    def setUp(self):
        self.service = _service.Service('c1', 100)
        self.now_ms = 0
        self.last_call_id = 0

    def _step(self, event):
        self.now_ms += 1
        return self.service.step(event, self.now_ms)

    def _become_leader(self, term=1):
        noop = messages.Entry(
            self.service.machine.applied_index + 1, term, 'noop', b''
        )
        self._step(agreement.ApplyEntries([noop]))
        self._step(agreement.RoleChanged('leader', term, 'c1', True))

    def _send_call(self, message_class, data):
        self.last_call_id += 1
        return self._step(
            _events.Call('e1', message_class(self.last_call_id, data))
        )

    def _propose(self):
        return self._send_call(messages.ProposeCommand, ENCODED_PATCH)

    def _get_answers(self, effects):
        return [
            effect.message
            for effect in effects
            if isinstance(effect, _events.SendToPeer)
        ]

    def _get_token(self, effects):
        event = effects[0].event
        if isinstance(event, agreement.ReadRequest):
            return event.token
        return event.proposals[0][0]

    def _apply_command(self, index, term, data=ENCODED_PATCH):
        entry = messages.Entry(index, term, 'command', data)
        return self._get_answers(self._step(agreement.ApplyEntries([entry])))

    def _assert_refused(self, reason, answers, executed=False):
        self.assertEqual([reason], [answer.reason for answer in answers])
        self.assertIs(executed, answers[0].executed)


class ServiceTest(ServiceCase):
    def _silence_worker(self):
        """Applies that a worker is silent; returns a snapshot of the state."""
        record = records.WorkerRecord(
            'w', 1, 'host:1', 'pool', 'dc', 1, 1, 0, []
        )
        progress = commands.RecordProgress(
            1, 1, workers=[record], silent=['w']
        )
        self._apply_command(1, 1, commands.CODEC.encode(progress))
        return agreement.Snapshot(1, 1, [], self.service.machine.snapshot())

    def _find_silence_ms(self):
        return self.service._silence_times.find_ms('w')

    def test_leader_knows_since_when_workers_are_silent(self):
        """A lease that each leader took to begin with it never ended."""
        self._silence_worker()
        silent_ms = self.now_ms
        self.now_ms += 5000
        self._become_leader()
        self.assertEqual(silent_ms, self._find_silence_ms())
        snapshot = agreement.Snapshot(
            2, 1, [], self.service.machine.snapshot()
        )
        self._step(agreement.RestoreSnapshot(1, snapshot))
        self.assertEqual(silent_ms, self._find_silence_ms())

    def test_process_that_starts_from_a_snapshot_knows_no_earlier_time(self):
        """Its clock may have been at any time when the worker fell silent."""
        snapshot = self._silence_worker()
        self.service = _service.Service('c1', 100, snapshot)
        self.now_ms = 70_000
        self._become_leader()
        self.assertGreater(self._find_silence_ms(), 70_000)

    def test_only_the_ready_leader_serves(self):
        roles = (
            None,
            ('follower', 1, 'c2', False),
            ('leader', 2, 'c1', False),
            ('candidate', 3, '', False),
            ('learner', 3, 'c3', False),
        )
        for role in roles:
            if role:
                self._step(agreement.RoleChanged(*role))
            with self.subTest(role=role):
                answers = self._get_answers(self._propose())
                self._assert_refused('not_leader', answers)
                self.assertEqual(role[2] if role else '', answers[0].leader)

    def test_outcome_follows_the_applied_entry(self):
        self._become_leader()
        token = self._get_token(self._propose())
        self._step(agreement.ProposalAppended(token, 2, 1))
        answer = self._apply_command(2, 1)[0]
        self.assertEqual(
            outcomes.ConfigAccepted(2), outcomes.CODEC.decode(answer.outcome)
        )

    def _submit_refused(self):
        """Sends a submission that the dispatcher refuses."""
        self._become_leader()
        spec = records.WorkflowSpec('', [records.Step(1)])
        submission = commands.SubmitWorkflow('host', '/q/a', spec, 1)
        refusal = commands.RefuseWorkflow('host', '/q/a', 1, 2, 1000)
        with mock.patch.object(
            dispatcher.Dispatcher, 'find_refusal', return_value=refusal
        ):
            effects = self._send_call(
                messages.ProposeCommand, commands.CODEC.encode(submission)
            )
        ((token, proposed_command),) = effects[0].event.proposals
        self.assertEqual(refusal, commands.CODEC.decode(proposed_command))
        self._step(agreement.ProposalAppended(token, 2, 1))
        return proposed_command

    def test_large_workflow_is_refused_by_agreement(self):
        """A copy of it may be in the log already, and must not start then."""
        self._become_leader()
        spec = records.WorkflowSpec('', [records.Step(1)])
        submission = commands.SubmitWorkflow('host', '/q/a', spec, 7)
        with mock.patch.object(
            _large_workflows.LargeWorkflows, 'may_propose', return_value=False
        ):
            effects = self._send_call(
                messages.ProposeCommand, commands.CODEC.encode(submission)
            )
        ((_, proposed_command),) = effects[0].event.proposals
        refusal = commands.CODEC.decode(proposed_command)
        self.assertIsInstance(refusal, commands.RefuseWorkflow)
        self.assertEqual('/q/a', refusal.path)
        self.assertEqual(7, refusal.submitted_ms)

    def test_refusal_is_answered_once_it_is_agreed(self):
        """A refusal by one leader alone would not hold at the next one."""
        proposed_command = self._submit_refused()
        (answer,) = self._apply_command(2, 1, proposed_command)
        self.assertEqual(
            'no_document', outcomes.CODEC.decode(answer.outcome).reason
        )

    def test_refusal_of_a_lost_leadership_is_unknown(self):
        proposed_command = self._submit_refused()
        role_change = agreement.RoleChanged('follower', 2, 'c2', False)
        answers = self._get_answers(self._step(role_change))
        self._assert_refused('unknown', answers)
        self.assertEqual([], self._apply_command(2, 1, proposed_command))

    def test_other_processes_may_not_refuse_workflows(self):
        self._become_leader()
        refusal = commands.RefuseWorkflow('host', '/q/a', 1, 2, 1000)
        effects = self._send_call(
            messages.ProposeCommand, commands.CODEC.encode(refusal)
        )
        self._assert_refused('bad_request', self._get_answers(effects))

    def test_entry_of_another_term_in_its_place_means_not_agreed(self):
        self._become_leader()
        token = self._get_token(self._propose())
        self._step(agreement.ProposalAppended(token, 2, 1))
        self._assert_refused('not_leader', self._apply_command(2, 2))

    def test_lost_leadership_leaves_accepted_calls_unknown(self):
        self._become_leader()
        token = self._get_token(self._propose())
        self._step(agreement.ProposalAppended(token, 2, 1))
        role_change = agreement.RoleChanged('follower', 2, 'c2', False)
        answers = self._get_answers(self._step(role_change))
        self._assert_refused('unknown', answers)
        self.assertEqual([], self._apply_command(2, 1))

    def test_rejected_calls_are_certainly_not_agreed(self):
        self._become_leader()
        for reason in ('overloaded', 'stopping', 'not_leader'):
            token = self._get_token(self._propose())
            effects = self._step(
                agreement.RequestRejected(token, reason, 'c2')
            )
            self._assert_refused(reason, self._get_answers(effects))

    def test_read_waits_for_confirmation_and_for_its_index(self):
        self._become_leader()
        token = self._get_token(
            self._send_call(messages.AskQuery, ENCODED_QUERY)
        )
        read_ready = agreement.ReadReady(token, 2)
        self.assertEqual([], self._get_answers(self._step(read_ready)))
        answer = self._apply_command(2, 1)[0]
        config = queries.CODEC.decode(answer.result)
        self.assertEqual(2, config.version)

    def test_evacuations_are_ordered_and_read_through_the_leader(self):
        """The list tells the data centres of the leader's settings, too."""
        features = workflows.Features(
            evacuation_ms=5000, data_centres=('dc', 'empty')
        )
        self.service = _service.Service('c1', 100, features=features)
        self._become_leader()
        order = commands.CODEC.encode(commands.StartEvacuation('dc', 0))
        token = self._get_token(
            self._send_call(messages.ProposeCommand, order)
        )
        self._step(agreement.ProposalAppended(token, 2, 1))
        answer = self._apply_command(2, 1, order)[0]
        self.assertTrue(outcomes.CODEC.decode(answer.outcome).evacuated)
        query = queries.CODEC.encode(queries.GetEvacuations())
        token = self._get_token(self._send_call(messages.AskQuery, query))
        effects = self._step(agreement.ReadReady(token, 2))
        answer = self._get_answers(effects)[0]
        self.assertEqual(
            queries.EvacuationList(
                [
                    queries.EvacuationView('dc', True, 1),
                    queries.EvacuationView('empty', False, 0),
                ],
                True,
                ['dc', 'empty'],
            ),
            queries.CODEC.decode(answer.result),
        )

    def test_read_after_lost_leadership_is_refused(self):
        self._become_leader()
        token = self._get_token(
            self._send_call(messages.AskQuery, ENCODED_QUERY)
        )
        self._step(agreement.RoleChanged('follower', 2, 'c2', False))
        effects = self._step(agreement.ReadReady(token, 1))
        self._assert_refused('not_leader', self._get_answers(effects))

    def test_renewal_is_granted_only_once_confirmed(self):
        self._become_leader()
        renewal = messages.RenewConfigLease(7, 'e1', 1, 0, 'a:1', 1)
        call = _events.Call('e1', renewal)
        self.assertEqual([], self._step(call))
        effects = self._step(_events.Tick(0))
        token = self._get_token(effects)
        effects = self._step(agreement.ReadReady(token, 1))
        lease = self._get_answers(effects)[0]
        self.assertEqual('not_admitted', lease.reason)

    def test_claims_of_a_silent_process_are_abandoned(self):
        claim = commands.Claim('credits', 'k', b'f')
        claim_requests = commands.ClaimRequests('e1', 1, 1, [claim])
        config_patch = b'{"entries": {"e1": {"address": "10.0.0.1:1"}}}'
        add_entry = commands.PatchConfig(1, 'p', config_patch)
        self._become_leader()
        self._apply_command(2, 1, commands.CODEC.encode(add_entry))
        self._apply_command(3, 1, commands.CODEC.encode(claim_requests))
        # The lease ends about 2 s after the last renewal.  The claims are
        # abandoned 10 s after one of the checks, about a second apart, found
        # that it has ended.
        for until_ms, renews in ((20000, True), (31500, False)):
            self.assertEqual([], self._run_until(until_ms, renews))
        proposed_commands = self._run_until(33500, False)
        self.assertIn(commands.AbandonClaims('e1', 1), proposed_commands)

    def _run_until(self, until_ms, renews):
        """Sends ticks until a time; returns the leader's own commands.

        Args:
            until_ms: monotonic time to stop at.
            renews: True if the entry process renews its lease meanwhile.
        """
        encoded_commands = []
        while self.now_ms < until_ms:
            self.now_ms += 499
            if renews:
                self._renew_lease()
            for effect in self._step(_events.Tick(0)):
                event = getattr(effect, 'event', None)
                if isinstance(event, agreement.ProposeCommands):
                    encoded_commands += [data for _, data in event.proposals]
                elif isinstance(event, agreement.ReadRequest):
                    self._step(agreement.ReadReady(event.token, 1))
        return [commands.CODEC.decode(data) for data in encoded_commands]

    def _renew_lease(self):
        self.last_call_id += 1
        renewal = messages.RenewConfigLease(
            self.last_call_id, 'e1', 1, 2, '10.0.0.1:1', 1
        )
        self._step(_events.Call('e1', renewal))

    def test_malformed_and_internal_commands_are_refused(self):
        leader_command = commands.CODEC.encode(commands.ParkJobs(['j'], 'x'))
        self._become_leader()
        large_command = b'x' * (_service.MAX_COMMAND_BYTES + 1)
        for data in (b'', b'\xff', leader_command, large_command):
            with self.subTest(data=data[:5]):
                effects = self._send_call(messages.ProposeCommand, data)
                self._assert_refused('bad_request', self._get_answers(effects))
        effects = self._send_call(messages.AskQuery, b'\xff')
        token = self._get_token(effects)
        effects = self._step(agreement.ReadReady(token, 0))
        self._assert_refused('bad_request', self._get_answers(effects))

    def test_calls_are_bounded(self):
        self._become_leader()
        with mock.patch.object(_service, 'MAX_PENDING_CALLS', 2):
            self._propose()
            self._propose()
            answers = self._get_answers(self._propose())
            self._assert_refused('overloaded', answers)

    def test_broken_storage_acknowledges_nothing(self):
        self._become_leader()
        token = self._get_token(self._propose())
        self._step(agreement.ProposalAppended(token, 2, 1))
        folder_failed = _events.DataFolderFailed(
            errors.StorageFailed('x', step='y')
        )
        self._assert_refused(
            'unknown', self._get_answers(self._step(folder_failed))
        )
        self._assert_refused(
            'storage_failed', self._get_answers(self._propose())
        )

    def test_snapshot_restarts_the_state(self):
        service = _service.Service('c1', 1)
        entry = messages.Entry(1, 1, 'command', ENCODED_PATCH)
        effects = service.step(agreement.ApplyEntries([entry]), 1)
        make_snapshot = effects[0].event
        self.assertEqual(1, make_snapshot.last_index)
        snapshot = agreement.Snapshot(1, 1, None, make_snapshot.data)
        restored_service = _service.Service('c1', 1, snapshot)
        self.assertEqual(2, restored_service.machine.config.version)


if __name__ == '__main__':
    unittest.main()
