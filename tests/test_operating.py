"""Tests that the operators' page covers all refusals, retries and events."""

import ast
import fnmatch
import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
OPERATING_PAGE = ROOT / 'docs' / 'OPERATING.md'
COUNTERS_PAGE = ROOT / 'docs' / 'COUNTERS.md'


def _read_patterns():
    """Returns the names and name patterns in code quotes on the page."""
    return re.findall(
        r'`([a-z_.*]+)`', OPERATING_PAGE.read_text(encoding='utf-8')
    )


def _find_log_events():
    """Yields each event that the package logs as a literal."""
    for path in (ROOT / 'fuchsiatrestle').rglob('*.py'):
        tree = ast.parse(path.read_text(encoding='utf-8'))
        for node in ast.walk(tree):
            if not isinstance(node, ast.Call):
                continue
            if not ast.unparse(node.func).startswith('LOG.'):
                continue
            if isinstance(node.args[0], ast.Constant):
                yield node.args[0].value


class OperatingPageTest(unittest.TestCase):
    def _assert_on_page(self, names):
        patterns = _read_patterns()
        missing = [
            name
            for name in sorted(names)
            if not any(fnmatch.fnmatch(name, pattern) for pattern in patterns)
        ]
        self.assertEqual([], missing)

    def test_refusals_and_retries(self):
        text = COUNTERS_PAGE.read_text(encoding='utf-8')
        names = re.findall(r'`((?:refused|retry)\.[a-z_]+)`', text)
        self.assertGreater(len(names), 50)
        self._assert_on_page(names)

    def test_log_events(self):
        self._assert_on_page(set(_find_log_events()))
