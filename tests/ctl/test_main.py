"""Tests of the command line against an administration API on loopback."""

import contextlib
import io
import json
import os
import tempfile
import unittest

from returns import result

from fuchsiatrestle import ctl
from fuchsiatrestle.ctl import __main__ as program
from fuchsiatrestle import messages
from fuchsiatrestle.net import control_client
from fuchsiatrestle.state import outcomes
from fuchsiatrestle.state import queries
from tests.fakes import admin as fakes
from tests.fakes import ports

EXIT = ctl.ExitStatus


class _ProgramRun:
    """Runs one command line and keeps its exit status and output.

    Attributes:
        status: the ``ExitStatus``.
        out: text on standard output.
        err: text on standard error.
    """

    def __init__(self, *words):
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            self.status = program.main(['ctl', *words])
        self.out = out.getvalue()
        self.err = err.getvalue()


class OnlineTest(unittest.TestCase):
    def setUp(self):
        self.control = fakes.FakeControl()
        self.local_entry = fakes.FakeLocalEntry()
        admin_server = fakes.AdminServer(self.control, self.local_entry)
        self.entry_flag = f'--entry={admin_server.address}'
        self.dead_entry_flag = (
            f'--entry=127.0.0.1:{ports.find_free_ports(1)[0]}'
        )
        self.enterContext(admin_server)

    def _run_patch(self, *words):
        return _ProgramRun(
            'patch',
            '--base=1',
            '--set=team.t.cpu_milli=5',
            self.entry_flag,
            *words,
        )

    def test_patch_outcomes_have_their_exit_codes(self):
        unknown = control_client.CallFailure(
            'unknown', step='propose', peer='c1', executed=None
        )
        cases = (
            (outcomes.ConfigAccepted(2), EXIT.OK, 'version 2', ''),
            (outcomes.ConfigAccepted(2, True), EXIT.OK, 'repeated', ''),
            (outcomes.ConfigConflict(1, 4), EXIT.CONFLICT, '', 'current is 4'),
            (outcomes.Invalid('bad', 'a.b', 'c'), EXIT.REFUSED, '', 'a.b'),
            (result.Failure(unknown), EXIT.UNKNOWN, '', 'same command'),
        )
        for outcome, status, out, err in cases:
            with self.subTest(outcome=outcome):
                self.control.answers['PatchConfig'] = outcome
                run = self._run_patch('--patch_id=p1', self.dead_entry_flag)
                self.assertEqual(status, run.status, run.err)
                self.assertIn(out, run.out)
                self.assertIn(err, run.err)
                self.assertIn('patch_id=p1', run.err)

    def test_generated_patch_id_is_printed_and_sent(self):
        self.control.answers['PatchConfig'] = outcomes.ConfigAccepted(2)
        run = self._run_patch()
        command = self.control.calls[0]
        self.assertIn(f'patch_id={command.patch_id}', run.err)
        self.assertEqual(
            {'teams': {'t': {'cpu_milli': 5}}}, json.loads(command.patch)
        )

    def test_dead_entry_is_passed_over(self):
        self.control.answers['GetWorkers'] = queries.WorkerList([])
        run = _ProgramRun('workers', self.dead_entry_flag, self.entry_flag)
        self.assertEqual(EXIT.OK, run.status, run.err)

    def test_no_entry_means_certainly_not_done(self):
        run = _ProgramRun('jobs', 'cancel', 'j1', self.dead_entry_flag)
        self.assertEqual(EXIT.UNAVAILABLE, run.status)
        self.assertIn('nothing was changed', run.err)

    def test_status_without_a_leader(self):
        failure = control_client.CallFailure(
            'no_quorum', step='ask', peer='c1', executed=False
        )
        self.control.answers['GetStatus'] = result.Failure(failure)
        run = _ProgramRun('status', self.entry_flag)
        self.assertEqual(EXIT.UNAVAILABLE, run.status)
        self.assertIn('no_quorum', run.out)

    def test_refused_job_and_unknown_job(self):
        refused_job = outcomes.JobOutcome('j1', '', 'impossible', detail='cpu')
        self.control.answers = {
            'SubmitJobs': outcomes.JobOutcomes([refused_job]),
            'GetJob': queries.NotFound('job j1'),
        }
        run = _ProgramRun('jobs', 'submit', 'j1', '--team=t', self.entry_flag)
        self.assertEqual(EXIT.REFUSED, run.status, run.err)
        self.assertIn('impossible', run.out)
        run = _ProgramRun('jobs', 'show', 'j1', self.entry_flag)
        self.assertEqual(EXIT.REFUSED, run.status, run.err)

    def test_views_print_tables_and_json(self):
        view = queries.JobView(
            'j1', 't', 'c', 5, 'running', history=['placed on w1']
        )
        member = messages.MemberView('c1', 'i', '127.0.0.1:1', 'voter', 9, 3)
        members = messages.MembersView(5, 'c1', 2, 9, [member], 1)
        version = queries.ConfigVersion(2, 'p1', 'ann', b'{}')
        self.control.answers = {
            'GetStatus': queries.StatusView(
                'c1', 4, 9, 9, ['c1'], [], 2, 1, 1, [], {'running': 1}
            ),
            'GetJob': view,
            'GetJobReason': queries.JobReason('j1', 'queued', ['cpu is full']),
            'ShowMembers': members,
            'ListJobs': queries.JobList([view], 'j1'),
            'GetConfig': queries.ConfigDocument(2, b'{"teams":{}}'),
            'GetConfigHistory': queries.ConfigHistory([version]),
            'GetWorkers': queries.WorkerList(
                [queries.WorkerView('w1', 'd', 'r', 'ready', 1, 5, 9, 3)]
            ),
        }
        self.control.answers['GetCounters'] = queries.CounterList(
            'c1', {}, {'agreement.term': 4}
        )
        cases = (
            (('status',), '1 of 1 entries'),
            (('jobs', 'show', 'j1'), 'running'),
            (('jobs', 'show', 'j1'), 'placed on w1'),
            (('jobs', 'why', 'j1'), 'cpu is full'),
            (('members', 'show'), 'voters that may be lost now: 1'),
            (('jobs', 'list'), '--after=j1'),
            (('config', 'show'), 'teams'),
            (('config', 'history'), 'ann'),
            (('workers',), 'w1'),
            (('upstreams',), '127.0.0.1:9001'),
            (('counters',), 'entry'),
            (('control', 'counters'), 'agreement.term'),
        )
        for words, text in cases:
            with self.subTest(words=words):
                run = _ProgramRun(*words, self.entry_flag)
                self.assertEqual(EXIT.OK, run.status, run.err)
                self.assertIn(text, run.out)
                as_json = _ProgramRun(*words, self.entry_flag, '--json')
                self.assertIsInstance(json.loads(as_json.out), dict)

    def test_evacuations_are_shown_and_ordered(self):
        view = queries.EvacuationView('dc a', False, 2)
        self.control.answers = {
            'GetEvacuations': queries.EvacuationList([view], True, ['dc a']),
            'StartEvacuation': outcomes.EvacuationOutcome('dc a', True, 3),
        }
        cases = (
            (('show',), EXIT.OK, 'dc a'),
            (('start', 'dc a'), EXIT.OK, 'dc a is evacuated'),
            (('end', 'other'), EXIT.REFUSED, 'unknown_data_centre'),
            (('start',), EXIT.USAGE, 'DATA_CENTRE'),
        )
        for words, status, text in cases:
            with self.subTest(words=words):
                run = _ProgramRun('evacuations', *words, self.entry_flag)
                self.assertEqual(status, run.status, run.err)
                self.assertIn(text, run.out + run.err)

    def test_drain_finds_the_entry_by_name(self):
        run = _ProgramRun('drain', 'e9', self.entry_flag)
        self.assertEqual(EXIT.UNAVAILABLE, run.status)
        run = _ProgramRun('drain', 'e1', self.dead_entry_flag, self.entry_flag)
        self.assertEqual(EXIT.OK, run.status, run.err)
        self.assertTrue(self.local_entry.drain_called)


class UsageTest(unittest.TestCase):
    def test_each_wrong_command_line_exits_2(self):
        cases = (
            (),
            ('nothing',),
            ('status', 'extra'),
            ('status', '--colour'),
            ('status', '--entry=host:1'),
            ('patch', '--set=team.t.a=1'),
            ('patch', '--base=1'),
            ('patch', '--base=x', '--set=team.t.a=1'),
            ('patch', '--base=1', '/nowhere.ini'),
            ('config', 'check', '--set=teams.t.a=1'),
            ('config', 'check', '--set=team.t=1'),
            ('jobs', 'submit'),
            ('jobs', 'submit', 'j1'),
            ('jobs', 'submit', 'j1', '--team=t', '--deadline=2026-12-05'),
            ('jobs', 'show'),
            ('drain',),
        )
        for words in cases:
            with self.subTest(words=words):
                run = _ProgramRun(*words)
                self.assertEqual(EXIT.USAGE, run.status)
                self.assertTrue(run.err)

    def test_help_names_every_command_and_exit_code(self):
        run = _ProgramRun('--help')
        self.assertEqual(EXIT.OK, run.status)
        for command in program.COMMANDS:
            self.assertIn(' '.join(command.words), run.out)
        for status in EXIT:
            self.assertIn(f'{status.value}  {status.name.lower()}', run.out)


class PatchFileTest(unittest.TestCase):
    def _check_patch_file(self, text):
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, 'p.ini')
            with open(path, 'w', encoding='utf-8') as stream:
                stream.write(text)
            return _ProgramRun('config', 'check', path)

    def test_ini_and_json_give_the_same_patch(self):
        ini = (
            '[service quotes]\npath = /quotes\ndeadline_ms = 500\n'
            'idempotent_methods = ["GET"]\nold =\nshed = yes\n'
            '[team night]\nremove = yes\n'
        )
        patch = {
            'services': {
                'quotes': {
                    'path': '/quotes',
                    'deadline_ms': 500,
                    'idempotent_methods': ['GET'],
                    'old': None,
                    'shed': True,
                }
            },
            'teams': {'night': None},
        }
        for text in (ini, json.dumps(patch)):
            run = self._check_patch_file(text)
            self.assertEqual(patch, json.loads(run.out), run.err)

    def test_faults_name_file_and_section(self):
        cases = (
            ('[services q]\na = 1\n', '[services q]'),
            ('[service]\na = 1\n', '[service]'),
            ('[team t]\nremove = yes\na = 1\n', '[team t]'),
            ('a = 1\n', 'p.ini'),
            ('{"a": ', 'p.ini'),
        )
        for text, location in cases:
            with self.subTest(text=text):
                run = self._check_patch_file(text)
                self.assertEqual(EXIT.USAGE, run.status)
                self.assertIn(location, run.err)
