"""Replacement of control daemons at other addresses, as processes.

It guards against a group that loses its quorum, a workflow that is lost or run
twice, and an entry that finds no control daemon, after each control daemon has
been replaced and everything was restarted with the newest seeds only.
"""

import tempfile
import unittest

import curio

from tests.platform import _deployment

COMPLETION_TIMEOUT_S = 40.0
CALL_PAUSE_S = 0.2
# Time between the end of a daemon and the start of its successor.
SUCCESSOR_DELAY_S = 1.0
# Time after which the loss is made up for; the users' bound is 4 s.
CATCH_UP_S = 4.0


class ReplacementTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.deployment = _deployment.Deployment(folder.name)
        self.addCleanup(self._kill_all)
        self.names = []

    def _kill_all(self):
        for process in (
            *self.deployment.controls.values(),
            self.deployment.entry,
        ):
            if process.running:
                process.kill()

    async def _submit_forever(self):
        while True:
            name = f'{len(self.names):016x}'
            status = await self.deployment.submit_workflow(
                name, _deployment.STEPS
            )
            self.assertEqual(200, status)
            self.names.append(name)
            await curio.sleep(CALL_PAUSE_S)

    async def _all_completed(self):
        for name in self.names:
            _, body = await self.deployment.call_entry(
                'GET', _deployment.PREFIX + name
            )
            if body is None or body.get('state') != 'completed':
                return False
        return True

    def test_each_control_daemon_is_replaced_under_load(self):
        curio.run(self._check_replacements)

    async def _check_replacements(self):
        deployment = self.deployment
        await deployment.start()
        await deployment.put_configuration(_deployment.make_configuration(5))
        caller = await curio.spawn(self._submit_forever)
        for number in range(4, 7):
            await curio.sleep(SUCCESSOR_DELAY_S)
            gone_host = deployment.find_leader() or deployment.hosts[0]
            await curio.run_in_thread(deployment.controls[gone_host].kill)
            await curio.sleep(SUCCESSOR_DELAY_S)
            host = f'127.0.7.{number}'
            deployment.replace_control(gone_host, host, [gone_host])
            await deployment.wait_until_started(host)
            # Until now its seeds name a daemon that is gone.
            deployment.update_seeds()
            deployment.reload_all()
            await curio.sleep(CATCH_UP_S)
        await caller.cancel()
        self._kill_all()
        deployment.update_seeds()
        for process in (*deployment.controls.values(), deployment.entry):
            process.start()
        await deployment.wait_until(
            self._all_completed, 'all completed', COMPLETION_TIMEOUT_S
        )
        self.assertGreater(len(self.names), 10)
        for host in deployment.hosts:
            configuration = await deployment.get_configuration(host)
            self.assertEqual(5, configuration['version'])
        self.assertEqual([], deployment.fleet.ledger.breaches)
        self.assertEqual([0] * 4, await deployment.stop())


if __name__ == '__main__':
    unittest.main()
