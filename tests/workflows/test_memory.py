"""Tests of the memory that accepted workflows take.

They guard against control VMs that run out of memory, start anew, and read
the same workflows again: 6,000 scheduled workflows did that.
"""

import logging
import tracemalloc
import unittest

from fuchsiatrestle.state import _workflows
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
TASKS = 140
WORKFLOWS = 200
# Half of what a control VM with 296 MB, of which it needs 60 MB when idle, has
# for each of 6,000 workflows; the other half is for the log and messages.
MAX_BYTES = 236_000_000 // 6000 // 2


# Rate that a caller may keep up with small workflows.
ENDED_PER_S = 50
# Half of what the VM has beside the 60 MB, for all that ended in 15 minutes.
MAX_ENDED_BYTES = 236_000_000 // 2 // (ENDED_PER_S * 900)


class _MemoryTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)

    def _apply(self, state, command):
        encoded_command = commands.CODEC.encode(command)
        state.apply(
            state.applied_index + 1, commands.CODEC.decode(encoded_command)
        )

    def _lead(self, state):
        """Returns a leader after its first rounds."""
        core = workflows.Dispatcher(
            state.workflows, 1, workflows.Timing(), 0, features=FEATURES
        )
        for now_ms in (100, 2000):
            core.step(workflows.Tick(WALL_MS + now_ms), now_ms)
        return core

    def _assert_bounded(self, start_bytes, max_bytes=MAX_BYTES):
        used_bytes, _ = tracemalloc.get_traced_memory()
        self.assertLess(used_bytes - start_bytes, WORKFLOWS * max_bytes)


class ScheduledMemoryTest(_MemoryTest):
    def test_scheduled_workflows(self):
        state = machine.StateMachine()
        self._apply(state, commands.PutDocument(DOCUMENT, b''))
        core = self._lead(state)
        spec = records.WorkflowSpec(
            'text',
            [records.Step(TASKS, cpu=1000, estimate_ms=5000)],
            1,
            WALL_MS + HOUR_MS,
            1000,
        )
        start_bytes, _ = tracemalloc.get_traced_memory()
        for number in range(WORKFLOWS):
            command = commands.SubmitWorkflow(
                HOST, f'/q/{number:016x}', spec, WALL_MS
            )
            self._apply(state, command)
            core.step(workflows.CommandApplied(command), 3000)
        self._assert_bounded(start_bytes)
        snapshot = state.snapshot()
        self.assertLess(len(snapshot), WORKFLOWS * MAX_BYTES)
        # A VM that is started again, and leads.
        del core, state
        restored = machine.StateMachine()
        restored.restore(snapshot)
        leader = self._lead(restored)
        self._assert_bounded(start_bytes)
        self.assertIsNotNone(leader)


class EndedMemoryTest(_MemoryTest):
    """Jobs that have run kept all their tasks for 15 minutes."""

    def _end_workflows(self, state):
        spec = records.WorkflowSpec(
            'text' * 250, [records.Step(20, cpu=1000, estimate_ms=500)]
        )
        worker = records.WorkerRecord(
            'w0', 1, 'host:1', 'pool', 'dc', 8000, 32768, 0, []
        )
        for number in range(WORKFLOWS):
            workflow_id = f'{number:016x}'
            self._apply(
                state,
                commands.SubmitWorkflow(
                    HOST, f'/q/{workflow_id}', spec, WALL_MS
                ),
            )
            live_runs = [
                records.LiveRun(
                    records.TaskId(workflow_id, 0, 0, index), 1, 'w0', 1
                )
                for index in range(20)
            ]
            ends = [
                commands.RunEnd(
                    'w0',
                    1,
                    20 * number + run.task.index + 1,
                    run.task,
                    1,
                    'done',
                    '',
                )
                for run in live_runs
            ]
            self._apply(
                state,
                commands.RecordProgress(
                    1, WALL_MS, workers=[worker], placed=live_runs
                ),
            )
            self._apply(state, commands.RecordProgress(1, WALL_MS, ends=ends))

    def test_ended_workflows(self):
        state = machine.StateMachine()
        self._apply(state, commands.PutDocument(DOCUMENT, b''))
        start_bytes, _ = tracemalloc.get_traced_memory()
        self._end_workflows(state)
        self._apply(
            state,
            commands.RecordProgress(
                1, WALL_MS + _workflows.DETAIL_RETENTION_MS
            ),
        )
        self._assert_bounded(start_bytes, MAX_ENDED_BYTES)
        snapshot = state.snapshot()
        self.assertLess(len(snapshot), WORKFLOWS * MAX_ENDED_BYTES)
        del state
        restored = machine.StateMachine()
        restored.restore(snapshot)
        self._assert_bounded(start_bytes, MAX_ENDED_BYTES)


if __name__ == '__main__':
    unittest.main()
