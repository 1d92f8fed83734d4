"""Messages, bytes and processor time of an idle group, by role.

The replicas run in virtual time over disks in memory; bytes are those of the
encoded messages, without the link's framing; processor time is that of the
core's steps alone::

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
    """Adds up what each node sends and the time its steps take."""

    def __init__(self, names):
        self.sent = dict.fromkeys(names, 0)
        self.bytes = dict.fromkeys(names, 0)
        self.spent_s = dict.fromkeys(names, 0.0)
        super().__init__(names, cfg=agreement.ReplicaConfig())

    def step(self, name, event):
        """Feeds an event and adds up the time."""
        started = time.process_time()
        super().step(name, event)
        self.spent_s[name] += time.process_time() - started

    def _on_send(self, node, effect):
        self.sent[node.name] += 1
        self.bytes[node.name] += len(messages.CODEC.encode(effect.message))
        super()._on_send(node, effect)


def main(argv):
    """Prints one line a replica."""
    names = tuple(f'c{number + 1}' for number in range(FLAGS.replicas))
    group = _CountingCluster(names)
    group.run(SETTLE_MS)
    for totals in (group.sent, group.bytes, group.spent_s):
        totals.update(dict.fromkeys(names, 0))
    group.run(FLAGS.seconds * 1000)
    for name in names:
        role = group.nodes[name].replica.role.name
        share = group.spent_s[name] / FLAGS.seconds * 100
        print(
            f'{name} {role}: {group.sent[name] / FLAGS.seconds:.1f} '
            f'messages/s, {group.bytes[name] / FLAGS.seconds:.0f} bytes/s '
            f'sent, {share:.3f}% of a core in steps'
        )


if __name__ == '__main__':
    app.run(main)
