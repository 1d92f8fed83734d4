"""Tests since when nothing of a step, or of one task, is executing."""

import random
import unittest

import msgspec

from fuchsiatrestle.state import commands
from fuchsiatrestle.state import machine
from fuchsiatrestle.state import workflows

HOST = 'shop.example'
SUBMITTED_MS = 100
RANDOM_SEED = 42
RANDOM_RUNS = 60
COMMANDS_PER_RANDOM_RUN = 80
# Lengths of the stored rows before they had times, with their tags.
OLD_WORKFLOW_ROW_LENGTH = 7
OLD_TASK_ROW_LENGTH = 9
# Position of the workflows in the snapshot of their part, and of the tasks in
# the row of a workflow.
WORKFLOWS_POSITION = 2
TASKS_POSITION = 6


def _make_task_id(index=0, step=0, occurrence=0):
    return workflows.TaskId('a', occurrence, step, index)


def _make_machine(*steps, **fields):
    """Returns a ``StateMachine`` with one submitted workflow."""
    state_machine = machine.StateMachine()
    queue = workflows.Queue(
        'quick', HOST, '/quick/', 'pool', 0, 1000, 1.5, 250, 3000
    )
    document = workflows.Document(1, [queue], [workflows.Pool('pool', False)])
    spec = workflows.WorkflowSpec('text', list(steps), **fields)
    for command in (
        commands.PutDocument(document, b'text'),
        commands.SubmitWorkflow(HOST, '/quick/a', spec, SUBMITTED_MS),
    ):
        _apply_command(state_machine, command)
    return state_machine


def _apply_command(state_machine, command):
    state_machine.apply(state_machine.applied_index + 1, command)


def _find_dates(state_machine):
    """Returns the times of all steps and tasks, by step or task id."""
    workflow = state_machine.workflows.find_workflow('a')
    dates = {
        task_id: workflow.task_idle_since_ms(task_id)
        for task_id in workflow.tasks
    }
    for occurrence in workflow.occurrences:
        for step_number in range(len(workflow.spec.steps)):
            dates[occurrence, step_number] = workflow.idle_since_ms(
                occurrence, step_number
            )
    return dates


def _remove_times(snapshot):
    """Returns a snapshot of the part as stored before it had the times."""
    fields = msgspec.msgpack.decode(snapshot)
    fields[WORKFLOWS_POSITION] = [
        [
            *row[:TASKS_POSITION],
            [
                task_row[:OLD_TASK_ROW_LENGTH]
                for task_row in row[TASKS_POSITION]
            ],
        ]
        for row in fields[WORKFLOWS_POSITION]
    ]
    for row in fields[WORKFLOWS_POSITION]:
        assert len(row) == OLD_WORKFLOW_ROW_LENGTH
    return msgspec.msgpack.encode(fields)


class IdleTimesTest(unittest.TestCase):
    def _submit(self, *steps, **fields):
        self.machine = _make_machine(*steps, **fields)
        self.workflow = self.machine.workflows.find_workflow('a')

    def _record(self, now_ms, **fields):
        _apply_command(
            self.machine, commands.RecordProgress(1, now_ms, **fields)
        )

    def _place(self, now_ms, run=1, task=None):
        live_run = workflows.LiveRun(
            task or _make_task_id(), run, 'w1', 5, now_ms
        )
        self._record(now_ms, placed=[live_run])

    def _end(self, now_ms, run=1, task=None, how='done'):
        run_end = commands.RunEnd(
            'w1', 5, 1, task or _make_task_id(), run, how, ''
        )
        self._record(now_ms, ends=[run_end])

    def _lose(self, now_ms, run=1, task=None, **fields):
        lost_run = commands.RunLost(
            task or _make_task_id(), run, '', 'lease_over', **fields
        )
        self._record(now_ms, lost=[lost_run])

    def _check(self, expected_ms, occurrence=0, step=0):
        self.assertEqual(
            expected_ms, self.workflow.idle_since_ms(occurrence, step)
        )

    def _check_task(self, expected_ms, task=None):
        self.assertEqual(
            expected_ms,
            self.workflow.task_idle_since_ms(task or _make_task_id()),
        )

    # Before the first run

    def test_first_step_is_idle_since_the_submission(self):
        self._submit(workflows.Step(2))
        self._record(5000)
        self._check(SUBMITTED_MS)
        self._check_task(SUBMITTED_MS)

    def test_occurrence_is_idle_since_its_due_time(self):
        self._submit(
            workflows.Step(1), occurrences=2, first_due_ms=50, interval_ms=70
        )
        self._check(SUBMITTED_MS)
        self._check(120, occurrence=1)
        self._check_task(120, _make_task_id(occurrence=1))

    def test_later_step_is_idle_since_the_last_step_before_it_was_done(self):
        self._submit(
            workflows.Step(2),
            workflows.Step(1),
            workflows.Step(1, after=[0, 1]),
        )
        tasks = _make_task_id(0), _make_task_id(1), _make_task_id(step=1)
        last_task = _make_task_id(step=2)
        for now_ms, task in zip((200, 300, 400), tasks):
            self._check(None, step=2)
            self._check_task(None, last_task)
            self._place(now_ms, task=task)
            self._end(now_ms + 50, task=task)
        self._check(450, step=2)
        self._check_task(450, last_task)

    def test_step_after_a_step_without_tasks_is_idle_since_submission(self):
        self._submit(workflows.Step(0), workflows.Step(1, after=[0]))
        self._check(SUBMITTED_MS, step=1)

    # Runs

    def test_step_is_idle_since_its_last_live_run_ended(self):
        self._submit(workflows.Step(3))
        for index in range(2):
            self._place(200, task=_make_task_id(index))
        self._check(None)
        self._end(300, task=_make_task_id(0), how='stopped')
        self._check(None)
        self._check_task(300, _make_task_id(0))
        self._check_task(None, _make_task_id(1))
        self._check_task(SUBMITTED_MS, _make_task_id(2))
        self._lose(400, task=_make_task_id(1))
        self._check(400)
        self._check_task(400, _make_task_id(1))

    def test_failed_run_ends_at_its_recorded_time(self):
        self._submit(workflows.Step(1, lasts=True))
        self._place(200)
        self._end(300, how='failed')
        self._check(300)
        self._check_task(300)

    def test_copy_of_a_run_counts_as_executing(self):
        self._submit(workflows.Step(2, copies=True))
        self._place(200, run=1)
        self._place(210, run=2)
        self._end(300, run=1, how='stopped')
        self._check(None)
        self._check_task(None)
        self._end(400, run=2, how='stopped')
        self._check(400)
        self._check_task(400)

    def test_members_of_a_gang_end_together(self):
        self._submit(
            workflows.Step(3, gang=True), workflows.Step(1, after=[0])
        )
        for index in range(3):
            self._place(200, task=_make_task_id(index))
        self._end(300, task=_make_task_id(1))
        self._check(None)
        self._check(300, step=1)

    def test_done_step_and_done_task_wait_for_nothing(self):
        self._submit(workflows.Step(2))
        self._place(200)
        self._end(300)
        self._check(300)
        self._check_task(None)
        self._place(400, task=_make_task_id(1))
        self._end(500, task=_make_task_id(1))
        self._check(None)

    def test_end_of_a_run_that_is_not_live_moves_no_date(self):
        self._submit(workflows.Step(1))
        self._place(200)
        self._lose(300)
        self._lose(400)
        self._end(500, how='stopped')
        self._check(300)
        self._check_task(300)

    # Runs that never ran

    def test_run_that_never_ran_does_not_end_a_wait(self):
        self._submit(workflows.Step(1))
        for run in range(1, 4):
            self._place(1000 * run, run)
            self._check(None)
            self._lose(1000 * run + 500, run, never_ran=True)
            self._check(SUBMITTED_MS)
            self._check_task(SUBMITTED_MS)

    def test_wait_goes_on_from_the_runs_beside_one_that_never_ran(self):
        self._submit(workflows.Step(2))
        other_task = _make_task_id(1)
        self._place(200)
        self._place(250, task=other_task)
        self._end(300, how='stopped')
        self._lose(400, task=other_task, never_ran=True)
        self._check(300)
        self._check_task(SUBMITTED_MS, other_task)

    def test_loss_in_an_old_log_counts_as_the_end_of_a_run(self):
        lost_run = commands.RunLost(_make_task_id(), 1, '', 'never_sent')
        command = commands.RecordProgress(1, 300, lost=[lost_run])
        fields = msgspec.msgpack.decode(commands.CODEC.encode(command))
        fields[5] = [row[:6] for row in fields[5]]
        decoded = commands.CODEC.decode(msgspec.msgpack.encode(fields))
        self.assertEqual(command, decoded)
        self._submit(workflows.Step(1))
        self._place(200)
        _apply_command(self.machine, decoded)
        self._check(300)

    # Clocks

    def test_leader_whose_clock_was_set_back_moves_no_date_back(self):
        self._submit(workflows.Step(1), workflows.Step(1, after=[0]))
        self._place(1000)
        self._end(2000, how='stopped')
        self._place(500, run=2)
        self._lose(600, run=2)
        self._check(2000)
        self._place(700, run=3)
        self._end(800, run=3)
        self._check(2000, step=1)

    # Snapshots

    def test_snapshot_without_times_falls_back_to_the_submission(self):
        self._submit(
            workflows.Step(1),
            workflows.Step(2, after=[0]),
            workflows.Step(1, after=[1]),
            occurrences=2,
            first_due_ms=50,
            interval_ms=70,
        )
        self._place(1000)
        self._end(2000)
        self._place(3000, task=_make_task_id(step=1))
        part = self.machine.workflows
        part.restore(_remove_times(part.snapshot()))
        self.workflow = part.find_workflow('a')
        self._check(None, step=1)
        self._check_task(None, _make_task_id(step=1))
        self._check_task(SUBMITTED_MS, _make_task_id(1, step=1))
        self._check(None, step=2)
        self._check(120, occurrence=1)
        self._lose(4000, task=_make_task_id(step=1))
        self._check(4000, step=1)


class _History:
    """All runs so far, from which each date is computed anew.

    Args:
        workflow: ``Workflow``, of which only the submission is used.
    """

    def __init__(self, workflow):
        self.spec = workflow.spec
        self.due_ms = workflow.spec.due_ms
        self.tasks = list(workflow.tasks)
        self.now_ms = 0
        # Time of the end by task id and run number; None for live runs.
        self.end_ms_by_run = {}
        self.done_ms_by_task = {}

    def record_command(self, command):
        """Records a ``RecordProgress``."""
        self.now_ms = max(self.now_ms, command.now_ms)
        for placement in command.placed:
            step = self.spec.steps[placement.task.step]
            max_live_runs = 2 if step.copies else 1
            if len(self._live_runs([placement.task])) < max_live_runs:
                self.end_ms_by_run[placement.task, placement.run] = None
        for lost_run in command.lost:
            run = lost_run.task, lost_run.run
            if lost_run.never_ran:
                del self.end_ms_by_run[run]
            else:
                self.end_ms_by_run[run] = self.now_ms
        for run_end in command.ends:
            self._record_end(run_end)

    def _record_end(self, run_end):
        ended_tasks = [run_end.task]
        if run_end.how == 'done':
            if self.spec.steps[run_end.task.step].gang:
                ended_tasks = self._step_tasks(
                    run_end.task.occurrence, run_end.task.step
                )
            for task_id in ended_tasks:
                self.done_ms_by_task.setdefault(task_id, self.now_ms)
        for task_id in ended_tasks:
            if self.end_ms_by_run.get((task_id, run_end.run), 0) is None:
                self.end_ms_by_run[task_id, run_end.run] = self.now_ms

    def find_dates(self):
        """Returns the expected result of ``_find_dates``."""
        dates = {
            task_id: self._find_date(task_id.occurrence, task_id.step, task_id)
            for task_id in self.tasks
        }
        for task_id in self.tasks:
            step_key = task_id.occurrence, task_id.step
            dates[step_key] = self._find_date(*step_key)
        return dates

    def _find_date(self, occurrence, step_number, task_id=None):
        tasks = self._step_tasks(occurrence, step_number)
        if task_id is not None:
            tasks = [task_id]
        earlier_tasks = [
            earlier_task
            for earlier_step_number in self.spec.steps[step_number].after
            for earlier_task in self._step_tasks(
                occurrence, earlier_step_number
            )
        ]
        if (
            self._live_runs(tasks)
            or all(task in self.done_ms_by_task for task in tasks)
            or any(task not in self.done_ms_by_task for task in earlier_tasks)
        ):
            return None
        return max(
            SUBMITTED_MS,
            self.due_ms(occurrence),
            *(self.done_ms_by_task[task] for task in earlier_tasks),
            *(
                end_ms
                for (task, _), end_ms in self.end_ms_by_run.items()
                if task in tasks
            ),
        )

    def _step_tasks(self, occurrence, step_number):
        return [
            task_id
            for task_id in self.tasks
            if (task_id.occurrence, task_id.step) == (occurrence, step_number)
        ]

    def _live_runs(self, tasks):
        return [
            run
            for run, end_ms in self.end_ms_by_run.items()
            if run[0] in tasks and end_ms is None
        ]


class RandomRunsTest(unittest.TestCase):
    """Two replicas with random commands; one is restored again and again."""

    def setUp(self):
        self.random = random.Random(RANDOM_SEED)

    def _make_replicas(self):
        steps = (
            workflows.Step(3),
            workflows.Step(2, after=[0], copies=True),
            workflows.Step(2, after=[0], gang=True),
            workflows.Step(1, after=[1, 2], lasts=True),
        )
        return [
            _make_machine(
                *steps, occurrences=2, first_due_ms=150, interval_ms=900
            )
            for _ in range(2)
        ]

    def _draw_command(self, workflow, now_ms, end_number):
        """Returns a ``RecordProgress`` with one placement, end or loss."""
        live_runs = workflow.live_runs()
        if not live_runs or self.random.random() < 0.45:
            waiting = [
                task_id
                for task_id, task in workflow.tasks.items()
                if not task.is_done
                and workflow.is_step_ready(task_id.occurrence, task_id.step)
            ]
            if not waiting:
                return commands.RecordProgress(1, now_ms)
            task_id = self.random.choice(waiting)
            number = workflow.tasks[task_id].last_run_number + 1
            live_run = workflows.LiveRun(task_id, number, 'w1', 5, now_ms)
            return commands.RecordProgress(1, now_ms, placed=[live_run])
        run = self.random.choice(live_runs)
        how = self.random.choice(
            ('done', 'failed', 'stopped', 'lapsed', 'lost', 'never_sent')
        )
        if how in ('lost', 'never_sent'):
            lost_run = commands.RunLost(
                run.task, run.run, '', how, never_ran=how == 'never_sent'
            )
            return commands.RecordProgress(1, now_ms, lost=[lost_run])
        run_end = commands.RunEnd(
            'w1', 5, end_number, run.task, run.run, how, ''
        )
        return commands.RecordProgress(1, now_ms, ends=[run_end])

    def test_replicas_and_restored_snapshots_agree_on_all_dates(self):
        never_ran_count = 0
        for _ in range(RANDOM_RUNS):
            first, second = self._make_replicas()
            workflow = first.workflows.find_workflow('a')
            history = _History(workflow)
            wall_ms = 200
            for end_number in range(1, COMMANDS_PER_RANDOM_RUN + 1):
                wall_ms += self.random.choice((-300, 0, 10, 200, 1000))
                command = self._draw_command(workflow, wall_ms, end_number)
                never_ran_count += any(run.never_ran for run in command.lost)
                decoded = commands.CODEC.decode(commands.CODEC.encode(command))
                _apply_command(first, command)
                _apply_command(second, decoded)
                if self.random.random() < 0.3:
                    snapshot = second.snapshot()
                    second = machine.StateMachine()
                    second.restore(snapshot)
                history.record_command(command)
                dates = _find_dates(first)
                self.assertEqual(history.find_dates(), dates)
                self.assertEqual(dates, _find_dates(second))
            self.assertEqual(first.snapshot(), second.snapshot())
        self.assertGreater(never_ran_count, RANDOM_RUNS)


if __name__ == '__main__':
    unittest.main()
