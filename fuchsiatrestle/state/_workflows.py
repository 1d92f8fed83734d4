"""Workflows, their runs, and the workers that they run on."""

import collections

import msgspec

from fuchsiatrestle import records
from fuchsiatrestle.state import _part
from fuchsiatrestle.state import _workflows_model
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import outcomes
from fuchsiatrestle.state import queries
from fuchsiatrestle.state import workflows

__all__ = ('WorkflowsPart',)

# Time for which the state of an ended workflow can be asked for and its id
# is known again.
RETENTION_MS = 900_000
# Pairs of images that are remembered at most.
MOST_PAIRS = 4096


class _Ended(records.Record, tag='e'):
    workflow_id: str
    ended_ms: int


class _PartState(records.Record, tag='workflows-1'):
    now_ms: int
    workflows: list[_workflows_model.WorkflowState]
    ended: list[_Ended]
    workers: list[workflows.WorkerRecord]
    pairs: list[workflows.ImagePair] = []


_STATE = records.Codec(_PartState)


def _refused(reason):
    return outcomes.WorkflowOutcome('', reason)


class WorkflowsPart(_part.Part):
    """All workflows by id, and the registered workers.

    Args:
        documents: the ``DocumentsPart``, which names the queues.
    """

    name = 'workflows'
    command_kinds = (
        commands.SubmitWorkflow,
        commands.CancelWorkflow,
        commands.RecordProgress,
    )
    query_kinds = (queries.LookUpPath,)

    def __init__(self, documents):
        self.documents = documents
        self._workflows = {}
        self._open = {}
        self._ended = collections.deque()
        self._workers = {}
        self._pairs = {}
        self._now_ms = 0
        self._handlers = {
            commands.SubmitWorkflow: self._submit,
            commands.CancelWorkflow: self._cancel,
            commands.RecordProgress: self._record,
        }

    # Queries

    @property
    def open_workflows(self):
        """``Workflow`` by id, those whose tasks may be started."""
        return self._open

    @property
    def workers(self):
        """``WorkerRecord`` by id."""
        return self._workers

    @property
    def image_pairs(self):
        """``ImagePair`` by serving and filling image."""
        return self._pairs

    def workflow(self, workflow_id):
        """Returns the ``Workflow`` of that id, or None."""
        return self._workflows.get(workflow_id)

    def queue_of(self, workflow):
        """Returns the queue of a workflow as it is configured now.

        A queue that has been taken out keeps the terms it had.
        """
        return self.documents.queue(workflow.queue.name) or workflow.queue

    def live_runs(self):
        """Returns all ``LiveRun`` values."""
        return [
            run
            for workflow in self._workflows.values()
            for run in workflow.live_runs()
        ]

    def is_live(self, task_id, run):
        """True if that run may be going on."""
        workflow = self._workflows.get(task_id.workflow_id)
        task = workflow.tasks.get(task_id) if workflow else None
        return task is not None and run in task.live

    def query(self, query):
        """Answers ``LookUpPath``."""
        if self.documents.document is None:
            return queries.NotFound('document')
        queue, rest = self.documents.resolve(query.host, query.path)
        if queue is None:
            return queries.NotFound('queue')
        if not rest:
            return queries.PendingCount(self._pending(queue))
        workflow = self._workflows.get(rest)
        if workflow is None:
            return queries.NotFound('workflow')
        return queries.WorkflowState(workflow.shown_state)

    def _pending(self, queue):
        return sum(
            workflow.queue.name == queue.name and not workflow.has_started
            for workflow in self._open.values()
        )

    # Commands

    def apply(self, index, command):
        """Applies one command."""
        return self._handlers[type(command)](command)

    def _submit(self, command):
        if self.documents.document is None:
            return _refused('no_document')
        queue, workflow_id = self.documents.resolve(command.host, command.path)
        if not workflow_id:
            return _refused('no_queue')
        workflow = self._workflows.get(workflow_id)
        if workflow is None:
            workflow = _workflows_model.Workflow(
                workflow_id, queue, command.spec, command.submitted_ms
            )
            self._workflows[workflow_id] = workflow
            self._open[workflow_id] = workflow
        return outcomes.WorkflowOutcome(workflow.shown_state)

    def _cancel(self, command):
        queue, workflow_id = self.documents.resolve(command.host, command.path)
        if queue is None:
            return _refused('no_queue')
        workflow = self._workflows.get(workflow_id)
        if workflow is None:
            return _refused('no_workflow')
        workflow.cancel()
        # Nothing may have told the time for long.
        now_ms = max(self._now_ms, command.cancelled_ms)
        self._close_ended(workflow, now_ms)
        return outcomes.WorkflowOutcome(workflow.shown_state)

    def _record(self, command):
        self._now_ms = max(self._now_ms, command.now_ms)
        for worker in command.workers:
            self._register(worker)
        for end in command.ends:
            self._note_end(end)
        for lost in command.lost:
            self._note_lost(lost)
        for placement in command.placed:
            self._place(placement)
        for pair in command.learned:
            self._note_pair(pair)
        self._forget_old()
        return outcomes.Done()

    def _register(self, worker):
        """Takes a worker's description; noted ends stay noted."""
        known = self._workers.get(worker.worker)
        if known is not None and known.born_ms == worker.born_ms:
            noted = max(known.ends_noted, worker.ends_noted)
            worker = msgspec.structs.replace(worker, ends_noted=noted)
        self._workers[worker.worker] = worker

    def _note_end(self, end):
        worker = self._workers.get(end.worker)
        if worker is not None and worker.born_ms == end.born_ms:
            if end.number <= worker.ends_noted:
                return
            self._workers[end.worker] = msgspec.structs.replace(
                worker, ends_noted=end.number
            )
        workflow = self._workflows.get(end.task.workflow_id)
        if workflow is None or end.task not in workflow.tasks:
            return
        if end.how == 'done':
            workflow.finish(end.task, end.run)
        elif end.how == 'failed':
            queue = self.queue_of(workflow)
            workflow.fail_run(
                end.task, end.run, end.checkpoint, queue.max_failures
            )
        else:
            workflow.settle(end.task, end.run, end.checkpoint)
        self._close_ended(workflow, self._now_ms)

    def _note_lost(self, lost):
        workflow = self._workflows.get(lost.task.workflow_id)
        if workflow is not None:
            workflow.settle(lost.task, lost.run, lost.checkpoint)

    def _place(self, placement):
        workflow = self._workflows.get(placement.task.workflow_id)
        if workflow is not None and workflow.may_place(placement):
            workflow.place(placement)

    def _note_pair(self, pair):
        key = pair.serving, pair.filling
        self._pairs.pop(key, None)
        self._pairs[key] = pair
        if len(self._pairs) > MOST_PAIRS:
            del self._pairs[next(iter(self._pairs))]

    def _close_ended(self, workflow, now_ms):
        if workflow.is_open or workflow.workflow_id not in self._open:
            return
        del self._open[workflow.workflow_id]
        self._ended.append(_Ended(workflow.workflow_id, now_ms))

    def _forget_old(self):
        while self._ended:
            oldest = self._ended[0]
            workflow = self._workflows[oldest.workflow_id]
            fresh = oldest.ended_ms > self._now_ms - RETENTION_MS
            if fresh or workflow.live_runs():
                return
            self._ended.popleft()
            del self._workflows[oldest.workflow_id]

    # Snapshots

    def snapshot(self):
        """Returns the part as bytes."""
        return _STATE.encode(
            _PartState(
                self._now_ms,
                [one.to_state() for one in self._workflows.values()],
                list(self._ended),
                list(self._workers.values()),
                list(self._pairs.values()),
            )
        )

    def restore(self, data):
        """Replaces the part."""
        state = _STATE.decode(data)
        self._now_ms = state.now_ms
        self._workflows = {
            one.workflow_id: _workflows_model.Workflow.from_state(one)
            for one in state.workflows
        }
        self._open = {
            workflow_id: workflow
            for workflow_id, workflow in self._workflows.items()
            if workflow.is_open
        }
        self._ended = collections.deque(state.ended)
        self._workers = {one.worker: one for one in state.workers}
        self._pairs = {(one.serving, one.filling): one for one in state.pairs}
