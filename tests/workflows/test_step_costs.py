"""Tests that no step of the leader grows with what one caller hands in.

They guard against a leader that stands still for longer than the election
timeout: with one scheduled workflow of 20,000 occurrences, each new leader did
so right after its election.  The cost of a step is the number of lines and
calls of Python that it executes, which does not depend on the machine.
"""

import logging
import sys
import unittest

from fuchsiatrestle import messages
from fuchsiatrestle.platform import _documents
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import machine
from fuchsiatrestle.state import workflows as records
from fuchsiatrestle import workflows

HOST = 'h.example'
WALL_MS = 1_700_000_000_000
HOUR_MS = 3_600_000
QUEUE = records.Queue('q', HOST, '/q/', 'pool', 1, 2, 1.5, 250, 3000)
DOCUMENT = records.Document(1, [QUEUE], [records.Pool('pool', False)])
FEATURES = workflows.Features(
    refuses_overload=True, learns_run_times=True, copies_stragglers=True
)
WORKERS = 4
ROUNDS = 3
CHAIN_STEPS = 20
# Most that a step with ten times as much in a workflow may cost more.
MAX_GROWTH = 1.5
# Steps that cost less than this do not count.
NEGLIGIBLE_COST = 5000
SMALL = _documents.MAX_TASKS // 10
LARGE = _documents.MAX_TASKS


def _make_step(count=1, **fields):
    fields.setdefault('cpu', 1000)
    return records.Step(count, memory_mb=10, estimate_ms=500, **fields)


def _make_repeated_spec(steps, occurrences, first_due_ms, interval_ms=0):
    return records.WorkflowSpec(
        'text', steps, occurrences, first_due_ms, interval_ms
    )


def _make_chain(step_count):
    return [
        _make_step(after=list(range(number))) for number in range(step_count)
    ]


# Functions that return a spec with so many tasks.
SHAPES = {
    'due later': lambda size: _make_repeated_spec(
        [_make_step()], size, WALL_MS + HOUR_MS, 60_000
    ),
    'due at once': lambda size: _make_repeated_spec(
        [_make_step()], size, WALL_MS - HOUR_MS
    ),
    'many steps due at once': lambda size: _make_repeated_spec(
        [_make_step() for _ in range(_documents.MAX_STEPS)],
        size // _documents.MAX_STEPS,
        WALL_MS - HOUR_MS,
    ),
    'chains due at once': lambda size: _make_repeated_spec(
        _make_chain(CHAIN_STEPS), size // CHAIN_STEPS, WALL_MS - HOUR_MS
    ),
    'tasks': lambda size: records.WorkflowSpec('', [_make_step(size)]),
    'long-running tasks': lambda size: records.WorkflowSpec(
        '', [_make_step(size, lasts=True)]
    ),
    'best-effort tasks': lambda size: records.WorkflowSpec(
        '', [_make_step(size, fills=True, image='i')]
    ),
    'tasks without needs': lambda size: records.WorkflowSpec(
        '', [records.Step(size)]
    ),
}


class _Leader:
    """A leader whose steps are measured.

    Attributes:
        costs: cost of the dearest step of each kind, by its name.
    """

    def __init__(self, specs):
        self.costs = {}
        self.state = machine.StateMachine()
        self.apply(commands.PutDocument(DOCUMENT, b''))
        for number, spec in enumerate(specs):
            self.apply(
                commands.SubmitWorkflow(HOST, f'/q/w{number}', spec, WALL_MS)
            )
        self.now_ms = 0
        self._last_end_number = 0
        self.core = self.measure(
            'takeover',
            workflows.Dispatcher,
            self.state.workflows,
            1,
            workflows.Timing(),
            0,
            features=FEATURES,
        )

    def measure(self, name, function, *args, **kwargs):
        """Calls a function, records its cost and returns its result."""
        cost = 0

        def trace(frame, event, argument):
            nonlocal cost
            cost += 1
            return trace

        sys.settrace(trace)
        try:
            outcome = function(*args, **kwargs)
        finally:
            sys.settrace(None)
        self.costs[name] = max(cost, self.costs.get(name, 0))
        return outcome

    def apply(self, command):
        """Applies a command, without passing it to the dispatcher."""
        name = f'apply {type(command).__name__}'
        index = self.state.applied_index + 1
        return self.measure(name, self.state.apply, index, command)

    def step(self, event):
        """Passes an event to the dispatcher and agrees on its proposals."""
        name = type(event).__name__
        if isinstance(event, workflows.CommandApplied):
            name = type(event.command).__name__
        effects = self.measure(name, self.core.step, event, self.now_ms)
        for effect in effects:
            if isinstance(effect, workflows.Propose):
                self.agree(effect.command)

    def agree(self, command):
        """Applies a command and passes it to the dispatcher."""
        self.apply(command)
        self.step(workflows.CommandApplied(command))

    def tick(self):
        """Passes 100 ms."""
        self.now_ms += 100
        self.step(workflows.Tick(WALL_MS + self.now_ms))

    def announce_workers(self):
        """Passes an announcement of each worker."""
        for number in range(WORKERS):
            announcement = messages.WorkerAnnouncement(
                f'w{number}',
                5,
                self.now_ms,
                f'10.0.0.{number + 1}:80',
                'pool',
                'dc',
                'ready',
                16000,
                32768,
                0,
                ['a', 'r1'],
                1000 + self.now_ms,
            )
            self.step(workflows.WorkerAnnounced(announcement))

    def end_runs(self, how, max_count=None):
        """Ends so many runs at once, all by default, and returns the number.

        Their workers have listed the ends, but no poll is played.
        """
        live_runs = self.state.workflows.live_runs()[:max_count]
        ends = []
        for live_run in live_runs:
            self._last_end_number += 1
            ends.append(
                commands.RunEnd(
                    live_run.worker,
                    5,
                    self._last_end_number,
                    live_run.task,
                    live_run.run,
                    how,
                    '',
                )
            )
            worker = self.core._state.fleet.get(live_run.worker)
            worker.remove_run((live_run.task, live_run.run))
        self.agree(commands.RecordProgress(0, WALL_MS + self.now_ms, [], ends))
        return len(live_runs)

    def play(self):
        """Measures steps of all kinds."""
        self.tick()
        for _ in range(ROUNDS):
            self.announce_workers()
            self.tick()
        self.end_runs('done', 40)
        self.tick()
        self.end_runs('failed', 10)
        self.tick()
        submission = commands.SubmitWorkflow(
            HOST,
            '/q/other',
            records.WorkflowSpec('', [_make_step()]),
            WALL_MS,
        )
        self.measure('judge', self.core.find_refusal, submission, self.now_ms)
        self.measure('snapshot', self.state.snapshot)
        self.measure(
            'next takeover',
            workflows.Dispatcher,
            self.state.workflows,
            2,
            workflows.Timing(),
            self.now_ms,
            features=FEATURES,
        )
        self.agree(commands.CancelWorkflow(HOST, '/q/w0', WALL_MS))


class StepCostTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def _play(self, specs):
        leader = _Leader(specs)
        leader.play()
        return leader.costs

    def _assert_bounded(self, costs, base_costs, max_growth):
        for name, cost in costs.items():
            base_cost = max(NEGLIGIBLE_COST, base_costs.get(name, 0))
            with self.subTest(step=name):
                self.assertLess(cost, max_growth * base_cost)

    def test_steps_do_not_grow_with_the_tasks_of_a_workflow(self):
        for name, make_spec in SHAPES.items():
            with self.subTest(shape=name):
                self._assert_bounded(
                    self._play([make_spec(LARGE)]),
                    self._play([make_spec(SMALL)]),
                    MAX_GROWTH,
                )

    def test_steps_grow_no_faster_than_the_number_of_workflows(self):
        for name in ('due at once', 'many steps due at once', 'tasks'):
            spec = SHAPES[name](LARGE)
            with self.subTest(shape=name):
                self._assert_bounded(
                    self._play([spec] * 8),
                    self._play([spec] * 2),
                    4 * MAX_GROWTH,
                )

    def test_end_in_the_longest_chain_costs_little(self):
        """Each end looked at all steps and all that they depend on."""
        costs = [
            self._play(
                [
                    _make_repeated_spec(
                        _make_chain(step_count), 100, WALL_MS - HOUR_MS
                    )
                ]
            )
            for step_count in (CHAIN_STEPS, _documents.MAX_STEPS)
        ]
        # A submission costs as much as it has dependencies.
        dependency_count = (
            _documents.MAX_STEPS * (_documents.MAX_STEPS - 1) / 2
        )
        submit_cost = costs[1].pop('apply SubmitWorkflow')
        self.assertLess(submit_cost, 5 * dependency_count)
        growth = _documents.MAX_STEPS / CHAIN_STEPS
        self._assert_bounded(costs[1], costs[0], growth * MAX_GROWTH)

    def test_gang_grows_no_faster_than_its_members(self):
        """The end of one member is that of all, which were looked at each."""
        costs = [
            self._play([records.WorkflowSpec('', [_make_gang(count)])])
            for count in (
                _documents.MAX_GANG_TASKS // 10,
                _documents.MAX_GANG_TASKS,
            )
        ]
        self._assert_bounded(costs[1], costs[0], 10 * MAX_GROWTH)


def _make_gang(count):
    return records.Step(count, estimate_ms=500, gang=True)


class WindowTest(unittest.TestCase):
    """What is not tried in a round must get its turn."""

    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def _find_placed(self, spec):
        leader = _Leader([spec])
        for _ in range(ROUNDS):
            leader.announce_workers()
            leader.tick()
        return {
            (live_run.task.occurrence, live_run.task.step)
            for live_run in leader.state.workflows.live_runs()
        }

    def test_steps_that_fit_no_worker_keep_no_other_from_being_tried(self):
        too_large = _make_step(cpu=99_000)
        steps = [too_large] * (_documents.MAX_STEPS - 1) + [_make_step()]
        placed = self._find_placed(records.WorkflowSpec('', steps))
        self.assertEqual({(0, _documents.MAX_STEPS - 1)}, placed)

    def test_steps_that_wait_in_all_occurrences_keep_no_other_waiting(self):
        """The second step of each occurrence never finds a worker."""
        steps = [_make_step(), _make_step(cpu=99_000, after=[0])]
        occurrences = 1000
        spec = _make_repeated_spec(steps, occurrences, WALL_MS - HOUR_MS)
        leader = _Leader([spec])
        leader.announce_workers()
        workflow = leader.state.workflows.find_workflow('w0')
        done_count = 0
        while done_count < occurrences:
            leader.tick()
            leader.announce_workers()
            ended_count = leader.end_runs('done')
            self.assertTrue(ended_count)
            done_count += ended_count
        self.assertTrue(workflow.is_step_done(occurrences - 1, 0))

    def test_occurrences_start_when_they_are_due(self):
        spec = _make_repeated_spec([_make_step()], 3, WALL_MS + 150, 200)
        leader = _Leader([spec])
        leader.announce_workers()
        placed_counts = []
        for _ in range(6):
            leader.tick()
            leader.announce_workers()
            placed_counts.append(len(leader.state.workflows.live_runs()))
        self.assertEqual([0, 1, 1, 2, 2, 3], placed_counts)


if __name__ == '__main__':
    unittest.main()
