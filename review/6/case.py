"""Heartbeats of another writer, with a number that no field can hold."""

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import kit2  # noqa: E402

TROUBLE_S = 20
# Another writer's word for 'no limit'.
NO_LIMIT = 2**64
STEPS = [
    {
        'count': 3,
        'cpu': 1000,
        'mem_mb': 256,
        'est_runtime_ms': 500,
        'work_ms': 500,
    }
]


class OtherWriter:
    """Sends heartbeats in the way of a minion, but with another content."""

    name = 'i-0f00d123'
    heartbeat_to = None

    def __init__(self, rig):
        self._rig = rig
        self._sequence = 0

    def make_heartbeat(self):
        """Returns a heartbeat whose ``mem_mb`` exceeds 64 bits."""
        self._sequence += 1
        return {
            'service': 'another-writers',
            'address': f'{self._rig.hosts[0]}:9',
            'zone': 'riga-a',
            'version': 'v9',
            'slots': 8,
            'state': 'ready',
            'cold_left_ms': 0,
            'capacity': {
                'cpu': 16000,
                'mem_mb': NO_LIMIT,
                'gpu': 0,
            },
            'labels': ['a', 'r9-1'],
            'clock_ms': 482113,
            'sequence': self._sequence,
            'born': 1700000000000,
        }

    async def beat(self):
        """Sends a heartbeat every ``heartbeat_ms``."""
        while True:
            status = await self._rig.announce(self, self.make_heartbeat())
            self._rig.record.write('other_writer', last_status=status)
            await asyncio.sleep(kit2.HEARTBEAT_MS / 1000)


async def main(rig):
    """Returns what was broken."""
    await rig.put_config()
    for number in range(4):
        await rig.add_minion(number)
    await asyncio.sleep(2)
    first = kit2.make_job_id(1)
    if await rig.submit(first, STEPS) != 200:
        raise kit2.NotRunError('the first job is not accepted')
    if await rig.wait_state(first, ('completed',), 10) != 'completed':
        raise kit2.NotRunError('the first job is not done')
    writer = OtherWriter(rig)
    if kit2.has_trouble():
        asyncio.ensure_future(writer.beat())
    accepted = []
    for number in range(TROUBLE_S):
        name = kit2.make_job_id(100 + number)
        if await rig.submit(name, STEPS) == 200:
            accepted.append(name)
        await asyncio.sleep(1)
    breaches = []
    ended_often = [
        process.name for process in rig.cores if len(process.own_ends) >= 3
    ]
    for process in rig.processes:
        rig.record.write(
            'own_ends', name=process.name, count=len(process.own_ends)
        )
    if 2 * len(ended_often) >= len(rig.cores):
        breaches.append(
            f'Fault: {ended_often} of the core ended by themselves three '
            'times or more'
        )
    return breaches


kit2.run_case(main, os.fspath(HERE))
