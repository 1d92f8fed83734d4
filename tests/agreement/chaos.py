"""Random acts on a cluster, shared by the tests and the soak benchmark.

An act is a name and two random numbers ``a`` and ``b``, which choose for
example the node and a count.  Hypothesis and a plain random source can both
choose acts that way.
"""

from tests.agreement import cluster

__all__ = ('ACTS', 'act', 'run')


def _name(group, number):
    return group.names[number % len(group.names)]


def _peers(group, a, b):
    sender = _name(group, a)
    return sender, _name(group, a + 1 + b % (len(group.names) - 1))


def _pass_time(group, a, b):
    group.advance(10 + a % 90)
    for name in group.names:
        group.tick(name)


def _deliver_and_store(group, a, b):
    """Delivers all messages in order and runs storage, without faults."""
    for _ in range(len(group.network)):
        group.deliver(0)
    for name in group.names:
        if not group.nodes[name].slow_disk:
            group.run_storage(name)


def _deliver(group, a, b):
    group.deliver(a)


def _double(group, a, b):
    group.deliver(a, duplicate=True)


def _lose(group, a, b):
    for _ in range(min(1 + b % 8, len(group.network))):
        del group.network[a % len(group.network)]


def _store(group, a, b):
    group.run_storage(_name(group, a))


def _propose(group, a, b):
    for _ in range(1 + b % 4):
        group.propose(group.leader or _name(group, a))


def _propose_anywhere(group, a, b):
    group.propose(_name(group, a))


def _read(group, a, b):
    group.read(_name(group, a) if b % 2 else group.leader or _name(group, a))


def _kill(group, a, b):
    group.kill(_name(group, a))


def _start(group, a, b):
    for name in group.names:
        if not group.nodes[name].up:
            group.start(name)


def _crash_soon(group, a, b):
    """Schedules a crash before or after one of the next file operations."""
    files = group.nodes[_name(group, a)].files
    files.crash_after_ops = b % 8 + (0.5 if a % 2 else 0)


def _fill_disk(group, a, b):
    group.nodes[_name(group, a)].files.free_bytes = b % 300


def _fail_sync(group, a, b):
    group.nodes[_name(group, a)].files.fail_sync = True


def _mend_disks(group, a, b):
    for node in group.nodes.values():
        node.files.free_bytes = None
        node.files.fail_sync = False


def _slow_disk(group, a, b):
    node = group.nodes[_name(group, a)]
    node.slow_disk = not node.slow_disk


def _freeze(group, a, b):
    group.freeze(_name(group, a))


def _resume(group, a, b):
    for name in group.names:
        group.resume(name)


def _cut_one_way(group, a, b):
    group.cut_links.add(_peers(group, a, b))


def _cut_off(group, a, b):
    name = _name(group, a)
    for other in group.names:
        if other != name:
            group.cut_links |= {(name, other), (other, name)}


def _join_cuts(group, a, b):
    group.cut_links.clear()


def _hand_over(group, a, b):
    if group.leader:
        group.hand_over(group.leader)


def _capture(group, a, b):
    group.capture_state(_name(group, a))


def _compact(group, a, b):
    group.compact(_name(group, a))


def _remove(group, a, b):
    """Removes a member if a quorum and two voters keep their disks."""
    if not group.leader:
        return
    voters = group.nodes[group.leader].replica.voters
    member = voters.members[a % len(voters.members)]
    remaining = voters.without(member)
    if len(set(remaining.voters) - group.lost_identities) >= max(
        remaining.quorum, 2
    ):
        group.change_voters(group.leader, 'remove', member)


def _erase(group, a, b):
    name = _name(group, a)
    if group.can_lose_disk(name):
        group.replace_disk(name)
        group.start(name)


def _calm(group, a, b):
    """Gives the group time to elect and to repair while faults last."""
    for _ in range(10 + a % 40):
        _pass_time(group, 40, 0)
        _deliver_and_store(group, 0, 0)


def _mend(group, a, b):
    """Ends all faults, so that long runs also commit many entries."""
    group.end_faults()
    _calm(group, a, b)


# Acts by name, with the weight of each in random runs.
ACTS = {
    'pass_time': (_pass_time, 30),
    'flow': (_deliver_and_store, 30),
    'deliver': (_deliver, 25),
    'double': (_double, 6),
    'lose': (_lose, 4),
    'store': (_store, 20),
    'propose': (_propose, 14),
    'propose_anywhere': (_propose_anywhere, 4),
    'read': (_read, 8),
    'kill': (_kill, 2),
    'start': (_start, 5),
    'crash_soon': (_crash_soon, 3),
    'fill_disk': (_fill_disk, 1),
    'fail_sync': (_fail_sync, 1),
    'mend_disks': (_mend_disks, 3),
    'slow_disk': (_slow_disk, 2),
    'freeze': (_freeze, 2),
    'resume': (_resume, 4),
    'cut_one_way': (_cut_one_way, 3),
    'cut_off': (_cut_off, 2),
    'join_cuts': (_join_cuts, 5),
    'hand_over': (_hand_over, 2),
    'capture': (_capture, 4),
    'compact': (_compact, 4),
    'remove': (_remove, 1),
    'erase': (_erase, 1),
    'calm': (_calm, 6),
    'mend': (_mend, 3),
}


def act(group, name, a, b):
    """Carries out one act; the cluster checks its invariants in each step."""
    ACTS[name][0](group, a, b)


def run(names, seed, steps, rng, recovery_check_interval=2_000):
    """Runs random acts and regularly requires the cluster to recover.

    Args:
        names: names of the nodes.
        seed: seed of the cluster.
        steps: number of acts.
        rng: random source that chooses the acts.
        recovery_check_interval: number of acts between two recoveries.

    Returns:
        The ``Cluster`` after the last recovery.

    Raises:
        cluster.Breach: an invariant across replicas is violated.
        errors.InvariantBreach: an invariant within a replica is violated.
    """
    group = cluster.Cluster(names, seed)
    group.run(3_000)
    acts = list(ACTS)
    weights = [ACTS[name][1] for name in acts]
    for step in range(1, steps + 1):
        name = rng.choices(acts, weights)[0]
        act(group, name, rng.randrange(1 << 16), rng.randrange(1 << 16))
        if step % 100 == 0:
            group.check_logs()
        if step % recovery_check_interval == 0:
            group.require_recovered()
    group.require_recovered()
    return group
