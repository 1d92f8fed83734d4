"""Follower role, also that of learners and of replicas without a group."""

from fuchsiatrestle.agreement import _install
from fuchsiatrestle.agreement import _role
from fuchsiatrestle import invariants
from fuchsiatrestle import messages

__all__ = ('Follower',)


class Follower(_role.Role):
    """Appends the entries of a leader, or waits for a leader.

    Args:
        replica: the ``Replica`` that follows.
        heard_leader: True if the replica became a follower on a message of
            the leader, or may have heard one before it was restarted.
    """

    name = 'follower'

    def __init__(self, replica, heard_leader):
        super().__init__(replica)
        self._leader_heard_at_ms = replica.now_ms if heard_leader else None
        self._election_due_ms = (
            replica.now_ms + replica.draw_election_timeout_ms()
        )
        self._snapshot_assembly = None

    def has_active_leader(self):
        """Returns True if a leader was heard within ``election_min_ms``."""
        if self._leader_heard_at_ms is None:
            return False
        silent_ms = self._replica.now_ms - self._leader_heard_at_ms
        return silent_ms < self._replica.cfg.election_min_ms

    def tick(self):
        """Starts a pre-vote if the election timeout has passed.

        A replica that may not stand for election only marks the leader as
        unknown and waits for another election timeout.
        """
        replica = self._replica
        if replica.now_ms < self._election_due_ms:
            return
        if replica.may_start_election:
            replica.become_candidate(is_prevote=True)
        else:
            self._election_due_ms = (
                replica.now_ms + replica.draw_election_timeout_ms()
            )
            replica.clear_leader()

    def on_vote_granted(self):
        """Restarts the election timeout, as an election is under way."""
        replica = self._replica
        self._election_due_ms = (
            replica.now_ms + replica.draw_election_timeout_ms()
        )

    def on_timeout_now(self, message):
        """Starts an election without a pre-vote, at the leader's request."""
        replica = self._replica
        if (
            replica.may_start_election
            and message.leader == replica.leader_identity
        ):
            replica.become_candidate(
                is_prevote=False, is_leadership_transfer=True
            )

    # Appends

    def on_append_request(self, request):
        """Appends entries if the preceding entry matches the leader's log.

        Otherwise the reply is a rejection, with an index up to which the logs
        may match.
        """
        self._record_leader_contact(request)
        replica = self._replica
        replica.join_group(request.group)
        entries, prev_index, prev_term = self._select_entries_after_base(
            request
        )
        if replica.log.term_at(prev_index) != prev_term:
            match_hint = self._find_match_hint(prev_index, prev_term)
            self._reply_to_append(
                request, success=False, match_index=match_hint
            )
            return
        self._append_entries(entries)
        match_index = prev_index + len(entries)
        replica.advance_commit(min(request.commit, match_index))
        self._reply_to_append(request, success=True, match_index=match_index)

    def _record_leader_contact(self, request):
        """Records the leader and restarts the election timeout."""
        replica = self._replica
        invariants.require(
            replica.leader_identity in ('', request.leader),
            'one_leader_a_term',
            term=request.term,
            known=replica.leader_identity,
            other=request.leader,
        )
        self._leader_heard_at_ms = replica.now_ms
        self._election_due_ms = (
            replica.now_ms + replica.draw_election_timeout_ms()
        )
        replica.set_leader(request.leader)

    def _select_entries_after_base(self, request):
        """Returns the entries of an append after ``base_index`` of the log.

        Entries up to that index are committed, so they match the leader's log
        and need not be compared.

        Returns:
            The entries left, and the index and term right before them.
        """
        base_index = self._replica.log.base_index
        if request.prev_index >= base_index:
            return request.entries, request.prev_index, request.prev_term
        entries = [
            entry for entry in request.entries if entry.index > base_index
        ]
        return entries, base_index, self._replica.log.base_term

    def _find_match_hint(self, prev_index, prev_term):
        """Returns an index at or below which the logs may match.

        It skips entries whose term is higher than ``prev_term``, which can not
        match, so that the leader need not go back one entry at a time.
        """
        log = self._replica.log
        match_hint = min(prev_index - 1, log.last_index)
        while (
            match_hint > log.base_index and log.term_at(match_hint) > prev_term
        ):
            match_hint -= 1
        return match_hint

    def _append_entries(self, entries):
        """Appends the new entries and truncates the log at a conflict.

        Entries already in the log are kept, since an outdated request must
        not drop what follows them.
        """
        replica = self._replica
        for position, entry in enumerate(entries):
            known_term = replica.log.term_at(entry.index)
            if known_term == entry.term:
                continue
            if known_term is not None:
                replica.truncate_log(entry.index)
            for new_entry in entries[position:]:
                replica.append_entry(new_entry)
            return

    def _reply_to_append(self, request, success, match_index):
        """Replies at once, and again later if the match is not yet durable.

        Only a success while writes are staged or pending may need two
        replies: one now, with the durable part of the match, and one with the
        whole match once that is durable.  A slow disk then delays only the
        commit; the leader still sees that the follower is alive.

        Args:
            request: the ``AppendRequest``.
            success: True if the preceding entry matched.
            match_index: last matching index on success, else an index up to
                which the logs may match.
        """
        replica = self._replica
        durable_index = min(match_index, replica.write_queue.synced_index)
        if not success or replica.write_queue.all_durable:
            reply = self._build_append_reply(request, success, match_index)
            replica.send(request.leader, reply)
            return
        immediate_reply = self._build_append_reply(
            request, success, durable_index
        )
        replica.send(request.leader, immediate_reply)
        if durable_index < match_index:
            durable_reply = self._build_append_reply(
                request, success, match_index
            )
            replica.send_when_durable(request.leader, durable_reply)

    def _build_append_reply(self, request, success, match_index):
        replica = self._replica
        return messages.AppendReply(
            replica.group,
            replica.term,
            replica.identity,
            success,
            match_index,
            request.round,
        )

    # Snapshots

    def on_install_request(self, request):
        """Collects the chunks of a snapshot and installs the complete one.

        A snapshot that the log covers already is confirmed as installed.
        """
        self._record_leader_contact(request)
        replica = self._replica
        replica.join_group(request.group)
        if replica.log.term_at(request.last_index) == request.last_term:
            replica.advance_commit(request.last_index)
            self._snapshot_assembly = None
            self._reply_to_install(request, 0, installed=True)
            return
        if request.last_index <= replica.commit_index:
            self._reply_to_install(request, 0, installed=True)
            return
        if (
            self._snapshot_assembly is None
            or not self._snapshot_assembly.matches(request)
        ):
            self._snapshot_assembly = _install.SnapshotAssembly(
                request, replica.cfg.max_snapshot_bytes
            )
        snapshot = self._snapshot_assembly.add_chunk(request)
        if snapshot is None:
            next_offset = self._snapshot_assembly.next_offset
            self._reply_to_install(request, next_offset, installed=False)
            return
        self._snapshot_assembly = None
        replica.install_snapshot(snapshot)
        self._reply_to_install(request, 0, installed=True)

    def _reply_to_install(self, request, next_offset, installed):
        replica = self._replica
        reply = messages.InstallReply(
            replica.group,
            replica.term,
            replica.identity,
            request.last_index,
            next_offset,
            installed,
            request.round,
        )
        replica.send_when_durable(request.leader, reply)
