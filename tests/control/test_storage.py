"""Tests of a control daemon whose data folder fails.

Each acknowledged patch has to be found again after a restart on the folder.
"""

import errno
import os
import tempfile
import unittest

import curio
from returns import result

from fuchsiatrestle import agreement
from fuchsiatrestle.control import _daemon
from fuchsiatrestle.control import _events
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
    """Fails one operation once ``failure`` is set.

    Attributes:
        failure: ``full disk``, ``failed fsync``, ``failed rename`` or empty.
    """

    def __init__(self):
        self.failure = ''

    def append(self, handle, data):
        """Writes half of the data on a full disk."""
        if self.failure == 'full disk':
            super().append(handle, data[: len(data) // 2])
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        super().append(handle, data)

    def sync(self, handle):
        """Fails like a device that lost the data in its cache."""
        if self.failure == 'failed fsync':
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        super().sync(handle)

    def rename(self, old_path, new_path):
        """Fails before a snapshot gets its final name."""
        if self.failure == 'failed rename':
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        super().rename(old_path, new_path)


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
        for failure in ('full disk', 'failed fsync', 'failed rename'):
            with self.subTest(failure):
                self.setUp()
                curio.run(
                    curio.timeout_after, 90, self._run_until_failure, failure
                )

    async def _run_until_failure(self, failure):
        files = _FailingFiles()
        entry = entries.FakeEntry(
            'e1', control_groups.free_address(), self.group.addresses
        )
        await entry.start()
        control_task = await self._start_control(files)
        acknowledged_versions = []
        while not control_task.terminated:
            if len(acknowledged_versions) == 10:
                files.failure = failure
            outcome = await self._submit_patch(
                entry, len(acknowledged_versions) + 1
            )
            if outcome is None:
                break
            acknowledged_versions.append(outcome.version)
        self.assertGreaterEqual(len(acknowledged_versions), 10)
        await control_task.wait()
        self.assertIsInstance(control_task.exception, errors.StorageFailed)
        restarted_task = await self._start_control(None)
        query_result = await entry.client.query(queries.GetConfig(), 30000)
        self.assertGreaterEqual(
            query_result.unwrap().version, acknowledged_versions[-1]
        )
        await restarted_task.cancel()
        await entry.stop()

    def test_replaced_replica_ends_without_a_crashed_task(self):
        async def run_until_replaced():
            control_daemon = _daemon.ControlDaemon(self.cfg)
            await control_daemon.start()
            control_daemon._storage.put(_events.RetireFolder())
            await control_daemon.serve(curio.Event())

        with (
            self.assertNoLogs('curio'),
            self.assertRaises(errors.IdentityReplaced),
        ):
            curio.run(curio.timeout_after, 30, run_until_replaced)

    async def _start_control(self, files):
        control_daemon = _daemon.ControlDaemon(self.cfg, files)
        await control_daemon.start()
        return await curio.spawn(control_daemon.serve, curio.Event())

    async def _submit_patch(self, entry, base_version):
        """Returns the outcome of a patch.

        It is None if there was no answer; the patch may be agreed then.  The
        deadline is short from the ninth patch on, as the folder fails soon.
        """
        patch_id = f'p{base_version}'
        command = commands.PatchConfig(base_version, patch_id, b'{}')
        call_result = await entry.client.propose(
            command, 20000 if base_version < 9 else 900
        )
        if isinstance(call_result, result.Success):
            self.assertIsInstance(
                call_result.unwrap(), outcomes.ConfigAccepted
            )
            return call_result.unwrap()
        return None


if __name__ == '__main__':
    unittest.main()
