"""Tests of a control daemon whose data folder fails."""

import errno
import os
import tempfile
import unittest

import curio
from returns import result

from fuchsiatrestle import agreement
from fuchsiatrestle.control import _daemon
from fuchsiatrestle.control import _settings
from fuchsiatrestle import daemon
from fuchsiatrestle import errors
from fuchsiatrestle import settings
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import outcomes
from fuchsiatrestle.state import queries
from tests.fakes import control_groups
from tests.fakes import entries


class _FailingFiles(agreement.OsFiles):
    """Fails one operation from the moment it is told to."""

    def __init__(self):
        self.broken = ''

    def append(self, handle, data):
        """Writes half of the data on a full disk."""
        if self.broken == 'full disk':
            super().append(handle, data[: len(data) // 2])
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        super().append(handle, data)

    def sync(self, handle):
        """Fails as a device does that lost its cache."""
        if self.broken == 'failed fsync':
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        super().sync(handle)

    def rename(self, old, new):
        """Fails while a snapshot is put in place."""
        if self.broken == 'failed rename':
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        super().rename(old, new)


class StorageTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.group = control_groups.ControlGroup(
            folder.name, ('c1',), snapshot_entries=20
        )
        self.cfg = settings.load(
            os.path.join(folder.name, 'c1.ini'),
            _settings.SECTIONS + daemon.COMMON_SECTIONS,
        )

    def test_nothing_acknowledged_is_lost(self):
        for broken in ('full disk', 'failed fsync', 'failed rename'):
            with self.subTest(broken):
                self.setUp()
                curio.run(curio.timeout_after, 90, self._break, broken)

    async def _break(self, broken):
        files = _FailingFiles()
        entry = entries.FakeEntry(
            'e1', control_groups.free_address(), self.group.addresses
        )
        await entry.start()
        running = await self._start(files)
        acknowledged = []
        while not running.terminated:
            if len(acknowledged) == 10:
                files.broken = broken
            outcome = await self._patch(entry, len(acknowledged) + 1)
            if outcome is None:
                break
            acknowledged.append(outcome.version)
        self.assertGreaterEqual(len(acknowledged), 10)
        await running.wait()
        self.assertIsInstance(running.exception, errors.StorageFailed)
        again = await self._start(None)
        found = await entry.client.ask(queries.GetConfig(), 30000)
        self.assertGreaterEqual(found.unwrap().version, acknowledged[-1])
        await again.cancel()
        await entry.stop()

    async def _start(self, files):
        control = _daemon.ControlDaemon(self.cfg, files)
        await control.start()
        return await curio.spawn(control.serve, curio.Event())

    async def _patch(self, entry, base):
        """Returns the outcome; None if it got none, and may be agreed."""
        patch_id = f'p{base}'
        command = commands.PatchConfig(base, patch_id, b'{}')
        found = await entry.client.propose(command, 20000 if base < 9 else 900)
        if isinstance(found, result.Success):
            self.assertIsInstance(found.unwrap(), outcomes.ConfigAccepted)
            return found.unwrap()
        return None


if __name__ == '__main__':
    unittest.main()
