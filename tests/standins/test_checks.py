"""Each check finds its kind of breach and accepts correct ledgers."""

import unittest

from standins import _checks
from standins import _ledgers
from standins import worker

SECOND_NS = 10**9


def _run(event='begin', request='r1', attempt='r1.0', **more):
    values = {
        'event': event,
        'request_id': request,
        'attempt_id': attempt,
        'method': 'POST',
        'in_flight': 1,
        'slots': 8,
        'leaving': False,
        'time_ns': 0,
        **more,
    }
    return _ledgers.RunLine(**values)


def _call(answer='whole', attempt='r1.0', **more):
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
        **more,
    }
    return _ledgers.CallLine(**values)


def _patch(patch_id, outcome, version):
    return _ledgers.PatchLine(patch_id, 1, outcome, version, 0)


def _version(version, entry='e1'):
    return _ledgers.VersionLine(entry, version, 0)


def _step(event, place, attempt, time_s, **more):
    return worker.AttemptLine(
        event, place, 1, 'j1', attempt, int(time_s * SECOND_NS), **more
    )


def _fault(kind, target, since_s, until_s):
    since_ns = int(since_s * SECOND_NS)
    return _ledgers.FaultLine(
        kind, target, since_ns, since_ns, int(until_s * SECOND_NS)
    )


def _history(*items):
    return [
        {'version': version, 'patch_id': patch_id}
        for version, patch_id in items
    ]


class _ChecksTest(unittest.TestCase):
    def _expect(self, breaches, *parts):
        text = '\n'.join(map(repr, breaches))
        self.assertEqual(len(parts), len(breaches), text)
        for part, breach in zip(parts, breaches, strict=True):
            self.assertIn(part, repr(breach))


class RequestChecksTest(_ChecksTest):
    def test_run_once(self):
        sound = [_run(), _run('end'), _run(request='g', method='GET')]
        self._expect(_checks.check_run_once(sound * 1))
        twice = [_run(), _run(attempt='r1.1')]
        self._expect(_checks.check_run_once(twice), 'r1 ran 2 times')
        reads = [_run(method='GET'), _run(method='GET')]
        self._expect(_checks.check_run_once(reads))

    def test_not_run(self):
        refused = _call('refused', outcome='not-run', reason='queue_full')
        self._expect(_checks.check_not_run([refused], []))
        self._expect(_checks.check_not_run([refused], [_run()]), 'queue_full')
        unknown = _call('refused', outcome='unknown')
        self._expect(_checks.check_not_run([unknown], [_run()]))

    def test_answers(self):
        self._expect(_checks.check_answers([_call()], [_run()]))
        self._expect(_checks.check_answers([_call()], []), 'never ran')
        wrong = _call('wrong')
        self._expect(_checks.check_answers([wrong], [_run()]), 'wrong or cut')

    def test_slots(self):
        self._expect(_checks.check_slots({'u1': [_run(in_flight=8)]}))
        over = {'u1': [_run(in_flight=9)]}
        self._expect(_checks.check_slots(over), 'u1 had 9')

    def test_leaving(self):
        left = _run('leaving', time_ns=0)
        early = _run(time_ns=3 * SECOND_NS)
        late = _run(time_ns=5 * SECOND_NS)
        back = _run('ready', time_ns=4 * SECOND_NS)
        self._expect(_checks.check_leaving({'u': [left, early]}))
        self._expect(_checks.check_leaving({'u': [left, back, late]}))
        self._expect(_checks.check_leaving({'u': [left, late]}), 'ns late')

    def test_planned_stops(self):
        stop = _fault('stop', 'e1', 1, 3)
        cut = _call('none', start_ns=0, end_ns=2 * SECOND_NS)
        refused = _call(
            'none', reason='connect:econnrefused', end_ns=2 * SECOND_NS
        )
        kill = _fault('kill', 'e1', 1, 3)
        check = _checks.check_planned_stops
        self._expect(check({'e1': [cut]}, [kill]))
        self._expect(check({'e1': [refused, _call()]}, [stop]))
        self._expect(check({'e2': [cut]}, [stop]))
        self._expect(check({'e1': [cut]}, [stop]), 'e1: r1.0')


class ConfigChecksTest(_ChecksTest):
    def test_patches(self):
        history = _history((1, ''), (2, 'a'), (3, 'b'))
        sound = [
            _patch('a', 'accepted', 2),
            _patch('a', 'unknown', 0),
            _patch('c', 'conflict', 3),
        ]
        check = _checks.check_patches
        self._expect(check(sound, history))
        self._expect(check([_patch('z', 'accepted', 3)], history), 'is lost')
        both = [_patch('a', 'accepted', 2), _patch('a', 'conflict', 3)]
        self._expect(check(both, history), 'several outcomes')
        reverted = [_patch('b', 'conflict', 2)]
        self._expect(check(reverted, history), 'is in the history')
        self._expect(check([], _history((1, ''), (3, 'b'))), 'missing')
        doubled = _history((1, 'a'), (2, 'a'))
        self._expect(check([], doubled), 'became 2 versions')

    def test_versions(self):
        sound = [_version(1), _version(2), _version(0), _version(2)]
        self._expect(_checks.check_versions(sound))
        other = [_version(3), _version(1, 'e2')]
        self._expect(_checks.check_versions(other))
        down = [_version(3), _version(2)]
        self._expect(_checks.check_versions(down), 'from 3 to 2')


class JobChecksTest(_ChecksTest):
    def _attempts(self, lines, faults=(), jobs=None, capacity=9):
        finished_ns = 100 * SECOND_NS
        return _checks.check_attempts(
            lines, jobs or {}, faults, capacity, finished_ns
        )

    def test_attempts_that_overlap(self):
        first = [_step('begin', 'w1', 1, 0), _step('end', 'w1', 1, 5)]
        after = [_step('begin', 'w2', 2, 5), _step('end', 'w2', 2, 6)]
        during = [_step('begin', 'w2', 2, 4), _step('end', 'w2', 2, 6)]
        self._expect(self._attempts(first + after))
        self._expect(self._attempts(first + during), 'j1#1 on w1 and j1#2')

    def test_attempt_without_end_runs_until_the_kill(self):
        lines = [_step('begin', 'w1', 1, 0), _step('begin', 'w2', 2, 4)]
        self._expect(self._attempts(lines), 'one_place')
        early, late = _fault('kill', 'w1', 3, 9), _fault('kill', 'w1', 8, 9)
        self._expect(self._attempts(lines, [early]))
        self._expect(self._attempts(lines, [late]), 'one_place')

    def test_frozen_worker_runs_nothing_beyond_its_lease(self):
        lines = [
            _step('begin', 'w1', 1, 0),
            _step('end', 'w1', 1, 10.1, why='lease ran out'),
            _step('begin', 'w2', 2, 8),
            _step('end', 'w2', 2, 9),
        ]
        freeze = _fault('freeze', 'w1', 2, 10)
        self._expect(self._attempts(lines, [freeze]))
        self._expect(self._attempts(lines), 'one_place')
        went_on = [*lines[:1], _step('end', 'w1', 1, 10.1, why='done')]
        self._expect(
            self._attempts(went_on + lines[2:], [freeze]), 'one_place'
        )

    def test_starts(self):
        end = _step('end', 'w1', 1, 1)
        twice = [
            _step('begin', 'w1', 1, 0),
            end,
            _step('begin', 'w1', 1, 2),
        ]
        self.assertIn('started 2 times', repr(self._attempts(twice)))
        billed = [
            _step('begin', 'w1', 1, 0),
            end,
            _step('begin', 'w1', 2, 2),
            _step('end', 'w1', 2, 3),
        ]
        job = {'idempotent': False, 'size': {'cpu_milli': 1}}
        self._expect(self._attempts(billed, jobs={'j1': job}), 'billed job j1')
        resumed = [
            _step('begin', 'w1', number, number, resumed_from=3)
            for number in (1, 2)
        ]
        resumed += [_step('end', 'w1', number, number) for number in (1, 2)]
        self.assertIn('checkpoint 3', repr(self._attempts(resumed)))

    def test_capacity(self):
        lines = [_step('begin', 'w1', 1, 0), _step('end', 'w1', 1, 5)]
        job = {'idempotent': True, 'size': {'cpu_milli': 10}}
        self._expect(self._attempts(lines, jobs={'j1': job}), 'w1 ran 10 of 9')

    def test_jobs_end(self):
        check = _checks.check_jobs_end
        done = [_step('end', 'w1', 1, 5, why='done')]
        queued = {'j1': {'state': 'queued', 'reason': 'full'}}
        ended = {'j1': {'state': 'done', 'reason': ''}}
        self._expect(check(['j1'], ended, done))
        self._expect(check(['j1'], ended, []), 'no worker finished')
        self._expect(check(['j1'], queued, done), 'still queued')
        self._expect(check(['j1'], {}, done), 'is lost')
