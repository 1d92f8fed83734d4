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
# A replica that restarts knows the ages of newcomers from its log alone; they
# are then too low by this time at most, and by the time it was down.
AGE_INTERVAL_MS = 2_000


class VoterReplacement:
    """Matches newcomers with voters that fell silent.

    Args:
        replica: the leading ``Replica``.
        leader: its ``Leader`` role.
    """

    def __init__(self, replica, leader):
        self._replica = replica
        self._leader = leader

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
        for newcomer, joined_ms in self._replica.joined_ms_by_newcomer.items():
            if joined_ms < settled_ms:
                return newcomer
        return ''

    def find_newcomer_to_age(self):
        """Returns a newcomer whose age in the voter set is too low, or ''."""
        ages_ms = self._replica.voters.newcomer_ages_ms
        for newcomer, joined_ms in self._replica.joined_ms_by_newcomer.items():
            age_ms = self._replica.now_ms - joined_ms
            if age_ms >= ages_ms.get(newcomer, 0) + AGE_INTERVAL_MS:
                return newcomer
        return ''

    def must_wait(self):
        """Returns True if a promotion waits for a silent voter.

        Removing a voter that is gone before the promotion keeps the quorum
        independent of the newcomer.  The wait ends when the voter answers, is
        removed, or stays silent although it may not be removed; there is none
        for a voter that no newcomer may replace.
        """
        return any(map(self._may_be_removed_soon, self._replica.voters.voters))

    def _may_be_removed_soon(self, voter):
        silent_ms = self._leader.get_silent_ms(voter)
        return (
            not self._leader.is_alive(voter)
            and silent_ms < self._replica.cfg.replaced_voter_ms
            and bool(
                self._find_newcomer(voter, self._replica.now_ms - silent_ms)
            )
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
            newcomer = self._find_newcomer(
                voter, self._replica.now_ms - silent_ms
            )
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
        if not self._has_live_quorum_without(voter):
            return ''
        return self._find_newcomer(voter, self._replica.now_ms)

    def _find_newcomer(self, voter, silent_since_ms):
        """Returns a newcomer that may take the place of a voter, or ''.

        Args:
            voter: identity of the voter.
            silent_since_ms: time since which the voter is silent.
        """
        for newcomer, joined_ms in self._replica.joined_ms_by_newcomer.items():
            if joined_ms < silent_since_ms - REPLACEMENT_LEAD_MS:
                continue
            if newcomer != voter and self._leader.is_caught_up(newcomer):
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
