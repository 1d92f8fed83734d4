"""Mutations that each disable one mechanism of the replicated log.

The tests require that a scenario or the random runs detect each mutation.
This guards against tests that would pass without the mechanism.
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

# Finder of the mutations that random runs detect.
CHAOS = None


class Mutation:
    """Patches one attribute while it is entered as a context manager.

    Args:
        finder: name of the scenario that detects it, or ``CHAOS`` for random
            runs.
        owner: class or module that has the attribute.
        attribute: name of the attribute.
        replacement: value to patch it with.
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
    return self.progress_by_identity[identity].match_index


def _commit_any_term(self):
    replica = self._replica
    voters = replica.voters
    match_indexes = sorted(
        map(self._get_match_index, voters.voters), reverse=True
    )
    quorum_index = match_indexes[voters.quorum_size - 1]
    if quorum_index > replica.commit_index:
        replica.advance_commit(quorum_index)
        self._stop_counting_committed_commands()
        self._start_read_round()
        self._membership_changer.on_entries_committed()


def _forget_vote(self):
    self.write_queue.stage_hard_state(
        _events.HardState(self.term, '', self.group)
    )


def _answer_read_at_once(self, token):
    self._replica.emit(_events.ReadReady(token, self._replica.commit_index))


def _return_true(self, *args):
    return True


def _reuse_identity(name, nonce):
    return f'{name}#{0:016x}'


def _skip_checksum(seq, payload):
    return 0


def _grant_for_any_log(self, request):
    replica = self._replica
    if request.term < replica.term or request.pre:
        return request.term > replica.term
    return replica.may_vote_for(request.candidate)


def _append_without_fsync(self, record):
    frame = _frames.encode_frame(
        self._next_seq, _folder._stored.CODEC.encode(record)
    )
    self._files.append(self._segment_handle, frame)
    self._next_seq += 1
    self._segments[-1].size_bytes += len(frame)


def _keep_conflicts(self, entries):
    for entry in entries:
        if self._replica.log.term_at(entry.index) is None:
            self._replica.append_entry(entry)


def _snapshot_with_current_voters(self, last_index, data):
    term = self.log.term_at(last_index)
    return _voters.Snapshot(last_index, term, self.voters, data)


def _replay_old_entries(self, path, segment, frame, change):
    if change.hard_state is not None:
        self._set_hard_state(change.hard_state)
    if change.truncate_from:
        self._drop_entries_from(change.truncate_from)
    for entry in change.entries:
        segment.max_index = max(segment.max_index, entry.index)
        self._append_entry(path, frame, entry)


def _replace_file_without_sync(self, file_name, record):
    path = self._path_of(file_name)
    handle = self._files.open_append(path + '.new')
    frame = _frames.encode_frame(1, _folder._stored.CODEC.encode(record))
    self._files.append(handle, frame)
    self._files.rename(path + '.new', path)


def _reject_nothing(self, *args):
    return ''


def _do_nothing(self, *args):
    return None


def _skip_prevote(self):
    replica = self._replica
    if replica.now_ms >= self._election_due_ms and replica.is_voter:
        replica.become_candidate(is_prevote=False)


def _return_false(self, *args):
    return False


def _found_with_any_hellos(self, now_ms):
    identities = [
        hello[0].sender for hello in self._last_hello_by_name.values()
    ]
    ready = self.is_founder and len(identities) == len(
        self._other_initial_names
    )
    return [self._identity] + identities if ready else []


@contextlib.contextmanager
def _ignore_earlier_failure(self, step):
    try:
        yield
    except OSError as exc:
        raise errors.StorageFailed(str(exc), step=step) from exc


def _skip_rollback(self, first_dropped_index):
    return None


def _skip_damage_check(self):
    frame = self._frame_at(0)
    while frame is not None:
        self.frames.append(frame)
        self.valid_size_bytes = frame.end_offset
        frame = self._frame_at(frame.end_offset)


def _make_older_snapshot(self, last_index, data):
    voters = self._voter_history.voters_at(last_index)
    term = self.log.term_at(last_index) or 1
    return _voters.Snapshot(last_index, term, voters, data)


def _save_older_snapshot(self, snapshot):
    with self._latch_failure('snapshot'):
        self._replace_snapshot(snapshot)
        self._start_segment()
        self._remove_covered_segments(snapshot.last_index)


def _reply_after_fsync(self, request, success, match_index):
    reply = self._build_append_reply(request, success, match_index)
    self._replica.send_when_durable(request.leader, reply)


MUTATIONS = {
    'sign of life only after the fsync': Mutation(
        'slow_disks_depose_nobody',
        _follower.Follower,
        '_reply_to_append',
        _reply_after_fsync,
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
        'cut_off_voter_returns', _follower.Follower, 'tick', _skip_prevote
    ),
    'no refusal of candidates while the leader is heard': Mutation(
        'voter_does_not_hear_the_leader',
        _follower.Follower,
        'has_active_leader',
        _return_false,
    ),
    'no check of the quorum': Mutation(
        'cut_off_leader_steps_down',
        _leader.Leader,
        'check_quorum',
        _do_nothing,
    ),
    'no check of the quorum, deaf leader': Mutation(
        'deaf_leader_is_replaced', _leader.Leader, 'check_quorum', _do_nothing
    ),
    'no check of the quorum, frozen leader': Mutation(
        'frozen_leader_resumes', _leader.Leader, 'check_quorum', _do_nothing
    ),
    'reply before fsync': Mutation(
        'follower_replies_after_its_fsync',
        _replica.Replica,
        'send_when_durable',
        _reply_before_fsync,
    ),
    'own append counts before fsync': Mutation(
        'leader_waits_for_its_own_disk',
        _leader.Leader,
        '_get_match_index',
        _match_before_fsync,
    ),
    'no fsync': Mutation(
        CHAOS, _folder.DataFolder, '_append_frame', _append_without_fsync
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
        'is_ready',
        property(_return_true),
    ),
    'lost disk votes again': Mutation(
        'lost_disk_never_votes_again',
        _voters,
        'make_identity',
        _reuse_identity,
    ),
    'a second group is founded': Mutation(
        'empty_folder_founds_no_second_group',
        _founding.Founding,
        'find_founding_members',
        _found_with_any_hellos,
    ),
    'torn tail without checksum': Mutation(
        'torn_tail_is_cut', _frames, '_checksum', _skip_checksum
    ),
    'damage taken for a torn tail': Mutation(
        'damaged_middle_is_an_error',
        _frames.FrameReader,
        '_read_frames',
        _skip_damage_check,
    ),
    'vote for any log': Mutation(
        CHAOS, _dispatch.Dispatcher, '_may_grant_vote', _grant_for_any_log
    ),
    'conflicting entries kept': Mutation(
        CHAOS, _follower.Follower, '_append_entries', _keep_conflicts
    ),
    'old log kept after an install': Mutation(
        'install_replaces_the_log',
        _recovery.Recovery,
        '_replay_change',
        _replay_old_entries,
    ),
    'snapshot renamed before its sync': Mutation(
        CHAOS, _folder.DataFolder, '_replace_file', _replace_file_without_sync
    ),
    'writes go on after a failed one': Mutation(
        'failed_disk_refuses_for_good',
        _folder.DataFolder,
        '_latch_failure',
        _ignore_earlier_failure,
    ),
    'changes of voters overlap': Mutation(
        'one_change_of_voters_at_a_time',
        _membership.MembershipChanger,
        '_find_rejection_reason',
        _reject_nothing,
    ),
    'truncated change stays in force': Mutation(
        'removed_change_is_rolled_back',
        _voters.VoterHistory,
        'truncate',
        _skip_rollback,
    ),
    'learner promoted without the log': Mutation(
        'unready_learner_is_not_promoted',
        _leader.Leader,
        'is_caught_up',
        _return_true,
    ),
    'no order to stand at a hand-over': Mutation(
        'hand_over_is_quick', _leader.Leader, 'send_timeout_now', _do_nothing
    ),
    'older snapshot made after an install': Mutation(
        'snapshot_made_late_is_dropped',
        _replica.Replica,
        'make_snapshot',
        _make_older_snapshot,
    ),
    'older snapshot saved over the installed one': Mutation(
        'snapshot_made_late_is_dropped',
        _folder.DataFolder,
        'save_snapshot',
        _save_older_snapshot,
    ),
    'snapshot with later voters': Mutation(
        'snapshot_holds_the_voters_of_its_index',
        _replica.Replica,
        'make_snapshot',
        _snapshot_with_current_voters,
    ),
}
