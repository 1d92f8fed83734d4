"""Routes events and messages to the current role of a replica."""

from fuchsiatrestle.agreement import _events
from fuchsiatrestle.agreement import _validation
from fuchsiatrestle.agreement import _voters
from fuchsiatrestle import logs
from fuchsiatrestle import messages
from fuchsiatrestle import metrics

__all__ = ('Dispatcher',)

MALFORMED_APPENDS = metrics.declare(
    'refused.append_malformed', 'Appends dropped because of their entries.'
)

LOG = logs.get_logger(__name__)


class Dispatcher:
    """Handles events that all roles treat alike and passes on the others.

    Hellos, the founding of the group, terms and vote requests are handled
    here; all else goes to the current role or to the replica.

    Args:
        replica: the ``Replica`` that receives the events.
    """

    def __init__(self, replica):
        self._replica = replica
        self._event_handlers = {
            _events.Tick: self._on_tick,
            _events.MessageReceived: self._on_message_received,
            _events.WritesSynced: self._on_writes_synced,
            _events.CompactLog: self._on_compact_log,
            _events.ProposeCommands: self._on_propose_commands,
            _events.ReadRequest: self._on_read_request,
            _events.ChangeVoters: self._on_change_voters,
            _events.TransferLeadership: self._on_transfer_leadership,
            _events.PrepareStop: self._on_prepare_stop,
            _events.SetInitialMembers: self._on_set_initial_members,
        }
        self._message_handlers = {
            messages.AppendRequest: self._on_append_request,
            messages.InstallRequest: self._on_install_request,
            messages.VoteReply: self._on_vote_reply,
            messages.AppendReply: self._on_append_reply,
            messages.InstallReply: self._on_install_reply,
            messages.TimeoutNow: self._on_timeout_now,
        }

    def handle(self, event):
        """Handles one event."""
        self._event_handlers[type(event)](event)

    # Events

    def _on_tick(self, event):
        self._bootstrap_group()
        self._replica.role.tick()

    def _on_writes_synced(self, event):
        replica = self._replica
        replica.send_if_term_current(
            replica.write_queue.mark_durable(event.write_id)
        )
        replica.role.on_writes_durable()

    def _on_compact_log(self, event):
        self._replica.compact_log(event.snapshot)

    def _on_propose_commands(self, event):
        self._replica.role.propose(event.proposals)

    def _on_read_request(self, event):
        self._replica.role.read(event.token)

    def _on_change_voters(self, event):
        self._replica.role.change_voters(event)

    def _on_transfer_leadership(self, event):
        self._replica.role.transfer_leadership()

    def _on_prepare_stop(self, event):
        self._replica.role.prepare_stop()

    def _on_set_initial_members(self, event):
        self._replica.founding.set_initial_names(event.names)

    # Hellos and founding of the group

    def _bootstrap_group(self):
        """Sends due hellos, and founds the group once ``Founding`` allows it.

        A replica that counts itself as a member, or was removed, founds
        nothing.  It sends hellos only while it knows of no leader, to learn
        whether the group goes on without it; they ask to join as long as its
        membership is not known to be committed.
        """
        replica = self._replica
        voters = replica.voters
        is_joined = replica.identity in voters.members + voters.removed
        if is_joined and replica.leader_identity:
            return
        self._send_hellos(is_joined and replica.voters_committed)
        if not replica.group and not is_joined:
            identities = replica.founding.find_founding_members(replica.now_ms)
            if identities:
                replica.found_group(identities)

    def _send_hellos(self, is_joined):
        """Sends hellos to the initial members, known voters and the leader.

        A replica with an empty disk may have initial members that are all
        gone, and learns of the leader by its messages alone.
        """
        replica = self._replica
        names = set(map(_voters.process_name_of, replica.voters.voters))
        if replica.leader_name:
            names.add(replica.leader_name)
        receivers = replica.founding.take_hello_receivers(
            replica.now_ms, names
        )
        hello = replica.founding.build_hello(replica.group, is_joined)
        for process_name in receivers:
            replica.emit(_events.SendToPeer(process_name, hello))

    def _on_hello(self, event):
        """Records a hello and answers a sender that has not joined a group.

        Only a replica that has joined answers.  The reply tells the sender
        that a group exists, so that it founds no other one.  The leader also
        learns of the sender and may admit it.
        """
        message = event.message
        replica = self._replica
        if message.cell != replica.cell:
            return
        if self._tell_removed_member(message.sender):
            return
        process_name = _voters.process_name_of(message.sender)
        replica.founding.record_hello(process_name, message, replica.now_ms)
        if not message.joined and replica.voters.voters:
            hello = replica.founding.build_hello(replica.group, joined=True)
            replica.emit(_events.SendToPeer(process_name, hello))
            replica.role.on_hello(message)
            self._forward_hello(event)

    def _forward_hello(self, event):
        """Forwards the hello of a newcomer to the leader.

        The newcomer may not know the leader.  Only a hello received from the
        newcomer itself is forwarded, so that two replicas which take each
        other for the leader do not forward it back and forth.
        """
        replica = self._replica
        leader_name = replica.leader_name
        newcomer = _voters.process_name_of(event.message.sender)
        is_leader = replica.leader_identity == replica.identity
        if leader_name and not is_leader and event.sender == newcomer:
            replica.emit(_events.SendToPeer(leader_name, event.message))

    # Messages

    def _on_message_received(self, event):
        message = event.message
        if isinstance(message, messages.Hello):
            self._on_hello(event)
        elif not self._accepts_group(message.group):
            return
        elif isinstance(message, messages.VoteRequest):
            if not self._tell_removed_member(message.candidate):
                self._on_vote_request(message)
        elif isinstance(message, messages.MemberRemoved):
            self._replica.on_removed(message)
        elif isinstance(message, messages.StopNotice):
            self._replica.role.on_stop_notice(message)
        else:
            self._on_peer_message(message)

    def _tell_removed_member(self, identity):
        """Tells a removed member so, once its removal is committed.

        Returns:
            True if the sender of a message is such a member.
        """
        replica = self._replica
        voters = replica.voters
        if not replica.voters_committed or identity not in voters.removed:
            return False
        may_rejoin = identity in voters.replaced
        replica.send(
            identity,
            messages.MemberRemoved(replica.group, identity, may_rejoin),
        )
        return True

    def _accepts_group(self, group):
        """Returns True if messages of a group are to be handled.

        These are the messages of this replica's own group.  A replica without
        a group accepts any group of its cell, to join it.
        """
        if self._replica.group:
            return group == self._replica.group
        return group.startswith(f'{self._replica.cell}/')

    def _on_peer_message(self, message):
        replica = self._replica
        if message.term > replica.term:
            if self._is_granted_prevote(message):
                replica.role.on_vote_reply(message)
                return
            replica.become_follower(message.term, '')
        if message.term < replica.term and self._drop_stale_message(message):
            return
        handler = self._message_handlers.get(type(message))
        if handler is not None:
            handler(message)

    def _is_granted_prevote(self, message):
        """Returns True for a granted pre-vote.

        It carries the term of the election to come, which no replica has
        entered yet.
        """
        is_vote = isinstance(message, messages.VoteReply)
        return is_vote and message.pre and message.granted

    def _drop_stale_message(self, message):
        """Drops a message of an older term.

        The leader of an older term gets a reply, from which it learns the
        current term.

        Returns:
            True, as the message needs no further handling.
        """
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

    def _on_append_request(self, message):
        fault = _validation.find_append_fault(message)
        if fault:
            metrics.count(MALFORMED_APPENDS)
            LOG.error(
                'append_malformed',
                extra={
                    'leader': message.leader,
                    'term': message.term,
                    'fault': fault,
                },
            )
            return
        self._replica.role.on_append_request(message)

    def _on_install_request(self, message):
        self._replica.role.on_install_request(message)

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
        """Grants or refuses a vote, or ignores the request.

        It is ignored while a leader is active, so that a candidate that does
        not hear the leader can not depose it.  An election that the leader
        itself asked for is the exception.
        """
        replica = self._replica
        if replica.role.has_active_leader() and not request.handover:
            return
        if request.pre:
            self._reply_to_vote_request(request, self._may_grant_vote(request))
            return
        if request.term > replica.term:
            replica.become_follower(request.term, '')
        vote_granted = (
            self._may_grant_vote(request) and request.term == replica.term
        )
        if vote_granted:
            replica.join_group(request.group)
            replica.vote_for(request.candidate)
            replica.role.on_vote_granted()
        self._reply_to_vote_request(request, vote_granted)

    def _may_grant_vote(self, request):
        """Returns True if the candidate's term and log allow a vote for it.

        A pre-vote does not depend on the vote given in this term.
        """
        replica = self._replica
        if request.term < replica.term:
            return False
        if request.pre and request.term == replica.term:
            return False
        if not request.pre and not replica.may_vote_for(request.candidate):
            return False
        log = replica.log
        candidate_position = (request.last_term, request.last_index)
        return candidate_position >= (log.last_term, log.last_index)

    def _reply_to_vote_request(self, request, vote_granted):
        """Sends the reply to a vote request.

        A granted vote is sent once it is durable; a refusal and any reply to
        a pre-vote are sent at once.  A granted pre-vote carries the term of
        the election to come.
        """
        replica = self._replica
        term = request.term if request.pre and vote_granted else replica.term
        reply = messages.VoteReply(
            replica.group or request.group,
            term,
            replica.identity,
            vote_granted,
            request.pre,
        )
        if request.pre or not vote_granted:
            replica.send(request.candidate, reply)
        else:
            replica.send_when_durable(request.candidate, reply)
