"""Measures how long urgent jobs wait, in model time.

``python -m benchmarks.scheduling_urgent`` runs a cell of model workers that
report each second, each at its own phase, and at once after a change.  A
command takes 50 ms to be agreed, a message 2 ms.  Urgent jobs come one a
second, first on a cell with room, then on one full of ordinary work.
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
REPORT_MS = 1000
AGREE_MS = 50
BOUND_MS = 2_800
CAPACITY = messages.Resources(32_000, 125_000)
SIZE = messages.Resources(8_000, 10_000)


class World:
    """Workers, leader and the delays between them.

    Args:
        workers: number of workers.
        loss: share of reports lost on the way.
        seed: of phases and losses.
    """

    def __init__(self, workers, loss, seed):
        self.rng = random.Random(seed)
        self.loss = loss
        self.now_ms = 0
        self.part = jobs_part.JobsPart()
        self.scheduler = scheduling.Scheduler(self.part, 0)
        self.ledger = []
        self.due = []
        self.index = 0
        self.agents = {}
        self.next_ms = {}
        for number in range(workers):
            name = f'w{number}'
            options = _worker_agent.AgentOptions(name, 'dc', 'r', CAPACITY)
            agent = _worker_agent.WorkerAgent(options, 1, self.ledger)
            self.agents[name] = agent
            self.next_ms[name] = self.rng.randrange(REPORT_MS)

    def submit(self, specs):
        """Agrees a submission after the usual delay."""
        self._later(AGREE_MS, self._agree, commands.SubmitJobs(specs))

    def run(self, duration_ms):
        """Lets time pass."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += STEP_MS
            ready = [item for item in self.due if item[0] <= self.now_ms]
            self.due = [item for item in self.due if item[0] > self.now_ms]
            for _, action, argument in ready:
                action(argument)
            if self.now_ms % 100 == 0:
                self._step(scheduling.Tick())
            for name, agent in self.agents.items():
                agent.tick(self.now_ms)
                wanted = agent.wants_report(self.now_ms)
                if wanted or self.now_ms >= self.next_ms[name]:
                    self._report(name, agent)

    def _report(self, name, agent):
        self.next_ms[name] = self.now_ms + REPORT_MS
        report = agent.report(self.now_ms)
        if self.rng.random() >= self.loss:
            event = scheduling.Reports('e', 0, [report])
            self._later(STEP_MS, self._step, event)

    def _later(self, delay_ms, action, argument):
        self.due.append((self.now_ms + delay_ms, action, argument))

    def _agree(self, command):
        self.index += 1
        outcome = self.part.apply(self.index, command)
        self._step(scheduling.Applied(command, outcome))

    def _step(self, event):
        for effect in self.scheduler.step(event, self.now_ms):
            if isinstance(effect, scheduling.ProposeBatch):
                self._later(AGREE_MS, self._agree, effect.command)
            elif isinstance(effect, scheduling.AnswerReports):
                for answer in effect.orders:
                    self._later(STEP_MS, self._deliver, answer)

    def _deliver(self, answer):
        self.agents[answer.worker].take(answer, self.now_ms)


def _spec(job_id, urgent):
    run = 'sleep 500' if urgent else 'sleep 600000'
    return commands.JobSpec(
        job_id, 'team', 'class', 5, SIZE, command=run, urgent=urgent
    )


def measure(workers, full, loss, jobs, seed=1):
    """Returns the sorted waits of urgent jobs in milliseconds."""
    world = World(workers, loss, seed)
    world.run(3000)
    if full:
        count = workers * CAPACITY.cpu_milli // SIZE.cpu_milli
        world.submit([_spec(f'j{n}', False) for n in range(count)])
        world.run(5000)
    asked = {}
    for number in range(jobs):
        name = f'u{number}'
        asked[name] = world.now_ms
        world.submit([_spec(name, True)])
        world.run(1000 + world.rng.randrange(100) * STEP_MS)
    world.run(10_000)
    starts = {line.job_id: line.start_ms for line in world.ledger}
    return sorted(starts[name] - asked[name] for name in asked)


def main():
    """Prints one row for each case."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--workers', type=int, default=33)
    parser.add_argument('--jobs', type=int, default=150)
    options = parser.parse_args()
    print('| cell | reports lost | p50 ms | p99 ms | max ms | in time |')
    print('|---|---|---|---|---|---|')
    for full in (False, True):
        for loss in (0.0, 0.05):
            waits = measure(options.workers, full, loss, options.jobs)
            in_time = sum(wait <= BOUND_MS for wait in waits) / len(waits)
            print(
                f'| {"full" if full else "room"} | {loss:.0%} '
                f'| {waits[len(waits) // 2]} '
                f'| {waits[int(len(waits) * 0.99)]} | {waits[-1]} '
                f'| {in_time:.1%} |',
                flush=True,
            )
    return 0


if __name__ == '__main__':
    sys.exit(main())
