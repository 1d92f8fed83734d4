"""Each scenario passes on the unmodified core."""

import unittest

from tests.agreement import scenarios


class ScenarioTest(unittest.TestCase):
    """Guards each mechanism by a scenario that fails without it."""

    def test_scenarios(self):
        for name, run in scenarios.SCENARIOS.items():
            with self.subTest(scenario=name):
                run()


if __name__ == '__main__':
    unittest.main()
