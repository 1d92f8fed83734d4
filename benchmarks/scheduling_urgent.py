"""Measures how long urgent jobs wait for their start, in virtual time.

``python -m benchmarks.scheduling_urgent`` runs a cell of stand-in workers that
report every second, each at its own phase, and at once after a change.  A
command takes 50 ms to be agreed, a message one step of 10 ms.  Urgent jobs
are submitted one after another, 1 to 2 s apart, first in a cell with room,
then in one that is full of ordinary jobs.
"""

import argparse
import random
import sys

from fuchsiatrestle import messages
from fuchsiatrestle import scheduling
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import jobs as jobs_part
from standins import _worker_agent

STEP_MS = 10
REPORT_INTERVAL_MS = 1000
AGREEMENT_DELAY_MS = 50
# An urgent job counts as started in time if it waited no longer than this.
START_BOUND_MS = 2_800
WORKER_CAPACITY = messages.Resources(32_000, 125_000)
JOB_SIZE = messages.Resources(8_000, 10_000)


class ModelCell:
    """The scheduler of a leader, its workers and the delays between them.

    Args:
        workers: number of workers.
        loss_share: share of reports that are lost on the way.
        seed: seed of the workers' phases and of the losses.
    """

    def __init__(self, workers, loss_share, seed):
        self.rng = random.Random(seed)
        self.loss_share = loss_share
        self.now_ms = 0
        self.jobs_state = jobs_part.JobsPart()
        self.scheduler = scheduling.Scheduler(self.jobs_state, 0)
        self.ledger = []
        self.scheduled_calls = []
        self.applied_index = 0
        self.agents = {}
        self.next_report_ms = {}
        for number in range(workers):
            name = f'w{number}'
            options = _worker_agent.AgentOptions(
                name, 'dc', 'r', WORKER_CAPACITY
            )
            agent = _worker_agent.WorkerAgent(options, 1, self.ledger)
            self.agents[name] = agent
            self.next_report_ms[name] = self.rng.randrange(REPORT_INTERVAL_MS)

    def submit_jobs(self, specs):
        """Submits jobs; they are agreed after the usual delay."""
        self._call_later(
            AGREEMENT_DELAY_MS, self._apply_command, commands.SubmitJobs(specs)
        )

    def advance(self, duration_ms):
        """Advances virtual time by a duration in milliseconds."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += STEP_MS
            due_calls = [
                item for item in self.scheduled_calls if item[0] <= self.now_ms
            ]
            self.scheduled_calls = [
                item for item in self.scheduled_calls if item[0] > self.now_ms
            ]
            for _, func, argument in due_calls:
                func(argument)
            if self.now_ms % 100 == 0:
                self._step_scheduler(scheduling.Tick())
            for name, agent in self.agents.items():
                agent.tick(self.now_ms)
                is_due = agent.is_report_due(self.now_ms)
                if is_due or self.now_ms >= self.next_report_ms[name]:
                    self._send_report(name, agent)

    def _send_report(self, name, agent):
        self.next_report_ms[name] = self.now_ms + REPORT_INTERVAL_MS
        report = agent.make_report(self.now_ms)
        if self.rng.random() >= self.loss_share:
            event = scheduling.ReportsReceived('e', 0, [report])
            self._call_later(STEP_MS, self._step_scheduler, event)

    def _call_later(self, delay_ms, func, argument):
        self.scheduled_calls.append((self.now_ms + delay_ms, func, argument))

    def _apply_command(self, command):
        self.applied_index += 1
        outcome = self.jobs_state.apply(self.applied_index, command)
        self._step_scheduler(scheduling.CommandApplied(command, outcome))

    def _step_scheduler(self, event):
        for effect in self.scheduler.step(event, self.now_ms):
            if isinstance(effect, scheduling.ProposeBatch):
                self._call_later(
                    AGREEMENT_DELAY_MS, self._apply_command, effect.command
                )
            elif isinstance(effect, scheduling.AnswerReports):
                for answer in effect.worker_orders:
                    self._call_later(STEP_MS, self._deliver_orders, answer)

    def _deliver_orders(self, answer):
        self.agents[answer.worker].carry_out_orders(answer, self.now_ms)


def _make_spec(job_id, urgent):
    command_line = 'sleep 500' if urgent else 'sleep 600000'
    return commands.JobSpec(
        job_id,
        'team',
        'class',
        5,
        JOB_SIZE,
        command=command_line,
        urgent=urgent,
    )


def measure_waits_ms(workers, is_full, loss_share, jobs, seed=1):
    """Measures the times from submission to start of urgent jobs.

    Args:
        workers: number of workers.
        is_full: True to fill the cell with ordinary jobs first.
        loss_share: share of reports that are lost.
        jobs: number of urgent jobs.
        seed: seed of the run.

    Returns:
        Sorted times in milliseconds.
    """
    cell = ModelCell(workers, loss_share, seed)
    cell.advance(3000)
    if is_full:
        job_count = workers * WORKER_CAPACITY.cpu_milli // JOB_SIZE.cpu_milli
        cell.submit_jobs(
            [_make_spec(f'j{n}', False) for n in range(job_count)]
        )
        cell.advance(5000)
    submit_times_ms = {}
    for number in range(jobs):
        job_id = f'u{number}'
        submit_times_ms[job_id] = cell.now_ms
        cell.submit_jobs([_make_spec(job_id, True)])
        cell.advance(1000 + cell.rng.randrange(100) * STEP_MS)
    cell.advance(10_000)
    start_times_ms = {line.job_id: line.start_ms for line in cell.ledger}
    return sorted(
        start_times_ms[job_id] - submit_times_ms[job_id]
        for job_id in submit_times_ms
    )


def main():
    """Prints a row for each combination of cell and share of lost reports."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--workers', type=int, default=33)
    parser.add_argument('--jobs', type=int, default=150)
    options = parser.parse_args()
    print('| cell | reports lost | p50 ms | p99 ms | max ms | in time |')
    print('|---|---|---|---|---|---|')
    for is_full in (False, True):
        for loss_share in (0.0, 0.05):
            waits_ms = measure_waits_ms(
                options.workers, is_full, loss_share, options.jobs
            )
            share_in_time = sum(
                wait_ms <= START_BOUND_MS for wait_ms in waits_ms
            ) / len(waits_ms)
            print(
                f'| {"full" if is_full else "room"} | {loss_share:.0%} '
                f'| {waits_ms[len(waits_ms) // 2]} '
                f'| {waits_ms[int(len(waits_ms) * 0.99)]} | {waits_ms[-1]} '
                f'| {share_in_time:.1%} |',
                flush=True,
            )
    return 0


if __name__ == '__main__':
    sys.exit(main())
