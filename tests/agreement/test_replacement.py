"""Replacement of replicas that are gone for good by others with other names."""

import unittest

from fuchsiatrestle import agreement
from tests.agreement import cluster

# Time until a replaced replica is made up for, from the start of its
# successor; the users' bound is 4 s where one loss has to be borne.
CATCH_UP_MS = 4000
SUCCESSOR_DELAY_MS = 2000


def _make_config():
    cfg = cluster.small_config()
    cfg.auto_admit_unlisted = True
    return cfg


class ReplacementTest(unittest.TestCase):
    def _start_group(self, names, initial_count=3, seed=1):
        group = cluster.Cluster(
            names, seed, _make_config(), names[:initial_count]
        )
        group.run(6_000)
        self.assertTrue(group.leader)
        return group

    def _voter_names(self, group):
        voters = group.nodes[group.leader].replica.voters.voters
        return {agreement.process_name_of(voter) for voter in voters}

    def _check_bears_losses(self, group, loss_count):
        """Requires commits while some voters, the leader among them, are down.

        They are started again afterwards.
        """
        self.assertTrue(group.run_until(lambda: group.leader, 3_000))
        lost_names = [group.leader]
        for name in sorted(self._voter_names(group)):
            if name in group.nodes and name not in lost_names:
                lost_names.append(name)
        for name in lost_names[:loss_count]:
            group.kill(name)
        self.assertTrue(group.commit_command(attempts=3))
        for name in lost_names[:loss_count]:
            group.start(name)
        group.run(3_000)

    def test_replicas_replaced_one_after_the_other_keep_the_quorum(self):
        group = self._start_group(['c1', 'c2', 'c3'])
        for number in range(4, 10):
            gone = group.leader if number % 2 else group.node_names[-1]
            group.remove_node(gone)
            group.run(SUCCESSOR_DELAY_MS)
            group.add_node(f'c{number}')
            group.run(CATCH_UP_MS)
            self.assertTrue(group.leader, f'no leader after {number}')
            self._check_bears_losses(group, 1)
        group.require_recovered()


if __name__ == '__main__':
    unittest.main()
