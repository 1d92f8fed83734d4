"""Tests of the parsing of numbers in texts.

They guard against texts of any length and script that pass for numbers.
"""

import unittest

from fuchsiatrestle import number_ranges


class ParseDecimalTest(unittest.TestCase):
    def test_numbers_up_to_the_limit(self):
        for text, number in (('0', 0), ('7', 7), ('000150', 150), ('00', 0)):
            with self.subTest(text=text):
                self.assertEqual(
                    number, number_ranges.parse_decimal(text, 150)
                )

    def test_everything_else_is_refused(self):
        texts = ('', '-1', '+1', '1.5', ' 1', '1_0', '²', '١', '151', '1000')
        for text in (*texts, '9' * 5000, '0' * 5000 + '9' * 5000):
            with self.subTest(text=text[:9]):
                with self.assertRaises(ValueError):
                    number_ranges.parse_decimal(text, 150)


if __name__ == '__main__':
    unittest.main()
