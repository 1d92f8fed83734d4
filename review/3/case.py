"""An idle minion crashes and starts again under its id."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import rig as case_rig  # noqa: E402

CRASHES = 25
DOWN_S = 0.5
WORK_S = 1.0
LATEST_JOB_S = 0.05


async def _run_job(rig):
    job_id = case_rig.make_job_id()
    if await rig.submit(job_id, WORK_S) // 100 != 2:
        raise case_rig.NotRun('a job was not accepted')
    await rig.wait_for_state(job_id, ('completed',), 15.0)
    await asyncio.sleep(0.5)


async def _play(rig):
    await asyncio.sleep(1.0)
    await _run_job(rig)
    minion = rig.runs[0].minion
    for _ in range(CRASHES):
        await asyncio.sleep(random.uniform(0.0, case_rig.HEARTBEAT_S))
        if case_rig.has_trouble():
            minion.crash()
            await asyncio.sleep(DOWN_S)
            await minion.start()
        await asyncio.sleep(random.uniform(0.0, LATEST_JOB_S))
        await _run_job(rig)
        if rig.find_doubles():
            break
    doubles = rig.find_doubles()
    for first, second in doubles:
        rig.record('TWICE', first=first.describe(), second=second.describe())
    return case_rig.BROKEN if doubles else case_rig.HELD


case_rig.run_case(pathlib.Path(__file__).parent, _play, minion_count=8)
