"""Matrix of every fault at every step of the replicated log.

A cell brings a group to a step and injects a fault into one participant, for
each participant in turn.  It requires that the group commits while the fault
lasts and recovers when it is over.  ``render_table`` gives the table of the
docs.
"""

from fuchsiatrestle import agreement
from fuchsiatrestle import errors
from fuchsiatrestle import messages
from tests.agreement import cluster

__all__ = ('FAULTS', 'STEPS', 'render_table', 'run_cell')

THREE_NAMES = ('c1', 'c2', 'c3')
FIVE_NAMES = ('c1', 'c2', 'c3', 'c4', 'c5')
COMMAND_COUNT = 12
FAULT_DURATION_MS = 2_000
MAX_FILE_OPS = 12


# Faults


def _kill(group, name):
    group.kill(name)


def _freeze(group, name):
    group.freeze(name)


def _cut_outgoing(group, name):
    group.cut_links |= {(name, other) for other in group.node_names}


def _cut_incoming(group, name):
    group.cut_links |= {(other, name) for other in group.node_names}


def _cut_both_ways(group, name):
    _cut_outgoing(group, name)
    _cut_incoming(group, name)


def _slow_down_disk(group, name):
    group.nodes[name].slow_disk = True


def _fill_disk(group, name):
    group.nodes[name].files.free_bytes = 10


def _fail_fsyncs(group, name):
    group.nodes[name].files.fail_sync = True


def _lose_disk(group, name):
    group.replace_disk(name)
    group.start(name)


def _restart(group, name):
    group.kill(name)
    group.start(name)


def _make_crash(half_ops):
    """Returns a fault: a crash after some half file operations.

    An odd number crashes after an operation, an even one before it.
    """

    def crash(group, name):
        group.nodes[name].files.crash_after_ops = half_ops / 2

    return crash


# A crash before and one after each of the next file operations.
CRASH_FAULTS = tuple(
    _make_crash(half_ops) for half_ops in range(2 * MAX_FILE_OPS)
)

FAULTS = {
    'kill': (_kill,) + CRASH_FAULTS,
    'freeze': (_freeze,),
    'cut one way': (_cut_outgoing, _cut_incoming),
    'cut both': (_cut_both_ways,),
    'slow disk': (_slow_down_disk,),
    'full disk': (_fill_disk,),
    'failed fsync': (_fail_fsyncs,),
    'lost disk': (_lose_disk,),
    'restart': (_restart,),
}


# Steps


class Stage:
    """A group that has reached a step.

    Attributes:
        group: the ``Cluster``.
        participants: names of the replicas that take part in the step, by
            their part, such as ``leader``.
        finish_step: function that finishes the step, called after the fault.
    """

    def __init__(self, group, finish_step=None, **participants):
        self.group = group
        self.participants = participants
        self.finish_step = finish_step or (lambda: None)


def _found_group(names=THREE_NAMES):
    group = cluster.Cluster(names, seed=1)
    group.run(5_000)
    for _ in range(COMMAND_COUNT):
        group.propose(group.leader)
        group.settle()
    group.run(500)
    followers = [name for name in names if name != group.leader]
    return group, group.leader, followers


def _deliver_packets_to(group, name):
    """Delivers the messages now in flight to one replica."""
    for packet in [
        queued for queued in group.packets_in_flight if queued[1] == name
    ]:
        group.deliver(group.packets_in_flight.index(packet))


def _reach_propose_step():
    group, leader, followers = _found_group()
    group.propose(leader)
    return Stage(group, leader=leader, follower=followers[0])


def _reach_append_step():
    stage = _reach_propose_step()
    _deliver_packets_to(stage.group, stage.participants['follower'])
    return stage


def _reach_fsync_step():
    """Stops between an fsync and its ``WritesSynced`` to the replica."""
    stage = _reach_append_step()
    group = stage.group
    durable_writes = []
    for name in stage.participants.values():
        node = group.nodes[name]
        effects, node.storage_queue = node.storage_queue, []
        durable_writes.append((name, node.folder.write_effects(effects)))

    def finish_step():
        for name, write_id in durable_writes:
            node = group.nodes[name]
            if node.is_running and node.replica.write_queue.has_issued_write(
                write_id
            ):
                group.step(name, agreement.WritesSynced(write_id))

    stage.finish_step = finish_step
    return stage


def _reach_commit_step():
    stage = _reach_append_step()
    for name in stage.participants.values():
        stage.group.run_storage(name)
    _deliver_packets_to(stage.group, stage.participants['leader'])
    return stage


def _reach_apply_step():
    stage = _reach_commit_step()
    stage.group.advance(200)
    stage.group.tick(stage.participants['leader'])
    _deliver_packets_to(stage.group, stage.participants['follower'])
    return stage


def _reach_answer_step():
    """Stops when the leader has answered the client but sent nothing else."""
    stage = _reach_commit_step()
    stage.group.packets_in_flight.clear()
    return stage


def _reach_snapshot_step():
    group, leader, followers = _found_group()
    participants = {'leader': leader, 'follower': followers[0]}

    def finish_step():
        for name in participants.values():
            group.compact(name)

    return Stage(group, finish_step, **participants)


def _reach_install_step():
    group, leader, followers = _found_group()
    lagging_name = followers[0]
    group.kill(lagging_name)
    for _ in range(COMMAND_COUNT):
        group.propose(leader)
        group.settle()
    group.compact(leader)
    group.start(lagging_name)
    while not _is_in_flight(group, messages.InstallReply):
        group.advance(50)
        group.tick(leader)
        group.deliver(0)
        group.run_storage(lagging_name)
    return Stage(group, leader=leader, follower=lagging_name)


def _is_in_flight(group, message_class):
    return any(
        isinstance(packet[2], message_class)
        for packet in group.packets_in_flight
    )


def _reach_join_step():
    """Stops when a new identity is a learner that lacks part of the log."""
    group, leader, followers = _found_group(FIVE_NAMES)
    newcomer, other_follower = followers[:2]
    group.compact(leader)
    group.replace_disk(newcomer)
    group.start(newcomer)
    while not group.nodes[leader].replica.voters.learners:
        group.advance(50)
        for name in group.node_names:
            group.tick(name)
        for _ in range(len(group.packets_in_flight)):
            group.deliver(0)
        for name in group.node_names:
            group.run_storage(name)
    return Stage(
        group, leader=leader, newcomer=newcomer, follower=other_follower
    )


def _reach_remove_step():
    group, leader, followers = _found_group(FIVE_NAMES)
    removed, other_follower = followers[:2]
    member = group.nodes[removed].replica.identity
    group.change_voters(leader, 'remove', member)
    return Stage(
        group, leader=leader, removed=removed, follower=other_follower
    )


def _reach_hand_over_step():
    group, leader, followers = _found_group()
    group.transfer_leadership(leader)
    target = [
        packet[1]
        for packet in group.packets_in_flight
        if isinstance(packet[2], messages.TimeoutNow)
    ][0]
    return Stage(group, leader=leader, target=target)


STEPS = {
    'propose': _reach_propose_step,
    'append': _reach_append_step,
    'fsync': _reach_fsync_step,
    'commit': _reach_commit_step,
    'apply': _reach_apply_step,
    'answer': _reach_answer_step,
    'snapshot': _reach_snapshot_step,
    'install': _reach_install_step,
    'join': _reach_join_step,
    'remove': _reach_remove_step,
    'hand-over': _reach_hand_over_step,
}


# Cells


def _run_variant(step, inject, participant):
    stage = STEPS[step]()
    group = stage.group
    inject(group, stage.participants[participant])
    stage.finish_step()
    group.run(FAULT_DURATION_MS)
    if not group.commit_command(attempts=3):
        raise cluster.ClusterInvariantBreach('no commit while the fault lasts')
    group.require_recovered()


def run_cell(fault, step):
    """Runs one cell; returns ``proved`` or the text of its first failure."""
    participants = list(STEPS[step]().participants)
    for inject in FAULTS[fault]:
        for participant in participants:
            try:
                _run_variant(step, inject, participant)
            except (cluster.ClusterInvariantBreach, errors.Error) as exc:
                return f'FAILED at the {participant}: {exc}'
    return 'proved'


def render_table(cells):
    """Returns the Markdown table.

    Args:
        cells: results by (fault, step).
    """
    lines = ['| step | ' + ' | '.join(FAULTS) + ' |']
    lines.append('|' + '---|' * (len(FAULTS) + 1))
    for step in STEPS:
        row_cells = [cells[fault, step] for fault in FAULTS]
        lines.append(f'| {step} | ' + ' | '.join(row_cells) + ' |')
    return '\n'.join(lines) + '\n'
