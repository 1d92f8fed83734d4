"""Replicas with their disks and a network, stepped one event at a time.

Time, messages and storage move only when told; the invariants over all
replicas are checked after every step.
"""

import hashlib
import random

from fuchsiatrestle import agreement
from fuchsiatrestle import errors
from fuchsiatrestle import messages
from tests.agreement import fake_files

__all__ = ('Breach', 'Cluster', 'Node', 'small_config')

CELL = 'cell1'
TICK_MS = 50
MAX_IN_FLIGHT = 400


class Breach(AssertionError):
    """A condition over several replicas was found broken."""


def small_config():
    """Returns bounds small enough that short runs reach them."""
    return agreement.ReplicaConfig(
        max_append_entries=3,
        max_inflight=2,
        chunk_bytes=64,
        kept_entries=2,
        max_uncommitted=20,
    )


def _chain(state, data):
    return hashlib.blake2b(state + data, digest_size=16).digest()


class Node:
    """One VM: its disk, its process while it is up, its faults."""

    def __init__(self, name, rng):
        self.name = name
        self.rng = rng
        self.files = fake_files.FakeFiles(rng)
        self.folder = None
        self.replica = None
        self.frozen = False
        self.slow_disk = False
        self.state = b''
        self.applied = 0
        self.storage = []
        self.inbox = []
        self.waiting = {}
        self.captured = None
        self.voters = agreement.Voters('', [])

    @property
    def up(self):
        """True while the process exists."""
        return self.replica is not None

    @property
    def running(self):
        """True while the process makes progress."""
        return self.up and not self.frozen


class Cluster:
    """A few nodes, the messages between them and what was promised.

    Args:
        names: names of the nodes.
        seed: decides chance remnants on disk and election timeouts.
        cfg: ``ReplicaConfig`` of all nodes.
        listed: names that the settings list, by default all.
    """

    def __init__(self, names, seed=0, cfg=None, listed=None):
        self.rng = random.Random(seed)
        self.names = list(names)
        self.listed = list(listed or names)
        self.cfg = cfg or small_config()
        self.now_ms = 1000
        self.network = []
        self.cuts = set()
        self.leaders = {}
        self.committed = {}
        self.states = {0: b''}
        self.acknowledged = {}
        self.refused = set()
        self.read_floor = {}
        self.proposals = 0
        self.changes = 0
        self.lost = set()
        self.nodes = {name: Node(name, self.rng) for name in names}
        for name in names:
            self.start(name)

    # Processes and disks

    def start(self, name):
        """Starts a process on its disk; False if the disk refuses."""
        node = self.nodes[name]
        nonce = self.rng.getrandbits(64)
        try:
            node.folder = agreement.DataFolder.open(
                '/data', name, nonce, node.files
            )
        except errors.StorageFailed:
            return False
        except fake_files.Crash:
            node.files.crash()
            return False
        node.replica = agreement.Replica(
            CELL,
            node.folder.state,
            self.listed,
            self.cfg,
            seed=nonce,
            now_ms=self.now_ms,
        )
        self._load_state(node, node.folder.state.snapshot)
        return True

    def _load_state(self, node, snapshot):
        node.state = snapshot.data if snapshot else b''
        node.applied = snapshot.last_index if snapshot else 0
        self._check_state(node)

    def kill(self, name):
        """Ends the process and loses what was not synced."""
        node = self.nodes[name]
        node.folder = node.replica = None
        node.frozen = False
        node.storage = []
        node.inbox = []
        node.waiting = {}
        node.captured = None
        node.files.crash()

    def erase(self, name):
        """Ends the process and replaces its disk by an empty one."""
        node = self.nodes[name]
        if node.folder is not None:
            self.lost.add(node.folder.state.identity)
        self.kill(name)
        node.files = fake_files.FakeFiles(self.rng)

    # Events

    def step(self, name, event):
        """Feeds an event to a running replica and carries out effects."""
        node = self.nodes[name]
        if not node.running:
            return
        for effect in node.replica.step(event, self.now_ms):
            self._carry_out(node, effect)
        self._check_node(node)

    def tick(self, name):
        """Feeds a tick."""
        self.step(name, agreement.Tick())

    def advance(self, duration_ms):
        """Lets time pass for all nodes."""
        self.now_ms += duration_ms

    def store(self, name):
        """Lets the storage thread make all that waits durable."""
        node = self.nodes[name]
        if not node.running or not node.storage:
            return
        effects, node.storage = node.storage, []
        try:
            write_id = node.folder.carry_out(effects)
        except (fake_files.Crash, errors.StorageFailed):
            self.kill(name)
            return
        self.step(name, agreement.Synced(write_id))

    def deliver(self, position, keep=False):
        """Delivers one message in flight; ``keep`` doubles it."""
        if not self.network:
            return
        position %= len(self.network)
        packet = self.network[position]
        if not keep:
            del self.network[position]
        sender, peer, message = packet
        node = self.nodes.get(peer)
        if node is None or (sender, peer) in self.cuts:
            return
        if node.frozen:
            node.inbox.append(packet)
            return
        self.step(peer, agreement.Received(sender, message))

    def freeze(self, name):
        """Stops a process without ending it."""
        self.nodes[name].frozen = self.nodes[name].up

    def resume(self, name):
        """Lets a frozen process go on with what waits in its sockets."""
        node = self.nodes[name]
        node.frozen = False
        packets, node.inbox = node.inbox, []
        for sender, _, message in packets:
            self.step(name, agreement.Received(sender, message))

    def propose(self, name):
        """Proposes the next command at a node."""
        self.proposals += 1
        data = b'command-%d' % self.proposals
        self.step(name, agreement.Propose([(self.proposals, data)]))

    def read(self, name):
        """Asks for a read that must show all that was committed so far."""
        token = f'read-{len(self.read_floor)}'
        self.read_floor[token] = max(self.committed, default=0)
        self.step(name, agreement.ReadRequest(token))

    def capture(self, name):
        """Copies the applied state, for a snapshot to be made later."""
        node = self.nodes[name]
        if node.running:
            node.captured = (node.applied, node.state)

    def compact(self, name):
        """Saves a snapshot of captured state and compacts the log."""
        node = self.nodes[name]
        if not node.running:
            return
        applied, state = node.captured or (node.applied, node.state)
        node.captured = None
        snapshot = node.replica.make_snapshot(applied, state)
        if snapshot is None:
            return
        if node.storage:
            # The storage thread works in order.
            self.store(name)
            if not node.running:
                return
        try:
            node.folder.save_snapshot(snapshot)
        except (fake_files.Crash, errors.StorageFailed):
            self.kill(name)
            return
        self.step(name, agreement.Compact(snapshot))

    def change_voters(self, name, change, member):
        """Asks a node to change the set of voters."""
        self.changes += 1
        token = f'change-{self.changes}'
        event = agreement.ChangeVoters(token, change, member)
        self.step(name, event)

    def hand_over(self, name):
        """Asks a node to give leadership away."""
        self.step(name, agreement.HandOver())

    def may_lose(self, name):
        """True if every set of voters known still decides without it."""
        node = self.nodes[name]
        if not self.leader or not node.up:
            return False
        lost = self.lost | {node.replica.identity}
        for other in self.nodes.values():
            voters = other.voters
            left = set(voters.voters) - lost
            if not voters.voters or len(left) < voters.quorum:
                return False
        return True

    # Effects

    def _carry_out(self, node, effect):
        handler = getattr(self, f'_on_{type(effect).__name__.lower()}')
        handler(node, effect)

    def _on_send(self, node, effect):
        if len(self.network) < MAX_IN_FLIGHT:
            data = messages.CODEC.encode(effect.message)
            message = messages.CODEC.decode(data)
            self.network.append((node.name, effect.peer, message))

    def _on_write(self, node, effect):
        node.storage.append(effect)

    def _on_restore(self, node, effect):
        node.storage.append(effect)
        self._load_state(node, effect.snapshot)

    def _on_apply(self, node, effect):
        for entry in effect.entries:
            self._check_committed(node, entry)
            node.applied = entry.index
            if entry.kind == 'command':
                node.state = _chain(node.state, entry.data)
            self._check_state(node)
            self._answer(node, entry)

    def _on_accepted(self, node, effect):
        node.waiting[effect.index] = effect

    def _answer(self, node, entry):
        accepted = node.waiting.pop(entry.index, None)
        if accepted is not None and accepted.term == entry.term:
            self.acknowledged[accepted.token] = entry.index

    def _on_rejected(self, node, effect):
        self.refused.add(effect.token)

    def _on_readready(self, node, effect):
        floor = self.read_floor[effect.token]
        if effect.index < floor:
            raise Breach(f'stale read at {node.name}: {effect} < {floor}')

    def _on_rolechanged(self, node, effect):
        if effect.role != 'leader':
            return
        identity = node.replica.identity
        known = self.leaders.setdefault(effect.term, identity)
        if known != identity:
            raise Breach(f'two leaders in term {effect.term}')

    # Checks over all replicas

    def _check_committed(self, node, entry):
        if entry.index != node.applied + 1:
            raise Breach(f'{node.name} applies {entry.index} out of order')
        known = self.committed.setdefault(entry.index, entry)
        if known != entry:
            raise Breach(f'{node.name} commits {entry}, not {known}')

    def _check_state(self, node):
        known = self.states.setdefault(node.applied, node.state)
        if known != node.state:
            raise Breach(f'{node.name} differs at {node.applied}')

    def _check_node(self, node):
        node.voters = node.replica.voters
        for token in self.refused:
            if token in self.acknowledged:
                raise Breach(f'{token} was refused and agreed')

    def check_logs(self):
        """Checks that equal index and term mean equal entries."""
        seen = {}
        for node in self.nodes.values():
            if not node.up:
                continue
            log = node.replica.log
            for entry in log.entries_between(log.first_index, log.last_index):
                key = (entry.index, entry.term)
                if seen.setdefault(key, entry) != entry:
                    raise Breach(f'logs differ at {key}')

    # Runs without chance

    def run(self, duration_ms):
        """Runs all nodes that are up, with every message in order."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.advance(TICK_MS)
            for name in self.names:
                self.tick(name)
            self.settle()

    def run_until(self, condition, limit_ms):
        """Runs until a condition holds; returns whether it does."""
        end_ms = self.now_ms + limit_ms
        while not condition() and self.now_ms < end_ms:
            self.run(TICK_MS)
        return bool(condition())

    def settle(self):
        """Delivers and stores until nothing moves."""
        for _ in range(10_000):
            if not self.network and not self._storing():
                return
            for _ in range(len(self.network)):
                self.deliver(0)
            for name in self.names:
                if not self.nodes[name].slow_disk:
                    self.store(name)
        raise Breach('messages never settle')

    def _storing(self):
        return any(
            node.storage and node.running and not node.slow_disk
            for node in self.nodes.values()
        )

    def heal(self):
        """Ends every fault and starts every process."""
        self.cuts.clear()
        for name, node in self.nodes.items():
            node.slow_disk = False
            node.files.crash_in = node.files.space = None
            node.files.fail_sync = False
            if node.frozen:
                self.resume(name)
            if not node.up and not self.start(name):
                raise Breach(f'{name} does not start')

    @property
    def leader(self):
        """Name of the ready leader of the newest term, or ''."""
        ready = [
            (node.replica.term, name)
            for name, node in self.nodes.items()
            if node.running
            and node.replica.role.name == 'leader'
            and node.replica.role.ready
        ]
        return max(ready)[1] if ready else ''

    def commit_one(self, attempts):
        """Returns whether a proposal is agreed; a leader may give way."""
        for _ in range(attempts):
            if not self.run_until(lambda: self.leader, 6_000):
                return False
            self.propose(self.leader)
            token = self.proposals
            if self.run_until(lambda: token in self.acknowledged, 2_000):
                return True
        return False

    def _level(self):
        """Returns True if every member has applied the same."""
        if not self.leader:
            return False
        voters = self.nodes[self.leader].replica.voters
        applied = {
            node.applied
            for node in self.nodes.values()
            if node.replica.identity in voters.members
        }
        return len(applied) == 1 and all(map(self._repaired, voters.voters))

    def _repaired(self, voter):
        """True unless a lost disk's identity still waits to be replaced.

        The one to replace it may have been removed by an operator.
        """
        identity = self.nodes[agreement.name_of(voter)].replica.identity
        removed = self.nodes[self.leader].replica.voters.removed
        return identity == voter or identity in removed

    def require_whole(self):
        """Heals, then requires that all goes on and nothing was lost."""
        self.heal()
        if not self.commit_one(attempts=3):
            raise Breach('no commit after healing')
        if not self.run_until(self._level, 12_000):
            raise Breach('nodes differ in applied index')
        for token, index in self.acknowledged.items():
            entry = self.committed[index]
            if entry.kind != 'command':
                continue
            if entry.data != b'command-%d' % token:
                raise Breach(f'{token} was acknowledged and is lost')
        self.check_logs()
