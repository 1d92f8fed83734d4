"""Leader role: replicates entries, commits them and serves reads."""

import collections

from fuchsiatrestle.agreement import _events
from fuchsiatrestle.agreement import _membership
from fuchsiatrestle.agreement import _progress
from fuchsiatrestle.agreement import _reads
from fuchsiatrestle.agreement import _role
from fuchsiatrestle.agreement import _sending
from fuchsiatrestle import invariants
from fuchsiatrestle import messages
from fuchsiatrestle import metrics

__all__ = ('Leader',)

APPEND_REFUSED = metrics.declare(
    'retry.append_refused', 'Appends sent again from an earlier index.'
)

# Stands for the time of a round that was never answered.
_NEVER_MS = -1


class Leader(_role.Role):
    """Leads one term: appends proposals and replicates them to the members.

    A new leader first appends a no-op entry of its own term.  Until that
    entry is committed the leader commits no entry of an older term and
    answers no read.

    Args:
        replica: the ``Replica`` that won the election.

    Attributes:
        progress_by_identity: replication ``Progress`` by member identity, the
            leader left out.
    """

    name = 'leader'

    def __init__(self, replica):
        super().__init__(replica)
        self.progress_by_identity = {}
        self._sender = _sending.Sender(replica)
        # Time at which each heartbeat round was sent, by its number.
        self._sent_ms_by_round = collections.OrderedDict()
        self._next_heartbeat_ms = replica.now_ms
        self._read_queue = _reads.ReadQueue()
        # (index, size in bytes) of each command not yet committed.
        self._uncommitted_command_sizes = collections.deque()
        self._uncommitted_command_bytes = 0
        self._noop_index = replica.log.last_index + 1
        # None while no leadership transfer is in progress.
        self._leadership_transfer_deadline_ms = None
        # Time until which a voter that was told to start an election may win.
        self._successor_asked_until_ms = 0
        self._membership_changer = _membership.MembershipChanger(replica, self)

    @property
    def is_ready(self):
        """True once the no-op entry of this term is committed."""
        return self._replica.commit_index >= self._noop_index

    def start(self):
        """Appends the no-op entry and sends the first heartbeat round."""
        self.track_members()
        self._replica.append_as_leader('noop', b'')
        self._send_heartbeats()

    def stop(self):
        """Rejects the reads that are not yet confirmed by a quorum."""
        for token in self._read_queue.drain_tokens():
            self._reject(token, 'no_quorum')

    # Time

    def check_quorum(self):
        """Steps down if no quorum answered within the election timeout.

        This is Raft's check-quorum; ``election_min_ms`` is the timeout.
        """
        replica = self._replica
        if (
            self._count_live_voters(replica.voters)
            >= replica.voters.quorum_size
        ):
            return
        replica.become_follower(replica.term, '')

    @property
    def confirmed_until_ms(self):
        """Time before which no other replica can be elected, 0 if unknown.

        A voter ignores candidates for ``election_min_ms`` after it heard this
        leader, and as long after a restart, except one that the leader told to
        start an election.
        """
        if self._replica.now_ms < self._successor_asked_until_ms:
            return 0
        voters = self._replica.voters
        heard_ms = sorted(
            map(self._get_acked_round_sent_ms, voters.voters), reverse=True
        )
        quorum_heard_ms = heard_ms[voters.quorum_size - 1]
        if quorum_heard_ms == _NEVER_MS:
            return 0
        return quorum_heard_ms + self._replica.cfg.election_min_ms

    def _get_acked_round_sent_ms(self, identity):
        """Returns when the newest round that a voter answered was sent."""
        if identity == self._replica.identity:
            return self._replica.now_ms
        progress = self.progress_by_identity[identity]
        # Before its first answer the time is that of the election.
        if progress.acked_round == 0:
            return _NEVER_MS
        return progress.last_acked_round_sent_ms

    def is_alive(self, identity):
        """Returns True if a member answered a recent heartbeat round.

        The round must have been sent less than ``election_min_ms`` ago.  A
        member that is new to this leader counts as alive for that long.
        """
        if identity == self._replica.identity:
            return True
        if identity not in self.progress_by_identity:
            return False
        return self.get_silent_ms(identity) < self._replica.cfg.election_min_ms

    def get_silent_ms(self, identity):
        """Returns for how long a tracked member has answered no round.

        The time counts from the newest round that it answered, or from when
        this leader began to track it.
        """
        if identity == self._replica.identity:
            return 0
        progress = self.progress_by_identity[identity]
        return self._replica.now_ms - progress.last_acked_round_sent_ms

    def is_caught_up(self, identity):
        """Returns True if a member is alive and lacks few committed entries.

        The limit is ``max_promote_lag_entries``; this leader lacks none.
        """
        if identity == self._replica.identity:
            return True
        progress = self.progress_by_identity.get(identity)
        if progress is None or not self.is_alive(identity):
            return False
        lag_entries = self._replica.commit_index - progress.match_index
        return lag_entries <= self._replica.cfg.max_promote_lag_entries

    def get_answered_round_sent_ms(self, identity):
        """Returns when the newest round that a member answered was sent.

        It is 0 if there is none, and for this leader.
        """
        if identity == self._replica.identity:
            return 0
        return max(0, self._get_acked_round_sent_ms(identity))

    def has_replicated(self, identity, index):
        """Returns True if a member has the log up to an index on disk."""
        progress = self.progress_by_identity.get(identity)
        return progress is not None and progress.match_index >= index

    def _count_live_voters(self, voters):
        return sum(self.is_alive(identity) for identity in voters.voters)

    def has_live_quorum(self, voters):
        """Returns True if a quorum of the given ``Voters`` is alive."""
        return self._count_live_voters(voters) >= voters.quorum_size

    @property
    def bearable_losses(self):
        """Number of voters that may be lost now without losing the quorum."""
        voters = self._replica.voters
        return self._count_live_voters(voters) - voters.quorum_size

    def has_active_leader(self):
        """Returns True, as a leader with a quorum ignores other candidates."""
        return True

    def tick(self):
        """Sends due heartbeats and runs the timed work of the leader.

        It abandons a leadership transfer that has timed out, starts a
        transfer if the leader's own disk lags, and continues membership
        changes.
        """
        now_ms = self._replica.now_ms
        if (
            self.is_transferring_leadership
            and now_ms >= self._leadership_transfer_deadline_ms
        ):
            self._leadership_transfer_deadline_ms = None
        if not self.is_transferring_leadership and self._disk_lags:
            self.transfer_leadership()
        if now_ms >= self._next_heartbeat_ms:
            self._send_heartbeats()
        self._membership_changer.tick()

    @property
    def _disk_lags(self):
        """True if too many entries wait for the leader's own disk.

        These are ``max_uncommitted_entries // 2`` entries or more.  A quorum
        of followers can commit entries without that disk, so a slow one would
        otherwise go unnoticed.
        """
        return (
            self._unsynced_count
            >= self._replica.cfg.max_uncommitted_entries // 2
        )

    # Sending

    def track_members(self):
        """Starts tracking the progress of members not tracked so far."""
        replica = self._replica
        for peer in replica.voters.members:
            if (
                peer != replica.identity
                and peer not in self.progress_by_identity
            ):
                self.progress_by_identity[peer] = _progress.Progress(
                    replica.log.last_index + 1, replica.now_ms
                )

    def _send_heartbeats(self):
        replica = self._replica
        self._next_heartbeat_ms = replica.now_ms + replica.cfg.heartbeat_ms
        self._start_round()

    def _start_round(self):
        """Starts a heartbeat round and binds the waiting reads to it.

        The reads are confirmed once a quorum has answered the round.
        """
        replica = self._replica
        self._sender.round_number += 1
        self._sent_ms_by_round[self._sender.round_number] = replica.now_ms
        self._drop_old_rounds()
        if self.is_ready:
            self._read_queue.start_round(
                self._sender.round_number, replica.commit_index
            )
        for peer, progress in self.progress_by_identity.items():
            self._sender.send_heartbeat(peer, progress)
        self._confirm_reads()

    def _drop_old_rounds(self):
        """Drops rounds that are too old to prove that a member is alive."""
        replica = self._replica
        oldest_kept_sent_ms = replica.now_ms - replica.cfg.election_min_ms
        while (
            next(iter(self._sent_ms_by_round.values())) < oldest_kept_sent_ms
        ):
            self._sent_ms_by_round.popitem(last=False)

    def broadcast_entries(self):
        """Sends entries to every member within its flow control limit."""
        for peer, progress in self.progress_by_identity.items():
            self._sender.send_entries(peer, progress)

    # Replies

    def on_append_request(self, request):
        """Raises ``InvariantBreach``, as a term has only one leader."""
        invariants.require(
            False,
            'one_leader_a_term',
            term=request.term,
            other=request.leader,
        )

    def on_append_reply(self, reply):
        """Updates the follower's progress, commits and sends more entries."""
        progress = self._record_reply(reply)
        if progress is None or progress.snapshot_transfer is not None:
            return
        if reply.success:
            invariants.require(
                reply.match <= self._replica.log.last_index,
                'match_held',
                follower=reply.follower,
                match=reply.match,
            )
            progress.record_success(reply.match)
            self._advance_commit()
        else:
            metrics.count(APPEND_REFUSED)
            progress.record_rejection(reply.match)
        self._sender.send_entries(reply.follower, progress)
        self._continue_leadership_transfer()

    def _record_reply(self, reply):
        """Records that a member answered a round and returns its progress.

        Returns:
            The ``Progress`` of the member, None if it is not tracked.
        """
        progress = self.progress_by_identity.get(reply.follower)
        if progress is None:
            return None
        invariants.require(
            reply.round <= self._sender.round_number,
            'round_sent',
            round=reply.round,
            follower=reply.follower,
        )
        round_sent_ms = self._sent_ms_by_round.get(reply.round)
        if round_sent_ms is not None:
            progress.last_acked_round_sent_ms = max(
                progress.last_acked_round_sent_ms, round_sent_ms
            )
        progress.acked_round = max(progress.acked_round, reply.round)
        self._confirm_reads()
        return progress

    def on_writes_durable(self):
        """Commits entries for which the leader's disk completes a quorum."""
        self._advance_commit()

    def _advance_commit(self):
        """Commits what a quorum has on disk and acts on the new commits."""
        replica = self._replica
        voters = replica.voters
        match_indexes = sorted(
            map(self._get_match_index, voters.voters), reverse=True
        )
        quorum_index = match_indexes[voters.quorum_size - 1]
        # An entry of an older term is committed only indirectly, by an entry
        # of the current term: another leader may still overwrite it, even if
        # a quorum has stored it.
        if replica.log.term_at(quorum_index) != replica.term:
            return
        if quorum_index <= replica.commit_index:
            return
        replica.advance_commit(quorum_index)
        self._stop_counting_committed_commands()
        self._start_read_round()
        self._membership_changer.on_entries_committed()

    def _get_match_index(self, identity):
        if identity == self._replica.identity:
            return self._replica.write_queue.synced_index
        return self.progress_by_identity[identity].match_index

    def _stop_counting_committed_commands(self):
        """Stops counting committed commands towards the limits."""
        commit_index = self._replica.commit_index
        while (
            self._uncommitted_command_sizes
            and self._uncommitted_command_sizes[0][0] <= commit_index
        ):
            self._uncommitted_command_bytes -= (
                self._uncommitted_command_sizes.popleft()[1]
            )

    # Proposals

    def propose(self, proposals):
        """Appends proposed commands to the log and replicates them."""
        for token, data in proposals:
            reason = self._find_rejection_reason(len(data))
            if reason:
                self._reject(token, reason)
                continue
            entry = self._replica.append_as_leader('command', data)
            self._uncommitted_command_sizes.append((entry.index, len(data)))
            self._uncommitted_command_bytes += len(data)
            self._replica.emit(
                _events.ProposalAppended(token, entry.index, entry.term)
            )
        self.broadcast_entries()

    def _find_rejection_reason(self, command_bytes):
        """Returns why a command is rejected, an empty string if it is not.

        Args:
            command_bytes: size of the command, in bytes.
        """
        cfg = self._replica.cfg
        if self.is_transferring_leadership:
            return 'stopping'
        if len(self._uncommitted_command_sizes) >= cfg.max_uncommitted_entries:
            return 'overloaded'
        if (
            self._uncommitted_command_bytes + command_bytes
            > cfg.max_uncommitted_bytes
        ):
            return 'overloaded'
        if self._unsynced_count >= cfg.max_uncommitted_entries:
            return 'overloaded'
        return ''

    @property
    def _unsynced_count(self):
        """Number of entries that are not yet durable on the leader's disk."""
        return (
            self._replica.log.last_index
            - self._replica.write_queue.synced_index
        )

    # Reads

    def read(self, token):
        """Queues a linearizable read for the next heartbeat round."""
        if len(self._read_queue) >= self._replica.cfg.max_waiting_reads:
            self._reject(token, 'overloaded')
            return
        self._read_queue.add_read(token)
        self._start_read_round()

    def _start_read_round(self):
        """Starts a heartbeat round in this step if reads wait for one."""
        if self.is_ready and self._read_queue.needs_round:
            self._start_round()

    def _confirm_reads(self):
        """Answers the reads whose round a quorum has answered."""
        replica = self._replica
        voters = replica.voters
        acked_rounds = sorted(
            map(self._get_acked_round, voters.voters), reverse=True
        )
        confirmed_round = acked_rounds[voters.quorum_size - 1]
        for token, index in self._read_queue.take_confirmed_reads(
            confirmed_round
        ):
            replica.emit(_events.ReadReady(token, index))
        self._start_read_round()

    def _get_acked_round(self, identity):
        if identity == self._replica.identity:
            return self._sender.round_number
        return self.progress_by_identity[identity].acked_round

    def on_install_reply(self, reply):
        """Sends the next snapshot chunk, or entries after the installation."""
        progress = self._record_reply(reply)
        if progress is None or progress.snapshot_transfer is None:
            return
        if reply.last_index != progress.snapshot_transfer.snapshot.last_index:
            return
        if reply.installed:
            progress.snapshot_transfer = None
            progress.record_success(reply.last_index)
            self._advance_commit()
            self._sender.send_entries(reply.follower, progress)
        elif progress.snapshot_transfer.seek(reply.next_offset):
            self._sender.send_chunk(reply.follower, progress)

    # Leadership transfer and membership

    @property
    def is_transferring_leadership(self):
        """True while a leadership transfer is in progress."""
        return self._leadership_transfer_deadline_ms is not None

    def transfer_leadership(self):
        """Starts a leadership transfer to a voter with the whole log.

        Proposals are rejected until another voter leads or the transfer
        times out after ``election_max_ms``.
        """
        replica = self._replica
        self._leadership_transfer_deadline_ms = (
            replica.now_ms + replica.cfg.election_max_ms
        )
        self.broadcast_entries()
        self._continue_leadership_transfer()

    def _continue_leadership_transfer(self):
        if self.is_transferring_leadership:
            self.send_timeout_now()

    def send_timeout_now(self):
        """Tells one live voter with the whole log to start an election now."""
        replica = self._replica
        for peer in replica.voters.voters:
            progress = self.progress_by_identity.get(peer)
            if progress is None or not self.is_alive(peer):
                continue
            if progress.match_index == replica.log.last_index:
                message = messages.TimeoutNow(
                    replica.group, replica.term, replica.identity
                )
                replica.send(peer, message)
                self._successor_asked_until_ms = (
                    replica.now_ms + replica.cfg.election_max_ms
                )
                return

    def prepare_stop(self):
        """Gives up the leadership before a planned stop.

        A leader whose place a newcomer takes also leaves the group.
        """
        self._replica.announce_stop()
        if not self._membership_changer.remove_stopping_voter():
            self.transfer_leadership()

    def on_stop_notice(self, message):
        """Removes a voter that is about to stop if a newcomer replaces it."""
        super().on_stop_notice(message)
        self._membership_changer.remove_stopping_voter()

    def change_voters(self, event):
        """Appends a membership change or rejects it."""
        reason = self._membership_changer.propose_change(
            event.change, event.member
        )
        if reason:
            self._reject(event.token, reason)
            return
        replica = self._replica
        replica.emit(
            _events.ProposalAppended(
                event.token, replica.log.last_index, replica.term
            )
        )

    @property
    def joining_identities(self):
        """Identities that asked to join within ``election_min_ms``.

        Those that may not be added are left out.
        """
        return self._membership_changer.find_joining_identities()

    def on_hello(self, message):
        """Records the identity of a replica that asks to join."""
        self._membership_changer.record_newcomer(
            message.sender, message.may_found
        )
