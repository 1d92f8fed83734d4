"""Messages between replicas of one agreement group."""

from fuchsiatrestle import records

__all__ = (
    'AppendReply',
    'AppendRequest',
    'Entry',
    'Hello',
    'InstallReply',
    'InstallRequest',
    'TimeoutNow',
    'VoteReply',
    'VoteRequest',
)


class Entry(records.Record, tag='E'):
    """One position of the replicated log.

    Attributes:
        index: position, from 1.
        term: term of the leader that appended it.
        kind: ``command``, ``voters`` or ``noop``.
        data: encoded command, or encoded voter set.
    """

    index: int
    term: int
    kind: str
    data: bytes


class VoteRequest(records.Record, tag='av'):
    """Asks for a vote, or with ``pre`` whether one would be given.

    Attributes:
        group: identity of the agreement group (cell).
        term: term the candidate stands for.
        candidate: identity of the candidate.
        last_index: index of the candidate's last entry.
        last_term: term of the candidate's last entry.
        pre: True for the round that changes no durable state.
        handover: True if the old leader asked for this election.
    """

    group: str
    term: int
    candidate: str
    last_index: int
    last_term: int
    pre: bool
    handover: bool = False


class VoteReply(records.Record, tag='aw'):
    """Answers a ``VoteRequest``."""

    group: str
    term: int
    voter: str
    granted: bool
    pre: bool


class AppendRequest(records.Record, tag='aa'):
    """Entries that follow ``prev_index``; without entries a heartbeat.

    Attributes:
        group: identity of the agreement group.
        term: term of the leader.
        leader: identity of the leader.
        prev_index: index right before the first entry.
        prev_term: term of the entry at ``prev_index``.
        commit: highest index known to be committed.
        round: heartbeat number, returned by the reply (reads, check-quorum).
        entries: entries from ``prev_index + 1`` on.
    """

    group: str
    term: int
    leader: str
    prev_index: int
    prev_term: int
    commit: int
    round: int
    entries: list[Entry]


class AppendReply(records.Record, tag='ab'):
    """Answers an ``AppendRequest``.

    Attributes:
        match: on success the highest index synced that equals the leader's;
            on refusal a hint where the logs may still agree.
        success: False if the entry before the first was not found.
    """

    group: str
    term: int
    follower: str
    success: bool
    match: int
    round: int


class InstallRequest(records.Record, tag='ai'):
    """One chunk of a snapshot.

    Attributes:
        last_index: last log index that the snapshot covers.
        last_term: term of that index.
        offset: position of ``data`` in the whole snapshot, in bytes.
        data: the chunk.
        done: True on the last chunk.
    """

    group: str
    term: int
    leader: str
    last_index: int
    last_term: int
    offset: int
    data: bytes
    done: bool
    round: int = 0


class InstallReply(records.Record, tag='aj'):
    """Answers an ``InstallRequest`` with the next offset wanted, in bytes."""

    group: str
    term: int
    follower: str
    last_index: int
    next_offset: int
    installed: bool
    round: int = 0


class TimeoutNow(records.Record, tag='at'):
    """Tells a caught-up voter to stand for election at once."""

    group: str
    term: int
    leader: str


class Hello(records.Record, tag='ah'):
    """Makes a replica known to the others by name.

    Attributes:
        cell: name of the cell, before any group is formed.
        group: the group the sender belongs to, empty for none.
        sender: identity of the sender.
        joined: True if the sender holds the group's set of voters.
    """

    cell: str
    group: str
    sender: str
    joined: bool


KINDS = (
    Hello,
    VoteRequest,
    VoteReply,
    AppendRequest,
    AppendReply,
    InstallRequest,
    InstallReply,
    TimeoutNow,
)
