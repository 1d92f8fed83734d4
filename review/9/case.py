"""A lasting task whose minion restarts under its id and then is lost."""

import asyncio
import os
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import kit2  # noqa: E402

UPTIME_S = 35
CUT_S = 5.0
DOWN_S = 0.5
CALM_S = 4.0
IDLE_S = 3.0
AFTER_LAST_RUN_S = 6.0
WATCH_S = 25
STEPS = [
    {
        'count': 1,
        'cpu': 1000,
        'mem_mb': 256,
        'est_runtime_ms': 1000,
        'long_running': True,
    }
]


class CutMinion(kit2.Minion):
    """A minion that may be cut off one way: no call reaches it.

    What it sends still arrives.
    """

    cut_names = set()

    async def _handle(self, path, headers, body):
        if self.name in self.cut_names:
            await asyncio.sleep(60)
        return await super()._handle(path, headers, body)


async def add_minion(rig, number):
    """Starts a minion under the id and at the address of its number."""
    minion = CutMinion(
        rig,
        f'i-{number:08x}',
        (f'{rig.net}.{150 + number}', rig.minion_port),
    )
    rig.minions[minion.name] = minion
    await minion.start()
    return minion


def find_leader(rig):
    """Returns the process that acknowledged the heartbeats last."""
    hosts = [m.heartbeat_to[0] for m in rig.minions.values() if m.heartbeat_to]
    leader = max(set(hosts), key=hosts.count)
    return next(p for p in rig.cores if p.host == leader)


async def main(rig):
    """Returns what was broken."""
    await rig.put_config()
    begin_ms = kit2.now_ms()
    for number in range(8):
        await add_minion(rig, number)
    await asyncio.sleep(3)
    name = kit2.make_job_id(1)
    if await rig.submit(name, STEPS) != 200:
        raise kit2.NotRunError('the job is not accepted')
    await asyncio.sleep(2)
    if not rig.ledger.running:
        raise kit2.NotRunError('the task does not run')
    if kit2.has_trouble():
        find_leader(rig).send_signal(signal.SIGTERM)
    await asyncio.sleep(UPTIME_S - (kit2.now_ms() - begin_ms) / 1000)
    if len(rig.ledger.running) != 1:
        raise kit2.NotRunError('the task does not run any more')
    if kit2.has_trouble():
        lost = rig.minions[next(iter(rig.ledger.running.values()))]
        number = list(rig.minions).index(lost.name)
        rig.record.write('cut_begins', minion=lost.name)
        CutMinion.cut_names = {lost.name}
        await asyncio.sleep(0.5)
        lost.crash()
        await asyncio.sleep(DOWN_S)
        again = await add_minion(rig, number)
        await asyncio.sleep(CUT_S - 0.5 - DOWN_S)
        again.crash()
        rig.record.write('lost_for_good', minion=lost.name)
    calm_ms = kit2.now_ms() + CALM_S * 1000
    idle_since_ms = None
    breaches = []
    end_ms = kit2.now_ms() + WATCH_S * 1000
    last_end_ms = max([at for at, *_ in rig.ledger.ends], default=0)
    while kit2.now_ms() < end_ms and not breaches:
        await asyncio.sleep(0.1)
        if rig.ledger.running or kit2.now_ms() < max(
            calm_ms, last_end_ms + AFTER_LAST_RUN_S * 1000
        ):
            idle_since_ms = None
            continue
        idle_since_ms = idle_since_ms or kit2.now_ms()
        if kit2.now_ms() - idle_since_ms >= IDLE_S * 1000:
            breaches.append(
                'LOST: the lasting task has not run for '
                f'{(kit2.now_ms() - last_end_ms) / 1000:.1f} s, with seven '
                'idle minions, calm for 7 s'
            )
    first_ms = kit2.now_ms()
    while kit2.now_ms() < begin_ms + 85000 and not rig.ledger.running:
        await asyncio.sleep(0.1)
    if breaches:
        rig.record.write(
            'runs_again' if rig.ledger.running else 'still_does_not_run',
            later_s=(kit2.now_ms() - first_ms) / 1000,
        )
    await rig.state(name)
    return breaches + rig.ledger.breaches


kit2.run_case(main, os.fspath(HERE))
