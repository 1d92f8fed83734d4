"""Control daemons in processes: killed, frozen, cut off, repaired."""

import tempfile
import unittest

import curio

from fuchsiatrestle import ctl
from fuchsiatrestle.state import outcomes
from fuchsiatrestle.state import queries
from standins import _processes
from standins import relay
from tests.control import _operator
from tests.fakes import control_groups
from tests.fakes import waiting

NAMES = ('c1', 'c2', 'c3')
LEASE_S = 2.1
RELAY_TIMEOUT_S = 5.0


class FaultTest(unittest.TestCase):
    def _group(self, names=NAMES, **options):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        group = control_groups.ControlGroup(folder.name, names, **options)
        self.addCleanup(group.kill)
        group.start()
        return group

    def _assert_stops(self, group):
        statuses = group.stop()
        self.assertEqual({0}, set(statuses.values()), statuses)
        for name in group.processes:
            self.assertNotIn('invariant', group.log(name))

    def test_leader_killed_while_operators_race(self):
        group = self._group()

        async def race(operator, rounds):
            while len(operator.outcomes) < rounds:
                base = (await operator.status()).config_version
                value = {'teams': {operator.name: {'cpu_milli': 1}}}
                value['teams'][operator.name]['memory_mib'] = base
                await operator.patch(value, base)

        async def work():
            async with (
                _operator.Operator(group, 'e1') as first,
                _operator.Operator(group, 'e2') as second,
            ):
                await first.status()
                async with curio.TaskGroup() as tasks:
                    await tasks.spawn(race, first, 60)
                    await tasks.spawn(race, second, 60)
                    for _ in range(2):
                        await curio.sleep(0.3)
                        leader = (await first.status()).leader
                        group.processes[leader].kill()
                        await curio.sleep(1.5)
                        group.processes[leader].start()
                await self._assert_one_outcome_each(first, second)

        _operator.run(work)
        self._assert_stops(group)

    async def _assert_one_outcome_each(self, *operators):
        history = await operators[0].ask(queries.GetConfigHistory(1000))
        by_version = {one.version: one.patch_id for one in history.versions}
        for operator in operators:
            for patch_id, (_, outcome) in operator.outcomes.items():
                accepted = isinstance(outcome, outcomes.ConfigAccepted)
                if accepted:
                    self.assertEqual(patch_id, by_version[outcome.version])
                else:
                    self.assertNotIn(patch_id, by_version.values())
            await operator.verify_outcomes(self)

    def test_leader_frozen_longer_than_every_lease(self):
        group = self._group()

        async def work():
            async with _operator.Operator(group) as operator:
                await operator.admit()
                await operator.patch_many(3)
                old = (await operator.status()).leader
                group.processes[old].freeze()
                await operator.wait_for_status(
                    lambda view: view.leader != old, 'another leader'
                )
                version = await operator.patch_many(5)
                await curio.sleep(2 * LEASE_S)
                self.assertTrue(operator.entry.is_held())
                group.processes[old].resume()
                view = await operator.wait_for_status(
                    lambda view: view.everywhere, 'in force everywhere'
                )
                self.assertEqual(version, view.config_version)
                await operator.verify_outcomes(self)

        _operator.run(work)
        self._assert_stops(group)

    def test_replica_cut_off_returns_after_many_changes(self):
        relayed = _Relayed(self)

        async def work():
            relayed.start()
            group = relayed.group
            async with _operator.Operator(group) as operator:
                await operator.admit()
                relayed.set_mode(relay.CUT)
                await operator.wait_for_status(
                    lambda view: view.leader != 'c3', 'another leader'
                )
                version = await operator.patch_many(120)
                relayed.set_mode(relay.PASS)
                # The replica counts again: the group lives with it alone.
                await _wait_until_synced(operator, 'c3')
                group.processes['c2'].kill()
                version = await operator.patch_many(3)
                view = await operator.status()
                self.assertEqual(version, view.config_version)
                await operator.verify_outcomes(self)

        _operator.run(work)
        self._assert_stops(relayed.group)

    def test_lost_disk_then_second_loss_right_after_repair(self):
        group = self._group(snapshot_entries=50)

        async def work():
            async with _operator.Operator(group) as operator:
                await operator.admit()
                await operator.patch_many(120)
                group.processes['c2'].kill()
                group.erase('c2')
                await operator.patch_many(5)
                group.processes['c2'].start()
                await _wait_until_synced(operator, 'c2')
                group.processes['c1'].kill()
                group.erase('c1')
                version = await operator.patch_many(5)
                view = await operator.status()
                self.assertEqual(version, view.config_version)
                await operator.verify_outcomes(self)
                group.processes['c1'].start()
                await _wait_until_synced(operator, 'c1')

        _operator.run(work)
        self._assert_stops(group)

    def test_restart_after_500_changes(self):
        group = self._group(snapshot_entries=200)

        async def work(count):
            async with _operator.Operator(group) as operator:
                version = await operator.patch_many(count)
                kept = await operator.ask(queries.GetConfig())
                await operator.verify_outcomes(self)
                return version, kept.document

        version, document = _operator.run(work, 500)
        self.assertEqual(501, version)
        self._assert_stops(group)
        group.start()
        again, kept = _operator.run(work, 0)
        self.assertEqual((version, document), (again, kept))
        self._assert_stops(group)

    def test_rolling_restart_loses_no_lease(self):
        group = self._group()

        async def work():
            async with _operator.Operator(group) as operator:
                await operator.admit()
                await waiting.wait_for(operator.is_held, 'lease')
                for name in NAMES:
                    process = group.processes[name]
                    process.ask_to_stop()
                    await operator.patch_many(5)
                    status = await curio.run_in_thread(process.wait)
                    self.assertEqual(0, status)
                    process.start()
                    await waiting.wait_for(
                        lambda: _has_started(group, name), f'{name} started'
                    )
                    await _wait_until_synced(operator, name)
                self.assertEqual([], operator.entry.lost)
                await operator.verify_outcomes(self)

        _operator.run(work)
        self._assert_stops(group)

    def test_member_added_and_removed(self):
        group = self._group()

        async def work():
            async with _operator.Operator(group) as operator:
                await operator.patch_many(3)
                group.add('c4', (*NAMES, 'c4'), {})
                group.processes['c4'].start()
                view = await operator.change_member('add', 'c4')
                learners = [
                    one.name for one in view.members if one.role == 'learner'
                ]
                self.assertEqual(['c4'], learners)
                await _wait_until_synced(operator, 'c4')
                await operator.change_member('remove', 'c1')
                view = await operator.wait_for_status(
                    lambda view: 'c1' not in view.voters, 'c1 removed'
                )
                self.assertEqual(['c2', 'c3', 'c4'], sorted(view.voters))
                group.processes['c1'].kill()
                await operator.patch_many(3)
                await operator.verify_outcomes(self)

        group.addresses['c4'] = control_groups.free_address()
        _operator.run(work)
        self._assert_stops(group)


class _Relayed:
    """A group whose replica c3 is reached through relays only."""

    def __init__(self, test):
        folder = tempfile.TemporaryDirectory()
        test.addCleanup(folder.cleanup)
        inward = control_groups.free_address()
        outward = {name: control_groups.free_address() for name in NAMES[:2]}
        reached_at = {
            'c1': {'c3': inward},
            'c2': {'c3': inward},
            'c3': outward,
        }
        self.group = control_groups.ControlGroup(
            folder.name, NAMES, reached_at=reached_at
        )
        test.addCleanup(self.group.kill)
        real = self.group.addresses
        pairs = {'c3': (inward, real['c3'])}
        pairs.update((one, (outward[one], real[one])) for one in outward)
        self._control = control_groups.free_address()
        flags = [f'--control={self._control}']
        flags += [f'--pair={one}={a}>{b}' for one, (a, b) in pairs.items()]
        self._relay = _processes.Process(
            'relay', 'standins.relay', flags, folder.name
        )
        test.addCleanup(self._relay.kill)

    def start(self):
        """Starts the relay, then the replicas."""
        self._relay.start()
        self.group.start()

    def set_mode(self, mode):
        """Changes what happens to every stream of c3."""
        client = ctl.AdminClient([self._control], RELAY_TIMEOUT_S)
        for name in NAMES:
            body = {'target': name, 'mode': mode}
            reply = client.call('POST', '/standin/relay', value=body)
            assert reply.ok, reply.value


async def _has_started(group, name):
    """True once the latest process of a replica is at work."""
    started = group.log(name).count('event=started')
    return started == group.processes[name].starts


async def _wait_until_synced(operator, name):
    """Waits until a replica votes and holds all that is committed."""

    async def check():
        view = await operator.members()
        for member in view.members if view else ():
            if member.name == name and member.role == 'voter':
                return member.match >= view.commit and member.heard_ms < 600
        return False

    await waiting.wait_for(check, f'{name} synced')


if __name__ == '__main__':
    unittest.main()
