"""Tests of claims on idempotency keys."""

import collections
import unittest
from unittest import mock

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from fuchsiatrestle.state import _claims
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import machine

SERVICE = 'credits'


def _make_claim_command(entry, incarnation, batch, *keys, fingerprint=b'f'):
    claims = [commands.Claim(SERVICE, key, fingerprint) for key in keys]
    return commands.ClaimRequests(entry, incarnation, batch, claims)


def _make_finish_command(owner, number, key, state, status=0, answer=b''):
    finished = commands.FinishedClaim(SERVICE, key, state, status, answer)
    return commands.FinishClaims(*owner, [finished], number)


class ClaimsTest(unittest.TestCase):
    def setUp(self):
        self.machine = machine.StateMachine()

    def _apply_command(self, command):
        return self.machine.apply(self.machine.applied_index + 1, command)

    def _claim_states(self, command):
        return [answer.state for answer in self._apply_command(command).claims]

    def test_states_of_a_key(self):
        self.assertEqual(
            ['granted'],
            self._claim_states(_make_claim_command('e1', 1, 1, 'k')),
        )
        self.assertEqual(
            ['granted'],
            self._claim_states(_make_claim_command('e1', 1, 1, 'k')),
        )
        self.assertEqual(
            ['held'], self._claim_states(_make_claim_command('e1', 1, 2, 'k'))
        )
        self.assertEqual(
            ['held'], self._claim_states(_make_claim_command('e2', 1, 1, 'k'))
        )
        other = _make_claim_command('e2', 1, 2, 'k', fingerprint=b'g')
        self.assertEqual(['mismatch'], self._claim_states(other))
        self._apply_command(
            _make_finish_command(('e1', 1), 1, 'k', 'done', 201, b'ok')
        )
        answer = self._apply_command(
            _make_claim_command('e2', 1, 3, 'k')
        ).claims[0]
        self.assertEqual(
            ('done', 201, b'ok'), (answer.state, answer.status, answer.answer)
        )

    def test_not_run_frees_the_key_but_not_for_a_resent_batch(self):
        self._apply_command(_make_claim_command('e1', 1, 1, 'k'))
        self._apply_command(_make_finish_command(('e1', 1), 2, 'k', 'not_run'))
        self.assertEqual(
            ['expired'],
            self._claim_states(_make_claim_command('e1', 1, 1, 'k')),
        )
        self.assertEqual(
            ['granted'],
            self._claim_states(_make_claim_command('e2', 1, 1, 'k')),
        )

    def test_a_repeated_finish_frees_nothing_claimed_since(self):
        for number in (1, 0):
            with self.subTest(number=number):
                self.setUp()
                finish = _make_finish_command(
                    ('e1', 1), number, 'k', 'not_run'
                )
                self._apply_command(_make_claim_command('e1', 1, 1, 'k'))
                self._apply_command(finish)
                self._apply_command(_make_claim_command('e1', 1, 2, 'k'))
                self._apply_command(finish)
                states = self._claim_states(
                    _make_claim_command('e2', 1, 1, 'k')
                )
                self.assertEqual(['held'], states)

    def test_a_dead_process_leaves_unknown(self):
        endings = (
            _make_claim_command('e1', 2, 1, 'other'),
            commands.AbandonClaims('e1', 1),
        )
        for ending in endings:
            with self.subTest(ending=type(ending).__name__):
                self.setUp()
                self._apply_command(_make_claim_command('e1', 1, 1, 'k'))
                self._apply_command(ending)
                states = self._claim_states(
                    _make_claim_command('e2', 1, 1, 'k')
                )
                self.assertEqual(['unknown'], states)
                # Only the process that was granted the key may finish it.
                self._apply_command(
                    _make_finish_command(('e2', 1), 3, 'k', 'not_run')
                )
                states = self._claim_states(
                    _make_claim_command('e2', 1, 2, 'k')
                )
                self.assertEqual(['unknown'], states)
                self._apply_command(
                    _make_finish_command(('e1', 1), 4, 'k', 'not_run')
                )
                states = self._claim_states(
                    _make_claim_command('e2', 1, 3, 'k')
                )
                self.assertEqual(['granted'], states)

    def test_a_replaced_process_claims_nothing(self):
        self._apply_command(_make_claim_command('e1', 1, 1, 'a'))
        self._apply_command(_make_claim_command('e1', 2, 1, 'b'))
        self.assertEqual(
            ['expired'],
            self._claim_states(_make_claim_command('e1', 1, 2, 'c')),
        )
        self.assertEqual(
            ['granted'],
            self._claim_states(_make_claim_command('e1', 2, 2, 'c')),
        )

    def test_limits_on_claims_and_batch_numbers(self):
        with mock.patch.object(_claims, 'MAX_CLAIMS', 2):
            self._apply_command(_make_claim_command('e1', 1, 1, 'a', 'b'))
            states = self._claim_states(_make_claim_command('e1', 1, 2, 'c'))
            self.assertEqual(['overloaded'], states)
            self._apply_command(
                _make_finish_command(('e1', 1), 5, 'a', 'done', 200)
            )
            states = self._claim_states(
                _make_claim_command('e1', 1, 3, 'c', 'a')
            )
            self.assertEqual(['granted', 'expired'], states)
        with mock.patch.object(_claims, 'MAX_BATCH_NUMBERS', 2):
            for batch in range(10, 14):
                self._apply_command(
                    _make_claim_command('e2', 1, batch, f'k{batch}')
                )
            self._apply_command(
                _make_finish_command(('e2', 1), 6, 'k10', 'not_run')
            )
            states = self._claim_states(
                _make_claim_command('e2', 1, 10, 'k10')
            )
            self.assertEqual(['expired'], states)

    def test_stored_answers_are_bounded(self):
        with mock.patch.object(_claims, 'MAX_TOTAL_ANSWER_BYTES', 10):
            for number in range(5):
                key = f'k{number}'
                self._apply_command(_make_claim_command('e1', 1, number, key))
                self._apply_command(
                    _make_finish_command(
                        ('e1', 1), 7, key, 'done', 200, b'12345'
                    )
                )
            answers = [
                self._apply_command(
                    _make_claim_command('e2', 1, number, f'k{number}')
                ).claims[0]
                for number in range(5)
            ]
            self.assertEqual({'done'}, {answer.state for answer in answers})
            stored_answers = [answer.answer for answer in answers]
            self.assertEqual([b''] * 3 + [b'12345'] * 2, stored_answers)


class ClaimsMachine(stateful.RuleBasedStateMachine):
    """Entries claim, dispatch, finish, resend and restart in random order.

    The state machine is replaced by its snapshot at random times.  A key whose
    request runs twice is a fault: ``run_counts`` counts how often a request
    with the key was sent to an upstream.
    """

    RARELY = strategies.integers(0, 9)
    KEYS = strategies.just('k1')
    ENTRIES = strategies.sampled_from(('e1', 'e2'))

    def __init__(self):
        super().__init__()
        self.machine = machine.StateMachine()
        self.incarnations = {'e1': 1, 'e2': 1}
        self.batch_numbers = collections.Counter()
        self.finish_numbers = collections.Counter()
        self.sent_commands = []
        # Sets of (entry, incarnation, batch, key).  ``granted_claims`` are
        # those that a live process was granted and has not yet dispatched.
        self.granted_claims = set()
        self.running_claims = set()
        self.ended_claims = set()
        self.run_counts = collections.Counter()

    def _apply_command(self, command):
        return self.machine.apply(self.machine.applied_index + 1, command)

    @stateful.rule(entry=ENTRIES, key=KEYS)
    def claim(self, entry, key):
        owner = (entry, self.incarnations[entry])
        self.batch_numbers[owner] += 1
        command = _make_claim_command(*owner, self.batch_numbers[owner], key)
        self.sent_commands.append(command)
        self._deliver(command)

    @stateful.precondition(lambda self: self.sent_commands)
    @stateful.rule(data=strategies.data())
    def resend(self, data):
        """A command is committed a second time, possibly much later.

        A process sends it again if it did not receive the first outcome.
        """
        command = data.draw(strategies.sampled_from(self.sent_commands))
        if isinstance(command, commands.ClaimRequests):
            self._deliver(command)
        else:
            self._apply_command(command)

    def _deliver(self, command):
        key = command.claims[0].key
        state = self._apply_command(command).claims[0].state
        owner = (command.entry, command.incarnation)
        is_alive = self.incarnations[command.entry] == command.incarnation
        granted_claim = (*owner, command.batch, key)
        dispatched_or_ended = self.running_claims | self.ended_claims
        if (
            state == 'granted'
            and is_alive
            and granted_claim not in dispatched_or_ended
        ):
            self.granted_claims.add(granted_claim)

    @stateful.precondition(lambda self: self.granted_claims)
    @stateful.rule(data=strategies.data())
    def dispatch(self, data):
        """A process dispatches each granted claim of a batch once."""
        granted_claim = data.draw(
            strategies.sampled_from(sorted(self.granted_claims))
        )
        self.granted_claims.discard(granted_claim)
        self.running_claims.add(granted_claim)
        self.run_counts[granted_claim[3]] += 1

    @stateful.precondition(lambda self: self.granted_claims)
    @stateful.rule(data=strategies.data())
    def give_up(self, data):
        """A process finishes an undispatched claim as ``not_run``."""
        granted_claim = data.draw(
            strategies.sampled_from(sorted(self.granted_claims))
        )
        self.granted_claims.discard(granted_claim)
        self.ended_claims.add(granted_claim)
        self._finish_claim(granted_claim, 'not_run')

    def _finish_claim(self, granted_claim, state):
        entry, incarnation, _, key = granted_claim
        owner = (entry, incarnation)
        self.finish_numbers[owner] += 1
        command = _make_finish_command(
            owner, self.finish_numbers[owner], key, state
        )
        self.sent_commands.append(command)
        self._apply_command(command)

    @stateful.precondition(lambda self: self.running_claims)
    @stateful.rule(data=strategies.data())
    def finish(self, data):
        granted_claim = data.draw(
            strategies.sampled_from(sorted(self.running_claims))
        )
        self.running_claims.discard(granted_claim)
        self.ended_claims.add(granted_claim)
        self._finish_claim(granted_claim, 'done')

    @stateful.rule(entry=ENTRIES, chance=RARELY)
    def die(self, entry, chance):
        if chance != 7:
            return
        owner = (entry, self.incarnations[entry])
        self.incarnations[entry] += 1
        self.granted_claims = {
            one for one in self.granted_claims if one[:2] != owner
        }

    @stateful.rule(entry=ENTRIES, chance=RARELY)
    def abandon(self, entry, chance):
        """The leader abandons the claims of a process that is still alive."""
        if chance != 7:
            return
        owner = (entry, self.incarnations[entry])
        self._apply_command(commands.AbandonClaims(*owner))

    @stateful.rule()
    def restart_from_snapshot(self):
        data = self.machine.snapshot()
        self.machine = machine.StateMachine()
        self.machine.restore(data)
        assert self.machine.snapshot() == data

    @stateful.invariant()
    def no_key_runs_twice(self):
        assert all(count <= 1 for count in self.run_counts.values()), (
            self.run_counts
        )


ClaimsMachineTest = ClaimsMachine.TestCase
ClaimsMachineTest.settings = hypothesis.settings(
    max_examples=100, stateful_step_count=40
)
