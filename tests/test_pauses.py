"""Tests of the detection of suspensions.

They guard against something that arrived before a suspension of the machine
and counts as new after it.
"""

import unittest

from fuchsiatrestle import pauses


class PauseDetectorTest(unittest.TestCase):
    def setUp(self):
        self.suspended_ms = 1000
        self.detector = pauses.PauseDetector(lambda: self.suspended_ms)

    def _suspend(self, length_ms, resumed_ms):
        self.suspended_ms += length_ms
        self.detector.check(resumed_ms)

    def test_suspensions_since_a_time_are_added_up(self):
        self._suspend(300, 10)
        self._suspend(2000, 20)
        for time_ms, suspended_ms in (
            (0, 2300),
            (10, 2300),
            (11, 2000),
            (20, 2000),
            (21, 0),
        ):
            with self.subTest(time_ms=time_ms):
                self.assertEqual(
                    suspended_ms, self.detector.find_suspended_ms(time_ms, 30)
                )
                self.assertIs(
                    suspended_ms > 0,
                    self.detector.has_resumed_since(time_ms, 30),
                )

    def test_one_that_nobody_has_noticed_counts(self):
        self.suspended_ms += 400
        self.assertEqual(400, self.detector.find_suspended_ms(5, 30))

    def test_difference_of_two_readings_is_no_suspension(self):
        self._suspend(pauses.MAX_READING_GAP_MS, 10)
        self.assertFalse(self.detector.has_resumed_since(0, 30))

    def test_pause_between_two_readings_is_no_suspension(self):
        for suspended_ms in (900, 1000):
            self.suspended_ms = suspended_ms
            self.assertFalse(self.detector.has_resumed_since(0, 30))

    def test_number_is_bounded(self):
        for number in range(pauses.MAX_SUSPENSIONS + 10):
            self._suspend(100, number)
        self.assertEqual(
            100 * pauses.MAX_SUSPENSIONS,
            self.detector.find_suspended_ms(0, 1000),
        )


if __name__ == '__main__':
    unittest.main()
