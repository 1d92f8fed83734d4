"""Each check finds its kind of breach and accepts correct ledgers."""

import unittest

from standins import _checks
from standins import _ledgers
from standins import worker

SECOND_NS = 10**9


def _run_line(event='begin', request='r1', attempt='r1.0', **fields):
    values = {
        'event': event,
        'request_id': request,
        'attempt_id': attempt,
        'method': 'POST',
        'in_flight': 1,
        'slots': 8,
        'leaving': False,
        'time_ns': 0,
        **fields,
    }
    return _ledgers.RunLine(**values)


def _call_line(answer='whole', attempt='r1.0', **fields):
    values = {
        'request_id': attempt.partition('.')[0],
        'attempt_id': attempt,
        'method': 'POST',
        'key': '',
        'entry': 'e1',
        'status': 200,
        'outcome': '',
        'reason': '',
        'answer': answer,
        'start_ns': 0,
        'end_ns': 1,
        **fields,
    }
    return _ledgers.CallLine(**values)


def _patch_line(patch_id, outcome, version):
    return _ledgers.PatchLine(patch_id, 1, outcome, version, 0)


def _version_line(version, entry='e1'):
    return _ledgers.VersionLine(entry, version, 0)


def _attempt_line(event, worker_name, attempt, time_s, **fields):
    return worker.AttemptLine(
        event, worker_name, 1, 'j1', attempt, int(time_s * SECOND_NS), **fields
    )


def _fault_line(kind, target, since_s, until_s):
    since_ns = int(since_s * SECOND_NS)
    return _ledgers.FaultLine(
        kind, target, since_ns, since_ns, int(until_s * SECOND_NS)
    )


def _make_history(*items):
    return [
        {'version': version, 'patch_id': patch_id}
        for version, patch_id in items
    ]


class _ChecksTest(unittest.TestCase):
    def _assert_breaches(self, breaches, *texts):
        """Checks that each breach contains the text at its position."""
        description = '\n'.join(map(repr, breaches))
        self.assertEqual(len(texts), len(breaches), description)
        for text, breach in zip(texts, breaches, strict=True):
            self.assertIn(text, repr(breach))


class RequestChecksTest(_ChecksTest):
    def test_run_once(self):
        valid_lines = [
            _run_line(),
            _run_line('end'),
            _run_line(request='g', method='GET'),
        ]
        self._assert_breaches(_checks.check_run_once(valid_lines * 1))
        repeated_begins = [_run_line(), _run_line(attempt='r1.1')]
        self._assert_breaches(
            _checks.check_run_once(repeated_begins), 'r1 ran 2 times'
        )
        repeated_reads = [_run_line(method='GET'), _run_line(method='GET')]
        self._assert_breaches(_checks.check_run_once(repeated_reads))

    def test_not_run(self):
        refused_call = _call_line(
            'refused', outcome='not-run', reason='queue_full'
        )
        self._assert_breaches(_checks.check_not_run([refused_call], []))
        self._assert_breaches(
            _checks.check_not_run([refused_call], [_run_line()]), 'queue_full'
        )
        unknown_call = _call_line('refused', outcome='unknown')
        self._assert_breaches(
            _checks.check_not_run([unknown_call], [_run_line()])
        )

    def test_answers(self):
        self._assert_breaches(
            _checks.check_answers([_call_line()], [_run_line()])
        )
        self._assert_breaches(
            _checks.check_answers([_call_line()], []), 'never ran'
        )
        wrong_answer = _call_line('wrong')
        self._assert_breaches(
            _checks.check_answers([wrong_answer], [_run_line()]),
            'wrong or cut',
        )

    def test_slots(self):
        self._assert_breaches(
            _checks.check_slots({'u1': [_run_line(in_flight=8)]})
        )
        runs_over_limit = {'u1': [_run_line(in_flight=9)]}
        self._assert_breaches(_checks.check_slots(runs_over_limit), 'u1 had 9')

    def test_leaving(self):
        leaving_line = _run_line('leaving', time_ns=0)
        early_begin = _run_line(time_ns=3 * SECOND_NS)
        late_begin = _run_line(time_ns=5 * SECOND_NS)
        ready_line = _run_line('ready', time_ns=4 * SECOND_NS)
        self._assert_breaches(
            _checks.check_leaving({'u': [leaving_line, early_begin]})
        )
        self._assert_breaches(
            _checks.check_leaving(
                {'u': [leaving_line, ready_line, late_begin]}
            )
        )
        self._assert_breaches(
            _checks.check_leaving({'u': [leaving_line, late_begin]}), 'ns late'
        )

    def test_planned_stops(self):
        stop_fault = _fault_line('stop', 'e1', 1, 3)
        broken_call = _call_line('none', start_ns=0, end_ns=2 * SECOND_NS)
        unconnected_call = _call_line(
            'none', reason='connect:econnrefused', end_ns=2 * SECOND_NS
        )
        kill_fault = _fault_line('kill', 'e1', 1, 3)
        check = _checks.check_planned_stops
        self._assert_breaches(check({'e1': [broken_call]}, [kill_fault]))
        self._assert_breaches(
            check({'e1': [unconnected_call, _call_line()]}, [stop_fault])
        )
        self._assert_breaches(check({'e2': [broken_call]}, [stop_fault]))
        self._assert_breaches(
            check({'e1': [broken_call]}, [stop_fault]), 'e1: r1.0'
        )


class ConfigChecksTest(_ChecksTest):
    def test_patches(self):
        history = _make_history((1, ''), (2, 'a'), (3, 'b'))
        valid_lines = [
            _patch_line('a', 'accepted', 2),
            _patch_line('a', 'unknown', 0),
            _patch_line('c', 'conflict', 3),
        ]
        check = _checks.check_patches
        self._assert_breaches(check(valid_lines, history))
        self._assert_breaches(
            check([_patch_line('z', 'accepted', 3)], history), 'is lost'
        )
        contradictory_lines = [
            _patch_line('a', 'accepted', 2),
            _patch_line('a', 'conflict', 3),
        ]
        self._assert_breaches(
            check(contradictory_lines, history), 'several outcomes'
        )
        applied_conflict = [_patch_line('b', 'conflict', 2)]
        self._assert_breaches(
            check(applied_conflict, history), 'is in the history'
        )
        self._assert_breaches(
            check([], _make_history((1, ''), (3, 'b'))), 'missing'
        )
        repeated_patch = _make_history((1, 'a'), (2, 'a'))
        self._assert_breaches(check([], repeated_patch), 'became 2 versions')

    def test_versions(self):
        valid_lines = [
            _version_line(1),
            _version_line(2),
            _version_line(0),
            _version_line(2),
        ]
        self._assert_breaches(_checks.check_versions(valid_lines))
        other_entry_lines = [_version_line(3), _version_line(1, 'e2')]
        self._assert_breaches(_checks.check_versions(other_entry_lines))
        descending_lines = [_version_line(3), _version_line(2)]
        self._assert_breaches(
            _checks.check_versions(descending_lines), 'from 3 to 2'
        )


class JobChecksTest(_ChecksTest):
    def _check_attempts(self, lines, faults=(), jobs=None, capacity=9):
        finished_ns = 100 * SECOND_NS
        return _checks.check_attempts(
            lines, jobs or {}, faults, capacity, finished_ns
        )

    def test_attempts_that_overlap(self):
        first_attempt = [
            _attempt_line('begin', 'w1', 1, 0),
            _attempt_line('end', 'w1', 1, 5),
        ]
        later_attempt = [
            _attempt_line('begin', 'w2', 2, 5),
            _attempt_line('end', 'w2', 2, 6),
        ]
        overlapping_attempt = [
            _attempt_line('begin', 'w2', 2, 4),
            _attempt_line('end', 'w2', 2, 6),
        ]
        self._assert_breaches(
            self._check_attempts(first_attempt + later_attempt)
        )
        self._assert_breaches(
            self._check_attempts(first_attempt + overlapping_attempt),
            'j1#1 on w1 and j1#2',
        )

    def test_attempt_without_end_runs_until_the_kill(self):
        lines = [
            _attempt_line('begin', 'w1', 1, 0),
            _attempt_line('begin', 'w2', 2, 4),
        ]
        self._assert_breaches(self._check_attempts(lines), 'one_place')
        early_kill, late_kill = (
            _fault_line('kill', 'w1', 3, 9),
            _fault_line('kill', 'w1', 8, 9),
        )
        self._assert_breaches(self._check_attempts(lines, [early_kill]))
        self._assert_breaches(
            self._check_attempts(lines, [late_kill]), 'one_place'
        )

    def test_frozen_worker_runs_nothing_beyond_its_lease(self):
        lines = [
            _attempt_line('begin', 'w1', 1, 0),
            _attempt_line('end', 'w1', 1, 10.1, why='lease ran out'),
            _attempt_line('begin', 'w2', 2, 8),
            _attempt_line('end', 'w2', 2, 9),
        ]
        freeze = _fault_line('freeze', 'w1', 2, 10)
        self._assert_breaches(self._check_attempts(lines, [freeze]))
        self._assert_breaches(self._check_attempts(lines), 'one_place')
        continued_lines = [
            *lines[:1],
            _attempt_line('end', 'w1', 1, 10.1, why='done'),
        ]
        self._assert_breaches(
            self._check_attempts(continued_lines + lines[2:], [freeze]),
            'one_place',
        )

    def test_starts(self):
        end_line = _attempt_line('end', 'w1', 1, 1)
        repeated_starts = [
            _attempt_line('begin', 'w1', 1, 0),
            end_line,
            _attempt_line('begin', 'w1', 1, 2),
        ]
        self.assertIn(
            'started 2 times', repr(self._check_attempts(repeated_starts))
        )
        billed_lines = [
            _attempt_line('begin', 'w1', 1, 0),
            end_line,
            _attempt_line('begin', 'w1', 2, 2),
            _attempt_line('end', 'w1', 2, 3),
        ]
        job = {'idempotent': False, 'size': {'cpu_milli': 1}}
        self._assert_breaches(
            self._check_attempts(billed_lines, jobs={'j1': job}),
            'billed job j1',
        )
        resumed_lines = [
            _attempt_line('begin', 'w1', number, number, resumed_from=3)
            for number in (1, 2)
        ]
        resumed_lines += [
            _attempt_line('end', 'w1', number, number) for number in (1, 2)
        ]
        self.assertIn(
            'checkpoint 3', repr(self._check_attempts(resumed_lines))
        )

    def test_capacity(self):
        lines = [
            _attempt_line('begin', 'w1', 1, 0),
            _attempt_line('end', 'w1', 1, 5),
        ]
        job = {'idempotent': True, 'size': {'cpu_milli': 10}}
        self._assert_breaches(
            self._check_attempts(lines, jobs={'j1': job}), 'w1 ran 10 of 9'
        )

    def test_jobs_end(self):
        check = _checks.check_jobs_end
        done_lines = [_attempt_line('end', 'w1', 1, 5, why='done')]
        queued_views = {'j1': {'state': 'queued', 'reason': 'full'}}
        ended_views = {'j1': {'state': 'done', 'reason': ''}}
        self._assert_breaches(check(['j1'], ended_views, done_lines))
        self._assert_breaches(
            check(['j1'], ended_views, []), 'no worker finished'
        )
        self._assert_breaches(
            check(['j1'], queued_views, done_lines), 'still queued'
        )
        self._assert_breaches(check(['j1'], {}, done_lines), 'is lost')
