"""Tests of the decoding of configurations and workflows.

They guard against fields that reach the wrong field of a record and against
malformed or contradictory bodies that are accepted.
"""

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


def _encode_json(value):
    return json.dumps(value).encode()


class ConfigurationTest(unittest.TestCase):
    def _assert_refused(self, **changes):
        body = _encode_json({**CONFIGURATION, **changes})
        with self.assertRaises(_documents.BodyInvalid):
            _documents.decode_document(body)

    def test_fields_of_a_configuration(self):
        document = _documents.decode_document(_encode_json(CONFIGURATION))
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
        self._assert_refused(routes=[{**ROUTE, 'service': 'other'}])
        self._assert_refused(routes=[ROUTE, {**ROUTE, 'name': 'q'}])
        self._assert_refused(routes=[{**ROUTE, 'timeout_ms': 0}])
        self._assert_refused(version=0)
        self._assert_refused(version='7')
        self._assert_refused(routes=None)

    def test_malformed_configurations_are_refused(self):
        valid_body = _encode_json(CONFIGURATION)
        for body in (
            b'',
            valid_body[:-9],
            b'\xff' + valid_body,
            b'[' * 100_000,
        ):
            with self.assertRaises(_documents.BodyInvalid):
                _documents.decode_document(body)

    def test_decompression_restores_the_text(self):
        text = _encode_json(CONFIGURATION) * 100
        compressed = _documents.compress_text(text)
        self.assertLess(len(compressed), len(text) // 10)
        self.assertEqual(text, _documents.decompress_text(compressed))


class WorkflowTest(unittest.TestCase):
    def _decode_workflow(self, **fields):
        body = {'task_spec': 'text', 'steps': [{'count': 2}], **fields}
        return _documents.decode_workflow(_encode_json(body))

    def test_missing_fields_are_empty(self):
        spec = self._decode_workflow()
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
        self.assertEqual([expected], self._decode_workflow(steps=[step]).steps)

    def test_malformed_workflows_are_refused(self):
        malformed_fields = (
            {'steps': []},
            {'steps': [{'count': 0}]},
            {'steps': [{'count': 1, 'cpu': -1}]},
            {'steps': [{'count': 1, 'start_after': [0]}]},
            {'steps': [{'count': 1_000_000}]},
            {'task_spec': 'x' * 4001},
            {'task_spec': None},
        )
        for fields in malformed_fields:
            with self.subTest(fields=str(fields)[:60]):
                with self.assertRaises(_documents.BodyInvalid):
                    self._decode_workflow(**fields)


if __name__ == '__main__':
    unittest.main()
