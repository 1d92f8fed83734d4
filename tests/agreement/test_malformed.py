"""Messages with any field values, as a faulty peer may send them.

A replica either ignores such a message or ends on purpose, with an
``InvariantBreach`` that names the condition.  Any other exception would be a
fault of its own.
"""

import random
import unittest

from fuchsiatrestle import agreement
from fuchsiatrestle import errors
from fuchsiatrestle import messages
from tests.agreement import cluster

MESSAGE_COUNT = 4000
NAMES = ('c1', 'c2', 'c3')
NUMBERS = (0, 1, 2, 3, 5, 9, 1000, 2**40, -1)


class MalformedMessageTest(unittest.TestCase):
    def setUp(self):
        self.rng = random.Random(7)

    def _draw_text(self, group):
        identities = [node.replica.identity for node in group.nodes.values()]
        own_group = group.nodes['c1'].replica.group
        return self.rng.choice(
            [*identities, own_group, '', '#', 'c9', 'c9#1', 'cell1/x']
        )

    def _draw_value(self, group, field, annotation):
        replica = group.nodes['c1'].replica
        if field == 'group' and self.rng.random() < 0.9:
            return replica.group
        if field == 'term' and self.rng.random() < 0.6:
            return replica.term
        if field == 'cell':
            return cluster.CELL
        if annotation is str:
            return self._draw_text(group)
        if annotation is int:
            return self.rng.choice(NUMBERS)
        if annotation is bool:
            return self.rng.random() < 0.5
        if annotation is bytes:
            return self.rng.choice((b'', b'\xff', b'x' * 70))
        return [
            messages.Entry(
                self.rng.choice(NUMBERS),
                self.rng.choice(NUMBERS),
                self.rng.choice(('command', 'voters', 'noop', '')),
                self.rng.choice((b'', b'\xff')),
            )
            for _ in range(self.rng.randint(0, 3))
        ]

    def _draw_message(self, group):
        record_class = self.rng.choice(
            (
                messages.AppendReply,
                messages.AppendRequest,
                messages.Hello,
                messages.InstallReply,
                messages.InstallRequest,
                messages.MemberRemoved,
                messages.StopNotice,
                messages.TimeoutNow,
                messages.VoteReply,
                messages.VoteRequest,
            )
        )
        return record_class(
            *(
                self._draw_value(group, field, annotation)
                for field, annotation in record_class.__annotations__.items()
            )
        )

    def _make_group(self, seed):
        group = cluster.Cluster(NAMES, seed)
        group.run(3_000)
        return group

    def test_no_message_ends_a_replica_by_an_unexpected_error(self):
        seed = 1
        group = self._make_group(seed)
        for _ in range(MESSAGE_COUNT):
            message = self._draw_message(group)
            name = self.rng.choice(NAMES)
            try:
                group.step(name, agreement.MessageReceived('c2', message))
                group.run(cluster.TICK_MS)
            except (errors.InvariantBreach, cluster.ClusterInvariantBreach):
                # It ended on purpose, or believed a lie of a member.
                seed += 1
                group = self._make_group(seed)

    def test_append_with_a_malformed_voter_set_changes_nothing(self):
        for data in (b'', b'\xff', b'\x01'):
            with self.subTest(data=data):
                group = self._make_group(1)
                leader = group.nodes[group.leader].replica
                follower = next(name for name in NAMES if name != group.leader)
                log = group.nodes[follower].replica.log
                last_index = log.last_index
                entry = messages.Entry(
                    last_index + 1, leader.term, 'voters', data
                )
                request = messages.AppendRequest(
                    leader.group,
                    leader.term,
                    leader.identity,
                    last_index,
                    log.term_at(last_index),
                    0,
                    0,
                    [entry],
                )
                group.step(follower, agreement.MessageReceived('c2', request))
                self.assertEqual(last_index, log.last_index)
                self.assertTrue(group.commit_command(attempts=1))
                group.require_recovered()


if __name__ == '__main__':
    unittest.main()
