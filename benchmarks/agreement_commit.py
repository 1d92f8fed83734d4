"""Rate of commands committed by three replicas with data folders on disk.

The replicas run in one process, exchange messages directly and have one
storage thread for each data folder.  With group commit (``grouped`` in the
output) the thread makes all pending writes durable by one fsync; without it
each write has its own fsync.  Each caller has one command of 200 bytes in
flight::

    python -m benchmarks.agreement_commit --folder /path/on/the/disk
"""

import concurrent.futures
import pathlib
import queue
import statistics
import tempfile
import time

from absl import app
from absl import flags

from fuchsiatrestle import agreement

FLAGS = flags.FLAGS

flags.DEFINE_string('folder', None, 'Folder for the data, temporary if unset.')
flags.DEFINE_integer('commands', 2_000, 'Commands in a run.')
flags.DEFINE_integer('callers', 64, 'Commands in flight.')
flags.DEFINE_integer('runs', 5, 'Runs of each kind, alternating.')

NAMES = ('c1', 'c2', 'c3')
COMMAND = b'x' * 200
ELECTION_TIMEOUT_S = 10.0
EVENT_WAIT_S = 0.01


class _Member:
    """One replica with its data folder and the writes not yet stored.

    Attributes:
        pending_writes: ``agreement.PersistChanges`` effects that no thread
            has taken.
        is_storing: True while the storage thread makes writes durable.
        fsync_count: number of completed fsyncs.
    """

    def __init__(self, name, path, uses_group_commit):
        path.mkdir()
        self.name = name
        self.folder = agreement.DataFolder.open(str(path), name, hash(name))
        self.replica = agreement.Replica(
            'cell', self.folder.state, NAMES, seed=1, now_ms=_now_ms()
        )
        self.uses_group_commit = uses_group_commit
        self.pending_writes = []
        self.is_storing = False
        self.fsync_count = 0

    def take_next_writes(self):
        """Removes and returns the writes for the next fsync."""
        count = len(self.pending_writes) if self.uses_group_commit else 1
        writes, self.pending_writes = (
            self.pending_writes[:count],
            self.pending_writes[count:],
        )
        return writes


def _now_ms():
    return int(time.monotonic() * 1000)


class _Group:
    """Three replicas that exchange messages, for one run."""

    def __init__(self, root, uses_group_commit):
        self._storage_pool = concurrent.futures.ThreadPoolExecutor(len(NAMES))
        self._events = queue.SimpleQueue()
        self._committed_count = 0
        self._members = {
            name: _Member(name, root / name, uses_group_commit)
            for name in NAMES
        }

    def run(self, command_count, max_in_flight):
        """Returns commands committed per second and fsyncs of the leader.

        Args:
            command_count: number of commands to commit.
            max_in_flight: largest number of commands in flight.

        Raises:
            TimeoutError: no leader is ready within ``ELECTION_TIMEOUT_S``.
        """
        leader = self._wait_for_leader()
        fsync_count_before = leader.fsync_count
        self._committed_count = proposed_count = 0
        started_s = time.monotonic()
        while self._committed_count < command_count:
            while (
                proposed_count - self._committed_count < max_in_flight
                and proposed_count < command_count
            ):
                proposed_count += 1
                propose = agreement.ProposeCommands(
                    [(proposed_count, COMMAND)]
                )
                self._step_replica(leader, propose)
            self._process_events()
        commands_per_s = command_count / (time.monotonic() - started_s)
        return commands_per_s, leader.fsync_count - fsync_count_before

    def close(self):
        """Stops the storage threads and closes the data folders."""
        self._storage_pool.shutdown()
        for member in self._members.values():
            member.folder.close()

    def _wait_for_leader(self):
        deadline_s = time.monotonic() + ELECTION_TIMEOUT_S
        while time.monotonic() < deadline_s:
            self._process_events()
            for member in self._members.values():
                role = member.replica.role
                if role.name == 'leader' and role.is_ready:
                    return member
        raise TimeoutError('expected a ready leader in time, found none')

    def _process_events(self):
        """Passes a tick to each replica, then handles all queued events."""
        for member in self._members.values():
            self._step_replica(member, agreement.Tick())
        try:
            name, event = self._events.get(timeout=EVENT_WAIT_S)
        except queue.Empty:
            return
        while True:
            self._step_replica(self._members[name], event)
            if self._events.empty():
                return
            name, event = self._events.get()

    def _step_replica(self, member, event):
        if isinstance(event, agreement.WritesSynced):
            member.is_storing = False
            member.fsync_count += 1
        for effect in member.replica.step(event, _now_ms()):
            self._carry_out_effect(member, effect)
        if member.pending_writes and not member.is_storing:
            member.is_storing = True
            self._storage_pool.submit(
                self._store_writes, member, member.take_next_writes()
            )

    def _carry_out_effect(self, member, effect):
        if isinstance(effect, agreement.SendToPeer):
            received = agreement.MessageReceived(member.name, effect.message)
            self._events.put((effect.peer, received))
        elif isinstance(effect, agreement.PersistChanges):
            member.pending_writes.append(effect)
        elif isinstance(effect, agreement.ApplyEntries):
            if member.replica.role.name == 'leader':
                self._committed_count += len(effect.entries)

    def _store_writes(self, member, writes):
        write_id = member.folder.write_effects(writes)
        self._events.put((member.name, agreement.WritesSynced(write_id)))


def _measure_rate(uses_group_commit):
    with tempfile.TemporaryDirectory(dir=FLAGS.folder) as root:
        group = _Group(pathlib.Path(root), uses_group_commit)
        try:
            return group.run(FLAGS.commands, FLAGS.callers)
        finally:
            group.close()


def main(argv):
    """Prints the rates with and without group commit, and their ratio."""
    rates_by_kind = {True: [], False: []}
    for _ in range(FLAGS.runs):
        for uses_group_commit in rates_by_kind:
            commands_per_s, fsync_count = _measure_rate(uses_group_commit)
            rates_by_kind[uses_group_commit].append(commands_per_s)
            print(
                f'grouped={uses_group_commit} rate={commands_per_s:.0f}/s '
                f'syncs={fsync_count}'
            )
    for uses_group_commit, rates in rates_by_kind.items():
        print(
            f'grouped={uses_group_commit} min={min(rates):.0f} '
            f'median={statistics.median(rates):.0f} max={max(rates):.0f}'
        )
    ratio = statistics.median(rates_by_kind[True]) / statistics.median(
        rates_by_kind[False]
    )
    print(f'ratio of medians={ratio:.2f}')


if __name__ == '__main__':
    app.run(main)
