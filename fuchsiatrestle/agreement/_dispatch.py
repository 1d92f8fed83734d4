"""Routes events and messages of a replica to its role."""

from fuchsiatrestle.agreement import _events
from fuchsiatrestle.agreement import _voters
from fuchsiatrestle import messages

__all__ = ('Dispatch',)


class Dispatch:
    """Handles what is the same in every role, hands on the rest.

    Args:
        replica: the ``Replica`` that takes the events.
    """

    def __init__(self, replica):
        self._replica = replica
        self._events = {
            _events.Tick: self._on_tick,
            _events.Received: self._on_received,
            _events.Synced: self._on_synced,
            _events.Compact: self._on_compact,
            _events.Propose: self._on_propose,
            _events.ReadRequest: self._on_read,
            _events.ChangeVoters: self._on_change,
            _events.HandOver: self._on_hand_over,
        }
        self._messages = {
            messages.AppendRequest: self._on_append,
            messages.InstallRequest: self._on_install,
            messages.VoteReply: self._on_vote_reply,
            messages.AppendReply: self._on_append_reply,
            messages.InstallReply: self._on_install_reply,
            messages.TimeoutNow: self._on_timeout_now,
        }

    def handle(self, event):
        """Handles one event."""
        self._events[type(event)](event)

    # Events

    def _on_tick(self, event):
        self._greet()
        self._replica.role.tick()

    def _on_synced(self, event):
        replica = self._replica
        replica.release(replica.writes.settle(event.write_id))
        replica.role.settled()

    def _on_compact(self, event):
        self._replica.compact(event.snapshot)

    def _on_propose(self, event):
        self._replica.role.propose(event.items)

    def _on_read(self, event):
        self._replica.role.read(event.token)

    def _on_change(self, event):
        self._replica.role.change_voters(event)

    def _on_hand_over(self, event):
        self._replica.role.hand_over()

    # Hellos and founding

    def _greet(self):
        replica = self._replica
        voters = replica.voters
        if replica.identity in voters.members + voters.removed:
            return
        for name in replica.founding.due(replica.now_ms):
            hello = replica.founding.hello(replica.group, joined=False)
            replica.emit(_events.Send(name, hello))
        if not replica.group:
            identities = replica.founding.members(replica.now_ms)
            if identities:
                replica.found(identities)

    def _on_hello(self, event):
        message = event.message
        replica = self._replica
        if message.cell != replica.cell:
            return
        name = _voters.name_of(message.sender)
        replica.founding.note(name, message, replica.now_ms)
        if not message.joined and replica.voters.voters:
            hello = replica.founding.hello(replica.group, joined=True)
            replica.emit(_events.Send(name, hello))
            replica.role.on_hello(message)
            self._pass_hello_on(event)

    def _pass_hello_on(self, event):
        """Lets the leader know of a newcomer that does not know it.

        Only what comes from the newcomer itself is passed on, so that two
        replicas that are wrong about the leader do not pass it to and fro.
        """
        replica = self._replica
        leader = replica.leader_name
        newcomer = _voters.name_of(event.message.sender)
        leads = replica.leader == replica.identity
        if leader and not leads and event.sender == newcomer:
            replica.emit(_events.Send(leader, event.message))

    # Messages

    def _on_received(self, event):
        message = event.message
        if isinstance(message, messages.Hello):
            self._on_hello(event)
        elif not self._accepts(message.group):
            return
        elif isinstance(message, messages.VoteRequest):
            self._on_vote_request(message)
        else:
            self._on_peer_message(message)

    def _accepts(self, group):
        if self._replica.group:
            return group == self._replica.group
        return group.startswith(f'{self._replica.cell}/')

    def _on_peer_message(self, message):
        replica = self._replica
        if message.term > replica.term:
            if self._promises_only(message):
                replica.role.on_vote_reply(message)
                return
            replica.become_follower(message.term, '')
        if message.term < replica.term and self._answer_stale(message):
            return
        handler = self._messages.get(type(message))
        if handler is not None:
            handler(message)

    def _promises_only(self, message):
        """True for a granted pre-vote, which names a term not yet begun."""
        is_vote = isinstance(message, messages.VoteReply)
        return is_vote and message.pre and message.granted

    def _answer_stale(self, message):
        """Tells a leader of an older term that its time has passed."""
        replica = self._replica
        if isinstance(message, messages.AppendRequest):
            reply = messages.AppendReply(
                replica.group, replica.term, replica.identity, False, 0, 0
            )
            replica.send(message.leader, reply)
        elif isinstance(message, messages.InstallRequest):
            reply = messages.InstallReply(
                replica.group, replica.term, replica.identity, 0, 0, False
            )
            replica.send(message.leader, reply)
        return True

    def _on_append(self, message):
        self._replica.role.on_append(message)

    def _on_install(self, message):
        self._replica.role.on_install(message)

    def _on_vote_reply(self, message):
        self._replica.role.on_vote_reply(message)

    def _on_append_reply(self, message):
        self._replica.role.on_append_reply(message)

    def _on_install_reply(self, message):
        self._replica.role.on_install_reply(message)

    def _on_timeout_now(self, message):
        self._replica.role.on_timeout_now(message)

    # Votes

    def _on_vote_request(self, request):
        replica = self._replica
        if replica.role.hears_leader() and not request.handover:
            return
        if request.pre:
            self._answer_vote(request, self._may_grant(request))
            return
        if request.term > replica.term:
            replica.become_follower(request.term, '')
        granted = self._may_grant(request) and request.term == replica.term
        if granted:
            replica.join(request.group)
            replica.vote_for(request.candidate)
            replica.role.postpone_election()
        self._answer_vote(request, granted)

    def _may_grant(self, request):
        replica = self._replica
        if request.term < replica.term:
            return False
        if request.pre and request.term == replica.term:
            return False
        if not request.pre and not replica.may_vote_for(request.candidate):
            return False
        log = replica.log
        theirs = (request.last_term, request.last_index)
        return theirs >= (log.last_term, log.last_index)

    def _answer_vote(self, request, granted):
        replica = self._replica
        term = request.term if request.pre and granted else replica.term
        reply = messages.VoteReply(
            replica.group or request.group,
            term,
            replica.identity,
            granted,
            request.pre,
        )
        if request.pre or not granted:
            replica.send(request.candidate, reply)
        else:
            replica.send_durably(request.candidate, reply)
