"""The core with one mechanism taken away at a time.

Each mutation names what it patches; the tests require that the proof finds a
breach with it, so that the proof is known to depend on the mechanism.
"""

import contextlib
from unittest import mock

from fuchsiatrestle.agreement import _dispatch
from fuchsiatrestle.agreement import _events
from fuchsiatrestle.agreement import _folder
from fuchsiatrestle.agreement import _follower
from fuchsiatrestle.agreement import _founding
from fuchsiatrestle.agreement import _frames
from fuchsiatrestle.agreement import _leader
from fuchsiatrestle.agreement import _membership
from fuchsiatrestle.agreement import _recovery
from fuchsiatrestle.agreement import _replica
from fuchsiatrestle.agreement import _voters
from fuchsiatrestle import errors

__all__ = ('CHAOS', 'MUTATIONS', 'Mutation')

CHAOS = None


class Mutation:
    """One patched attribute and what is to notice it.

    Args:
        finder: name of a scenario, or ``CHAOS`` for random runs.
        owner: class or module that holds the attribute.
        attribute: its name.
        replacement: what takes its place.
    """

    def __init__(self, finder, owner, attribute, replacement):
        self.finder = finder
        self._patch = mock.patch.object(owner, attribute, replacement)

    def __enter__(self):
        self._patch.start()

    def __exit__(self, *exc_info):
        self._patch.stop()


def _reply_before_fsync(self, peer, message):
    self.send(peer, message)


def _match_before_fsync(self, identity):
    if identity == self._replica.identity:
        return self._replica.log.last_index
    return self.progress[identity].match


def _commit_any_term(self):
    replica = self._replica
    voters = replica.voters
    match_indexes = sorted(
        map(self._match_index_of, voters.voters), reverse=True
    )
    index = match_indexes[voters.quorum - 1]
    if index > replica.commit:
        replica.advance_commit(index)
        self._forget_committed()
        self._start_read_round()
        self._membership.on_commit()


def _forget_vote(self):
    self.writes.stage_hard_state(_events.HardState(self.term, '', self.group))


def _answer_read_at_once(self, token):
    self._replica.emit(_events.ReadReady(token, self._replica.commit))


def _always(self, *args):
    return True


def _same_identity(name, nonce):
    return f'{name}#{0:016x}'


def _no_checksum(seq, payload):
    return 0


def _grant_any_log(self, request):
    replica = self._replica
    if request.term < replica.term or request.pre:
        return request.term > replica.term
    return replica.may_vote_for(request.candidate)


def _no_fsync(self, record):
    frame = _frames.encode_frame(
        self._next_seq, _folder._stored.CODEC.encode(record)
    )
    self._files.append(self._handle, frame)
    self._next_seq += 1
    self._segments[-1].size_bytes += len(frame)


def _keep_conflicts(self, entries):
    for entry in entries:
        if self._replica.log.term_at(entry.index) is None:
            self._replica.append(entry)


def _snapshot_with_current_voters(self, last_index, data):
    term = self.log.term_at(last_index)
    return _voters.Snapshot(last_index, term, self.voters, data)


def _old_entries_kept(self, path, segment, frame, change):
    if change.hard_state is not None:
        self._set_hard_state(change.hard_state)
    if change.truncate_from:
        self._drop_entries_from(change.truncate_from)
    for entry in change.entries:
        segment.max_index = max(segment.max_index, entry.index)
        self._append_entry(path, frame, entry)


def _no_folder_sync(self, name, record):
    path = self._path_of(name)
    handle = self._files.open_append(path + '.new')
    frame = _frames.encode_frame(1, _folder._stored.CODEC.encode(record))
    self._files.append(handle, frame)
    self._files.rename(path + '.new', path)


def _no_refusal(self, *args):
    return ''


def _nothing(self, *args):
    return None


def _stand_at_once(self):
    replica = self._replica
    if replica.now_ms >= self._deadline_ms and replica.is_voter:
        replica.become_candidate(prevote=False)


def _never(self, *args):
    return False


def _found_anyway(self, now_ms):
    heard = [one[0].sender for one in self._hellos.values()]
    ready = self.is_founder and len(heard) == len(self._others)
    return [self._identity] + heard if ready else []


@contextlib.contextmanager
def _go_on_after_failure(self, step):
    try:
        yield
    except OSError as exc:
        raise errors.StorageFailed(str(exc), step=step) from exc


def _keep_history(self, first_dropped):
    return None


def _no_tail_check(self):
    frame = self._frame_at(0)
    while frame is not None:
        self.frames.append(frame)
        self.valid_bytes = frame.end_offset
        frame = self._frame_at(frame.end_offset)


def _snapshot_as_asked(self, last_index, data):
    voters = self._voter_history.voters_at(last_index)
    term = self.log.term_at(last_index) or 1
    return _voters.Snapshot(last_index, term, voters, data)


def _save_any_snapshot(self, snapshot):
    with self._latch_failure('snapshot'):
        self._replace_snapshot(snapshot)
        self._start_segment()
        self._remove_covered_segments(snapshot.last_index)


def _reply_late(self, request, success, match):
    reply = self._build_append_reply(request, success, match)
    self._replica.send_durably(request.leader, reply)


MUTATIONS = {
    'sign of life only after the fsync': Mutation(
        'slow_disks_depose_nobody',
        _follower.Follower,
        '_reply_to_append',
        _reply_late,
    ),
    'leader keeps the lead with a hung disk': Mutation(
        'leader_with_a_hung_disk_gives_way',
        _leader.Leader,
        '_disk_lags',
        False,
    ),
    'removed voter does not stand': Mutation(
        'removed_voter_still_stands',
        _replica.Replica,
        'may_start_election',
        _replica.Replica.is_voter,
    ),
    'no pre-vote': Mutation(
        'cut_off_voter_returns', _follower.Follower, 'tick', _stand_at_once
    ),
    'no refusal of candidates while the leader is heard': Mutation(
        'voter_does_not_hear_the_leader',
        _follower.Follower,
        'has_active_leader',
        _never,
    ),
    'no check of the quorum': Mutation(
        'cut_off_leader_steps_down', _leader.Leader, 'check_quorum', _nothing
    ),
    'no check of the quorum, deaf leader': Mutation(
        'deaf_leader_is_replaced', _leader.Leader, 'check_quorum', _nothing
    ),
    'no check of the quorum, frozen leader': Mutation(
        'frozen_leader_resumes', _leader.Leader, 'check_quorum', _nothing
    ),
    'reply before fsync': Mutation(
        'follower_replies_after_its_fsync',
        _replica.Replica,
        'send_durably',
        _reply_before_fsync,
    ),
    'own append counts before fsync': Mutation(
        'leader_waits_for_its_own_disk',
        _leader.Leader,
        '_match_index_of',
        _match_before_fsync,
    ),
    'no fsync': Mutation(
        CHAOS, _folder.DataFolder, '_append_frame', _no_fsync
    ),
    'older terms committed by counting': Mutation(
        'older_term_waits_for_the_own_entry',
        _leader.Leader,
        '_advance_commit',
        _commit_any_term,
    ),
    'vote forgotten by a restart': Mutation(
        'vote_survives_a_restart',
        _replica.Replica,
        '_stage_hard_state',
        _forget_vote,
    ),
    'read answered without a round': Mutation(
        'read_waits_for_a_later_round',
        _leader.Leader,
        'read',
        _answer_read_at_once,
    ),
    'reads before the own no-op': Mutation(
        'read_waits_for_a_later_round',
        _leader.Leader,
        'ready',
        property(_always),
    ),
    'lost disk votes again': Mutation(
        'lost_disk_never_votes_again',
        _voters,
        'make_identity',
        _same_identity,
    ),
    'a second group is founded': Mutation(
        'empty_folder_founds_no_second_group',
        _founding.Founding,
        'members_to_found',
        _found_anyway,
    ),
    'torn tail without checksum': Mutation(
        'torn_tail_is_cut', _frames, '_checksum', _no_checksum
    ),
    'damage taken for a torn tail': Mutation(
        'damaged_middle_is_an_error',
        _frames.FrameReader,
        '_read_frames',
        _no_tail_check,
    ),
    'vote for any log': Mutation(
        CHAOS, _dispatch.Dispatch, '_may_grant_vote', _grant_any_log
    ),
    'conflicting entries kept': Mutation(
        CHAOS, _follower.Follower, '_append_entries', _keep_conflicts
    ),
    'old log kept after an install': Mutation(
        'install_replaces_the_log',
        _recovery.Recovery,
        '_replay_change',
        _old_entries_kept,
    ),
    'snapshot renamed before its sync': Mutation(
        CHAOS, _folder.DataFolder, '_replace_file', _no_folder_sync
    ),
    'writes go on after a failed one': Mutation(
        'failed_disk_refuses_for_good',
        _folder.DataFolder,
        '_latch_failure',
        _go_on_after_failure,
    ),
    'changes of voters overlap': Mutation(
        'one_change_of_voters_at_a_time',
        _membership.Membership,
        '_rejection_reason',
        _no_refusal,
    ),
    'truncated change stays in force': Mutation(
        'removed_change_is_rolled_back',
        _voters.VoterHistory,
        'truncate',
        _keep_history,
    ),
    'learner promoted without the log': Mutation(
        'unready_learner_is_not_promoted',
        _membership.Membership,
        'is_caught_up',
        _always,
    ),
    'no order to stand at a hand-over': Mutation(
        'hand_over_is_quick', _leader.Leader, 'send_timeout_now', _nothing
    ),
    'older snapshot made after an install': Mutation(
        'snapshot_made_late_is_dropped',
        _replica.Replica,
        'make_snapshot',
        _snapshot_as_asked,
    ),
    'older snapshot saved over the installed one': Mutation(
        'snapshot_made_late_is_dropped',
        _folder.DataFolder,
        'save_snapshot',
        _save_any_snapshot,
    ),
    'snapshot with later voters': Mutation(
        'snapshot_holds_the_voters_of_its_index',
        _replica.Replica,
        'make_snapshot',
        _snapshot_with_current_voters,
    ),
}
