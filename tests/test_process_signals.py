"""Tests of stop signals that arrive while a program starts."""

import pathlib
import re
import subprocess
import sys
import tempfile
import time
import unittest

from standins import _ports
from standins import _processes

PROGRAM_TIMEOUT_S = 60
# Modules that the programs import, from the first to the last.
IMPORTED_MODULES = ('absl', 'curio', 'msgspec', 'h11', 'grpclib')
# From the time at which the program catches the signal.
SIGNAL_DELAYS_S = (0.0, 0.1, 0.2, 0.4, 0.8, 1.6)
SIGTERM_MASK = 1 << 14

# Settings of each program, by its module and arguments.
PROGRAM_SETTINGS = {
    ('fuchsiatrestle.control',): """\
[control]
name = c1
link = 127.0.0.1:{0}
data_folder = {folder}
peers = c1=127.0.0.1:{0}
""",
    ('fuchsiatrestle.entry',): """\
[entry]
name = e1
link = 127.0.0.1:{0}
callers = 127.0.0.1:{1}
platform = 127.0.0.1:{2}
admin = 127.0.0.1:{3}
controls = c1=127.0.0.1:{4}
[stop]
health_lead_s = 0
""",
    ('fuchsiatrestle.platform', 'control'): """\
[platform]
seeds = 127.0.0.1:{0}
link = 127.0.0.1:{1}
control = 127.0.0.1:{0}
data_folder = {folder}
""",
    ('fuchsiatrestle.platform', 'entry'): """\
[platform]
seeds = 127.0.0.1:{0}
link = 127.0.0.1:{1}
callers = 127.0.0.1:{2}
ready = 127.0.0.1:{3}
grace_s = 1
health_lead_s = 0
""",
}


def _catches_sigterm(process):
    status = pathlib.Path(f'/proc/{process.pid}/status').read_text('ascii')
    caught_mask = re.search(r'^SigCgt:\s*([0-9a-f]+)$', status, re.MULTILINE)
    return int(caught_mask[1], 16) & SIGTERM_MASK


class EarlyStopTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self._folder = pathlib.Path(folder.name)
        self._commands = [
            self._prepare_program(number, words, settings_text)
            for number, (words, settings_text) in enumerate(
                PROGRAM_SETTINGS.items()
            )
        ]

    def _prepare_program(self, number, words, settings_text):
        """Writes the settings of a program; returns its command line."""
        data_folder = self._folder / f'{number}.data'
        data_folder.mkdir()
        path = self._folder / f'{number}.ini'
        path.write_text(
            settings_text.format(
                *_ports.find_free_ports(5), folder=data_folder
            ),
            encoding='utf-8',
        )
        return [*words, f'--config={path}']

    def _start(self, *args):
        process = subprocess.Popen(
            [sys.executable, '-m', *args],
            cwd=_processes.ROOT,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        self.addCleanup(process.kill)
        return process

    def _assert_stops(self, process):
        output, _ = process.communicate(timeout=PROGRAM_TIMEOUT_S)
        self.assertEqual(0, process.returncode, output)
        self.assertNotIn('Traceback', output)

    def test_signal_before_an_import_ends_with_status_0(self):
        for command in self._commands:
            for module in IMPORTED_MODULES:
                with self.subTest(program=command[:-1], module=module):
                    self._assert_stops(
                        self._start(
                            'tests.fakes.signalled_program', module, *command
                        )
                    )

    def test_signal_during_the_start_ends_with_status_0(self):
        for command in self._commands:
            for delay_s in SIGNAL_DELAYS_S:
                with self.subTest(program=command[:-1], delay_s=delay_s):
                    process = self._start(*command)
                    _processes.wait_until(
                        lambda: _catches_sigterm(process),  # noqa: B023
                        PROGRAM_TIMEOUT_S,
                        'a handler of SIGTERM',
                    )
                    time.sleep(delay_s)
                    process.terminate()
                    self._assert_stops(process)


if __name__ == '__main__':
    unittest.main()
