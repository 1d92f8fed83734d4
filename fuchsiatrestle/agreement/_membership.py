"""Membership changes, proposed by the leader one at a time."""

from fuchsiatrestle.agreement import _replacement
from fuchsiatrestle.agreement import _voters
from fuchsiatrestle import logs

__all__ = ('MembershipChanger',)

# Bounds the memory used for hellos of replicas outside the group.
MAX_NEWCOMERS = 32

LOG = logs.get_logger(__name__)


class _Removal:
    """Removal of a silent voter.

    Attributes:
        voter: identity of the voter.
        newcomer: identity of the newcomer that takes its place, or ''.
        joined_ms: time at which the newcomer has joined, None without one.
        acked_round: round that the voter had answered last.
    """

    __slots__ = ('acked_round', 'joined_ms', 'newcomer', 'voter')

    def __init__(self, voter, newcomer, joined_ms, acked_round):
        self.voter = voter
        self.newcomer = newcomer
        self.joined_ms = joined_ms
        self.acked_round = acked_round


class MembershipChanger:
    """Appends membership changes to the log, one at a time.

    A change is rejected while the one before it is not committed.

    Each change adds, promotes or removes a single member.  The leader also
    makes changes by itself: it admits replicas that ask to join, promotes
    learners that caught up, and removes a member that is not alive if a
    replica with another identity of the same process name takes its place, or
    as ``VoterReplacement`` decides.

    Args:
        replica: the leading ``Replica``.
        leader: its ``Leader`` role.
    """

    def __init__(self, replica, leader):
        self._replica = replica
        self._leader = leader
        # (identity, time of the last hello) by process name.
        self._newcomers_by_name = {}
        # Those identities that may take part in founding a group.
        self._founding_identities = set()
        # ``_Removal`` of a silent voter that was appended last, or None.
        self._last_removal = None
        self._replacement = _replacement.VoterReplacement(replica, leader)

    def propose_change(self, change, member, newcomer=''):
        """Appends a membership change, unless it has to be rejected.

        Args:
            change: ``add``, ``promote``, ``remove``, ``replace`` to remove a
                member that may join again with a new identity, ``settle``
                for a newcomer that replaces nobody any more, or ``age`` to
                commit for how long a newcomer has been one.
            member: identity of the member.
            newcomer: identity of a newcomer that takes its place, if any.

        Returns:
            The reason of ``RequestRejected``, an empty string on success.
        """
        rejection_reason = self._find_rejection_reason(change, member)
        if rejection_reason:
            return rejection_reason
        voters = self._make_changed_voters(change, member)
        if newcomer:
            voters = voters.without_newcomer(newcomer)
        self._append_voters(
            voters, self._replica.joined_ms_by_newcomer, change, member
        )
        return ''

    def _append_voters(self, voters, joined_ms_by_newcomer, change, member):
        voters = voters.with_newcomer_ages(
            joined_ms_by_newcomer, self._replica.now_ms
        )
        self._replica.append_as_leader('voters', _voters.encode_voters(voters))
        LOG.info('voters_changing', extra={'change': change, 'member': member})
        self._leader.track_members()
        self._leader.broadcast_entries()

    def _make_changed_voters(self, change, member):
        voters = self._replica.voters
        if change == 'add':
            may_found = member in self._founding_identities
            return voters.with_learner(member, may_found)
        if change == 'promote':
            return voters.with_promoted_learner(member)
        if change == 'replace':
            return voters.without_replaced_member(member)
        if change == 'settle':
            return voters.without_newcomer(member)
        if change == 'age':
            return voters
        return voters.without_member(member)

    def _find_rejection_reason(self, change, member):
        """Returns why a change is rejected, an empty string if it is not."""
        if self._leader.is_transferring_leadership:
            return 'stopping'
        if not self._leader.is_ready:
            return 'not_ready'
        if not self._replica.voters_committed:
            return 'change_pending'
        reason_finders = {
            'add': self._find_reason_against_adding,
            'promote': self._find_reason_against_promoting,
            'remove': self._find_reason_against_removing,
            'replace': self._find_reason_against_removing,
            'settle': self._find_reason_against_settling,
            'age': self._find_reason_against_settling,
        }
        return reason_finders[change](member)

    def _find_reason_against_adding(self, member):
        voters = self._replica.voters
        is_known = member in voters.members or member in voters.removed
        return 'known_member' if is_known else ''

    def _find_reason_against_promoting(self, member):
        if member not in self._replica.voters.learners:
            return 'unknown_member'
        if not self._leader.is_caught_up(member):
            return 'not_caught_up'
        return ''

    def _find_reason_against_removing(self, member):
        voters = self._replica.voters
        if member not in voters.members:
            return 'unknown_member'
        remaining = voters.without_member(member)
        if not remaining.voters:
            return 'last_voter'
        if not self._leader.has_live_quorum(remaining):
            return 'no_quorum'
        return ''

    def _find_reason_against_settling(self, member):
        is_newcomer = member in self._replica.voters.newcomers
        return '' if is_newcomer else 'unknown_member'

    # Effects of committed changes

    def on_entries_committed(self):
        """Steps down once the removal of this leader is committed.

        It first tells another voter to start an election at once.
        """
        replica = self._replica
        if replica.is_voter or not replica.voters_committed:
            return
        self._leader.send_timeout_now()
        replica.become_follower(replica.term, '')

    def tick(self):
        """Stops tracking removed members and may make a membership change.

        With ``auto_admit`` it makes at most one change: a step towards
        promoting a learner that caught up, else towards adding an identity
        that asked to join.  Either step may be the removal of a member of the
        same process name that is not alive.

        It does nothing while the leader is not ready or a change is
        uncommitted, and makes no change during a leadership transfer.
        """
        if not self._leader.is_ready or not self._replica.voters_committed:
            return
        if self._restore_voter():
            return
        self._stop_tracking_removed_members()
        if (
            self._leader.is_transferring_leadership
            or not self._replica.cfg.auto_admit
        ):
            return
        for make_change in (
            self.remove_stopping_voter,
            self._remove_gone_member,
            self._promote_learners,
            self._admit_newcomers,
            self._settle_newcomer,
            self._age_newcomer,
        ):
            if make_change():
                return

    def _remove_gone_member(self):
        """Removes a member that is gone for good.

        Returns:
            True if a change was appended.
        """
        if not self._replica.cfg.auto_admit_unlisted:
            return False
        voter, newcomer = self._replacement.find_gone_voter()
        if voter:
            return self._remove_silent_voter(voter, newcomer)
        for learner in self._replica.voters.learners:
            silent_ms = self._leader.get_silent_ms(learner)
            if silent_ms >= self._replica.cfg.lost_voter_ms:
                return not self.propose_change('replace', learner)
        return False

    def _remove_silent_voter(self, voter, newcomer):
        joined_ms = self._replica.joined_ms_by_newcomer.get(newcomer)
        if self.propose_change('replace', voter, newcomer):
            return False
        progress = self._leader.progress_by_identity[voter]
        self._last_removal = _Removal(
            voter, newcomer, joined_ms, progress.acked_round
        )
        return True

    def _restore_voter(self):
        """Gives a voter its place back if it answered in time.

        That is before the leader saw that its removal is committed.

        Returns:
            True if the change was appended.
        """
        removal = self._last_removal
        if removal is None:
            return False
        self._last_removal = None
        progress = self._leader.progress_by_identity.get(removal.voter)
        if progress is None or progress.acked_round == removal.acked_round:
            return False
        if self._leader.is_transferring_leadership:
            return False
        voters = self._replica.voters.with_restored_voter(
            removal.voter, removal.newcomer
        )
        joined_ms_by_newcomer = dict(self._replica.joined_ms_by_newcomer)
        if removal.newcomer in voters.newcomers:
            joined_ms_by_newcomer[removal.newcomer] = removal.joined_ms
        self._append_voters(
            voters, joined_ms_by_newcomer, 'restore', removal.voter
        )
        return True

    def remove_stopping_voter(self):
        """Removes a voter before its planned stop if a newcomer replaces it.

        The voter may be this leader.

        Returns:
            True if the change was appended.
        """
        if not self._replica.cfg.auto_admit_unlisted:
            return False
        for voter in self._replica.voters.voters:
            heard_ms = self._leader.get_answered_round_sent_ms(voter)
            if not self._replica.is_stopping(voter, heard_ms):
                continue
            newcomer = self._replacement.find_newcomer_for(voter)
            if newcomer and not self.propose_change(
                'replace', voter, newcomer
            ):
                return True
        return False

    def _stop_tracking_removed_members(self):
        """Stops replicating to removed members that need no more entries.

        A removed member is still sent entries until it has stored the entry
        that removes it, or is no longer alive.
        """
        replica = self._replica
        for member in list(self._leader.progress_by_identity):
            if member in replica.voters.members:
                continue
            has_removal_entry = self._leader.has_replicated(
                member, replica.voters_index
            )
            if has_removal_entry or not self._leader.is_alive(member):
                del self._leader.progress_by_identity[member]

    # Admission of new identities

    def record_newcomer(self, identity, may_found=False):
        """Records the hello of a replica that is not a member.

        Only the newest identity of each process name is kept.

        Args:
            identity: identity of the replica.
            may_found: True if it may take part in founding a group.
        """
        name = _voters.process_name_of(identity)
        if (
            name not in self._newcomers_by_name
            and len(self._newcomers_by_name) >= MAX_NEWCOMERS
        ):
            return
        older_identity, _ = self._newcomers_by_name.get(name, ('', 0))
        self._founding_identities.discard(older_identity)
        if may_found:
            self._founding_identities.add(identity)
        self._newcomers_by_name[name] = (identity, self._replica.now_ms)

    def find_joining_identities(self):
        """Returns the identities that asked to join and may be added.

        Their last hello is at most ``election_min_ms`` old.
        """
        oldest_valid_hello_ms = (
            self._replica.now_ms - self._replica.cfg.election_min_ms
        )
        return [
            identity
            for identity, heard_ms in self._newcomers_by_name.values()
            if heard_ms >= oldest_valid_hello_ms
            and not self._find_reason_against_adding(identity)
        ]

    def _promote_learners(self):
        """Makes one change towards promoting a learner that caught up.

        A voter of the same process name is removed first, but only if it is
        not alive.

        Returns:
            True if a change was appended.
        """
        must_wait = (
            self._replica.cfg.auto_admit_unlisted
            and self._replacement.must_wait()
        )
        for learner in self._replica.voters.learners:
            if not self._leader.is_caught_up(learner):
                continue
            namesake = self._find_namesake(
                self._replica.voters.voters, learner
            )
            if namesake and not self._leader.is_alive(namesake):
                return not self.propose_change('remove', namesake)
            if not namesake and not must_wait:
                return not self.propose_change('promote', learner)
        return False

    def _admit_newcomers(self):
        """Makes one change towards adding an identity that asked to join.

        Only the names of initial members are admitted, unless
        ``auto_admit_unlisted`` is set.  A learner of the same process name is
        removed first if it is not alive; while it is alive, the newcomer
        waits.

        Returns:
            True if a change was appended.
        """
        replica = self._replica
        for identity in self.find_joining_identities():
            is_initial_name = (
                _voters.process_name_of(identity)
                in replica.founding.initial_names
            )
            if not is_initial_name and not replica.cfg.auto_admit_unlisted:
                continue
            namesake = self._find_namesake(replica.voters.learners, identity)
            if namesake and self._leader.is_alive(namesake):
                continue
            next_change = (
                ('remove', namesake) if namesake else ('add', identity)
            )
            if not self.propose_change(*next_change):
                return True
        return False

    def _settle_newcomer(self):
        """Ends the time in which a newcomer may replace a silent voter.

        Returns:
            True if a change was appended.
        """
        newcomer = self._replacement.find_settled_newcomer()
        return bool(newcomer) and not self.propose_change('settle', newcomer)

    def _age_newcomer(self):
        """Commits the ages of the newcomers if the committed ones are old.

        Returns:
            True if a change was appended.
        """
        newcomer = self._replacement.find_newcomer_to_age()
        return bool(newcomer) and not self.propose_change('age', newcomer)

    @staticmethod
    def _find_namesake(members, identity):
        """Returns another identity of the same process name, or ''."""
        name = _voters.process_name_of(identity)
        for member in members:
            if member != identity and _voters.process_name_of(member) == name:
                return member
        return ''
