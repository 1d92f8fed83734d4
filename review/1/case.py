"""A minion is cut off one way just before it deregisters."""

import asyncio
import contextlib
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import rig as case_rig  # noqa: E402

CUT_S = 5.0
LEAVE_S = 3.0  # "ends anyway, some seconds later"
DRAIN_S = 2.0


async def _play(rig):
    job_ids = [case_rig.make_job_id() for _ in range(6)]
    for job_id in job_ids:
        if await rig.submit(job_id, 12.0) // 100 != 2:
            raise case_rig.NotRun('a job was not accepted')
    await asyncio.sleep(1.0)
    leaving = max(
        rig.minions,
        key=lambda minion: sum(run.minion is minion for run in rig.runs),
    )
    leaving.state = 'draining'
    while not await leaving.announce():
        await asyncio.sleep(0.2)
    await asyncio.sleep(DRAIN_S + 1.0)
    if case_rig.has_trouble():
        rig.cut_one_way(leaving)
    with contextlib.suppress(asyncio.TimeoutError):
        await asyncio.wait_for(leaving.announce('deregister', 3), LEAVE_S)
    leaving.crash('left')
    await asyncio.sleep(CUT_S - LEAVE_S)
    rig.heal(leaving)
    for job_id in job_ids:
        await rig.wait_for_state(job_id, ('completed',), 30.0)
    doubles = rig.find_doubles()
    for first, second in doubles:
        rig.record('TWICE', first=first.describe(), second=second.describe())
    return case_rig.BROKEN if doubles else case_rig.HELD


case_rig.run_case(
    pathlib.Path(__file__).parent, _play, minion_count=9, behind_proxies=True
)
