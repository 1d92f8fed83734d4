"""Tests of the commands that read a data folder in place."""

import contextlib
import io
import os
import tempfile
import unittest

from fuchsiatrestle import agreement
from fuchsiatrestle import ctl
from fuchsiatrestle.ctl import __main__ as program
from fuchsiatrestle import messages
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import machine

PATCH = commands.PatchConfig(1, 'p1', b'{"teams":{}}')


def _make_entry(index, data):
    return messages.Entry(index, 1, 'command', data)


class DataCommandsTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = os.path.join(folder.name, 'data')
        self.saved_path = os.path.join(folder.name, 'saved')
        os.mkdir(self.path)
        self.data_folder = agreement.DataFolder.open(self.path, 'c1', 1)
        self.addCleanup(self.data_folder.close)

    def _append_entry(self, entry, write_id=1):
        hard_state = agreement.HardState(1, 'c1', 'g')
        self.data_folder.write_effects(
            [agreement.PersistChanges(write_id, hard_state, None, [entry])]
        )

    def _run_program(self, *words):
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            status = program.main(['ctl', *words])
        return status, out.getvalue() + err.getvalue()

    def _save_snapshot(self):
        state_machine = machine.StateMachine()
        state_machine.apply(1, PATCH)
        voters = agreement.Voters('g', ['c1#1'])
        self.data_folder.save_snapshot(
            agreement.Snapshot(1, 1, voters, state_machine.snapshot())
        )

    def test_sound_log_while_the_daemon_has_it_open(self):
        self._append_entry(_make_entry(1, commands.CODEC.encode(PATCH)))
        status, text = self._run_program('log', 'verify', self.path)
        self.assertEqual(ctl.ExitStatus.OK, status, text)
        self.assertRegex(text, r'last_index +1')

    def test_damage_is_told_and_nothing_is_changed(self):
        self._append_entry(_make_entry(1, commands.CODEC.encode(PATCH)))
        self._append_entry(_make_entry(2, commands.CODEC.encode(PATCH)), 2)
        file_names = sorted(os.listdir(self.path))
        log_name = next(name for name in file_names if name.startswith('log-'))
        path = os.path.join(self.path, log_name)
        with open(path, 'r+b') as stream:
            data = bytearray(stream.read())
            data[len(data) // 2] ^= 0xFF
            stream.seek(0)
            stream.write(data)
        status, text = self._run_program('log', 'verify', self.path)
        self.assertEqual(ctl.ExitStatus.DAMAGED, status, text)
        self.assertIn(path, text)
        with open(path, 'rb') as stream:
            self.assertEqual(bytes(data), stream.read())

    def test_unknown_command_in_the_log_is_damage(self):
        self._append_entry(_make_entry(1, b'\x91\xa1?'))
        status, text = self._run_program('log', 'verify', self.path)
        self.assertEqual(ctl.ExitStatus.DAMAGED, status, text)

    def test_snapshot_is_restored_and_saved(self):
        self._save_snapshot()
        status, text = self._run_program('snapshot', 'verify', self.path)
        self.assertEqual(ctl.ExitStatus.OK, status, text)
        self.assertRegex(text, r'config_version +2')
        status, text = self._run_program(
            'snapshot', 'save', self.path, self.saved_path
        )
        self.assertEqual(ctl.ExitStatus.OK, status, text)
        status, _ = self._run_program(
            'snapshot', 'save', self.path, self.saved_path
        )
        self.assertEqual(ctl.ExitStatus.USAGE, status)

    def test_folder_without_snapshot_and_no_folder(self):
        status, text = self._run_program('snapshot', 'verify', self.path)
        self.assertEqual(ctl.ExitStatus.OK, status, text)
        status, text = self._run_program(
            'snapshot', 'save', self.path, self.saved_path
        )
        self.assertEqual(ctl.ExitStatus.USAGE, status, text)
        status, text = self._run_program('log', 'verify', self.saved_path)
        self.assertEqual(ctl.ExitStatus.USAGE, status, text)
