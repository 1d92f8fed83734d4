"""Tests of the offline operations on a data folder."""

import os
import tempfile
import unittest

from fuchsiatrestle import agreement
from fuchsiatrestle.control import offline
from fuchsiatrestle import errors
from fuchsiatrestle import messages
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import machine

VOTERS = agreement.Voters('main/c1#1', ['c1#1'])


class OfflineTest(unittest.TestCase):
    def setUp(self):
        root = tempfile.TemporaryDirectory()
        self.addCleanup(root.cleanup)
        self.root = root.name
        self.path = os.path.join(root.name, 'data')
        os.mkdir(self.path)
        self.saved_path = os.path.join(root.name, 'saved')
        self.folder = agreement.DataFolder.open(self.path, 'c1', 1)
        self._write_patches(1, 3)

    def _write_patches(self, first_index, last_index):
        """Appends a patch to the log at each index; the folder stays open."""
        entries = [
            messages.Entry(
                index,
                1,
                'command',
                commands.CODEC.encode(
                    commands.PatchConfig(index, f'p{index}', b'{}')
                ),
            )
            for index in range(first_index, last_index + 1)
        ]
        hard_state = agreement.HardState(1, '', VOTERS.group)
        self.folder.write_effects(
            [agreement.PersistChanges(first_index, hard_state, None, entries)]
        )
        return entries

    def _save_snapshot(self):
        state_machine = machine.StateMachine()
        for index in (1, 2, 3):
            patch = commands.PatchConfig(index, f'p{index}', b'{}')
            state_machine.apply(index, patch)
        snapshot = agreement.Snapshot(3, 1, VOTERS, state_machine.snapshot())
        self.folder.save_snapshot(snapshot)

    def test_log_report(self):
        report = offline.verify_log(self.path)
        self.assertEqual((1, 3), (report.term, report.entry_count))
        self.assertEqual(3, report.last_index)
        self.assertTrue(report.identity.startswith('c1#'))

    def test_snapshot_report_and_copy(self):
        with self.assertRaises(errors.Error):
            offline.save_snapshot(self.path, self.saved_path)
        self.assertEqual(0, offline.verify_snapshot(self.path).last_index)
        self._save_snapshot()
        report = offline.save_snapshot(self.path, self.saved_path)
        self.assertEqual((3, 4), (report.last_index, report.config_version))
        self.assertGreater(os.path.getsize(self.saved_path), report.size_bytes)
        with self.assertRaises(errors.Error):
            offline.save_snapshot(self.path, self.saved_path)

    def test_damage_is_named(self):
        self._save_snapshot()
        self._write_patches(4, 6)
        log_names = [
            name for name in os.listdir(self.path) if name.startswith('log-')
        ]
        log_path = os.path.join(self.path, max(log_names))
        for path, verify in (
            (log_path, offline.verify_log),
            (os.path.join(self.path, 'snapshot'), offline.verify_snapshot),
        ):
            with self.subTest(path=path):
                with open(path, 'r+b') as stream:
                    original_data = stream.read()
                    stream.seek(20)
                    stream.write(b'\xff\xff\xff')
                with self.assertRaises(errors.DataDamaged) as caught:
                    verify(self.path)
                self.assertIn(path, caught.exception.reason)
                with open(path, 'wb') as stream:
                    stream.write(original_data)

    def test_missing_folder(self):
        with self.assertRaises(errors.StorageFailed):
            offline.verify_log(os.path.join(self.root, 'none'))


if __name__ == '__main__':
    unittest.main()
