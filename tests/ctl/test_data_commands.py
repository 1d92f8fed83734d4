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


def _entry(index, data):
    return messages.Entry(index, 1, 'command', data)


class DataCommandsTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = os.path.join(folder.name, 'data')
        self.file = os.path.join(folder.name, 'saved')
        os.mkdir(self.path)
        self.data = agreement.DataFolder.open(self.path, 'c1', 1)
        self.addCleanup(self.data.close)

    def _append(self, entry, write_id=1):
        state = agreement.HardState(1, 'c1', 'g')
        self.data.carry_out([agreement.Write(write_id, state, None, [entry])])

    def _run(self, *words):
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            status = program.main(['ctl', *words])
        return status, out.getvalue() + err.getvalue()

    def _save_snapshot(self):
        state = machine.StateMachine()
        state.apply(1, PATCH)
        voters = agreement.Voters('g', ['c1#1'])
        self.data.save_snapshot(
            agreement.Snapshot(1, 1, voters, state.snapshot())
        )

    def test_sound_log_while_the_daemon_has_it_open(self):
        self._append(_entry(1, commands.CODEC.encode(PATCH)))
        status, text = self._run('log', 'verify', self.path)
        self.assertEqual(ctl.ExitStatus.OK, status, text)
        self.assertRegex(text, r'last_index +1')

    def test_damage_is_told_and_nothing_is_changed(self):
        self._append(_entry(1, commands.CODEC.encode(PATCH)))
        self._append(_entry(2, commands.CODEC.encode(PATCH)), 2)
        name = sorted(os.listdir(self.path))
        log = next(item for item in name if item.startswith('log-'))
        path = os.path.join(self.path, log)
        with open(path, 'r+b') as stream:
            data = bytearray(stream.read())
            data[len(data) // 2] ^= 0xFF
            stream.seek(0)
            stream.write(data)
        status, text = self._run('log', 'verify', self.path)
        self.assertEqual(ctl.ExitStatus.DAMAGED, status, text)
        self.assertIn(path, text)
        with open(path, 'rb') as stream:
            self.assertEqual(bytes(data), stream.read())

    def test_unknown_command_in_the_log_is_damage(self):
        self._append(_entry(1, b'\x91\xa1?'))
        status, text = self._run('log', 'verify', self.path)
        self.assertEqual(ctl.ExitStatus.DAMAGED, status, text)

    def test_snapshot_is_restored_and_saved(self):
        self._save_snapshot()
        status, text = self._run('snapshot', 'verify', self.path)
        self.assertEqual(ctl.ExitStatus.OK, status, text)
        self.assertRegex(text, r'config_version +2')
        status, text = self._run('snapshot', 'save', self.path, self.file)
        self.assertEqual(ctl.ExitStatus.OK, status, text)
        status, _ = self._run('snapshot', 'save', self.path, self.file)
        self.assertEqual(ctl.ExitStatus.USAGE, status)

    def test_folder_without_snapshot_and_no_folder(self):
        status, text = self._run('snapshot', 'verify', self.path)
        self.assertEqual(ctl.ExitStatus.OK, status, text)
        status, text = self._run('snapshot', 'save', self.path, self.file)
        self.assertEqual(ctl.ExitStatus.USAGE, status, text)
        status, text = self._run('log', 'verify', self.file)
        self.assertEqual(ctl.ExitStatus.USAGE, status, text)
