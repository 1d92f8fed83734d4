"""Random runs in which replicas are replaced by others with other names.

Replacements are mixed with crashes, pauses, cuts, lost disks, lost power of
all replicas and changes of the initial members in the settings.  No more
replicas are lost at once than the group has to bear.  A replica is lost until
``CATCH_UP_MS`` after it is back, a replaced one until this time after the
start of its successor.
"""

import random

from fuchsiatrestle import agreement
from tests.agreement import cluster

__all__ = ('CATCH_UP_MS', 'ReplacementRun', 'make_config')

# The users' bounds, where one loss and where two have to be borne.
CATCH_UP_MS = {1: 4000, 2: 6000}
REPLICA_COUNTS = {1: (3, 4), 2: (5, 6)}
SEED_COUNT = 3
FOUNDING_MS = 6000
STEP_MS = 50
SUCCESSOR_DELAY_RANGE_MS = (0, 3000)
OUTAGE_RANGE_MS = (200, 6000)
FAULTS = ('replace', 'replace', 'freeze', 'kill', 'cut', 'erase', 'slow')
# Longest wait for a command to be committed once nothing more happens.
RECOVERY_MS = 12_000


def make_config(tolerated_losses):
    """Returns a configuration of replicas that admit unlisted ones."""
    cfg = cluster.small_config()
    cfg.auto_admit_unlisted = True
    cfg.tolerated_losses = tolerated_losses
    return cfg


class ReplacementRun:
    """One run; ``run`` raises ``ClusterInvariantBreach`` at a breach.

    Args:
        seed: seed of all random choices.
        fault_count: number of faults.

    Attributes:
        group: the ``cluster.Cluster``.
        events: texts with the time and what was done.
    """

    def __init__(self, seed, fault_count=12):
        self._rng = random.Random(f'replacement/{seed}')
        self._fault_count = fault_count
        self._tolerated = self._rng.choice((1, 2))
        count = self._rng.choice(REPLICA_COUNTS[self._tolerated])
        names = [f'c{number:03}' for number in range(count)]
        self._next_number = count
        self.group = cluster.Cluster(
            names, seed, make_config(self._tolerated), names[:SEED_COUNT]
        )
        # Time until which a replica counts as lost, by its name.
        self._lost_until_ms = {}
        # Names of replicas whose successors have started.
        self._replaced_names = set()
        # (time, action, arguments) to carry out later.
        self._scheduled = []
        self.events = []

    def run(self):
        """Carries out the faults and requires what is promised."""
        self.group.run(FOUNDING_MS)
        self.group.may_found = False
        for _ in range(self._fault_count):
            self._pass_time(self._rng.randint(0, 4000))
            self._inject_fault()
            if self._rng.random() < 0.1:
                self._lose_all_power()
        while self._scheduled:
            self._pass_time(STEP_MS)
        self._pass_time(CATCH_UP_MS[self._tolerated])
        self._require_voters_restored()
        self.group.require_recovered()

    # Time

    def _pass_time(self, duration_ms):
        group = self.group
        end_ms = group.now_ms + duration_ms
        while group.now_ms < end_ms:
            self._carry_out_scheduled()
            if group.leader and self._rng.random() < 0.3:
                group.propose(group.leader)
            if self._rng.random() < 0.02:
                group.compact(self._rng.choice(group.node_names))
            group.run(STEP_MS)

    def _carry_out_scheduled(self):
        due = [
            item for item in self._scheduled if item[0] <= self.group.now_ms
        ]
        for item in sorted(due, key=lambda item: item[0]):
            self._scheduled.remove(item)
            item[1](*item[2:])

    def _schedule(self, delay_ms, action, *args):
        self._scheduled.append((self.group.now_ms + delay_ms, action, *args))

    # Faults

    def _log(self, *words):
        text = ' '.join(map(str, words))
        self.events.append(f'{self.group.now_ms} {text}')

    def _count_lost(self):
        now_ms = self.group.now_ms
        return sum(
            until_ms is None or until_ms > now_ms
            for until_ms in self._lost_until_ms.values()
        )

    def _is_lost(self, name):
        until_ms = self._lost_until_ms.get(name, 0)
        return until_ms is None or until_ms > self.group.now_ms

    def _inject_fault(self):
        while self._count_lost() >= self._tolerated:
            self._pass_time(STEP_MS)
        candidates = [
            name
            for name in self.group.node_names
            if not self._is_lost(name) and name not in self._replaced_names
        ]
        name = self._rng.choice(candidates)
        if self.group.leader in candidates and self._rng.random() < 0.4:
            name = self.group.leader
        self._lost_until_ms[name] = None
        getattr(self, '_' + self._rng.choice(FAULTS))(name)

    def _back(self, name):
        """Ends the loss of a replica, which has to catch up."""
        self._lost_until_ms[name] = (
            self.group.now_ms + CATCH_UP_MS[self._tolerated]
        )

    def _replace(self, name):
        delay_ms = self._rng.randint(*SUCCESSOR_DELAY_RANGE_MS)
        successor = f'c{self._next_number:03}'
        if self._rng.random() < 0.5:
            # Names are addresses, which need not ascend.
            successor = f'b{self._next_number:03}'
        self._next_number += 1
        if self._rng.random() < 0.4:
            self._log('add', successor, 'for', name)
            self._add(successor, name)
            self._schedule(delay_ms, self._stop_for_good, name)
            return
        self._log('remove', name)
        self.group.remove_node(name)
        self._schedule(delay_ms, self._add, successor, name)

    def _add(self, successor, name):
        self._log('start', successor)
        self._change_seeds(successor)
        self.group.add_node(successor)
        self._lost_until_ms.pop(name)
        self._replaced_names.add(name)
        self._back(successor)

    def _stop_for_good(self, name):
        """Stops a replica as planned and removes it a little later."""
        self._log('stop', name)
        if name in self.group.nodes:
            self.group.nodes[name].stopping = True
            self.group.step(name, agreement.PrepareStop())
            self._schedule(300, self._remove_stopped, name)

    def _remove_stopped(self, name):
        if name in self.group.nodes:
            self.group.remove_node(name)

    def _change_seeds(self, successor):
        names = [*self.group.node_names, successor]
        self.group.initial_names = self._rng.sample(
            names, min(SEED_COUNT, len(names))
        )
        for name in self.group.node_names:
            self.group.step(
                name, agreement.SetInitialMembers(self.group.initial_names)
            )

    def _end_later(self, action, name):
        self._schedule(self._rng.randint(*OUTAGE_RANGE_MS), action, name)

    def _freeze(self, name):
        self._log('freeze', name)
        self.group.freeze(name)
        self._end_later(self._resume, name)

    def _resume(self, name):
        self._log('resume', name)
        if self.group.nodes[name].frozen:
            self.group.resume(name)
        self._back(name)

    def _kill(self, name):
        self._log('kill', name)
        self.group.kill(name)
        self._end_later(self._start, name)

    def _erase(self, name):
        self._log('erase', name)
        self.group.replace_disk(name)
        self._end_later(self._start, name)

    def _start(self, name):
        self._log('start', name)
        if not self.group.nodes[name].is_up:
            self.group.start(name)
        self._back(name)

    def _cut(self, name):
        self._log('cut', name)
        for other in self.group.node_names:
            if other != name:
                self.group.cut_links |= {(name, other), (other, name)}
        self._end_later(self._join, name)

    def _join(self, name):
        self._log('join', name)
        self.group.cut_links = {
            link for link in self.group.cut_links if name not in link
        }
        self._back(name)

    def _slow(self, name):
        self._log('slow disk', name)
        self.group.nodes[name].slow_disk = True
        self._end_later(self._speed_up, name)

    def _speed_up(self, name):
        self._log('fast disk', name)
        self.group.nodes[name].slow_disk = False
        self._back(name)

    def _lose_all_power(self):
        self._log('all lose power')
        names = [
            name
            for name in self.group.node_names
            if self.group.nodes[name].is_up
        ]
        for name in names:
            self.group.kill(name)
        self._pass_time(self._rng.randint(100, 2000))
        for name in names:
            if name in self.group.nodes and not self.group.nodes[name].is_up:
                self.group.start(name)

    # Checks

    def _require_voters_restored(self):
        group = self.group
        if not group.run_until(lambda: group.leader, RECOVERY_MS):
            raise cluster.ClusterInvariantBreach('no leader is left')
        voters = group.nodes[group.leader].replica.voters
        up_identities = {
            node.replica.identity for node in group.nodes.values()
        }
        live_voters = up_identities.intersection(voters.voters)
        spare_count = len(live_voters) - voters.quorum_size
        if spare_count < self._tolerated:
            raise cluster.ClusterInvariantBreach(
                f'{len(live_voters)} of {len(voters.voters)} voters are left'
            )
        missing = up_identities.difference(voters.voters)
        if missing:
            raise cluster.ClusterInvariantBreach(f'no voters: {missing}')
