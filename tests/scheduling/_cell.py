"""A small cell in one process: jobs part, scheduler core, worker agents.

Proposals and answers wait in lists until the test delivers them.  The clock
moves only when the test moves it.
"""

import random

from fuchsiatrestle import messages
from fuchsiatrestle import scheduling
from fuchsiatrestle.state import _jobs
from fuchsiatrestle.state import commands
from standins import _worker_agent

__all__ = ('Cell', 'make_spec')

CAPACITY = messages.Resources(4000, 8000, 1)


def make_spec(job_id, cpu_milli=1000, memory_mib=1000, **fields):
    """Returns a ``JobSpec`` with short defaults."""
    fields.setdefault('team', 'team')
    fields.setdefault('job_class', 'class')
    fields.setdefault('priority', 5)
    accelerators = fields.pop('accelerators', 0)
    size = messages.Resources(cpu_milli, memory_mib, accelerators)
    return commands.JobSpec(job_id=job_id, size=size, **fields)


class Cell:
    """A cell with one leader at a time, its agreed state and its workers.

    Args:
        workers: number of workers.
        policy: the ``Policy``.
        quotas: team quotas in force, by team.
        seed: seed of ``rng``, for tests that draw at random.
        **options: keyword arguments of each worker's ``AgentOptions``.
    """

    def __init__(self, workers=3, policy=None, quotas=None, seed=0, **options):
        self.now_ms = 1_000_000
        self.quotas = quotas if quotas is not None else {}
        self.part = _jobs.JobsPart(lambda: self.quotas)
        self.policy = policy or scheduling.Policy()
        self.rng = random.Random(seed)
        self.ledger = []
        self.agents = {}
        # Log index of the newest applied command.
        self.log_index = 0
        self.proposals = []
        self.answers = []
        # All applied commands, oldest first.
        self.applied_commands = []
        options.setdefault('capacity', CAPACITY)
        for number in range(workers):
            name = f'w{number}'
            self.agents[name] = _worker_agent.WorkerAgent(
                _worker_agent.AgentOptions(
                    name, 'dc1', f'r{number % 2}', **options
                ),
                1,
                self.ledger,
            )
        self.elect()

    # Leader

    def elect(self):
        """Starts a new leader; proposals of the old one are lost."""
        self.proposals.clear()
        self.scheduler = scheduling.Scheduler(
            self.part, self.now_ms, self.policy
        )

    def step(self, event):
        """Steps the leader and queues its proposals and answers."""
        for effect in self.scheduler.step(event, self.now_ms):
            if isinstance(effect, scheduling.ProposeBatch):
                self.proposals.append(effect)
            elif isinstance(effect, scheduling.AnswerReports):
                self.answers.extend(effect.worker_orders)

    def apply_command(self, command):
        """Applies a command to the agreed state and informs the leader."""
        self.log_index += 1
        self.applied_commands.append(command)
        outcome = self.part.apply(self.log_index, command)
        self.step(scheduling.CommandApplied(command, outcome))
        return outcome

    def agree(self):
        """Applies all commands that the leader proposed."""
        while self.proposals:
            self.apply_command(self.proposals.pop(0).command)

    def submit(self, *specs):
        """Submits jobs and returns their outcomes."""
        return self.apply_command(commands.SubmitJobs(list(specs))).jobs

    # Workers

    def report(self, name):
        """Lets a worker report, and delivers the report to the leader."""
        report = self.agents[name].make_report(self.now_ms)
        self.step(scheduling.ReportsReceived('e1', 1, [report]))
        return report

    def deliver_answers(self):
        """Delivers all answers to their workers."""
        while self.answers:
            answer = self.answers.pop(0)
            agent = self.agents.get(answer.worker)
            if agent is not None:
                agent.carry_out_orders(answer, self.now_ms)

    def restart(self, name):
        """Kills a worker and starts its next incarnation."""
        old_agent = self.agents[name]
        old_agent.crash(self.now_ms)
        self.agents[name] = _worker_agent.WorkerAgent(
            old_agent.options, old_agent.incarnation + 1, self.ledger
        )

    # Time

    def advance(self, duration_ms, step_ms=500, silent_workers=()):
        """Advances the clock in steps and delivers every message.

        Args:
            duration_ms: time to pass.
            step_ms: length of a step; workers report once in each.
            silent_workers: names of workers that neither run nor report.
        """
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += step_ms
            self.step(scheduling.Tick(self.now_ms))
            self.agree()
            for name, agent in self.agents.items():
                if name not in silent_workers:
                    agent.tick(self.now_ms)
                    self.report(name)
            self.agree()
            self.deliver_answers()

    def job_state(self, job_id):
        """Returns the agreed state of a job."""
        job = self.part.jobs.get(job_id) or self.part.ended_jobs.get(job_id)
        return job.state
