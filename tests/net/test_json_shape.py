"""Tests of the limits on JSON bodies before they are decoded.

They guard against bodies whose decoded form takes many times their size, and
against refusing bodies that only look like that.
"""

import json
import unittest

from fuchsiatrestle.net import _json_shape

MAX_VALUES = 100
MAX_DEPTH = 8


def _exceeds(body):
    return _json_shape.exceeds_shape(body, MAX_VALUES, MAX_DEPTH)


class JsonShapeTest(unittest.TestCase):
    def test_number_of_values(self):
        for item in (b'0', b'{}', b'[]', b'""', b'{"a":0}'):
            few = b'[' + b','.join([item] * 45) + b']'
            many = b'[' + b','.join([item] * 250) + b']'
            self.assertFalse(_exceeds(few), item)
            self.assertTrue(_exceeds(many), item)

    def test_separators_in_texts_do_not_count(self):
        for text in (',' * 500, '\\",' * 200, '[{' * 300):
            self.assertFalse(_exceeds(json.dumps({'a': text}).encode()))

    def test_nesting(self):
        for opening, closing in ((b'[', b']'), (b'{"a":', b'}')):
            for depth, is_deep in ((MAX_DEPTH, False), (MAX_DEPTH + 1, True)):
                body = opening * depth + b'0' + closing * depth
                self.assertEqual(is_deep, _exceeds(body), body)

    def test_brackets_in_texts_hide_no_nesting(self):
        self.assertTrue(_exceeds(b'["]",' * 20 + b'0' + b']' * 20))

    def test_bytes_that_are_not_json(self):
        for body in (b'', b'"' * 1000, b'"\\' * 500, b'[' * 1000):
            self.assertIn(_exceeds(body), (True, False))
