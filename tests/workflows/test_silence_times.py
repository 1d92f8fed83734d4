"""Tests of the times from which silent workers get no leases.

They guard against a lease that is taken as over too early, as its worker got
another one since.
"""

import unittest

from fuchsiatrestle import workflows


class SilenceTimesTest(unittest.TestCase):
    def setUp(self):
        self.times = workflows.SilenceTimes()

    def test_time_is_that_of_the_first_update(self):
        self.times.update({'a': 5}, 100)
        self.times.update({'a': 5, 'b': 6}, 200)
        self.assertEqual(100, self.times.find_ms('a'))
        self.assertEqual(200, self.times.find_ms('b'))
        self.assertIsNone(self.times.find_ms('c'))

    def test_worker_that_was_heard_in_between_is_silent_anew(self):
        self.times.update({'a': 5}, 100)
        self.times.update({'a': 7}, 200)
        self.assertEqual(200, self.times.find_ms('a'))

    def test_worker_that_is_heard_is_forgotten(self):
        self.times.update({'a': 5}, 100)
        self.times.update({}, 200)
        self.assertIsNone(self.times.find_ms('a'))


if __name__ == '__main__':
    unittest.main()
