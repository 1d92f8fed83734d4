"""Measures the scheduler's cost per decision by number of workers and jobs.

``python -m benchmarks.scheduling_cost`` fills cells of 24 to 16,000 workers
with eight attempts on each worker, keeps 100,000 jobs queued, and measures
each step in the life of a job and the memory of the process.  Times are
processor time; they include applying the commands to the agreed state of
jobs, but no log, disk or network.
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

WORKER_COUNTS = (24, 250, 2_000, 16_000)
QUEUED_JOBS = 100_000
ATTEMPTS_PER_WORKER = 8
WORKER_CAPACITY = messages.Resources(32_000, 125_000, 2)
JOB_SIZE = messages.Resources(4_000, 12_000)
CLASS_COUNT = 20
TEAM_COUNT = 100
SUBMIT_BATCH_JOBS = 256
TARGET_STARTS_PER_S = 13_000
HEADER = (
    'workers',
    'open jobs',
    'submit us',  # per job
    'place us',  # per job
    'report us',  # per report of a worker with running attempts
    'start+end us',  # per job: end of one attempt and start of the next
    'cancel us',  # per job
    'urgent ms',  # to submit one urgent job
    'elect s',  # to build the scheduler of a new leader
    'MiB',
    'starts/s',  # as many as fit into one second at start+end us
)


class Cell:
    """A scheduler whose commands are agreed at once, and its workers.

    Args:
        workers: number of workers.

    Attributes:
        attempts_by_worker: number of the current attempt by job, for each
            worker.
    """

    def __init__(self, workers):
        self.now_ms = 1_000_000
        self.jobs_state = jobs_part.JobsPart()
        self.applied_index = 0
        self.report_seq = 0
        self.worker_names = [f'w{number:05d}' for number in range(workers)]
        self.attempts_by_worker = {name: {} for name in self.worker_names}
        # Filling the cell takes longer than the default time after which a
        # worker without a report gets no new attempts.
        self.policy = scheduling.Policy(silent_ms=10**9, lease_ms=10**9)
        self.scheduler = self.create_scheduler()
        self.orders = 0
        self.last_job_number = 0

    def create_scheduler(self):
        """Returns a new leader's scheduler, built from the agreed state."""
        return scheduling.Scheduler(self.jobs_state, self.now_ms, self.policy)

    def apply_command(self, command):
        """Applies a command and all that the scheduler proposes after it."""
        pending_commands = [command]
        while pending_commands:
            self.applied_index += 1
            command = pending_commands.pop(0)
            outcome = self.jobs_state.apply(self.applied_index, command)
            event = scheduling.CommandApplied(command, outcome)
            pending_commands.extend(self._proposed_commands(event))

    def advance_tick(self):
        """Advances time by one tick of 100 ms and applies the proposals."""
        self.now_ms += 100
        for command in self._proposed_commands(scheduling.Tick()):
            self.apply_command(command)

    def _proposed_commands(self, event):
        return [
            effect.command
            for effect in self.scheduler.step(event, self.now_ms)
            if isinstance(effect, scheduling.ProposeBatch)
        ]

    def deliver_reports(self, state='running'):
        """Delivers one report of each worker, in batches of 50."""
        self.report_seq += 1
        for first_index in range(0, len(self.worker_names), 50):
            reports = [
                self._make_report(name, state)
                for name in self.worker_names[first_index : first_index + 50]
            ]
            event = scheduling.ReportsReceived('e1', 1, reports)
            for effect in self.scheduler.step(event, self.now_ms):
                if isinstance(effect, scheduling.ProposeBatch):
                    self.apply_command(effect.command)
                elif isinstance(effect, scheduling.AnswerReports):
                    self._carry_out_orders(effect.worker_orders)

    def _make_report(self, name, state):
        number = int(name[1:])
        attempt_reports = [
            messages.AttemptReport(job_id, attempt, state, JOB_SIZE, 1000)
            for job_id, attempt in self.attempts_by_worker[name].items()
        ]
        return messages.WorkerReport(
            name,
            1,
            self.report_seq,
            f'dc{number % 4}',
            f'r{number // 40}',
            WORKER_CAPACITY,
            attempt_reports,
        )

    def _carry_out_orders(self, answers):
        for answer in answers:
            for order in answer.orders:
                if order.kind == 'start':
                    self.attempts_by_worker[answer.worker][order.job_id] = (
                        order.attempt
                    )
                elif order.kind == 'forget':
                    self.attempts_by_worker[answer.worker].pop(
                        order.job_id, None
                    )

    def submit_jobs(self, count, **values):
        """Submits jobs in batches; ``values`` are fields of each spec."""
        for first_index in range(0, count, SUBMIT_BATCH_JOBS):
            specs = [
                self._make_spec(**values)
                for _ in range(min(SUBMIT_BATCH_JOBS, count - first_index))
            ]
            self.apply_command(commands.SubmitJobs(specs))

    def _make_spec(self, **values):
        self.last_job_number += 1
        number = self.last_job_number
        return commands.JobSpec(
            f'j{number:07d}',
            f't{number % TEAM_COUNT}',
            f'c{number % CLASS_COUNT}',
            number % 10,
            JOB_SIZE,
            **values,
        )

    def count_jobs(self, *states):
        """Returns the number of jobs in the states."""
        counts_by_state = self.jobs_state.counts_by_state()
        return sum(counts_by_state.get(state, 0) for state in states)


def _measure_cpu_s(func, *args, **values):
    started_s = time.process_time()
    func(*args, **values)
    return time.process_time() - started_s


def _place_until_stable(cell):
    while True:
        placed_count_before = cell.count_jobs('placed')
        cell.advance_tick()
        if cell.count_jobs('placed') == placed_count_before:
            return


def measure_costs(workers):
    """Returns one row of the table, with the columns of ``HEADER``."""
    cell = Cell(workers)
    cell.deliver_reports()
    attempt_count = workers * ATTEMPTS_PER_WORKER
    submit_cpu_s = _measure_cpu_s(
        cell.submit_jobs, attempt_count + QUEUED_JOBS
    )
    placed_count = cell.count_jobs('placed')
    # Submitting jobs places some of them already, so the time of placement
    # alone is measured by _place_again.
    _place_until_stable(cell)
    cell.deliver_reports()
    cell.deliver_reports()
    cell.now_ms += 1000
    report_cpu_s = min(_measure_cpu_s(cell.deliver_reports) for _ in range(3))
    ended_count = cell.count_jobs('running')
    end_cpu_s = _measure_cpu_s(cell.deliver_reports, 'done')
    end_cpu_s += _measure_cpu_s(_place_until_stable, cell)
    placed_count = cell.count_jobs('placed')
    end_cpu_s += _measure_cpu_s(cell.deliver_reports)
    end_cpu_s += _measure_cpu_s(cell.deliver_reports)
    job_ids = list(cell.jobs_state.jobs)[-10_000:]
    cancel_cpu_s = _measure_cpu_s(
        cell.apply_command, commands.CancelJobs(job_ids)
    )
    place_cpu_s = _place_again(cell)
    urgent_cpu_s = _measure_cpu_s(cell.submit_jobs, 1, urgent=True)
    elect_cpu_s = _measure_cpu_s(cell.create_scheduler)
    memory_mib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    cycle_us = end_cpu_s / min(ended_count, placed_count) * 1e6
    return (
        workers,
        len(cell.jobs_state.jobs),
        submit_cpu_s / (attempt_count + QUEUED_JOBS) * 1e6,
        place_cpu_s * 1e6,
        report_cpu_s / workers * 1e6,
        cycle_us,
        cancel_cpu_s / len(job_ids) * 1e6,
        urgent_cpu_s * 1e3,
        elect_cpu_s,
        memory_mib,
        1e6 / cycle_us,
    )


def _place_again(cell):
    """Returns the processor time to place one job, in seconds.

    The attempts of up to 1,000 workers are recorded as expired first, so that
    there are free workers to place jobs on.
    """
    worker_names = list(cell.jobs_state.workers)[
        : 8_000 // ATTEMPTS_PER_WORKER
    ]
    expired_attempts = [
        commands.AttemptEvent(job_id, attempt, 'expired')
        for name in worker_names
        for job_id, attempt in cell.jobs_state.workers[name].jobs.items()
    ]
    for name in worker_names:
        cell.attempts_by_worker[name].clear()
    for expired_attempt in expired_attempts:
        cell.jobs_state.apply(0, commands.RecordAttempts([expired_attempt]))
    cell.scheduler = cell.create_scheduler()
    cell.deliver_reports()
    queued_count_before = cell.count_jobs('queued')
    total_cpu_s = _measure_cpu_s(_place_until_stable, cell)
    placed_count = max(1, queued_count_before - cell.count_jobs('queued'))
    return total_cpu_s / placed_count


def main():
    """Prints one row for each number of workers, each from a new process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--workers', type=int, nargs='*', default=WORKER_COUNTS
    )
    options = parser.parse_args()
    print('| ' + ' | '.join(HEADER) + ' |')
    print('|---' * len(HEADER) + '|', flush=True)
    context = multiprocessing.get_context('spawn')
    for workers in options.workers:
        with concurrent.futures.ProcessPoolExecutor(
            1, mp_context=context
        ) as pool:
            row = pool.submit(measure_costs, workers).result()
        formatted_values = [f'{value:.4g}' for value in row]
        print('| ' + ' | '.join(formatted_values) + ' |', flush=True)
        cells_needed = -(-TARGET_STARTS_PER_S // max(1, int(row[-1])))
        print(f'cells for {TARGET_STARTS_PER_S} starts/s: {cells_needed}')
    return 0


if __name__ == '__main__':
    sys.exit(main())
