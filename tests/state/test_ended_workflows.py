"""Tests of workflows that ended, of which only the state is kept in the end.

They guard against one that runs a second time, as a copy of its submission
arrives late, and against callers who are told that it is not known.
"""

import unittest

from fuchsiatrestle.state import _workflows
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import machine
from fuchsiatrestle.state import queries
from fuchsiatrestle.state import workflows
from tests.state import test_refusals

HOST = test_refusals.HOST
SPEC = workflows.WorkflowSpec('text', [workflows.Step(2, cpu=1)])
WORKER = workflows.WorkerRecord('w', 1, 'h:1', 'pool', 'dc', 8, 8, 0, [])
TASKS = [workflows.TaskId('a', 0, 0, index) for index in range(2)]
LIVE_RUNS = [workflows.LiveRun(task, 1, 'w', 1) for task in TASKS]
ENDED_MS = 1000


def _submit():
    return commands.SubmitWorkflow(HOST, '/q/a', SPEC, 10)


class EndedWorkflowTest(unittest.TestCase):
    def _start(self, restores):
        self.restores = restores
        self.machine = machine.StateMachine()
        self._apply(commands.PutDocument(test_refusals.DOCUMENT, b''))
        self._apply(_submit())

    def _apply(self, command):
        outcome = self.machine.apply(self.machine.applied_index + 1, command)
        if self.restores:
            snapshot = self.machine.snapshot()
            self.machine = machine.StateMachine()
            self.machine.restore(snapshot)
        return outcome

    def _record(self, now_ms, **changes):
        self._apply(commands.RecordProgress(1, now_ms, **changes))

    def _complete(self):
        self._record(ENDED_MS, workers=[WORKER], placed=LIVE_RUNS)
        self._record(ENDED_MS, ends=self._make_ends())

    def _make_ends(self):
        return [
            commands.RunEnd('w', 1, task.index + 1, task, 1, 'done', '')
            for task in TASKS
        ]

    def _show(self):
        return self.machine.query(queries.LookUpPath(HOST, '/q/a'))

    def _cancel(self):
        self._apply(commands.CancelWorkflow(HOST, '/q/a', ENDED_MS))

    def _end(self, state):
        if state == 'completed':
            self._complete()
        else:
            self._cancel()
            self._record(ENDED_MS)

    def test_state_is_kept_for_as_long_as_before(self):
        kept_ms = (
            0,
            _workflows.DETAIL_RETENTION_MS - 1,
            _workflows.DETAIL_RETENTION_MS,
            _workflows.ENDED_RETENTION_MS - 1,
        )
        for state in ('completed', 'cancelled'):
            for restores in (False, True):
                self._start(restores)
                self._end(state)
                for age_ms in kept_ms:
                    with self.subTest(state=state, age_ms=age_ms):
                        self._record(ENDED_MS + age_ms)
                        self._check_kept(state)
                self._record(ENDED_MS + _workflows.ENDED_RETENTION_MS)
                self.assertEqual(queries.NotFound('workflow'), self._show())

    def _check_kept(self, state):
        self.assertEqual(queries.WorkflowState(state), self._show())
        for command in (
            _submit(),
            commands.RefuseWorkflow(HOST, '/q/a', 10, 20, 30),
            commands.CancelWorkflow(HOST, '/q/a', ENDED_MS),
        ):
            outcome = self._apply(command)
            self.assertEqual((state, ''), (outcome.state, outcome.reason))
        self.assertEqual([], self.machine.workflows.refusals)
        self.assertFalse(self.machine.workflows.open_workflows)

    def test_tasks_are_dropped_once_no_run_is_live(self):
        for restores in (False, True):
            with self.subTest(restores=restores):
                self._start(restores)
                self._record(ENDED_MS, workers=[WORKER], placed=LIVE_RUNS)
                self._cancel()
                late_ms = ENDED_MS + 2 * _workflows.DETAIL_RETENTION_MS
                self._record(late_ms)
                part = self.machine.workflows
                self.assertEqual(2, len(part.find_workflow('a').live_runs()))
                self._record(late_ms, ends=self._make_ends())
                self.assertIsNone(self.machine.workflows.find_workflow('a'))
                self._check_kept('cancelled')

    def test_late_reports_about_its_runs_are_ignored(self):
        self._start(False)
        self._complete()
        late_ms = ENDED_MS + _workflows.DETAIL_RETENTION_MS
        self._record(late_ms)
        self._record(
            late_ms,
            ends=self._make_ends(),
            lost=[commands.RunLost(TASKS[0], 1, '', 'reason')],
            placed=[workflows.LiveRun(TASKS[0], 2, 'w', 1)],
            moved=LIVE_RUNS,
            survived=LIVE_RUNS,
            begun=['a'],
        )
        self._check_kept('completed')
        self.assertEqual([], self.machine.workflows.live_runs())


if __name__ == '__main__':
    unittest.main()
