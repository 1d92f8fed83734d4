"""Part of the agreed state with the workflows, their runs and workers."""

import collections

import msgspec

from fuchsiatrestle import records
from fuchsiatrestle.state import _cancels
from fuchsiatrestle.state import _denials
from fuchsiatrestle.state import _part
from fuchsiatrestle.state import _refusals
from fuchsiatrestle.state import _run_times
from fuchsiatrestle.state import _workflows_model
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import outcomes
from fuchsiatrestle.state import queries
from fuchsiatrestle.state import workflows

__all__ = ('WorkflowsPart',)

# Time for which the state of an ended workflow is kept, so that callers can
# query it and a resent submission does not start the workflow again.
ENDED_RETENTION_MS = 900_000
# Time for which an ended workflow is kept with its steps and tasks.  A new
# leader looks at those submitted in the last two minutes.  Kept for as long as
# the state, 50 workflows of 20 tasks a second would take some 500 MB.
DETAIL_RETENTION_MS = 120_000
# Clients may cancel workflows as fast as they submit them.
MAX_DETAILED_ENDED = 2000
MAX_IMAGE_PAIRS = 4096
# A run was placed recently if less than this has passed from its placement to
# the last recorded progress.  Later, a crash at its start would be recorded,
# as the lease of the worker would be over.
RECENT_PLACEMENT_MS = 7000


class _EndedWorkflow(records.Record, tag='e'):
    """Ended workflow that is still kept, with the time of its end.

    Attributes:
        workflow_id: its id.
        ended_ms: agreed time of its end, since the epoch.
        state: ``public_state`` of one that is kept without its tasks, else
            empty.
    """

    workflow_id: str
    ended_ms: int
    state: str = ''


class _PartState(records.Record, tag='workflows-1'):
    """Snapshot of the workflows part.

    Attributes:
        now_ms: latest time in a ``RecordProgress`` command, since the epoch.
        workflows: all workflows that are kept with their tasks.
        ended: the kept workflows that have ended, in the order in which they
            ended; those without tasks come first.
        workers: the registered workers.
        pairs: learned interference of images, least recently updated first.
        run_times: learned run times, see ``RunTimes.to_rows``; empty in old
            snapshots.
        refusals: refused workflows, the oldest first.
        refusals_dropped_ms: see ``DenialTable.dropped_ms``.
        cancels: workflows that were cancelled before they were submitted, the
            oldest first.
        cancels_dropped_ms: see ``DenialTable.dropped_ms``.
        silent_workers: see ``WorkflowsPart.silent_workers``.
    """

    now_ms: int
    workflows: list[_workflows_model.WorkflowRow]
    ended: list[_EndedWorkflow]
    workers: list[workflows.WorkerRecord]
    pairs: list[workflows.ImagePair] = []
    run_times: list[_run_times.RunTimesRow] = []
    refusals: list[_refusals.RefusalRow] = []
    refusals_dropped_ms: int = 0
    cancels: list[_cancels.CancelRow] = []
    cancels_dropped_ms: int = 0
    silent_workers: dict[str, int] = {}


_STATE_CODEC = records.Codec(_PartState)


def _refused_outcome(reason, retry_after_ms=0):
    return outcomes.WorkflowOutcome('', reason, retry_after_ms)


class WorkflowsPart(_part.Part):
    """All workflows, the registered workers and the learned image pairs.

    Args:
        documents: the ``DocumentsPart`` with the configured queues.
        evacuations: the ``EvacuationsPart``, which is not changed here; it is
            for those who place runs.
    """

    name = 'workflows'
    command_kinds = (
        commands.SubmitWorkflow,
        commands.RefuseWorkflow,
        commands.CancelWorkflow,
        commands.RecordProgress,
    )
    query_kinds = (queries.LookUpPath,)

    def __init__(self, documents, evacuations):
        self.documents = documents
        self.evacuations = evacuations
        self._workflows = {}
        self._open_workflows_by_id = {}
        # Ended workflows that are kept with their tasks, the oldest first, and
        # those without them, by id, in the order in which the tasks were
        # dropped.
        self._ended_workflows = collections.deque()
        self._ended_by_id = {}
        self._workers = {}
        self._image_pairs = {}
        self._run_times = _run_times.RunTimes()
        self._refusals = _refusals.RefusalTable()
        self._cancels = _cancels.CancelTable()
        self._silent_workers = {}
        # Latest ``now_ms`` of a ``RecordProgress`` command, since the epoch.
        self._progress_recorded_ms = 0
        self._handlers = {
            commands.SubmitWorkflow: self._submit_workflow,
            commands.RefuseWorkflow: self._refuse_workflow,
            commands.CancelWorkflow: self._cancel_workflow,
            commands.RecordProgress: self._record_progress,
        }

    # Queries

    @property
    def open_workflows(self):
        """Workflows whose tasks may be started, as ``Workflow`` by id."""
        return self._open_workflows_by_id

    @property
    def retained_workflows(self):
        """Iterable of every ``Workflow`` that is kept with its tasks.

        It is open, or one of the ``MAX_DETAILED_ENDED`` latest that ended,
        less than ``DETAIL_RETENTION_MS`` ago.
        """
        return self._workflows.values()

    @property
    def worker_records(self):
        """Registered workers, as ``WorkerRecord`` by id."""
        return self._workers

    @property
    def silent_workers(self):
        """Log index at which it was agreed to give no leases, by worker id.

        No leader gives one to a worker that is listed here.
        """
        return self._silent_workers

    @property
    def image_pairs(self):
        """Learned ``ImagePair`` by (``serving``, ``filling``) image."""
        return self._image_pairs

    @property
    def run_times(self):
        """The ``RunTimes`` of tasks that are done."""
        return self._run_times

    @property
    def refusals(self):
        """List of the ``RefusalRow`` that are kept, the oldest first."""
        return self._refusals.to_rows()

    @property
    def known_count(self):
        """Number of the workflows whose state is known, ended ones too."""
        return len(self._workflows) + len(self._ended_by_id)

    def find_workflow(self, workflow_id):
        """Returns the ``Workflow`` with this id, or None.

        One that ended a while ago is known only by its state.
        """
        return self._workflows.get(workflow_id)

    def find_public_state(self, workflow_id):
        """Returns the state of a workflow that callers see, None if unknown.

        Args:
            workflow_id: its id.
        """
        workflow = self._workflows.get(workflow_id)
        if workflow is not None:
            return workflow.public_state
        ended = self._ended_by_id.get(workflow_id)
        return ended.state if ended is not None else None

    def has_queue_for(self, command):
        """True if the path of a submission names a workflow of a queue.

        Args:
            command: the ``SubmitWorkflow``.
        """
        return bool(self.documents.resolve_path(command.host, command.path)[1])

    def current_queue(self, workflow):
        """Returns the queue of a workflow as currently configured.

        If the queue has been removed from the configuration, it returns the
        queue as it was when the workflow was submitted.
        """
        return self.documents.find_queue(workflow.queue.name) or workflow.queue

    def live_runs(self):
        """Returns the ``LiveRun`` of each run that may be executing."""
        return [
            run
            for workflow in self._workflows.values()
            for run in workflow.live_runs()
        ]

    def is_live_run(self, task_id, run_number):
        """Returns True if this run of the task may be executing."""
        workflow = self._workflows.get(task_id.workflow_id)
        task = workflow.tasks.get(task_id) if workflow else None
        return task is not None and run_number in task.live_runs

    def was_placed_recently(self, live_run):
        """Returns True if a ``LiveRun`` was placed shortly before now.

        Now is the time of the last recorded progress.
        """
        age_ms = self._progress_recorded_ms - live_run.placed_ms
        return age_ms < RECENT_PLACEMENT_MS

    def is_suspected(self, task_id):
        """Returns True if a task may have crashed the worker of its last run.

        Args:
            task_id: id of the task.
        """
        workflow = self.find_workflow(task_id.workflow_id)
        task = workflow.tasks.get(task_id) if workflow else None
        return task is not None and task.possible_worker_crashes > 0

    def query(self, query):
        """Answers ``LookUpPath``.

        Returns:
            ``queries.WorkflowState`` if the path names a workflow,
            ``queries.PendingCount`` if it names a queue, or
            ``queries.NotFound``.
        """
        if self.documents.document is None:
            return queries.NotFound('document')
        queue, workflow_id = self.documents.resolve_path(
            query.host, query.path
        )
        if queue is None:
            return queries.NotFound('queue')
        if not workflow_id:
            return queries.PendingCount(self._count_pending_workflows(queue))
        public_state = self.find_public_state(workflow_id)
        if public_state is None:
            return queries.NotFound('workflow')
        return queries.WorkflowState(public_state)

    def _count_pending_workflows(self, queue):
        return sum(
            workflow.queue.name == queue.name and not workflow.has_begun
            for workflow in self._open_workflows_by_id.values()
        )

    # Commands

    def apply(self, index, command):
        """Applies one command; see ``Part.apply``."""
        outcome = self._handlers[type(command)](command)
        if isinstance(command, commands.RecordProgress):
            self._record_silence(index, command)
        return outcome

    def _record_silence(self, index, command):
        for name in command.heard:
            self._silent_workers.pop(name, None)
        for name in command.silent:
            if name in self._workers:
                self._silent_workers.setdefault(name, index)

    def _submit_workflow(self, command):
        queue, workflow_id = self.documents.resolve_path(
            command.host, command.path
        )
        if not workflow_id:
            return self._refuse_unknown_path(command, command.submitted_ms)
        public_state = self.find_public_state(workflow_id)
        if public_state is not None:
            return outcomes.WorkflowOutcome(public_state)
        denial = self._find_denial(workflow_id, command)
        if denial is not None:
            return denial
        workflow = _workflows_model.Workflow(
            workflow_id, queue, command.spec, command.submitted_ms
        )
        self._workflows[workflow_id] = workflow
        self._open_workflows_by_id[workflow_id] = workflow
        return outcomes.WorkflowOutcome(workflow.public_state)

    def _find_denial(self, workflow_id, command):
        """Returns the outcome of a submission that was denied, or None.

        Args:
            workflow_id: id of a workflow that is not known.
            command: the ``SubmitWorkflow``, which may be an older copy.
        """
        keys = (
            _denials.make_key(workflow_id),
            _denials.make_key(command.host, command.path),
        )
        for key in keys:
            retry_after_ms = self._cancels.find_retry_after_ms(
                key, command.submitted_ms, self._progress_recorded_ms
            )
            if retry_after_ms is not None:
                return _refused_outcome('cancelled', retry_after_ms)
        for key in keys:
            retry_after_ms = self._refusals.find_retry_after_ms(
                key, command.submitted_ms
            )
            if retry_after_ms is not None:
                return _refused_outcome('overloaded', retry_after_ms)
        return None

    def _refuse_unknown_path(self, command, refused_ms):
        """Keeps the refusal of a request whose queue is not known yet.

        A later document may have the queue, and an older copy of the request
        must not run then.

        Args:
            command: the command, which has a submission time.
            refused_ms: time of the refusal, since the epoch.

        Returns:
            The ``WorkflowOutcome``.
        """
        self._refusals.add(
            _refusals.RefusalRow(
                _denials.make_key(command.host, command.path),
                command.submitted_ms,
                refused_ms,
                0,
                '',
                False,
            )
        )
        has_document = self.documents.document is not None
        return _refused_outcome('no_queue' if has_document else 'no_document')

    def _refuse_workflow(self, command):
        queue, workflow_id = self.documents.resolve_path(
            command.host, command.path
        )
        if not workflow_id:
            return self._refuse_unknown_path(command, command.refused_ms)
        public_state = self.find_public_state(workflow_id)
        if public_state is not None:
            return outcomes.WorkflowOutcome(public_state)
        self._refusals.add(
            _refusals.RefusalRow(
                _denials.make_key(workflow_id),
                command.submitted_ms,
                command.refused_ms,
                command.retry_after_ms,
                queue.name,
                command.is_best_effort,
            )
        )
        return _refused_outcome('overloaded', command.retry_after_ms)

    def _cancel_workflow(self, command):
        if self.documents.document is None:
            return _refused_outcome('no_document')
        queue, workflow_id = self.documents.resolve_path(
            command.host, command.path
        )
        # The last recorded progress may be long ago.  What is kept with that
        # time would be removed too early.
        now_ms = max(self._progress_recorded_ms, command.cancelled_ms)
        if queue is None:
            # A later document may have the queue.
            self._cancels.add(
                _denials.make_key(command.host, command.path), now_ms
            )
            return _refused_outcome('no_queue')
        if not workflow_id:
            return _refused_outcome('no_workflow')
        workflow = self._workflows.get(workflow_id)
        if workflow is None:
            ended = self._ended_by_id.get(workflow_id)
            if ended is not None:
                return outcomes.WorkflowOutcome(ended.state)
            self._cancels.add(_denials.make_key(workflow_id), now_ms)
            return _refused_outcome('no_workflow')
        workflow.cancel()
        self._close_workflow_if_ended(workflow, now_ms)
        return outcomes.WorkflowOutcome(workflow.public_state)

    def _record_progress(self, command):
        self._progress_recorded_ms = max(
            self._progress_recorded_ms, command.now_ms
        )
        for worker in command.workers:
            self._register_worker(worker)
        for run_end in command.ends:
            self._record_run_end(run_end, command.now_ms)
        for lost_run in command.lost:
            self._record_lost_run(lost_run)
        for placement in command.placed:
            self._place_run(placement)
        for pair in command.learned:
            self._store_image_pair(pair)
        for live_run in command.moved:
            self._move_run(live_run)
        for live_run in command.survived:
            self._record_survival(live_run)
        for workflow_id in command.begun:
            self._record_begin(workflow_id)
        self._remove_expired_workflows()
        self._refusals.remove_expired(self._progress_recorded_ms)
        self._cancels.remove_expired(self._progress_recorded_ms)
        return outcomes.Done()

    def _register_worker(self, worker):
        """Stores the record of a worker.

        The number of the worker's last recorded run end does not decrease,
        unless the worker's process has been restarted.
        """
        known_worker = self._workers.get(worker.worker)
        if known_worker is not None and known_worker.born_ms == worker.born_ms:
            last_end_number = max(known_worker.ends_noted, worker.ends_noted)
            worker = msgspec.structs.replace(
                worker, ends_noted=last_end_number
            )
        self._workers[worker.worker] = worker

    def _record_run_end(self, run_end, reported_ms):
        """Applies a ``RunEnd`` that a worker has reported.

        An end that the worker's current process has listed and that was
        recorded before is ignored.

        Args:
            run_end: the ``RunEnd``.
            reported_ms: time of the report by the leader's clock.
        """
        worker = self._workers.get(run_end.worker)
        if worker is not None and worker.born_ms == run_end.born_ms:
            if run_end.number <= worker.ends_noted:
                return
            self._workers[run_end.worker] = msgspec.structs.replace(
                worker, ends_noted=run_end.number
            )
        workflow = self._workflows.get(run_end.task.workflow_id)
        if workflow is None or run_end.task not in workflow.tasks:
            return
        now_ms = self._progress_recorded_ms
        if run_end.how == 'done':
            self._record_run_time(workflow, run_end, reported_ms)
            workflow.finish_task(run_end.task, run_end.run, now_ms)
        elif run_end.how == 'failed':
            queue = self.current_queue(workflow)
            workflow.fail_run(
                run_end.task,
                run_end.run,
                run_end.checkpoint,
                queue.max_failures,
                now_ms,
            )
        else:
            workflow.end_run(
                run_end.task, run_end.run, run_end.checkpoint, now_ms
            )
        self._close_workflow_if_ended(workflow, now_ms)

    def _record_run_time(self, workflow, run_end, reported_ms):
        """Records the run time of a live run that is done.

        A run that went on from a checkpoint has not run the whole task.  A run
        that was placed after the report of its end, as the clock of a new
        leader is behind that of the earlier one, has no valid run time.  The
        latest agreed time is not used: while it is ahead of a clock that was
        set back, all run times would be too long.
        """
        step = workflow.get_step(run_end.task)
        task = workflow.tasks[run_end.task]
        live_run = task.live_runs.get(run_end.run)
        if live_run is None or not live_run.placed_ms:
            return
        run_ms = reported_ms - live_run.placed_ms
        if run_ms < 0 or task.checkpoint or step.lasts:
            return
        workflow.record_run_time(run_end.task.step, run_ms)
        self._run_times.record_run(
            workflow.queue.name, run_end.task.step, step, run_ms
        )

    def _record_lost_run(self, lost_run):
        workflow = self._workflows.get(lost_run.task.workflow_id)
        if workflow is None:
            return
        workflow.lose_run(lost_run, self._progress_recorded_ms)
        self._close_workflow_if_ended(workflow, self._progress_recorded_ms)

    def _place_run(self, placement):
        workflow = self._workflows.get(placement.task.workflow_id)
        if workflow is not None and workflow.may_place(placement):
            workflow.place_run(placement)

    def _move_run(self, live_run):
        workflow = self._workflows.get(live_run.task.workflow_id)
        if workflow is not None:
            workflow.move_run(live_run)

    def _record_survival(self, live_run):
        workflow = self._workflows.get(live_run.task.workflow_id)
        if workflow is not None:
            workflow.record_survival(live_run)

    def _record_begin(self, workflow_id):
        workflow = self._workflows.get(workflow_id)
        if workflow is not None:
            workflow.has_begun = True

    def _store_image_pair(self, pair):
        """Stores a pair as the most recently updated one.

        Beyond ``MAX_IMAGE_PAIRS`` the least recently updated one is removed.
        """
        images = pair.serving, pair.filling
        self._image_pairs.pop(images, None)
        self._image_pairs[images] = pair
        if len(self._image_pairs) > MAX_IMAGE_PAIRS:
            del self._image_pairs[next(iter(self._image_pairs))]

    def _close_workflow_if_ended(self, workflow, now_ms):
        if (
            workflow.is_open
            or workflow.workflow_id not in self._open_workflows_by_id
        ):
            return
        del self._open_workflows_by_id[workflow.workflow_id]
        self._ended_workflows.append(
            _EndedWorkflow(workflow.workflow_id, now_ms)
        )
        self._drop_old_tasks(self._progress_recorded_ms)

    def _drop_old_tasks(self, now_ms):
        """Drops the tasks of ended workflows, but of the latest ones.

        It stops at the first that has a run that may still be executing.
        """
        while self._ended_workflows:
            oldest_ended = self._ended_workflows[0]
            workflow = self._workflows[oldest_ended.workflow_id]
            is_recent = oldest_ended.ended_ms > now_ms - DETAIL_RETENTION_MS
            has_room = len(self._ended_workflows) <= MAX_DETAILED_ENDED
            if is_recent and has_room or workflow.is_running:
                return
            self._ended_workflows.popleft()
            self._drop_tasks(workflow, oldest_ended.ended_ms, is_recent)

    def _drop_tasks(self, workflow, ended_ms, is_recent):
        """Keeps only the state of an ended workflow.

        Of one that was cancelled lately it keeps what it does of cancels of
        unknown workflows, of which there may be any number.

        Args:
            workflow: the ``Workflow``.
            ended_ms: agreed time of its end.
            is_recent: True if it is dropped for want of room.
        """
        del self._workflows[workflow.workflow_id]
        if is_recent and workflow.state == _workflows_model.CANCELLED:
            self._cancels.add(
                _denials.make_key(workflow.workflow_id), ended_ms
            )
            return
        self._ended_by_id[workflow.workflow_id] = _EndedWorkflow(
            workflow.workflow_id, ended_ms, workflow.public_state
        )

    def _remove_expired_workflows(self):
        """Removes what is not kept any more of the workflows that ended.

        Their states are dropped in the order in which their tasks were.
        """
        now_ms = self._progress_recorded_ms
        self._drop_old_tasks(now_ms)
        while self._ended_by_id:
            oldest_ended = next(iter(self._ended_by_id.values()))
            if oldest_ended.ended_ms > now_ms - ENDED_RETENTION_MS:
                return
            del self._ended_by_id[oldest_ended.workflow_id]

    # Snapshots

    def snapshot(self):
        """Returns the whole part as bytes."""
        return _STATE_CODEC.encode(
            _PartState(
                self._progress_recorded_ms,
                [workflow.to_row() for workflow in self._workflows.values()],
                [*self._ended_by_id.values(), *self._ended_workflows],
                list(self._workers.values()),
                list(self._image_pairs.values()),
                self._run_times.to_rows(),
                self._refusals.to_rows(),
                self._refusals.dropped_ms,
                self._cancels.to_rows(),
                self._cancels.dropped_ms,
                self._silent_workers,
            )
        )

    def restore(self, data):
        """Replaces the whole part by what ``snapshot`` returned."""
        snapshot = _STATE_CODEC.decode(data)
        self._progress_recorded_ms = snapshot.now_ms
        self._workflows = {
            record.workflow_id: _workflows_model.Workflow.from_row(record)
            for record in snapshot.workflows
        }
        self._open_workflows_by_id = {
            workflow_id: workflow
            for workflow_id, workflow in self._workflows.items()
            if workflow.is_open
        }
        self._ended_workflows = collections.deque(
            ended for ended in snapshot.ended if not ended.state
        )
        self._ended_by_id = {
            ended.workflow_id: ended for ended in snapshot.ended if ended.state
        }
        self._workers = {record.worker: record for record in snapshot.workers}
        self._image_pairs = {
            (record.serving, record.filling): record
            for record in snapshot.pairs
        }
        self._run_times = _run_times.RunTimes.from_rows(snapshot.run_times)
        self._refusals = _refusals.RefusalTable(
            snapshot.refusals, snapshot.refusals_dropped_ms
        )
        self._cancels = _cancels.CancelTable(
            snapshot.cancels, snapshot.cancels_dropped_ms
        )
        self._silent_workers = dict(snapshot.silent_workers)
