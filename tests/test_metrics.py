"""Tests of counters, histograms and their text form."""

import unittest

from fuchsiatrestle import metrics

WAITED_MS = metrics.declare('test.waited_ms', 'For this test.')
SEEN_COUNT = metrics.declare('test.seen', 'For this test.')


class RenderTest(unittest.TestCase):
    def test_text_of_all_kinds(self):
        registry = metrics.Registry()
        registry.count(SEEN_COUNT, 3)
        for duration_ms in (0.5, 2, 700, 99_999):
            registry.timing(WAITED_MS, duration_ms)
        lines = registry.render().splitlines()
        self.assertIn('test.seen 3', lines)
        self.assertIn('test.waited_ms.le_1 1', lines)
        self.assertIn('test.waited_ms.le_2 2', lines)
        self.assertIn('test.waited_ms.le_1000 3', lines)
        self.assertIn('test.waited_ms.le_inf 4', lines)
        self.assertIn('test.waited_ms.count 4', lines)
        self.assertIn('test.waited_ms.sum_ms 100701.5', lines)

    def test_undeclared_name_fails(self):
        with self.assertRaises(KeyError):
            metrics.Registry().timing('test.other', 1)


if __name__ == '__main__':
    unittest.main()
