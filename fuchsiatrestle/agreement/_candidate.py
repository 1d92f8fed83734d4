"""Candidate: pre-vote, then the vote of a new term."""

from fuchsiatrestle.agreement import _role
from fuchsiatrestle import messages
from fuchsiatrestle import metrics

__all__ = ('Candidate',)

ELECTION_REPEATED = metrics.declare(
    'retry.election', 'Elections started again for want of votes.'
)


class Candidate(_role.Role):
    """Asks for votes in two rounds; the first changes no durable state.

    Args:
        replica: the candidate.
        pre: True for the first round.
        handover: True if the old leader asked for this election.
    """

    name = 'candidate'

    def __init__(self, replica, pre, handover=False):
        super().__init__(replica)
        self._pre = pre
        self._handover = handover
        self._granted = set()
        self._deadline_ms = replica.now_ms + replica.draw_retry_ms()
        # A vote for oneself counts only once it is durable.
        self._own_vote_settled = pre

    def start(self):
        """Asks the other voters."""
        replica = self._replica
        request = messages.VoteRequest(
            replica.group,
            replica.term + 1 if self._pre else replica.term,
            replica.identity,
            replica.log.last_index,
            replica.log.last_term,
            self._pre,
            self._handover,
        )
        for peer in replica.voters.voters:
            if peer != replica.identity:
                self._ask(peer, request)
        self._count(replica.identity)

    def _ask(self, peer, request):
        if self._pre:
            self._replica.send(peer, request)
        else:
            self._replica.send_durably(peer, request)

    def tick(self):
        """Starts over when the election has brought no leader in time.

        An election whose own vote still waits for the disk goes on; starting
        over would only make the disk write another one.
        """
        if not self._own_vote_settled:
            return
        if self._replica.now_ms >= self._deadline_ms:
            metrics.count(ELECTION_REPEATED)
            self._replica.become_candidate(pre=True)

    def settled(self):
        """Counts the own vote once it is durable."""
        if not self._own_vote_settled and self._replica.writes.idle:
            self._own_vote_settled = True
            self._conclude()

    def postpone_election(self):
        """Gives way to the candidate that just got the vote."""
        self._replica.become_follower(self._replica.term, '')

    def on_vote_reply(self, reply):
        """Counts a vote of this round."""
        if reply.pre == self._pre and reply.granted:
            self._count(reply.voter)

    def on_append(self, request):
        """Follows the leader that won this term."""
        self._replica.become_follower(request.term, request.leader)
        self._replica.role.on_append(request)

    def on_install(self, request):
        """Follows the leader that won this term."""
        self._replica.become_follower(request.term, request.leader)
        self._replica.role.on_install(request)

    def _count(self, voter):
        if voter in self._replica.voters.voters:
            self._granted.add(voter)
        self._conclude()

    def _conclude(self):
        replica = self._replica
        if not self._own_vote_settled:
            return
        if len(self._granted) < replica.voters.quorum:
            return
        if self._pre:
            replica.become_candidate(pre=False)
        else:
            replica.become_leader()
