"""Tests of evacuations with the daemons as processes on loopback.

They guard against starts in a data centre after its evacuation was
acknowledged, and against orders that a stopped process carries out late.
"""

import tempfile
import unittest

import curio

from tests.platform import _deployment

NAME = f'{1:016x}'
# Time without a start after which none is expected any more.
IDLE_S = 2.0
STOP_S = 1.5


class EvacuationTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.deployment = _deployment.Deployment(folder.name)
        for program in (
            *self.deployment.controls.values(),
            self.deployment.entry,
        ):
            self.addCleanup(
                lambda program=program: (
                    program.kill() if program.running else None
                )
            )

    def test_evacuation_from_its_order_to_its_end(self):
        curio.run(self._check)

    async def _order(self, action, host, data_centre='dc-a'):
        return await self.deployment.call_control(
            host, 'POST', f'/evacuations/{data_centre}/{action}'
        )

    async def _order_until_answered(self, action):
        """Sends an order to the daemons in turn; returns the answer."""
        for attempt in range(200):
            host = self.deployment.hosts[attempt % 3]
            status, body = await self._order(action, host)
            if status == 200:
                return body
            await curio.sleep(0.1)
        raise AssertionError('the order was not acknowledged')

    async def _assert_no_start(self):
        await curio.sleep(IDLE_S)
        self.assertEqual(0, self.deployment.fleet.ledger.starts)

    async def _check(self):
        deployment = self.deployment
        await deployment.start()
        await deployment.put_configuration(_deployment.make_configuration(1))
        self.assertEqual(
            {'evacuated': True}, await self._order_until_answered('start')
        )
        for host in deployment.hosts:
            status, body = await self._order('start', host, 'dc-x')
            self.assertEqual(
                (404, 'unknown_data_centre'), (status, body['reason'])
            )
            self.assertEqual(200, (await self._order('start', host))[0])
        await deployment.submit_workflow(NAME, _deployment.STEPS)
        await self._assert_no_start()
        await self._check_stopped_daemon()
        for program in deployment.controls.values():
            program.kill()
        for program in deployment.controls.values():
            program.start()
        for host in deployment.hosts:
            await deployment.wait_until_started(host)
        await self._assert_no_start()
        self.assertEqual(
            {'evacuated': False}, await self._order_until_answered('end')
        )

        async def is_completed():
            path = _deployment.PREFIX + NAME
            _, body = await deployment.call_entry('GET', path)
            return body == {'state': 'completed'}

        await deployment.wait_until(is_completed, 'the end of the workflow')
        self.assertEqual([], deployment.fleet.ledger.breaches)
        await deployment.stop()

    async def _check_stopped_daemon(self):
        """Sends an end to a stopped process, and a start to another one."""
        leader = self.deployment.find_leader()
        stopped, other = (
            host for host in self.deployment.hosts if host != leader
        )
        self.deployment.controls[stopped].freeze()
        late_order = await curio.spawn(self._order, 'end', stopped)
        await curio.sleep(STOP_S)
        self.assertEqual(200, (await self._order('start', other))[0])
        self.deployment.controls[stopped].resume()
        self.assertEqual(503, (await late_order.join())[0])
        await self._assert_no_start()


if __name__ == '__main__':
    unittest.main()
