"""Election, commit, restart and catch-up in a simulated cluster."""

import unittest

from fuchsiatrestle import agreement
from fuchsiatrestle import messages
from tests.agreement import cluster


class ClusterTest(unittest.TestCase):
    """Runs without random faults."""

    def setUp(self):
        self.cluster = cluster.Cluster(('c1', 'c2', 'c3'), seed=1)
        self.cluster.run(5_000)

    def propose(self, command_count):
        """Proposes commands to the leader and settles after each one."""
        for _ in range(command_count):
            self.cluster.propose(self.cluster.leader)
            self.cluster.settle()

    def test_group_is_founded_and_agrees(self):
        self.propose(30)
        self.assertEqual(30, len(self.cluster.acknowledged_index_by_token))
        self.cluster.require_recovered()

    def test_restart_after_compaction(self):
        self.propose(30)
        for name in self.cluster.node_names:
            self.cluster.compact(name)
        for name in self.cluster.node_names:
            self.cluster.kill(name)
        self.cluster.require_recovered()

    def test_follower_far_behind_installs_the_snapshot(self):
        lagging_name = [
            n for n in self.cluster.node_names if n != self.cluster.leader
        ][0]
        self.cluster.kill(lagging_name)
        self.propose(30)
        self.cluster.compact(self.cluster.leader)
        self.cluster.start(lagging_name)
        self.cluster.run(2_000)
        node = self.cluster.nodes[lagging_name]
        self.assertGreater(node.replica.log.base_index, 10)
        self.cluster.require_recovered()

    def test_new_leader_after_the_old_one_is_lost(self):
        self.propose(3)
        self.cluster.kill(self.cluster.leader)
        self.cluster.run(3_000)
        self.propose(3)
        self.assertEqual(6, len(self.cluster.acknowledged_index_by_token))
        self.cluster.require_recovered()


class UnlistedTest(unittest.TestCase):
    """A replica that is no initial member joins, leads and admits others.

    Hellos go to the initial members only, so another leader learns of a new
    identity only from a follower that forwards its hello.
    """

    def setUp(self):
        cfg = cluster.small_config()
        cfg.auto_admit_unlisted = True
        self.cluster = cluster.Cluster(
            ('c1', 'c2', 'c3', 'c4'), 1, cfg, ('c1', 'c2', 'c3')
        )
        self.assertTrue(self._run_until_voters(4))

    def _run_until_voters(self, voter_count):
        """Runs until the voters are the present identities of some nodes.

        Args:
            voter_count: number of these nodes.

        Returns:
            True if that was reached within 20 s of virtual time.
        """

        def has_all_voters():
            leader = self.cluster.leader
            if not leader:
                return False
            replica = self.cluster.nodes[leader].replica
            names = {voter.split('#')[0] for voter in replica.voters.voters}
            present_identities = {
                self.cluster.nodes[name].replica.identity for name in names
            }
            return len(names) == voter_count and present_identities == set(
                replica.voters.voters
            )

        return self.cluster.run_until(has_all_voters, 20_000)

    def _make_leader(self, name):
        leader = self.cluster.nodes[self.cluster.leader].replica
        timeout_now = messages.TimeoutNow(
            leader.group, leader.term, leader.identity
        )
        self.cluster.step(
            name, agreement.MessageReceived(leader.identity, timeout_now)
        )
        self.cluster.run(1_000)
        self.assertEqual(name, self.cluster.leader)

    def test_unlisted_leader_admits_a_lost_disk(self):
        self._make_leader('c4')
        self.cluster.kill('c2')
        self.cluster.replace_disk('c2')
        self.cluster.start('c2')
        self.assertTrue(self._run_until_voters(4))
        self.assertEqual('c4', self.cluster.leader)


if __name__ == '__main__':
    unittest.main()
