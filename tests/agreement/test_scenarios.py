"""Each scenario holds on the whole core."""

import unittest

from tests.agreement import scenarios


class ScenarioTest(unittest.TestCase):
    """Runs the scenarios one by one."""

    def test_scenarios(self):
        for name, run in scenarios.SCENARIOS.items():
            with self.subTest(scenario=name):
                run()


if __name__ == '__main__':
    unittest.main()
