"""Measures what decisions cost as workers and jobs grow.

``python -m benchmarks.scheduling_cost`` fills cells of 24 to 16,000 workers
with eight attempts each, keeps 100,000 jobs queued, and times each step of a
job's life in one process, together with memory.  Times are processor time;
they include applying the commands to the jobs part, and leave out log, disk
and network.
"""

import argparse
import concurrent.futures
import multiprocessing
import resource
import sys
import time

from fuchsiatrestle import messages
from fuchsiatrestle import scheduling
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import jobs as jobs_part

WORKERS = (24, 250, 2_000, 16_000)
QUEUED = 100_000
PER_WORKER = 8
CAPACITY = messages.Resources(32_000, 125_000, 2)
SIZE = messages.Resources(4_000, 12_000)
CLASSES = 20
TEAMS = 100
SUBMIT_BATCH = 256
TARGET_STARTS = 13_000
HEADER = (
    'workers',
    'open jobs',
    'submit us',
    'place us',
    'report us',
    'start+end us',
    'cancel us',
    'urgent ms',
    'elect s',
    'MiB',
    'starts/s',
)


class Cell:
    """A leader with agreement that answers at once."""

    def __init__(self, workers):
        self.now_ms = 1_000_000
        self.part = jobs_part.JobsPart()
        self.index = 0
        self.seq = 0
        self.names = [f'w{number:05d}' for number in range(workers)]
        self.attempts = {name: {} for name in self.names}
        # Filling takes longer than a worker may be silent.
        self.policy = scheduling.Policy(silent_ms=10**9, lease_ms=10**9)
        self.scheduler = self.elect()
        self.orders = 0
        self.number = 0

    def elect(self):
        """Returns a new leader built from the agreed state."""
        return scheduling.Scheduler(self.part, self.now_ms, self.policy)

    def agree(self, command):
        """Applies a command and all that follows from it."""
        pending = [command]
        while pending:
            self.index += 1
            command = pending.pop(0)
            outcome = self.part.apply(self.index, command)
            event = scheduling.Applied(command, outcome)
            pending.extend(self._proposals(event))

    def tick(self):
        """Lets a tick of time pass."""
        self.now_ms += 100
        for command in self._proposals(scheduling.Tick()):
            self.agree(command)

    def _proposals(self, event):
        return [
            effect.command
            for effect in self.scheduler.step(event, self.now_ms)
            if isinstance(effect, scheduling.ProposeBatch)
        ]

    def report_all(self, state='running'):
        """Brings one report of every worker, in batches of 50."""
        self.seq += 1
        for first in range(0, len(self.names), 50):
            reports = [
                self._report(name, state)
                for name in self.names[first : first + 50]
            ]
            event = scheduling.Reports('e1', 1, reports)
            for effect in self.scheduler.step(event, self.now_ms):
                if isinstance(effect, scheduling.ProposeBatch):
                    self.agree(effect.command)
                elif isinstance(effect, scheduling.AnswerReports):
                    self._obey(effect.orders)

    def _report(self, name, state):
        number = int(name[1:])
        items = [
            messages.AttemptReport(job_id, attempt, state, SIZE, 1000)
            for job_id, attempt in self.attempts[name].items()
        ]
        return messages.WorkerReport(
            name,
            1,
            self.seq,
            f'dc{number % 4}',
            f'r{number // 40}',
            CAPACITY,
            items,
        )

    def _obey(self, answers):
        for answer in answers:
            for order in answer.orders:
                if order.kind == 'start':
                    self.attempts[answer.worker][order.job_id] = order.attempt
                elif order.kind == 'forget':
                    self.attempts[answer.worker].pop(order.job_id, None)

    def submit(self, count, **values):
        """Submits jobs."""
        for first in range(0, count, SUBMIT_BATCH):
            specs = [
                self._spec(**values)
                for _ in range(min(SUBMIT_BATCH, count - first))
            ]
            self.agree(commands.SubmitJobs(specs))

    def _spec(self, **values):
        self.number += 1
        number = self.number
        return commands.JobSpec(
            f'j{number:07d}',
            f't{number % TEAMS}',
            f'c{number % CLASSES}',
            number % 10,
            SIZE,
            **values,
        )

    def count(self, *states):
        """Returns the number of jobs in the states."""
        counts = self.part.counts_by_state()
        return sum(counts.get(state, 0) for state in states)


def _timed(action, *args, **values):
    started = time.process_time()
    action(*args, **values)
    return time.process_time() - started


def _fill(cell):
    while True:
        before = cell.count('placed')
        cell.tick()
        if cell.count('placed') == before:
            return


def measure(workers):
    """Returns one row of the table."""
    cell = Cell(workers)
    cell.report_all()
    slots = workers * PER_WORKER
    submit_s = _timed(cell.submit, slots + QUEUED)
    placed = cell.count('placed')
    # Placements made while jobs were submitted are timed once more below.
    _fill(cell)
    cell.report_all()
    cell.report_all()
    cell.now_ms += 1000
    report_s = min(_timed(cell.report_all) for _ in range(3))
    ended = cell.count('running')
    end_s = _timed(cell.report_all, 'done')
    end_s += _timed(_fill, cell)
    placed = cell.count('placed')
    end_s += _timed(cell.report_all)
    end_s += _timed(cell.report_all)
    names = list(cell.part.jobs)[-10_000:]
    cancel_s = _timed(cell.agree, commands.CancelJobs(names))
    place_s = _place_again(cell)
    urgent_s = _timed(cell.submit, 1, urgent=True)
    elect_s = _timed(cell.elect)
    memory = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    cycle_us = end_s / min(ended, placed) * 1e6
    return (
        workers,
        len(cell.part.jobs),
        submit_s / (slots + QUEUED) * 1e6,
        place_s * 1e6,
        report_s / workers * 1e6,
        cycle_us,
        cancel_s / len(names) * 1e6,
        urgent_s * 1e3,
        elect_s,
        memory,
        1e6 / cycle_us,
    )


def _place_again(cell):
    """Returns the time of one placement, when all attempts are refused."""
    names = list(cell.part.workers)[: 8_000 // PER_WORKER]
    events = [
        commands.AttemptEvent(job_id, attempt, 'expired')
        for name in names
        for job_id, attempt in cell.part.workers[name].jobs.items()
    ]
    for name in names:
        cell.attempts[name].clear()
    for event in events:
        cell.part.apply(0, commands.RecordAttempts([event]))
    cell.scheduler = cell.elect()
    cell.report_all()
    queued = cell.count('queued')
    total_s = _timed(_fill, cell)
    placed = max(1, queued - cell.count('queued'))
    return total_s / placed


def main():
    """Prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--workers', type=int, nargs='*', default=WORKERS)
    options = parser.parse_args()
    print('| ' + ' | '.join(HEADER) + ' |')
    print('|---' * len(HEADER) + '|', flush=True)
    context = multiprocessing.get_context('spawn')
    for workers in options.workers:
        with concurrent.futures.ProcessPoolExecutor(
            1, mp_context=context
        ) as pool:
            row = pool.submit(measure, workers).result()
        cells = [f'{value:.4g}' for value in row]
        print('| ' + ' | '.join(cells) + ' |', flush=True)
        cells_needed = -(-TARGET_STARTS // max(1, int(row[-1])))
        print(f'cells for {TARGET_STARTS} starts/s: {cells_needed}')
    return 0


if __name__ == '__main__':
    sys.exit(main())
