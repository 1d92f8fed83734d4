"""Identities, the set of voters and its history along the log."""

from fuchsiatrestle import records

__all__ = (
    'Snapshot',
    'VoterHistory',
    'Voters',
    'decode_voters',
    'encode_voters',
    'make_identity',
    'name_of',
)

_SEPARATOR = '#'

MAX_REMOVED = 100


def make_identity(name, nonce):
    """Returns the identity of a new data folder.

    Args:
        name: name of the process, as known to its link.
        nonce: random number drawn when the folder was made.
    """
    return f'{name}{_SEPARATOR}{nonce:016x}'


def name_of(identity):
    """Returns the process name within an identity, or an empty string."""
    return identity.partition(_SEPARATOR)[0]


class Voters(records.Record, tag='V'):
    """Members of a group, as agreed by an entry of kind ``voters``.

    Attributes:
        group: the agreement group.
        voters: identities that vote and count for a quorum.
        learners: identities that only receive the log.
        removed: identities removed last, never admitted again.
    """

    group: str
    voters: list[str]
    learners: list[str] = []
    removed: list[str] = []

    @property
    def members(self):
        """Voters and learners."""
        return self.voters + self.learners

    @property
    def quorum(self):
        """Number of voters that decide."""
        return len(self.voters) // 2 + 1

    def with_learner(self, identity):
        """Returns the set with one more learner."""
        return Voters(
            self.group, self.voters, self.learners + [identity], self.removed
        )

    def with_voter(self, identity):
        """Returns the set with a learner made a voter."""
        learners = [one for one in self.learners if one != identity]
        return Voters(
            self.group, self.voters + [identity], learners, self.removed
        )

    def without(self, identity):
        """Returns the set without one member."""
        return Voters(
            self.group,
            [one for one in self.voters if one != identity],
            [one for one in self.learners if one != identity],
            (self.removed + [identity])[-MAX_REMOVED:],
        )


class Snapshot(records.Record, tag='S'):
    """State of the machine after ``last_index``.

    Attributes:
        last_index: last log index that the snapshot covers.
        last_term: term of that index.
        voters: set of voters at that index.
        data: the state machine's own bytes.
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
    """Sets of voters by the index of the entry that made them.

    A set is in force from the moment its entry is appended and is rolled
    back when that entry is truncated.
    """

    __slots__ = ('_sets',)

    def __init__(self, index=0, voters=None):
        self._sets = [(index, voters or Voters('', []))]

    @property
    def current(self):
        """The set in force."""
        return self._sets[-1][1]

    @property
    def current_index(self):
        """Index of the entry that made the current set."""
        return self._sets[-1][0]

    def at(self, index):
        """Returns the set in force after ``index``."""
        for made_at, voters in reversed(self._sets):
            if made_at <= index:
                return voters
        return self._sets[0][1]

    def since(self, index):
        """Returns the sets in force at ``index`` or after it."""
        later = [voters for made_at, voters in self._sets if made_at > index]
        return [self.at(index)] + later

    def append(self, entry):
        """Takes the set of an appended ``voters`` entry."""
        self._sets.append((entry.index, decode_voters(entry.data)))

    def truncate(self, first_dropped):
        """Forgets the sets made by entries from ``first_dropped`` on."""
        kept = [one for one in self._sets if one[0] < first_dropped]
        self._sets = kept or self._sets[:1]

    def compact(self, index):
        """Forgets the sets replaced at or before ``index``."""
        base = (index, self.at(index))
        if self._sets[0][0] <= index:
            later = [one for one in self._sets if one[0] > index]
            self._sets = [base] + later

    def reset(self, index, voters):
        """Starts over from a snapshot."""
        self._sets = [(index, voters)]
