"""Random runs in which voters are only paused, and no VM is replaced.

Pauses of up to as many voters as the group has to bear are mixed with short
restarts, hand-overs and snapshots.
"""

import random

from tests.agreement import cluster
from tests.agreement import replacement_runs

__all__ = ('PauseRun',)

# Replicas by the number of losses that they have to bear.
REPLICA_COUNTS = {1: 3, 2: 5}
PAUSE_RANGE_MS = (500, 30_000)
RESTART_RANGE_MS = (100, 1000)
GAP_RANGE_MS = (0, 4000)
STEP_MS = 50
ACTS = ('pause', 'pause', 'pause', 'restart', 'hand_over')
FOUNDING_MS = 10_000
RECOVERY_MS = 6000


class PauseRun:
    """One run; ``run`` raises ``ClusterInvariantBreach`` at a breach.

    Args:
        seed: seed of all random choices.
        act_count: number of pauses, restarts and hand-overs.

    Attributes:
        group: the ``cluster.Cluster``.
        events: texts with the time and what was done.
    """

    def __init__(self, seed, act_count=12):
        self._rng = random.Random(f'pauses/{seed}')
        self._act_count = act_count
        self._tolerated = self._rng.choice(list(REPLICA_COUNTS))
        count = REPLICA_COUNTS[self._tolerated]
        names = [f'c{number}' for number in range(count)]
        self.group = cluster.Cluster(
            names,
            seed,
            replacement_runs.make_config(self._tolerated),
            names[: self._rng.randint(1, count)],
        )
        # Time at which each paused or ended replica is back, by name.
        self._back_ms_by_name = {}
        self.events = []

    def run(self):
        """Carries out the acts; requires that all stay voters."""
        group = self.group
        if not group.run_until(self._is_complete, FOUNDING_MS):
            raise cluster.ClusterInvariantBreach('not founded')
        for _ in range(self._act_count):
            self._pass_time(self._rng.randint(*GAP_RANGE_MS))
            self._act()
        while self._back_ms_by_name:
            self._pass_time(STEP_MS)
        self._pass_time(RECOVERY_MS)
        if not group.leader or not self._is_complete():
            raise cluster.ClusterInvariantBreach('not all are voters')
        group.require_recovered()

    def _is_complete(self):
        group = self.group
        if not group.leader:
            return False
        voters = group.nodes[group.leader].replica.voters.voters
        return len(voters) == len(group.node_names)

    def _pass_time(self, duration_ms):
        group = self.group
        end_ms = group.now_ms + duration_ms
        while group.now_ms < end_ms:
            self._bring_back()
            if group.leader and self._rng.random() < 0.3:
                group.propose(group.leader)
            if self._rng.random() < 0.05:
                group.compact(self._rng.choice(group.node_names))
            group.run(STEP_MS)
            self._require_none_removed()

    def _bring_back(self):
        for name, back_ms in list(self._back_ms_by_name.items()):
            if back_ms > self.group.now_ms:
                continue
            del self._back_ms_by_name[name]
            self._log('back', name)
            if self.group.nodes[name].frozen:
                self.group.resume(name)
            else:
                self.group.start(name)

    def _require_none_removed(self):
        for name, node in self.group.nodes.items():
            if node.is_up and node.voters.removed:
                raise cluster.ClusterInvariantBreach(
                    f'{name}: {node.voters.removed} removed'
                )

    # Acts

    def _log(self, *words):
        text = ' '.join(map(str, words))
        self.events.append(f'{self.group.now_ms} {text}')

    def _act(self):
        while len(self._back_ms_by_name) >= self._tolerated:
            self._pass_time(STEP_MS)
        names = [
            name
            for name in self.group.node_names
            if name not in self._back_ms_by_name
        ]
        name = self._rng.choice(names)
        if self.group.leader and self._rng.random() < 0.4:
            name = self.group.leader
        act = self._rng.choice(ACTS)
        self._log(act, name)
        getattr(self, f'_{act}')(name)

    def _pause(self, name):
        self.group.freeze(name)
        self._bring_back_after(name, PAUSE_RANGE_MS)

    def _restart(self, name):
        self.group.kill(name)
        self._bring_back_after(name, RESTART_RANGE_MS)

    def _bring_back_after(self, name, range_ms):
        self._back_ms_by_name[name] = self.group.now_ms + self._rng.randint(
            *range_ms
        )

    def _hand_over(self, name):
        self.group.transfer_leadership(name)
