"""Candidate role: a pre-vote, then an election in a new term."""

from fuchsiatrestle.agreement import _role
from fuchsiatrestle import messages
from fuchsiatrestle import metrics

__all__ = ('Candidate',)

ELECTION_REPEATED = metrics.declare(
    'retry.election', 'Elections started again for want of votes.'
)


class Candidate(_role.Role):
    """Collects the votes of one pre-vote or one election.

    The pre-vote asks whether the replica could win and changes no durable
    state, so that a replica that can not win does not raise the term.

    Args:
        replica: the ``Replica`` that stands for election.
        is_prevote: True for the pre-vote.
        is_leadership_transfer: True if the old leader asked for this election.
    """

    name = 'candidate'

    def __init__(self, replica, is_prevote, is_leadership_transfer=False):
        super().__init__(replica)
        self._is_prevote = is_prevote
        self._is_leadership_transfer = is_leadership_transfer
        self._granting_voters = set()
        self._retry_at_ms = replica.now_ms + replica.draw_election_retry_ms()
        # A vote that the candidate gives itself counts only once it is
        # durable; a pre-vote changes no durable state.
        self._own_vote_durable = is_prevote

    def start(self):
        """Requests the other voters' votes and counts the candidate's own."""
        replica = self._replica
        request = messages.VoteRequest(
            replica.group,
            replica.term + 1 if self._is_prevote else replica.term,
            replica.identity,
            replica.log.last_index,
            replica.log.last_term,
            self._is_prevote,
            self._is_leadership_transfer,
        )
        for peer in replica.voters.voters:
            if peer != replica.identity:
                self._request_vote(peer, request)
        self._count_vote(replica.identity)

    def _request_vote(self, peer, request):
        if self._is_prevote:
            self._replica.send(peer, request)
        else:
            self._replica.send_when_durable(peer, request)

    def tick(self):
        """Starts a new pre-vote if this pre-vote or election has timed out.

        An election continues while the candidate's own vote is not durable;
        a new one would only queue another write on the same slow disk.
        """
        if not self._own_vote_durable:
            return
        if self._replica.now_ms >= self._retry_at_ms:
            metrics.count(ELECTION_REPEATED)
            self._replica.become_candidate(is_prevote=True)

    def on_writes_durable(self):
        """Counts the candidate's own vote once all its writes are durable."""
        if (
            not self._own_vote_durable
            and self._replica.write_queue.requested_writes_durable
        ):
            self._own_vote_durable = True
            self._proceed_if_won()

    def on_vote_granted(self):
        """Becomes a follower, as another candidate got this replica's vote."""
        self._replica.become_follower(self._replica.term, '')

    def on_vote_reply(self, reply):
        """Counts a vote that was granted in this pre-vote or election."""
        if reply.pre == self._is_prevote and reply.granted:
            self._count_vote(reply.voter)

    def on_append_request(self, request):
        """Becomes a follower of the leader that won this term."""
        self._replica.become_follower(request.term, request.leader)
        self._replica.role.on_append_request(request)

    def on_install_request(self, request):
        """Becomes a follower of the leader that won this term."""
        self._replica.become_follower(request.term, request.leader)
        self._replica.role.on_install_request(request)

    def _count_vote(self, voter):
        if voter in self._replica.voters.voters:
            self._granting_voters.add(voter)
        self._proceed_if_won()

    def _proceed_if_won(self):
        """Starts the election after a won pre-vote, leads after the election.

        Both are won by a quorum of votes, once the candidate's own vote is
        durable.
        """
        replica = self._replica
        if not self._own_vote_durable:
            return
        if len(self._granting_voters) < replica.voters.quorum_size:
            return
        if self._is_prevote:
            replica.become_candidate(is_prevote=False)
        else:
            replica.become_leader()
