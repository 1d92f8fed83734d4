"""Follower: takes the leader's log, and learner while it has no vote."""

from fuchsiatrestle.agreement import _install
from fuchsiatrestle.agreement import _role
from fuchsiatrestle import invariants
from fuchsiatrestle import messages

__all__ = ('Follower',)


class Follower(_role.Role):
    """Replica that follows a leader or waits for one.

    Args:
        replica: the follower.
        heard: True if it became a follower by hearing the leader.
    """

    name = 'follower'

    def __init__(self, replica, heard):
        super().__init__(replica)
        self._heard_ms = replica.now_ms if heard else None
        self._deadline_ms = replica.now_ms + replica.draw_election_ms()
        self._assembly = None

    def hears_leader(self):
        """Returns True within the shortest election timeout of its leader."""
        if self._heard_ms is None:
            return False
        silent_ms = self._replica.now_ms - self._heard_ms
        return silent_ms < self._replica.cfg.election_min_ms

    def tick(self):
        """Stands for election when no leader was heard in time."""
        replica = self._replica
        if replica.now_ms < self._deadline_ms:
            return
        if replica.may_stand:
            replica.become_candidate(pre=True)
        else:
            self._deadline_ms = replica.now_ms + replica.draw_election_ms()
            replica.forget_leader()

    def postpone_election(self):
        """Waits another election timeout, after granting a vote."""
        replica = self._replica
        self._deadline_ms = replica.now_ms + replica.draw_election_ms()

    def on_timeout_now(self, message):
        """Stands for election at once, on the leader's order."""
        replica = self._replica
        if replica.may_stand and message.leader == replica.leader:
            replica.become_candidate(pre=False, handover=True)

    # Appends

    def on_append(self, request):
        """Appends what follows a known entry, or hints where to look."""
        self._note_leader(request)
        replica = self._replica
        replica.join(request.group)
        entries, prev_index, prev_term = self._after_base(request)
        if replica.log.term_at(prev_index) != prev_term:
            hint = self._hint(prev_index, prev_term)
            self._reply(request, success=False, match=hint)
            return
        self._take(entries)
        match = prev_index + len(entries)
        replica.advance_commit(min(request.commit, match))
        self._reply(request, success=True, match=match)

    def _note_leader(self, request):
        replica = self._replica
        invariants.require(
            replica.leader in ('', request.leader),
            'one_leader_a_term',
            term=request.term,
            known=replica.leader,
            other=request.leader,
        )
        self._heard_ms = replica.now_ms
        self._deadline_ms = replica.now_ms + replica.draw_election_ms()
        replica.note_leader(request.leader)

    def _after_base(self, request):
        """Drops the part that the own snapshot covers; it is committed."""
        base = self._replica.log.base_index
        if request.prev_index >= base:
            return request.entries, request.prev_index, request.prev_term
        entries = [one for one in request.entries if one.index > base]
        return entries, base, self._replica.log.base_term

    def _hint(self, prev_index, prev_term):
        log = self._replica.log
        hint = min(prev_index - 1, log.last_index)
        while hint > log.base_index and log.term_at(hint) > prev_term:
            hint -= 1
        return hint

    def _take(self, entries):
        replica = self._replica
        for position, entry in enumerate(entries):
            known = replica.log.term_at(entry.index)
            if known == entry.term:
                continue
            if known is not None:
                replica.truncate(entry.index)
            for new in entries[position:]:
                replica.append(new)
            return

    def _reply(self, request, success, match):
        """Answers at once with what is durable, later with the rest.

        A slow disk then delays only the commit, not the sign of life.
        """
        replica = self._replica
        durable = min(match, replica.writes.synced_index)
        if not success or replica.writes.settled:
            reply = self._append_reply(request, success, match)
            replica.send(request.leader, reply)
            return
        now = self._append_reply(request, success, durable)
        replica.send(request.leader, now)
        if durable < match:
            later = self._append_reply(request, success, match)
            replica.send_durably(request.leader, later)

    def _append_reply(self, request, success, match):
        replica = self._replica
        return messages.AppendReply(
            replica.group,
            replica.term,
            replica.identity,
            success,
            match,
            request.round,
        )

    # Snapshots

    def on_install(self, request):
        """Assembles a snapshot and installs it once it is whole."""
        self._note_leader(request)
        replica = self._replica
        replica.join(request.group)
        if replica.log.term_at(request.last_index) == request.last_term:
            replica.advance_commit(request.last_index)
            self._assembly = None
            self._reply_install(request, 0, installed=True)
            return
        if request.last_index <= replica.commit:
            self._reply_install(request, 0, installed=True)
            return
        if self._assembly is None or not self._assembly.matches(request):
            self._assembly = _install.Assembly(
                request, replica.cfg.max_snapshot_bytes
            )
        snapshot = self._assembly.add(request)
        if snapshot is None:
            wanted = self._assembly.next_offset
            self._reply_install(request, wanted, installed=False)
            return
        self._assembly = None
        replica.install(snapshot)
        self._reply_install(request, 0, installed=True)

    def _reply_install(self, request, next_offset, installed):
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
        replica.send_durably(request.leader, reply)
