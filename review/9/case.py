"""Clients hand in many scheduled jobs, each of legal size."""

import asyncio
import collections
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import kit2  # noqa: E402

MEMORY_MB = 296  # ``limits.memory_mb`` of a core machine
JOB_COUNT = 6000
CALM_JOB_COUNT = 60
TASK_COUNT = 140
CLIENT_COUNT = 30
SUBMIT_S = 40
AFTER_S = 30
STEP = {
    'count': TASK_COUNT,
    'cpu': 1000,
    'mem_mb': 256,
    'est_runtime_ms': 5000,
}


def read_memory_mb(process):
    """Returns the resident memory of a process in MB, 0 if it is gone."""
    try:
        path = f'/proc/{process.pid}/status'
        with open(path, encoding='ascii') as status:
            for line in status:
                if line.startswith('VmRSS'):
                    return int(line.split()[1]) / 1024
    except OSError:
        return 0
    return 0


class MemoryGuard:
    """Does what the platform does: kills what exceeds its memory.

    Attributes:
        ends: number of such ends by name of the process.
        largest_mb: largest memory by name of the process.
    """

    def __init__(self, rig):
        self._rig = rig
        self.ends = collections.Counter()
        self.largest_mb = collections.Counter()

    async def run(self):
        """Checks all core processes until cancelled."""
        while True:
            await asyncio.sleep(0.2)
            for process in self._rig.cores:
                if process.running:
                    self._check(process)

    def _check(self, process):
        memory_mb = read_memory_mb(process)
        self.largest_mb[process.name] = max(
            memory_mb, self.largest_mb[process.name]
        )
        if memory_mb <= MEMORY_MB:
            return
        self.ends[process.name] += 1
        self._rig.record.write(
            'memory_exceeded', name=process.name, mb=round(memory_mb)
        )
        process.kill()


async def submit_all(rig, job_count, first_run_ms):
    """Hands jobs in from several clients; returns the answers by status."""
    statuses = collections.Counter()
    numbers = iter(range(1, job_count + 1))
    end_s = time.monotonic() + SUBMIT_S

    async def submit_next():
        for number in numbers:
            if time.monotonic() > end_s:
                return
            edge = rig.edges[number % len(rig.edges)]
            status, _ = await kit2.call(
                (edge.host, rig.front),
                'POST',
                kit2.PREFIX + kit2.make_job_id(number),
                {
                    'task_spec': 'text',
                    'steps': [STEP],
                    'repeat_count': 1,
                    'first_run_ms': first_run_ms,
                    'interval_ms': 1000,
                },
                {
                    'Host': kit2.HOST,
                    'Fuchsiatrestle-Deadline-Ms': '3000',
                },
                3.0,
            )
            statuses[status] += 1

    await asyncio.gather(*(submit_next() for _ in range(CLIENT_COUNT)))
    return statuses


async def main(rig):
    """Returns what was broken."""
    await rig.put_config()
    for number in range(4):
        await rig.add_minion(number)
    await asyncio.sleep(2)
    guard = MemoryGuard(rig)
    asyncio.ensure_future(guard.run())
    count = JOB_COUNT if kit2.has_trouble() else CALM_JOB_COUNT
    statuses = await submit_all(rig, count, int(time.time() * 1000) + 3600000)
    rig.record.write('jobs_handed_in', statuses=dict(statuses))
    await asyncio.sleep(AFTER_S if kit2.has_trouble() else 2)
    for process in rig.cores:
        rig.record.write(
            'memory',
            name=process.name,
            largest_mb=round(guard.largest_mb[process.name]),
            ends=guard.ends[process.name],
        )
    breaches = []
    ended_often = [name for name, ends in guard.ends.items() if ends >= 3]
    if 2 * len(ended_often) >= len(rig.cores):
        breaches.append(
            f'Fault: {sorted(ended_often)} of the core exceeded {MEMORY_MB} '
            f'MB and ended three times or more, after {statuses[200]} '
            'accepted jobs'
        )
    return breaches


kit2.run_case(main, os.fspath(HERE))
