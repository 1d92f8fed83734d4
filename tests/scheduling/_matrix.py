"""Fault matrix of the scheduler: each fault at each step of an attempt.

``python -m tests.scheduling._matrix`` runs it and writes the table into
``docs/SCHEDULING.md``.
"""

import logging
import pathlib
import sys

from fuchsiatrestle import errors
from tests.scheduling import _faults

__all__ = ('FAULTS', 'LEASE_FAULTS', 'STEPS', 'run_case')

REPORT_PAGE = (
    pathlib.Path(__file__).resolve().parents[2] / 'docs/SCHEDULING.md'
)
TABLE_BEGIN = '<!-- fault matrix: begin -->\n'
TABLE_END = '<!-- fault matrix: end -->\n'

# Time that passes in one turn.
TURN_MS = 250
REPORT_INTERVAL_MS = 1000
FAULT_DURATION_MS = 15_000
MAX_TURNS = 400


class Scenario(_faults.FaultyCell):
    """One job on three workers, with one fault at one step.

    Args:
        step: name of the step.
        fault: name of the fault.
        idempotent: False for a billed job, which must not run twice.

    Attributes:
        fault_injected: True once the fault was injected.
        faulty_worker: worker that the fault concerns, None before.
        heal_ms: time at which the fault ends, None before.
        delayed_messages: reports and answers that are held until the fault
            ends.
    """

    def __init__(self, step, fault, idempotent):
        super().__init__(0, workers=3)
        self.step = step
        self.fault = fault
        self.fault_injected = False
        self.faulty_worker = None
        self.heal_ms = None
        self.delayed_messages = []
        self._last_report_ms_by_worker = {}
        for host in self.hosts.values():
            host.agent.options.service = 'quotes'
            if step == 'checkpoint':
                # A periodic checkpoint could come before the ordered one.
                host.agent.options.checkpoint_ms = 600_000
        self.idempotent = idempotent

    # Run

    def run_scenario(self):
        """Runs the scenario.

        Raises:
            Breach: the ledger violates an invariant.
        """
        for _ in range(16):
            self._run_turn()
        command = 'sleep 60000'
        if self.step == 'finish':
            command = 'sleep 1500'
        self.submit(job_id='a', command=command, idempotent=self.idempotent)
        for _ in range(MAX_TURNS):
            self._force_step()
            self._run_turn()
            if self.fault_injected and self.now_ms > self.heal_ms + 5_000:
                break
        self.settle(lost_worker='')

    def _run_turn(self):
        self.pass_time(TURN_MS)
        self._heal_faults()
        for name, host in self.hosts.items():
            is_due = (
                self.now_ms - self._last_report_ms_by_worker.get(name, 0)
                >= REPORT_INTERVAL_MS
            )
            if is_due or host.agent.has_unreported_change:
                self._last_report_ms_by_worker[name] = self.now_ms
                self.report(name)
        self._inject_fault_at_step()
        while self.reports:
            if self._goes_to_former_leader(self.reports[0].worker):
                self.deliver_to_zombie(0)
            else:
                self.deliver_report()
        self._inject_fault_at_step()
        self.agree(len(self.proposals))
        self._inject_fault_at_step()
        for _ in range(len(self.answers)):
            self.deliver_answer()
        self.check()

    def _goes_to_former_leader(self, worker):
        return (
            self.fault == 'former leader answers'
            and worker == self.faulty_worker
            and self.now_ms < self.heal_ms
        )

    def _force_step(self):
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

    def _inject_fault_at_step(self):
        if not self.fault_injected and STEPS[self.step](self):
            self.fault_injected = True
            self.faulty_worker = self.victim
            self.heal_ms = self.now_ms + FAULT_DURATION_MS
            FAULTS[self.fault](self)

    def orders(self, kind):
        """Returns the undelivered orders of a kind that concern the job."""
        return [
            order
            for answer in self.answers
            for order in answer.orders
            if order.kind == kind and order.job_id in ('', 'a')
        ]

    @property
    def victim(self):
        """The worker that runs the job, or that a placement names next."""
        job = self.part.jobs.get('a')
        name = job.worker if job is not None else ''
        for proposal in self.proposals:
            for placement in getattr(proposal.command, 'placements', ()):
                name = placement.worker
        return name or 'w1'

    # Faults

    def _heal_faults(self):
        if self.heal_ms is None or self.now_ms < self.heal_ms:
            return
        for name, host in self.hosts.items():
            host.cut = False
            if host.frozen:
                self.thaw(name)
        self.reports.extend(self.pop_delayed_reports())
        self.answers.extend(self.pop_delayed_answers())

    def pop_delayed_reports(self):
        """Removes and returns the delayed reports."""
        delayed = [
            item for item in self.delayed_messages if hasattr(item, 'capacity')
        ]
        self.delayed_messages = [
            item for item in self.delayed_messages if item not in delayed
        ]
        return delayed

    def pop_delayed_answers(self):
        """Removes and returns the delayed answers."""
        delayed, self.delayed_messages = self.delayed_messages, []
        return delayed


def _delay_messages(scenario, items, keep_originals):
    scenario.delayed_messages.extend(items)
    if not keep_originals:
        items.clear()


def _reports_in_transit(scenario):
    # If no report is undelivered at this step, the next one is made now.
    if not scenario.reports:
        scenario.report(scenario.victim)
    return scenario.reports


def _freeze_worker(scenario):
    scenario.freeze(scenario.victim)


def _cut_worker_off(scenario):
    scenario.hosts[scenario.victim].cut = True


def _is_done_reported(scenario):
    return any(
        item.state == 'done'
        for report in scenario.reports
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
    'finish': _is_done_reported,
    'cancel': lambda s: s.orders('stop'),
}

FAULTS = {
    'report lost': lambda s: _reports_in_transit(s).clear(),
    'report doubled, late': lambda s: _delay_messages(
        s, _reports_in_transit(s), keep_originals=True
    ),
    'report late': lambda s: _delay_messages(
        s, _reports_in_transit(s), keep_originals=False
    ),
    'answer lost': lambda s: s.answers.clear(),
    'answer doubled, late': lambda s: _delay_messages(
        s, s.answers, keep_originals=True
    ),
    'answer late': lambda s: _delay_messages(
        s, s.answers, keep_originals=False
    ),
    'proposal refused': lambda s: s.reject(),
    'leader lost, proposals too': lambda s: s.elect(0),
    'leader lost, proposals agreed': lambda s: s.elect(99),
    'former leader answers': lambda s: s.elect(99),
    'worker killed': lambda s: s.kill(s.victim),
    'worker frozen beyond its lease': _freeze_worker,
    'worker cut off and back': _cut_worker_off,
}

# Only these may end an attempt that may have run.  After any other fault a
# billed job must end by itself and not be parked.
LEASE_FAULTS = frozenset(
    (
        'former leader answers',
        'worker killed',
        'worker frozen beyond its lease',
        'worker cut off and back',
    )
)

# Steps of an eviction.  A billed job is never evicted, so it doesn't get here.
STEPS_NOT_BILLED = frozenset(('checkpoint', 'stop', 'resume'))


def run_case(step, fault):
    """Runs one case of the matrix, with either kind of job.

    Returns:
        A verdict that starts with ``proved``, ``FAILED`` or ``not run``.
    """
    parking_reasons = []
    for idempotent in (True, False):
        if not idempotent and step in STEPS_NOT_BILLED:
            continue
        scenario = Scenario(step, fault, idempotent)
        try:
            scenario.run_scenario()
        except (AssertionError, errors.Error) as exc:
            return f'FAILED: {exc}'
        if not scenario.fault_injected:
            return 'not run'
        job = scenario.part.jobs.get('a')
        if job is not None and job.state == 'parked':
            parking_reasons.append(job.reason)
    if parking_reasons:
        return f'proved; billed job parked as {parking_reasons[0]}'
    return 'proved'


def write_table(verdicts):
    """Writes the table of verdicts into the documentation page.

    Args:
        verdicts: verdict by (step, fault).
    """
    lines = ['| fault | ' + ' | '.join(STEPS) + ' |\n']
    lines.append('|---' * (len(STEPS) + 1) + '|\n')
    for fault in FAULTS:
        verdict_cells = [
            _short_verdict(verdicts[step, fault]) for step in STEPS
        ]
        lines.append(f'| {fault} | ' + ' | '.join(verdict_cells) + ' |\n')
    text = REPORT_PAGE.read_text(encoding='utf-8')
    head, _, rest = text.partition(TABLE_BEGIN)
    tail = rest.partition(TABLE_END)[2]
    page = head + TABLE_BEGIN + ''.join(lines) + TABLE_END + tail
    REPORT_PAGE.write_text(page, encoding='utf-8')


def _short_verdict(verdict):
    if verdict.startswith('proved; billed job parked'):
        return 'proved (u)'
    return verdict.partition(':')[0]


def main():
    """Runs all cases, prints failures and writes the table.

    Returns:
        Exit status 1 if any case is not proved.
    """
    logging.disable(logging.CRITICAL)
    verdicts = {}
    for step in STEPS:
        for fault in FAULTS:
            verdicts[step, fault] = run_case(step, fault)
            if not verdicts[step, fault].startswith('proved'):
                print(step, '|', fault, '|', verdicts[step, fault])
    write_table(verdicts)
    proved_count = sum(v.startswith('proved') for v in verdicts.values())
    print(f'{proved_count} of {len(verdicts)} cells proved')
    return 0 if proved_count == len(verdicts) else 1


if __name__ == '__main__':
    sys.exit(main())
