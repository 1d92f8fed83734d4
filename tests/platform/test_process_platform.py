"""Tests of the daemons on the platform, as processes on loopback.

They guard against workflows that are lost, run against the rules or never
complete, and configurations that are lost or out of date, after stops, kills
and the loss of a disk.
"""

import signal
import tempfile
import unittest

import curio

from tests.platform import _deployment

COMPLETION_TIMEOUT_S = 40.0


class PlatformTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name

    def _deploy(self, folder=None, **sizes):
        deployment = _deployment.Deployment(folder or self.folder, **sizes)
        for process in (*deployment.controls.values(), deployment.entry):
            self.addCleanup(
                lambda program=process: (
                    program.kill() if program.running else None
                )
            )
        return deployment

    async def _wait_until_completed(self, deployment, names):
        async def all_completed():
            for name in names:
                path = _deployment.PREFIX + name
                _, body = await deployment.call_entry('GET', path)
                if body is None or body.get('state') != 'completed':
                    return False
            return True

        await deployment.wait_until(
            all_completed, 'all completed', COMPLETION_TIMEOUT_S
        )

    def test_all_calls_without_faults(self):
        curio.run(self._check_without_faults)

    async def _check_without_faults(self):
        deployment = self._deploy()
        path = _deployment.PREFIX + f'{1:016x}'
        await deployment.start()
        self.assertEqual(503, (await deployment.call_entry('GET', path))[0])
        await deployment.put_configuration(_deployment.make_configuration(5))
        self.assertEqual(410, (await deployment.call_entry('GET', path))[0])
        cancelled = f'{99:016x}'
        cancelled_path = _deployment.PREFIX + cancelled
        answer = await deployment.call_entry('DELETE', cancelled_path)
        self.assertEqual(410, answer[0])
        # A copy of its submission that arrives late must not run.
        self.assertEqual(
            429,
            await deployment.submit_workflow(cancelled, _deployment.STEPS),
        )
        answer = await deployment.call_entry('GET', cancelled_path)
        self.assertEqual(410, answer[0])
        self.assertEqual(404, (await deployment.call_entry('GET', '/no/'))[0])
        names = [f'{number:016x}' for number in range(1, 6)]
        for name in names:
            self.assertEqual(
                200, await deployment.submit_workflow(name, _deployment.STEPS)
            )
            self.assertEqual(
                200, await deployment.submit_workflow(name, _deployment.STEPS)
            )
        await self._wait_until_completed(deployment, names)
        self.assertEqual(5 * 5, deployment.fleet.ledger.starts)
        self.assertEqual([], deployment.fleet.ledger.breaches)
        self.assertEqual(
            (200, {'pending': 0}),
            await deployment.call_entry('GET', _deployment.PREFIX),
        )
        await self._check_configuration(deployment)
        await self._check_reload(deployment)
        self.assertEqual([0] * 4, await deployment.stop())

    async def _check_configuration(self, deployment):
        """Checks that an older or invalid configuration changes nothing."""
        newest_configuration = _deployment.make_configuration(
            9, timeout_ms=2500
        )
        await deployment.put_configuration(newest_configuration)
        for host in deployment.hosts:
            older_configuration = _deployment.make_configuration(7)
            answer = await deployment.call_control(
                host, 'POST', '/config/put', older_configuration
            )
            self.assertEqual(200, answer[0])
            invalid_configuration = _deployment.make_configuration(
                11, service='other'
            )
            answer = await deployment.call_control(
                host, 'POST', '/config/put', invalid_configuration
            )
            self.assertEqual(400, answer[0])
            answer = await deployment.call_control(host, 'GET', '/config/get')
            self.assertEqual((200, newest_configuration), answer)

    async def _check_reload(self, deployment):
        deployment.entry._popen.send_signal(signal.SIGHUP)

        async def has_reloaded():
            with open(deployment.entry.log_path, encoding='utf-8') as log:
                return 'event=reloaded' in log.read()

        await deployment.wait_until(has_reloaded, 'a reload')
        self.assertTrue(deployment.entry.running)

    def test_entry_that_is_told_to_stop_answers_open_connections(self):
        curio.run(self._check_entry_stop)

    async def _check_entry_stop(self):
        deployment = self._deploy()
        await deployment.start()
        await deployment.put_configuration(_deployment.make_configuration(1))
        conn = await deployment.connect_to_entry()
        path = _deployment.PREFIX + f'{1:016x}'
        self.assertEqual(
            410, await deployment.call_entry_on_connection(conn, 'GET', path)
        )
        deployment.entry.ask_to_stop()
        await deployment.wait_until(
            deployment.is_draining, 'an entry that drains'
        )
        self.assertEqual(
            410, await deployment.call_entry_on_connection(conn, 'GET', path)
        )
        conn.close()
        self.assertEqual(0, await curio.run_in_thread(deployment.entry.wait))
        await deployment.stop()

    def test_leader_killed(self):
        curio.run(self._check_leader_kill)

    async def _check_leader_kill(self):
        deployment = self._deploy()
        await deployment.start()
        await deployment.put_configuration(_deployment.make_configuration(1))
        names = [f'{number:016x}' for number in range(1, 13)]
        for number, name in enumerate(names):
            self.assertEqual(
                200, await deployment.submit_workflow(name, _deployment.STEPS)
            )
            if number in (4, 8):
                killed_process = deployment.controls[deployment.find_leader()]
                killed_process.kill()
                killed_process.start()
        await self._wait_until_completed(deployment, names)
        self.assertEqual([], deployment.fleet.ledger.breaches)
        self.assertEqual([0] * 4, await deployment.stop())

    def test_replica_that_is_no_seed_joins(self):
        curio.run(self._check_join)

    async def _wait_until_joined(self, deployment, host):
        async def is_voter():
            with open(
                deployment.controls[host].log_path, encoding='utf-8'
            ) as log:
                return 'role=follower' in log.read()

        await deployment.wait_until(is_voter, 'a fourth voter')

    async def _check_join(self):
        deployment = self._deploy(control_count=4)
        await deployment.start()
        await deployment.put_configuration(_deployment.make_configuration(1))
        await self._wait_until_joined(deployment, deployment.hosts[3])
        # Two of the first three daemons are left, so the quorum, three of
        # four, needs the fourth.
        deployment.controls[deployment.find_leader()].kill()
        name = f'{1:016x}'
        self.assertEqual(
            200, await deployment.submit_workflow(name, _deployment.STEPS)
        )
        await self._wait_until_completed(deployment, [name])
        self.assertEqual([], deployment.fleet.ledger.breaches)
        await deployment.stop()

    def test_all_killed_and_one_disk_lost(self):
        for lost_index in range(4):
            with self.subTest(lost_index=lost_index):
                with tempfile.TemporaryDirectory() as folder:
                    curio.run(self._check_disk_loss, folder, 4, (lost_index,))

    def test_all_killed_and_two_of_five_disks_lost(self):
        curio.run(self._check_disk_loss, self.folder, 5, (0, 4))

    async def _check_disk_loss(self, folder, control_count, lost_indexes):
        deployment = self._deploy(folder, control_count=control_count)
        await deployment.start()
        newest_configuration = _deployment.make_configuration(1)
        await deployment.put_configuration(newest_configuration)
        name = f'{1:016x}'
        self.assertEqual(
            200, await deployment.submit_workflow(name, _deployment.STEPS)
        )
        for host in deployment.hosts[3:]:
            await self._wait_until_joined(deployment, host)
        for process in deployment.controls.values():
            process.kill()
        for lost_index in lost_indexes:
            deployment.lose_disk(deployment.hosts[lost_index])
        for process in deployment.controls.values():
            process.start()
        await self._wait_until_completed(deployment, [name])
        for host in deployment.hosts:
            self.assertEqual(
                newest_configuration, await deployment.get_configuration(host)
            )
        self.assertEqual([], deployment.fleet.ledger.breaches)
        await deployment.stop()


if __name__ == '__main__':
    unittest.main()
