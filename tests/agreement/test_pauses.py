"""Voters that are only paused keep their places."""

import unittest

import msgspec

from fuchsiatrestle import agreement
from fuchsiatrestle.agreement import _voters
from fuchsiatrestle import messages
from tests.agreement import cluster
from tests.agreement import pause_runs
from tests.agreement import replacement_runs

RANDOM_SEEDS = range(40)
PAUSE_MS = 3000
NAMES = ['c1', 'c2', 'c3']


class PauseTest(unittest.TestCase):
    def test_paused_voter_is_never_removed_where_no_vm_has_joined(self):
        for seed in RANDOM_SEEDS:
            with self.subTest(seed=seed):
                pause_runs.PauseRun(seed).run()

    def _start_group_with_newcomer(self, seed):
        """Returns a group to which one VM was added, and its first leader."""
        group = cluster.Cluster(
            NAMES, seed, replacement_runs.make_config(1), NAMES
        )
        self.assertTrue(group.run_until(lambda: group.leader, 6000))
        group.may_found = False
        group.add_node('c4')
        group.run(1000)
        self.assertIn('c4#', ''.join(self._voters(group).newcomers))
        return group

    def _voters(self, group):
        self.assertTrue(group.run_until(lambda: group.leader, 3000))
        return group.nodes[group.leader].replica.voters

    def _change_leader(self, group):
        group.transfer_leadership(group.leader)
        group.run(500)

    def test_newcomer_of_old_looks_no_newer_after_elections(self):
        for seed in range(20):
            group = self._start_group_with_newcomer(seed)
            settled_ms = group.now_ms + 11_000
            while group.now_ms < settled_ms:
                group.run(1000)
                group.compact(group.leader)
                self._change_leader(group)
            voters = set(self._voters(group).voters)
            group.freeze(group.leader)
            group.run(PAUSE_MS)
            with self.subTest(seed=seed):
                self.assertEqual(voters, set(self._voters(group).voters))

    def test_newcomer_of_old_looks_no_newer_after_loss_of_power(self):
        for seed in range(20):
            group = self._start_group_with_newcomer(seed)
            for _ in range(8):
                group.run(2500)
                for name in group.node_names:
                    group.kill(name)
                for name in group.node_names:
                    group.start(name)
            voters = set(self._voters(group).voters)
            group.run(1000)
            group.freeze(group.leader)
            group.run(PAUSE_MS)
            with self.subTest(seed=seed):
                self.assertEqual(voters, set(self._voters(group).voters))

    def test_newcomer_stands_for_one_voter_after_a_change_of_leader(self):
        for seed in range(20):
            group = cluster.Cluster(
                [f'c{number}' for number in range(5)],
                seed,
                replacement_runs.make_config(2),
            )
            self.assertTrue(group.run_until(lambda: group.leader, 6000))
            group.may_found = False
            followers = sorted(set(group.node_names) - {group.leader})
            group.add_node('d1')
            group.run(1000)
            group.remove_node(followers[0])
            group.run(2500)
            self._change_leader(group)
            paused = next(
                name for name in followers[1:] if name != group.leader
            )
            group.freeze(paused)
            group.run(PAUSE_MS)
            with self.subTest(seed=seed):
                names = map(
                    agreement.process_name_of, self._voters(group).removed
                )
                self.assertEqual([followers[0]], list(names))

    def test_voter_heard_before_its_removal_is_committed_stays(self):
        for seed in range(10):
            group = cluster.Cluster(
                NAMES, seed, replacement_runs.make_config(1)
            )
            self.assertTrue(group.run_until(lambda: group.leader, 6000))
            group.may_found = False
            leader = group.leader
            paused = next(name for name in NAMES if name != leader)
            identity = group.nodes[paused].replica.identity
            replica = group.nodes[leader].replica
            group.add_node('c4')
            group.run(1000)
            group.freeze(paused)
            group.run_until(
                lambda: replica.role.get_silent_ms(identity) >= 1400, 2000
            )
            for node in group.nodes.values():
                node.slow_disk = True
            self.assertTrue(
                group.run_until(lambda: replica.voters.removed, PAUSE_MS)
            )
            self.assertFalse(replica.voters_committed)
            group.resume(paused)
            group.run(300)
            for node in group.nodes.values():
                node.slow_disk = False
            group.run(1000)
            with self.subTest(seed=seed):
                voters = self._voters(group)
                self.assertIn(identity, voters.voters)
                self.assertEqual([], voters.removed)
                self.assertIn('c4#', ''.join(voters.newcomers))
                self.assertLess(2000, max(voters.newcomer_ages_ms.values()))
            group.require_recovered()


class NewcomerTest(unittest.TestCase):
    def test_replica_that_came_with_the_group_is_no_newcomer(self):
        voters = _voters.Voters('g', ['c1#1']).with_learner('c2#1', True)
        self.assertEqual([], voters.newcomers)
        self.assertEqual(['c3#1'], voters.with_learner('c3#1').newcomers)

    def test_replaced_replica_that_came_with_the_group_is_newcomer(self):
        voters = _voters.Voters('g', ['c1#1', 'c2#1'])
        voters = voters.without_replaced_member('c2#1')
        self.assertEqual(['c2#2'], voters.with_learner('c2#2', True).newcomers)

    def test_record_of_the_old_build_is_read(self):
        fields = [[], [], [], ['c2#1']]
        old_data = msgspec.msgpack.encode(
            ['V', 'g', ['c1#1', 'c2#1'], *fields]
        )
        voters = _voters.decode_voters(old_data)
        self.assertEqual({}, voters.newcomer_ages_ms)
        self.assertEqual(['c2#1'], voters.newcomers)

    def test_history_knows_newcomers_after_snapshot_and_truncation(self):
        aged = _voters.Voters('g', ['c1#1', 'c2#1'], newcomers=['c2#1'])
        aged = aged.with_newcomer_ages({'c2#1': 1000}, 6000)
        history = _voters.VoterHistory(7, aged, 100_000)
        self.assertEqual({'c2#1': 95_000}, history.joined_ms_by_newcomer)
        settled = aged.without_newcomer('c2#1')
        data = _voters.encode_voters(settled)
        history.append(messages.Entry(8, 1, 'voters', data), 103_000)
        history.truncate(8)
        history.append(
            messages.Entry(8, 2, 'voters', _voters.encode_voters(aged)),
            104_000,
        )
        self.assertEqual({'c2#1': 95_000}, history.joined_ms_by_newcomer)


if __name__ == '__main__':
    unittest.main()
