"""Tests of configurations and workflows in the platform's form."""

import json
import unittest

from fuchsiatrestle.platform import _documents
from fuchsiatrestle.state import workflows

ROUTE = {
    'name': 'r',
    'host': 'h.example',
    'path_prefix': '/p/',
    'route_kind': 'non_idempotent',
    'timeout_ms': 3000,
    'target_latency_ms': 250,
    'priority': 1,
    'service': 's',
    'max_attempts': 2,
    'stretch': 1.5,
}
CONFIGURATION = {
    'version': 7,
    'routes': [ROUTE],
    'services': [{'name': 's', 'admission_check': False, 'extra': 1}],
    'limits': {},
}


def _encode(value):
    return json.dumps(value).encode()


class ConfigurationTest(unittest.TestCase):
    def _refused(self, **changes):
        body = _encode({**CONFIGURATION, **changes})
        with self.assertRaises(_documents.BodyInvalid):
            _documents.decode_document(body)

    def test_fields_are_named_for_what_they_hold(self):
        document = _documents.decode_document(_encode(CONFIGURATION))
        queue = document.queues[0]
        self.assertEqual(7, document.version)
        self.assertEqual(
            workflows.Queue(
                'r', 'h.example', '/p/', 's', 1, 2, 1.5, 250, 3000
            ),
            queue,
        )
        self.assertEqual([workflows.Pool('s', False)], document.pools)

    def test_contradictions_are_refused(self):
        self._refused(routes=[{**ROUTE, 'service': 'other'}])
        self._refused(routes=[ROUTE, {**ROUTE, 'name': 'q'}])
        self._refused(routes=[{**ROUTE, 'timeout_ms': 0}])
        self._refused(version=0)
        self._refused(version='7')
        self._refused(routes=None)

    def test_what_can_not_be_read_is_refused(self):
        whole = _encode(CONFIGURATION)
        for body in (b'', whole[:-9], b'\xff' + whole, b'[' * 100_000):
            with self.assertRaises(_documents.BodyInvalid):
                _documents.decode_document(body)

    def test_text_comes_back_whole(self):
        text = _encode(CONFIGURATION) * 100
        packed = _documents.compress_text(text)
        self.assertLess(len(packed), len(text) // 10)
        self.assertEqual(text, _documents.decompress_text(packed))


class WorkflowTest(unittest.TestCase):
    def _decode(self, **fields):
        body = {'task_spec': 'text', 'steps': [{'count': 2}], **fields}
        return _documents.decode_workflow(_encode(body))

    def test_left_out_fields_are_empty(self):
        spec = self._decode()
        self.assertEqual([workflows.Step(2)], spec.steps)
        self.assertEqual(0, spec.occurrences)

    def test_fields_of_a_step(self):
        step = {
            'count': 4,
            'cpu': 500,
            'mem_mb': 256,
            'gpu': 1,
            'est_runtime_ms': 900,
            'checkpointing': True,
            'anti_affinity': 2,
            'requirements': 'a',
            'data_rack': 'r1-3',
            'long_running': True,
            'target_ms': 9,
            'image': 'i',
            'fills': True,
            'may_miss': 1,
        }
        expected = workflows.Step(
            4,
            cpu=500,
            memory_mb=256,
            accelerators=1,
            estimate_ms=900,
            checkpoints=True,
            most_per_worker=2,
            label='a',
            data_rack='r1-3',
            lasts=True,
            tail_target_ms=9,
            image='i',
            fills=True,
            may_miss=1,
        )
        self.assertEqual([expected], self._decode(steps=[step]).steps)

    def test_malformed_workflows_are_refused(self):
        wrong = (
            {'steps': []},
            {'steps': [{'count': 0}]},
            {'steps': [{'count': 1, 'cpu': -1}]},
            {'steps': [{'count': 1, 'start_after': [0]}]},
            {'steps': [{'count': 1_000_000}]},
            {'task_spec': 'x' * 4001},
            {'task_spec': None},
        )
        for fields in wrong:
            with self.subTest(fields=str(fields)[:60]):
                with self.assertRaises(_documents.BodyInvalid):
                    self._decode(**fields)


if __name__ == '__main__':
    unittest.main()
