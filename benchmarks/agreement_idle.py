"""Messages, bytes and processor time of an idle group, by role.

The replicas run in virtual time over disks in memory.  Bytes are those of the
encoded messages, without the link's framing; processor time is that of the
replica's steps alone::

    python -m benchmarks.agreement_idle
"""

import time

from absl import app
from absl import flags

from fuchsiatrestle import agreement
from fuchsiatrestle import messages
from tests.agreement import cluster

FLAGS = flags.FLAGS

flags.DEFINE_integer('replicas', 3, 'Replicas of the group.')
flags.DEFINE_integer('seconds', 600, 'Virtual time measured, in seconds.')

SETTLE_MS = 5_000


class _CountingCluster(cluster.Cluster):
    """A cluster that counts the messages, bytes and step time of each node.

    Attributes:
        sent_message_counts: number of messages sent, by node.
        sent_byte_counts: bytes of these messages, by node.
        step_cpu_s_by_node: processor time of the replica's steps, by node.
    """

    def __init__(self, names):
        self.sent_message_counts = dict.fromkeys(names, 0)
        self.sent_byte_counts = dict.fromkeys(names, 0)
        self.step_cpu_s_by_node = dict.fromkeys(names, 0.0)
        super().__init__(names, cfg=agreement.ReplicaConfig())

    def step(self, name, event):
        """Passes an event to a replica and adds its processor time."""
        started_s = time.process_time()
        super().step(name, event)
        self.step_cpu_s_by_node[name] += time.process_time() - started_s

    def _on_sendtopeer(self, node, effect):
        self.sent_message_counts[node.name] += 1
        self.sent_byte_counts[node.name] += len(
            messages.CODEC.encode(effect.message)
        )
        super()._on_sendtopeer(node, effect)


def main(argv):
    """Prints one line for each replica."""
    names = tuple(f'c{number + 1}' for number in range(FLAGS.replicas))
    group = _CountingCluster(names)
    group.run(SETTLE_MS)
    for totals_by_node in (
        group.sent_message_counts,
        group.sent_byte_counts,
        group.step_cpu_s_by_node,
    ):
        totals_by_node.update(dict.fromkeys(names, 0))
    group.run(FLAGS.seconds * 1000)
    for name in names:
        role = group.nodes[name].replica.role.name
        core_percent = group.step_cpu_s_by_node[name] / FLAGS.seconds * 100
        print(
            f'{name} {role}: '
            f'{group.sent_message_counts[name] / FLAGS.seconds:.1f} '
            f'messages/s, '
            f'{group.sent_byte_counts[name] / FLAGS.seconds:.0f} bytes/s '
            f'sent, {core_percent:.3f}% of a core in steps'
        )


if __name__ == '__main__':
    app.run(main)
