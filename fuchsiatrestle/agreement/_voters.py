"""Identities of members, voter sets and their history in the log."""

import msgspec

from fuchsiatrestle import records

__all__ = (
    'Snapshot',
    'VoterHistory',
    'Voters',
    'decode_voters',
    'encode_voters',
    'make_identity',
    'process_name_of',
)

_SEPARATOR = '#'

# Bounds the size of a voter set; it lists only the last removed identities.
MAX_REMOVED_IDENTITIES = 100


def make_identity(name, nonce):
    """Returns the identity of a new data folder.

    Args:
        name: name of the process, under which its peers reach it.
        nonce: 64-bit random number, drawn anew for each folder, so that a
            replica that lost its disk does not reuse its old identity.
    """
    return f'{name}{_SEPARATOR}{nonce:016x}'


def process_name_of(identity):
    """Returns the process name that an identity was made from."""
    return identity.partition(_SEPARATOR)[0]


class Voters(records.Record, tag='V'):
    """Members of a group, stored in a log entry of kind ``voters``.

    Attributes:
        group: the agreement group.
        voters: identities that vote and count for a quorum.
        learners: identities that receive the log but do not vote.
        removed: the last ``MAX_REMOVED_IDENTITIES`` removed identities, oldest
            first; these are not admitted again.
        replaced: those of them that the group has removed by itself because
            they were silent; their processes may join with a new identity.
        newcomers: members that joined lately under a new name, and that no
            voter which fell silent was removed for.
        newcomer_ages_ms: time since each of them has joined, as of the
            appending of the entry, by identity; it never exceeds the true
            time.
    """

    group: str
    voters: list[str]
    learners: list[str] = []
    removed: list[str] = []
    replaced: list[str] = []
    newcomers: list[str] = []
    newcomer_ages_ms: dict[str, int] = {}

    @property
    def members(self):
        """Identities of all voters and learners."""
        return self.voters + self.learners

    @property
    def quorum_size(self):
        """Smallest number of voters that is a majority."""
        return len(self.voters) // 2 + 1

    def with_learner(self, identity, may_found=False):
        """Returns a copy with one more learner.

        It is a newcomer unless it takes the place of its namesake, or is one
        of the replicas that the group was founded with and never lost.

        Args:
            identity: identity of the learner.
            may_found: True if it may take part in founding a group.
        """
        name = process_name_of(identity)
        newcomers = self.newcomers
        is_founding = may_found and name not in map(
            process_name_of, self.removed
        )
        if not is_founding and name not in map(process_name_of, self.members):
            newcomers = newcomers + [identity]
        return self._replace(
            learners=self.learners + [identity], newcomers=newcomers
        )

    def with_promoted_learner(self, identity):
        """Returns a copy with one learner promoted to voter."""
        return self._replace(
            voters=self.voters + [identity],
            learners=_without(self.learners, identity),
        )

    def without_member(self, identity):
        """Returns a copy without one member, which is listed as removed."""
        removed = (self.removed + [identity])[-MAX_REMOVED_IDENTITIES:]
        return self._replace(
            voters=_without(self.voters, identity),
            learners=_without(self.learners, identity),
            removed=removed,
            replaced=[member for member in self.replaced if member in removed],
            newcomers=_without(self.newcomers, identity),
        )

    def without_replaced_member(self, identity):
        """Returns a copy without a silent member that may join again."""
        voters = self.without_member(identity)
        return voters._replace(replaced=voters.replaced + [identity])

    def with_restored_voter(self, identity, newcomer):
        """Returns a copy in which a replaced voter has its place again.

        Args:
            identity: identity of the voter, whose disk is the same.
            newcomer: the newcomer that took its place; it is one again.
        """
        newcomers = self.newcomers
        if newcomer in self.members:
            newcomers = newcomers + [newcomer]
        return self._replace(
            voters=self.voters + [identity],
            removed=_without(self.removed, identity),
            replaced=_without(self.replaced, identity),
            newcomers=newcomers,
        )

    def without_newcomer(self, identity):
        """Returns a copy in which a member is no newcomer any more."""
        return self._replace(newcomers=_without(self.newcomers, identity))

    def with_newcomer_ages(self, joined_ms_by_newcomer, now_ms):
        """Returns a copy with the ages of the newcomers.

        Args:
            joined_ms_by_newcomer: time at which each newcomer has joined, by
                identity; one that is missing joins now.
            now_ms: current time, on the same clock.
        """
        return self._replace(
            newcomer_ages_ms={
                newcomer: now_ms - joined_ms_by_newcomer.get(newcomer, now_ms)
                for newcomer in self.newcomers
            }
        )

    def _replace(self, **fields):
        return msgspec.structs.replace(self, **fields)


def _without(identities, identity):
    return [other for other in identities if other != identity]


class Snapshot(records.Record, tag='S'):
    """State of the state machine after applying ``last_index``.

    Attributes:
        last_index: last log index that the snapshot covers.
        last_term: term of the entry at that index.
        voters: ``Voters`` in force at that index.
        data: encoded state of the state machine.
    """

    last_index: int
    last_term: int
    voters: Voters
    data: bytes


CODEC = records.Codec(Voters, Snapshot)


def encode_voters(voters):
    """Returns the data of an entry of kind ``voters``."""
    return CODEC.encode(voters)


def decode_voters(data):
    """Returns the ``Voters`` in an entry of kind ``voters``."""
    return CODEC.decode(data)


class VoterHistory:
    """Voter sets by the index of the log entry that holds them.

    A voter set is in force as soon as its entry is appended, committed or
    not, and is rolled back when that entry is truncated.

    Args:
        index: index from which the first voter set is in force.
        voters: the first ``Voters``, an empty set if None.
        now_ms: current time, in milliseconds.

    Attributes:
        joined_ms_by_newcomer: time at which each newcomer of these voter sets
            has joined, by identity; on the clock of ``now_ms``, and not
            before the true time.
    """

    __slots__ = ('_indexed_voter_sets', 'joined_ms_by_newcomer')

    def __init__(self, index=0, voters=None, now_ms=0):
        # (index, ``Voters``) pairs, oldest first.
        self._indexed_voter_sets = [(index, voters or Voters('', []))]
        self.joined_ms_by_newcomer = {}
        self._record_newcomers(now_ms)

    @property
    def current_voters(self):
        """The ``Voters`` in force."""
        return self._indexed_voter_sets[-1][1]

    @property
    def current_index(self):
        """Index of the entry that holds the voter set in force."""
        return self._indexed_voter_sets[-1][0]

    def voters_at(self, index):
        """Returns the voter set that was in force at a log index.

        An index before the history gives the oldest voter set.
        """
        for set_index, voters in reversed(self._indexed_voter_sets):
            if set_index <= index:
                return voters
        return self._indexed_voter_sets[0][1]

    def voter_sets_from(self, index):
        """Returns the voter sets in force at a log index or after it."""
        later_sets = [
            voters
            for set_index, voters in self._indexed_voter_sets
            if set_index > index
        ]
        return [self.voters_at(index)] + later_sets

    def append(self, entry, now_ms):
        """Puts the voter set of an appended ``voters`` entry in force.

        Args:
            entry: the entry.
            now_ms: current time, in milliseconds.
        """
        self._indexed_voter_sets.append(
            (entry.index, decode_voters(entry.data))
        )
        self._record_newcomers(now_ms)

    def _record_newcomers(self, now_ms):
        """Records when the newcomers of the voter set in force have joined.

        The others of the history stay known, as their voter sets may be in
        force again after a truncation.
        """
        known_ms = self.joined_ms_by_newcomer
        ages_ms = self.current_voters.newcomer_ages_ms
        for newcomer in self.current_voters.newcomers:
            joined_ms = now_ms - ages_ms.get(newcomer, 0)
            known_ms[newcomer] = min(
                known_ms.get(newcomer, joined_ms), joined_ms
            )
        self._forget_newcomers()

    def _forget_newcomers(self):
        newcomers = {
            newcomer
            for _, voters in self._indexed_voter_sets
            for newcomer in voters.newcomers
        }
        for newcomer in set(self.joined_ms_by_newcomer) - newcomers:
            del self.joined_ms_by_newcomer[newcomer]

    def truncate(self, first_dropped_index):
        """Rolls back the voter sets of the entries from an index on."""
        kept_pairs = [
            pair
            for pair in self._indexed_voter_sets
            if pair[0] < first_dropped_index
        ]
        self._indexed_voter_sets = kept_pairs or self._indexed_voter_sets[:1]

    def compact(self, index):
        """Drops the voter sets that were replaced at or before ``index``."""
        base_pair = (index, self.voters_at(index))
        if self._indexed_voter_sets[0][0] <= index:
            later_pairs = [
                pair for pair in self._indexed_voter_sets if pair[0] > index
            ]
            self._indexed_voter_sets = [base_pair] + later_pairs

    def reset(self, index, voters, now_ms):
        """Replaces the history by the voter set of a snapshot.

        Args:
            index: index of the snapshot.
            voters: its ``Voters``.
            now_ms: current time, in milliseconds.
        """
        self._indexed_voter_sets = [(index, voters)]
        self._record_newcomers(now_ms)
