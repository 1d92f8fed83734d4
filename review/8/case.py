"""A client gives up, cancels and is told that no such job exists."""

import asyncio
import os
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import kit2  # noqa: E402

# Far below the longest freeze of the site files (5 s).
FREEZE_S = 0.7
# The client leaves before its deadline.
LEAVES_AFTER_S = 0.4
DEADLINE_S = 3.0
STEP_COUNT = 5
STEPS = [
    {
        'count': 2,
        'cpu': 1000,
        'mem_mb': 256,
        'est_runtime_ms': 1500,
        'work_ms': 1500,
        **({'start_after': [number - 1]} if number else {}),
    }
    for number in range(STEP_COUNT)
]


async def cancel(rig, edge, name):
    """Cancels a job; returns the status and the time of the answer."""
    status, answer = await kit2.call(
        (edge.host, rig.front),
        'DELETE',
        kit2.PREFIX + name,
        None,
        {'Host': kit2.HOST, 'Fuchsiatrestle-Deadline-Ms': '3000'},
        DEADLINE_S,
    )
    rig.record.write(
        'client', call='DELETE', job=name, edge=edge.name, status=status
    )
    return status, kit2.now_ms()


async def submit_once(rig, edge, name):
    """Hands a job in at one edge machine; returns the status, 0 for none."""
    rig.jobs[name] = STEPS
    sent = [
        {key: value for key, value in step.items() if key != 'work_ms'}
        for step in STEPS
    ]
    status, _ = await kit2.call(
        (edge.host, rig.front),
        'POST',
        kit2.PREFIX + name,
        {'task_spec': 'text', 'steps': sent},
        {'Host': kit2.HOST, 'Fuchsiatrestle-Deadline-Ms': '3000'},
        LEAVES_AFTER_S,
    )
    rig.record.write(
        'client', call='POST', job=name, edge=edge.name, status=status
    )
    return status


async def main(rig):
    """Returns what was broken."""
    # Half of this objective is the longest time after which a client leaves.
    await rig.put_config(target_latency_ms=1000)
    for number in range(6):
        await rig.add_minion(number)
    # The core has to be stable for contact_ms before and after.
    await asyncio.sleep(4)
    frozen, other, *further = rig.edges
    # Three clients of four stay.
    for number, edge in enumerate(further[:3]):
        if await submit_once(rig, edge, kit2.make_job_id(50 + number)) != 200:
            raise kit2.NotRunError('a job of another client is refused')
    name = kit2.make_job_id(1)
    if kit2.has_trouble():
        frozen.send_signal(signal.SIGSTOP)
    begin_ms = kit2.now_ms()
    status = await submit_once(rig, frozen, name)
    cancel_status, cancelled_ms = await cancel(rig, other, name)
    if cancel_status not in (200, 410):
        raise kit2.NotRunError('the cancelling is not acknowledged')
    rig.record.write('cancel_acknowledged', status=cancel_status)
    elapsed_s = (kit2.now_ms() - begin_ms) / 1000
    if kit2.has_trouble():
        await asyncio.sleep(max(0, FREEZE_S - elapsed_s))
        frozen.send_signal(signal.SIGCONT)
    await asyncio.sleep(15)
    limit_ms = cancelled_ms + kit2.BOUNDS['cancel_ms']
    late = [
        (key, at_ms - cancelled_ms)
        for at_ms, _, key, _ in rig.ledger.starts
        if key[0].startswith(name) and at_ms > limit_ms
    ]
    state = await rig.state(name)
    breaches = []
    if late:
        breaches.append(
            f'UNASKED: the cancelling was acknowledged with {cancel_status}; '
            f'{len(late)} tasks were started later than cancel_ms after it, '
            f'the last one {late[-1][1]} ms after it; POST was answered '
            f'{status or "not at all"}; the job is {state}'
        )
    return breaches + rig.ledger.breaches


# Eight edge and three core machines, of which one is frozen (0.09).
kit2.run_case(main, os.fspath(HERE), edge=8)
