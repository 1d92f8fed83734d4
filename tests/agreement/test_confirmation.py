"""Tests of the time until which a leader knows that no other one leads."""

import unittest

from tests.agreement import cluster

NAMES = ('c1', 'c2', 'c3')


class ConfirmationTest(unittest.TestCase):
    def setUp(self):
        self._make_group(seed=1)

    def _make_group(self, seed):
        self.group = cluster.Cluster(NAMES, seed=seed)
        self.group.run(5_000)
        self.leader = self.group.leader
        self.replica = self.group.nodes[self.leader].replica
        self.election_min_ms = self.group.cfg.election_min_ms

    def _follower_names(self):
        return [name for name in NAMES if name != self.leader]

    def _cut_off_leader(self):
        for follower in self._follower_names():
            self.group.cut_links.add((self.leader, follower))
            self.group.cut_links.add((follower, self.leader))

    def test_a_leader_that_is_heard_stays_confirmed(self):
        for _ in range(40):
            self.group.run(cluster.TICK_MS)
            remaining_ms = (
                self.replica.leadership_confirmed_until_ms - self.group.now_ms
            )
            self.assertGreaterEqual(
                remaining_ms,
                self.election_min_ms - self.group.cfg.heartbeat_ms,
            )
            self.assertLessEqual(remaining_ms, self.election_min_ms)

    def test_one_silent_follower_does_not_end_the_confirmation(self):
        self.group.freeze(self._follower_names()[0])
        self.group.run(3 * self.election_min_ms)
        self.assertGreater(
            self.replica.leadership_confirmed_until_ms, self.group.now_ms
        )

    def test_silent_followers_do_not_prolong_the_confirmation(self):
        confirmed_until_ms = self.replica.leadership_confirmed_until_ms
        self._cut_off_leader()
        while self.group.now_ms < confirmed_until_ms:
            self.assertEqual(
                confirmed_until_ms, self.replica.leadership_confirmed_until_ms
            )
            self.group.run(cluster.TICK_MS)
        self.group.run(cluster.TICK_MS)
        self.assertEqual('follower', self.replica.role.name)
        self.assertEqual(0, self.replica.leadership_confirmed_until_ms)

    def test_a_leader_that_asks_another_to_lead_is_not_confirmed(self):
        self._cut_off_leader()
        self.group.transfer_leadership(self.leader)
        self.assertEqual('leader', self.replica.role.name)
        self.assertEqual(0, self.replica.leadership_confirmed_until_ms)

    def test_a_leader_without_a_successor_to_ask_stays_confirmed(self):
        """No voter has the whole log, so none is told to lead."""
        self._cut_off_leader()
        self.group.propose(self.leader)
        self.group.transfer_leadership(self.leader)
        self.assertGreater(
            self.replica.leadership_confirmed_until_ms, self.group.now_ms
        )

    def test_votes_do_not_confirm_a_new_leader(self):
        self._cut_off_leader()
        new_leader = self._run_until_elected()
        self.assertEqual(0, new_leader.leadership_confirmed_until_ms)
        self.group.settle()
        self.assertGreater(
            new_leader.leadership_confirmed_until_ms, self.group.now_ms
        )

    def _run_until_elected(self):
        """Returns a follower's ``Replica`` as soon as it has won."""
        followers = self._follower_names()
        for _ in range(200):
            self.group.advance(cluster.TICK_MS)
            for name in followers:
                self.group.tick(name)
            for _ in range(50):
                self.group.deliver(0)
                for name in followers:
                    replica = self.group.nodes[name].replica
                    if replica.role.name == 'leader':
                        return replica
                    self.group.run_storage(name)
        raise AssertionError('no leader')

    def test_followers_are_never_confirmed(self):
        for follower in self._follower_names():
            replica = self.group.nodes[follower].replica
            self.assertEqual(0, replica.leadership_confirmed_until_ms)

    def test_no_other_leader_is_elected_before_the_confirmation_ends(self):
        for seed in range(1, 31):
            with self.subTest(seed=seed):
                self._make_group(seed)
                confirmed_until_ms = self.replica.leadership_confirmed_until_ms
                self.group.freeze(self.leader)
                self.assertTrue(
                    self.group.run_until(lambda: self.group.leader, 20_000)
                )
                self.assertGreaterEqual(self.group.now_ms, confirmed_until_ms)

    def test_restarted_voter_elects_no_other_leader_before_it_ends(self):
        """One follower hears only the other one, which restarts."""
        for seed in range(1, 31):
            with self.subTest(seed=seed):
                self._make_group(seed)
                restarted, candidate = self._follower_names()
                for link in (
                    (self.leader, candidate),
                    (candidate, self.leader),
                ):
                    self.group.cut_links.add(link)
                self.group.run(2 * self.group.cfg.election_max_ms)
                self.assertEqual(self.leader, self.group.leader)
                confirmed_until_ms = self.replica.leadership_confirmed_until_ms
                self.group.freeze(self.leader)
                self.group.kill(restarted)
                self.group.start(restarted)
                self.assertTrue(
                    self.group.run_until(lambda: self.group.leader, 20_000)
                )
                self.assertGreaterEqual(self.group.now_ms, confirmed_until_ms)

    def test_a_transfer_that_nobody_can_take_does_not_end_it_for_good(self):
        for name in NAMES:
            self.group.nodes[name].slow_disk = True
        for _ in range(self.group.cfg.max_uncommitted_entries // 2 + 1):
            self.group.propose(self.leader)
        confirmed_count = 0
        for _ in range(100):
            self.group.run(100)
            confirmed_count += (
                self.replica.leadership_confirmed_until_ms > self.group.now_ms
            )
        self.assertEqual('leader', self.replica.role.name)
        self.assertGreater(confirmed_count, 0)


if __name__ == '__main__':
    unittest.main()
