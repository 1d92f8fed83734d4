"""A job is cancelled while a minion leaves orders unanswered."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import rig as case_rig  # noqa: E402

TASKS = 24
CPU = 1200
MEM_MB = 2000
WORK_S = 20.0
MUTE_S = 4.5
CANCEL_S = 3.0  # cancel_ms


async def _play(rig):
    await asyncio.sleep(1.0)
    first_id = case_rig.make_job_id()
    await rig.submit(first_id, 0.5)
    await rig.wait_for_state(first_id, ('completed',), 10.0)
    minion = rig.runs[0].minion
    await asyncio.sleep(0.5)
    minion.is_mute = case_rig.has_trouble()
    mute_since_s = time.monotonic()
    job_id = case_rig.make_job_id()
    status = await rig.submit(
        job_id, WORK_S, count=TASKS, cpu=CPU, mem_mb=MEM_MB
    )
    if status // 100 != 2:
        raise case_rig.NotRun('the job was not accepted')
    await asyncio.sleep(0.3)
    status, _ = await rig.call_entry('DELETE', case_rig.PREFIX + job_id)
    cancelled_s = time.monotonic()
    if status not in (200, 410):
        raise case_rig.NotRun('the cancel was not acknowledged')
    await asyncio.sleep(max(0.0, mute_since_s + MUTE_S - time.monotonic()))
    minion.is_mute = False
    rig.record('answers_again', minion=minion.label)
    await asyncio.sleep(12.0)
    late = [
        run
        for run in rig.runs
        if run.task.startswith(job_id)
        and run.started_s > cancelled_s + CANCEL_S
    ]
    for run in late:
        after_s = run.started_s - cancelled_s
        rig.record('UNASKED', run=run.describe(), after_s=f'{after_s:.3f}')
    return case_rig.BROKEN if late else case_rig.HELD


case_rig.run_case(pathlib.Path(__file__).parent, _play, minion_count=10)
