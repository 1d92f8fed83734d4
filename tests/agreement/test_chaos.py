"""Random faults chosen by Hypothesis, with three and five replicas."""

import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from tests.agreement import chaos
from tests.agreement import cluster

NUMBERS = strategies.integers(0, (1 << 16) - 1)


class ChaosMachine(stateful.RuleBasedStateMachine):
    """State machine of three replicas, with the acts of ``chaos`` as rules."""

    names = ('c1', 'c2', 'c3')

    def __init__(self):
        super().__init__()
        self.cluster = cluster.Cluster(self.names, seed=1)

    @stateful.initialize(duration_ms=strategies.integers(0, 3_000))
    def found(self, duration_ms):
        """Runs long enough to found the group, or stops before."""
        self.cluster.run(duration_ms)

    @stateful.invariant()
    def logs_match(self):
        """Checks that entries of equal index and term are equal."""
        self.cluster.check_logs()

    def teardown(self):
        """Requires that the group recovers when the faults are over."""
        self.cluster.require_recovered()


def _make_rule(name):
    def act(self, a, b):
        chaos.carry_out_act(self.cluster, name, a, b)

    act.__name__ = name
    act.__doc__ = f'Carries out ``{name}``.'
    return stateful.rule(a=NUMBERS, b=NUMBERS)(act)


for _name in chaos.ACTS:
    setattr(ChaosMachine, _name, _make_rule(_name))


class FiveChaosMachine(ChaosMachine):
    """State machine of five replicas."""

    names = ('c1', 'c2', 'c3', 'c4', 'c5')


# Shrinking is left out: it takes minutes for state machines this long.
SETTINGS = hypothesis.settings(
    phases=(hypothesis.Phase.explicit, hypothesis.Phase.generate),
    max_examples=60,
    stateful_step_count=60,
    suppress_health_check=list(hypothesis.HealthCheck),
)


class ChaosTest(unittest.TestCase):
    """Guards against invariant breaches after rare sequences of faults."""

    def test_three_replicas(self):
        stateful.run_state_machine_as_test(ChaosMachine, settings=SETTINGS)

    def test_five_replicas(self):
        stateful.run_state_machine_as_test(FiveChaosMachine, settings=SETTINGS)


if __name__ == '__main__':
    unittest.main()
