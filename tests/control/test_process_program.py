"""Tests of the settings, exit statuses and errors of the control program."""

import os
import subprocess
import sys
import tempfile
import unittest

from fuchsiatrestle import daemon
from fuchsiatrestle import settings
from standins import _processes
from tests.fakes import control_groups

PROGRAM_TIMEOUT_S = 60


class ProgramTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.group = control_groups.ControlGroup(folder.name, ('c1',))
        self.addCleanup(self.group.kill)
        self.settings_path = os.path.join(folder.name, 'c1.ini')
        with open(self.settings_path, encoding='utf-8') as stream:
            self.settings_text = stream.read()

    def _run_program(self, *args, text=None):
        if text is not None:
            with open(self.settings_path, 'w', encoding='utf-8') as stream:
                stream.write(text)
        command = [sys.executable, '-m', 'fuchsiatrestle.control', *args]
        return subprocess.run(
            command,
            cwd=_processes.ROOT,
            capture_output=True,
            text=True,
            timeout=PROGRAM_TIMEOUT_S,
        )

    def _run_with_settings(self, text=None):
        return self._run_program(f'--config={self.settings_path}', text=text)

    def test_help_version_and_check(self):
        for flag in ('--help', '--version'):
            completed = self._run_program(flag)
            self.assertEqual(0, completed.returncode, completed.stderr)
            self.assertIn('fuchsiatrestle-control', completed.stdout)
        completed = self._run_program(
            '--check', f'--config={self.settings_path}'
        )
        self.assertEqual((0, ''), (completed.returncode, completed.stderr))
        self.assertEqual([], os.listdir(self.group.data_folder('c1')))

    def test_settings_that_can_not_be_used(self):
        folder = self.group.data_folder('c1')
        peer_setting = f'c1={self.group.addresses["c1"]}'
        cases = {
            self.settings_text + 'colour = red\n': '[control] colour',
            self.settings_text.replace(peer_setting, ''): '[control] name',
            self.settings_text.replace(
                folder, folder + 'x'
            ): '[control] data_folder',
            self.settings_text
            + '[timing]\nheartbeat_ms = 1\n': 'heartbeat_ms',
            self.settings_text + '[tls]\nkey = x\n': '[tls]',
        }
        for text, expected_text in cases.items():
            with self.subTest(part=expected_text):
                self._assert_refused(
                    self._run_with_settings(text), expected_text
                )

    def _assert_refused(self, completed, expected_text):
        self.assertEqual(
            settings.INVALID_SETTINGS_EXIT_STATUS,
            completed.returncode,
            completed.stderr,
        )
        last_line = completed.stderr.strip().splitlines()[-1]
        self.assertIn(expected_text, last_line)
        self.assertIn(self.settings_path, last_line)
        self.assertNotIn('Traceback', completed.stderr)

    def _start(self):
        self.group.start()
        _processes.wait_until(
            lambda: 'ready=True' in self.group.read_log('c1'),
            PROGRAM_TIMEOUT_S,
            'ready',
        )

    def test_folder_or_port_in_use(self):
        self._start()
        self._assert_refused(
            self._run_with_settings(), '[control] data_folder'
        )
        other_folder = self.group.data_folder('c1') + '2'
        os.makedirs(other_folder)
        text = self.settings_text.replace(
            self.group.data_folder('c1'), other_folder
        )
        self._assert_refused(self._run_with_settings(text), '[control] link')
        self.assertEqual({'c1': 0}, self.group.stop())

    def test_damaged_log_is_named(self):
        self._start()
        self.assertEqual({'c1': 0}, self.group.stop())
        log_path = os.path.join(self.group.data_folder('c1'), 'log-00000001')
        with open(log_path, 'r+b') as stream:
            stream.seek(30)
            stream.write(b'\xff\xff\xff')
        completed = self._run_with_settings()
        self.assertEqual(daemon.DATA_EXIT_STATUS, completed.returncode)
        self.assertIn('log-00000001', completed.stdout)


if __name__ == '__main__':
    unittest.main()
