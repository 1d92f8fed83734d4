"""Tests of the log format."""

import io
import logging
import unittest

from fuchsiatrestle import logs


class KeyValueFormatterTest(unittest.TestCase):
    def test_one_line_with_quoted_values(self):
        stream = io.StringIO()
        handler = logging.StreamHandler(stream)
        handler.setFormatter(logs.KeyValueFormatter())
        logger = logging.Logger('unit')
        logger.addHandler(handler)
        logger.info('refused', extra={'peer': 'e1', 'why': 'two\nlines "x"'})
        line = stream.getvalue()
        self.assertEqual(1, line.count('\n'))
        self.assertIn(' level=INFO logger=unit event=refused peer=e1 ', line)
        self.assertIn('why="two\\nlines \\"x\\""', line)
