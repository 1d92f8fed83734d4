"""Latency and cost of configuration changes in a group of control daemons.

``python -m benchmarks.control_daemon`` starts three control daemons and eight
fake entries over real links and prints, as minimum / median / maximum:

- time from submitting a patch to its outcome, to the version being in force
  at all entries, and to the leader reporting that it is in force everywhere;
- time without a leader after ``kill -9``, and the shortest time that was left
  on any configuration lease meanwhile;

and, as one average over 20 s, processor time, memory and bytes per second of
the leader and a follower: idle (lease renewals only) and at ten times the
target rate of changes.
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

ENTRY_COUNT = 8
PATCH_COUNT = 40
KILL_COUNT = 5
USAGE_WINDOW_S = 20.0
POLL_INTERVAL_S = 0.005
DAY_S = 86400
# Target rate of configuration changes, and the factor on it in the busy phase.
CHANGES_PER_DAY = 17000
BUSY_FACTOR = 10
CLOCK_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
NAMES = ('c1', 'c2', 'c3')


def _format_spread(values, unit):
    minimum, median, maximum = (
        min(values),
        statistics.median(values),
        max(values),
    )
    return f'{minimum:.1f} / {median:.1f} / {maximum:.1f} {unit}'


class _UsageMeter:
    """Measures processor time, memory and TCP traffic of a process.

    A report covers the time since the object was created.

    Args:
        process: the process, with its id as ``pid``.
    """

    def __init__(self, process):
        self._pid = process.pid
        self._first_cpu_s = self.read_cpu_s()
        self._first_sent_bytes, self._first_received_bytes = (
            self.count_stream_bytes()
        )
        self._started_s = time.monotonic()

    def read_cpu_s(self):
        """Returns user and system time so far, in seconds."""
        with open(f'/proc/{self._pid}/stat', encoding='ascii') as stream:
            fields = stream.read().rsplit(')', 1)[1].split()
        # utime and stime, fields 14 and 15 of the file; the list starts at 3.
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S

    def read_memory_mb(self):
        """Returns the resident memory, in MB."""
        with open(f'/proc/{self._pid}/statm', encoding='ascii') as stream:
            pages = int(stream.read().split()[1])
        return pages * os.sysconf('SC_PAGE_SIZE') / 1e6

    def count_stream_bytes(self):
        """Returns the bytes sent and received on its open TCP connections.

        Headers of TCP and IP are not counted.
        """
        lines = subprocess.run(
            ['ss', '-tinpHO'], capture_output=True, text=True, check=True
        ).stdout.splitlines()
        process_lines = [line for line in lines if f'pid={self._pid},' in line]
        return tuple(
            sum(
                int(number)
                for number in re.findall(
                    rf' {key}:(\d+)', '\n'.join(process_lines)
                )
            )
            for key in ('bytes_sent', 'bytes_received')
        )

    def format_report(self):
        """Returns one line with the usage since the object was created."""
        elapsed_s = time.monotonic() - self._started_s
        sent_bytes, received_bytes = self.count_stream_bytes()
        core_percent = (
            100 * (self.read_cpu_s() - self._first_cpu_s) / elapsed_s
        )
        sent_kb_per_s = (
            (sent_bytes - self._first_sent_bytes) / elapsed_s / 1000
        )
        received_kb_per_s = (
            (received_bytes - self._first_received_bytes) / elapsed_s / 1000
        )
        return (
            f'{core_percent:.2f}% of a core, {self.read_memory_mb():.0f} MB, '
            f'{sent_kb_per_s:.2f} KB/s sent, '
            f'{received_kb_per_s:.2f} KB/s received'
        )


class _Deployment:
    """A control group and the fake entries that hold its leases."""

    def __init__(self, folder):
        self.group = control_groups.ControlGroup(folder, NAMES)
        self.entries = [
            entries.FakeEntry(
                f'e{number + 1}',
                control_groups.free_address(),
                self.group.addresses,
            )
            for number in range(ENTRY_COUNT)
        ]
        self.version = 1
        self.patch_count = 0

    @property
    def control_client(self):
        """Control client of the first entry."""
        return self.entries[0].client

    async def start(self):
        """Starts group and entries; adds the entries to the configuration."""
        self.group.start()
        for entry in self.entries:
            await entry.start()
        await self.fetch_status()
        entry_settings = {
            entry.name: {'address': str(entry.address)}
            for entry in self.entries
        }
        await self.patch_configuration({'entries': entry_settings})
        for entry in self.entries:
            await entry.wait_for_version(self.version)
        await self.wait_until_in_force()

    async def wait_until_in_force(self):
        """Waits until each entry holds a lease and the version is in force.

        The leader has to report that it is in force everywhere.
        """
        while not all(entry.is_held() for entry in self.entries):
            await curio.sleep(POLL_INTERVAL_S)
        while not (await self.fetch_status()).everywhere:
            await curio.sleep(POLL_INTERVAL_S)

    async def stop(self):
        """Stops the entries, then the group."""
        for entry in self.entries:
            await entry.stop()
        self.group.stop()

    async def fetch_status(self):
        """Returns the leader's ``StatusView``, waiting up to 30 s for it."""
        result = await self.control_client.query(queries.GetStatus(), 30000)
        return result.unwrap()

    async def patch_configuration(self, patch):
        """Patches the configuration; returns once the version is agreed."""
        self.patch_count += 1
        command = commands.PatchConfig(
            self.version, f'p{self.patch_count}', msgspec.json.encode(patch)
        )
        result = await self.control_client.propose(command, 30000)
        self.version = result.unwrap().version

    async def change_configuration(self):
        """Patches the configuration with a small change."""
        team = {'cpu_milli': self.patch_count, 'memory_mib': 1}
        await self.patch_configuration({'teams': {'t': team}})


async def _measure_patches(deployment):
    outcome_ms, in_force_ms, everywhere_ms = [], [], []
    for _ in range(PATCH_COUNT):
        submitted_ms = daemon.monotonic_ms()
        started_s = time.monotonic()
        await deployment.change_configuration()
        outcome_ms.append((time.monotonic() - started_s) * 1000)
        for entry in deployment.entries:
            await entry.wait_for_version(deployment.version)
        last_in_force_ms = max(
            entry.in_force_ms_by_version[deployment.version]
            for entry in deployment.entries
        )
        in_force_ms.append(max(0, last_in_force_ms - submitted_ms))
        while not (await deployment.fetch_status()).everywhere:
            await curio.sleep(POLL_INTERVAL_S)
        everywhere_ms.append((time.monotonic() - started_s) * 1000)
        await curio.sleep(0.1)
    print('patch, outcome:                 ', _format_spread(outcome_ms, 'ms'))
    print(
        'patch, in force at all entries: ', _format_spread(in_force_ms, 'ms')
    )
    print(
        'patch, known to be everywhere:  ', _format_spread(everywhere_ms, 'ms')
    )


async def _measure_crashed_entry(deployment):
    """Measures a patch after a crash of an entry.

    The lease of that entry has to expire before the leader reports that the
    patch is in force everywhere.
    """
    await deployment.entries.pop().crash()
    started_s = time.monotonic()
    await deployment.change_configuration()
    while not (await deployment.fetch_status()).everywhere:
        await curio.sleep(POLL_INTERVAL_S)
    everywhere_ms = [(time.monotonic() - started_s) * 1000]
    print(
        'the same, one entry just died:  ', _format_spread(everywhere_ms, 'ms')
    )


async def _measure_failover(deployment):
    leaderless_ms, min_remaining_ms = [], []
    for _ in range(KILL_COUNT):
        leader = (await deployment.fetch_status()).leader
        watcher = await curio.spawn(_watch_leases, deployment.entries)
        started_s = time.monotonic()
        deployment.group.processes[leader].kill()
        await deployment.fetch_status()
        leaderless_ms.append((time.monotonic() - started_s) * 1000)
        await curio.sleep(1.0)
        min_remaining_ms.append(watcher.min_remaining_ms)
        await watcher.cancel()
        deployment.group.processes[leader].start()
        await curio.sleep(2.5)
    lost_lease_count = sum(len(entry.lost) for entry in deployment.entries)
    print(
        'leader killed, until answered:  ', _format_spread(leaderless_ms, 'ms')
    )
    print(
        'least left of a 2000 ms lease:  ',
        _format_spread(min_remaining_ms, 'ms'),
    )
    print('leases lost:                    ', lost_lease_count)


async def _watch_leases(fake_entries):
    """Tracks the shortest time that is left on any lease.

    The value is the attribute ``min_remaining_ms`` of the task that runs this.
    """
    task = await curio.current_task()
    task.min_remaining_ms = float('inf')
    while True:
        now_ms = daemon.monotonic_ms()
        remaining_times_ms = [
            entry.lease_holder.remaining_ms(now_ms) for entry in fake_entries
        ]
        task.min_remaining_ms = min(task.min_remaining_ms, *remaining_times_ms)
        await curio.sleep(POLL_INTERVAL_S)


async def _measure_usage(deployment, phase_name, pause_s):
    """Prints the usage of the leader and a follower.

    Args:
        deployment: the ``_Deployment``.
        phase_name: label of the printed lines.
        pause_s: pause between two configuration changes, 0 for none at all.
    """
    leader = (await deployment.fetch_status()).leader
    follower = next(name for name in NAMES if name != leader)
    meters = {
        name: _UsageMeter(deployment.group.processes[name])
        for name in (leader, follower)
    }
    end_s = time.monotonic() + USAGE_WINDOW_S
    while time.monotonic() < end_s:
        if pause_s:
            await deployment.change_configuration()
        await curio.sleep(pause_s or USAGE_WINDOW_S)
    print(f'leader, {phase_name}: {meters[leader].format_report()}')
    print(f'follower, {phase_name}: {meters[follower].format_report()}')


async def _run(folder):
    deployment = _Deployment(folder)
    try:
        await deployment.start()
        await _measure_patches(deployment)
        await _measure_usage(deployment, 'idle', 0)
        pause_s = DAY_S / CHANGES_PER_DAY / BUSY_FACTOR
        phase_name = f'{1 / pause_s:.1f} changes/s'
        await _measure_usage(deployment, phase_name, pause_s)
        await _measure_failover(deployment)
        await _measure_crashed_entry(deployment)
        await deployment.stop()
    finally:
        deployment.group.kill()


def main():
    """Runs all measurements."""
    with tempfile.TemporaryDirectory() as folder:
        curio.run(_run, folder)


if __name__ == '__main__':
    sys.exit(main())
