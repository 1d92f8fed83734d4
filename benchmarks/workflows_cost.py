"""Cost of the dispatcher of workflows at several sizes.

``python -m benchmarks.workflows_cost [WORKERS ...]`` fills an agreed state
with workers and lasting workflows and times: a new leader's start from it up
to its first orders, one round of placing with a backlog, one look answered.
"""

import logging
import sys
import time

from fuchsiatrestle import messages
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import machine
from fuchsiatrestle.state import workflows as records
from fuchsiatrestle import workflows

HOST = 'shop.example'
SIZES = (24, 250, 2000)
RUNS_A_WORKER = 5
BACKLOG = 100
TASKS = 8
WALL_MS = 1_700_000_000_000


def _worker(number):
    return records.WorkerRecord(
        f'w{number}',
        1,
        f'10.0.{number // 250}.{number % 250 + 1}:80',
        'pool',
        'dc',
        32000,
        128000,
        0,
        ['a', f'r{number // 10}'],
    )


def _submit(state, name, step):
    spec = records.WorkflowSpec('payload', [step])
    state.apply(
        state.applied + 1,
        commands.SubmitWorkflow(HOST, f'/q/{name}', spec, WALL_MS),
    )


def _fill(state, workers):
    queue = records.Queue('q', HOST, '/q/', 'pool', 0, 3, 1.5, 250, 3000)
    document = records.Document(1, [queue], [records.Pool('pool', False)])
    state.apply(1, commands.PutDocument(document, b''))
    step = records.Step(
        RUNS_A_WORKER,
        cpu=4000,
        memory_mb=1000,
        lasts=True,
        image='serving',
        tail_target_ms=20,
    )
    placed = []
    for number in range(workers):
        name = f'lasting-{number}'
        _submit(state, name, step)
        placed += [
            records.LiveRun(
                records.TaskId(name, 0, 0, index), 1, f'w{number}', 1
            )
            for index in range(RUNS_A_WORKER)
        ]
    state.apply(
        state.applied + 1,
        commands.RecordProgress(
            1,
            WALL_MS,
            workers=[_worker(number) for number in range(workers)],
            placed=placed,
        ),
    )


def _announce(dispatcher, number, now_ms):
    record = _worker(number)
    said = messages.WorkerAnnouncement(
        record.worker,
        1,
        now_ms,
        record.address,
        'pool',
        'dc',
        'ready',
        record.cpu,
        record.memory_mb,
        0,
        record.labels,
        now_ms,
    )
    return dispatcher.step(workflows.Announced(said), now_ms)


def _measure(workers):
    state = machine.StateMachine()
    _fill(state, workers)
    for number in range(BACKLOG):
        step = records.Step(TASKS, cpu=500, memory_mb=10, estimate_ms=1000)
        _submit(state, f'quick-{number}', step)
    started_s = time.perf_counter()
    dispatcher = workflows.Dispatcher(
        state.workflows, 2, workflows.Timing(), 1000
    )
    orders = dispatcher.step(workflows.Tick(WALL_MS), 1001)
    start_ms = (time.perf_counter() - started_s) * 1000
    for number in range(workers):
        _announce(dispatcher, number, 1002)
    # The round that the first announcement began is taken back, so that all
    # workers take part in the one that is timed.
    started_s = time.perf_counter()
    dispatcher.step(workflows.Rejected(1), 1003)
    place_ms = (time.perf_counter() - started_s) * 1000
    print(
        f'{workers:6} workers: start {start_ms:8.1f} ms'
        f' ({len(orders)} orders), round of {BACKLOG * TASKS} tasks'
        f' {place_ms:8.1f} ms'
    )


def main(argv):
    """Measures each size named, by default three."""
    logging.disable(logging.CRITICAL)
    for size in [int(one) for one in argv[1:]] or SIZES:
        _measure(size)


if __name__ == '__main__':
    main(sys.argv)
