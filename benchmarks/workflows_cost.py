"""Cost of the workflow dispatcher by number of workers.

``python -m benchmarks.workflows_cost [WORKERS ...]`` fills an agreed state
with workers and long-running workflows and measures the time until the
dispatcher of a new leader gives its first orders from that state, and the
time of one placement round with a backlog of tasks.
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
WORKER_COUNTS = (24, 250, 2000)
RUNS_PER_WORKER = 5
BACKLOG_WORKFLOWS = 100
TASKS_PER_WORKFLOW = 8
WALL_TIME_MS = 1_700_000_000_000


def _make_worker(number):
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


def _submit_workflow(state, name, step):
    spec = records.WorkflowSpec('payload', [step])
    state.apply(
        state.applied_index + 1,
        commands.SubmitWorkflow(HOST, f'/q/{name}', spec, WALL_TIME_MS),
    )


def _fill_state(state, workers):
    queue = records.Queue('q', HOST, '/q/', 'pool', 0, 3, 1.5, 250, 3000)
    document = records.Document(1, [queue], [records.Pool('pool', False)])
    state.apply(1, commands.PutDocument(document, b''))
    step = records.Step(
        RUNS_PER_WORKER,
        cpu=4000,
        memory_mb=1000,
        lasts=True,
        image='serving',
        tail_target_ms=20,
    )
    placed_runs = []
    for number in range(workers):
        name = f'lasting-{number}'
        _submit_workflow(state, name, step)
        placed_runs += [
            records.LiveRun(
                records.TaskId(name, 0, 0, index), 1, f'w{number}', 1
            )
            for index in range(RUNS_PER_WORKER)
        ]
    state.apply(
        state.applied_index + 1,
        commands.RecordProgress(
            1,
            WALL_TIME_MS,
            workers=[_make_worker(number) for number in range(workers)],
            placed=placed_runs,
        ),
    )


def _announce(dispatcher, number, now_ms):
    record = _make_worker(number)
    announcement = messages.WorkerAnnouncement(
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
    return dispatcher.step(workflows.WorkerAnnounced(announcement), now_ms)


def _print_costs(workers):
    state = machine.StateMachine()
    _fill_state(state, workers)
    for number in range(BACKLOG_WORKFLOWS):
        step = records.Step(
            TASKS_PER_WORKFLOW, cpu=500, memory_mb=10, estimate_ms=1000
        )
        _submit_workflow(state, f'quick-{number}', step)
    started_s = time.perf_counter()
    dispatcher = workflows.Dispatcher(
        state.workflows, 2, workflows.Timing(), 1000
    )
    orders = dispatcher.step(workflows.Tick(WALL_TIME_MS), 1001)
    first_orders_ms = (time.perf_counter() - started_s) * 1000
    for number in range(workers):
        _announce(dispatcher, number, 1002)
    # The first announcement began a round when only one worker was ready.
    # Rejecting its proposal starts another, which is timed, on all workers.
    started_s = time.perf_counter()
    dispatcher.step(workflows.ProposalRejected(1), 1003)
    placement_ms = (time.perf_counter() - started_s) * 1000
    print(
        f'{workers:6} workers: start {first_orders_ms:8.1f} ms'
        f' ({len(orders)} orders), round of '
        f'{BACKLOG_WORKFLOWS * TASKS_PER_WORKFLOW} tasks'
        f' {placement_ms:8.1f} ms'
    )


def main(argv):
    """Prints a line for each number of workers.

    These are the numbers in ``argv``, or ``WORKER_COUNTS`` if it has none.
    """
    logging.disable(logging.CRITICAL)
    for worker_count in [int(arg) for arg in argv[1:]] or WORKER_COUNTS:
        _print_costs(worker_count)


if __name__ == '__main__':
    main(sys.argv)
