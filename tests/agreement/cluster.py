"""Simulated cluster of replicas with disks in memory and a network.

Time, messages and storage advance only when a test calls a method, so every
run is reproducible.  Invariants that span the replicas are checked after each
step.
"""

import hashlib
import random

from fuchsiatrestle import agreement
from fuchsiatrestle import errors
from fuchsiatrestle import messages
from tests.agreement import fake_files

__all__ = ('Cluster', 'ClusterInvariantBreach', 'Node', 'small_config')

CELL = 'cell1'
TICK_MS = 50
MAX_MESSAGES_IN_FLIGHT = 400


class ClusterInvariantBreach(AssertionError):
    """A condition that spans several replicas is violated."""


def small_config():
    """Returns limits that are small enough for short runs to reach."""
    return agreement.ReplicaConfig(
        max_append_entries=3,
        max_inflight_appends=2,
        snapshot_chunk_bytes=64,
        max_kept_entries=2,
        max_uncommitted_entries=20,
    )


def _extend_hash_chain(state, data):
    return hashlib.blake2b(state + data, digest_size=16).digest()


class Node:
    """One VM with its disk, its process and the faults injected into it.

    Attributes:
        name: name of the process.
        rng: random source of the disk's faults.
        files: ``FakeFiles`` of the disk.
        folder: open ``DataFolder``, None while the process is down.
        replica: ``Replica``, None while the process is down.
        frozen: True while the process is stopped but not ended.
        stopping: True once the process was told to stop for good.
        slow_disk: True while ``Cluster.run`` and ``Cluster.settle`` make
            none of this node's writes durable.
        state: state of the simulated state machine.
        applied_index: index applied last.
        storage_queue: effects that wait for the storage thread.
        socket_buffer: packets that arrived while the process was frozen.
        appended_by_index: ``ProposalAppended`` effects whose entry is not yet
            applied, by log index.
        captured_state: (index, state) copied for a snapshot, or None.
        voters: the ``Voters`` in force here after the last step.
    """

    def __init__(self, name, rng):
        self.name = name
        self.rng = rng
        self.files = fake_files.FakeFiles(rng)
        self.folder = None
        self.replica = None
        self.frozen = False
        self.stopping = False
        self.slow_disk = False
        self.state = b''
        self.applied_index = 0
        self.storage_queue = []
        self.socket_buffer = []
        self.appended_by_index = {}
        self.captured_state = None
        self.voters = agreement.Voters('', [])

    @property
    def is_up(self):
        """True while the process exists."""
        return self.replica is not None

    @property
    def is_running(self):
        """True while the process exists and is not frozen."""
        return self.is_up and not self.frozen


class Cluster:
    """Simulates nodes, the messages between them and their clients.

    Args:
        names: names of the nodes.
        seed: seed of the random remnants on disk and election timeouts.
        cfg: ``ReplicaConfig`` of all nodes.
        initial_names: names of the initial members, by default all.

    Attributes:
        now_ms: virtual time, in milliseconds.
        packets_in_flight: (sender, receiver, message) packets in flight.
        cut_links: (sender, receiver) pairs whose packets are dropped.
        leader_identity_by_term: leader's identity by term.
        committed_entry_by_index: committed entry by index.
        state_by_index: expected state of the state machine by applied index.
        acknowledged_index_by_token: index by token of the proposals and
            changes that were acknowledged.
        rejected_tokens: tokens that were rejected.
        min_index_by_read_token: lowest index that a read may return, by the
            token of the read.
        proposal_count: number of proposals so far; also the token of the
            last one.
        change_count: number of membership changes requested so far.
        lost_identities: identities whose disk was replaced.
        may_found: False once the replicas on empty disks come after the group
            was founded.
        nodes: ``Node`` by name.
    """

    def __init__(self, names, seed=0, cfg=None, initial_names=None):
        self.rng = random.Random(seed)
        self.node_names = list(names)
        self.initial_names = list(initial_names or names)
        self.cfg = cfg or small_config()
        self.now_ms = 1000
        self.packets_in_flight = []
        self.cut_links = set()
        self.leader_identity_by_term = {}
        self.committed_entry_by_index = {}
        self.state_by_index = {0: b''}
        self.acknowledged_index_by_token = {}
        self.rejected_tokens = set()
        self.min_index_by_read_token = {}
        self.proposal_count = 0
        self.change_count = 0
        self.lost_identities = set()
        self.may_found = True
        self.nodes = {name: Node(name, self.rng) for name in names}
        for name in names:
            self.start(name)

    # Processes and disks

    def start(self, name):
        """Starts a process on its disk; returns False if the disk fails."""
        node = self.nodes[name]
        nonce = self.rng.getrandbits(64)
        try:
            node.folder = agreement.DataFolder.open(
                '/data', name, nonce, node.files, self.may_found
            )
        except errors.StorageFailed:
            return False
        except fake_files.Crash:
            node.files.crash()
            return False
        node.replica = agreement.Replica(
            CELL,
            node.folder.state,
            self.initial_names,
            self.cfg,
            seed=nonce,
            now_ms=self.now_ms,
        )
        self._load_state(node, node.folder.state.snapshot)
        return True

    def _load_state(self, node, snapshot):
        node.state = snapshot.data if snapshot else b''
        node.applied_index = snapshot.last_index if snapshot else 0
        self._check_state(node)

    def kill(self, name):
        """Ends the process and crashes its disk, losing unsynced data."""
        node = self.nodes[name]
        node.folder = node.replica = None
        node.frozen = False
        node.storage_queue = []
        node.socket_buffer = []
        node.appended_by_index = {}
        node.captured_state = None
        node.files.crash()

    def replace_disk(self, name):
        """Ends the process and replaces its disk with an empty one."""
        node = self.nodes[name]
        if node.folder is not None:
            self.lost_identities.add(node.folder.state.identity)
        self.kill(name)
        node.files = fake_files.FakeFiles(self.rng)

    def add_node(self, name):
        """Adds a node with an empty disk and starts its process."""
        self.node_names.append(name)
        self.nodes[name] = Node(name, self.rng)
        self.start(name)

    def remove_node(self, name):
        """Removes a node for good, with its process and its disk."""
        node = self.nodes[name]
        if node.folder is not None:
            self.lost_identities.add(node.folder.state.identity)
        self.kill(name)
        del self.nodes[name]
        self.node_names.remove(name)

    # Events

    def step(self, name, event):
        """Steps a running replica and carries out the effects."""
        node = self.nodes[name]
        if not node.is_running:
            return
        replica = node.replica
        for effect in replica.step(event, self.now_ms):
            self._carry_out(node, effect)
            if node.replica is not replica:
                return
        self._check_node(node)

    def tick(self, name):
        """Steps a replica with a ``Tick``."""
        self.step(name, agreement.Tick())

    def advance(self, duration_ms):
        """Advances the virtual time of all nodes."""
        self.now_ms += duration_ms

    def run_storage(self, name):
        """Makes all queued writes durable, as the storage thread would."""
        node = self.nodes[name]
        if not node.is_running or not node.storage_queue:
            return
        effects, node.storage_queue = node.storage_queue, []
        try:
            write_id = node.folder.write_effects(effects)
        except (fake_files.Crash, errors.StorageFailed):
            self.kill(name)
            return
        self.step(name, agreement.WritesSynced(write_id))

    def deliver(self, position, duplicate=False):
        """Delivers one packet.

        Args:
            position: its position in ``packets_in_flight``, modulo its length.
            duplicate: True to leave a copy of it in flight.
        """
        if not self.packets_in_flight:
            return
        position %= len(self.packets_in_flight)
        packet = self.packets_in_flight[position]
        if not duplicate:
            del self.packets_in_flight[position]
        sender, peer, message = packet
        node = self.nodes.get(peer)
        if node is None or (sender, peer) in self.cut_links:
            return
        if node.frozen:
            node.socket_buffer.append(packet)
            return
        self.step(peer, agreement.MessageReceived(sender, message))

    def freeze(self, name):
        """Stops a process without ending it, as SIGSTOP does."""
        self.nodes[name].frozen = self.nodes[name].is_up

    def resume(self, name):
        """Resumes a frozen process and delivers its buffered packets."""
        node = self.nodes[name]
        node.frozen = False
        packets, node.socket_buffer = node.socket_buffer, []
        for sender, _, message in packets:
            self.step(name, agreement.MessageReceived(sender, message))

    def propose(self, name):
        """Proposes the next command to a node."""
        self.proposal_count += 1
        data = b'command-%d' % self.proposal_count
        self.step(
            name, agreement.ProposeCommands([(self.proposal_count, data)])
        )

    def read(self, name):
        """Requests a read that must see everything committed so far."""
        token = f'read-{len(self.min_index_by_read_token)}'
        self.min_index_by_read_token[token] = max(
            self.committed_entry_by_index, default=0
        )
        self.step(name, agreement.ReadRequest(token))

    def capture_state(self, name):
        """Copies the applied state for a later ``compact``."""
        node = self.nodes[name]
        if node.is_running:
            node.captured_state = (node.applied_index, node.state)

    def compact(self, name):
        """Compacts the log with a snapshot of captured or current state."""
        node = self.nodes[name]
        if not node.is_running:
            return
        applied_index, state = node.captured_state or (
            node.applied_index,
            node.state,
        )
        node.captured_state = None
        snapshot = node.replica.make_snapshot(applied_index, state)
        if snapshot is None:
            return
        if node.storage_queue:
            # The storage thread saves the snapshot after earlier writes.
            self.run_storage(name)
            if not node.is_running:
                return
        try:
            node.folder.save_snapshot(snapshot)
        except (fake_files.Crash, errors.StorageFailed):
            self.kill(name)
            return
        self.step(name, agreement.CompactLog(snapshot))

    def change_voters(self, name, change, member):
        """Requests a membership change from a node."""
        self.change_count += 1
        token = f'change-{self.change_count}'
        event = agreement.ChangeVoters(token, change, member)
        self.step(name, event)

    def transfer_leadership(self, name):
        """Requests a leadership transfer from a node."""
        self.step(name, agreement.TransferLeadership())

    def can_lose_disk(self, name):
        """Returns True if each voter set keeps a quorum without this disk."""
        node = self.nodes[name]
        if not self.leader or not node.is_up:
            return False
        lost_identities = self.lost_identities | {node.replica.identity}
        for other in self.nodes.values():
            voters = other.voters
            remaining_voters = set(voters.voters) - lost_identities
            if not voters.voters or len(remaining_voters) < voters.quorum_size:
                return False
        return True

    # Effects

    def _carry_out(self, node, effect):
        handler = getattr(self, f'_on_{type(effect).__name__.lower()}')
        handler(node, effect)

    def _on_sendtopeer(self, node, effect):
        if len(self.packets_in_flight) < MAX_MESSAGES_IN_FLIGHT:
            encoded_message = messages.CODEC.encode(effect.message)
            message = messages.CODEC.decode(encoded_message)
            self.packets_in_flight.append((node.name, effect.peer, message))

    def _on_persistchanges(self, node, effect):
        node.storage_queue.append(effect)

    def _on_identityreplaced(self, node, effect):
        """Starts the process again on the retired folder."""
        try:
            node.folder.retire()
        except (fake_files.Crash, errors.StorageFailed):
            self.kill(node.name)
            return
        self.lost_identities.add(node.replica.identity)
        self.kill(node.name)
        if not node.stopping:
            self.start(node.name)

    def _on_restoresnapshot(self, node, effect):
        node.storage_queue.append(effect)
        self._load_state(node, effect.snapshot)

    def _on_applyentries(self, node, effect):
        for entry in effect.entries:
            self._check_committed(node, entry)
            node.applied_index = entry.index
            if entry.kind == 'command':
                node.state = _extend_hash_chain(node.state, entry.data)
            self._check_state(node)
            self._acknowledge(node, entry)

    def _on_proposalappended(self, node, effect):
        node.appended_by_index[effect.index] = effect

    def _acknowledge(self, node, entry):
        appended = node.appended_by_index.pop(entry.index, None)
        if appended is not None and appended.term == entry.term:
            self.acknowledged_index_by_token[appended.token] = entry.index

    def _on_requestrejected(self, node, effect):
        self.rejected_tokens.add(effect.token)

    def _on_readready(self, node, effect):
        min_index = self.min_index_by_read_token[effect.token]
        if effect.index < min_index:
            raise ClusterInvariantBreach(
                f'stale read at {node.name}: {effect} < {min_index}'
            )

    def _on_rolechanged(self, node, effect):
        if effect.role != 'leader':
            return
        identity = node.replica.identity
        expected_identity = self.leader_identity_by_term.setdefault(
            effect.term, identity
        )
        if expected_identity != identity:
            raise ClusterInvariantBreach(f'two leaders in term {effect.term}')

    # Checks that span the replicas

    def _check_committed(self, node, entry):
        if entry.index != node.applied_index + 1:
            raise ClusterInvariantBreach(
                f'{node.name} applies {entry.index} out of order'
            )
        expected_entry = self.committed_entry_by_index.setdefault(
            entry.index, entry
        )
        if expected_entry != entry:
            raise ClusterInvariantBreach(
                f'{node.name} commits {entry}, not {expected_entry}'
            )

    def _check_state(self, node):
        expected_state = self.state_by_index.setdefault(
            node.applied_index, node.state
        )
        if expected_state != node.state:
            raise ClusterInvariantBreach(
                f'{node.name} has another state at index {node.applied_index}'
            )

    def _check_node(self, node):
        node.voters = node.replica.voters
        for token in self.rejected_tokens:
            if token in self.acknowledged_index_by_token:
                raise ClusterInvariantBreach(
                    f'{token} was rejected and committed'
                )

    def check_logs(self):
        """Checks log matching: equal index and term mean equal entries."""
        entry_by_index_and_term = {}
        for node in self.nodes.values():
            if not node.is_up:
                continue
            log = node.replica.log
            for entry in log.entries_between(log.first_index, log.last_index):
                index_and_term = (entry.index, entry.term)
                if (
                    entry_by_index_and_term.setdefault(index_and_term, entry)
                    != entry
                ):
                    raise ClusterInvariantBreach(
                        f'logs differ at {index_and_term}'
                    )

    # Runs without random acts

    def run(self, duration_ms):
        """Runs all nodes for a time and delivers all messages in order."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.advance(TICK_MS)
            for name in self.node_names:
                self.tick(name)
            self.settle()

    def run_until(self, condition, timeout_ms):
        """Runs until a condition holds or the time is over.

        Returns:
            True if the condition holds.
        """
        end_ms = self.now_ms + timeout_ms
        while not condition() and self.now_ms < end_ms:
            self.run(TICK_MS)
        return bool(condition())

    def settle(self):
        """Delivers messages and runs storage until nothing is left to do."""
        for _ in range(10_000):
            if not self.packets_in_flight and not self._has_storage_work():
                return
            for _ in range(len(self.packets_in_flight)):
                self.deliver(0)
            for name in self.node_names:
                if not self.nodes[name].slow_disk:
                    self.run_storage(name)
        raise ClusterInvariantBreach(
            'messages and writes do not come to an end'
        )

    def _has_storage_work(self):
        return any(
            node.storage_queue and node.is_running and not node.slow_disk
            for node in self.nodes.values()
        )

    def end_faults(self):
        """Ends all faults and starts all processes."""
        self.cut_links.clear()
        for name, node in self.nodes.items():
            node.slow_disk = False
            node.files.crash_after_ops = node.files.free_bytes = None
            node.files.fail_sync = False
            if node.frozen:
                self.resume(name)
            if not node.is_up and not self.start(name):
                raise ClusterInvariantBreach(f'{name} does not start')

    @property
    def leader(self):
        """Name of the ready leader of the newest term, empty for none."""
        ready_leaders = [
            (node.replica.term, name)
            for name, node in self.nodes.items()
            if node.is_running
            and node.replica.role.name == 'leader'
            and node.replica.role.is_ready
        ]
        return max(ready_leaders)[1] if ready_leaders else ''

    def commit_command(self, attempts):
        """Proposes a command until one is acknowledged.

        Args:
            attempts: number of proposals, as the leader may change.

        Returns:
            True if one was acknowledged.
        """
        for _ in range(attempts):
            if not self.run_until(lambda: self.leader, 6_000):
                return False
            self.propose(self.leader)
            token = self.proposal_count
            if self.run_until(
                lambda: token in self.acknowledged_index_by_token, 2_000
            ):
                return True
        return False

    def _has_converged(self):
        """Returns True if the group has repaired itself.

        All members have then applied the same index, and each lost identity
        of a voter is replaced.
        """
        if not self.leader:
            return False
        voters = self.nodes[self.leader].replica.voters
        applied_indexes = {
            node.applied_index
            for node in self.nodes.values()
            if node.replica.identity in voters.members
        }
        return len(applied_indexes) == 1 and all(
            map(self._is_repaired, voters.voters)
        )

    def _is_repaired(self, voter):
        """Returns False while a voter's lost identity is not yet replaced.

        No replacement is expected if the new identity was itself removed.
        """
        node = self.nodes.get(agreement.process_name_of(voter))
        if node is None:
            return False
        identity = node.replica.identity
        removed = self.nodes[self.leader].replica.voters.removed
        return identity == voter or identity in removed

    def require_recovered(self):
        """Ends all faults, then requires progress and that nothing was lost.

        Raises:
            ClusterInvariantBreach: no command is committed, the nodes do not
                converge, or an acknowledged command is lost.
        """
        self.end_faults()
        if not self.commit_command(attempts=3):
            raise ClusterInvariantBreach('no commit after the faults ended')
        if not self.run_until(self._has_converged, 12_000):
            raise ClusterInvariantBreach('nodes differ in applied index')
        for token, index in self.acknowledged_index_by_token.items():
            entry = self.committed_entry_by_index[index]
            if entry.kind != 'command':
                continue
            if entry.data != b'command-%d' % token:
                raise ClusterInvariantBreach(
                    f'{token} was acknowledged and is lost'
                )
        self.check_logs()
