"""Callers ask how many jobs wait while the minion with room sheds them."""

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import kit2  # noqa: E402

MINION_COUNT = 10
JOB_COUNT = 6
# The site file plays srv_grey for 6.5 s with x = 1.0.
GREY_S = 6.5
# A lasting task that takes a whole minion.
FULL_STEPS = [
    {
        'count': 1,
        'cpu': 16000,
        'mem_mb': 256,
        'est_runtime_ms': 1000,
        'long_running': True,
    }
]
STEPS = [
    {
        'count': 2,
        'cpu': 1000,
        'mem_mb': 256,
        'est_runtime_ms': 500,
        'work_ms': 500,
    }
]


class SheddingMinion(kit2.Minion):
    """A minion that may answer each order with 429 and do nothing."""

    is_shedding = False

    async def _handle(self, path, headers, body):
        if self.is_shedding:
            self.rig.record.write('shed', minion=self.name, path=path)
            return 429, {'clock_ms': self.clock_ms}
        return await super()._handle(path, headers, body)


async def main(rig):
    """Returns what was broken."""
    await rig.put_config()
    for number in range(MINION_COUNT):
        minion = SheddingMinion(
            rig,
            f'i-{number:08x}',
            (f'{rig.net}.{150 + number}', rig.minion_port),
        )
        rig.minions[minion.name] = minion
        await minion.start()
    await asyncio.sleep(2)
    for number in range(MINION_COUNT - 1):
        if await rig.submit(kit2.make_job_id(100 + number), FULL_STEPS) != 200:
            raise kit2.NotRunError('a lasting job is not accepted')
    await asyncio.sleep(5)
    idle = [minion for minion in rig.minions.values() if not minion.runs]
    if len(idle) != 1:
        raise kit2.NotRunError(f'{len(idle)} minions are idle')
    shedding = idle[0]
    shedding.is_shedding = kit2.has_trouble()
    begin_ms = kit2.now_ms()
    names = [kit2.make_job_id(number) for number in range(JOB_COUNT)]
    statuses = await asyncio.gather(
        *(rig.submit(name, STEPS) for name in names)
    )
    if set(statuses) != {200}:
        raise kit2.NotRunError('a job is not accepted')
    accepted_ms = kit2.now_ms()
    breaches = []
    wait_ms = kit2.BOUNDS['visible_ms'] + 2000
    while kit2.now_ms() < begin_ms + GREY_S * 1000:
        sent_ms = kit2.now_ms()
        begun = {key[0].split('.')[0] for _, _, key, _ in rig.ledger.starts}
        waiting = [name for name in names if name not in begun]
        status, answer = await rig.request('GET', '')
        if (
            status == 200
            and sent_ms > accepted_ms + wait_ms
            and 2 * answer['pending'] < len(waiting)
        ):
            breaches.append(
                f'MIXED: pending is {answer["pending"]} while {len(waiting)} '
                'jobs that were accepted over visible_ms + 2 s before have '
                'not begun'
            )
        await asyncio.sleep(0.25)
    shedding.is_shedding = False
    for name in names:
        state = await rig.wait_state(name, ('completed',), 20)
        if state != 'completed':
            breaches.append(f'LOST: {name} is {state}')
    return breaches + rig.ledger.breaches


kit2.run_case(main, os.fspath(HERE))
