"""Tests of what the clock readings of a worker prove.

They guard against a process that is taken to have been alive later than it
was: a start order may then have reached the next one.
"""

import random
import unittest

from fuchsiatrestle.workflows import _clock


class LifeSignsTest(unittest.TestCase):
    def setUp(self):
        self.life_signs = _clock.LifeSigns()

    def test_nothing_is_known_before_an_answer(self):
        self.assertIsNone(self.life_signs.alive_until_ms)
        self.life_signs.record_reading(90_000)
        self.assertIsNone(self.life_signs.alive_until_ms)
        self.life_signs.record_answer(None, 1000)
        self.assertIsNone(self.life_signs.alive_until_ms)

    def test_answer_shows_that_it_was_alive_when_the_poll_was_sent(self):
        self.life_signs.record_answer(500, 1000)
        margin_ms = _clock.CLOCK_ROUNDING_MARGIN_MS
        self.assertEqual(1000 - margin_ms, self.life_signs.alive_until_ms)
        self.life_signs.record_reading(1200)
        self.assertEqual(1700 - margin_ms, self.life_signs.alive_until_ms)
        self.life_signs.record_reading(600)
        self.assertEqual(1700 - margin_ms, self.life_signs.alive_until_ms)

    def test_it_never_shows_a_later_time_than_that_of_the_last_reading(self):
        """Messages may be late, and clocks 2% slow."""
        for seed in range(200):
            with self.subTest(seed=seed):
                self._check_random_run(random.Random(seed))

    def _check_random_run(self, rng):
        life_signs = _clock.LifeSigns()
        rate = rng.uniform(_clock.MIN_CLOCK_RATE, 1)
        born_ms = rng.randint(0, 10_000)
        readings = []
        last_ms = 0
        for _ in range(30):
            sent_ms = born_ms + rng.randint(0, 20_000)
            read_ms = sent_ms + rng.randint(0, 3000)
            clock_ms = round(rate * (read_ms - born_ms))
            readings.append((rng.random(), read_ms, clock_ms, sent_ms))
        # They arrive in any order.
        for is_answer, read_ms, clock_ms, sent_ms in sorted(readings):
            last_ms = max(last_ms, read_ms)
            if is_answer < 0.5:
                life_signs.record_answer(clock_ms, sent_ms)
            else:
                life_signs.record_reading(clock_ms)
            if life_signs.alive_until_ms is not None:
                self.assertLessEqual(life_signs.alive_until_ms, last_ms)
                self.assertLessEqual(life_signs.born_after_ms, born_ms)


if __name__ == '__main__':
    unittest.main()
