"""A cell under faults, with the workers' own ledger as the judge.

Reports, answers and proposals pass through lists; an action loses, doubles,
reorders or delays them, kills, freezes or cuts a worker, or replaces the
leader.  ``check`` compares what the workers ran with what must always hold.
"""

import collections
import random

from fuchsiatrestle import messages
from fuchsiatrestle import scheduling
from fuchsiatrestle.state import _jobs
from fuchsiatrestle.state import commands
from standins import _worker_agent
from tests.scheduling import _cell

__all__ = ('Breach', 'FaultyCell', 'drive')

COMMANDS = (
    'sleep 500',
    'sleep 3000',
    'sleep 12000',
    'sleep 60000',
    'fail 500',
)
CLOCK_RATES = (1.0, 0.97, 1.03)
MAX_FLYING = 40
SETTLE_MS = 240_000
FORGET_TURNS = 4
QUOTAS = {'team': messages.Resources(9000, 30000, 9)}


class Breach(AssertionError):
    """The ledger shows what must never happen."""


class _Host:
    """A worker VM: its agent, its clock and what is wrong with it."""

    __slots__ = ('agent', 'base_ms', 'cut', 'frozen', 'rate', 'woken')

    def __init__(self, agent, base_ms, rate):
        self.agent = agent
        self.base_ms = base_ms
        self.rate = rate
        self.frozen = False
        self.woken = False
        self.cut = False

    def clock(self, now_ms):
        return self.base_ms + int((now_ms - self.base_ms) * self.rate)


class FaultyCell:
    """One cell, faults included.

    Args:
        seed: of every choice it makes.
        workers: number of workers.
        policy: the ``Policy``.
    """

    def __init__(self, seed=0, workers=3, policy=None):
        self.rng = random.Random(seed)
        self.now_ms = 1_000_000
        self.policy = policy or scheduling.Policy()
        self.quotas = QUOTAS
        self.part = self._new_part()
        self.ledger = []
        self.hosts = {}
        self.index = 0
        self.reports = []
        self.answers = []
        self.proposals = []
        self.zombie = None
        self.jobs = {}
        self.resumes = {}
        self.agreed = []
        for number in range(workers):
            self._add_host(f'w{number}', CLOCK_RATES[number % 3])
        self.scheduler = self._new_scheduler()

    def _new_part(self):
        return _jobs.JobsPart(lambda: self.quotas)

    def _new_scheduler(self):
        return scheduling.Scheduler(self.part, self.now_ms, self.policy)

    def _add_host(self, name, rate):
        options = _worker_agent.AgentOptions(
            name, 'dc1', 'r' + name[-1], _cell.CAPACITY
        )
        agent = _worker_agent.WorkerAgent(options, 1, self.ledger)
        self.hosts[name] = _Host(agent, self.now_ms, rate)

    # Leader

    def _step(self, event):
        for effect in self.scheduler.step(event, self.now_ms):
            if isinstance(effect, scheduling.ProposeBatch):
                self.proposals.append(effect)
            elif isinstance(effect, scheduling.AnswerReports):
                self.answers.extend(effect.orders)

    def _apply(self, command):
        self.index += 1
        self.agreed.append(command)
        outcome = self.part.apply(self.index, command)
        self._note_resumes(command, outcome)
        self._step(scheduling.Applied(command, outcome))
        return outcome

    def _note_resumes(self, command, outcome):
        if not isinstance(command, commands.PlaceAttempts):
            return
        results = zip(command.placements, outcome.jobs, strict=True)
        for placed, result in results:
            if not result.reason:
                job = self.part.jobs[placed.job_id]
                self.resumes[placed.job_id, placed.attempt] = (
                    job.checkpoint_attempt,
                    job.checkpoint,
                )

    def agree(self, count=1):
        """Agrees the oldest proposals."""
        for _ in range(min(count, len(self.proposals))):
            self._apply(self.proposals.pop(0).command)

    def reject(self):
        """Gives the newest proposal no place in the log."""
        if self.proposals:
            token = self.proposals.pop().token
            self._step(scheduling.Rejected(token, 'overloaded'))

    def elect(self, survive=0):
        """Replaces the leader by one built from a snapshot.

        The oldest ``survive`` proposals are agreed first, the rest is lost.
        The old leader stays as a zombie that hears reports.
        """
        data = self.part.snapshot()
        self.zombie = self.scheduler
        self.part = self._new_part()
        self.part.restore(data)
        for proposal in self.proposals[:survive]:
            self.index += 1
            self.agreed.append(proposal.command)
            outcome = self.part.apply(self.index, proposal.command)
            self._note_resumes(proposal.command, outcome)
        self.proposals.clear()
        self.scheduler = self._new_scheduler()

    # Operators

    def submit(self, **values):
        """Submits a new job, or the same one again."""
        job_id = values.pop('job_id', f'j{len(self.jobs)}')
        self.jobs.setdefault(job_id, _cell.spec(job_id, **values))
        self._apply(commands.SubmitJobs([self.jobs[job_id]]))

    def cancel(self, *job_ids):
        """Cancels jobs in one batch."""
        self._apply(commands.CancelJobs(list(job_ids)))

    # Messages

    def report(self, name):
        """Lets a worker send a report."""
        host = self.hosts[name]
        if host.frozen or len(self.reports) > MAX_FLYING:
            return
        host.woken = False
        report = host.agent.report(host.clock(self.now_ms))
        if not host.cut:
            self.reports.append(report)

    def deliver_report(self, position=0, keep=False):
        """Brings a report to the leader; ``keep`` doubles it."""
        if self.reports:
            report = self._take(self.reports, position, keep)
            self._step(scheduling.Reports('e1', 1, [report]))

    def deliver_to_zombie(self, position=0):
        """Brings a report to the former leader, which no quorum confirms."""
        if self.zombie is None or not self.reports:
            return
        report = self._take(self.reports, position, False)
        event = scheduling.Reports('e1', 1, [report])
        for effect in self.zombie.step(event, self.now_ms):
            if isinstance(effect, scheduling.AnswerReports):
                self.answers.extend(self.confirmed(effect.orders))

    def confirmed(self, orders):
        """Drops orders of a leader that no quorum confirms."""
        return []

    def deliver_answer(self, position=0, keep=False):
        """Brings an answer to its worker; ``keep`` doubles it."""
        if not self.answers:
            return
        answer = self._take(self.answers, position, keep)
        host = self.hosts[answer.worker]
        if host.frozen:
            self.answers.append(answer)
        elif not host.cut:
            host.woken = False
            host.agent.take(answer, host.clock(self.now_ms))

    @staticmethod
    def _take(items, position, keep):
        position %= len(items)
        if keep and len(items) < MAX_FLYING:
            return items[position]
        return items.pop(position)

    def lose(self, items):
        """Loses one message of a list, drawn at random."""
        if items:
            items.pop(self.rng.randrange(len(items)))

    # Workers

    def kill(self, name):
        """Kills a worker VM; its next incarnation starts empty."""
        host = self.hosts[name]
        host.agent.crash(host.clock(self.now_ms))
        host.frozen = host.woken = False
        host.agent = _worker_agent.WorkerAgent(
            host.agent.options, host.agent.incarnation + 1, self.ledger
        )

    def freeze(self, name):
        """Freezes a worker VM with all that runs on it."""
        self.hosts[name].frozen = True

    def thaw(self, name):
        """Lets a frozen worker go on; any call may reach it first.

        The ledger is judged again after that call, in which the agent must
        notice the leases that ran out meanwhile.
        """
        host = self.hosts[name]
        host.woken = host.woken or host.frozen
        host.frozen = False

    # Time

    def pass_time(self, duration_ms):
        """Moves all clocks; leader and workers notice."""
        self.now_ms += duration_ms
        for host in self.hosts.values():
            if not host.frozen:
                host.woken = False
                host.agent.tick(host.clock(self.now_ms))
        self._step(scheduling.Tick())

    # Judgement

    def running(self):
        """Yields the ledger lines of runs that go on."""
        for line in self.ledger:
            host = self.hosts[line.worker]
            idle = host.frozen or host.woken
            if line.end_ms is None and not idle:
                yield line

    def check(self):
        """Raises ``Breach`` if the ledger shows what must never happen."""
        self._check_running()
        self._check_starts()

    def _check_running(self):
        seen = {}
        sums = collections.defaultdict(lambda: [0, 0, 0])
        for line in self.running():
            if line.job_id in seen:
                raise Breach(f'two places: {seen[line.job_id]!r}, {line!r}')
            seen[line.job_id] = line
            total = sums[line.worker]
            total[0] += line.size.cpu_milli
            total[1] += line.size.memory_mib
            total[2] += line.size.accelerators
            limit = self.hosts[line.worker].agent.options.capacity
            if (
                total[0] > limit.cpu_milli
                or total[1] > limit.memory_mib
                or total[2] > limit.accelerators
            ):
                raise Breach(f'over capacity: {line!r}')

    def _check_starts(self):
        starts = collections.Counter()
        for line in self.ledger:
            key = (line.job_id, line.attempt)
            starts[key] += 1
            if starts[key] > 1:
                raise Breach(f'attempt ran twice: {line!r}')
            if not self.jobs[line.job_id].idempotent:
                starts[line.job_id] += 1
                if starts[line.job_id] > 1:
                    raise Breach(f'billed job ran twice: {line!r}')
        self._check_resumes()

    def _check_resumes(self):
        for line in self.ledger:
            agreed = self.resumes[line.job_id, line.attempt]
            if line.resumed_from != agreed:
                raise Breach(f'resumed from {agreed!r} not: {line!r}')

    def settle(self, lost='w0'):
        """Heals all but one worker, lost for good; then all jobs must end."""
        for host in self.hosts.values():
            host.frozen = host.cut = host.agent.leaving = False
            host.woken = True
            host.agent.options.mode = ''
        if lost:
            self.kill(lost)
            self.hosts[lost].cut = True
        end_ms = self.now_ms + SETTLE_MS
        while self.now_ms < end_ms and self._open_jobs():
            self._calm_turn()
        if self._open_jobs():
            raise Breach(f'never ended: {self._open_jobs()!r}')
        for _ in range(FORGET_TURNS):
            self._calm_turn()
        self.part.verify()
        kept = {n: h.agent.kept for n, h in self.hosts.items() if not h.cut}
        if any(kept.values()):
            raise Breach(f'never forgotten: {kept!r}')

    def _calm_turn(self):
        self.pass_time(500)
        for name in self.hosts:
            self.report(name)
        while self.reports or self.proposals or self.answers:
            self.agree(len(self.proposals))
            self.deliver_report()
            self.deliver_answer()
        self.check()

    def _open_jobs(self):
        missing = [name for name in self.jobs if self._lost(name)]
        if missing:
            raise Breach(f'lost: {missing!r}')
        return [
            name
            for name, job in self.part.jobs.items()
            if job.state != 'parked'
        ]

    def _lost(self, name):
        return name not in self.part.jobs and name not in self.part.ended_jobs


# Random driver


def _draw_submit(cell, rng):
    if len(cell.jobs) < 40:
        urgent = rng.random() < 0.15
        cell.submit(
            cpu_milli=rng.choice((500, 1000, 2000, 4000)),
            memory_mib=rng.choice((500, 2000, 4000)),
            accelerators=rng.choice((0, 0, 1)),
            idempotent=urgent or rng.random() < 0.7,
            urgent=urgent,
            command=rng.choice(COMMANDS),
        )


def _draw_resubmit(cell, rng):
    if cell.jobs:
        cell.submit(job_id=rng.choice(sorted(cell.jobs)))


def _draw_cancel(cell, rng):
    if cell.jobs:
        count = rng.choice((1, 1, 5))
        names = sorted(cell.jobs)
        cell.cancel(*rng.sample(names, min(count, len(names))))


def _draw_fault(cell, rng):
    name = rng.choice(sorted(cell.hosts))
    host = cell.hosts[name]
    fault = rng.choice(('kill', 'freeze', 'thaw', 'cut', 'leave', 'mode'))
    if fault == 'cut':
        host.cut = not host.cut
    elif fault == 'leave':
        host.agent.leaving = not host.agent.leaving
    elif fault == 'mode':
        host.agent.options.mode = rng.choice(('', 'fail'))
    else:
        getattr(cell, fault)(name)


def _draw_loss(cell, rng):
    cell.lose(rng.choice((cell.reports, cell.answers)))


ACTIONS = (
    (4, _draw_submit),
    (1, _draw_resubmit),
    (1, _draw_cancel),
    (3, _draw_fault),
    (4, _draw_loss),
    (16, lambda cell, rng: cell.report(rng.choice(sorted(cell.hosts)))),
    (16, lambda cell, rng: cell.deliver_report(rng.choice((0, 0, -1, 3)))),
    (2, lambda cell, rng: cell.deliver_report(0, keep=True)),
    (2, lambda cell, rng: cell.deliver_to_zombie(rng.choice((0, -1)))),
    (16, lambda cell, rng: cell.deliver_answer(rng.choice((0, 0, -1, 3)))),
    (2, lambda cell, rng: cell.deliver_answer(0, keep=True)),
    (16, lambda cell, rng: cell.agree(rng.choice((1, 3)))),
    (1, lambda cell, rng: cell.reject()),
    (1, lambda cell, rng: cell.elect(rng.choice((0, 1, 9)))),
    (14, lambda cell, rng: cell.pass_time(rng.choice((50, 500, 2000)))),
    (1, lambda cell, rng: cell.pass_time(13_000)),
)


def drive(seed, steps, cell=None):
    """Runs drawn actions, checks after each, settles; returns the cell.

    Raises:
        Breach: the ledger shows what must never happen.
        errors.InvariantBreach: the program found its own state wrong.
    """
    cell = cell or FaultyCell(seed)
    weights = [weight for weight, _ in ACTIONS]
    choices = [action for _, action in ACTIONS]
    for _ in range(steps):
        action = cell.rng.choices(choices, weights)[0]
        action(cell, cell.rng)
        cell.check()
    cell.settle()
    return cell
