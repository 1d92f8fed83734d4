"""Plays loads that exceed the capacity and checks what callers get.

They guard against callers that wait for results of no use, against refusals
of workflows that could have been served, and against refused workflows that
run.
"""

import logging
import unittest
from unittest import mock

from fuchsiatrestle.state import _workflows
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import workflows as records
from fuchsiatrestle import workflows
from fuchsiatrestle.workflows import _admission
from fuchsiatrestle.workflows import _load
from standins import worker_model
from tests.fakes import dispatch_world

WORKERS = 4
CORES = 32
TASK_MS = 1000
AGREEMENT_MS = 10  # from a call to its outcome
MAX_CALLS = 5
# Latest arrival of a copy of a request.
MAX_COPY_DELAY_MS = 4000
# Actual run times as multiples of the estimate.
RUN_TIME_FACTORS = (0.6, 0.8, 1.0, 1.2, 1.4)
URGENT, PATIENT = dispatch_world.PREFIX, dispatch_world.LOW_PRIORITY_PREFIX


class _Caller:
    """What one caller asked for and got; a call repeats if it is refused.

    Attributes:
        workflow_id: id of its workflow.
        prefix: prefix of the queue.
        spec: the ``WorkflowSpec``.
        outcomes: (submission in ms, status) of all copies of its calls, in
            the order in which they were agreed.
        return_times_ms: times at which it was told to come back.
        accepted_ms: submission of the accepted call, None before.
        completed_ms: time at which its workflow was seen as completed.
    """

    def __init__(self, workflow_id, prefix, spec):
        self.workflow_id = workflow_id
        self.prefix = prefix
        self.spec = spec
        self.outcomes = []
        self.return_times_ms = []
        self.accepted_ms = None
        self.completed_ms = None

    def is_served_within(self, factor):
        """True if it was served within a multiple of its objective."""
        if self.completed_ms is None:
            return False
        objective_ms = 1.5 * 2 * TASK_MS + 250
        return self.completed_ms - self.accepted_ms <= factor * objective_ms


class _Load:
    """Callers that submit workflows at a rate and honour Retry-After."""

    def __init__(self, refuses_overload=True, copy_share=0.0, seed=1):
        self.world = dispatch_world.World(
            seed,
            workers=WORKERS,
            cpu_milli=1000 * CORES // WORKERS,
            features=workflows.Features(refuses_overload=refuses_overload),
        )
        self.callers = []
        self._copy_share = copy_share

    def play(self, duration_ms, load_factor=0, prefix=URGENT, **shape):
        """Submits work at a multiple of what all workers can run."""
        end_ms = self.world.now_ms + duration_ms
        next_ms = float(self.world.now_ms)
        while self.world.now_ms < end_ms:
            if load_factor:
                caller = self.submit(prefix, **shape)
                task_count = sum(step.count for step in caller.spec.steps)
                next_ms += task_count * TASK_MS / (CORES * load_factor)
            else:
                next_ms += 50
            self.world.run(max(0, int(next_ms) - self.world.now_ms))
            self._find_completed()

    def _find_completed(self):
        for caller in self.callers:
            if caller.accepted_ms is None or caller.completed_ms is not None:
                continue
            if self.world.workflow_state(caller.workflow_id) == 'completed':
                caller.completed_ms = self.world.now_ms

    def submit(self, prefix=URGENT, tasks=4, cpu=1000, **fields):
        """Submits a workflow of two steps, the second one of one task."""
        steps = [
            records.Step(
                count,
                cpu=cpu,
                memory_mb=10,
                estimate_ms=TASK_MS,
                after=after,
                **fields,
            )
            for count, after in ((tasks, []), (1, [0]))
        ]
        spec = records.WorkflowSpec('', steps)
        caller = _Caller(f'j{len(self.callers)}', prefix, spec)
        self.callers.append(caller)
        factor = self.world.random.choice(RUN_TIME_FACTORS)
        self.world.profiles_by_workflow[caller.workflow_id] = [
            worker_model.TaskProfile(
                cpu,
                10,
                int(TASK_MS * factor),
                fills=fields.get('fills', False),
            )
        ] * 2
        self._call(caller)
        return caller

    def _call(self, caller):
        submission = self.make_submission(caller)
        self._deliver(caller, submission, True)
        if self.world.random.random() < self._copy_share:
            delay_ms = self.world.random.randint(0, MAX_COPY_DELAY_MS)
            self.world.call_later(
                delay_ms, self._deliver, caller, submission, False
            )

    def make_submission(self, caller):
        return commands.SubmitWorkflow(
            dispatch_world.HOST,
            caller.prefix + caller.workflow_id,
            caller.spec,
            dispatch_world.START_WALL_MS + self.world.now_ms,
        )

    def _deliver(self, caller, submission, is_awaited):
        """Delivers a copy of a call to the leader."""
        command = self.world.judge(submission)
        self.world.call_later(
            self.world.random.randint(1, AGREEMENT_MS),
            self._agree,
            caller,
            submission,
            command,
            is_awaited,
            self.world.led_since_ms,
        )

    def _agree(self, caller, submission, command, is_awaited, led_since_ms):
        is_lost = led_since_ms < self.world.led_since_ms
        if is_lost and self.world.random.random() < 0.5:
            self._deliver(caller, submission, is_awaited)
            return
        outcome = self.world.apply_agreed(command)
        status = 429 if outcome.reason else 200
        caller.outcomes.append((submission.submitted_ms, status))
        if status == 200:
            workflow = self.world.workflow_store.find_workflow(
                caller.workflow_id
            )
            caller.accepted_ms = (
                workflow.submitted_ms - dispatch_world.START_WALL_MS
            )
        elif is_awaited and len(caller.return_times_ms) + 1 < MAX_CALLS:
            caller.return_times_ms.append(
                self.world.now_ms + outcome.retry_after_ms
            )
            self.world.call_later(outcome.retry_after_ms, self._call, caller)

    def would_refuse(self, caller):
        """True if the leader would refuse a caller's workflow now."""
        command = self.world.judge(self.make_submission(caller))
        return isinstance(command, commands.RefuseWorkflow)

    def count_refused(self):
        """Returns how many callers got a refusal."""
        return sum(
            any(status == 429 for _, status in caller.outcomes)
            for caller in self.callers
        )


def _count_served(callers, factor):
    """Returns how many callers were served within objectives."""
    return sum(caller.is_served_within(factor) for caller in callers)


def _play_burst(load):
    load.play(20_000, 2.0)


def _play_spike(load):
    load.play(3000, 8.0)


def _play_loss(load):
    for name in ('w0', 'w1'):
        load.world.crash_worker(name, 60_000)
    load.play(30_000, 0.9)


def _play_leader_change(load):
    load.play(10_000, 2.0)
    load.world.start_leader()
    load.play(12_000, 2.0)
    load.world.restore_replicas()
    load.play(12_000, 2.0)


class AdmissionTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def _play(self, play_load, **options):
        load = _Load(**options)
        load.play(10_000, 0.7)
        play_load(load)
        load.play(30_000)
        self.assertEqual([], load.world.ledger.breaches)
        return load

    def test_more_callers_are_served_in_time(self):
        for play_load in (
            _play_burst,
            _play_spike,
            _play_loss,
            _play_leader_change,
        ):
            with self.subTest(play_load=play_load.__name__):
                load = self._play(play_load)
                usual = self._play(play_load, refuses_overload=False)
                for factor in (1, 3):
                    self.assertGreater(
                        _count_served(load.callers, factor),
                        2 * _count_served(usual.callers, factor),
                    )

    # Workflows that ended are kept whole, as their submissions are compared.
    @mock.patch.object(
        _workflows, 'DETAIL_RETENTION_MS', _workflows.ENDED_RETENTION_MS
    )
    def test_promises_hold_for_copies_in_any_order(self):
        for seed in range(2):
            load = self._play(_play_leader_change, copy_share=0.5, seed=seed)
            self.assertGreater(load.count_refused(), 0)
            for caller in load.callers:
                self._check_promises(load, caller)

    def _check_promises(self, load, caller):
        statuses = [status for _, status in caller.outcomes]
        if 200 in statuses:
            self.assertEqual({200}, set(statuses[statuses.index(200) :]))
        refused_ms = {ms for ms, status in caller.outcomes if status == 429}
        workflow = load.world.workflow_store.find_workflow(caller.workflow_id)
        if workflow is None:
            self.assertNotIn(200, statuses)
        else:
            self.assertNotIn(workflow.submitted_ms, refused_ms)

    def test_nothing_is_refused_without_a_shortage(self):
        load = self._play(lambda load: load.play(20_000, 0.9))
        self.assertEqual(0, load.count_refused())

    def test_callers_return_in_their_order_and_not_at_once(self):
        load = _Load()
        load.play(10_000, 0.7)
        load.play(10_000, 2.0)
        first_returns_ms = [
            caller.return_times_ms[0]
            for caller in load.callers
            if caller.return_times_ms
        ]
        self.assertGreater(len(first_returns_ms), 30)
        for earlier_ms, later_ms in zip(
            first_returns_ms, first_returns_ms[1:]
        ):
            # Retry-After has whole seconds.
            self.assertGreater(later_ms, earlier_ms - 1000)
        at_once = max(
            sum(ms <= other_ms < ms + 1000 for other_ms in first_returns_ms)
            for ms in first_returns_ms
        )
        self.assertLess(at_once, len(first_returns_ms) / 2)

    def _overload(self):
        """Returns a ``_Load`` under which workflows are refused."""
        load = _Load()
        load.play(10_000, 0.7)
        load.play(12_000, 2.0)
        return load

    def test_new_leader_refuses_nothing_before_it_has_measured(self):
        load = self._overload()
        caller = load.submit()
        self.assertTrue(load.would_refuse(caller))
        load.world.start_leader()
        load.play(_admission.MIN_LED_MS - 200, 2.0)
        self.assertFalse(load.would_refuse(load.submit()))
        load.play(3000, 2.0)
        self.assertTrue(load.would_refuse(load.submit()))

    def test_long_running_timed_and_unknown_work_is_never_refused(self):
        load = self._overload()
        step = records.Step(1, cpu=1000, memory_mb=10, estimate_ms=TASK_MS)
        timed = records.WorkflowSpec('', [step], 2, 0, 1000)
        lasting = records.WorkflowSpec('', [records.Step(1, 1000, lasts=True)])
        unestimated = records.WorkflowSpec('', [records.Step(1, 1000)])
        for spec in (timed, lasting, unestimated):
            caller = _Caller('other', URGENT, spec)
            self.assertFalse(load.would_refuse(caller))
        usual = _Caller('other', URGENT, records.WorkflowSpec('', [step]))
        self.assertTrue(load.would_refuse(usual))

    def test_best_effort_work_is_measured_apart(self):
        """Either kind may be short of room while the other is not.

        Refusals come and go, so a single submission tells little.
        """
        for seed in range(1, 5):
            with self.subTest(seed=seed):
                load = _Load(seed=seed)
                load.play(5000, 0.4)
                load.play(10_000, 2.0, fills=True, image='f')
                refused_before = load.count_refused()
                caller_count = len(load.callers)
                load.play(10_000, 2.0, fills=True, image='f')
                caller_count = len(load.callers) - caller_count
                refused_count = load.count_refused() - refused_before
                # Half of the work can not be served.
                self.assertGreater(refused_count, caller_count / 3)
                self.assertFalse(load.would_refuse(load.submit()))

    def test_nothing_is_refused_that_free_room_suffices_for(self):
        """Large tasks leave gaps on the workers that small ones can use."""
        load = _Load()
        load.play(20_000, 0.8, cpu=5000)
        self.assertTrue(load.would_refuse(load.submit(cpu=5000)))
        self.assertFalse(load.would_refuse(load.submit(tasks=1)))

    def test_queue_whose_work_is_not_estimated(self):
        """The judgement failed with a KeyError, which ends the leader."""
        load = _Load()
        load.play(10_000, 2.0)
        later = records.Step(1, 1000, 0, 0, TASK_MS, [0], label='b')
        spec = records.WorkflowSpec('', [records.Step(1, cpu=1000), later])
        for number in range(9):
            caller = _Caller(f'other{number}', PATIENT, spec)
            load.would_refuse(caller)
            load.world.run(150)

    def _play_two_queues(self):
        """Returns the callers of a queue of low priority beside another."""
        load = _Load()
        for _ in range(60):
            load.submit(PATIENT)
            load.play(500, 2.0)
        load.play(20_000)
        return [caller for caller in load.callers if caller.prefix == PATIENT]

    def test_each_queue_keeps_a_floor(self):
        """Nothing would be left for a queue of low priority."""
        served_count = _count_served(self._play_two_queues(), 3)
        with mock.patch.object(_admission, 'FLOOR_SHARE', 0.001):
            usual_count = _count_served(self._play_two_queues(), 3)
        self.assertGreater(served_count, 1.5 * usual_count)

    def test_urgent_queue_goes_before_one_that_overloads(self):
        load = _Load()
        for _ in range(40):
            for _ in range(4):
                load.submit(PATIENT)
            load.play(500, 0.8)
        load.play(20_000)
        urgent = [c for c in load.callers if c.prefix == URGENT]
        self.assertGreater(_count_served(urgent, 3), 0.9 * len(urgent))

    def _count_accepted_large(self):
        """Returns how many of 25 large workflows were accepted at once."""
        load = _Load()
        large_callers = []
        for _ in range(25):
            for _ in range(24):
                load.submit()
                load.play(80)
            large_callers.append(load.submit(tasks=20))
            load.play(80)
        return sum(caller.outcomes[0][1] == 200 for caller in large_callers)

    def test_large_workflows_have_a_share(self):
        accepted_count = self._count_accepted_large()
        with mock.patch.object(
            _load.SubmissionHistory, 'is_large', return_value=False
        ):
            usual_count = self._count_accepted_large()
        self.assertGreater(accepted_count, 1.5 * usual_count)


if __name__ == '__main__':
    unittest.main()
