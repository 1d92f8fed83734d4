"""Random acts on a cluster, shared by the tests and the soak benchmark.

An act is a name and two random numbers ``a`` and ``b``, which choose for
example the node and a count.  Hypothesis and a plain random source can both
choose acts that way.
"""

from tests.agreement import cluster

__all__ = ('ACTS', 'carry_out_act', 'run')


def _pick_name(group, number):
    return group.node_names[number % len(group.node_names)]


def _pick_two_names(group, a, b):
    """Returns the names of a sender and of a receiver, which differ."""
    sender = _pick_name(group, a)
    return sender, _pick_name(group, a + 1 + b % (len(group.node_names) - 1))


def _pass_time(group, a, b):
    group.advance(10 + a % 90)
    for name in group.node_names:
        group.tick(name)


def _deliver_and_store(group, a, b):
    """Delivers all messages in order and runs storage, without faults."""
    for _ in range(len(group.packets_in_flight)):
        group.deliver(0)
    for name in group.node_names:
        if not group.nodes[name].slow_disk:
            group.run_storage(name)


def _deliver_packet(group, a, b):
    group.deliver(a)


def _deliver_twice(group, a, b):
    group.deliver(a, duplicate=True)


def _drop_packets(group, a, b):
    for _ in range(min(1 + b % 8, len(group.packets_in_flight))):
        del group.packets_in_flight[a % len(group.packets_in_flight)]


def _run_storage(group, a, b):
    group.run_storage(_pick_name(group, a))


def _propose_to_leader(group, a, b):
    for _ in range(1 + b % 4):
        group.propose(group.leader or _pick_name(group, a))


def _propose_to_any_node(group, a, b):
    group.propose(_pick_name(group, a))


def _read(group, a, b):
    group.read(
        _pick_name(group, a) if b % 2 else group.leader or _pick_name(group, a)
    )


def _kill_node(group, a, b):
    group.kill(_pick_name(group, a))


def _start_all(group, a, b):
    for name in group.node_names:
        if not group.nodes[name].is_up:
            group.start(name)


def _schedule_crash(group, a, b):
    """Schedules a crash before or after one of the next file operations."""
    files = group.nodes[_pick_name(group, a)].files
    files.crash_after_ops = b % 8 + (0.5 if a % 2 else 0)


def _limit_disk_space(group, a, b):
    group.nodes[_pick_name(group, a)].files.free_bytes = b % 300


def _fail_syncs(group, a, b):
    group.nodes[_pick_name(group, a)].files.fail_sync = True


def _repair_disks(group, a, b):
    for node in group.nodes.values():
        node.files.free_bytes = None
        node.files.fail_sync = False


def _toggle_slow_disk(group, a, b):
    node = group.nodes[_pick_name(group, a)]
    node.slow_disk = not node.slow_disk


def _freeze_node(group, a, b):
    group.freeze(_pick_name(group, a))


def _resume_all(group, a, b):
    for name in group.node_names:
        group.resume(name)


def _cut_link(group, a, b):
    group.cut_links.add(_pick_two_names(group, a, b))


def _cut_off_node(group, a, b):
    name = _pick_name(group, a)
    for other in group.node_names:
        if other != name:
            group.cut_links |= {(name, other), (other, name)}


def _restore_links(group, a, b):
    group.cut_links.clear()


def _transfer_leadership(group, a, b):
    if group.leader:
        group.transfer_leadership(group.leader)


def _capture_state(group, a, b):
    group.capture_state(_pick_name(group, a))


def _compact_log(group, a, b):
    group.compact(_pick_name(group, a))


def _remove_member(group, a, b):
    """Removes a member unless too few of the remaining voters have a disk.

    A quorum of the remaining voters, and at least two of them, must not have
    lost their disks.
    """
    if not group.leader:
        return
    voters = group.nodes[group.leader].replica.voters
    member = voters.members[a % len(voters.members)]
    remaining = voters.without_member(member)
    if len(set(remaining.voters) - group.lost_identities) >= max(
        remaining.quorum_size, 2
    ):
        group.change_voters(group.leader, 'remove', member)


def _replace_disk(group, a, b):
    name = _pick_name(group, a)
    if group.can_lose_disk(name):
        group.replace_disk(name)
        group.start(name)


def _wait_for_repair(group, a, b):
    """Gives the group time to elect and to repair itself despite faults."""
    for _ in range(10 + a % 40):
        _pass_time(group, 40, 0)
        _deliver_and_store(group, 0, 0)


def _end_faults(group, a, b):
    """Ends all faults, so that long runs also commit many entries."""
    group.end_faults()
    _wait_for_repair(group, a, b)


# Acts by name, with the weight of each in random runs.
ACTS = {
    'pass_time': (_pass_time, 30),
    'flow': (_deliver_and_store, 30),
    'deliver': (_deliver_packet, 25),
    'double': (_deliver_twice, 6),
    'lose': (_drop_packets, 4),
    'store': (_run_storage, 20),
    'propose': (_propose_to_leader, 14),
    'propose_anywhere': (_propose_to_any_node, 4),
    'read': (_read, 8),
    'kill': (_kill_node, 2),
    'start': (_start_all, 5),
    'crash_soon': (_schedule_crash, 3),
    'fill_disk': (_limit_disk_space, 1),
    'fail_sync': (_fail_syncs, 1),
    'mend_disks': (_repair_disks, 3),
    'slow_disk': (_toggle_slow_disk, 2),
    'freeze': (_freeze_node, 2),
    'resume': (_resume_all, 4),
    'cut_one_way': (_cut_link, 3),
    'cut_off': (_cut_off_node, 2),
    'join_cuts': (_restore_links, 5),
    'hand_over': (_transfer_leadership, 2),
    'capture': (_capture_state, 4),
    'compact': (_compact_log, 4),
    'remove': (_remove_member, 1),
    'erase': (_replace_disk, 1),
    'calm': (_wait_for_repair, 6),
    'mend': (_end_faults, 3),
}


def carry_out_act(group, name, a, b):
    """Carries out one act; the cluster checks its invariants in each step."""
    ACTS[name][0](group, a, b)


def run(names, seed, act_count, rng, recovery_check_interval=2_000):
    """Runs random acts and regularly requires the cluster to recover.

    Args:
        names: names of the nodes.
        seed: seed of the cluster.
        act_count: number of acts.
        rng: random source that chooses the acts.
        recovery_check_interval: number of acts between two recoveries.

    Returns:
        The ``Cluster`` after the last recovery.

    Raises:
        cluster.ClusterInvariantBreach: an invariant across replicas is
            violated.
        errors.InvariantBreach: an invariant within a replica is violated.
    """
    group = cluster.Cluster(names, seed)
    group.run(3_000)
    acts = list(ACTS)
    weights = [ACTS[name][1] for name in acts]
    for step in range(1, act_count + 1):
        name = rng.choices(acts, weights)[0]
        carry_out_act(
            group, name, rng.randrange(1 << 16), rng.randrange(1 << 16)
        )
        if step % 100 == 0:
            group.check_logs()
        if step % recovery_check_interval == 0:
            group.require_recovered()
    group.require_recovered()
    return group
