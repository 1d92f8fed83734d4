"""More than 500 tasks end on a minion while it is cut off."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import rig as case_rig  # noqa: E402

JOBS = 25
TASKS = 36  # the widest step of the site's traffic
CPU = 32
MEM_MB = 120
WORK_S = 8.0
CUT_S = 4.0


async def _play(rig):
    await asyncio.sleep(1.0)
    job_ids = [case_rig.make_job_id() for _ in range(JOBS)]
    for job_id in job_ids:
        status = await rig.submit(
            job_id, WORK_S, count=TASKS, cpu=CPU, mem_mb=MEM_MB
        )
        if status // 100 != 2:
            raise case_rig.NotRun('a job was not accepted')
    while len(rig.runs) < JOBS * TASKS:
        await asyncio.sleep(0.05)
    first_end_s = rig.runs[0].started_s + WORK_S
    await asyncio.sleep(first_end_s - time.monotonic() - 0.2)
    minion = rig.runs[0].minion
    if case_rig.has_trouble():
        rig.cut_off(minion)
        await asyncio.sleep(CUT_S)
        rig.heal(minion)
    for job_id in job_ids:
        await rig.wait_for_state(job_id, ('completed', 'failed'), 60.0)
    await asyncio.sleep(3.0)
    again = [
        (first, second)
        for first, second in rig.find_starts_after_done()
        if first.minion is minion
    ]
    for first, second in again[:20]:
        rig.record('TWICE', first=first.describe(), second=second.describe())
    rig.record('runs', tasks=JOBS * TASKS, runs=len(rig.runs))
    rig.record('started_again_after_done', count=len(again))
    return case_rig.BROKEN if again else case_rig.HELD


case_rig.run_case(
    pathlib.Path(__file__).parent, _play, minion_count=9, behind_proxies=True
)
