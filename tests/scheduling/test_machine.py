"""Random faults against the scheduler core.

The tests guard against attempts that run twice, in two places or over a
worker's capacity, and against jobs that never end, after lost or reordered
messages, worker failures and leader changes.
"""

import unittest
from unittest import mock

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from tests.scheduling import _faults
from tests.scheduling import _matrix
from tests.scheduling import _mutations

NAMES = strategies.sampled_from(('w0', 'w1', 'w2'))
PLACES = strategies.sampled_from((0, 1, -1))
SPANS_MS = strategies.sampled_from((50, 500, 2000, 13_000))


# Hypothesis derives its seed from the source of this class, docstrings and
# names included; only comments are left out.  Any other change of the class
# draws other cases.
class FaultMachine(stateful.RuleBasedStateMachine):
    """Draws operators, messages, faults and time."""

    def __init__(self):
        super().__init__()
        self.cell = _faults.FaultyCell()

    @stateful.rule(
        cpu_milli=strategies.sampled_from((500, 2000, 4000)),
        idempotent=strategies.booleans(),
        urgent=strategies.booleans(),
        command=strategies.sampled_from(_faults.COMMANDS),
    )
    def submit(self, **values):
        """Submits a job."""
        self.cell.submit(**values)

    @stateful.rule(number=strategies.integers(0, 9))
    def cancel(self, number):
        """Cancels a job, known or not."""
        self.cell.cancel(f'j{number}')

    @stateful.rule(name=NAMES)
    def report(self, name):
        """Lets a worker send a report."""
        self.cell.report(name)

    @stateful.rule(position=PLACES, keep=strategies.booleans())
    def deliver_report(self, position, keep):
        """Brings a report to the leader."""
        self.cell.deliver_report(position, keep)

    @stateful.rule(position=PLACES)
    def deliver_to_zombie(self, position):
        """Brings a report to the former leader."""
        self.cell.deliver_to_zombie(position)

    @stateful.rule(position=PLACES, keep=strategies.booleans())
    def deliver_answer(self, position, keep):
        """Brings an answer to its worker."""
        self.cell.deliver_answer(position, keep)

    @stateful.rule()
    def lose(self):
        """Loses a message."""
        self.cell.lose(self.cell.reports)
        self.cell.lose(self.cell.answers)

    @stateful.rule(count=strategies.integers(1, 3))
    def agree(self, count):
        """Agrees the oldest proposals."""
        self.cell.agree(count)

    @stateful.rule()
    def reject(self):
        """Refuses the newest proposal."""
        self.cell.reject()

    @stateful.rule(survive=strategies.integers(0, 2))
    def elect(self, survive):
        """Replaces the leader."""
        self.cell.elect(survive)

    @stateful.rule(
        name=NAMES, fault=strategies.sampled_from(('kill', 'freeze', 'thaw'))
    )
    def break_worker(self, name, fault):
        """Kills, freezes or thaws a worker."""
        getattr(self.cell, fault)(name)

    @stateful.rule(name=NAMES)
    def cut(self, name):
        """Cuts a worker off, or heals the cut."""
        host = self.cell.hosts[name]
        host.cut = not host.cut

    @stateful.rule(name=NAMES)
    def leave(self, name):
        """Makes a worker leave, or stay after all."""
        agent = self.cell.hosts[name].agent
        agent.leaving = not agent.leaving

    @stateful.rule(span_ms=SPANS_MS)
    def pass_time(self, span_ms):
        """Moves the clocks."""
        self.cell.pass_time(span_ms)

    @stateful.invariant()
    def nothing_wrong(self):
        """Nothing runs twice, nothing is over capacity."""
        self.cell.check()
        self.cell.part.verify()

    def teardown(self):
        """Every job comes to an end once the faults are over."""
        self.cell.settle()


FaultMachine.TestCase.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=60
)


class FaultMachineTest(FaultMachine.TestCase):
    """Runs the machine."""


class RandomActionsTest(unittest.TestCase):
    """Longer runs of random actions with fixed seeds."""

    def test_seeds(self):
        """Sixty seeds of 400 actions violate no invariant."""
        for seed in range(60):
            with self.subTest(seed=seed):
                _faults.run_random_actions(seed, 400)


class MutationTest(unittest.TestCase):
    """The random fault run detects each mechanism that is disabled."""

    def test_each_mechanism_is_needed(self):
        """Each mutation fails with the seed that it names."""
        for mutation in _mutations.MUTATIONS:
            with self.subTest(mutation=mutation.name):
                found = _mutations.find_failure(mutation, mutation.seed)
                self.assertNotEqual('', found)

    def test_unconfirmed_leader_is_seen(self):
        """The matrix detects a former leader whose answers get through."""
        unfiltered_orders = mock.patch.object(
            _faults.FaultyCell, 'filter_confirmed', lambda self, orders: orders
        )
        with unfiltered_orders:
            verdict = _matrix.run_case('renew', 'former leader answers')
        self.assertIn('two places', verdict)


class MatrixTest(unittest.TestCase):
    """Each fault at each step of an attempt."""

    def test_matrix(self):
        """Each case is proved; only lease faults may park a billed job."""
        for step in _matrix.STEPS:
            for fault in _matrix.FAULTS:
                with self.subTest(step=step, fault=fault):
                    verdict = _matrix.run_case(step, fault)
                    if fault in _matrix.LEASE_FAULTS:
                        self.assertRegex(verdict, '^proved')
                    else:
                        self.assertEqual('proved', verdict)
