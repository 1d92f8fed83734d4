"""Replacement of replicas that are gone for good by others of other names."""

import unittest
from unittest import mock

from fuchsiatrestle import agreement
from fuchsiatrestle.agreement import _dispatch
from fuchsiatrestle.agreement import _replacement
from fuchsiatrestle import messages
from tests.agreement import cluster
from tests.agreement import replacement_runs

CATCH_UP_MS = replacement_runs.CATCH_UP_MS[1]
SUCCESSOR_DELAY_MS = 2000
# Longer than a voter has to be silent for a newcomer to take its place.
PAUSE_MS = 5000
RANDOM_SEEDS = range(24)
# Seeds that failed before newcomers were agreed, the first one before a
# follower told the leader of its planned stop.
FAILED_SEEDS = (33, 104, 115, 253)


# The leader that admits a newcomer is cut off before the entry is committed.
ROLLED_BACK_SEED = 200026
# A voter stops as planned while no leader is known, after a loss of power.
STOPPING_SEEDS = (910269, 910586, 911001)


class ReplacementTest(unittest.TestCase):
    def _start_group(self, names, initial_count=3, tolerated_losses=1, seed=1):
        group = cluster.Cluster(
            names,
            seed,
            replacement_runs.make_config(tolerated_losses),
            names[:initial_count],
        )
        group.run(6_000)
        self.assertTrue(group.leader)
        group.may_found = False
        return group

    def _add_node(self, group, name):
        """Adds a node whose settings name members of today."""
        group.initial_names = group.node_names[-3:]
        group.add_node(name)

    def _voters(self, group):
        self.assertTrue(group.run_until(lambda: group.leader, 3_000))
        return group.nodes[group.leader].replica.voters

    def _voter_names(self, group):
        return {
            agreement.process_name_of(voter)
            for voter in self._voters(group).voters
        }

    def _check_bears_losses(self, group, loss_count):
        """Requires commits while some voters, the leader among them, are down.

        They are started again afterwards.
        """
        lost_names = sorted(
            self._voter_names(group), key=lambda name: name != group.leader
        )[:loss_count]
        for name in lost_names:
            group.kill(name)
        self.assertTrue(group.commit_command(attempts=3))
        for name in lost_names:
            group.start(name)
        group.run(3_000)

    # Replacements

    def test_replicas_replaced_one_after_the_other_keep_the_quorum(self):
        group = self._start_group(['c1', 'c2', 'c3'])
        for number in range(4, 10):
            gone = group.leader if number % 2 else group.node_names[-1]
            group.remove_node(gone)
            group.run(SUCCESSOR_DELAY_MS)
            self._add_node(group, f'c{number}')
            group.run(CATCH_UP_MS)
            self._check_bears_losses(group, 1)
        group.require_recovered()

    def test_planned_replacements_keep_the_quorum(self):
        group = self._start_group(['c1', 'c2', 'c3'])
        for number in range(4, 10):
            gone = group.leader if number % 2 else group.node_names[0]
            self._add_node(group, f'c{number}')
            group.run(SUCCESSOR_DELAY_MS)
            group.nodes[gone].stopping = True
            group.step(gone, agreement.PrepareStop())
            group.run(300)
            group.remove_node(gone)
            group.run(CATCH_UP_MS - SUCCESSOR_DELAY_MS - 300)
            self._check_bears_losses(group, 1)
        self.assertEqual(3, len(self._voters(group).voters))
        group.require_recovered()

    def test_two_replicas_replaced_at_once_are_made_up_for(self):
        names = [f'c{number}' for number in range(1, 7)]
        group = self._start_group(names, tolerated_losses=2)
        for number in (7, 9):
            for gone in (group.leader, *group.node_names):
                if gone in group.nodes:
                    group.remove_node(gone)
                if len(group.nodes) == 4:
                    break
            group.run(SUCCESSOR_DELAY_MS)
            self._add_node(group, f'c{number}')
            self._add_node(group, f'c{number + 1}')
            group.run(replacement_runs.CATCH_UP_MS[2])
            self._check_bears_losses(group, 2)
        group.require_recovered()

    def test_voter_that_stops_while_no_leader_is_known_is_replaced(self):
        for seed in range(10):
            group = self._start_group(['c1', 'c2', 'c3'], seed=seed)
            names = group.node_names[:]
            for name in names:
                group.kill(name)
            self._add_node(group, 'c4')
            group.run(500)
            for name in names:
                group.start(name)
            group.step('c2', agreement.PrepareStop())
            group.run(300)
            group.remove_node('c2')
            group.run_until(lambda: group.leader, 3_000)
            group.run(800)
            with self.subTest(seed=seed):
                self.assertEqual({'c1', 'c3', 'c4'}, self._voter_names(group))

    def test_stop_is_remembered_until_its_newcomer_is_caught_up(self):
        for seed in range(10):
            group = self._start_group(['c1', 'c2', 'c3'], seed=seed)
            gone = next(
                name for name in group.node_names if name != group.leader
            )
            group.step(gone, agreement.PrepareStop())
            group.run(100)
            group.remove_node(gone)
            self._add_node(group, 'c4')
            group.run(700)
            with self.subTest(seed=seed):
                self.assertNotIn(gone, self._voter_names(group))

    def test_voter_that_was_started_again_is_not_taken_for_stopping(self):
        for seed in range(10):
            group = self._start_group(['c1', 'c2', 'c3'], seed=seed)
            voters = self._voters(group).voters
            name = next(
                name for name in group.node_names if name != group.leader
            )
            group.step(name, agreement.PrepareStop())
            group.run(100)
            group.kill(name)
            group.run(900)
            group.start(name)
            group.run(400)
            self._add_node(group, 'c4')
            group.run(1000)
            with self.subTest(seed=seed):
                kept = self._voters(group).voters
                self.assertEqual(set(voters), set(kept) & set(voters))
                self.assertIn('c4', self._voter_names(group))

    def test_newcomer_that_leads_takes_the_place_of_a_gone_voter(self):
        for seed in range(10):
            group = self._start_group(['c1', 'c2', 'c3'], seed=seed)
            gone = next(
                name for name in group.node_names if name != group.leader
            )
            self._add_node(group, 'c4')
            group.run(SUCCESSOR_DELAY_MS)
            leader = group.nodes[group.leader].replica
            request = messages.TimeoutNow(
                leader.group, leader.term, leader.identity
            )
            group.step('c4', agreement.MessageReceived('', request))
            group.run(200)
            self.assertEqual('c4', group.leader)
            group.remove_node(gone)
            group.run(CATCH_UP_MS)
            with self.subTest(seed=seed):
                self.assertNotIn(gone, self._voter_names(group))

    # Replicas that are not gone

    def test_paused_or_cut_off_voter_is_kept(self):
        for count in (3, 4, 6):
            with self.subTest(count=count):
                names = [f'c{number}' for number in range(1, count + 1)]
                group = self._start_group(
                    names, tolerated_losses=(count - 1) // 2
                )
                # Nobody is a newcomer any more.
                group.run(15_000)
                voters = set(self._voters(group).voters)
                for paused in (group.leader, group.node_names[0]):
                    group.freeze(paused)
                    group.run(PAUSE_MS)
                    group.resume(paused)
                    group.run(3_000)
                    self.assertEqual(voters, set(self._voters(group).voters))

    def test_voter_paused_beside_a_replacement_is_a_voter_again(self):
        names = [f'c{number}' for number in range(1, 7)]
        group = self._start_group(names, tolerated_losses=2)
        group.run(15_000)
        group.freeze('c2')
        group.run(1_000)
        group.remove_node('c3')
        group.add_node('c7')
        group.run(PAUSE_MS)
        group.resume('c2')
        group.run(replacement_runs.CATCH_UP_MS[2])
        self.assertIn('c2', self._voter_names(group))
        self.assertNotIn('c3', self._voter_names(group))
        self._check_bears_losses(group, 2)

    # Replicas that were replaced

    def _replace_paused_voter(self):
        """Returns a group in which a newcomer has replaced a paused voter."""
        group = self._start_group(['c1', 'c2', 'c3'])
        paused = group.leader
        identity = group.nodes[paused].replica.identity
        group.freeze(paused)
        group.run(SUCCESSOR_DELAY_MS)
        group.add_node('c4')
        group.run(CATCH_UP_MS)
        self.assertNotIn(identity, self._voters(group).voters)
        return group, paused, identity

    def test_replaced_replica_that_wakes_joins_with_a_new_identity(self):
        group, paused, identity = self._replace_paused_voter()
        group.resume(paused)
        group.run(CATCH_UP_MS)
        self.assertNotEqual(identity, group.nodes[paused].replica.identity)
        self.assertIn(paused, self._voter_names(group))
        self.assertNotIn(identity, self._voters(group).members)

    def test_replaced_replica_gets_no_vote_and_orders_nothing(self):
        group, paused, identity = self._replace_paused_voter()
        leader, replica = group.leader, group.nodes[paused].replica
        with mock.patch.object(
            cluster.Cluster, '_on_identityreplaced', lambda *args: None
        ):
            group.resume(paused)
            for _ in range(100):
                group.run(100)
                self.assertNotEqual('leader', replica.role.name)
                self.assertEqual(0, replica.leadership_confirmed_until_ms)
        self.assertEqual(leader, group.leader)

    def test_restarted_replica_learns_of_its_removal_from_new_members(self):
        """All members that it knows are gone; its settings name the new."""
        group, paused, _ = self._replace_paused_voter()
        group.kill(paused)
        for number in (5, 6):
            group.remove_node(group.node_names[group.node_names[0] == paused])
            group.run(SUCCESSOR_DELAY_MS)
            self._add_node(group, f'c{number}')
            group.run(CATCH_UP_MS)
        group.initial_names = ['c4', 'c5', 'c6']
        group.start(paused)
        group.run(CATCH_UP_MS)
        self.assertIn(paused, self._voter_names(group))

    def test_member_removed_by_an_operator_does_not_join_again(self):
        group = self._start_group(['c1', 'c2', 'c3', 'c4'])
        removed = next(
            name for name in group.node_names if name != group.leader
        )
        identity = group.nodes[removed].replica.identity
        group.kill(removed)
        group.run(1_000)
        group.change_voters(group.leader, 'remove', identity)
        group.run(1_000)
        group.start(removed)
        group.run(15_000)
        self.assertEqual(identity, group.nodes[removed].replica.identity)
        self.assertNotIn(removed, self._voter_names(group))

    # Founding

    def test_new_seeds_without_data_do_not_found_a_second_group(self):
        group = self._start_group(['c1', 'c2', 'c3'])
        founded = group.nodes['c1'].replica.group
        for name in ('c1', 'c2', 'c3'):
            group.freeze(name)
        group.initial_names = ['c4', 'c5', 'c6']
        for name in group.initial_names:
            group.add_node(name)
        group.run(10_000)
        for name in group.initial_names:
            self.assertEqual('', group.nodes[name].replica.group)
        group.initial_names = ['c1', 'c4', 'c5']
        for name in ('c1', 'c2', 'c3'):
            group.resume(name)
        for name in ('c4', 'c5', 'c6'):
            group.kill(name)
            group.start(name)
        group.run(10_000)
        for node in group.nodes.values():
            self.assertEqual(founded, node.replica.group)

    def test_newcomer_whose_seeds_are_gone_joins_once_it_has_new_ones(self):
        group = self._start_group(['c1', 'c2', 'c3'])
        group.initial_names = ['c8', 'c9', 'c4']
        group.add_node('c4')
        group.run(CATCH_UP_MS)
        self.assertNotIn('c4', self._voter_names(group))
        group.step('c4', agreement.SetInitialMembers(['c2', 'c4']))
        group.run(CATCH_UP_MS)
        self.assertIn('c4', self._voter_names(group))

    # Random runs

    def test_random_replacements_with_other_faults(self):
        for seed in (*RANDOM_SEEDS, *FAILED_SEEDS):
            with self.subTest(seed=seed):
                replacement_runs.ReplacementRun(seed).run()

    def test_newcomer_whose_admission_was_rolled_back_joins(self):
        replacement_runs.ReplacementRun(ROLLED_BACK_SEED).run()

    def test_random_planned_stops_without_a_leader(self):
        for seed in STOPPING_SEEDS:
            with self.subTest(seed=seed):
                replacement_runs.ReplacementRun(seed).run()

    def test_newcomer_that_alone_holds_its_admission_joins(self):
        for seed in range(10):
            group = self._start_group(['c1', 'c2', 'c3'], seed=seed)
            leader = group.leader
            for name in group.node_names:
                if name != leader:
                    group.cut_links |= {(name, leader), (leader, name)}
            group.initial_names = [leader]
            group.add_node('c4')
            replica = group.nodes['c4'].replica
            group.run_until(lambda: replica.voters.learners, 1000)
            self.assertFalse(replica.voters_committed)
            group.cut_links |= {('c4', leader), (leader, 'c4')}
            group.run(3000)
            group.cut_links.clear()
            group.run(CATCH_UP_MS)
            with self.subTest(seed=seed):
                self.assertIn('c4', self._voter_names(group))

    def test_replica_that_lost_its_disk_and_its_seeds_joins_again(self):
        """The leader's heartbeats reach it, so it can ask the leader."""
        group = self._start_group(['c1', 'c2', 'c3'])
        group.remove_node('c1')
        group.run(SUCCESSOR_DELAY_MS)
        self._add_node(group, 'c4')
        group.run(CATCH_UP_MS)
        group.kill('c2')
        group.replace_disk('c2')
        group.initial_names = ['c1', 'c2']
        group.start('c2')
        group.run(CATCH_UP_MS)
        self._check_bears_losses(group, 1)

    def test_random_runs_find_each_missing_mechanism(self):
        for owner, attribute, replacement in (
            (
                _replacement.VoterReplacement,
                'find_gone_voter',
                lambda self: ('', ''),
            ),
            (
                _dispatch.Dispatcher,
                '_tell_removed_member',
                lambda self, identity: False,
            ),
        ):
            with (
                self.subTest(attribute=attribute),
                mock.patch.object(owner, attribute, replacement),
                self.assertRaises(cluster.ClusterInvariantBreach),
            ):
                for seed in RANDOM_SEEDS:
                    replacement_runs.ReplacementRun(seed).run()


if __name__ == '__main__':
    unittest.main()
