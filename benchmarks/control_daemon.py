"""Control daemons under the load of configuration changes, in one run.

``python -m benchmarks.control_daemon`` starts three control daemons and eight
small entries over real links and prints, as minimum / median / maximum:

- time from submitting a patch to its outcome, to the version being in force
  at all entries, and to the leader saying that it is in force everywhere;
- time without a leader after ``kill -9``, and the least time that was left
  on a configuration lease meanwhile;
- processor time, memory and bytes of the leader and a follower, idle (leases
  only) and at ten times the rate of changes aimed at.
"""

import os
import re
import statistics
import subprocess
import sys
import tempfile
import time

import curio
import msgspec

from fuchsiatrestle import daemon
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import queries
from tests.fakes import control_groups
from tests.fakes import entries

ENTRIES = 8
PATCHES = 40
KILLS = 5
WINDOW_S = 20.0
POLL_S = 0.005
DAY_S = 86400
CHANGES_A_DAY = 17000
BUSY_FACTOR = 10
TICKS_A_SECOND = os.sysconf('SC_CLK_TCK')
NAMES = ('c1', 'c2', 'c3')


def _spread(values, unit):
    low, middle, high = min(values), statistics.median(values), max(values)
    return f'{low:.1f} / {middle:.1f} / {high:.1f} {unit}'


class _Usage:
    """Processor time, memory and bytes on streams of one process."""

    def __init__(self, process):
        self._pid = process.pid
        self._cpu_s = self.cpu_s()
        self._sent, self._received = self.stream_bytes()
        self._begun = time.monotonic()

    def cpu_s(self):
        """Returns user and system time so far, in seconds."""
        with open(f'/proc/{self._pid}/stat', encoding='ascii') as stream:
            fields = stream.read().rsplit(')', 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_A_SECOND

    def memory_mb(self):
        """Returns the resident memory, in MB."""
        with open(f'/proc/{self._pid}/statm', encoding='ascii') as stream:
            pages = int(stream.read().split()[1])
        return pages * os.sysconf('SC_PAGE_SIZE') / 1e6

    def stream_bytes(self):
        """Returns bytes (sent, received) on open streams, without headers."""
        lines = subprocess.run(
            ['ss', '-tinpHO'], capture_output=True, text=True, check=True
        ).stdout.splitlines()
        mine = [line for line in lines if f'pid={self._pid},' in line]
        return tuple(
            sum(int(n) for n in re.findall(rf' {key}:(\d+)', '\n'.join(mine)))
            for key in ('bytes_sent', 'bytes_received')
        )

    def report(self):
        """Returns one line about the time since this was made."""
        passed_s = time.monotonic() - self._begun
        sent, received = self.stream_bytes()
        core = 100 * (self.cpu_s() - self._cpu_s) / passed_s
        out_kb = (sent - self._sent) / passed_s / 1000
        in_kb = (received - self._received) / passed_s / 1000
        return (
            f'{core:.2f}% of a core, {self.memory_mb():.0f} MB, '
            f'{out_kb:.2f} KB/s sent, {in_kb:.2f} KB/s received'
        )


class _Bench:
    """One group with its entries."""

    def __init__(self, folder):
        self.group = control_groups.ControlGroup(folder, NAMES)
        self.entries = [
            entries.FakeEntry(
                f'e{number + 1}',
                control_groups.free_address(),
                self.group.addresses,
            )
            for number in range(ENTRIES)
        ]
        self.version = 1
        self.patches = 0

    @property
    def client(self):
        """Client of the first entry."""
        return self.entries[0].client

    async def start(self):
        """Starts all and admits the entries."""
        self.group.start()
        for entry in self.entries:
            await entry.start()
        await self.status()
        members = {
            entry.name: {'address': str(entry.address)}
            for entry in self.entries
        }
        await self.patch({'entries': members})
        for entry in self.entries:
            await entry.wait_for_version(self.version)
        await self.settle()

    async def settle(self):
        """Waits until all hold leases and the leader knows."""
        while not all(entry.is_held() for entry in self.entries):
            await curio.sleep(POLL_S)
        while not (await self.status()).everywhere:
            await curio.sleep(POLL_S)

    async def stop(self):
        """Stops all."""
        for entry in self.entries:
            await entry.stop()
        self.group.stop()

    async def status(self):
        """Returns the ``StatusView``."""
        found = await self.client.ask(queries.GetStatus(), 30000)
        return found.unwrap()

    async def patch(self, value):
        """Agrees the next version."""
        self.patches += 1
        command = commands.PatchConfig(
            self.version, f'p{self.patches}', msgspec.json.encode(value)
        )
        found = await self.client.propose(command, 30000)
        self.version = found.unwrap().version

    async def change(self):
        """Agrees a small change."""
        team = {'cpu_milli': self.patches, 'memory_mib': 1}
        await self.patch({'teams': {'t': team}})


async def _measure_patches(bench):
    agreed, in_force, known = [], [], []
    for _ in range(PATCHES):
        started = daemon.now_ms()
        begun = time.monotonic()
        await bench.change()
        agreed.append((time.monotonic() - begun) * 1000)
        for entry in bench.entries:
            await entry.wait_for_version(bench.version)
        last = max(entry.in_force[bench.version] for entry in bench.entries)
        in_force.append(max(0, last - started))
        while not (await bench.status()).everywhere:
            await curio.sleep(POLL_S)
        known.append((time.monotonic() - begun) * 1000)
        await curio.sleep(0.1)
    print('patch, outcome:                 ', _spread(agreed, 'ms'))
    print('patch, in force at all entries: ', _spread(in_force, 'ms'))
    print('patch, known to be everywhere:  ', _spread(known, 'ms'))


async def _measure_dead_entry(bench):
    """An entry dies; its lease has to run out before everywhere is said."""
    await bench.entries.pop().crash()
    begun = time.monotonic()
    await bench.change()
    while not (await bench.status()).everywhere:
        await curio.sleep(POLL_S)
    known = [(time.monotonic() - begun) * 1000]
    print('the same, one entry just died:  ', _spread(known, 'ms'))


async def _measure_failover(bench):
    without, least = [], []
    for _ in range(KILLS):
        leader = (await bench.status()).leader
        watcher = await curio.spawn(_watch_leases, bench.entries)
        begun = time.monotonic()
        bench.group.processes[leader].kill()
        await bench.status()
        without.append((time.monotonic() - begun) * 1000)
        await curio.sleep(1.0)
        least.append(watcher.least_ms)
        await watcher.cancel()
        bench.group.processes[leader].start()
        await curio.sleep(2.5)
    lost = sum(len(entry.lost) for entry in bench.entries)
    print('leader killed, until answered:  ', _spread(without, 'ms'))
    print('least left of a 2000 ms lease:  ', _spread(least, 'ms'))
    print('leases lost:                    ', lost)


async def _watch_leases(watched):
    """Keeps the least time left on any lease in ``least_ms`` of the task."""
    task = await curio.current_task()
    task.least_ms = float('inf')
    while True:
        now_ms = daemon.now_ms()
        left = [entry.holder.remaining_ms(now_ms) for entry in watched]
        task.least_ms = min(task.least_ms, *left)
        await curio.sleep(POLL_S)


async def _measure_usage(bench, title, pause_s):
    """Prints what leader and a follower use, changing every ``pause_s``."""
    leader = (await bench.status()).leader
    follower = next(name for name in NAMES if name != leader)
    usage = {
        name: _Usage(bench.group.processes[name])
        for name in (leader, follower)
    }
    end_s = time.monotonic() + WINDOW_S
    while time.monotonic() < end_s:
        if pause_s:
            await bench.change()
        await curio.sleep(pause_s or WINDOW_S)
    print(f'leader, {title}: {usage[leader].report()}')
    print(f'follower, {title}: {usage[follower].report()}')


async def _run(folder):
    bench = _Bench(folder)
    try:
        await bench.start()
        await _measure_patches(bench)
        await _measure_usage(bench, 'idle', 0)
        pause_s = DAY_S / CHANGES_A_DAY / BUSY_FACTOR
        rate = f'{1 / pause_s:.1f} changes/s'
        await _measure_usage(bench, rate, pause_s)
        await _measure_failover(bench)
        await _measure_dead_entry(bench)
        await bench.stop()
    finally:
        bench.group.kill()


def main():
    """Runs all measurements."""
    with tempfile.TemporaryDirectory() as folder:
        curio.run(_run, folder)


if __name__ == '__main__':
    sys.exit(main())
