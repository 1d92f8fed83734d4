"""Tests that the reference pages are up to date with the code."""

import unittest

from tools import reference


class ReferenceTest(unittest.TestCase):
    def test_pages_are_current(self):
        for name, make_page in reference.PAGES.items():
            with self.subTest(page=name):
                text = (reference.DOCS / name).read_text(encoding='utf-8')
                self.assertEqual(
                    make_page(), text, 'python -m tools.reference'
                )
