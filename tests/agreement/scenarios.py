"""Short histories, each aimed at one mechanism.

A scenario raises ``cluster.Breach`` when its promise is broken; ``SCENARIOS``
holds them by name, for the tests and for the mutations.
"""

from fuchsiatrestle import agreement
from fuchsiatrestle import errors
from fuchsiatrestle import messages
from tests.agreement import cluster
from tests.agreement import fake_files

__all__ = ('SCENARIOS',)

THREE = ('c1', 'c2', 'c3')
GROUP = f'{cluster.CELL}/first'
ONE, TWO, OTHER = (agreement.make_identity(name, 1) for name in THREE)
VOTERS = agreement.Voters(GROUP, [ONE, TWO, OTHER])


def _require(condition, text):
    if not condition:
        raise cluster.Breach(text)


def _founded(names=THREE, commands=3):
    group = cluster.Cluster(names, seed=1)
    group.run(5_000)
    for _ in range(commands):
        group.propose(group.leader)
        group.settle()
    group.run(500)
    return group


def _followers(group):
    return [name for name in group.names if name != group.leader]


def _cut_off(group, name):
    for other in group.names:
        group.cuts |= {(name, other), (other, name)}


def _require_refused(group, name):
    """Requires that a node turns down a proposal and a read."""
    group.read(name)
    group.propose(name)
    token = f'read-{len(group.read_floor) - 1}'
    _require(
        {token, group.proposals} <= group.refused,
        f'{name} accepts with a stale belief',
    )


def cut_off_voter_returns():
    """A voter that was cut off disturbs nothing when it comes back."""
    group = _founded()
    leader = group.leader
    term = group.nodes[leader].replica.term
    _cut_off(group, _followers(group)[0])
    group.run(20_000)
    group.cuts.clear()
    group.run(5_000)
    _require(group.leader == leader, 'the leader was deposed')
    _require(group.nodes[leader].replica.term == term, 'the term has grown')


def voter_does_not_hear_the_leader():
    """A voter that hears all but the leader does not depose it."""
    group = _founded()
    leader = group.leader
    group.cuts.add((leader, _followers(group)[0]))
    group.run(10_000)
    _require(group.leader == leader, 'the leader was deposed')


def cut_off_leader_steps_down():
    """A leader that hears no quorum refuses within an election timeout."""
    group = _founded()
    leader = group.leader
    _cut_off(group, leader)
    group.run(2 * group.cfg.election_min_ms)
    _require_refused(group, leader)


def deaf_leader_is_replaced():
    """A leader that is heard but hears nobody does not block the group."""
    group = _founded()
    leader = group.leader
    for other in _followers(group):
        group.cuts.add((other, leader))
    group.run(6_000)
    _require(group.leader not in ('', leader), 'the group is blocked')


def frozen_leader_resumes():
    """A leader that slept through an election refuses its first events."""
    group = _founded()
    leader = group.leader
    group.freeze(leader)
    group.run(5_000)
    group.propose(group.leader)
    group.settle()
    group.nodes[leader].frozen = False
    _require_refused(group, leader)
    group.resume(leader)
    group.require_whole()


def leader_waits_for_its_own_disk():
    """An entry synced by one follower of two is not committed yet."""
    group = _founded()
    leader = group.leader
    group.nodes[leader].slow_disk = True
    _cut_off(group, _followers(group)[0])
    group.propose(leader)
    group.settle()
    _require(
        group.proposals not in group.acknowledged,
        'committed on one disk of three',
    )


def _replica(files, entries=(), hard_state=None, seed=1):
    """Returns a lone c1 on its disk, made with this state at first."""
    if '/data/identity' not in files.paths:
        folder = agreement.DataFolder.open('/data', 'c1', 1, files)
        write = agreement.Write(1, hard_state, None, list(entries))
        folder.carry_out([write])
    folder = agreement.DataFolder.open('/data', 'c1', 1, files)
    return agreement.Replica(
        cluster.CELL, folder.state, THREE, cluster.small_config(), seed
    ), folder


def _log(*terms):
    """Returns entries of these terms, the set of voters first."""
    first = agreement.encode_voters(VOTERS)
    return [
        messages.Entry(
            index + 1,
            term,
            'command' if index else 'voters',
            b'' if index else first,
        )
        for index, term in enumerate(terms)
    ]


def _drive(replica, folder, event, now_ms):
    """Feeds an event and syncs at once; returns messages and effects."""
    sent = []
    events = [event]
    while events:
        for effect in replica.step(events.pop(), now_ms):
            if isinstance(effect, agreement.Write):
                events.append(agreement.Synced(folder.carry_out([effect])))
            elif isinstance(effect, agreement.Send):
                sent.append(effect.message)
            else:
                sent.append(effect)
    return sent


def _ask_vote(replica, folder, candidate, term):
    request = messages.VoteRequest(GROUP, term, candidate, 9, 9, False)
    event = agreement.Received(agreement.name_of(candidate), request)
    replies = _drive(replica, folder, event, 10)
    return any(getattr(one, 'granted', False) for one in replies)


def leader_with_a_hung_disk_gives_way():
    """Followers that outrun the leader's disk get another leader."""
    group = _founded()
    leader = group.leader
    group.nodes[leader].slow_disk = True
    for _ in range(group.cfg.max_uncommitted):
        group.propose(leader)
        group.settle()
    group.run(1_000)
    _require(group.leader not in ('', leader), 'the leader keeps the lead')
    _require(len(group.acknowledged) > 8, 'nothing was agreed meanwhile')
    group.require_whole()


def slow_disks_depose_nobody():
    """A leader hears its followers although their disks hang."""
    group = _founded()
    leader = group.leader
    for name in _followers(group):
        group.nodes[name].slow_disk = True
    group.propose(leader)
    group.run(5_000)
    _require(group.leader == leader, 'the leader was deposed')
    waiting = group.nodes[_followers(group)[0]].replica.writes.held_count
    _require(waiting < 4, f'{waiting} messages wait for a disk')
    group.require_whole()


def vote_survives_a_restart():
    """A restarted voter does not vote twice in one term."""
    files = fake_files.FakeFiles(None)
    hard_state = agreement.HardState(1, '', GROUP)
    replica, folder = _replica(files, _log(1), hard_state)
    _require(_ask_vote(replica, folder, TWO, 2), 'no vote given')
    replica, folder = _replica(files)
    _require(not _ask_vote(replica, folder, OTHER, 2), 'two votes in one term')
    _require(_ask_vote(replica, folder, TWO, 2), 'vote forgotten')


def _elected(*terms):
    """Returns a lone c1 that won an election with a log of these terms."""
    files = fake_files.FakeFiles(None)
    hard_state = agreement.HardState(terms[-1], '', GROUP)
    replica, folder = _replica(files, _log(*terms), hard_state)
    _drive(replica, folder, agreement.Tick(), 5_000)
    for pre in (True, False):
        reply = messages.VoteReply(GROUP, replica.term + pre, TWO, True, pre)
        _drive(replica, folder, agreement.Received('c2', reply), 5_000)
    _require(replica.role.name == 'leader', 'not elected')
    return replica, folder


def _acknowledge(replica, folder, match, number):
    """Returns the effects, writes apart, of a success of c2."""
    reply = messages.AppendReply(GROUP, replica.term, TWO, True, match, number)
    return _drive(replica, folder, agreement.Received('c2', reply), 5_201)


def _kinds(effects):
    return {type(effect) for effect in effects}


def older_term_waits_for_the_own_entry():
    """An older leader's entry on a majority is not committed by counting.

    Another voter may hold a longer log of a term in between and still win.
    """
    replica, folder = _elected(1, 1, 2)
    early = _acknowledge(replica, folder, 3, 1)
    _require(agreement.Apply not in _kinds(early), 'counted an older term')
    late = _acknowledge(replica, folder, 4, 1)
    _require(agreement.Apply in _kinds(late), 'own entry not committed')


def read_waits_for_a_later_round():
    """A read is answered after a round that began when it was there."""
    replica, folder = _elected(1, 1)
    ask = agreement.ReadRequest('r')
    unready = _drive(replica, folder, ask, 5_001)
    unready += _drive(replica, folder, agreement.Tick(), 5_200)
    unready += _acknowledge(replica, folder, 2, 2)
    _require(agreement.ReadReady not in _kinds(unready), 'read before no-op')
    ready = _acknowledge(replica, folder, 3, 2)
    _require(agreement.ReadReady not in _kinds(ready), 'read without round')
    later = _acknowledge(replica, folder, 3, 3)
    _require(agreement.ReadReady in _kinds(later), 'read not answered')


def follower_replies_after_its_fsync():
    """An entry that one follower of two holds in memory is not committed."""
    group = _founded()
    first, second = _followers(group)
    group.nodes[first].slow_disk = True
    _cut_off(group, second)
    group.propose(group.leader)
    group.settle()
    _require(
        group.proposals not in group.acknowledged,
        'committed on one disk of three',
    )


def lost_disk_never_votes_again():
    """A new folder under an old name can not elect a voter that lacks."""
    group = _founded()
    leader = group.leader
    holder, behind = _followers(group)
    _cut_off(group, behind)
    group.propose(leader)
    group.run(200)
    group.erase(holder)
    group.kill(leader)
    group.cuts.clear()
    group.start(holder)
    group.run(10_000)
    _require(not group.leader, 'elected by a replica without its log')
    group.require_whole()


def one_change_of_voters_at_a_time():
    """A leader that is cut off can not remove all others and go on alone."""
    group = _founded()
    leader = group.leader
    _cut_off(group, leader)
    for member in list(group.nodes[leader].replica.voters.voters):
        if not member.startswith(leader):
            group.change_voters(leader, 'remove', member)
    group.propose(leader)
    group.settle()
    group.run(5_000)
    group.propose(group.leader)
    group.require_whole()


def removed_change_is_rolled_back():
    """A truncated change of voters is no longer in force."""
    group = _founded()
    leader = group.leader
    before = group.nodes[leader].replica.voters
    _cut_off(group, leader)
    group.change_voters(leader, 'remove', before.voters[0])
    _require(
        group.nodes[leader].replica.voters != before, 'change not in force'
    )
    group.run(5_000)
    group.propose(group.leader)
    group.require_whole()
    for node in group.nodes.values():
        _require(node.replica.voters == before, 'change not rolled back')


def snapshot_holds_the_voters_of_its_index():
    """A change that is not committed does not slip into a snapshot."""
    group = _founded()
    leader = group.leader
    before = group.nodes[leader].replica.voters
    _cut_off(group, leader)
    group.change_voters(leader, 'remove', before.voters[0])
    group.compact(leader)
    group.kill(leader)
    group.settle()
    group.cuts.clear()
    group.run(5_000)
    group.propose(group.leader)
    group.require_whole()
    for node in group.nodes.values():
        _require(node.replica.voters == before, 'change not rolled back')


def removed_leader_leaves():
    """A leader removes itself; the others go on at once."""
    group = _founded(('c1', 'c2', 'c3', 'c4', 'c5'))
    leader = group.leader
    member = group.nodes[leader].replica.identity
    group.change_voters(leader, 'remove', member)
    group.settle()
    group.run(200)
    _require(group.leader not in ('', leader), 'no new leader at once')
    group.run(5_000)
    role = group.nodes[leader].replica.role.name
    _require(role == 'follower', f'the removed leader is a {role}')
    group.require_whole()


def removed_voter_still_stands():
    """One whose removal is not committed may be the only one to win."""
    group = _founded(('c1', 'c2', 'c3', 'c4'))
    leader = group.leader
    member = group.nodes[leader].replica.identity
    group.kill(_followers(group)[0])
    group.change_voters(leader, 'remove', member)
    group.store(leader)
    group.kill(leader)
    group.network.clear()
    group.start(leader)
    _require(group.commit_one(attempts=2), 'nobody is elected')
    group.require_whole()


def snapshot_made_late_is_dropped():
    """State copied before an install does not replace the installed one."""
    group = _founded()
    behind = _followers(group)[0]
    _cut_off(group, behind)
    for _ in range(20):
        group.propose(group.leader)
        group.settle()
    group.compact(group.leader)
    group.cuts.clear()
    group.run_until(
        lambda: group.nodes[behind].replica.log.base_index > 15, 5_000
    )
    snapshot = group.nodes[behind].replica.make_snapshot(1, b'')
    _require(snapshot.last_index > 15, 'an older snapshot was made')
    old = agreement.Snapshot(1, 1, VOTERS, b'')
    group.nodes[behind].folder.save_snapshot(old)
    group.kill(behind)
    group.start(behind)
    state = group.nodes[behind].folder.state
    _require(state.snapshot == snapshot, 'an older snapshot was saved')


def hand_over_is_quick():
    """Another voter leads without waiting for an election timeout."""
    group = _founded()
    leader = group.leader
    group.propose(leader)
    group.hand_over(leader)
    group.propose(leader)
    _require(group.proposals in group.refused, 'accepted while handing over')
    group.settle()
    group.run(100)
    _require(group.leader not in ('', leader), 'leadership not handed over')
    _require(group.proposals - 1 in group.acknowledged, 'proposal not agreed')
    group.require_whole()


def _voter_names(group):
    voters = group.nodes[group.leader].replica.voters.voters
    return sorted(agreement.name_of(voter) for voter in voters)


def _repair(group, name):
    """Erases a disk and runs until the new identity votes."""
    old = group.nodes[name].replica.identity
    group.erase(name)
    group.run(3_000)
    group.start(name)
    for _ in range(200):
        group.run(50)
        new = group.nodes[name].replica
        leader = group.nodes[group.leader].replica
        if new.identity in leader.voters.voters and leader.voters_committed:
            _require(old not in leader.voters.members, 'old identity kept')
            return
    raise cluster.Breach(f'{name} was not repaired')


def second_disk_lost_after_a_repair():
    """Losing another disk the moment a repair is done loses nothing."""
    for first, second in (('c1', 'c2'), ('c2', 'c1'), ('c3', 'c1')):
        group = _founded(commands=20)
        group.compact(group.leader)
        _repair(group, first)
        _repair(group, second)
        _require(_voter_names(group) == list(THREE), 'voters are missing')
        group.require_whole()


def empty_folder_founds_no_second_group():
    """The founder with an empty folder joins the group that exists."""
    group = _founded()
    known = group.nodes['c2'].replica.group
    _cut_off(group, 'c2')
    group.erase('c1')
    group.erase('c3')
    group.start('c1')
    group.start('c3')
    group.run(5_000)
    group.cuts.clear()
    group.run(5_000)
    for node in group.nodes.values():
        found = node.replica.group
        _require(found in ('', known), f'second group {found}')


def unready_learner_is_not_promoted():
    """A learner that lacks committed entries gets no vote."""
    group = _founded()
    leader = group.leader
    group.nodes[leader].replica.cfg.auto_admit = False
    group.change_voters(leader, 'add', 'c9#9')
    group.settle()
    group.change_voters(leader, 'promote', 'c9#9')
    voters = group.nodes[leader].replica.voters
    _require('c9#9' not in voters.voters, 'promoted without the log')


def torn_tail_is_cut():
    """Whatever is left of an unsynced write, synced entries are found."""
    for lost in range(1, 200):
        files = fake_files.FakeFiles(None)
        hard_state = agreement.HardState(1, '', GROUP)
        _, folder = _replica(files, _log(1, 1), hard_state)
        entry = messages.Entry(3, 1, 'command', b'x' * 80)
        folder.carry_out([agreement.Write(2, None, None, [entry])])
        files.spoil_tail('/data/log-00000001', lost)
        state = agreement.DataFolder.open('/data', 'c1', 1, files).state
        _require(
            len(state.entries) in (2, 3) and state.entries[:2] == _log(1, 1),
            'synced entries are missing',
        )
        _require(
            len(state.entries) == 2 or state.entries[2] == entry,
            'a damaged entry was read',
        )


def install_replaces_the_log():
    """A crash at any step of an install leaves old or new, never both."""
    snapshot = agreement.Snapshot(2, 5, VOTERS, b'state')
    for crash_in in range(40):
        files = fake_files.FakeFiles(None)
        hard_state = agreement.HardState(1, '', GROUP)
        _, folder = _replica(files, _log(1, 1, 1, 1), hard_state)
        files.crash_in = crash_in / 2
        try:
            folder.install_snapshot(snapshot)
        except fake_files.Crash:
            pass
        files.lose_unsynced()
        state = agreement.DataFolder.open('/data', 'c1', 1, files).state
        expected = 4 if state.snapshot is None else 0
        _require(
            len(state.entries) == expected,
            f'{len(state.entries)} entries with {state.snapshot}',
        )
        _require(state.hard_state == hard_state, 'hard state is lost')


def damaged_middle_is_an_error():
    """Each flipped byte before the last frame names file and offset."""
    files = fake_files.FakeFiles(None)
    hard_state = agreement.HardState(1, '', GROUP)
    _, folder = _replica(files, _log(1, 1), hard_state)
    end = len(files.read('/data/log-00000001'))
    entry = messages.Entry(3, 1, 'command', b'x' * 80)
    folder.carry_out([agreement.Write(2, None, None, [entry])])
    for offset in range(end):
        files.damage('/data/log-00000001', offset)
        try:
            agreement.DataFolder.open('/data', 'c1', 1, files)
            raise cluster.Breach(f'damage at {offset} is not seen')
        except errors.DataDamaged as exc:
            _require('/data/log-00000001: offset' in str(exc), str(exc))
        files.damage('/data/log-00000001', offset)


def failed_disk_refuses_for_good():
    """After one failed write or fsync the folder takes nothing more."""
    for fault in ('space', 'fail_sync'):
        files = fake_files.FakeFiles(None)
        hard_state = agreement.HardState(1, '', GROUP)
        _, folder = _replica(files, _log(1, 1), hard_state)
        setattr(files, fault, 1)
        write = agreement.Write(2, hard_state, None, [])
        for _ in range(2):
            try:
                folder.carry_out([write])
                raise cluster.Breach(f'written after {fault}')
            except errors.StorageFailed:
                files.space = None
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
