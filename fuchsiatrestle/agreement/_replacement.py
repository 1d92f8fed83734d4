"""Decides which voters that no longer answer are removed from the group.

A voter that is silent may be gone for good, or only paused or cut off.  What
tells them apart is whether a replica with another name has joined: it takes
the place of a voter that fell silent at about that time.  Without a newcomer
a silent voter is kept for much longer.
"""

__all__ = ('VoterReplacement',)

# A planned replacement starts the new VM first; a voter that falls silent
# within this time after a newcomer has joined counts as replaced by it.
REPLACEMENT_LEAD_MS = 10_000


class VoterReplacement:
    """Matches newcomers with voters that fell silent.

    Args:
        replica: the leading ``Replica``.
        leader: its ``Leader`` role.
    """

    def __init__(self, replica, leader):
        self._replica = replica
        self._leader = leader
        # Time at which each newcomer has joined, by identity; for those that
        # an earlier leader has admitted, the time of the election.
        self._joined_ms_by_newcomer = {}

    def update_newcomers(self):
        """Follows the newcomers in the voter set in force."""
        newcomers = self._replica.voters.newcomers
        self._joined_ms_by_newcomer = {
            newcomer: self._joined_ms_by_newcomer.get(
                newcomer, self._replica.now_ms
            )
            for newcomer in newcomers
        }

    def find_settled_newcomer(self):
        """Returns a newcomer that joined too long ago, or ''.

        A voter that fell silent within ``REPLACEMENT_LEAD_MS`` would have
        been removed for it by now.
        """
        settled_ms = (
            self._replica.now_ms
            - REPLACEMENT_LEAD_MS
            - self._replica.cfg.replaced_voter_ms
        )
        for newcomer, joined_ms in self._joined_ms_by_newcomer.items():
            if joined_ms < settled_ms:
                return newcomer
        return ''

    def must_wait(self):
        """Returns True if a promotion waits for a silent voter.

        Removing a voter that is gone before the promotion keeps the quorum
        independent of the newcomer.  The wait ends when the voter answers, is
        removed, or stays silent although it may not be removed.
        """
        return any(
            not self._leader.is_alive(voter)
            and self._leader.get_silent_ms(voter)
            < self._replica.cfg.replaced_voter_ms
            for voter in self._replica.voters.voters
        )

    def find_gone_voter(self):
        """Returns a voter to remove because it is gone.

        Returns:
            The voter, or '', and the newcomer that takes its place, or ''.
        """
        voters = self._replica.voters.voters
        for voter in sorted(
            voters, key=self._leader.get_silent_ms, reverse=True
        ):
            silent_ms = self._leader.get_silent_ms(voter)
            if silent_ms < self._replica.cfg.replaced_voter_ms:
                break
            newcomer = self._find_newcomer(self._replica.now_ms - silent_ms)
            is_lost = silent_ms >= self._replica.cfg.lost_voter_ms
            if not newcomer and not (is_lost and self._is_dispensable(voter)):
                continue
            if self._has_live_quorum_without(voter):
                return voter, newcomer
        return '', ''

    def find_newcomer_for(self, voter):
        """Returns the newcomer that replaces a stopping voter, or ''.

        Args:
            voter: identity of the voter.
        """
        newcomer = self._find_newcomer(self._replica.now_ms)
        if newcomer == voter or not self._has_live_quorum_without(voter):
            return ''
        return newcomer

    def _find_newcomer(self, silent_since_ms):
        """Returns a newcomer that may take the place of a voter, or ''.

        Args:
            silent_since_ms: time since which the voter is silent.
        """
        for newcomer, joined_ms in self._joined_ms_by_newcomer.items():
            if joined_ms < silent_since_ms - REPLACEMENT_LEAD_MS:
                continue
            if self._leader.is_caught_up(newcomer):
                return newcomer
        return ''

    def _has_live_quorum_without(self, voter):
        remaining = self._replica.voters.without_member(voter)
        return bool(remaining.voters) and self._leader.has_live_quorum(
            remaining
        )

    def _is_dispensable(self, voter):
        """Returns True if the group is better off without a lost voter.

        A learner is ready to take its place, or as many voters as bear
        ``tolerated_losses`` answer without it.
        """
        if any(map(self._leader.is_caught_up, self._replica.voters.learners)):
            return True
        tolerated_losses = self._replica.cfg.tolerated_losses
        if not tolerated_losses:
            return False
        remaining = self._replica.voters.without_member(voter)
        live_count = sum(map(self._leader.is_alive, remaining.voters))
        return live_count >= 2 * tolerated_losses + 1
