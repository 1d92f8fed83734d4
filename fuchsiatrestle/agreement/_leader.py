"""Leader: takes proposals and brings the followers up to its log."""

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


class Leader(_role.Role):
    """Replica that leads its term.

    Its first entry is a no-op of its own term; nothing from before is
    committed by counting, and no read is answered, until that is committed.
    """

    name = 'leader'

    def __init__(self, replica):
        super().__init__(replica)
        self.progress = {}
        self._sender = _sending.Sender(replica)
        self._round_sent_ms = collections.OrderedDict()
        self._next_heartbeat_ms = replica.now_ms
        self._reads = _reads.ReadQueue()
        self._uncommitted = collections.deque()
        self._uncommitted_bytes = 0
        self._first_index = replica.log.last_index + 1
        self._handover_until_ms = None
        self._membership = _membership.Membership(replica, self)

    @property
    def ready(self):
        """True once the first own entry is committed."""
        return self._replica.commit >= self._first_index

    def start(self):
        """Appends the no-op and tells everyone."""
        self.track_members()
        self._replica.append_own('noop', b'')
        self._heartbeat()

    def stop(self):
        """Refuses the reads that wait."""
        for token in self._reads.drain():
            self._refuse(token, 'no_quorum')

    # Time

    def check_time(self):
        """Steps down when no quorum was heard within an election timeout."""
        replica = self._replica
        if self._alive_voters(replica.voters) >= replica.voters.quorum:
            return
        replica.become_follower(replica.term, '')

    def alive(self, identity):
        """Returns True if a member answered within an election timeout."""
        if identity == self._replica.identity:
            return True
        progress = self.progress.get(identity)
        if progress is None:
            return False
        silent_ms = self._replica.now_ms - progress.alive_ms
        return silent_ms < self._replica.cfg.election_min_ms

    def holds(self, identity, index):
        """Returns True if a member has an index on its disk."""
        progress = self.progress.get(identity)
        return progress is not None and progress.match >= index

    def _alive_voters(self, voters):
        return sum(self.alive(one) for one in voters.voters)

    def can_decide(self, voters):
        """Returns True if a quorum of this set is alive."""
        return self._alive_voters(voters) >= voters.quorum

    def hears_leader(self):
        """Returns True: a leader with a quorum refuses other candidates."""
        return True

    def tick(self):
        """Sends heartbeats and gives up a hand-over that takes too long."""
        now_ms = self._replica.now_ms
        if self.handing_over and now_ms >= self._handover_until_ms:
            self._handover_until_ms = None
        if not self.handing_over and self._disk_lags:
            self.hand_over()
        if now_ms >= self._next_heartbeat_ms:
            self._heartbeat()
        self._membership.tick()

    @property
    def _disk_lags(self):
        """True if the followers' disks carry what the own one does not."""
        return self._unsynced >= self._replica.cfg.max_uncommitted // 2

    # Sending

    def track_members(self):
        """Follows the members in force; new ones are probed."""
        replica = self._replica
        for peer in replica.voters.members:
            if peer != replica.identity and peer not in self.progress:
                self.progress[peer] = _progress.Progress(
                    replica.log.last_index + 1, replica.now_ms
                )

    def _heartbeat(self):
        replica = self._replica
        self._next_heartbeat_ms = replica.now_ms + replica.cfg.heartbeat_ms
        self._start_round()

    def _start_round(self):
        replica = self._replica
        self._sender.round += 1
        self._round_sent_ms[self._sender.round] = replica.now_ms
        self._forget_old_rounds()
        if self.ready:
            self._reads.start_round(self._sender.round, replica.commit)
        for peer, progress in self.progress.items():
            self._sender.send_sign_of_life(peer, progress)
        self._confirm_reads()

    def _forget_old_rounds(self):
        """Drops rounds too old to show that a follower is alive."""
        replica = self._replica
        oldest_ms = replica.now_ms - replica.cfg.election_min_ms
        while next(iter(self._round_sent_ms.values())) < oldest_ms:
            self._round_sent_ms.popitem(last=False)

    def broadcast(self):
        """Sends new entries to every follower that may take more."""
        for peer, progress in self.progress.items():
            self._sender.send_entries(peer, progress)

    # Replies

    def on_append(self, request):
        """Never happens: a term has one leader."""
        invariants.require(
            False,
            'one_leader_a_term',
            term=request.term,
            other=request.leader,
        )

    def on_append_reply(self, reply):
        """Moves the follower's position, commits and sends more."""
        progress = self._note_alive(reply)
        if progress is None or progress.transfer is not None:
            return
        if reply.success:
            invariants.require(
                reply.match <= self._replica.log.last_index,
                'match_held',
                follower=reply.follower,
                match=reply.match,
            )
            progress.succeeded(reply.match)
            self._commit()
        else:
            metrics.count(APPEND_REFUSED)
            progress.refused(reply.match)
        self._sender.send_entries(reply.follower, progress)
        self._continue_hand_over()

    def _note_alive(self, reply):
        """Returns the progress of a known follower, after noting its age."""
        progress = self.progress.get(reply.follower)
        if progress is None:
            return None
        invariants.require(
            reply.round <= self._sender.round,
            'round_sent',
            round=reply.round,
            follower=reply.follower,
        )
        sent_ms = self._round_sent_ms.get(reply.round)
        if sent_ms is not None:
            progress.alive_ms = max(progress.alive_ms, sent_ms)
        progress.acked_round = max(progress.acked_round, reply.round)
        self._confirm_reads()
        return progress

    def settled(self):
        """Counts the own entries that have become durable."""
        self._commit()

    def _commit(self):
        replica = self._replica
        voters = replica.voters
        matches = sorted(map(self._match_of, voters.voters), reverse=True)
        index = matches[voters.quorum - 1]
        # An older term's entry is committed only along with an own one.
        if replica.log.term_at(index) != replica.term:
            return
        if index <= replica.commit:
            return
        replica.advance_commit(index)
        self._release_committed()
        self._start_waiting_reads()
        self._membership.committed()

    def _match_of(self, identity):
        if identity == self._replica.identity:
            return self._replica.writes.synced_index
        return self.progress[identity].match

    def _release_committed(self):
        commit = self._replica.commit
        while self._uncommitted and self._uncommitted[0][0] <= commit:
            self._uncommitted_bytes -= self._uncommitted.popleft()[1]

    # Proposals

    def propose(self, items):
        """Appends the proposals and sends them on."""
        for token, data in items:
            reason = self._refusal(len(data))
            if reason:
                self._refuse(token, reason)
                continue
            entry = self._replica.append_own('command', data)
            self._uncommitted.append((entry.index, len(data)))
            self._uncommitted_bytes += len(data)
            self._replica.emit(
                _events.Accepted(token, entry.index, entry.term)
            )
        self.broadcast()

    def _refusal(self, size):
        cfg = self._replica.cfg
        if self.handing_over:
            return 'stopping'
        if len(self._uncommitted) >= cfg.max_uncommitted:
            return 'overloaded'
        if self._uncommitted_bytes + size > cfg.max_uncommitted_bytes:
            return 'overloaded'
        if self._unsynced >= cfg.max_uncommitted:
            return 'overloaded'
        return ''

    @property
    def _unsynced(self):
        """Own entries that wait for the disk."""
        return self._replica.log.last_index - self._replica.writes.synced_index

    # Reads

    def read(self, token):
        """Queues a read for the next round."""
        if len(self._reads) >= self._replica.cfg.max_waiting_reads:
            self._refuse(token, 'overloaded')
            return
        self._reads.add(token)
        self._start_waiting_reads()

    def _start_waiting_reads(self):
        if self.ready and self._reads.wants_round:
            self._start_round()

    def _confirm_reads(self):
        replica = self._replica
        voters = replica.voters
        rounds = sorted(map(self._acked_round_of, voters.voters), reverse=True)
        confirmed = rounds[voters.quorum - 1]
        for token, index in self._reads.confirm(confirmed):
            replica.emit(_events.ReadReady(token, index))
        self._start_waiting_reads()

    def _acked_round_of(self, identity):
        if identity == self._replica.identity:
            return self._sender.round
        return self.progress[identity].acked_round

    def on_install_reply(self, reply):
        """Sends the next chunk, or entries once the snapshot is installed."""
        progress = self._note_alive(reply)
        if progress is None or progress.transfer is None:
            return
        if reply.last_index != progress.transfer.snapshot.last_index:
            return
        if reply.installed:
            progress.transfer = None
            progress.succeeded(reply.last_index)
            self._commit()
            self._sender.send_entries(reply.follower, progress)
        elif progress.transfer.advance(reply.next_offset):
            self._sender.send_chunk(reply.follower, progress)

    # Hand-over and members

    @property
    def handing_over(self):
        """True while leadership is being given away."""
        return self._handover_until_ms is not None

    def hand_over(self):
        """Refuses proposals and lets the best voter take over."""
        replica = self._replica
        self._handover_until_ms = replica.now_ms + replica.cfg.election_max_ms
        self.broadcast()
        self._continue_hand_over()

    def _continue_hand_over(self):
        if self.handing_over:
            self.order_election()

    def order_election(self):
        """Tells a voter that holds the whole log to stand at once."""
        replica = self._replica
        for peer in replica.voters.voters:
            progress = self.progress.get(peer)
            if progress is None or not self.alive(peer):
                continue
            if progress.match == replica.log.last_index:
                message = messages.TimeoutNow(
                    replica.group, replica.term, replica.identity
                )
                replica.send(peer, message)
                return

    def change_voters(self, event):
        """Changes the set of voters by one member."""
        reason = self._membership.change(event.change, event.member)
        if reason:
            self._refuse(event.token, reason)
            return
        replica = self._replica
        replica.emit(
            _events.Accepted(event.token, replica.log.last_index, replica.term)
        )

    @property
    def newcomers(self):
        """Identities that want to join and may be added."""
        return self._membership.newcomers()

    def on_hello(self, message):
        """Notes a replica that wants to join."""
        self._membership.note_newcomer(message.sender)
