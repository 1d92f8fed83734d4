"""Tests of control processes that are killed, frozen, cut off or erased.

Agreed patches have to keep their outcome, and a lease must not be lost while a
quorum is running.
"""

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

REPLICA_NAMES = ('c1', 'c2', 'c3')
# A little longer than the configuration lease of an entry.
LEASE_EXPIRY_S = 2.1
RELAY_TIMEOUT_S = 5.0


class FaultTest(unittest.TestCase):
    def _start_group(self, names=REPLICA_NAMES, **options):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        group = control_groups.ControlGroup(folder.name, names, **options)
        self.addCleanup(group.kill)
        group.start()
        return group

    def _assert_clean_stop(self, group):
        statuses = group.stop()
        self.assertEqual({0}, set(statuses.values()), statuses)
        for name in group.processes:
            self.assertNotIn('invariant', group.read_log(name))

    def test_leader_killed_while_operators_race(self):
        group = self._start_group()

        async def submit_racing_patches(operator, patch_count):
            while len(operator.outcomes) < patch_count:
                base_version = (await operator.get_status()).config_version
                patch = {'teams': {operator.name: {'cpu_milli': 1}}}
                patch['teams'][operator.name]['memory_mib'] = base_version
                await operator.submit_patch(patch, base_version)

        async def run_scenario():
            async with (
                _operator.Operator(group, 'e1') as first_operator,
                _operator.Operator(group, 'e2') as second_operator,
            ):
                await first_operator.get_status()
                async with curio.TaskGroup() as tasks:
                    await tasks.spawn(
                        submit_racing_patches, first_operator, 60
                    )
                    await tasks.spawn(
                        submit_racing_patches, second_operator, 60
                    )
                    for _ in range(2):
                        await curio.sleep(0.3)
                        leader = (await first_operator.get_status()).leader
                        group.processes[leader].kill()
                        await curio.sleep(1.5)
                        group.processes[leader].start()
                await self._assert_one_outcome_each(
                    first_operator, second_operator
                )

        _operator.run(run_scenario)
        self._assert_clean_stop(group)

    async def _assert_one_outcome_each(self, *operators):
        history = await operators[0].query(queries.GetConfigHistory(1000))
        patch_ids_by_version = {
            config_version.version: config_version.patch_id
            for config_version in history.versions
        }
        for operator in operators:
            for patch_id, (_, outcome) in operator.outcomes.items():
                is_accepted = isinstance(outcome, outcomes.ConfigAccepted)
                if is_accepted:
                    self.assertEqual(
                        patch_id, patch_ids_by_version[outcome.version]
                    )
                else:
                    self.assertNotIn(patch_id, patch_ids_by_version.values())
            await operator.verify_outcomes(self)

    def test_leader_frozen_longer_than_every_lease(self):
        group = self._start_group()

        async def run_scenario():
            async with _operator.Operator(group) as operator:
                await operator.add_to_configuration()
                await operator.submit_patches(3)
                old_leader = (await operator.get_status()).leader
                group.processes[old_leader].freeze()
                await operator.wait_for_status(
                    lambda view: view.leader != old_leader, 'another leader'
                )
                version = await operator.submit_patches(5)
                await curio.sleep(2 * LEASE_EXPIRY_S)
                self.assertTrue(operator.entry.is_held())
                group.processes[old_leader].resume()
                view = await operator.wait_for_status(
                    lambda view: view.everywhere, 'in force everywhere'
                )
                self.assertEqual(version, view.config_version)
                await operator.verify_outcomes(self)

        _operator.run(run_scenario)
        self._assert_clean_stop(group)

    def test_replica_cut_off_returns_after_many_changes(self):
        relayed_group = _RelayedGroup(self)

        async def run_scenario():
            relayed_group.start()
            group = relayed_group.group
            async with _operator.Operator(group) as operator:
                await operator.add_to_configuration()
                relayed_group.set_mode(relay.CUT)
                await operator.wait_for_status(
                    lambda view: view.leader != 'c3', 'another leader'
                )
                version = await operator.submit_patches(120)
                relayed_group.set_mode(relay.PASS)
                # Without c2, the group has a quorum only if c3 has caught up.
                await _wait_until_synced(operator, 'c3')
                group.processes['c2'].kill()
                version = await operator.submit_patches(3)
                view = await operator.get_status()
                self.assertEqual(version, view.config_version)
                await operator.verify_outcomes(self)

        _operator.run(run_scenario)
        self._assert_clean_stop(relayed_group.group)

    def test_lost_disk_then_second_loss_right_after_repair(self):
        group = self._start_group(snapshot_entries=50)

        async def run_scenario():
            async with _operator.Operator(group) as operator:
                await operator.add_to_configuration()
                await operator.submit_patches(120)
                group.processes['c2'].kill()
                group.erase_data_folder('c2')
                await operator.submit_patches(5)
                group.processes['c2'].start()
                await _wait_until_synced(operator, 'c2')
                group.processes['c1'].kill()
                group.erase_data_folder('c1')
                version = await operator.submit_patches(5)
                view = await operator.get_status()
                self.assertEqual(version, view.config_version)
                await operator.verify_outcomes(self)
                group.processes['c1'].start()
                await _wait_until_synced(operator, 'c1')

        _operator.run(run_scenario)
        self._assert_clean_stop(group)

    def test_restart_after_500_changes(self):
        group = self._start_group(snapshot_entries=200)

        async def run_scenario(patch_count):
            async with _operator.Operator(group) as operator:
                version = await operator.submit_patches(patch_count)
                config = await operator.query(queries.GetConfig())
                await operator.verify_outcomes(self)
                return version, config.document

        version, document = _operator.run(run_scenario, 500)
        self.assertEqual(501, version)
        self._assert_clean_stop(group)
        group.start()
        restarted_version, restarted_document = _operator.run(run_scenario, 0)
        self.assertEqual(
            (version, document), (restarted_version, restarted_document)
        )
        self._assert_clean_stop(group)

    def test_rolling_restart_loses_no_lease(self):
        group = self._start_group()

        async def run_scenario():
            async with _operator.Operator(group) as operator:
                await operator.add_to_configuration()
                await waiting.wait_for(operator.has_lease, 'lease')
                for name in REPLICA_NAMES:
                    process = group.processes[name]
                    process.ask_to_stop()
                    await operator.submit_patches(5)
                    status = await curio.run_in_thread(process.wait)
                    self.assertEqual(0, status)
                    process.start()
                    await waiting.wait_for(
                        lambda: _has_started(group, name), f'{name} started'
                    )
                    await _wait_until_synced(operator, name)
                self.assertEqual([], operator.entry.lost)
                await operator.verify_outcomes(self)

        _operator.run(run_scenario)
        self._assert_clean_stop(group)

    def test_member_added_and_removed(self):
        group = self._start_group()

        async def run_scenario():
            async with _operator.Operator(group) as operator:
                await operator.submit_patches(3)
                group.add_replica('c4', (*REPLICA_NAMES, 'c4'), {})
                group.processes['c4'].start()
                view = await operator.change_member('add', 'c4')
                learners = [
                    member.name
                    for member in view.members
                    if member.role == 'learner'
                ]
                self.assertEqual(['c4'], learners)
                await _wait_until_synced(operator, 'c4')
                await operator.change_member('remove', 'c1')
                view = await operator.wait_for_status(
                    lambda view: 'c1' not in view.voters, 'c1 removed'
                )
                self.assertEqual(['c2', 'c3', 'c4'], sorted(view.voters))
                group.processes['c1'].kill()
                await operator.submit_patches(3)
                await operator.verify_outcomes(self)

        group.addresses['c4'] = control_groups.free_address()
        _operator.run(run_scenario)
        self._assert_clean_stop(group)


class _RelayedGroup:
    """A group whose replica c3 is connected to the others by relays only."""

    def __init__(self, test):
        folder = tempfile.TemporaryDirectory()
        test.addCleanup(folder.cleanup)
        inward_address = control_groups.free_address()
        outward_addresses = {
            name: control_groups.free_address() for name in REPLICA_NAMES[:2]
        }
        address_overrides = {
            'c1': {'c3': inward_address},
            'c2': {'c3': inward_address},
            'c3': outward_addresses,
        }
        self.group = control_groups.ControlGroup(
            folder.name, REPLICA_NAMES, address_overrides=address_overrides
        )
        test.addCleanup(self.group.kill)
        real_addresses = self.group.addresses
        relayed_pairs = {'c3': (inward_address, real_addresses['c3'])}
        relayed_pairs.update(
            (peer, (outward_addresses[peer], real_addresses[peer]))
            for peer in outward_addresses
        )
        self._relay_admin_address = control_groups.free_address()
        flags = [f'--control={self._relay_admin_address}']
        flags += [
            f'--pair={peer}={relay_address}>{real_address}'
            for peer, (relay_address, real_address) in relayed_pairs.items()
        ]
        self._relay = _processes.Process(
            'relay', 'standins.relay', flags, folder.name
        )
        test.addCleanup(self._relay.kill)

    def start(self):
        """Starts the relay, then the replicas."""
        self._relay.start()
        self.group.start()

    def set_mode(self, mode):
        """Sets what the relay does with every stream of c3."""
        client = ctl.AdminClient([self._relay_admin_address], RELAY_TIMEOUT_S)
        for name in REPLICA_NAMES:
            body = {'target': name, 'mode': mode}
            reply = client.call('POST', '/standin/relay', value=body)
            assert reply.ok, reply.value


async def _has_started(group, name):
    """True once the log has the start of the replica's latest process."""
    start_count = group.read_log(name).count('event=started')
    return start_count == group.processes[name].starts


async def _wait_until_synced(operator, name):
    """Waits until a replica is a voter and holds all committed entries."""

    async def is_synced():
        view = await operator.get_members()
        for member in view.members if view else ():
            if member.name == name and member.role == 'voter':
                return member.match >= view.commit and member.heard_ms < 600
        return False

    await waiting.wait_for(is_synced, f'{name} synced')


if __name__ == '__main__':
    unittest.main()
