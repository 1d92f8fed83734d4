"""One client hands in a scheduled job with many occurrences."""

import asyncio
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import kit2  # noqa: E402

OCCURRENCES = 20000
CALM_OCCURRENCES = 20
TRAFFIC_S = 20
JOB_COUNT = 5
WAIT_FOR_ANSWER_S = 3.0
CLIENT_TRIES = 5


def make_steps(work_ms):
    """Returns the steps of an ordinary job."""
    return [
        {
            'count': 2,
            'cpu': 1000,
            'mem_mb': 256,
            'est_runtime_ms': work_ms,
            'work_ms': work_ms,
        }
    ]


async def ask(rig, name):
    """Asks for a job as a client does; returns its state or ''."""
    for _ in range(CLIENT_TRIES):
        status, answer = await rig.request(
            'GET', name, wait_s=WAIT_FOR_ANSWER_S
        )
        if status in (200, 410):
            return answer.get('state', 'gone')
        await asyncio.sleep(0.2)
    return ''


async def main(rig):
    """Returns what was broken."""
    await rig.put_config()
    for number in range(6):
        await rig.add_minion(number)
    await asyncio.sleep(2)
    names = [kit2.make_job_id(number) for number in range(JOB_COUNT)]
    for name in names:
        if await rig.submit(name, make_steps(500)) != 200:
            raise kit2.NotRunError('an ordinary job is not accepted')
    for name in names:
        if await rig.wait_state(name, ('completed',), 10) != 'completed':
            raise kit2.NotRunError('an ordinary job is not done')
    count = OCCURRENCES if kit2.has_trouble() else CALM_OCCURRENCES
    scheduled = kit2.make_job_id(1000)
    status = await rig.submit(
        scheduled,
        [{**make_steps(500)[0], 'count': 1}],
        repeat_count=count,
        first_run_ms=int(time.time() * 1000) + 3600000,
        interval_ms=60000,
    )
    rig.record.write('scheduled_job', count=count, status=status)
    accepted = [*names]
    if status == 200:
        accepted.append(scheduled)
    later = []
    end_s = time.monotonic() + TRAFFIC_S
    while time.monotonic() < end_s:
        name = kit2.make_job_id(2000 + len(later))
        steps = make_steps(500)
        rig.jobs[name] = steps
        sent = [{k: v for k, v in steps[0].items() if k != 'work_ms'}]
        job = {'task_spec': 'text', 'steps': sent}
        status, _ = await rig.request('POST', name, job)
        later.append(status)
        if status == 200:
            accepted.append(name)
        await asyncio.sleep(0.5)
    rig.record.write('traffic_ends', statuses=later)
    await asyncio.sleep(kit2.BOUNDS['finish_s'])
    asked = accepted[: JOB_COUNT + 1]
    states = await asyncio.gather(*(ask(rig, name) for name in asked))
    unanswered = [name for name, state in zip(asked, states) if not state]
    breaches = []
    if unanswered:
        breaches.append(
            f'LOST: finish_s after the end of the traffic {len(unanswered)} '
            f'of {len(asked)} accepted jobs get no answer in '
            f'{CLIENT_TRIES} tries of {WAIT_FOR_ANSWER_S} s'
        )
    return breaches + rig.ledger.breaches


kit2.run_case(main, os.fspath(HERE))
