"""Changes of the set of voters, decided by the leader."""

from fuchsiatrestle.agreement import _voters
from fuchsiatrestle import logs

__all__ = ('Membership',)

MAX_NEWCOMERS = 32

LOG = logs.get_logger(__name__)


class Membership:
    """Makes at most one change at a time, each as an entry of the log.

    Args:
        replica: the leading ``Replica``.
        leader: its ``Leader`` role.
    """

    def __init__(self, replica, leader):
        self._replica = replica
        self._leader = leader
        self._newcomers = {}

    def change(self, kind, member):
        """Appends a change; returns the reason of a refusal or ''."""
        reason = self._refusal(kind, member)
        if reason:
            return reason
        voters = self._changed(kind, member)
        self._replica.append_own('voters', _voters.encode_voters(voters))
        LOG.info('voters_changing', extra={'change': kind, 'member': member})
        self._leader.track_members()
        self._leader.broadcast()
        return ''

    def _changed(self, kind, member):
        voters = self._replica.voters
        if kind == 'add':
            return voters.with_learner(member)
        if kind == 'promote':
            return voters.with_voter(member)
        return voters.without(member)

    def _refusal(self, kind, member):
        if self._leader.handing_over:
            return 'stopping'
        if not self._leader.ready:
            return 'not_ready'
        if not self._replica.voters_committed:
            return 'change_pending'
        checks = {
            'add': self._refusal_to_add,
            'promote': self._refusal_to_promote,
            'remove': self._refusal_to_remove,
        }
        return checks[kind](member)

    def _refusal_to_add(self, member):
        voters = self._replica.voters
        known = member in voters.members or member in voters.removed
        return 'known_member' if known else ''

    def _refusal_to_promote(self, member):
        if member not in self._replica.voters.learners:
            return 'unknown_member'
        if not self.caught_up(member):
            return 'not_caught_up'
        return ''

    def _refusal_to_remove(self, member):
        voters = self._replica.voters
        if member not in voters.members:
            return 'unknown_member'
        remaining = voters.without(member)
        if not remaining.voters:
            return 'last_voter'
        if not self._leader.can_decide(remaining):
            return 'no_quorum'
        return ''

    def caught_up(self, member):
        """Returns True if a member is alive and lacks nothing committed."""
        progress = self._leader.progress.get(member)
        if progress is None or not self._leader.alive(member):
            return False
        lag = self._replica.commit - progress.match
        return lag <= self._replica.cfg.promote_lag

    # Consequences

    def committed(self):
        """Acts on a commit: a removed leader leaves."""
        replica = self._replica
        if replica.is_voter or not replica.voters_committed:
            return
        self._leader.order_election()
        replica.become_follower(replica.term, '')

    def tick(self):
        """Lets go of removed members and admits newcomers."""
        if not self._leader.ready or not self._replica.voters_committed:
            return
        self._drop_removed()
        if self._leader.handing_over or not self._replica.cfg.auto_admit:
            return
        if not self._settle_learners():
            self._admit_newcomers()

    def _drop_removed(self):
        """Stops sending to removed members once they know or are silent."""
        replica = self._replica
        for member in list(self._leader.progress):
            if member in replica.voters.members:
                continue
            knows = self._leader.holds(member, replica.voters_index)
            if knows or not self._leader.alive(member):
                del self._leader.progress[member]

    # Admission by name

    def note_newcomer(self, identity):
        """Remembers a replica that says hello and belongs to none.

        Each name counts with its newest identity.
        """
        name = _voters.name_of(identity)
        if name in self._newcomers or len(self._newcomers) < MAX_NEWCOMERS:
            self._newcomers[name] = (identity, self._replica.now_ms)

    def newcomers(self):
        """Returns the identities that said hello a moment ago."""
        oldest_ms = self._replica.now_ms - self._replica.cfg.election_min_ms
        return [
            identity
            for identity, heard_ms in self._newcomers.values()
            if heard_ms >= oldest_ms and not self._refusal_to_add(identity)
        ]

    def _settle_learners(self):
        """Puts a caught-up learner in the place of its silent namesake."""
        for learner in self._replica.voters.learners:
            if not self.caught_up(learner):
                continue
            rival = self._namesake(self._replica.voters.voters, learner)
            if rival and not self._leader.alive(rival):
                return not self.change('remove', rival)
            if not rival:
                return not self.change('promote', learner)
        return False

    def _admit_newcomers(self):
        """Admits the names of first members, and others if set so."""
        replica = self._replica
        for identity in self.newcomers():
            listed = _voters.name_of(identity) in replica.founding.names
            if not listed and not replica.cfg.admit_unlisted:
                continue
            rival = self._namesake(replica.voters.learners, identity)
            if rival and self._leader.alive(rival):
                continue
            change = ('remove', rival) if rival else ('add', identity)
            if not self.change(*change):
                return

    @staticmethod
    def _namesake(members, identity):
        name = _voters.name_of(identity)
        for member in members:
            if member != identity and _voters.name_of(member) == name:
                return member
        return ''
