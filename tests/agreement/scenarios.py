"""Deterministic scenarios, each for one mechanism of the replicated log.

A scenario raises ``cluster.ClusterInvariantBreach`` if the mechanism fails.
``SCENARIOS`` holds them by name, for the tests and for the mutations.
"""

from fuchsiatrestle import agreement
from fuchsiatrestle import errors
from fuchsiatrestle import messages
from tests.agreement import cluster
from tests.agreement import fake_files

__all__ = ('SCENARIOS',)

THREE_NAMES = ('c1', 'c2', 'c3')
GROUP = f'{cluster.CELL}/first'
C1, C2, C3 = (agreement.make_identity(name, 1) for name in THREE_NAMES)
VOTERS = agreement.Voters(GROUP, [C1, C2, C3])


def _require(condition, text):
    if not condition:
        raise cluster.ClusterInvariantBreach(text)


def _found_group(names=THREE_NAMES, command_count=3):
    group = cluster.Cluster(names, seed=1)
    group.run(5_000)
    for _ in range(command_count):
        group.propose(group.leader)
        group.settle()
    group.run(500)
    return group


def _follower_names(group):
    return [name for name in group.node_names if name != group.leader]


def _cut_off_node(group, name):
    for other in group.node_names:
        group.cut_links |= {(name, other), (other, name)}


def _require_rejections(group, name):
    """Requires that a node rejects a proposal and a read."""
    group.read(name)
    group.propose(name)
    token = f'read-{len(group.min_index_by_read_token) - 1}'
    _require(
        {token, group.proposal_count} <= group.rejected_tokens,
        f'{name} accepts requests without a quorum',
    )


def cut_off_voter_returns():
    """A voter that was cut off does not depose the leader on its return."""
    group = _found_group()
    leader = group.leader
    term = group.nodes[leader].replica.term
    _cut_off_node(group, _follower_names(group)[0])
    group.run(20_000)
    group.cut_links.clear()
    group.run(5_000)
    _require(group.leader == leader, 'the leader was deposed')
    _require(group.nodes[leader].replica.term == term, 'the term has grown')


def voter_does_not_hear_the_leader():
    """A voter that hears all but the leader does not depose it."""
    group = _found_group()
    leader = group.leader
    group.cut_links.add((leader, _follower_names(group)[0]))
    group.run(10_000)
    _require(group.leader == leader, 'the leader was deposed')


def cut_off_leader_steps_down():
    """A leader cut off from its quorum steps down and rejects requests."""
    group = _found_group()
    leader = group.leader
    _cut_off_node(group, leader)
    group.run(2 * group.cfg.election_min_ms)
    _require_rejections(group, leader)


def deaf_leader_is_replaced():
    """A leader that can send but not receive is replaced."""
    group = _found_group()
    leader = group.leader
    for other in _follower_names(group):
        group.cut_links.add((other, leader))
    group.run(6_000)
    _require(group.leader not in ('', leader), 'the group is blocked')


def frozen_leader_resumes():
    """A leader frozen during an election rejects requests on its return."""
    group = _found_group()
    leader = group.leader
    group.freeze(leader)
    group.run(5_000)
    group.propose(group.leader)
    group.settle()
    group.nodes[leader].frozen = False
    _require_rejections(group, leader)
    group.resume(leader)
    group.require_recovered()


def leader_waits_for_its_own_disk():
    """An entry on one follower's disk only is not committed.

    The leader's own disk is slow, the other follower is cut off.
    """
    group = _found_group()
    leader = group.leader
    group.nodes[leader].slow_disk = True
    _cut_off_node(group, _follower_names(group)[0])
    group.propose(leader)
    group.settle()
    _require(
        group.proposal_count not in group.acknowledged_index_by_token,
        'committed on one disk of three',
    )


def _open_replica(files, entries=(), hard_state=None, seed=1):
    """Opens the data folder of c1; returns its replica and the folder.

    A new folder is first filled with the entries and the hard state.
    """
    if '/data/identity' not in files.paths:
        folder = agreement.DataFolder.open('/data', 'c1', 1, files)
        write = agreement.PersistChanges(1, hard_state, None, list(entries))
        folder.write_effects([write])
    folder = agreement.DataFolder.open('/data', 'c1', 1, files)
    return agreement.Replica(
        cluster.CELL, folder.state, THREE_NAMES, cluster.small_config(), seed
    ), folder


def _make_log(*terms):
    """Returns a log with entries of the given terms, the voter set first."""
    encoded_voters = agreement.encode_voters(VOTERS)
    return [
        messages.Entry(
            index + 1,
            term,
            'command' if index else 'voters',
            b'' if index else encoded_voters,
        )
        for index, term in enumerate(terms)
    ]


def _step_durably(replica, folder, event, now_ms):
    """Steps a replica and makes its writes durable at once.

    Returns:
        The messages sent and all other effects except writes, in order.
    """
    outputs = []
    events = [event]
    while events:
        for effect in replica.step(events.pop(), now_ms):
            if isinstance(effect, agreement.PersistChanges):
                events.append(
                    agreement.WritesSynced(folder.write_effects([effect]))
                )
            elif isinstance(effect, agreement.SendToPeer):
                outputs.append(effect.message)
            else:
                outputs.append(effect)
    return outputs


def _request_vote(replica, folder, candidate, term):
    """Requests a vote once the replica may grant one after its restart."""
    now_ms = replica.now_ms + replica.cfg.election_min_ms
    request = messages.VoteRequest(GROUP, term, candidate, 9, 9, False)
    event = agreement.MessageReceived(
        agreement.process_name_of(candidate), request
    )
    replies = _step_durably(replica, folder, event, now_ms)
    return any(getattr(output, 'granted', False) for output in replies)


def leader_with_a_hung_disk_gives_way():
    """A leader whose disk hangs while others commit hands leadership over."""
    group = _found_group()
    leader = group.leader
    group.nodes[leader].slow_disk = True
    for _ in range(group.cfg.max_uncommitted_entries):
        group.propose(leader)
        group.settle()
    group.run(1_000)
    _require(group.leader not in ('', leader), 'the leader keeps the lead')
    _require(
        len(group.acknowledged_index_by_token) > 8,
        'nothing was agreed meanwhile',
    )
    group.require_recovered()


def slow_disks_depose_nobody():
    """Followers with hanging disks still answer the heartbeats.

    Otherwise the leader would step down for want of a quorum.
    """
    group = _found_group()
    leader = group.leader
    for name in _follower_names(group):
        group.nodes[name].slow_disk = True
    group.propose(leader)
    group.run(5_000)
    _require(group.leader == leader, 'the leader was deposed')
    held_send_count = group.nodes[
        _follower_names(group)[0]
    ].replica.write_queue.held_send_count
    _require(
        held_send_count < 4, f'{held_send_count} messages wait for a disk'
    )
    group.require_recovered()


def vote_survives_a_restart():
    """A restarted voter does not vote twice in one term."""
    files = fake_files.FakeFiles(None)
    hard_state = agreement.HardState(1, '', GROUP)
    replica, folder = _open_replica(files, _make_log(1), hard_state)
    _require(_request_vote(replica, folder, C2, 2), 'no vote given')
    replica, folder = _open_replica(files)
    _require(
        not _request_vote(replica, folder, C3, 2), 'two votes in one term'
    )
    _require(_request_vote(replica, folder, C2, 2), 'vote forgotten')


def _elect_leader(*terms):
    """Returns a leader c1 and its folder, with entries of the given terms."""
    files = fake_files.FakeFiles(None)
    hard_state = agreement.HardState(terms[-1], '', GROUP)
    replica, folder = _open_replica(files, _make_log(*terms), hard_state)
    _step_durably(replica, folder, agreement.Tick(), 5_000)
    for pre in (True, False):
        reply = messages.VoteReply(GROUP, replica.term + pre, C2, True, pre)
        _step_durably(
            replica, folder, agreement.MessageReceived('c2', reply), 5_000
        )
    _require(replica.role.name == 'leader', 'not elected')
    return replica, folder


def _reply_to_append(replica, folder, match_index, round_number):
    """Replies to an append as c2; returns what ``_step_durably`` returns."""
    reply = messages.AppendReply(
        GROUP, replica.term, C2, True, match_index, round_number
    )
    return _step_durably(
        replica, folder, agreement.MessageReceived('c2', reply), 5_201
    )


def _effect_types(effects):
    return {type(effect) for effect in effects}


def older_term_waits_for_the_own_entry():
    """An entry of an older term is not committed by counting replicas.

    Another voter with a log of a term in between could still win an election
    and overwrite it.
    """
    replica, folder = _elect_leader(1, 1, 2)
    older_term_effects = _reply_to_append(replica, folder, 3, 1)
    _require(
        agreement.ApplyEntries not in _effect_types(older_term_effects),
        'counted an older term',
    )
    own_term_effects = _reply_to_append(replica, folder, 4, 1)
    _require(
        agreement.ApplyEntries in _effect_types(own_term_effects),
        'own entry not committed',
    )


def read_waits_for_a_later_round():
    """A read waits for a heartbeat round that started after it arrived."""
    replica, folder = _elect_leader(1, 1)
    read_request = agreement.ReadRequest('r')
    early_effects = _step_durably(replica, folder, read_request, 5_001)
    early_effects += _step_durably(replica, folder, agreement.Tick(), 5_200)
    early_effects += _reply_to_append(replica, folder, 2, 2)
    _require(
        agreement.ReadReady not in _effect_types(early_effects),
        'read before no-op',
    )
    unconfirmed_effects = _reply_to_append(replica, folder, 3, 2)
    _require(
        agreement.ReadReady not in _effect_types(unconfirmed_effects),
        'read without round',
    )
    confirmed_effects = _reply_to_append(replica, folder, 3, 3)
    _require(
        agreement.ReadReady in _effect_types(confirmed_effects),
        'read not answered',
    )


def follower_replies_after_its_fsync():
    """An entry that a follower has in memory only is not committed."""
    group = _found_group()
    slow_name, cut_off_name = _follower_names(group)
    group.nodes[slow_name].slow_disk = True
    _cut_off_node(group, cut_off_name)
    group.propose(group.leader)
    group.settle()
    _require(
        group.proposal_count not in group.acknowledged_index_by_token,
        'committed on one disk of three',
    )


def lost_disk_never_votes_again():
    """A voter that lost its disk can not elect one that lacks entries."""
    group = _found_group()
    leader = group.leader
    holder_name, lagging_name = _follower_names(group)
    _cut_off_node(group, lagging_name)
    group.propose(leader)
    group.run(200)
    group.replace_disk(holder_name)
    group.kill(leader)
    group.cut_links.clear()
    group.start(holder_name)
    group.run(10_000)
    _require(not group.leader, 'elected by a replica without its log')
    group.require_recovered()


def one_change_of_voters_at_a_time():
    """A leader that is cut off can not remove the others and commit alone."""
    group = _found_group()
    leader = group.leader
    _cut_off_node(group, leader)
    for member in list(group.nodes[leader].replica.voters.voters):
        if not member.startswith(leader):
            group.change_voters(leader, 'remove', member)
    group.propose(leader)
    group.settle()
    group.run(5_000)
    group.propose(group.leader)
    group.require_recovered()


def removed_change_is_rolled_back():
    """A membership change that was truncated is no longer in force."""
    group = _found_group()
    leader = group.leader
    voters_before = group.nodes[leader].replica.voters
    _cut_off_node(group, leader)
    group.change_voters(leader, 'remove', voters_before.voters[0])
    _require(
        group.nodes[leader].replica.voters != voters_before,
        'change not in force',
    )
    group.run(5_000)
    group.propose(group.leader)
    group.require_recovered()
    for node in group.nodes.values():
        _require(
            node.replica.voters == voters_before, 'change not rolled back'
        )


def snapshot_holds_the_voters_of_its_index():
    """A snapshot does not contain a membership change after its index."""
    group = _found_group()
    leader = group.leader
    voters_before = group.nodes[leader].replica.voters
    _cut_off_node(group, leader)
    group.change_voters(leader, 'remove', voters_before.voters[0])
    group.compact(leader)
    group.kill(leader)
    group.settle()
    group.cut_links.clear()
    group.run(5_000)
    group.propose(group.leader)
    group.require_recovered()
    for node in group.nodes.values():
        _require(
            node.replica.voters == voters_before, 'change not rolled back'
        )


def removed_leader_leaves():
    """A leader that removes itself is replaced at once."""
    group = _found_group(('c1', 'c2', 'c3', 'c4', 'c5'))
    leader = group.leader
    member = group.nodes[leader].replica.identity
    group.change_voters(leader, 'remove', member)
    group.settle()
    group.run(200)
    _require(group.leader not in ('', leader), 'no new leader at once')
    group.run(5_000)
    role = group.nodes[leader].replica.role.name
    _require(role == 'follower', f'the removed leader is a {role}')
    group.require_recovered()


def removed_voter_still_stands():
    """A replica whose removal is uncommitted can still be elected.

    It may be the only one that can win.
    """
    group = _found_group(('c1', 'c2', 'c3', 'c4'))
    leader = group.leader
    member = group.nodes[leader].replica.identity
    group.kill(_follower_names(group)[0])
    group.change_voters(leader, 'remove', member)
    group.run_storage(leader)
    group.kill(leader)
    group.packets_in_flight.clear()
    group.start(leader)
    _require(group.commit_command(attempts=2), 'nobody is elected')
    group.require_recovered()


def snapshot_made_late_is_dropped():
    """A snapshot of older state does not replace an installed snapshot."""
    group = _found_group()
    lagging_name = _follower_names(group)[0]
    _cut_off_node(group, lagging_name)
    for _ in range(20):
        group.propose(group.leader)
        group.settle()
    group.compact(group.leader)
    group.cut_links.clear()
    group.run_until(
        lambda: group.nodes[lagging_name].replica.log.base_index > 15, 5_000
    )
    snapshot = group.nodes[lagging_name].replica.make_snapshot(1, b'')
    _require(snapshot.last_index > 15, 'an older snapshot was made')
    old_snapshot = agreement.Snapshot(1, 1, VOTERS, b'')
    group.nodes[lagging_name].folder.save_snapshot(old_snapshot)
    group.kill(lagging_name)
    group.start(lagging_name)
    state = group.nodes[lagging_name].folder.state
    _require(state.snapshot == snapshot, 'an older snapshot was saved')


def hand_over_is_quick():
    """A leadership transfer does not wait for an election timeout."""
    group = _found_group()
    leader = group.leader
    group.propose(leader)
    group.transfer_leadership(leader)
    group.propose(leader)
    _require(
        group.proposal_count in group.rejected_tokens,
        'accepted while handing over',
    )
    group.settle()
    group.run(100)
    _require(group.leader not in ('', leader), 'leadership not handed over')
    _require(
        group.proposal_count - 1 in group.acknowledged_index_by_token,
        'proposal not agreed',
    )
    group.require_recovered()


def _voter_names(group):
    voters = group.nodes[group.leader].replica.voters.voters
    return sorted(agreement.process_name_of(voter) for voter in voters)


def _replace_disk_and_repair(group, name):
    """Replaces a disk and runs until the new identity is a voter."""
    old_identity = group.nodes[name].replica.identity
    group.replace_disk(name)
    group.run(3_000)
    group.start(name)
    for _ in range(200):
        group.run(50)
        new_replica = group.nodes[name].replica
        leader = group.nodes[group.leader].replica
        if (
            new_replica.identity in leader.voters.voters
            and leader.voters_committed
        ):
            _require(
                old_identity not in leader.voters.members, 'old identity kept'
            )
            return
    raise cluster.ClusterInvariantBreach(f'{name} was not repaired')


def second_disk_lost_after_a_repair():
    """A second disk lost right after a repair loses no entry."""
    for first_lost_name, second_lost_name in (
        ('c1', 'c2'),
        ('c2', 'c1'),
        ('c3', 'c1'),
    ):
        group = _found_group(command_count=20)
        group.compact(group.leader)
        _replace_disk_and_repair(group, first_lost_name)
        _replace_disk_and_repair(group, second_lost_name)
        _require(
            _voter_names(group) == list(THREE_NAMES), 'voters are missing'
        )
        group.require_recovered()


def empty_folder_founds_no_second_group():
    """A founder that lost its disk founds no second group."""
    group = _found_group()
    known_group = group.nodes['c2'].replica.group
    _cut_off_node(group, 'c2')
    group.replace_disk('c1')
    group.replace_disk('c3')
    group.start('c1')
    group.start('c3')
    group.run(5_000)
    group.cut_links.clear()
    group.run(5_000)
    for node in group.nodes.values():
        node_group = node.replica.group
        _require(node_group in ('', known_group), f'second group {node_group}')


def unready_learner_is_not_promoted():
    """A learner that lacks committed entries is not promoted."""
    group = _found_group()
    leader = group.leader
    group.nodes[leader].replica.cfg.auto_admit = False
    group.change_voters(leader, 'add', 'c9#9')
    group.settle()
    group.change_voters(leader, 'promote', 'c9#9')
    voters = group.nodes[leader].replica.voters
    _require('c9#9' not in voters.voters, 'promoted without the log')


def torn_tail_is_cut():
    """A torn write is cut off and loses no synced entry."""
    for cut_size in range(1, 200):
        files = fake_files.FakeFiles(None)
        hard_state = agreement.HardState(1, '', GROUP)
        _, folder = _open_replica(files, _make_log(1, 1), hard_state)
        entry = messages.Entry(3, 1, 'command', b'x' * 80)
        folder.write_effects(
            [agreement.PersistChanges(2, None, None, [entry])]
        )
        files.damage_tail('/data/log-00000001', cut_size)
        state = agreement.DataFolder.open('/data', 'c1', 1, files).state
        _require(
            len(state.entries) in (2, 3)
            and state.entries[:2] == _make_log(1, 1),
            'synced entries are missing',
        )
        _require(
            len(state.entries) == 2 or state.entries[2] == entry,
            'a damaged entry was read',
        )


def install_replaces_the_log():
    """A crash during an install leaves the old or the new state, unmixed."""
    snapshot = agreement.Snapshot(2, 5, VOTERS, b'state')
    for crash_half_ops in range(40):
        files = fake_files.FakeFiles(None)
        hard_state = agreement.HardState(1, '', GROUP)
        _, folder = _open_replica(files, _make_log(1, 1, 1, 1), hard_state)
        files.crash_after_ops = crash_half_ops / 2
        try:
            folder.install_snapshot(snapshot)
        except fake_files.Crash:
            pass
        files.drop_unsynced()
        state = agreement.DataFolder.open('/data', 'c1', 1, files).state
        expected_count = 4 if state.snapshot is None else 0
        _require(
            len(state.entries) == expected_count,
            f'{len(state.entries)} entries with {state.snapshot}',
        )
        _require(state.hard_state == hard_state, 'hard state is lost')


def damaged_middle_is_an_error():
    """Damage before the last frame is reported with file and offset."""
    files = fake_files.FakeFiles(None)
    hard_state = agreement.HardState(1, '', GROUP)
    _, folder = _open_replica(files, _make_log(1, 1), hard_state)
    last_frame_offset = len(files.read('/data/log-00000001'))
    entry = messages.Entry(3, 1, 'command', b'x' * 80)
    folder.write_effects([agreement.PersistChanges(2, None, None, [entry])])
    for offset in range(last_frame_offset):
        files.flip_bit('/data/log-00000001', offset)
        try:
            agreement.DataFolder.open('/data', 'c1', 1, files)
            raise cluster.ClusterInvariantBreach(
                f'damage at {offset} is not seen'
            )
        except errors.DataDamaged as exc:
            _require('/data/log-00000001: offset' in str(exc), str(exc))
        files.flip_bit('/data/log-00000001', offset)


def failed_disk_refuses_for_good():
    """After a failed write or fsync the folder rejects all later writes."""
    for fault in ('free_bytes', 'fail_sync'):
        files = fake_files.FakeFiles(None)
        hard_state = agreement.HardState(1, '', GROUP)
        _, folder = _open_replica(files, _make_log(1, 1), hard_state)
        setattr(files, fault, 1)
        write = agreement.PersistChanges(2, hard_state, None, [])
        for _ in range(2):
            try:
                folder.write_effects([write])
                raise cluster.ClusterInvariantBreach(f'written after {fault}')
            except errors.StorageFailed:
                files.free_bytes = None
                files.fail_sync = False


SCENARIOS = {
    func.__name__: func
    for func in (
        cut_off_voter_returns,
        voter_does_not_hear_the_leader,
        cut_off_leader_steps_down,
        deaf_leader_is_replaced,
        frozen_leader_resumes,
        leader_waits_for_its_own_disk,
        leader_with_a_hung_disk_gives_way,
        slow_disks_depose_nobody,
        vote_survives_a_restart,
        older_term_waits_for_the_own_entry,
        read_waits_for_a_later_round,
        follower_replies_after_its_fsync,
        lost_disk_never_votes_again,
        one_change_of_voters_at_a_time,
        snapshot_holds_the_voters_of_its_index,
        removed_change_is_rolled_back,
        removed_leader_leaves,
        removed_voter_still_stands,
        snapshot_made_late_is_dropped,
        hand_over_is_quick,
        second_disk_lost_after_a_repair,
        empty_folder_founds_no_second_group,
        unready_learner_is_not_promoted,
        torn_tail_is_cut,
        install_replaces_the_log,
        damaged_middle_is_an_error,
        failed_disk_refuses_for_good,
    )
}
