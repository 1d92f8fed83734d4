"""Tests that only a leader whose leadership is confirmed sends orders."""

import os
import tempfile
import unittest
from unittest import mock

import curio

from fuchsiatrestle import agreement
from fuchsiatrestle.control import _daemon
from fuchsiatrestle.control import _events
from fuchsiatrestle.control import _leadership
from fuchsiatrestle.control import _orders
from fuchsiatrestle.control import _replica_task
from fuchsiatrestle.control import _service
from fuchsiatrestle.control import _settings
from fuchsiatrestle import daemon
from fuchsiatrestle import metrics
from fuchsiatrestle import settings
from fuchsiatrestle import workflows
from tests.fakes import control_groups
from tests.fakes import waiting

ELECTION_MIN_MS = 600
TERM = 3


def _make_order(worker, term=TERM):
    return workflows.PollWorker(worker, '127.0.0.1:1', None, term, 0, 0)


def _count_dropped():
    counters = metrics.default_registry.counters()
    return counters.get(_orders.DROPPED_ORDERS, 0)


class _ReplicaDouble:
    """Replica whose next state is set by the test and shown after a step."""

    def __init__(self):
        self.cfg = agreement.ReplicaConfig(election_min_ms=ELECTION_MIN_MS)
        self.voters = agreement.Voters('', [])
        self.voters_committed = True
        self.voters_index = 0
        self.joining_identities = ()
        self.bearable_losses = 0
        self.commit_index = 0
        self.log = mock.Mock(last_index=0)
        self.role = mock.Mock()
        self.set_state('follower', 0, 0)

    def set_state(self, role, term, confirmed_until_ms):
        self._next_state = (role, term, confirmed_until_ms)

    def step(self, event, now_ms):
        self.role.name, self.term, self.leadership_confirmed_until_ms = (
            self._next_state
        )
        return []


class _Driver(workflows.Driver):
    """Keeps the names of the workers to which orders were sent."""

    def __init__(self):
        self.workers = []

    async def start(self, report_reply):
        pass

    async def send(self, order):
        self.workers.append(order.worker)

    async def stop(self):
        pass


class OrderTest(unittest.TestCase):
    def setUp(self):
        self.now_ms = 1_000
        self.suspended_ms = 0
        for module, name, read in (
            (daemon, 'monotonic_ms', lambda: self.now_ms),
            (_leadership, 'read_suspended_ms', lambda: self.suspended_ms),
        ):
            patcher = mock.patch.object(module, name, read)
            patcher.start()
            self.addCleanup(patcher.stop)
        self.replica = _ReplicaDouble()
        self.driver = _Driver()

    def _run(self, scenario):
        """Runs a scenario beside the replica task and the order task."""

        async def run_all():
            self.replica_task = _replica_task.ReplicaTask(
                self.replica, None, curio.Queue(), lambda index, names: None
            )
            self.order_task = _orders.OrderTask(
                self.replica_task.leadership, self.driver
            )
            async with curio.TaskGroup() as tasks:
                await tasks.spawn(self.replica_task.run)
                await tasks.spawn(self.order_task.run)
                await scenario()
                await tasks.cancel_remaining()

        curio.run(run_all)

    async def _step_replica(self, role, term, confirmed_until_ms):
        self.replica.set_state(role, term, confirmed_until_ms)
        self.replica_task.inbox.put(agreement.Tick())
        await curio.sleep(3 * _orders.HELD_CHECK_INTERVAL_S)

    async def _lead_and_sleep(self):
        """Leads, and wakes up when the confirmation has just ended."""
        await self._step_replica('leader', TERM, self.now_ms + ELECTION_MIN_MS)
        self.now_ms += ELECTION_MIN_MS

    def test_a_confirmed_leader_sends_at_once(self):
        async def scenario():
            await self._step_replica(
                'leader', TERM, self.now_ms + ELECTION_MIN_MS
            )
            self.now_ms += ELECTION_MIN_MS - 1
            for worker in ('w1', 'w2'):
                await self.order_task.send(_make_order(worker))
            self.assertEqual(['w1', 'w2'], self.driver.workers)

        self._run(scenario)

    def test_a_leader_that_slept_sends_nothing_until_confirmed_again(self):
        async def scenario():
            await self._lead_and_sleep()
            for worker in ('w1', 'w2'):
                await self.order_task.send(_make_order(worker))
            await curio.sleep(3 * _orders.HELD_CHECK_INTERVAL_S)
            self.assertEqual([], self.driver.workers)
            # Confirmed before the held orders are sent: none overtakes.
            self.replica.set_state('leader', TERM, self.now_ms + 500)
            self.replica_task.inbox.put(agreement.Tick())
            leadership = self.replica_task.leadership
            while not leadership.may_order(TERM, self.now_ms):
                await curio.sleep(0)
            await self.order_task.send(_make_order('w3'))
            await curio.sleep(3 * _orders.HELD_CHECK_INTERVAL_S)
            self.assertEqual(['w1', 'w2', 'w3'], self.driver.workers)
            await self.order_task.send(_make_order('w4'))
            self.assertEqual('w4', self.driver.workers[-1])

        self._run(scenario)

    def test_held_orders_are_reported_once_a_second(self):
        async def scenario():
            await self._lead_and_sleep()
            with self.assertLogs(_orders.__name__, 'INFO') as logged:
                for worker in ('w1', 'w2'):
                    await self.order_task.send(_make_order(worker))
                for _ in range(2):
                    self.now_ms += _orders.REPORT_INTERVAL_MS
                    await curio.sleep(3 * _orders.HELD_CHECK_INTERVAL_S)
            self.assertEqual(
                [('orders_held', 2, 1000), ('orders_held', 2, 2000)],
                [
                    (record.msg, record.count, record.waited_ms)
                    for record in logged.records
                ],
            )

        self._run(scenario)

    def test_a_leader_that_slept_and_was_replaced_drops_its_orders(self):
        async def scenario():
            dropped_before = _count_dropped()
            await self._lead_and_sleep()
            for worker in ('w1', 'w2'):
                await self.order_task.send(_make_order(worker))
            with self.assertLogs(_orders.__name__, 'INFO') as logged:
                await self._step_replica('follower', TERM, 0)
            self.assertEqual([], self.driver.workers)
            self.assertEqual(2, _count_dropped() - dropped_before)
            self.assertEqual(1, len(logged.records))

        self._run(scenario)

    def test_orders_of_an_earlier_term_are_not_sent_in_a_later_one(self):
        async def scenario():
            await self._lead_and_sleep()
            await self.order_task.send(_make_order('w1'))
            await self._step_replica('leader', TERM + 2, self.now_ms + 500)
            await self.order_task.send(_make_order('w2'))
            await self.order_task.send(_make_order('w3', TERM + 2))
            await curio.sleep(3 * _orders.HELD_CHECK_INTERVAL_S)
            self.assertEqual(['w3'], self.driver.workers)

        self._run(scenario)

    def test_a_suspension_that_the_clock_omits_ends_the_confirmation(self):
        async def scenario():
            await self._step_replica('leader', TERM, self.now_ms + 500)
            await self.order_task.send(_make_order('w1'))
            self.suspended_ms += 60_000
            await self.order_task.send(_make_order('w2'))
            # Rounds sent before the suspension was noticed do not count.
            await self._step_replica(
                'leader', TERM, self.now_ms + ELECTION_MIN_MS
            )
            self.assertEqual(['w1'], self.driver.workers)
            self.now_ms += 1
            await self._step_replica(
                'leader', TERM, self.now_ms + ELECTION_MIN_MS
            )
            self.assertEqual(['w1', 'w2'], self.driver.workers)

        self._run(scenario)


class DaemonOrderTest(unittest.TestCase):
    def test_only_orders_of_the_term_led_reach_the_driver(self):
        driver = _Driver()
        original_step = _service.Service.step
        orders = []

        def step_and_order(service, event, now_ms):
            effects = original_step(service, event, now_ms)
            if isinstance(event, agreement.RoleChanged) and event.ready:
                orders.append(_make_order('w-lost', event.term - 1))
                orders.append(_make_order('w-led', event.term))
            elif isinstance(event, _events.Tick):
                effects += [_events.OrderWorker(order) for order in orders]
                orders.clear()
            return effects

        with mock.patch.object(_service.Service, 'step', step_and_order):
            curio.run(curio.timeout_after, 90, self._run_daemon, driver)
        self.assertEqual(['w-led'], driver.workers)

    async def _run_daemon(self, driver):
        """Runs a control daemon until its driver has got an order."""
        with tempfile.TemporaryDirectory() as folder:
            control_groups.ControlGroup(folder, ('c1',))
            cfg = settings.load(
                os.path.join(folder, 'c1.ini'),
                _settings.SECTIONS + daemon.COMMON_SECTIONS,
            )
            control_daemon = _daemon.ControlDaemon(cfg, driver=driver)
            await control_daemon.start()
            task = await curio.spawn(control_daemon.serve, curio.Event())

            async def has_sent_order():
                return 'w-led' in driver.workers

            await waiting.wait_for(has_sent_order, 'an order')
            await task.cancel()


if __name__ == '__main__':
    unittest.main()
