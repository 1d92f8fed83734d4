"""One replica of a replicated log, without I/O."""

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


class Replica(core.Core):
    """A leader-based replicated log with voters that can change.

    The caller owns clock, sockets and disk.  It feeds ``Tick`` every few
    milliseconds, ``Received`` for each message, its own requests, and
    ``Synced`` when a write is durable; it carries out the returned effects
    in order.  ``Write`` and ``Restore`` go to storage in the order of their
    ids and may be made durable together.

    Args:
        cell: name of the cell; the agreement group is founded under it.
        state: ``FolderState`` recovered by ``DataFolder.open``.
        names: names of the first members, the own one included; a group is
            founded once all of them are there and belong to none.
        cfg: ``ReplicaConfig``.
        seed: source of the election timeouts; differs between replicas.
        now_ms: monotonic time at the start, in milliseconds.
    """

    def __init__(self, cell, state, names, cfg=None, seed=0, now_ms=0):
        self.cfg = cfg or _settings.ReplicaConfig()
        self.cell = cell
        self.identity = state.identity
        self.now_ms = now_ms
        self.leader = ''
        self._random = random.Random(f'{seed}/{state.identity}')
        self._effects = []
        self._announced = None
        self._recover(state)
        self.founding = _founding.Founding(
            cell,
            self.identity,
            _voters.name_of(self.identity),
            names,
            self.cfg.hello_ms,
        )
        self.role = _follower.Follower(self, heard=False)
        self._dispatch = _dispatch.Dispatch(self)

    def _recover(self, state):
        self.term = state.hard_state.term
        self._vote = state.hard_state.vote
        self.group = state.hard_state.group
        self.snapshot = state.snapshot
        base = state.snapshot
        if base is None:
            self.log = _log.Log(0, 0, [])
            self._history = _voters.VoterHistory()
        else:
            self.log = _log.Log(base.last_index, base.last_term, [])
            self._history = _voters.VoterHistory(base.last_index, base.voters)
        self.commit = self.log.base_index
        for entry in state.entries:
            self._append_in_memory(entry)
        self.writes = _writes.WriteQueue(self.log.last_index)

    # Public view

    @property
    def voters(self):
        """The ``Voters`` in force."""
        return self._history.current

    @property
    def voters_index(self):
        """Index of the entry that brought the set in force."""
        return self._history.current_index

    @property
    def voters_committed(self):
        """True if the set in force is committed."""
        return self.voters_index <= self.commit

    @property
    def is_voter(self):
        """True if this replica is one of the voters."""
        return self.identity in self.voters.voters

    @property
    def may_stand(self):
        """True if this replica may stand for election.

        One whose removal is not known to be committed still may: the others
        may need its log to elect anyone.
        """
        sets = self._history.since(self.commit)
        return any(self.identity in voters.voters for voters in sets)

    @property
    def leader_name(self):
        """Name of the leader if known, else empty."""
        return _voters.name_of(self.leader)

    @property
    def followers(self):
        """``Progress`` of the followers by identity, empty unless leading."""
        return self.role.progress

    @property
    def newcomers(self):
        """Identities that said hello and may be added, for a leader."""
        return self.role.newcomers

    @property
    def _snapshot_index(self):
        return self.snapshot.last_index if self.snapshot else 0

    def make_snapshot(self, last_index, data):
        """Returns the ``Snapshot`` of the state applied up to an index.

        Args:
            last_index: index applied last, from 1.
            data: bytes of the state machine.

        A newer snapshot, installed since the state was copied, is returned
        in place of an older one; saving it again changes nothing.
        """
        invariants.require(
            last_index <= self.commit,
            'snapshot_of_committed',
            index=last_index,
            commit=self.commit,
        )
        if last_index <= self._snapshot_index:
            # Another one was installed since the state was copied.
            return self.snapshot
        term = self.log.term_at(last_index)
        voters = self._history.at(last_index)
        return _voters.Snapshot(last_index, term, voters, data)

    # Core

    def step(self, event, now_ms):
        """Handles one event; see ``core.Core``."""
        invariants.require(
            now_ms >= self.now_ms, 'time_ascending', now_ms=now_ms
        )
        before = (self.term, self.commit)
        self.now_ms = now_ms
        self.role.check_time()
        self._dispatch.handle(event)
        self._announce_role()
        invariants.require(
            before[0] <= self.term and before[1] <= self.commit,
            'term_and_commit_ascending',
            before=before,
            term=self.term,
            commit=self.commit,
        )
        effects = self._effects + self.writes.flush(self.log.last_index)
        self._effects = []
        return effects

    def _announce_role(self):
        name = self.role.name
        if name == 'follower' and not self.is_voter:
            name = 'learner'
        ready = name == 'leader' and self.role.ready
        now = _events.RoleChanged(name, self.term, self.leader_name, ready)
        if now != self._announced:
            self._announced = now
            self.emit(now)

    # Actions of the roles

    def emit(self, effect):
        """Returns an effect with this step."""
        self._effects.append(effect)

    def send(self, peer, message):
        """Sends a message to an identity at once."""
        self.emit(_events.Send(_voters.name_of(peer), message))

    def send_durably(self, peer, message):
        """Sends a message once all state behind it is durable."""
        name = _voters.name_of(peer)
        self.writes.hold(_events.Send(name, message))

    def release(self, effects):
        """Lets go of held messages, unless their term has passed."""
        for effect in effects:
            if effect.message.term == self.term:
                self.emit(effect)

    def draw_election_ms(self):
        """Returns a random election timeout."""
        return self._random.randint(
            self.cfg.election_min_ms, self.cfg.election_max_ms
        )

    def draw_retry_ms(self):
        """Returns a random time to wait for the result of an election."""
        return self._random.randint(
            self.cfg.heartbeat_ms, self.cfg.election_min_ms
        )

    def note_leader(self, leader):
        """Remembers the leader of the current term."""
        self.leader = leader

    def forget_leader(self):
        """No longer names a leader that is silent."""
        self.leader = ''

    def join(self, group):
        """Becomes part of a group, for good."""
        if self.group != group:
            invariants.require(
                not self.group, 'one_group', group=self.group, other=group
            )
            self.group = group
            self._stage_hard_state()

    def vote_for(self, candidate):
        """Gives this term's only vote."""
        invariants.require(
            self._vote in ('', candidate),
            'one_vote_a_term',
            term=self.term,
            vote=self._vote,
            other=candidate,
        )
        if self._vote != candidate:
            self._vote = candidate
            self._stage_hard_state()

    def may_vote_for(self, candidate):
        """Returns True if the vote of this term is free or theirs."""
        return self._vote in ('', candidate)

    def append(self, entry):
        """Appends an entry, in memory now and on disk with this step."""
        self._append_in_memory(entry)
        self.writes.stage_entry(entry)

    def _append_in_memory(self, entry):
        self.log.append(entry)
        if entry.kind == 'voters':
            self._history.append(entry)

    def append_own(self, kind, data):
        """Appends the leader's next entry and returns it."""
        entry = messages.Entry(self.log.last_index + 1, self.term, kind, data)
        self.append(entry)
        return entry

    def truncate(self, first_dropped):
        """Drops entries that another leader has replaced."""
        invariants.require(
            first_dropped > self.commit,
            'committed_kept',
            first_dropped=first_dropped,
            commit=self.commit,
        )
        self.log.truncate(first_dropped)
        self._history.truncate(first_dropped)
        self.writes.stage_truncation(first_dropped)

    def advance_commit(self, index):
        """Commits up to an index and has the new entries applied."""
        if index <= self.commit:
            return
        invariants.require(
            index <= self.log.last_index, 'commit_held', index=index
        )
        entries = self.log.between(self.commit + 1, index)
        self.commit = index
        self.emit(_events.Apply(entries))

    def install(self, snapshot):
        """Replaces log and state by a snapshot of the leader."""
        invariants.require(
            snapshot.last_index > self.commit,
            'install_ahead',
            index=snapshot.last_index,
            commit=self.commit,
        )
        self.log.reset(snapshot.last_index, snapshot.last_term)
        self._history.reset(snapshot.last_index, snapshot.voters)
        self.snapshot = snapshot
        self.commit = snapshot.last_index
        self.writes.stage_snapshot(snapshot)

    def compact(self, snapshot):
        """Drops entries that a durable snapshot covers."""
        if snapshot.last_index <= self._snapshot_index:
            return
        self.snapshot = snapshot
        kept = snapshot.last_index - self.cfg.kept_entries
        if kept > self.log.base_index:
            self.log.compact(kept)
            self._history.compact(kept)

    # Changes of role

    def become_follower(self, term, leader):
        """Follows a leader, or none yet, in a term not below the own."""
        self.role.stop()
        if term > self.term:
            self._enter_term(term)
        self.leader = leader
        self.role = _follower.Follower(self, heard=bool(leader))

    def become_candidate(self, pre, handover=False):
        """Stands for election, first only asking whether it could win."""
        self.role.stop()
        self.leader = ''
        if not pre:
            self._enter_term(self.term + 1)
            self.vote_for(self.identity)
        self.role = _candidate.Candidate(self, pre, handover)
        self.role.start()

    def become_leader(self):
        """Leads the current term."""
        self.role.stop()
        self.leader = self.identity
        self.role = _leader.Leader(self)
        self.role.start()

    def found(self, identities):
        """Founds the group and stands for election in it."""
        self.join(f'{self.cell}/{self.identity}')
        self._enter_term(self.term + 1)
        voters = _voters.Voters(self.group, identities)
        self.append_own('voters', _voters.encode_voters(voters))

    def _enter_term(self, term):
        invariants.require(
            term > self.term, 'term_ascending', term=self.term, new=term
        )
        self.term = term
        self._vote = ''
        self._stage_hard_state()

    def _stage_hard_state(self):
        self.writes.stage_hard_state(
            _events.HardState(self.term, self._vote, self.group)
        )
