"""Every fault at every step of the replicated log.

A cell brings a group to a step, injects one fault into each replica that
takes part in it, requires that the others go on while the fault lasts and
that all is whole once it is over.  ``render`` gives the table of the docs.
"""

from fuchsiatrestle import agreement
from fuchsiatrestle import errors
from fuchsiatrestle import messages
from tests.agreement import cluster

__all__ = ('FAULTS', 'STEPS', 'render', 'run_cell')

THREE = ('c1', 'c2', 'c3')
FIVE = ('c1', 'c2', 'c3', 'c4', 'c5')
COMMANDS = 12
FAULT_MS = 2_000
MAX_FILE_OPS = 12


# Faults


def _kill(group, name):
    group.kill(name)


def _freeze(group, name):
    group.freeze(name)


def _cut_out(group, name):
    group.cuts |= {(name, other) for other in group.names}


def _cut_in(group, name):
    group.cuts |= {(other, name) for other in group.names}


def _cut_both(group, name):
    _cut_out(group, name)
    _cut_in(group, name)


def _slow_disk(group, name):
    group.nodes[name].slow_disk = True


def _full_disk(group, name):
    group.nodes[name].files.space = 10


def _failed_fsync(group, name):
    group.nodes[name].files.fail_sync = True


def _lost_disk(group, name):
    group.erase(name)
    group.start(name)


def _restart(group, name):
    group.kill(name)
    group.start(name)


def _crash_at(operation):
    def crash(group, name):
        group.nodes[name].files.crash_in = operation / 2

    return crash


# Half steps: before and after each of the next file operations.
CRASHES = tuple(_crash_at(half) for half in range(2 * MAX_FILE_OPS))

FAULTS = {
    'kill': (_kill,) + CRASHES,
    'freeze': (_freeze,),
    'cut one way': (_cut_out, _cut_in),
    'cut both': (_cut_both,),
    'slow disk': (_slow_disk,),
    'full disk': (_full_disk,),
    'failed fsync': (_failed_fsync,),
    'lost disk': (_lost_disk,),
    'restart': (_restart,),
}


# Steps


class Stage:
    """A group at a step.

    Attributes:
        group: the ``Cluster``.
        parts: names of the replicas that take part, by what they do.
        proceed: called after the fault, to finish the step.
    """

    def __init__(self, group, proceed=None, **parts):
        self.group = group
        self.parts = parts
        self.proceed = proceed or (lambda: None)


def _founded(names=THREE):
    group = cluster.Cluster(names, seed=1)
    group.run(5_000)
    for _ in range(COMMANDS):
        group.propose(group.leader)
        group.settle()
    group.run(500)
    followers = [name for name in names if name != group.leader]
    return group, group.leader, followers


def _deliver_to(group, name):
    """Delivers what is in flight to one replica now."""
    for packet in [one for one in group.network if one[1] == name]:
        group.deliver(group.network.index(packet))


def _propose():
    group, leader, followers = _founded()
    group.propose(leader)
    return Stage(group, leader=leader, follower=followers[0])


def _append():
    stage = _propose()
    _deliver_to(stage.group, stage.parts['follower'])
    return stage


def _fsync():
    """Between an fsync and its report to the replica."""
    stage = _append()
    group = stage.group
    reports = []
    for name in stage.parts.values():
        node = group.nodes[name]
        effects, node.storage = node.storage, []
        reports.append((name, node.folder.carry_out(effects)))

    def proceed():
        for name, write_id in reports:
            node = group.nodes[name]
            if node.running and node.replica.writes.has_issued(write_id):
                group.step(name, agreement.Synced(write_id))

    stage.proceed = proceed
    return stage


def _commit():
    stage = _append()
    for name in stage.parts.values():
        stage.group.store(name)
    _deliver_to(stage.group, stage.parts['leader'])
    return stage


def _apply():
    stage = _commit()
    stage.group.advance(200)
    stage.group.tick(stage.parts['leader'])
    _deliver_to(stage.group, stage.parts['follower'])
    return stage


def _answer():
    """The leader has answered; nothing else has left it."""
    stage = _commit()
    stage.group.network.clear()
    return stage


def _snapshot():
    group, leader, followers = _founded()
    parts = {'leader': leader, 'follower': followers[0]}

    def proceed():
        for name in parts.values():
            group.compact(name)

    return Stage(group, proceed, **parts)


def _install():
    group, leader, followers = _founded()
    behind = followers[0]
    group.kill(behind)
    for _ in range(COMMANDS):
        group.propose(leader)
        group.settle()
    group.compact(leader)
    group.start(behind)
    while not _in_flight(group, messages.InstallReply):
        group.advance(50)
        group.tick(leader)
        group.deliver(0)
        group.store(behind)
    return Stage(group, leader=leader, follower=behind)


def _in_flight(group, kind):
    return any(isinstance(packet[2], kind) for packet in group.network)


def _path_of():
    """A new identity is a learner and half way up to the log."""
    group, leader, followers = _founded(FIVE)
    newcomer, other = followers[:2]
    group.compact(leader)
    group.erase(newcomer)
    group.start(newcomer)
    while not group.nodes[leader].replica.voters.learners:
        group.advance(50)
        for name in group.names:
            group.tick(name)
        for _ in range(len(group.network)):
            group.deliver(0)
        for name in group.names:
            group.store(name)
    return Stage(group, leader=leader, newcomer=newcomer, follower=other)


def _remove():
    group, leader, followers = _founded(FIVE)
    gone, other = followers[:2]
    member = group.nodes[gone].replica.identity
    group.change_voters(leader, 'remove', member)
    return Stage(group, leader=leader, removed=gone, follower=other)


def _hand_over():
    group, leader, followers = _founded()
    group.hand_over(leader)
    target = [
        packet[1]
        for packet in group.network
        if isinstance(packet[2], messages.TimeoutNow)
    ][0]
    return Stage(group, leader=leader, target=target)


STEPS = {
    'propose': _propose,
    'append': _append,
    'fsync': _fsync,
    'commit': _commit,
    'apply': _apply,
    'answer': _answer,
    'snapshot': _snapshot,
    'install': _install,
    'join': _path_of,
    'remove': _remove,
    'hand-over': _hand_over,
}


# Cells


def _run_variant(step, inject, part):
    stage = STEPS[step]()
    group = stage.group
    inject(group, stage.parts[part])
    stage.proceed()
    group.run(FAULT_MS)
    if not group.commit_one(attempts=3):
        raise cluster.Breach('no commit while the fault lasts')
    group.require_whole()


def run_cell(fault, step):
    """Returns ``proved`` or what went wrong, for one cell."""
    parts = list(STEPS[step]().parts)
    for inject in FAULTS[fault]:
        for part in parts:
            try:
                _run_variant(step, inject, part)
            except (cluster.Breach, errors.Error) as exc:
                return f'FAILED at the {part}: {exc}'
    return 'proved'


def render(cells):
    """Returns the Markdown table.

    Args:
        cells: results by (fault, step).
    """
    lines = ['| step | ' + ' | '.join(FAULTS) + ' |']
    lines.append('|' + '---|' * (len(FAULTS) + 1))
    for step in STEPS:
        row = [cells[fault, step] for fault in FAULTS]
        lines.append(f'| {step} | ' + ' | '.join(row) + ' |')
    return '\n'.join(lines) + '\n'
