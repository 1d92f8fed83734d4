"""Replicas that elect, agree, restart and catch up."""

import unittest

from tests.agreement import cluster


class ClusterTest(unittest.TestCase):
    """Runs without chance."""

    def setUp(self):
        self.cluster = cluster.Cluster(('c1', 'c2', 'c3'), seed=1)
        self.cluster.run(5_000)

    def propose(self, count):
        """Proposes at the leader and lets the group agree."""
        for _ in range(count):
            self.cluster.propose(self.cluster.leader)
            self.cluster.settle()

    def test_group_is_founded_and_agrees(self):
        self.propose(30)
        self.assertEqual(30, len(self.cluster.acknowledged))
        self.cluster.require_whole()

    def test_restart_after_compaction(self):
        self.propose(30)
        for name in self.cluster.names:
            self.cluster.compact(name)
        for name in self.cluster.names:
            self.cluster.kill(name)
        self.cluster.require_whole()

    def test_follower_far_behind_installs_the_snapshot(self):
        behind = [n for n in self.cluster.names if n != self.cluster.leader][0]
        self.cluster.kill(behind)
        self.propose(30)
        self.cluster.compact(self.cluster.leader)
        self.cluster.start(behind)
        self.cluster.run(2_000)
        node = self.cluster.nodes[behind]
        self.assertGreater(node.replica.log.base_index, 10)
        self.cluster.require_whole()

    def test_new_leader_after_the_old_one_is_lost(self):
        self.propose(3)
        self.cluster.kill(self.cluster.leader)
        self.cluster.run(3_000)
        self.propose(3)
        self.assertEqual(6, len(self.cluster.acknowledged))
        self.cluster.require_whole()


if __name__ == '__main__':
    unittest.main()
