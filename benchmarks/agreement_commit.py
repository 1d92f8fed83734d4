"""Commands agreed a second by three replicas on three real data folders.

All three run in one process, with messages passed directly and one storage
thread a folder.  With group commit a thread makes all writes that wait
durable by one fsync; without it each write has an fsync of its own.  Each
caller has one command of 200 bytes in flight::

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
ELECTION_S = 10.0
POLL_S = 0.01


class _Member:
    """One replica, its folder and its storage thread."""

    def __init__(self, name, path, grouped):
        path.mkdir()
        self.name = name
        self.folder = agreement.DataFolder.open(str(path), name, hash(name))
        self.replica = agreement.Replica(
            'cell', self.folder.state, NAMES, seed=1, now_ms=_now_ms()
        )
        self.grouped = grouped
        self.waiting = []
        self.storing = False
        self.syncs = 0

    def take(self):
        """Returns the writes for the next fsync."""
        count = len(self.waiting) if self.grouped else 1
        taken, self.waiting = self.waiting[:count], self.waiting[count:]
        return taken


def _now_ms():
    return int(time.monotonic() * 1000)


class _Bench:
    """One run over three members."""

    def __init__(self, root, grouped):
        self._pool = concurrent.futures.ThreadPoolExecutor(len(NAMES))
        self._events = queue.SimpleQueue()
        self._agreed = 0
        self._members = {
            name: _Member(name, root / name, grouped) for name in NAMES
        }

    def run(self, commands, callers):
        """Returns commands agreed a second and fsyncs of the leader."""
        leader = self._elect()
        syncs = leader.syncs
        self._agreed = proposed = 0
        started = time.monotonic()
        while self._agreed < commands:
            while proposed - self._agreed < callers and proposed < commands:
                proposed += 1
                propose = agreement.Propose([(proposed, COMMAND)])
                self._step(leader, propose)
            self._pump()
        rate = commands / (time.monotonic() - started)
        return rate, leader.syncs - syncs

    def close(self):
        """Ends the threads and closes the folders."""
        self._pool.shutdown()
        for member in self._members.values():
            member.folder.close()

    def _elect(self):
        end = time.monotonic() + ELECTION_S
        while time.monotonic() < end:
            self._pump()
            for member in self._members.values():
                role = member.replica.role
                if role.name == 'leader' and role.ready:
                    return member
        raise TimeoutError('no leader')

    def _pump(self):
        for member in self._members.values():
            self._step(member, agreement.Tick())
        try:
            name, event = self._events.get(timeout=POLL_S)
        except queue.Empty:
            return
        while True:
            self._step(self._members[name], event)
            if self._events.empty():
                return
            name, event = self._events.get()

    def _step(self, member, event):
        if isinstance(event, agreement.Synced):
            member.storing = False
            member.syncs += 1
        for effect in member.replica.step(event, _now_ms()):
            self._carry_out(member, effect)
        if member.waiting and not member.storing:
            member.storing = True
            self._pool.submit(self._store, member, member.take())

    def _carry_out(self, member, effect):
        if isinstance(effect, agreement.Send):
            received = agreement.Received(member.name, effect.message)
            self._events.put((effect.peer, received))
        elif isinstance(effect, agreement.Write):
            member.waiting.append(effect)
        elif isinstance(effect, agreement.Apply):
            if member.replica.role.name == 'leader':
                self._agreed += len(effect.entries)

    def _store(self, member, effects):
        write_id = member.folder.write_effects(effects)
        self._events.put((member.name, agreement.Synced(write_id)))


def _measure(grouped):
    with tempfile.TemporaryDirectory(dir=FLAGS.folder) as root:
        bench = _Bench(pathlib.Path(root), grouped)
        try:
            return bench.run(FLAGS.commands, FLAGS.callers)
        finally:
            bench.close()


def main(argv):
    """Prints minimum, median and maximum of both kinds, and their ratio."""
    rates = {True: [], False: []}
    for _ in range(FLAGS.runs):
        for grouped in rates:
            rate, syncs = _measure(grouped)
            rates[grouped].append(rate)
            print(f'grouped={grouped} rate={rate:.0f}/s syncs={syncs}')
    for grouped, values in rates.items():
        print(
            f'grouped={grouped} min={min(values):.0f} '
            f'median={statistics.median(values):.0f} max={max(values):.0f}'
        )
    ratio = statistics.median(rates[True]) / statistics.median(rates[False])
    print(f'ratio of medians={ratio:.2f}')


if __name__ == '__main__':
    app.run(main)
