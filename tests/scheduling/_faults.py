"""A cell under injected faults, checked against the workers' ledger.

Reports, answers and proposals wait in lists.  An action loses, duplicates,
reorders or delays them, kills, freezes or cuts off a worker, or replaces the
leader.  The worker agents write what they run into a ledger, which
``check`` compares with the invariants of the scheduler.
"""

import collections
import random

from fuchsiatrestle import messages
from fuchsiatrestle import scheduling
from fuchsiatrestle.state import _jobs
from fuchsiatrestle.state import commands
from standins import _worker_agent
from tests.scheduling import _cell

__all__ = ('Breach', 'FaultyCell', 'run_random_actions')

COMMANDS = (
    'sleep 500',
    'sleep 3000',
    'sleep 12000',
    'sleep 60000',
    'fail 500',
)
# Speeds of the workers' clocks.
CLOCK_RATES = (1.0, 0.97, 1.03)
# Undelivered messages above which no more reports and duplicates are made.
MAX_QUEUED_MESSAGES = 40
# Time without faults in which every job must end.
SETTLE_LIMIT_MS = 240_000
# Further turns in which the agents must forget the ended attempts.
TURNS_TO_FORGET = 4
QUOTAS = {'team': messages.Resources(9000, 30000, 9)}


class Breach(AssertionError):
    """The ledger violates an invariant of the scheduler."""


class _Host:
    """A worker VM with its agent, its clock and its faults.

    Attributes:
        agent: the worker agent.
        clock_base_ms: time from which the clock drifts.
        clock_rate: speed of the clock; 1.0 has no drift.
        frozen: True while nothing on the VM runs.
        just_thawed: True from the end of a freeze until the agent is called.
        cut: True while no message gets to or from the VM.
    """

    __slots__ = (
        'agent',
        'clock_base_ms',
        'clock_rate',
        'cut',
        'frozen',
        'just_thawed',
    )

    def __init__(self, agent, clock_base_ms, clock_rate):
        self.agent = agent
        self.clock_base_ms = clock_base_ms
        self.clock_rate = clock_rate
        self.frozen = False
        self.just_thawed = False
        self.cut = False

    def clock_ms(self, now_ms):
        """Returns the time of the VM's own clock."""
        return self.clock_base_ms + int(
            (now_ms - self.clock_base_ms) * self.clock_rate
        )


class FaultyCell:
    """A cell with actions that inject faults.

    Args:
        seed: seed of every random choice.
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
        self.log_index = 0
        self.reports = []
        self.answers = []
        self.proposals = []
        self.former_scheduler = None
        # The ``JobSpec`` of each submitted job, by job id.
        self.spec_by_job = {}
        # Jobs that were cancelled before their first submission.
        self.denied_job_ids = set()
        # The (checkpoint_attempt, checkpoint) that an attempt has to resume
        # from, by (job id, attempt).
        self.agreed_resumes = {}
        # All applied commands, oldest first.
        self.applied_commands = []
        for number in range(workers):
            self._add_host(f'w{number}', CLOCK_RATES[number % 3])
        self.scheduler = self._new_scheduler()

    def _new_part(self):
        return _jobs.JobsPart(lambda: self.quotas)

    def _new_scheduler(self):
        return scheduling.Scheduler(self.part, self.now_ms, self.policy)

    def _add_host(self, name, clock_rate):
        options = _worker_agent.AgentOptions(
            name, 'dc1', 'r' + name[-1], _cell.CAPACITY
        )
        agent = _worker_agent.WorkerAgent(options, 1, self.ledger)
        self.hosts[name] = _Host(agent, self.now_ms, clock_rate)

    # Leader

    def _step(self, event):
        for effect in self.scheduler.step(event, self.now_ms):
            if isinstance(effect, scheduling.ProposeBatch):
                self.proposals.append(effect)
            elif isinstance(effect, scheduling.AnswerReports):
                self.answers.extend(effect.worker_orders)

    def _apply(self, command):
        self.log_index += 1
        self.applied_commands.append(command)
        outcome = self.part.apply(self.log_index, command)
        self._record_resumes(command, outcome)
        self._step(scheduling.CommandApplied(command, outcome))
        return outcome

    def _record_resumes(self, command, outcome):
        if not isinstance(command, commands.PlaceAttempts):
            return
        placement_results = zip(command.placements, outcome.jobs, strict=True)
        for placement, result in placement_results:
            if not result.reason:
                job = self.part.jobs[placement.job_id]
                self.agreed_resumes[placement.job_id, placement.attempt] = (
                    job.checkpoint_attempt,
                    job.checkpoint,
                )

    def agree(self, count=1):
        """Applies the ``count`` oldest proposals."""
        for _ in range(min(count, len(self.proposals))):
            self._apply(self.proposals.pop(0).command)

    def reject(self):
        """Rejects the newest proposal, as if the log had no place for it."""
        if self.proposals:
            token = self.proposals.pop().token
            self._step(scheduling.ProposalRejected(token, 'overloaded'))

    def elect(self, agreed_count=0):
        """Replaces the leader by one built from a snapshot.

        The oldest ``agreed_count`` proposals are applied first, the rest is
        lost.  The old leader stays, and reports can still be delivered to it.
        """
        snapshot = self.part.snapshot()
        self.former_scheduler = self.scheduler
        self.part = self._new_part()
        self.part.restore(snapshot)
        for proposal in self.proposals[:agreed_count]:
            self.log_index += 1
            self.applied_commands.append(proposal.command)
            outcome = self.part.apply(self.log_index, proposal.command)
            self._record_resumes(proposal.command, outcome)
        self.proposals.clear()
        self.scheduler = self._new_scheduler()

    # Operators

    def submit(self, **fields):
        """Submits a new job, or one that was submitted before again."""
        job_id = fields.pop('job_id', f'j{len(self.spec_by_job)}')
        self.spec_by_job.setdefault(job_id, _cell.make_spec(job_id, **fields))
        self._apply(commands.SubmitJobs([self.spec_by_job[job_id]]))

    def cancel(self, *job_ids):
        """Cancels jobs in one batch."""
        self.denied_job_ids.update(set(job_ids) - self.spec_by_job.keys())
        self._apply(commands.CancelJobs(list(job_ids)))

    # Messages

    def report(self, name):
        """Lets a worker send a report, which is lost if it is cut off."""
        host = self.hosts[name]
        if host.frozen or len(self.reports) > MAX_QUEUED_MESSAGES:
            return
        host.just_thawed = False
        report = host.agent.make_report(host.clock_ms(self.now_ms))
        if not host.cut:
            self.reports.append(report)

    def deliver_report(self, position=0, keep_duplicate=False):
        """Delivers a report to the leader.

        Args:
            position: position of the report in the list of reports.
            keep_duplicate: True to leave the report in the list too.
        """
        if self.reports:
            report = self._pick_message(self.reports, position, keep_duplicate)
            self._step(scheduling.ReportsReceived('e1', 1, [report]))

    def deliver_to_zombie(self, position=0):
        """Delivers a report to the old leader, which no quorum confirms."""
        if self.former_scheduler is None or not self.reports:
            return
        report = self._pick_message(self.reports, position, False)
        event = scheduling.ReportsReceived('e1', 1, [report])
        for effect in self.former_scheduler.step(event, self.now_ms):
            if isinstance(effect, scheduling.AnswerReports):
                self.answers.extend(
                    self.filter_confirmed(effect.worker_orders)
                )

    def filter_confirmed(self, orders):
        """Returns the orders that a quorum confirms; none of an old leader."""
        return []

    def deliver_answer(self, position=0, keep_duplicate=False):
        """Delivers an answer to its worker.

        Args:
            position: position of the answer in the list of answers.
            keep_duplicate: True to leave the answer in the list too.
        """
        if not self.answers:
            return
        answer = self._pick_message(self.answers, position, keep_duplicate)
        host = self.hosts[answer.worker]
        if host.frozen:
            self.answers.append(answer)
        elif not host.cut:
            host.just_thawed = False
            host.agent.carry_out_orders(answer, host.clock_ms(self.now_ms))

    @staticmethod
    def _pick_message(items, position, keep_duplicate):
        position %= len(items)
        if keep_duplicate and len(items) < MAX_QUEUED_MESSAGES:
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
        host.agent.crash(host.clock_ms(self.now_ms))
        host.frozen = host.just_thawed = False
        host.agent = _worker_agent.WorkerAgent(
            host.agent.options, host.agent.incarnation + 1, self.ledger
        )

    def freeze(self, name):
        """Freezes a worker VM with everything that runs on it."""
        self.hosts[name].frozen = True

    def thaw(self, name):
        """Lets a frozen worker continue.

        Its attempts are checked again only after the agent has been called,
        by a tick, for a report or with an answer.  In that call the agent must
        notice the leases that expired while it was frozen.
        """
        host = self.hosts[name]
        host.just_thawed = host.just_thawed or host.frozen
        host.frozen = False

    # Time

    def pass_time(self, duration_ms):
        """Advances all clocks and ticks the leader and the workers."""
        self.now_ms += duration_ms
        for host in self.hosts.values():
            if not host.frozen:
                host.just_thawed = False
                host.agent.tick(host.clock_ms(self.now_ms))
        self._step(scheduling.Tick())

    # Checks

    def running_lines(self):
        """Yields the ledger lines of attempts that run now.

        Left out are those on a VM that is frozen or was just thawed.
        """
        for line in self.ledger:
            host = self.hosts[line.worker]
            is_unchecked = host.frozen or host.just_thawed
            if line.end_ms is None and not is_unchecked:
                yield line

    def check(self):
        """Raises ``Breach`` if the ledger violates an invariant.

        No job runs in two places, no worker over its capacity, no attempt
        starts twice, no billed job runs twice, and each attempt resumes from
        the agreed checkpoint.
        """
        self._check_running_attempts()
        self._check_starts()

    def _check_running_attempts(self):
        line_by_job = {}
        reserved_by_worker = collections.defaultdict(lambda: [0, 0, 0])
        for line in self.running_lines():
            if line.job_id in line_by_job:
                raise Breach(
                    f'two places: {line_by_job[line.job_id]!r}, {line!r}'
                )
            line_by_job[line.job_id] = line
            reserved_amounts = reserved_by_worker[line.worker]
            reserved_amounts[0] += line.size.cpu_milli
            reserved_amounts[1] += line.size.memory_mib
            reserved_amounts[2] += line.size.accelerators
            capacity = self.hosts[line.worker].agent.options.capacity
            if (
                reserved_amounts[0] > capacity.cpu_milli
                or reserved_amounts[1] > capacity.memory_mib
                or reserved_amounts[2] > capacity.accelerators
            ):
                raise Breach(f'over capacity: {line!r}')

    def _check_starts(self):
        start_counts = collections.Counter()
        for line in self.ledger:
            attempt_key = (line.job_id, line.attempt)
            start_counts[attempt_key] += 1
            if start_counts[attempt_key] > 1:
                raise Breach(f'attempt ran twice: {line!r}')
            if not self.spec_by_job[line.job_id].idempotent:
                start_counts[line.job_id] += 1
                if start_counts[line.job_id] > 1:
                    raise Breach(f'billed job ran twice: {line!r}')
        self._check_resumes()

    def _check_resumes(self):
        for line in self.ledger:
            expected_resume = self.agreed_resumes[line.job_id, line.attempt]
            if line.resumed_from != expected_resume:
                raise Breach(f'resumed from {expected_resume!r} not: {line!r}')

    def settle(self, lost_worker='w0'):
        """Ends all faults but the loss of one worker, and checks the end.

        All jobs must end or be parked within ``SETTLE_LIMIT_MS``, and the
        agents must then forget their attempts.

        Args:
            lost_worker: name of the worker that is lost for good, empty for
                none.
        """
        for host in self.hosts.values():
            host.frozen = host.cut = host.agent.leaving = False
            host.just_thawed = True
            host.agent.options.mode = ''
        if lost_worker:
            self.kill(lost_worker)
            self.hosts[lost_worker].cut = True
        end_ms = self.now_ms + SETTLE_LIMIT_MS
        while self.now_ms < end_ms and self._unended_job_ids():
            self._run_calm_turn()
        if self._unended_job_ids():
            raise Breach(f'never ended: {self._unended_job_ids()!r}')
        for _ in range(TURNS_TO_FORGET):
            self._run_calm_turn()
        self.part.verify()
        attempt_counts = {
            n: h.agent.reported_attempt_count
            for n, h in self.hosts.items()
            if not h.cut
        }
        if any(attempt_counts.values()):
            raise Breach(f'never forgotten: {attempt_counts!r}')

    def _run_calm_turn(self):
        self.pass_time(500)
        for name in self.hosts:
            self.report(name)
        while self.reports or self.proposals or self.answers:
            self.agree(len(self.proposals))
            self.deliver_report()
            self.deliver_answer()
        self.check()

    def _unended_job_ids(self):
        lost_job_ids = [
            job_id for job_id in self.spec_by_job if self._is_job_lost(job_id)
        ]
        if lost_job_ids:
            raise Breach(f'lost: {lost_job_ids!r}')
        return [
            job_id
            for job_id, job in self.part.jobs.items()
            if job.state != 'parked'
        ]

    def _is_job_lost(self, job_id):
        """True if an accepted job is not known, or a denied one is."""
        is_known = job_id in self.part.jobs or job_id in self.part.ended_jobs
        return is_known == (job_id in self.denied_job_ids)


# Random actions


def _submit_random_job(cell, rng):
    if len(cell.spec_by_job) < 40:
        urgent = rng.random() < 0.15
        cell.submit(
            cpu_milli=rng.choice((500, 1000, 2000, 4000)),
            memory_mib=rng.choice((500, 2000, 4000)),
            accelerators=rng.choice((0, 0, 1)),
            idempotent=urgent or rng.random() < 0.7,
            urgent=urgent,
            command=rng.choice(COMMANDS),
        )


def _resubmit_random_job(cell, rng):
    if cell.spec_by_job:
        cell.submit(job_id=rng.choice(sorted(cell.spec_by_job)))


def _cancel_random_jobs(cell, rng):
    if cell.spec_by_job:
        count = rng.choice((1, 1, 5))
        job_ids = sorted(cell.spec_by_job)
        cell.cancel(*rng.sample(job_ids, min(count, len(job_ids))))


def _inject_random_fault(cell, rng):
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


def _lose_random_message(cell, rng):
    cell.lose(rng.choice((cell.reports, cell.answers)))


ACTIONS = (
    (4, _submit_random_job),
    (1, _resubmit_random_job),
    (1, _cancel_random_jobs),
    (3, _inject_random_fault),
    (4, _lose_random_message),
    (16, lambda cell, rng: cell.report(rng.choice(sorted(cell.hosts)))),
    (16, lambda cell, rng: cell.deliver_report(rng.choice((0, 0, -1, 3)))),
    (2, lambda cell, rng: cell.deliver_report(0, keep_duplicate=True)),
    (2, lambda cell, rng: cell.deliver_to_zombie(rng.choice((0, -1)))),
    (16, lambda cell, rng: cell.deliver_answer(rng.choice((0, 0, -1, 3)))),
    (2, lambda cell, rng: cell.deliver_answer(0, keep_duplicate=True)),
    (16, lambda cell, rng: cell.agree(rng.choice((1, 3)))),
    (1, lambda cell, rng: cell.reject()),
    (1, lambda cell, rng: cell.elect(rng.choice((0, 1, 9)))),
    (14, lambda cell, rng: cell.pass_time(rng.choice((50, 500, 2000)))),
    (1, lambda cell, rng: cell.pass_time(13_000)),
)


def run_random_actions(seed, action_count, cell=None):
    """Runs random actions with a check after each, and then settles.

    Args:
        seed: seed of the actions.
        action_count: number of actions.
        cell: the ``FaultyCell``; None for a new one.

    Returns:
        The cell.

    Raises:
        Breach: the ledger violates an invariant.
        errors.InvariantBreach: the jobs part found its state inconsistent.
    """
    cell = cell or FaultyCell(seed)
    weights = [weight for weight, _ in ACTIONS]
    actions = [action for _, action in ACTIONS]
    for _ in range(action_count):
        action = cell.rng.choices(actions, weights)[0]
        action(cell, cell.rng)
        cell.check()
    cell.settle()
    return cell
