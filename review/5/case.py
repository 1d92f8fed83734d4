"""Another writer sends heartbeats with a number out of range."""

import asyncio
import collections
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import rig as case_rig  # noqa: E402

CPU = 10**30
DAY_S = 60.0
MANY_ENDS = 3


def _make_heartbeat(rig):
    return {
        'service': case_rig.SERVICE,
        'address': '%s:%d' % rig.minions[0].address,
        'zone': 'tw-north-a',
        'version': 'v1',
        'slots': 8,
        'state': 'ready',
        'cold_left_ms': 0,
        'capacity': {
            'cpu': CPU if case_rig.has_trouble() else 32000,
            'mem_mb': 128000,
            'gpu': 0,
        },
        'labels': ['a', 'r1-1'],
        'clock_ms': 1000,
        'sequence': 1,
        'born': 1,
    }


async def _send_heartbeat(rig):
    """Calls daemon by daemon until one acknowledges, as a minion does."""
    for host in random.sample(rig.core, len(rig.core)):
        status, _ = await rig.call_control(
            host, 'POST', '/instances/i-other/heartbeat', _make_heartbeat(rig)
        )
        rig.record('odd_heartbeat', to=host, status=status)
        if status // 100 == 2:
            return


async def _restart_ended(rig, end_counts):
    """Starts ended processes again after a short delay, as the platform."""
    while True:
        await asyncio.sleep(0.5)
        for host in rig.core:
            exit_status = rig.exit_status(host)
            if exit_status is None:
                continue
            last_line = rig.read_log(host).strip().rpartition('\\n')[2]
            rig.record('OWN_END', at=host, exit=exit_status, error=last_line)
            end_counts[host] += 1
            rig.start_program(host, 'control')


async def _play(rig):
    await asyncio.sleep(2.0)
    end_counts = collections.Counter()
    restarting = asyncio.create_task(_restart_ended(rig, end_counts))
    until_s = time.monotonic() + DAY_S
    while time.monotonic() < until_s:
        await _send_heartbeat(rig)
        await asyncio.sleep(case_rig.HEARTBEAT_S)
    await asyncio.sleep(3.0)
    restarting.cancel()
    often = [host for host in rig.core if end_counts[host] >= MANY_ENDS]
    counts = ','.join(str(end_counts[host]) for host in rig.core)
    rig.record('own_ends', by_daemon=counts)
    # Half of the core, and two machines at least.
    broken = len(often) >= max(2, len(rig.core) / 2)
    return case_rig.BROKEN if broken else case_rig.HELD


case_rig.run_case(pathlib.Path(__file__).parent, _play, minion_count=3)
