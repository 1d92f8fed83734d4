"""Tests of every number that workers, callers and operators send.

They guard against a number that is accepted but can not be stored: encoding it
ended the process of the leader, and then that of the next one.
"""

import copy
import json
import unittest

from fuchsiatrestle import messages
from fuchsiatrestle.net import http
from fuchsiatrestle.platform import _documents
from fuchsiatrestle.platform import _workers
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import machine
from fuchsiatrestle.state import workflows as records
from fuchsiatrestle import workflows
from fuchsiatrestle.workflows import _dispatcher as dispatcher
from fuchsiatrestle.workflows import _fleet
from fuchsiatrestle.workflows import _load
from tests.platform import test_documents
from tests.platform import test_workers

HOST = 'h.example'
NOW_MS = 1_700_000_000_000
# Edges of the types that can hold numbers, and values of other types.
VALUES = (
    0,
    -1,
    2**31 - 1,
    2**53,
    -(2**63),
    -(2**63) - 1,
    2**63 - 1,
    2**63,
    2**64 - 1,
    2**64,
    10**400,
    1.5,
    -1.5,
    1e300,
    True,
    None,
    '1',
    [],
    {},
)
# Beyond what a 64-bit field holds; never accepted.
UNSTORABLE_VALUES = (-(2**63) - 1, 2**64, 10**400, 1e300)
TASK = records.TaskId('a', 0, 0, 0)
TASK_NAME = 'a.0.0.0'
JOB = {
    'task_spec': 'text',
    'steps': [{'count': 1}, {'count': 2, 'start_after': [0]}],
    'repeat_count': 3,
    'first_run_ms': NOW_MS,
    'interval_ms': 1000,
}
LIST = {
    'clock_ms': 5,
    'born': 17,
    'running': [[TASK_NAME, 2, 'saved', 41, 12]],
    'ended': [[58, TASK_NAME, 1, 'done', '']],
}
ADVICE = {'decision_ms': 1, 'per_worker_ms': 1, 'validity_ms': 1}


def _replace(body, path, value):
    """Returns a copy of a JSON value with another value at a path."""
    changed = copy.deepcopy(body)
    place = changed
    for key in path[:-1]:
        place = place[key]
    place[path[-1]] = value
    return changed


def _find_number_paths(value, path=()):
    """Returns the paths of all numbers in a JSON value."""
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    else:
        is_number = isinstance(value, (int, float))
        return [path] if is_number and not isinstance(value, bool) else []
    return [
        found
        for key, item in items
        for found in _find_number_paths(item, (*path, key))
    ]


def _encode_json(value):
    return json.dumps(value).encode()


class NumberFieldsTest(unittest.TestCase):
    def _check(self, body, paths, decode, store):
        """Checks that each value of each field is refused or can be stored.

        Args:
            body: a valid body.
            paths: paths of the fields.
            decode: function that decodes an encoded body.
            store: function that stores what ``decode`` returned.
        """
        for path in paths:
            for value in VALUES:
                with self.subTest(path=path, value=str(value)[:30]):
                    changed = _encode_json(_replace(body, path, value))
                    try:
                        decoded = decode(changed)
                    except _documents.BodyInvalid:
                        continue
                    self.assertNotIn(value, UNSTORABLE_VALUES)
                    store(decoded)

    def test_heartbeats(self):
        paths = _find_number_paths(test_workers.HEARTBEAT)
        self.assertIn(('capacity', 'mem_mb'), paths)
        # The number of slots is not used.
        paths.remove(('slots',))
        self._check(
            test_workers.HEARTBEAT,
            paths,
            lambda body: _workers.decode_announcement('i-1', body),
            self._store_announcement,
        )

    def _store_announcement(self, announcement):
        messages.CODEC.encode(messages.AnnounceWorker(1, announcement))
        self._play(announcement, NOW_MS)

    def _play(self, announcement, wall_ms):
        """Has a leader handle an announcement and its proposals."""
        state = machine.StateMachine()
        core = dispatcher.Dispatcher(state.workflows, 1, workflows.Timing(), 0)
        effects = core.step(workflows.Tick(wall_ms), 0)
        effects += core.step(workflows.WorkerAnnounced(announcement), 1)
        for effect in effects:
            if isinstance(effect, workflows.Propose):
                encoded = commands.CODEC.encode(effect.command)
                state.apply(
                    state.applied_index + 1, commands.CODEC.decode(encoded)
                )
        self.assertIn(announcement.worker, state.workflows.worker_records)
        machine.StateMachine().restore(state.snapshot())
        worker = core._state.fleet.get(announcement.worker)
        worker.lease_clock.extend_lease(2)

    def test_withdrawals(self):
        self._check(
            {'born': 17},
            [('born',)],
            lambda body: _workers.decode_withdrawal('i-1', body),
            lambda born_ms: messages.CODEC.encode(
                messages.WithdrawWorker(1, 'i-1', born_ms)
            ),
        )

    def test_answers(self):
        paths = _find_number_paths(LIST)
        self.assertIn(('ended', 0, 0), paths)
        self._check(LIST, paths, self._decode_answer, self._store_answer)

    def _decode_answer(self, body):
        reply = _workers.decode_reply(
            test_workers.POLL_ORDER, http.Response(200, [], body)
        )
        if reply.verdict == workflows.Verdict.SILENT:
            raise _documents.BodyInvalid('', step='')
        return reply

    def _store_answer(self, reply):
        ends = [
            commands.RunEnd(
                'i-1',
                reply.born_ms,
                row.number,
                row.task,
                row.run,
                row.outcome,
                row.checkpoint,
            )
            for row in reply.listed_ends
        ]
        moved = [
            records.LiveRun(row.task, row.run, 'i-1', reply.born_ms)
            for row in reply.listed_runs
        ]
        commands.CODEC.encode(
            commands.RecordProgress(1, NOW_MS, ends=ends, moved=moved)
        )
        for row in reply.listed_runs:
            self.assertLess(abs(row.percent), float('inf'))

    def test_numbers_in_names_of_tasks(self):
        for number in (
            '-1',
            '+1',
            '01',
            '1_0',
            ' 1',
            '',
            'x',
            '١',
            '9' * 5000,
        ):
            for place in range(1, 4):
                with self.subTest(number=number[:9], place=place):
                    parts = ['a', '0', '0', '0']
                    parts[place] = number
                    body = {'running': [['.'.join(parts), 1, '', 0]]}
                    with self.assertLogs(level='WARNING'):
                        with self.assertRaises(_documents.BodyInvalid):
                            self._decode_answer(_encode_json(body))
        with self.assertLogs(level='WARNING'):
            with self.assertRaises(_documents.BodyInvalid):
                self._decode_answer(b'{"running": [["a.0.0", 1, "", 0]]}')

    def test_workflows(self):
        step = dict.fromkeys(
            (
                'count',
                'cpu',
                'mem_mb',
                'gpu',
                'est_runtime_ms',
                'anti_affinity',
                'target_ms',
                'may_miss',
            ),
            1,
        )
        job = {**JOB, 'steps': [step, {'count': 2, 'start_after': [0]}]}
        paths = _find_number_paths(job)
        self.assertIn(('steps', 0, 'est_runtime_ms'), paths)
        self._check(
            job, paths, _documents.decode_workflow, self._store_workflow
        )

    def test_workflow_at_the_edge_of_all_ranges(self):
        """The last due time exceeded 64 bits in a snapshot."""
        largest = {'first_run_ms': 10**14, 'interval_ms': 10**12}
        largest['steps'] = [
            {'count': 1, 'cpu': 10**12, 'est_runtime_ms': 10**12}
        ]
        job = {**JOB, **largest, 'repeat_count': 200}
        spec = _documents.decode_workflow(_encode_json(job))
        self._store_workflow(spec)

    def _store_workflow(self, spec):
        document = _documents.decode_document(
            _encode_json(test_documents.CONFIGURATION)
        )
        command = commands.SubmitWorkflow(HOST, '/p/a', spec, NOW_MS)
        encoded = commands.CODEC.encode(command)
        state = machine.StateMachine()
        state.apply(1, commands.PutDocument(document, b''))
        state.apply(2, commands.CODEC.decode(encoded))
        machine.StateMachine().restore(state.snapshot())
        self._judge_and_place(state, command)

    def _judge_and_place(self, state, command):
        """Has a leader compute everything that it derives from the spec."""
        estimates = _load.RunTimeEstimates(None)
        queue = state.workflows.documents.document.queues[0]
        _load.Demand(queue, command.spec, estimates)
        core = dispatcher.Dispatcher(state.workflows, 1, workflows.Timing(), 0)
        for now_ms in (0, 1):
            core.step(workflows.Tick(NOW_MS + now_ms), now_ms)

    def test_configurations(self):
        configuration = copy.deepcopy(test_documents.CONFIGURATION)
        configuration['routes'][0]['advice'] = ADVICE
        paths = _find_number_paths(configuration)
        self.assertIn(('routes', 0, 'advice', 'validity_ms'), paths)
        # A field that nobody reads.
        paths.remove(('services', 0, 'extra'))
        self._check(
            configuration,
            paths,
            _documents.decode_document,
            self._store_document,
        )

    def _store_document(self, document):
        command = commands.PutDocument(document, b'')
        decoded = commands.CODEC.decode(commands.CODEC.encode(command))
        state = machine.StateMachine()
        state.apply(1, decoded)
        machine.StateMachine().restore(state.snapshot())


class AddressTest(unittest.TestCase):
    def test_unusable_addresses(self):
        """An order to one was never answered, so its worker got no other."""
        for address in (
            '[::1%\x00]:80',
            '[::1%a\nb]:80',
            '10.0.0.1:8_0',
            '10.0.0.1: 80',
            '10.0.0.1:٨٠',
            '10.0.0.1:' + '9' * 200,
            '10.0.0.1:',
        ):
            with self.subTest(address=address[:30]):
                body = {**test_workers.HEARTBEAT, 'address': address}
                with self.assertRaises(_documents.BodyInvalid):
                    _workers.decode_announcement('i-1', _encode_json(body))

    def test_no_id(self):
        with self.assertRaises(_documents.BodyInvalid):
            _workers.decode_announcement(
                '', _encode_json(test_workers.HEARTBEAT)
            )


class FleetTest(unittest.TestCase):
    def test_clock_at_the_edge_of_its_range(self):
        """The end of a lease is computed from it."""
        body = {**test_workers.HEARTBEAT, 'clock_ms': 10**14, 'born': 10**14}
        announcement = _workers.decode_announcement('i-1', _encode_json(body))
        worker = _fleet.Fleet(workflows.Timing()).add_worker(
            _fleet.record_from_announcement(announcement), 0
        )
        worker.record_clock(announcement.clock_ms, 0)
        lease_until_ms = worker.lease_clock.extend_lease(10)
        order = workflows.PollWorker('i-1', 'x', lease_until_ms, 1, 0, 0)
        _, encoded = _workers.encode_order(order)
        self.assertIn(str(lease_until_ms).encode(), encoded)


if __name__ == '__main__':
    unittest.main()
