"""Messages between replicas of one agreement group."""

from fuchsiatrestle import records

__all__ = (
    'AppendReply',
    'AppendRequest',
    'Entry',
    'Hello',
    'InstallReply',
    'InstallRequest',
    'MemberRemoved',
    'StopNotice',
    'TimeoutNow',
    'VoteReply',
    'VoteRequest',
)


class Entry(records.Record, tag='E'):
    """One entry of the replicated log.

    Attributes:
        index: position in the log, from 1.
        term: term of the leader that appended it.
        kind: ``command``, ``voters`` or ``noop``.
        data: encoded command or encoded voter set, by ``kind``; empty for a
            ``noop``.
    """

    index: int
    term: int
    kind: str
    data: bytes


class VoteRequest(records.Record, tag='av'):
    """Asks for a vote, or in a pre-vote whether one would be granted.

    Attributes:
        group: identity of the agreement group, ``CELL/FOUNDER`` with the name
            of the cell and the identity of the replica that founded it.
        term: term that the candidate wants to lead.
        candidate: identity of the candidate.
        last_index: index of the candidate's last entry.
        last_term: term of the candidate's last entry.
        pre: True for a pre-vote, which changes no durable state.
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
    """Answers a ``VoteRequest``.

    Attributes:
        group: identity of the agreement group.
        term: current term of the voter; in a granted pre-vote, the term that
            the candidate wants to lead.
        voter: identity of the voter.
        granted: True if the vote was granted, or in a pre-vote if it would be.
        pre: True if this answers a pre-vote.
    """

    group: str
    term: int
    voter: str
    granted: bool
    pre: bool


class AppendRequest(records.Record, tag='aa'):
    """Sends log entries to a follower; without entries it is a heartbeat.

    Attributes:
        group: identity of the agreement group.
        term: term of the leader.
        leader: identity of the leader.
        prev_index: index right before the first of ``entries``.
        prev_term: term of the entry at ``prev_index``.
        commit: highest index known to be committed.
        round: heartbeat number, returned by the reply; the leader uses it
            to confirm reads and to check that it still reaches a quorum.
        entries: the log entries from ``prev_index + 1`` on.
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
        group: identity of the agreement group.
        term: term of the follower.
        follower: identity of the follower.
        success: False if the follower has no entry with the index and term
            that the request names as previous, or if the follower has entered
            a later term than that of the request.
        match: on success, the highest index up to which the follower's log
            on disk is known to equal that of the leader; otherwise an index
            up to which the logs may be equal, or 0 if the follower has entered
            a later term.
        round: ``round`` of the request, 0 if the request's term is older than
            that of the follower.
    """

    group: str
    term: int
    follower: str
    success: bool
    match: int
    round: int


class InstallRequest(records.Record, tag='ai'):
    """Sends one chunk of a snapshot to a follower.

    Attributes:
        group: identity of the agreement group.
        term: term of the leader.
        leader: identity of the leader.
        last_index: last log index that the snapshot covers.
        last_term: term of the log entry at that index.
        offset: position of ``data`` in the whole snapshot, in bytes.
        data: the chunk.
        done: True on the last chunk.
        round: heartbeat number, as in ``AppendRequest``.
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
    """Answers an ``InstallRequest``.

    Attributes:
        group: identity of the agreement group.
        term: term of the follower.
        follower: identity of the follower.
        last_index: ``last_index`` of the request, 0 if the request's term is
            older than that of the follower.
        next_offset: offset of the next chunk to send, in bytes.
        installed: True if the follower needs no further chunk: it has
            installed the snapshot, or its log covers it already.
        round: ``round`` of the request, 0 if the request's term is older than
            that of the follower.
    """

    group: str
    term: int
    follower: str
    last_index: int
    next_offset: int
    installed: bool
    round: int = 0


class TimeoutNow(records.Record, tag='at'):
    """Tells a voter with the whole log to start an election now.

    The voter leaves out the pre-vote.  A leader sends this message to hand
    over its leadership.

    Attributes:
        group: identity of the agreement group.
        term: term of the leader.
        leader: identity of the leader.
    """

    group: str
    term: int
    leader: str


class Hello(records.Record, tag='ah'):
    """Tells a configured peer the sender's identity and group.

    Attributes:
        cell: name of the cell, which is known before a group is formed.
        group: identity of the sender's agreement group, empty for none.
        sender: identity of the sender.
        joined: True if the sender has the group's voter set; False asks the
            receiver for help to join.
        may_found: True if the sender may take part in founding a group; it
            then came with the group and replaces nobody.
    """

    cell: str
    group: str
    sender: str
    joined: bool
    may_found: bool = False


class MemberRemoved(records.Record, tag='ar'):
    """Tells a replica that the group has removed its identity.

    Attributes:
        group: identity of the agreement group.
        identity: the removed identity, which is never admitted again.
        may_rejoin: True if the process may join with a new identity.
    """

    group: str
    identity: str
    may_rejoin: bool


class StopNotice(records.Record, tag='as'):
    """Tells the leader that a follower is about to stop as planned.

    Attributes:
        group: identity of the agreement group.
        identity: identity of the follower.
    """

    group: str
    identity: str


RECORD_CLASSES = (
    Hello,
    StopNotice,
    MemberRemoved,
    VoteRequest,
    VoteReply,
    AppendRequest,
    AppendReply,
    InstallRequest,
    InstallReply,
    TimeoutNow,
)
