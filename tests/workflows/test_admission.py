"""Plays loads that exceed the capacity and checks what callers get.

They guard against callers that wait for results of no use, against refusals
of workflows that could have been served, and against refused workflows that
run.
"""

import collections
import logging
import unittest

from fuchsiatrestle.state import commands
from fuchsiatrestle.state import workflows as records
from fuchsiatrestle import workflows
from standins import worker_model
from tests.fakes import dispatch_world

WORKERS = 4
CORES_PER_WORKER = 8
CALL_MS = 10  # from a caller's request to its agreement
MAX_ATTEMPTS = 5
# Time of the load after which callers submit what the workers can run.
SETTLE_MS = 10_000


class _Caller:
    """What one caller asked for and got.

    Attributes:
        workflow_id: id of its workflow.
        objective_ms: objective of its workflow.
        statuses: status of each of its calls.
        accepted_ms: time of its accepted request, None before.
        completed_ms: time at which its workflow was seen as completed.
    """

    def __init__(self, workflow_id, objective_ms):
        self.workflow_id = workflow_id
        self.objective_ms = objective_ms
        self.statuses = []
        self.accepted_ms = None
        self.completed_ms = None

    def is_served_within(self, factor):
        """True if it was served within a multiple of its objective."""
        return self.completed_ms is not None and (
            self.completed_ms - self.accepted_ms <= factor * self.objective_ms
        )


class _Load:
    """Callers that submit workflows at a rate and honour Retry-After."""

    def __init__(self, seed, refuses_overload=True, **world_options):
        self.world = dispatch_world.World(
            seed,
            workers=WORKERS,
            cpu_milli=1000 * CORES_PER_WORKER,
            features=workflows.Features(refuses_overload=refuses_overload),
            **world_options,
        )
        self.callers = []
        self.refused_ids = collections.Counter()

    def play(self, duration_ms, load_factor, prefix='/q/', **shape):
        """Submits work at a multiple of what the workers can run.

        Args:
            duration_ms: length of the load.
            load_factor: multiple of the processor time of all workers.
            prefix: prefix of the queue.
            **shape: see ``_submit``.
        """
        end_ms = self.world.now_ms + duration_ms
        cores = WORKERS * CORES_PER_WORKER * load_factor
        interval_ms = (
            shape.get('tasks', 4) + 1
        ) * shape.get('work_ms', 1000) / cores
        next_ms = float(self.world.now_ms)
        while self.world.now_ms < end_ms:
            next_ms += interval_ms
            self.submit(prefix, **shape)
            self.world.run(max(0, int(next_ms) - self.world.now_ms))
            self._note_completed()

    def finish(self, duration_ms):
        end_ms = self.world.now_ms + duration_ms
        while self.world.now_ms < end_ms:
            self.world.run(50)
            self._note_completed()

    def _note_completed(self):
        for caller in self.callers:
            if caller.accepted_ms is None or caller.completed_ms is not None:
                continue
            workflow = self.world.workflow_store.find_workflow(
                caller.workflow_id
            )
            if workflow is not None and workflow.state == 'completed':
                caller.completed_ms = self.world.now_ms

    def submit(self, prefix='/q/', tasks=4, work_ms=1000, fills=False):
        """Submits a workflow of two steps, the second one of one task."""
        steps = [
            records.Step(
                count,
                cpu=1000,
                memory_mb=10,
                estimate_ms=work_ms,
                after=after,
                fills=fills,
                image='f' if fills else '',
            )
            for count, after in ((tasks, []), (1, [0]))
        ]
        caller = _Caller(f'j{len(self.callers)}', 1.5 * 2 * work_ms + 250)
        self.callers.append(caller)
        factor = self.world.random.choice((0.6, 0.8, 1.0, 1.2, 1.4))
        self.world.profiles_by_workflow[caller.workflow_id] = [
            worker_model.TaskProfile(
                1000, 10, int(work_ms * factor), fills=fills
            )
        ] * 2
        spec = records.WorkflowSpec('', steps)
        self._call(caller, prefix, spec)
        return caller

    def _call(self, caller, prefix, spec):
        submission = commands.SubmitWorkflow(
            dispatch_world.HOST,
            prefix + caller.workflow_id,
            spec,
            dispatch_world.START_WALL_MS + self.world.now_ms,
        )
        command = self.world.judge(submission)
        self.world._schedule(
            CALL_MS, self._agree, caller, prefix, spec, command
        )

    def _agree(self, caller, prefix, spec, command):
        outcome = self.world.apply_agreed(command)
        if not outcome.reason:
            caller.statuses.append(200)
            caller.accepted_ms = self.world.now_ms - CALL_MS
            return
        caller.statuses.append(429)
        if len(caller.statuses) < MAX_ATTEMPTS:
            self.world._schedule(
                outcome.retry_after_ms, self._call, caller, prefix, spec
            )

    def count_served(self, factor):
        """Returns how many callers were served within objectives."""
        return sum(
            caller.is_served_within(factor) for caller in self.callers
        )

    def describe(self):
        refused = [c for c in self.callers if 429 in c.statuses]
        return {
            'callers': len(self.callers),
            'in_objective': self.count_served(1),
            'in_three': self.count_served(3),
            'accepted': sum(c.accepted_ms is not None for c in self.callers),
            'refused_once': len(refused),
            'calls': sum(len(c.statuses) for c in self.callers),
        }
