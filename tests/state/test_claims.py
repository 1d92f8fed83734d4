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


def _claim(entry, incarnation, batch, *keys, fingerprint=b'f'):
    claims = [commands.Claim(SERVICE, key, fingerprint) for key in keys]
    return commands.ClaimRequests(entry, incarnation, batch, claims)


def _finish(owner, number, key, state, status=0, answer=b''):
    finished = commands.FinishedClaim(SERVICE, key, state, status, answer)
    return commands.FinishClaims(*owner, [finished], number)


class ClaimsTest(unittest.TestCase):
    def setUp(self):
        self.machine = machine.StateMachine()

    def _apply(self, command):
        return self.machine.apply(self.machine.applied + 1, command)

    def _states(self, command):
        return [answer.state for answer in self._apply(command).claims]

    def test_states_of_a_key(self):
        self.assertEqual(['granted'], self._states(_claim('e1', 1, 1, 'k')))
        self.assertEqual(['granted'], self._states(_claim('e1', 1, 1, 'k')))
        self.assertEqual(['held'], self._states(_claim('e1', 1, 2, 'k')))
        self.assertEqual(['held'], self._states(_claim('e2', 1, 1, 'k')))
        other = _claim('e2', 1, 2, 'k', fingerprint=b'g')
        self.assertEqual(['mismatch'], self._states(other))
        self._apply(_finish(('e1', 1), 1, 'k', 'done', 201, b'ok'))
        answer = self._apply(_claim('e2', 1, 3, 'k')).claims[0]
        self.assertEqual(
            ('done', 201, b'ok'), (answer.state, answer.status, answer.answer)
        )

    def test_not_run_frees_the_key_but_not_for_a_resent_batch(self):
        self._apply(_claim('e1', 1, 1, 'k'))
        self._apply(_finish(('e1', 1), 2, 'k', 'not_run'))
        self.assertEqual(['expired'], self._states(_claim('e1', 1, 1, 'k')))
        self.assertEqual(['granted'], self._states(_claim('e2', 1, 1, 'k')))

    def test_a_repeated_finish_frees_nothing_claimed_since(self):
        for number in (1, 0):
            with self.subTest(number=number):
                self.setUp()
                finish = _finish(('e1', 1), number, 'k', 'not_run')
                self._apply(_claim('e1', 1, 1, 'k'))
                self._apply(finish)
                self._apply(_claim('e1', 1, 2, 'k'))
                self._apply(finish)
                states = self._states(_claim('e2', 1, 1, 'k'))
                self.assertEqual(['held'], states)

    def test_a_dead_process_leaves_unknown(self):
        endings = (
            _claim('e1', 2, 1, 'other'),
            commands.AbandonClaims('e1', 1),
        )
        for ending in endings:
            with self.subTest(ending=type(ending).__name__):
                self.setUp()
                self._apply(_claim('e1', 1, 1, 'k'))
                self._apply(ending)
                states = self._states(_claim('e2', 1, 1, 'k'))
                self.assertEqual(['unknown'], states)
                # Only the process that was granted the key may finish it.
                self._apply(_finish(('e2', 1), 3, 'k', 'not_run'))
                states = self._states(_claim('e2', 1, 2, 'k'))
                self.assertEqual(['unknown'], states)
                self._apply(_finish(('e1', 1), 4, 'k', 'not_run'))
                states = self._states(_claim('e2', 1, 3, 'k'))
                self.assertEqual(['granted'], states)

    def test_a_replaced_process_claims_nothing(self):
        self._apply(_claim('e1', 1, 1, 'a'))
        self._apply(_claim('e1', 2, 1, 'b'))
        self.assertEqual(['expired'], self._states(_claim('e1', 1, 2, 'c')))
        self.assertEqual(['granted'], self._states(_claim('e1', 2, 2, 'c')))

    def test_limits_on_claims_and_batch_numbers(self):
        with mock.patch.object(_claims, 'MAX_CLAIMS', 2):
            self._apply(_claim('e1', 1, 1, 'a', 'b'))
            states = self._states(_claim('e1', 1, 2, 'c'))
            self.assertEqual(['overloaded'], states)
            self._apply(_finish(('e1', 1), 5, 'a', 'done', 200))
            states = self._states(_claim('e1', 1, 3, 'c', 'a'))
            self.assertEqual(['granted', 'expired'], states)
        with mock.patch.object(_claims, 'MAX_BATCH_NUMBERS', 2):
            for batch in range(10, 14):
                self._apply(_claim('e2', 1, batch, f'k{batch}'))
            self._apply(_finish(('e2', 1), 6, 'k10', 'not_run'))
            states = self._states(_claim('e2', 1, 10, 'k10'))
            self.assertEqual(['expired'], states)

    def test_stored_answers_are_bounded(self):
        with mock.patch.object(_claims, 'MAX_TOTAL_ANSWER_BYTES', 10):
            for number in range(5):
                key = f'k{number}'
                self._apply(_claim('e1', 1, number, key))
                self._apply(_finish(('e1', 1), 7, key, 'done', 200, b'12345'))
            answers = [
                self._apply(_claim('e2', 1, number, f'k{number}')).claims[0]
                for number in range(5)
            ]
            self.assertEqual({'done'}, {answer.state for answer in answers})
            stored = [answer.answer for answer in answers]
            self.assertEqual([b''] * 3 + [b'12345'] * 2, stored)


class ClaimsMachine(stateful.RuleBasedStateMachine):
    """Entries claim, dispatch, finish, resend and restart in random order.

    The state machine is replaced by its snapshot at random times.  A key whose
    request runs twice is a fault: ``runs`` counts how often a request with
    the key was sent to an upstream.
    """

    RARELY = strategies.integers(0, 9)
    KEYS = strategies.just('k1')
    ENTRIES = strategies.sampled_from(('e1', 'e2'))

    def __init__(self):
        super().__init__()
        self.machine = machine.StateMachine()
        self.incarnations = {'e1': 1, 'e2': 1}
        self.batches = collections.Counter()
        self.finishes = collections.Counter()
        self.sent = []
        # Claims that a live process was granted and has not yet dispatched.
        self.granted = set()
        self.running = set()
        self.ended = set()
        self.runs = collections.Counter()

    def _apply(self, command):
        return self.machine.apply(self.machine.applied + 1, command)

    @stateful.rule(entry=ENTRIES, key=KEYS)
    def claim(self, entry, key):
        owner = (entry, self.incarnations[entry])
        self.batches[owner] += 1
        command = _claim(*owner, self.batches[owner], key)
        self.sent.append(command)
        self._deliver(command)

    @stateful.precondition(lambda self: self.sent)
    @stateful.rule(data=strategies.data())
    def resend(self, data):
        """A command is committed a second time, possibly much later.

        A process does so if it did not receive the first outcome.
        """
        command = data.draw(strategies.sampled_from(self.sent))
        if isinstance(command, commands.ClaimRequests):
            self._deliver(command)
        else:
            self._apply(command)

    def _deliver(self, command):
        key = command.claims[0].key
        state = self._apply(command).claims[0].state
        owner = (command.entry, command.incarnation)
        alive = self.incarnations[command.entry] == command.incarnation
        granted_claim = (*owner, command.batch, key)
        dispatched_or_ended = self.running | self.ended
        if (
            state == 'granted'
            and alive
            and granted_claim not in dispatched_or_ended
        ):
            self.granted.add(granted_claim)

    @stateful.precondition(lambda self: self.granted)
    @stateful.rule(data=strategies.data())
    def dispatch(self, data):
        """A process dispatches each granted claim of a batch once."""
        granted_claim = data.draw(
            strategies.sampled_from(sorted(self.granted))
        )
        self.granted.discard(granted_claim)
        self.running.add(granted_claim)
        self.runs[granted_claim[3]] += 1

    @stateful.precondition(lambda self: self.granted)
    @stateful.rule(data=strategies.data())
    def give_up(self, data):
        """A process finishes an undispatched claim as ``not_run``."""
        granted_claim = data.draw(
            strategies.sampled_from(sorted(self.granted))
        )
        self.granted.discard(granted_claim)
        self.ended.add(granted_claim)
        self._finish(granted_claim, 'not_run')

    def _finish(self, name, state):
        entry, incarnation, _, key = name
        owner = (entry, incarnation)
        self.finishes[owner] += 1
        command = _finish(owner, self.finishes[owner], key, state)
        self.sent.append(command)
        self._apply(command)

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(data=strategies.data())
    def finish(self, data):
        name = data.draw(strategies.sampled_from(sorted(self.running)))
        self.running.discard(name)
        self.ended.add(name)
        self._finish(name, 'done')

    @stateful.rule(entry=ENTRIES, chance=RARELY)
    def die(self, entry, chance):
        if chance != 7:
            return
        owner = (entry, self.incarnations[entry])
        self.incarnations[entry] += 1
        self.granted = {one for one in self.granted if one[:2] != owner}

    @stateful.rule(entry=ENTRIES, chance=RARELY)
    def abandon(self, entry, chance):
        """The leader abandons the claims of a process that is still alive."""
        if chance != 7:
            return
        owner = (entry, self.incarnations[entry])
        self._apply(commands.AbandonClaims(*owner))

    @stateful.rule()
    def restart_from_snapshot(self):
        data = self.machine.snapshot()
        self.machine = machine.StateMachine()
        self.machine.restore(data)
        assert self.machine.snapshot() == data

    @stateful.invariant()
    def no_key_runs_twice(self):
        assert all(count <= 1 for count in self.runs.values()), self.runs


ClaimsMachineTest = ClaimsMachine.TestCase
ClaimsMachineTest.settings = hypothesis.settings(
    max_examples=100, stateful_step_count=40
)
