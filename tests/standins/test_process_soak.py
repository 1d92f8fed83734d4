"""A short soak run with faults violates no guarantee.

``python -m standins.soak`` runs a longer one.
"""

import json
import pathlib
import subprocess
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
SECONDS = 20
SEED = 2
TIMEOUT_S = 400


class SoakTest(unittest.TestCase):
    def test_short_soak(self):
        completed = subprocess.run(
            [
                sys.executable,
                '-m',
                'standins.soak',
                f'--seconds={SECONDS}',
                f'--seed={SEED}',
            ],
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
        )
        self.assertEqual(
            0, completed.returncode, completed.stdout + completed.stderr
        )
        report = json.loads(completed.stdout)
        self.assertEqual({}, report['breaches'])
        answers = [item['answers'].get('whole', 0) for item in report['calls']]
        self.assertTrue(all(answers), answers)
        self.assertTrue(report['faults'])
