"""Fault matrix of the scheduler: every fault at every step of an attempt.

``python -m tests.scheduling._matrix`` runs it and writes the table into
``docs/SCHEDULING.md``.
"""

import logging
import pathlib
import sys

from fuchsiatrestle import errors
from tests.scheduling import _faults

__all__ = ('FAULTS', 'LEASE_FAULTS', 'STEPS', 'run_cell')

PAGE = pathlib.Path(__file__).resolve().parents[2] / 'docs/SCHEDULING.md'
BEGIN = '<!-- fault matrix: begin -->\n'
END = '<!-- fault matrix: end -->\n'

STEP_MS = 250
REPORT_MS = 1000
FAULT_MS = 15_000
MAX_STEPS = 400


class Scene(_faults.FaultyCell):
    """One job on two workers, with one fault at one step.

    Args:
        step: name of the step.
        fault: name of the fault.
        idempotent: False for a billed job.
    """

    def __init__(self, step, fault, idempotent):
        super().__init__(0, workers=3)
        self.step = step
        self.fault = fault
        self.reached = False
        self.faulted = None
        self.heal_ms = None
        self.held = []
        self._reported = {}
        for host in self.hosts.values():
            host.agent.options.service = 'quotes'
            if step == 'checkpoint':
                # Only the ordered checkpoint counts, no periodic one.
                host.agent.options.checkpoint_ms = 600_000
        self.idempotent = idempotent

    # Play

    def play(self):
        """Runs the scene; raises a breach if there is one."""
        for _ in range(16):
            self._turn()
        command = 'sleep 60000'
        if self.step == 'finish':
            command = 'sleep 1500'
        self.submit(job_id='a', command=command, idempotent=self.idempotent)
        for _ in range(MAX_STEPS):
            self._provoke()
            self._turn()
            if self.reached and self.now_ms > self.heal_ms + 5_000:
                break
        self.settle(lost='')

    def _turn(self):
        self.pass_time(STEP_MS)
        self._heal()
        for name, host in self.hosts.items():
            due = self.now_ms - self._reported.get(name, 0) >= REPORT_MS
            if due or host.agent.changed:
                self._reported[name] = self.now_ms
                self.report(name)
        self._watch()
        while self.reports:
            if self._zombie_hears(self.reports[0].worker):
                self.deliver_to_zombie(0)
            else:
                self.deliver_report()
        self._watch()
        self.agree(len(self.proposals))
        self._watch()
        for _ in range(len(self.answers)):
            self.deliver_answer()
        self.check()

    def _zombie_hears(self, worker):
        return (
            self.fault == 'former leader answers'
            and worker == self.faulted
            and self.now_ms < self.heal_ms
        )

    def _provoke(self):
        job = self.part.jobs.get('a')
        if job is None or not job.started:
            return
        host = self.hosts[job.worker]
        if self.step in ('checkpoint', 'stop', 'resume'):
            host.agent.leaving = job.attempt == 1
        elif self.step == 'throttle':
            host.agent.options.mode = 'noisy'
        elif self.step == 'cancel' and not job.cancelled:
            self.cancel('a')

    # Steps

    def _watch(self):
        if not self.reached and STEPS[self.step](self):
            self.reached = True
            self.faulted = self.victim
            self.heal_ms = self.now_ms + FAULT_MS
            FAULTS[self.fault](self)

    def orders(self, kind):
        """Returns the orders of a kind about the job, on their way."""
        return [
            order
            for answer in self.answers
            for order in answer.orders
            if order.kind == kind and order.job_id in ('', 'a')
        ]

    @property
    def victim(self):
        """The worker that the job is on, or is about to be on."""
        job = self.part.jobs.get('a')
        name = job.worker if job is not None else ''
        for proposal in self.proposals:
            for placed in getattr(proposal.command, 'placements', ()):
                name = placed.worker
        return name or 'w1'

    # Faults

    def _heal(self):
        if self.heal_ms is None or self.now_ms < self.heal_ms:
            return
        for name, host in self.hosts.items():
            host.cut = False
            if host.frozen:
                self.thaw(name)
        self.reports.extend(self.held_reports())
        self.answers.extend(self.held_answers())

    def held_reports(self):
        """Returns the reports held back, once."""
        held = [item for item in self.held if hasattr(item, 'capacity')]
        self.held = [item for item in self.held if item not in held]
        return held

    def held_answers(self):
        """Returns the answers held back, once."""
        held, self.held = self.held, []
        return held


def _hold(scene, items, keep):
    scene.held.extend(items)
    if not keep:
        items.clear()


def _report_of(scene):
    # A report may not be on its way at this step; then the next one counts.
    if not scene.reports:
        scene.report(scene.victim)
    return scene.reports


def _freeze(scene):
    scene.freeze(scene.victim)


def _cut(scene):
    scene.hosts[scene.victim].cut = True


def _finished(scene):
    return any(
        item.state == 'done'
        for report in scene.reports
        for item in report.attempts
    )


STEPS = {
    'place': lambda s: any(
        hasattr(p.command, 'placements') for p in s.proposals
    ),
    'start': lambda s: s.orders('start'),
    'renew': lambda s: s.orders('renew'),
    'throttle': lambda s: s.orders('throttle'),
    'checkpoint': lambda s: s.orders('checkpoint'),
    'stop': lambda s: s.orders('stop'),
    'resume': lambda s: any(o.resume_from for o in s.orders('start')),
    'finish': _finished,
    'cancel': lambda s: s.orders('stop'),
}

FAULTS = {
    'report lost': lambda s: _report_of(s).clear(),
    'report doubled, late': lambda s: _hold(s, _report_of(s), keep=True),
    'report late': lambda s: _hold(s, _report_of(s), keep=False),
    'answer lost': lambda s: s.answers.clear(),
    'answer doubled, late': lambda s: _hold(s, s.answers, keep=True),
    'answer late': lambda s: _hold(s, s.answers, keep=False),
    'proposal refused': lambda s: s.reject(),
    'leader lost, proposals too': lambda s: s.elect(0),
    'leader lost, proposals agreed': lambda s: s.elect(99),
    'former leader answers': lambda s: s.elect(99),
    'worker killed': lambda s: s.kill(s.victim),
    'worker frozen beyond its lease': _freeze,
    'worker cut off and back': _cut,
}

# Only these end an attempt that may have run; after any other fault a billed
# job must come to its own end.
LEASE_FAULTS = frozenset(
    (
        'former leader answers',
        'worker killed',
        'worker frozen beyond its lease',
        'worker cut off and back',
    )
)

# Only an idempotent job is evicted, so a billed one never comes here.
NOT_BILLED = frozenset(('checkpoint', 'stop', 'resume'))


def run_cell(step, fault):
    """Returns the verdict of one cell of the matrix."""
    verdicts = []
    for idempotent in (True, False):
        if not idempotent and step in NOT_BILLED:
            continue
        scene = Scene(step, fault, idempotent)
        try:
            scene.play()
        except (AssertionError, errors.Error) as exc:
            return f'FAILED: {exc}'
        if not scene.reached:
            return 'not run'
        job = scene.part.jobs.get('a')
        if job is not None and job.state == 'parked':
            verdicts.append(job.reason)
    if verdicts:
        return f'proved; billed job parked as {verdicts[0]}'
    return 'proved'


def write_table(verdicts):
    """Writes the verdicts, by step and fault, into the page."""
    lines = ['| fault | ' + ' | '.join(STEPS) + ' |\n']
    lines.append('|---' * (len(STEPS) + 1) + '|\n')
    for fault in FAULTS:
        cells = [_short(verdicts[step, fault]) for step in STEPS]
        lines.append(f'| {fault} | ' + ' | '.join(cells) + ' |\n')
    text = PAGE.read_text(encoding='utf-8')
    head, _, rest = text.partition(BEGIN)
    tail = rest.partition(END)[2]
    page = head + BEGIN + ''.join(lines) + END + tail
    PAGE.write_text(page, encoding='utf-8')


def _short(verdict):
    if verdict.startswith('proved; billed job parked'):
        return 'proved (u)'
    return verdict.partition(':')[0]


def main():
    """Runs the matrix, prints failures and writes the table."""
    logging.disable(logging.CRITICAL)
    verdicts = {}
    for step in STEPS:
        for fault in FAULTS:
            verdicts[step, fault] = run_cell(step, fault)
            if not verdicts[step, fault].startswith('proved'):
                print(step, '|', fault, '|', verdicts[step, fault])
    write_table(verdicts)
    good = sum(v.startswith('proved') for v in verdicts.values())
    print(f'{good} of {len(verdicts)} cells proved')
    return 0 if good == len(verdicts) else 1


if __name__ == '__main__':
    sys.exit(main())
