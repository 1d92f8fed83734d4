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

FINISH_S = 40.0


class PlatformTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name

    def _deploy(self, folder=None, **sizes):
        world = _deployment.Deployment(folder or self.folder, **sizes)
        for process in (*world.controls.values(), world.entry):
            self.addCleanup(
                lambda program=process: (
                    program.kill() if program.running else None
                )
            )
        return world

    async def _wait_until_completed(self, world, names):
        async def all_completed():
            for name in names:
                path = _deployment.PREFIX + name
                _, body = await world.call_entry('GET', path)
                if body is None or body.get('state') != 'completed':
                    return False
            return True

        await world.wait_until(all_completed, 'all completed', FINISH_S)

    def test_calm_path(self):
        curio.run(self._calm_path)

    async def _calm_path(self):
        world = self._deploy()
        path = _deployment.PREFIX + f'{1:016x}'
        await world.start()
        self.assertEqual(503, (await world.call_entry('GET', path))[0])
        await world.put_configuration(_deployment.configuration(5))
        self.assertEqual(410, (await world.call_entry('GET', path))[0])
        self.assertEqual(410, (await world.call_entry('DELETE', path))[0])
        self.assertEqual(404, (await world.call_entry('GET', '/no/'))[0])
        names = [f'{number:016x}' for number in range(1, 6)]
        for name in names:
            self.assertEqual(200, await world.submit(name, _deployment.STEPS))
            self.assertEqual(200, await world.submit(name, _deployment.STEPS))
        await self._wait_until_completed(world, names)
        self.assertEqual(5 * 5, world.fleet.ledger.starts)
        self.assertEqual([], world.fleet.ledger.breaches)
        self.assertEqual(
            (200, {'pending': 0}),
            await world.call_entry('GET', _deployment.PREFIX),
        )
        await self._check_configuration(world)
        await self._check_reload(world)
        self.assertEqual([0] * 4, await world.stop())

    async def _check_configuration(self, world):
        """Checks that older and invalid configurations change nothing."""
        newest = _deployment.configuration(9, timeout_ms=2500)
        await world.put_configuration(newest)
        for host in world.hosts:
            older = _deployment.configuration(7)
            answer = await world.call_control(
                host, 'POST', '/config/put', older
            )
            self.assertEqual(200, answer[0])
            invalid = _deployment.configuration(11, service='other')
            answer = await world.call_control(
                host, 'POST', '/config/put', invalid
            )
            self.assertEqual(400, answer[0])
            answer = await world.call_control(host, 'GET', '/config/get')
            self.assertEqual((200, newest), answer)

    async def _check_reload(self, world):
        world.entry._popen.send_signal(signal.SIGHUP)

        async def has_reloaded():
            with open(world.entry.log_path, encoding='utf-8') as log:
                return 'event=reloaded' in log.read()

        await world.wait_until(has_reloaded, 'a reload')
        self.assertTrue(world.entry.running)

    def test_entry_that_is_told_to_stop_answers_open_connections(self):
        curio.run(self._entry_stops)

    async def _entry_stops(self):
        world = self._deploy()
        await world.start()
        await world.put_configuration(_deployment.configuration(1))
        conn = await world.connect()
        path = _deployment.PREFIX + f'{1:016x}'
        self.assertEqual(410, await world.request(conn, 'GET', path))
        world.entry.ask_to_stop()
        await world.wait_until(world.is_draining, 'an entry that drains')
        self.assertEqual(410, await world.request(conn, 'GET', path))
        conn.close()
        self.assertEqual(0, await curio.run_in_thread(world.entry.wait))
        await world.stop()

    def test_leader_killed(self):
        curio.run(self._leader_killed)

    async def _leader_killed(self):
        world = self._deploy()
        await world.start()
        await world.put_configuration(_deployment.configuration(1))
        names = [f'{number:016x}' for number in range(1, 13)]
        for number, name in enumerate(names):
            self.assertEqual(200, await world.submit(name, _deployment.STEPS))
            if number in (4, 8):
                killed = world.controls[world.leader()]
                killed.kill()
                killed.start()
        await self._wait_until_completed(world, names)
        self.assertEqual([], world.fleet.ledger.breaches)
        self.assertEqual([0] * 4, await world.stop())

    def test_replica_that_is_no_seed_joins(self):
        curio.run(self._submit_after_join)

    async def _wait_until_joined(self, world, host):
        async def is_voter():
            with open(world.controls[host].log_path, encoding='utf-8') as log:
                return 'role=follower' in log.read()

        await world.wait_until(is_voter, 'a fourth voter')

    async def _submit_after_join(self):
        world = self._deploy(controls=4)
        await world.start()
        await world.put_configuration(_deployment.configuration(1))
        await self._wait_until_joined(world, world.hosts[3])
        # Two of four are left of the first three daemons, so the quorum of
        # three needs the fourth.
        world.controls[world.leader()].kill()
        name = f'{1:016x}'
        self.assertEqual(200, await world.submit(name, _deployment.STEPS))
        await self._wait_until_completed(world, [name])
        self.assertEqual([], world.fleet.ledger.breaches)
        await world.stop()

    def test_all_killed_and_one_disk_lost(self):
        for place in range(4):
            with self.subTest(place=place):
                with tempfile.TemporaryDirectory() as folder:
                    curio.run(self._one_disk_lost, folder, place)

    async def _one_disk_lost(self, folder, place):
        world = self._deploy(folder, controls=4)
        await world.start()
        newest = _deployment.configuration(1)
        await world.put_configuration(newest)
        name = f'{1:016x}'
        self.assertEqual(200, await world.submit(name, _deployment.STEPS))
        await self._wait_until_joined(world, world.hosts[3])
        for process in world.controls.values():
            process.kill()
        world.lose_disk(world.hosts[place])
        for process in world.controls.values():
            process.start()
        await self._wait_until_completed(world, [name])
        for host in world.hosts:
            self.assertEqual(newest, await world.get_configuration(host))
        self.assertEqual([], world.fleet.ledger.breaches)
        await world.stop()


if __name__ == '__main__':
    unittest.main()
