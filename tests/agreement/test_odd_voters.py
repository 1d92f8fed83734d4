"""An odd number of voters and a standby, where membership is open."""

import itertools
import unittest
from unittest import mock

from fuchsiatrestle import agreement
from fuchsiatrestle.agreement import _membership
from fuchsiatrestle.agreement import _voters
from tests.agreement import cluster
from tests.agreement import replacement_runs

FOUNDING_MS = 6000
# Longer than any newcomer may take the place of a silent voter.
SETTLED_MS = 15_000
# Longest pause after which a voter has to have kept its place.
PAUSE_MS = 6500
# Time of a split, below the lease of a worker.
SPLIT_MS = 4000
NAMES = {
    4: ['c1', 'c2', 'c3', 'c4'],
    6: ['c1', 'c2', 'c3', 'c4', 'c5', 'c6'],
}
TOLERATED_LOSSES = {4: 1, 6: 2}


class OddVotersTest(unittest.TestCase):
    def _start_group(self, count=6, initial_count=3, seed=1):
        group = cluster.Cluster(
            NAMES[count],
            seed,
            replacement_runs.make_config(TOLERATED_LOSSES[count]),
            NAMES[count][:initial_count],
        )
        group.run(FOUNDING_MS)
        self.assertTrue(group.leader)
        group.may_found = False
        return group

    def _voters(self, group):
        self.assertTrue(group.run_until(lambda: group.leader, 3000))
        return group.nodes[group.leader].replica.voters

    def _standby(self, group):
        """Returns the name of the only learner."""
        (learner,) = self._voters(group).learners
        return agreement.process_name_of(learner)

    def _check_voters(self, group, voter_count, standby_count):
        """Requires that all members are up, and their numbers."""
        voters = self._voters(group)
        up_identities = {
            node.replica.identity
            for node in group.nodes.values()
            if node.is_running
        }
        self.assertEqual(
            (voter_count, standby_count),
            (len(voters.voters), len(voters.learners)),
        )
        self.assertLessEqual(set(voters.members), up_identities)

    def _follower(self, group):
        """Returns the name of a voter that does not lead."""
        voters = self._voters(group).voters
        names = map(agreement.process_name_of, voters)
        return next(name for name in names if name != group.leader)

    def _split(self, group, side):
        """Cuts all links between one side and the others."""
        for name, other in itertools.permutations(group.node_names, 2):
            if (name in side) != (other in side):
                group.cut_links.add((name, other))

    # Founding

    def test_founders_and_joiners_become_odd_number_and_standby(self):
        for seed in range(10):
            for count in (4, 6):
                group = self._start_group(count, seed=seed)
                with self.subTest(seed=seed, count=count):
                    self._check_voters(group, count - 1, 1)
                    group.run(SETTLED_MS)
                    self._check_voters(group, count - 1, 1)
                    self.assertEqual([], self._voters(group).removed)

    def test_group_below_three_voters_promotes_any_learner(self):
        """Otherwise one disk alone would hold what was acknowledged."""
        group = cluster.Cluster(
            ['c1', 'c2'], 1, replacement_runs.make_config(0), ['c1']
        )
        group.run(FOUNDING_MS)
        self._check_voters(group, 2, 0)

    def test_even_number_of_an_older_build_is_kept(self):
        """No voter is demoted."""
        group = self._start_group(initial_count=6)
        group.run(SETTLED_MS)
        self._check_voters(group, 6, 0)

    def test_replacement_leads_from_even_number_to_standby(self):
        group = self._start_group(initial_count=6)
        group.remove_node(self._follower(group))
        group.run(2000)
        group.add_node('c7')
        group.run(replacement_runs.CATCH_UP_MS[2])
        self._check_voters(group, 5, 1)

    # Halves of the network

    def test_one_half_commits_whichever_replica_is_the_standby(self):
        """Six voters have no quorum in either half of three."""
        for seed, side in enumerate(itertools.combinations(NAMES[6], 3)):
            group = self._start_group(seed=seed)
            group.run(SETTLED_MS)
            identities = set(self._voters(group).members)
            self._split(group, side)
            group.run(SPLIT_MS)
            with self.subTest(seed=seed, side=side):
                standby_side = self._standby(group) in side
                self.assertEqual(not standby_side, group.leader in side)
                self.assertTrue(group.commit_command(attempts=1))
            group.cut_links.clear()
            group.run(3000)
            self.assertEqual(identities, set(self._voters(group).members))
            group.require_recovered()

    def test_even_voters_commit_in_neither_half(self):
        """The test above fails where all six are voters."""
        group = self._start_group(initial_count=6)
        self._split(group, NAMES[6][:3])
        group.run(SPLIT_MS)
        self.assertEqual('', group.leader)

    # Voters that are silent

    def test_paused_voter_keeps_its_place_though_a_standby_waits(self):
        for count in (4, 6):
            for is_leader in (False, True):
                group = self._start_group(count)
                group.run(SETTLED_MS)
                voters = set(self._voters(group).voters)
                name = group.leader if is_leader else self._follower(group)
                group.freeze(name)
                group.run(PAUSE_MS)
                group.resume(name)
                group.run(3000)
                with self.subTest(count=count, is_leader=is_leader):
                    self.assertEqual(voters, set(self._voters(group).voters))
                    self.assertEqual([], self._voters(group).removed)

    def test_standby_takes_the_place_of_a_lost_voter(self):
        for count in (4, 6):
            group = self._start_group(count)
            group.run(SETTLED_MS)
            standby = self._standby(group)
            group.remove_node(self._follower(group))
            group.run(9000)
            self.assertEqual(standby, self._standby(group))
            group.run(3000)
            with self.subTest(count=count):
                self._check_voters(group, count - 1, 0)

    def test_new_vm_becomes_standby_in_place_of_a_lost_voter(self):
        for seed in range(5):
            group = self._start_group(seed=seed)
            group.run(SETTLED_MS)
            group.remove_node(self._follower(group))
            group.run(2000)
            group.add_node('d1')
            group.run(3000)
            with self.subTest(seed=seed):
                self._check_voters(group, 5, 1)
                self.assertEqual('d1', self._standby(group))

    def test_leader_change_between_removal_and_promotion(self):
        for seed in range(5):
            group = self._start_group(seed=seed)
            group.run(SETTLED_MS)
            group.remove_node(self._follower(group))
            with mock.patch.object(
                _membership.MembershipChanger,
                '_promote_learners',
                lambda changer: False,
            ):
                group.run(2000)
                group.add_node('d1')
                group.run(3000)
                self._check_voters(group, 4, 2)
                group.remove_node(group.leader)
                self.assertTrue(group.run_until(lambda: group.leader, 5000))
            group.add_node('d2')
            group.run(replacement_runs.CATCH_UP_MS[2])
            with self.subTest(seed=seed):
                self._check_voters(group, 5, 1)

    def test_leader_change_between_two_promotions(self):
        """The group has four voters until the next leader goes on."""
        for seed in range(5):
            group = cluster.Cluster(
                NAMES[6],
                seed,
                replacement_runs.make_config(2),
                NAMES[6][:3],
            )
            self.assertTrue(
                group.run_until(
                    lambda group=group: any(
                        len(node.voters.voters) == 4
                        for node in group.nodes.values()
                    ),
                    FOUNDING_MS,
                )
            )
            leader = group.leader
            group.freeze(leader)
            group.run(3000)
            group.resume(leader)
            group.run(3000)
            with self.subTest(seed=seed):
                self._check_voters(group, 5, 1)

    # Lost disks, removals and planned stops

    def test_wiped_voter_is_replaced(self):
        for seed in range(5):
            group = self._start_group(seed=seed)
            group.run(SETTLED_MS)
            name = self._follower(group)
            group.replace_disk(name)
            group.start(name)
            group.run(3000)
            with self.subTest(seed=seed):
                self._check_voters(group, 5, 1)
                self.assertEqual(name, self._standby(group))
                self.assertEqual([], self._voters(group).newcomers)

    def test_wiped_standby_takes_no_place_of_a_paused_voter(self):
        """Its new identity is no newcomer, as it replaces its namesake."""
        group = self._start_group()
        group.run(SETTLED_MS)
        voters = set(self._voters(group).voters)
        standby = self._standby(group)
        group.replace_disk(standby)
        group.start(standby)
        group.run(2000)
        self.assertEqual(standby, self._standby(group))
        group.freeze(self._follower(group))
        group.run(PAUSE_MS)
        self.assertEqual(voters, set(self._voters(group).voters))

    def test_voter_that_operator_removed_is_replaced_by_standby(self):
        group = self._start_group()
        name = self._follower(group)
        identity = group.nodes[name].replica.identity
        group.change_voters(group.leader, 'remove', identity)
        group.run(2000)
        self._check_voters(group, 5, 0)
        self.assertNotIn(identity, self._voters(group).members)

    def test_standby_that_operator_removed_stays_out(self):
        group = self._start_group()
        name = self._standby(group)
        identity = group.nodes[name].replica.identity
        group.change_voters(group.leader, 'remove', identity)
        group.run(SETTLED_MS)
        self._check_voters(group, 5, 0)

    def test_planned_stop_after_its_successor_keeps_odd_number(self):
        """A successor that was promoted at once would leave six voters."""
        for count in (4, 6):
            for is_leader in (False, True):
                group = self._start_group(count)
                group.run(SETTLED_MS)
                name = group.leader if is_leader else self._follower(group)
                group.add_node('d1')
                group.run(3000)
                self._check_voters(group, count - 1, 2)
                group.nodes[name].stopping = True
                group.step(name, agreement.PrepareStop())
                group.run(300)
                group.remove_node(name)
                group.run(2000)
                with self.subTest(count=count, is_leader=is_leader):
                    self._check_voters(group, count - 1, 1)

    def test_added_vm_that_replaces_nobody_raises_the_number(self):
        group = self._start_group()
        group.run(SETTLED_MS)
        group.add_node('d1')
        group.run(SETTLED_MS)
        self._check_voters(group, 7, 0)

    # Standbys that are silent

    def test_silent_standby_is_not_counted(self):
        """Two joiners of which one is gone lead to no even number."""
        group = self._start_group()
        group.run(SETTLED_MS)
        group.freeze(self._standby(group))
        group.run(1000)
        group.add_node('d1')
        group.run(SETTLED_MS)
        self._check_voters(group, 5, 1)

    def test_new_vm_for_standby_takes_no_place_of_a_paused_voter(self):
        """The standby, silent for longer, is matched with the newcomer."""
        for seed in range(5):
            group = self._start_group(seed=seed)
            group.run(SETTLED_MS)
            voters = set(self._voters(group).voters)
            group.remove_node(self._standby(group))
            group.run(2000)
            group.add_node('d1')
            group.run(1000)
            group.freeze(self._follower(group))
            group.run(PAUSE_MS)
            with self.subTest(seed=seed):
                self.assertEqual(voters, set(self._voters(group).voters))
                self.assertEqual('d1', self._standby(group))

    def test_replacements_of_standby_and_voter_at_once(self):
        group = self._start_group()
        group.run(SETTLED_MS)
        group.remove_node(self._standby(group))
        group.remove_node(group.leader)
        group.run(2000)
        group.add_node('d1')
        group.add_node('d2')
        group.run(replacement_runs.CATCH_UP_MS[2])
        self._check_voters(group, 5, 1)


class RenewedLearnerTest(unittest.TestCase):
    def test_new_identity_of_a_newcomer_is_a_newcomer(self):
        """The VM that was to be replaced is still to be removed for it."""
        voters = _voters.Voters('g', ['c1#1']).with_learner('c2#1')
        voters = voters.with_renewed_learner('c2#2')
        self.assertEqual(['c2#2'], voters.learners)
        self.assertEqual(['c2#2'], voters.newcomers)
        self.assertEqual(['c2#1'], voters.removed)


if __name__ == '__main__':
    unittest.main()
