"""The demonstration completes every step and exits with 0."""

import pathlib
import subprocess
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
TIMEOUT_S = 300


class DemoTest(unittest.TestCase):
    def test_every_step_and_every_exit_status(self):
        completed = subprocess.run(
            [sys.executable, '-m', 'standins.demo'],
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
        )
        self.assertEqual(
            0, completed.returncode, completed.stdout + completed.stderr
        )
        steps = (
            'leader is',
            'GET through e1: 200',
            'GET through e2: 200',
            'accepted as version 3',
            'refused, current is 3',
            'sent again: version 3, as before',
            'submitted again: the same job',
            'done, attempt 1',
            'every process ended with exit status 0',
        )
        position = 0
        for step in steps:
            position = completed.stdout.find(step, position)
            self.assertGreaterEqual(
                position, 0, f'{step!r}: {completed.stdout}'
            )
