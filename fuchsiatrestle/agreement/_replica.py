"""Core of one replica of the replicated log, without I/O."""

import random

from fuchsiatrestle.agreement import _candidate
from fuchsiatrestle.agreement import _dispatch
from fuchsiatrestle.agreement import _events
from fuchsiatrestle.agreement import _follower
from fuchsiatrestle.agreement import _founding
from fuchsiatrestle.agreement import _leader
from fuchsiatrestle.agreement import _log
from fuchsiatrestle.agreement import _settings
from fuchsiatrestle.agreement import _voters
from fuchsiatrestle.agreement import _writes
from fuchsiatrestle import core
from fuchsiatrestle import invariants
from fuchsiatrestle import messages

__all__ = ('Replica',)

# A replica that told of its stop counts as stopping for this many times
# ``replaced_voter_ms``; then its silence shows that it is gone.
STOP_VALID_INTERVALS = 2
# One that answers later than this time after its notice was started again.
STOP_DURATION_MS = 1_000


class Replica(core.Core):
    """Runs the Raft algorithm with pre-vote and membership changes.

    The caller owns clock, sockets and disk.  It passes ``step`` a ``Tick``
    several times per heartbeat interval, a ``MessageReceived`` for each
    message, its own requests, and ``WritesSynced`` when a write is durable; it
    carries out the returned effects in order.  ``PersistChanges`` and
    ``RestoreSnapshot`` go to storage in the order of their ids and may be made
    durable together.

    Args:
        cell: name of the cell; the agreement group is founded under it.
        state: ``FolderState`` recovered by ``DataFolder.open``.
        initial_names: process names of the initial members, normally with
            that of this replica; a group is founded once all of them have
            sent hellos and belong to no group.
        cfg: ``ReplicaConfig``, the defaults if None.
        seed: seed of the random election timeouts; must differ between
            replicas.
        now_ms: monotonic time at the start, in milliseconds.

    Attributes:
        cfg: ``ReplicaConfig`` in use.
        cell: name of the cell.
        identity: identity of this replica, from the data folder.
        now_ms: time of the last event, in milliseconds.
        term: current term.
        group: agreement group joined, empty before this replica joins one.
        leader_identity: identity of the leader of the current term, empty if
            unknown.
        log: ``Log`` in memory.
        commit_index: highest index known to be committed.
        snapshot: newest durable or installed ``Snapshot``, or None.
        write_queue: ``WriteQueue`` of the changes to make durable.
        founding: ``Founding`` that exchanges hellos before a group exists.
        role: current ``Role``.
    """

    def __init__(self, cell, state, initial_names, cfg=None, seed=0, now_ms=0):
        self.cfg = cfg or _settings.ReplicaConfig()
        self.cell = cell
        self.identity = state.identity
        self.now_ms = now_ms
        self.leader_identity = ''
        self._random = random.Random(f'{seed}/{state.identity}')
        # Effects of the step that is being handled.
        self._effects = []
        self._has_reported_replacement = False
        # Time of the last notice of each voter that is about to stop.
        self._stop_ms_by_identity = {}
        # The last ``RoleChanged`` emitted.
        self._last_role_changed = None
        self._recover(state)
        self.founding = _founding.Founding(
            cell,
            self.identity,
            _voters.process_name_of(self.identity),
            initial_names,
            self.cfg.hello_ms,
            state.may_found,
        )
        # Before the restart it may have answered a leader, which therefore
        # counts on this voter to ignore candidates.
        self.role = _follower.Follower(self, heard_leader=bool(self.group))
        self._dispatcher = _dispatch.Dispatcher(self)

    def _recover(self, state):
        self.term = state.hard_state.term
        self._voted_for = state.hard_state.vote
        self.group = state.hard_state.group
        self.snapshot = state.snapshot
        snapshot = state.snapshot
        if snapshot is None:
            self.log = _log.Log(0, 0, [])
            self._voter_history = _voters.VoterHistory()
        else:
            self.log = _log.Log(snapshot.last_index, snapshot.last_term, [])
            self._voter_history = _voters.VoterHistory(
                snapshot.last_index, snapshot.voters, self.now_ms
            )
        self.commit_index = self.log.base_index
        for entry in state.entries:
            self._append_in_memory(entry)
        self.write_queue = _writes.WriteQueue(self.log.last_index)

    # Current state and snapshots

    @property
    def voters(self):
        """The ``Voters`` in force."""
        return self._voter_history.current_voters

    @property
    def joined_ms_by_newcomer(self):
        """Time at which each newcomer in force has joined, by identity.

        The time is on the clock of ``now_ms`` and not before the true one.
        """
        joined_ms_by_newcomer = self._voter_history.joined_ms_by_newcomer
        return {
            newcomer: joined_ms_by_newcomer[newcomer]
            for newcomer in self.voters.newcomers
        }

    @property
    def voters_index(self):
        """Index of the log entry that holds the voter set in force."""
        return self._voter_history.current_index

    @property
    def voters_committed(self):
        """True if the voter set in force is committed."""
        return self.voters_index <= self.commit_index

    @property
    def is_voter(self):
        """True if this replica is one of the voters."""
        return self.identity in self.voters.voters

    @property
    def may_start_election(self):
        """True if this replica may stand for election.

        A replica whose removal is not known to be committed still may: it
        may be the only one whose log is up to date enough to win.
        """
        voter_sets = self._voter_history.voter_sets_from(self.commit_index)
        return any(self.identity in voters.voters for voters in voter_sets)

    @property
    def leader_name(self):
        """Process name of the leader, empty if unknown."""
        return _voters.process_name_of(self.leader_identity)

    @property
    def progress_by_identity(self):
        """``Progress`` by follower identity, empty unless leading."""
        return self.role.progress_by_identity

    @property
    def joining_identities(self):
        """Identities that asked to join, empty unless leading."""
        return self.role.joining_identities

    @property
    def bearable_losses(self):
        """Number of voters that may be lost now, 0 unless leading."""
        return self.role.bearable_losses

    @property
    def leadership_confirmed_until_ms(self):
        """Time before which no other replica can be elected, 0 if unknown.

        The time is on the clock of ``now_ms``; it is 0 unless leading.
        """
        return self.role.confirmed_until_ms

    @property
    def _snapshot_index(self):
        return self.snapshot.last_index if self.snapshot else 0

    def make_snapshot(self, last_index, data):
        """Returns a ``Snapshot`` of the state machine at an index.

        If this replica already has a snapshot at this index or a later one
        (it may have installed one since the state was copied), the existing
        snapshot is returned; saving it again changes nothing.

        Args:
            last_index: index applied last, from 1.
            data: encoded state of the state machine.

        Returns:
            The ``Snapshot`` to save.
        """
        invariants.require(
            last_index <= self.commit_index,
            'snapshot_of_committed',
            index=last_index,
            commit=self.commit_index,
        )
        if last_index <= self._snapshot_index:
            return self.snapshot
        term = self.log.term_at(last_index)
        voters = self._voter_history.voters_at(last_index)
        return _voters.Snapshot(last_index, term, voters, data)

    # Core

    def step(self, event, now_ms):
        """Handles one event and returns the effects to carry out.

        Args:
            event: one of the events in ``_events``.
            now_ms: monotonic time, in milliseconds; must not go back.

        Returns:
            A list of effects, in the order in which to carry them out.

        Raises:
            errors.InvariantBreach: the replica's state is inconsistent.
        """
        invariants.require(
            now_ms >= self.now_ms, 'time_ascending', now_ms=now_ms
        )
        term_and_commit_before = (self.term, self.commit_index)
        self.now_ms = now_ms
        self.role.check_quorum()
        self._dispatcher.handle(event)
        self._announce_role()
        invariants.require(
            term_and_commit_before[0] <= self.term
            and term_and_commit_before[1] <= self.commit_index,
            'term_and_commit_ascending',
            before=term_and_commit_before,
            term=self.term,
            commit=self.commit_index,
        )
        effects = self._effects + self.write_queue.flush(self.log.last_index)
        self._effects = []
        return effects

    def _announce_role(self):
        """Emits ``RoleChanged`` if it differs from the last one."""
        role_name = self.role.name
        if role_name == 'follower' and not self.is_voter:
            role_name = 'learner'
        ready = role_name == 'leader' and self.role.is_ready
        role_changed = _events.RoleChanged(
            role_name, self.term, self.leader_name, ready
        )
        if role_changed != self._last_role_changed:
            self._last_role_changed = role_changed
            self.emit(role_changed)

    # Actions used by the roles

    def emit(self, effect):
        """Adds an effect to those that this step returns."""
        self._effects.append(effect)

    def send(self, peer, message):
        """Sends a message to a member with the effects of this step."""
        self.emit(_events.SendToPeer(_voters.process_name_of(peer), message))

    def send_when_durable(self, peer, message):
        """Sends a message once all changes made before it are durable."""
        process_name = _voters.process_name_of(peer)
        self.write_queue.hold_send(_events.SendToPeer(process_name, message))

    def send_if_term_current(self, effects):
        """Emits ``SendToPeer`` effects whose message has the current term.

        The others are dropped.

        Args:
            effects: effects that were held back until a write was durable.
        """
        for effect in effects:
            if effect.message.term == self.term:
                self.emit(effect)

    def draw_election_timeout_ms(self):
        """Returns a random election timeout, in milliseconds."""
        return self._random.randint(
            self.cfg.election_min_ms, self.cfg.election_max_ms
        )

    def draw_election_retry_ms(self):
        """Returns a random time limit of a pre-vote or election, in ms."""
        return self._random.randint(
            self.cfg.heartbeat_ms, self.cfg.election_min_ms
        )

    def set_leader(self, leader_identity):
        """Records the leader of the current term."""
        self.leader_identity = leader_identity

    def clear_leader(self):
        """Marks the leader as unknown, as its messages no longer arrive."""
        self.leader_identity = ''

    def join_group(self, group):
        """Joins an agreement group; a replica never leaves it."""
        if self.group != group:
            invariants.require(
                not self.group, 'one_group', group=self.group, other=group
            )
            self.group = group
            self._stage_hard_state()

    def announce_stop(self):
        """Tells the other voters that this replica is about to stop.

        All are told, as the one that leads may not be known or may change.
        """
        self.record_stop(self.identity)
        notice = messages.StopNotice(self.group, self.identity)
        for voter in self.voters.voters:
            if voter != self.identity:
                self.send(voter, notice)

    def record_stop(self, identity):
        """Records that a voter is about to stop."""
        self._stop_ms_by_identity = {
            voter: stop_ms
            for voter, stop_ms in self._stop_ms_by_identity.items()
            if self.is_stopping(voter)
        }
        if identity in self.voters.voters:
            self._stop_ms_by_identity[identity] = self.now_ms

    def is_stopping(self, identity, heard_ms=0):
        """Returns True if a voter has lately told that it is about to stop.

        Args:
            identity: identity of the voter.
            heard_ms: time at which it was heard last, if known.
        """
        stop_ms = self._stop_ms_by_identity.get(identity)
        if stop_ms is None or heard_ms > stop_ms + STOP_DURATION_MS:
            return False
        valid_ms = STOP_VALID_INTERVALS * self.cfg.replaced_voter_ms
        return self.now_ms - stop_ms < valid_ms

    def on_removed(self, message):
        """Handles that the group has removed an identity, perhaps this one.

        Args:
            message: a ``messages.MemberRemoved``.
        """
        if (
            message.identity == self.identity
            and message.may_rejoin
            and not self._has_reported_replacement
        ):
            self._has_reported_replacement = True
            self.emit(_events.IdentityReplaced())

    def vote_for(self, candidate):
        """Gives the only vote of the current term to a candidate."""
        invariants.require(
            self._voted_for in ('', candidate),
            'one_vote_a_term',
            term=self.term,
            vote=self._voted_for,
            other=candidate,
        )
        if self._voted_for != candidate:
            self._voted_for = candidate
            self._stage_hard_state()

    def may_vote_for(self, candidate):
        """Returns True unless another candidate has the vote of this term."""
        return self._voted_for in ('', candidate)

    def append_entry(self, entry):
        """Appends an entry in memory and stages it for the disk."""
        self._append_in_memory(entry)
        self.write_queue.stage_entry(entry)

    def _append_in_memory(self, entry):
        self.log.append(entry)
        if entry.kind == 'voters':
            self._voter_history.append(entry, self.now_ms)

    def append_as_leader(self, kind, data):
        """Appends a new entry of the current term and returns it."""
        entry = messages.Entry(self.log.last_index + 1, self.term, kind, data)
        self.append_entry(entry)
        return entry

    def truncate_log(self, first_dropped_index):
        """Drops entries that conflict with the leader's log."""
        invariants.require(
            first_dropped_index > self.commit_index,
            'committed_kept',
            first_dropped=first_dropped_index,
            commit=self.commit_index,
        )
        self.log.truncate(first_dropped_index)
        self._voter_history.truncate(first_dropped_index)
        self.write_queue.stage_truncation(first_dropped_index)

    def advance_commit(self, index):
        """Advances the commit index and emits the new entries to apply."""
        if index <= self.commit_index:
            return
        invariants.require(
            index <= self.log.last_index, 'commit_held', index=index
        )
        entries = self.log.entries_between(self.commit_index + 1, index)
        self.commit_index = index
        self.emit(_events.ApplyEntries(entries))

    def install_snapshot(self, snapshot):
        """Replaces the log and the state machine by the leader's snapshot."""
        invariants.require(
            snapshot.last_index > self.commit_index,
            'install_ahead',
            index=snapshot.last_index,
            commit=self.commit_index,
        )
        self.log.reset(snapshot.last_index, snapshot.last_term)
        self._voter_history.reset(
            snapshot.last_index, snapshot.voters, self.now_ms
        )
        self.snapshot = snapshot
        self.commit_index = snapshot.last_index
        self.write_queue.stage_snapshot(snapshot)

    def compact_log(self, snapshot):
        """Drops log entries that a durable snapshot covers.

        The last ``max_kept_entries`` of them stay in memory, within
        ``max_kept_bytes``, so that followers that lag a little need no
        snapshot.
        """
        if snapshot.last_index <= self._snapshot_index:
            return
        self.snapshot = snapshot
        new_base_index = self.log.find_kept_base(
            snapshot.last_index,
            self.cfg.max_kept_entries,
            self.cfg.max_kept_bytes,
        )
        if new_base_index > self.log.base_index:
            self.log.compact(new_base_index)
            self._voter_history.compact(new_base_index)

    # Changes of role

    def become_follower(self, term, leader_identity):
        """Becomes a follower.

        Args:
            term: term to follow in, not below the current one.
            leader_identity: identity of the leader, empty if unknown.
        """
        self.role.stop()
        if term > self.term:
            self._enter_term(term)
        self.leader_identity = leader_identity
        self.role = _follower.Follower(
            self, heard_leader=bool(leader_identity)
        )

    def become_candidate(self, is_prevote, is_leadership_transfer=False):
        """Starts a pre-vote or an election.

        Args:
            is_prevote: True to ask first whether the election could be won;
                only the election itself enters a new term.
            is_leadership_transfer: True if the leader asked for the election.
        """
        self.role.stop()
        self.leader_identity = ''
        if not is_prevote:
            self._enter_term(self.term + 1)
            self.vote_for(self.identity)
        self.role = _candidate.Candidate(
            self, is_prevote, is_leadership_transfer
        )
        self.role.start()

    def become_leader(self):
        """Becomes the leader of the current term."""
        self.role.stop()
        self.leader_identity = self.identity
        self.role = _leader.Leader(self)
        self.role.start()

    def found_group(self, identities):
        """Founds the agreement group with the given voters.

        The first entry of the log holds the voters; the group elects its
        leader after the election timeout.
        """
        self.join_group(f'{self.cell}/{self.identity}')
        self._enter_term(self.term + 1)
        voters = _voters.Voters(self.group, identities)
        self.append_as_leader('voters', _voters.encode_voters(voters))

    def _enter_term(self, term):
        invariants.require(
            term > self.term, 'term_ascending', term=self.term, new=term
        )
        self.term = term
        self._voted_for = ''
        self._stage_hard_state()

    def _stage_hard_state(self):
        self.write_queue.stage_hard_state(
            _events.HardState(self.term, self._voted_for, self.group)
        )
