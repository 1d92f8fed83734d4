"""Tests of the numbered configuration."""

import json
import unittest
from unittest import mock

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from fuchsiatrestle.state import _config
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import machine
from fuchsiatrestle.state import outcomes
from fuchsiatrestle.state import queries

QUOTES = {'services': {'quotes': {'path': '/quotes'}}}


def _make_patch_command(base, patch_id, value):
    return commands.PatchConfig(base, patch_id, json.dumps(value).encode())


class ConfigTest(unittest.TestCase):
    def setUp(self):
        self.machine = machine.StateMachine()

    def _apply_command(self, command):
        return self.machine.apply(self.machine.applied_index + 1, command)

    def test_next_version_or_refusal(self):
        first = _make_patch_command(1, 'a', QUOTES)
        self.assertEqual(
            outcomes.ConfigAccepted(2), self._apply_command(first)
        )
        self.assertEqual(
            outcomes.ConfigConflict(1, 2),
            self._apply_command(_make_patch_command(1, 'b', QUOTES)),
        )
        self.assertEqual(
            outcomes.ConfigAccepted(2, True), self._apply_command(first)
        )
        conflict = self._apply_command(_make_patch_command(1, 'b', QUOTES))
        self.assertEqual(outcomes.ConfigConflict(1, 2, True), conflict)
        reused = self._apply_command(_make_patch_command(2, 'a', {}))
        self.assertEqual('patch_id_reused', reused.reason)

    def test_refusals_name_the_field(self):
        fault_by_reason = {
            'bad_json': (b'{"services"', 'patch'),
            'bad_field': (b'{"colour": 1}', 'colour'),
        }
        field_by_text = {
            '{"services": {"q": {"path": "q"}}}': 'services.q.path',
            '{"services": {"q": {"path": "/q", "x": 1}}}': 'services.q.x',
            '{"services": {"q": {"path": "/q", "priority": 10}}}': (
                'services.q.priority'
            ),
            '{"services": {"a b": {"path": "/q"}}}': 'services.a b',
            '{"services": 1}': 'services',
            '{"services": {"q": {"path": "/q"}, "r": {"path": "/q"}}}': (
                'services.r.path'
            ),
            '{"entries": {"e1": {"address": "host:1"}}}': (
                'entries.e1.address'
            ),
            '{"entries": {"e1": {}}}': 'entries.e1.address',
            '{"teams": {"t": {"cpu_milli": -1, "memory_mib": 1}}}': (
                'teams.t.cpu_milli'
            ),
            '[]': 'patch',
            '[' * 9 + ']' * 9: 'patch',
        }
        faulty_patches = [
            (text, field) for text, field in fault_by_reason.values()
        ]
        faulty_patches += [
            (text.encode(), field) for text, field in field_by_text.items()
        ]
        for number, (text, field) in enumerate(faulty_patches):
            with self.subTest(text=text):
                command = commands.PatchConfig(1, f'p{number}', text)
                outcome = self._apply_command(command)
                self.assertIsInstance(outcome, outcomes.Invalid)
                self.assertEqual(field, outcome.field)
        self.assertEqual(1, self.machine.config.version)

    def test_beyond_the_window_a_resend_is_refused(self):
        with mock.patch.object(_config, 'ACCEPTED_IDS_KEPT_VERSIONS', 3):
            for version in range(1, 7):
                self._apply_command(
                    _make_patch_command(version, f'p{version}', {})
                )
            expired = self._apply_command(_make_patch_command(1, 'p1', {}))
            self.assertEqual('expired_base', expired.reason)
            repeated = self._apply_command(_make_patch_command(6, 'p6', {}))
            self.assertEqual(outcomes.ConfigAccepted(7, True), repeated)
        self.assertEqual(7, self.machine.config.version)


MAX_HISTORY_VERSIONS = 5


class ConfigMachine(stateful.RuleBasedStateMachine):
    """Operators patch concurrently and resend patches in random order.

    The state machine is replaced by its snapshot at random times.  A fault is
    a patch accepted on another base than the current version, a resend with
    another outcome, or an earlier document that is rebuilt differently.
    """

    def __init__(self):
        super().__init__()
        history_limit_patch = mock.patch.object(
            _config, 'MAX_HISTORY_VERSIONS', MAX_HISTORY_VERSIONS
        )
        history_limit_patch.start()
        self.teardown = history_limit_patch.stop
        self.machine = machine.StateMachine()
        self.sent_commands = []
        self.first_outcomes = {}
        self.accepted_patch_ids = {}
        self.documents = {1: self.machine.config.document_json}
        self.version = 1

    def _apply_command(self, command):
        return self.machine.apply(self.machine.applied_index + 1, command)

    @stateful.rule(
        behind=strategies.integers(-1, 2),
        name=strategies.sampled_from('abc'),
        deadline=strategies.one_of(
            strategies.none(), strategies.integers(-1, 3)
        ),
    )
    def patch(self, behind, name, deadline):
        service = None
        if deadline is not None:
            service = {'path': f'/{name}', 'deadline_ms': deadline}
        base = self.machine.config.version - behind
        value = {'services': {name: service}}
        command = _make_patch_command(
            base, f'id{len(self.sent_commands)}', value
        )
        self.sent_commands.append(command)
        outcome = self._apply_command(command)
        self.first_outcomes[command.patch_id] = outcome
        if isinstance(outcome, outcomes.ConfigAccepted):
            assert base == self.version and outcome.version == base + 1
            self.version = outcome.version
            self.accepted_patch_ids[outcome.version] = command.patch_id
            self.documents[outcome.version] = self.machine.config.document_json

    @stateful.precondition(lambda self: self.sent_commands)
    @stateful.rule(data=strategies.data())
    def resend(self, data):
        command = data.draw(strategies.sampled_from(self.sent_commands))
        again = self._apply_command(command)
        first = self.first_outcomes[command.patch_id]
        if isinstance(first, outcomes.Invalid):
            assert again == first
        elif isinstance(first, outcomes.ConfigAccepted):
            assert again == outcomes.ConfigAccepted(first.version, True)
        else:
            expected = (first.base, first.current, True)
            assert (again.base, again.current, again.repeated) == expected

    @stateful.rule()
    def restart_from_snapshot(self):
        data = self.machine.snapshot()
        self.machine = machine.StateMachine()
        self.machine.restore(data)
        assert self.machine.snapshot() == data

    @stateful.invariant()
    def version_is_the_last_accepted(self):
        assert self.machine.config.version == self.version
        history = self.machine.query(queries.GetConfigHistory(1000))
        numbers = [one.version for one in history.versions]
        assert (
            numbers
            == sorted(self.accepted_patch_ids, reverse=True)[
                :MAX_HISTORY_VERSIONS
            ]
        )
        for one in history.versions:
            assert one.patch_id == self.accepted_patch_ids[one.version]

    @stateful.invariant()
    def earlier_documents_can_be_read(self):
        for version, text in self.documents.items():
            found = self.machine.query(queries.GetConfig(version))
            if version >= self.version - MAX_HISTORY_VERSIONS:
                assert found.document == text
            else:
                assert isinstance(found, queries.NotFound)


ConfigMachineTest = ConfigMachine.TestCase
ConfigMachineTest.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=40
)
