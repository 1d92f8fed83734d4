"""Tests of the workflows and documents parts of the agreed state."""

import unittest

import msgspec

from fuchsiatrestle import errors
from fuchsiatrestle.state import _workflows
from fuchsiatrestle.state import _workflows_model
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import machine
from fuchsiatrestle.state import outcomes
from fuchsiatrestle.state import queries
from fuchsiatrestle.state import workflows

HOST = 'shop.example'
WORKER = workflows.WorkerRecord(
    'w1', 5, '10.0.0.1:80', 'pool', 'dc', 8000, 8000, 0, ['a', 'r1']
)


def _make_queue(name='quick', prefix='/quick/', failures=2):
    return workflows.Queue(
        name, HOST, prefix, 'pool', 0, failures, 1.5, 250, 3000
    )


def _make_document_command(version, *queues):
    pools = [workflows.Pool('pool', False)]
    return commands.PutDocument(
        workflows.Document(version, list(queues), pools), b'text%d' % version
    )


def _make_task_id(index=0, step=0, occurrence=0, name='a'):
    return workflows.TaskId(name, occurrence, step, index)


class WorkflowsTest(unittest.TestCase):
    def setUp(self):
        self.machine = machine.StateMachine()
        self.part = self.machine.workflows
        self.last_end_number = 0
        self._apply_command(_make_document_command(1, _make_queue()))
        self._apply_command(commands.RecordProgress(1, 10, workers=[WORKER]))

    def _apply_command(self, command):
        return self.machine.apply(self.machine.applied_index + 1, command)

    def _submit_workflow(self, *steps, name='a', **fields):
        spec = workflows.WorkflowSpec('text', list(steps), **fields)
        return self._apply_command(
            commands.SubmitWorkflow(HOST, f'/quick/{name}', spec, 10)
        )

    def _place_run(self, task, run=1, worker='w1'):
        live_run = workflows.LiveRun(task, run, worker, 5)
        self._apply_command(commands.RecordProgress(1, 10, placed=[live_run]))

    def _begin_workflow(self, name='a'):
        self._apply_command(commands.RecordProgress(1, 10, begun=[name]))

    def _end_run(self, task, run=1, how='done', checkpoint='', number=None):
        self.last_end_number = number or self.last_end_number + 1
        run_end = commands.RunEnd(
            'w1', 5, self.last_end_number, task, run, how, checkpoint
        )
        self._apply_command(commands.RecordProgress(1, 10, ends=[run_end]))

    def _lose_run(self, run, start_outcome, task=None):
        lost_run = commands.RunLost(
            task or _make_task_id(), run, '', 'lease_over', start_outcome
        )
        self._apply_command(commands.RecordProgress(1, 10, lost=[lost_run]))

    def _crash_workers(self, runs, worker=None):
        """Places runs of the first task that crash their workers.

        Args:
            runs: their numbers.
            worker: id of the worker; by default each run has its own.
        """
        for run in runs:
            self._place_run(_make_task_id(), run, worker or f'w{run}')
            self._lose_run(run, commands.StartOutcome.CRASHED)

    def _look_up(self, path):
        return self.machine.query(queries.LookUpPath(HOST, path))

    def _workflow_state(self, name='a'):
        return self._look_up(f'/quick/{name}').state

    # Submission

    def test_run_of_a_later_process_is_kept_with_that_process(self):
        """A new leader would take it for a run of the ended process."""
        self._submit_workflow(workflows.Step(1))
        task = _make_task_id()
        self._place_run(task)
        moved_run = workflows.LiveRun(task, 1, 'w1', 6)
        unknown_run = workflows.LiveRun(task, 2, 'w1', 6)
        self._apply_command(
            commands.RecordProgress(2, 10, moved=[moved_run, unknown_run])
        )
        self.assertEqual([moved_run], self.part.live_runs())

    def test_resend_is_the_same_workflow(self):
        step = workflows.Step(1)
        first = self._submit_workflow(step)
        self._place_run(_make_task_id())
        placed = self._submit_workflow(step)
        self._begin_workflow()
        again = self._submit_workflow(step)
        self.assertEqual('queued', first.state)
        self.assertEqual('queued', placed.state)
        self.assertEqual('running', again.state)
        self._end_run(_make_task_id())
        self.assertEqual('completed', self._submit_workflow(step).state)
        self.assertFalse(self.part.open_workflows)

    def test_refused_without_queue_or_document(self):
        spec = workflows.WorkflowSpec('', [workflows.Step(1)])
        command = commands.SubmitWorkflow(HOST, '/other/a', spec, 10)
        self.assertEqual('no_queue', self._apply_command(command).reason)
        fresh = machine.StateMachine()
        self.assertEqual('no_document', fresh.apply(1, command).reason)
        self.assertEqual(
            queries.NotFound('document'),
            fresh.query(queries.LookUpPath(HOST, '/quick/')),
        )

    def test_pending_counts_what_has_not_started(self):
        self._submit_workflow(workflows.Step(1), name='a')
        self._submit_workflow(workflows.Step(1), name='b')
        self._place_run(_make_task_id(name='b'))
        self.assertEqual(queries.PendingCount(2), self._look_up('/quick/'))
        self._begin_workflow('b')
        self._begin_workflow('unknown')
        self.assertEqual(queries.PendingCount(1), self._look_up('/quick/'))
        self.assertEqual(
            queries.NotFound('workflow'), self._look_up('/quick/c')
        )
        self.assertEqual(queries.NotFound('queue'), self._look_up('/slow/'))

    def test_what_shows_that_a_workflow_has_begun(self):
        """A placed run may never begin: its start is refused or not sent."""
        task = _make_task_id()
        moved_run = workflows.LiveRun(task, 1, 'w1', 6)
        outcome = commands.StartOutcome
        for name, change, state in (
            ('placed', lambda: None, 'queued'),
            ('unknown', lambda: self._lose_run(1, outcome.UNKNOWN), 'queued'),
            (
                'silent',
                lambda: self._lose_run(1, outcome.MAY_HAVE_CRASHED),
                'queued',
            ),
            ('alive', lambda: self._lose_run(1, outcome.SURVIVED), 'running'),
            ('crash', lambda: self._lose_run(1, outcome.CRASHED), 'running'),
            ('begun', self._begin_workflow, 'running'),
            ('failed', lambda: self._end_run(task, 1, 'failed'), 'running'),
            ('stopped', lambda: self._end_run(task, 1, 'stopped'), 'running'),
            ('lapsed', lambda: self._end_run(task, 1, 'lapsed'), 'running'),
            (
                'moved',
                lambda: self._apply_command(
                    commands.RecordProgress(1, 10, moved=[moved_run])
                ),
                'running',
            ),
            (
                'survived',
                lambda: self._apply_command(
                    commands.RecordProgress(1, 10, survived=[moved_run])
                ),
                'running',
            ),
        ):
            with self.subTest(name):
                self.setUp()
                self._submit_workflow(workflows.Step(2))
                self._place_run(task)
                change()
                self.assertEqual(state, self._workflow_state())
                self.part.restore(self.part.snapshot())
                self.assertEqual(state, self._workflow_state())

    def test_rows_of_a_build_that_did_not_store_what_has_begun(self):
        for how, state in (('done', 'running'), ('', 'queued')):
            with self.subTest(how):
                self.setUp()
                self._submit_workflow(workflows.Step(2))
                self._place_run(_make_task_id())
                if how:
                    self._end_run(_make_task_id(), 1, how)
                row = self.part.find_workflow('a').to_row()
                old_row = msgspec.structs.replace(row, has_begun=None)
                workflow = _workflows_model.Workflow.from_row(old_row)
                self.assertEqual(state, workflow.public_state)

    # Runs

    def test_one_live_run_a_task(self):
        self._submit_workflow(workflows.Step(1))
        self._place_run(_make_task_id(), 1)
        self._place_run(_make_task_id(), 2)
        self.assertEqual([1], [run.run for run in self.part.live_runs()])

    def test_lost_run_leaves_its_checkpoint(self):
        self._submit_workflow(workflows.Step(1, checkpoints=True))
        self._place_run(_make_task_id())
        lost = commands.RunLost(_make_task_id(), 1, 'half', 'lease_over')
        self._apply_command(commands.RecordProgress(1, 10, lost=[lost]))
        task = self.part.find_workflow('a').tasks[_make_task_id()]
        self.assertEqual(('half', {}), (task.checkpoint, task.live_runs))
        self._place_run(_make_task_id(), 2)
        self.assertTrue(self.part.is_live_run(_make_task_id(), 2))

    def test_end_listed_twice_counts_once(self):
        self._submit_workflow(workflows.Step(1))
        self._place_run(_make_task_id())
        self._end_run(_make_task_id(), how='failed', number=1)
        self._end_run(_make_task_id(), how='failed', number=1)
        task = self.part.find_workflow('a').tasks[_make_task_id()]
        self.assertEqual(1, task.failures)
        self.assertEqual(1, self.part.worker_records['w1'].ends_noted)

    def test_worker_described_again_keeps_its_noted_ends(self):
        self._submit_workflow(workflows.Step(1))
        self._place_run(_make_task_id())
        self._end_run(_make_task_id(), number=3)
        self._apply_command(commands.RecordProgress(1, 10, workers=[WORKER]))
        self.assertEqual(3, self.part.worker_records['w1'].ends_noted)
        reborn = msgspec.structs.replace(WORKER, born_ms=6)
        self._apply_command(commands.RecordProgress(1, 10, workers=[reborn]))
        self.assertEqual(0, self.part.worker_records['w1'].ends_noted)

    def test_fails_after_the_allowed_failures(self):
        self._submit_workflow(workflows.Step(1))
        for run in (1, 2):
            self.assertEqual(
                'running' if run == 2 else 'queued', self._workflow_state()
            )
            self._place_run(_make_task_id(), run)
            self._end_run(_make_task_id(), run, 'failed')
        self.assertEqual('failed', self._workflow_state())

    def test_lasting_task_never_fails_its_workflow(self):
        self._submit_workflow(workflows.Step(1, lasts=True))
        for run in range(1, 6):
            self._place_run(_make_task_id(), run)
            self._end_run(_make_task_id(), run, 'failed')
        self.assertEqual('running', self._workflow_state())

    def test_step_waits_for_all_tasks_before_it(self):
        self._submit_workflow(workflows.Step(2), workflows.Step(1, after=[0]))
        workflow = self.part.find_workflow('a')
        for index in (0, 1):
            self.assertFalse(workflow.is_step_ready(0, 1))
            self._place_run(_make_task_id(index))
            self._end_run(_make_task_id(index))
        self.assertTrue(workflow.is_step_ready(0, 1))
        self.assertEqual('running', self._workflow_state())

    def test_gang_is_done_together(self):
        self._submit_workflow(workflows.Step(3, gang=True))
        for index in range(3):
            self._place_run(_make_task_id(index))
        self._end_run(_make_task_id(1))
        self.assertEqual('completed', self._workflow_state())
        self.assertEqual([], self.part.live_runs())

    def test_workflow_is_completed_after_its_last_occurrence(self):
        self._submit_workflow(
            workflows.Step(1), occurrences=2, first_due_ms=50, interval_ms=5
        )
        self._place_run(_make_task_id())
        self._end_run(_make_task_id())
        self.assertEqual('running', self._workflow_state())
        self._place_run(_make_task_id(occurrence=1))
        self._end_run(_make_task_id(occurrence=1))
        self.assertEqual('completed', self._workflow_state())

    def test_workflow_cancelled_after_an_idle_time_is_kept(self):
        """The time of the command counts if the last progress is long ago.

        Otherwise the cancelled workflow would be removed at once.
        """
        idle_ms = 3_600_000
        self._submit_workflow(workflows.Step(1))
        cancel = commands.CancelWorkflow(HOST, '/quick/a', idle_ms)
        self._apply_command(cancel)
        self._apply_command(commands.RecordProgress(1, idle_ms + 1000))
        self.assertEqual('cancelled', self._workflow_state())

    def test_cancelled_workflow_places_nothing(self):
        self._submit_workflow(workflows.Step(2))
        self._place_run(_make_task_id(0))
        cancel = commands.CancelWorkflow(HOST, '/quick/a')
        self.assertEqual('cancelled', self._apply_command(cancel).state)
        self._place_run(_make_task_id(1))
        self.assertEqual(1, len(self.part.live_runs()))
        unknown = commands.CancelWorkflow(HOST, '/quick/b')
        self.assertEqual('no_workflow', self._apply_command(unknown).reason)

    def test_end_of_a_run_recorded_as_lost_still_counts(self):
        self._submit_workflow(workflows.Step(1))
        self._place_run(_make_task_id())
        lost = commands.RunLost(_make_task_id(), 1, '', 'lease_over')
        self._apply_command(commands.RecordProgress(1, 10, lost=[lost]))
        self._end_run(_make_task_id())
        self.assertEqual('completed', self._workflow_state())

    # Copies

    def _start_copy(self, *later_steps, **fields):
        """Places two runs of the first task of two."""
        step = workflows.Step(2, copies=True, **fields)
        self._submit_workflow(step, *later_steps)
        for run in (1, 2):
            self._place_run(_make_task_id(), run)
        return self.part.find_workflow('a')

    def _live_run_numbers(self):
        return [run.run for run in self.part.live_runs()]

    def test_task_has_two_live_runs_at_most(self):
        self._start_copy()
        self._place_run(_make_task_id(), 3)
        self.assertEqual([1, 2], self._live_run_numbers())
        self.part.restore(self.part.snapshot())
        self._place_run(_make_task_id(), 3)
        self.assertEqual([1, 2], self._live_run_numbers())
        self._end_run(_make_task_id(), 1, 'stopped')
        self._place_run(_make_task_id(), 3)
        self.assertEqual([2, 3], self._live_run_numbers())

    def test_copies_are_of_tasks_that_end_by_themselves_alone(self):
        for field in ('gang', 'lasts', 'fills'):
            with self.subTest(field):
                self.setUp()
                self._start_copy(**{field: True})
                self.assertEqual([1], self._live_run_numbers())

    def test_two_ends_as_done_count_once(self):
        """The second one counted for the other task of the step."""
        for runs in ((1, 2), (2, 1)):
            with self.subTest(runs=runs):
                self.setUp()
                workflow = self._start_copy(workflows.Step(1, after=[0]))
                ends = [
                    commands.RunEnd(
                        'w1', 5, number, _make_task_id(), run, 'done', ''
                    )
                    for number, run in enumerate(runs, start=1)
                ]
                self._apply_command(commands.RecordProgress(1, 10, ends=ends))
                self.assertEqual([], self._live_run_numbers())
                self.assertFalse(workflow.is_step_ready(0, 1))
                self._place_run(_make_task_id(1))
                self._end_run(_make_task_id(1), number=3)
                self.assertTrue(workflow.is_step_ready(0, 1))

    def test_end_that_is_not_done_leaves_the_other_run(self):
        for run in (1, 2):
            for how in ('failed', 'stopped', 'lapsed', 'lost'):
                with self.subTest(run=run, how=how):
                    self.setUp()
                    workflow = self._start_copy()
                    task = workflow.tasks[_make_task_id()]
                    if how == 'lost':
                        self._lose_run(run, commands.StartOutcome.CRASHED)
                    else:
                        self._end_run(_make_task_id(), run, how)
                    self.assertEqual([3 - run], self._live_run_numbers())
                    self.assertEqual('running', self._workflow_state())
                    self.assertEqual(how == 'failed', task.failures)
                    self._end_run(_make_task_id(), 3 - run)
                    self.assertTrue(task.is_done)

    def test_failures_of_both_runs_count(self):
        self._start_copy()
        self._begin_workflow()
        for run in (2, 1):
            self.assertEqual('running', self._workflow_state())
            self._end_run(_make_task_id(), run, 'failed')
        self.assertEqual('failed', self._workflow_state())

    def test_checkpoint_of_the_newest_run_stays(self):
        workflow = self._start_copy(checkpoints=True)
        task = workflow.tasks[_make_task_id()]
        self._end_run(_make_task_id(), 2, 'stopped', checkpoint='new')
        self._end_run(_make_task_id(), 1, 'stopped', checkpoint='old')
        self.assertEqual('new', task.checkpoint)

    # Crashes of workers

    def test_task_is_not_started_on_a_fourth_worker_after_three_crashes(self):
        for lasts in (False, True):
            with self.subTest(lasts=lasts):
                self.setUp()
                self._submit_workflow(workflows.Step(1, lasts=lasts))
                self._crash_workers((1, 2))
                self.assertEqual('running', self._workflow_state())
                self._crash_workers((3,))
                self.assertEqual('failed', self._workflow_state())
                self._place_run(_make_task_id(), 4)
                self.assertEqual([], self.part.live_runs())

    def test_task_that_may_have_crashed_five_workers_is_given_up(self):
        self._submit_workflow(workflows.Step(1))
        for run in range(1, 6):
            self.assertNotEqual('failed', self._workflow_state())
            self._place_run(_make_task_id(), run)
            self._lose_run(run, commands.StartOutcome.MAY_HAVE_CRASHED)
        self.assertEqual('failed', self._workflow_state())

    def test_crash_recorded_twice_counts_once(self):
        self._submit_workflow(workflows.Step(1))
        self._crash_workers((1, 2))
        self._lose_run(2, commands.StartOutcome.CRASHED)
        self.assertEqual('running', self._workflow_state())

    def test_crashes_before_a_harmless_run_do_not_count(self):
        for name, survive in (
            (
                'lost',
                lambda: self._lose_run(3, commands.StartOutcome.SURVIVED),
            ),
            ('stopped', lambda: self._end_run(_make_task_id(), 3, 'stopped')),
            ('lapsed', lambda: self._end_run(_make_task_id(), 3, 'lapsed')),
        ):
            with self.subTest(name):
                self.setUp()
                self._submit_workflow(workflows.Step(1))
                self._crash_workers((1, 2))
                self._place_run(_make_task_id(), 3)
                survive()
                self._crash_workers((4, 5))
                self.assertEqual('running', self._workflow_state())

    def test_worker_that_crashes_by_itself_does_not_fail_a_sound_task(self):
        """It crashed under three runs in a row while others were idle."""
        self._submit_workflow(workflows.Step(1))
        self._crash_workers((1, 2, 3, 4), 'w1')
        self.part.restore(self.part.snapshot())
        self.assertEqual('running', self._workflow_state())
        task = self.part.find_workflow('a').tasks[_make_task_id()]
        self.assertEqual({'w1'}, task.crash_workers)
        self._crash_workers((5,), 'w1')
        self.assertEqual('failed', self._workflow_state())

    def test_crashes_of_one_worker_count_once_among_others(self):
        self._submit_workflow(workflows.Step(1))
        self._crash_workers((1, 2), 'w1')
        self._crash_workers((3,), 'w2')
        self.assertEqual('running', self._workflow_state())
        self._crash_workers((4,), 'w3')
        self.assertEqual('failed', self._workflow_state())

    def test_loss_for_an_unknown_reason_does_not_fail_a_workflow(self):
        self._submit_workflow(workflows.Step(1))
        for run in range(1, 10):
            self._place_run(_make_task_id(), run)
            self._lose_run(run, commands.StartOutcome.UNKNOWN)
        self.assertEqual('queued', self._workflow_state())

    def test_crashes_counted_before_a_snapshot_count_after_it(self):
        self._submit_workflow(workflows.Step(1))
        self._crash_workers((1, 2))
        data = self.part.snapshot()
        self.part.restore(data)
        self._crash_workers((3,))
        self.assertEqual('failed', self._workflow_state())

    # Documents

    def test_highest_version_stays(self):
        self._apply_command(
            _make_document_command(
                7, _make_queue(), _make_queue('slow', '/quick/slow/')
            )
        )
        answer = self._apply_command(_make_document_command(3, _make_queue()))
        self.assertEqual(outcomes.ConfigAccepted(7, True), answer)
        self.assertEqual(
            queries.DocumentText(7, b'text7'),
            self.machine.query(queries.GetDocument()),
        )
        self.assertEqual(
            queries.PendingCount(0), self._look_up('/quick/slow/')
        )

    def test_workflow_of_a_removed_queue_keeps_its_settings(self):
        self._submit_workflow(workflows.Step(1))
        self._apply_command(_make_document_command(2))
        workflow = self.part.find_workflow('a')
        self.assertEqual('pool', self.part.current_queue(workflow).pool)
        self.assertEqual(queries.NotFound('queue'), self._look_up('/quick/a'))

    # Snapshots

    def test_snapshot_restores_everything(self):
        self._submit_workflow(
            workflows.Step(2, checkpoints=True), workflows.Step(1)
        )
        self._place_run(_make_task_id(0))
        self._end_run(_make_task_id(0), how='stopped', checkpoint='half')
        self._place_run(_make_task_id(0), 2)
        other = machine.StateMachine()
        other.restore(self.machine.snapshot())
        self.assertEqual(self.machine.snapshot(), other.snapshot())
        part = other.workflows
        self.assertEqual(
            'half', part.find_workflow('a').tasks[_make_task_id()].checkpoint
        )
        self.assertTrue(part.is_live_run(_make_task_id(), 2))
        self.assertEqual(['a'], list(part.open_workflows))

    def test_pairs_of_images_are_kept_up_to_a_bound(self):
        pairs = [
            workflows.ImagePair('serving', f'filling-{number}', True)
            for number in range(_workflows.MAX_IMAGE_PAIRS + 2)
        ]
        self._apply_command(commands.RecordProgress(1, 10, learned=pairs))
        changed = workflows.ImagePair('serving', 'filling-2', False)
        self._apply_command(commands.RecordProgress(1, 10, learned=[changed]))
        other = machine.StateMachine()
        other.restore(self.machine.snapshot())
        found = list(other.workflows.image_pairs.values())
        self.assertEqual([*pairs[3:], changed], found)

    def test_damaged_snapshot_is_refused(self):
        with self.assertRaises(errors.DataDamaged):
            machine.StateMachine().restore(b'no snapshot')


if __name__ == '__main__':
    unittest.main()
