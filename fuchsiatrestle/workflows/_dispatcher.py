"""Turns agreed workflows into orders to workers, without I/O.

What is agreed has been committed to the replicated log.
"""

import collections

from fuchsiatrestle import core
from fuchsiatrestle import logs
from fuchsiatrestle import metrics
from fuchsiatrestle.state import commands
from fuchsiatrestle.workflows import _announcing
from fuchsiatrestle.workflows import _answers
from fuchsiatrestle.workflows import _backlog
from fuchsiatrestle.workflows import _book
from fuchsiatrestle.workflows import _driver
from fuchsiatrestle.workflows import _events
from fuchsiatrestle.workflows import _interference
from fuchsiatrestle.workflows import _orders
from fuchsiatrestle.workflows import _policy_list
from fuchsiatrestle.workflows import _round_planner
from fuchsiatrestle.workflows import _run_ends
from fuchsiatrestle.workflows import _runs
from fuchsiatrestle.workflows import _settings

__all__ = ('Dispatcher',)

# Interval at which changed image pairs are added to the next proposal.
IMAGE_PAIR_PROPOSAL_INTERVAL_MS = 1000
# Largest share of the workers with runs that are taken for silent; as many as
# the minimum are in any case.
MAX_SILENT_SHARE = 0.25
MIN_SILENT_WORKERS = 2

GIVEN_UP_TASKS = metrics.declare(
    'workflows.given_up', 'Tasks given up because they crash their workers.'
)

LOG = logs.get_logger(__name__)

_Phase = _runs.Phase


class Dispatcher(core.Core):
    """Places, starts, observes and stops runs while its replica leads.

    Args:
        workflow_store: the part of the replicated state with the workflows,
            read only.
        token: fencing token, higher than that of every earlier leader.
        timing: ``Timing``.
        now_ms: monotonic time, in milliseconds.
        placer: ``Placer``; that of the policies by default.
        features: ``Features``; by default none is switched on.
        silence_times: ``SilenceTimes`` of this replica; None if it has none.
    """

    def __init__(
        self,
        workflow_store,
        token,
        timing,
        now_ms,
        placer=None,
        features=None,
        silence_times=None,
    ):
        features = features or _settings.Features()
        self._state = _book.DispatchState(
            workflow_store, token, timing, now_ms
        )
        self._state.policies = _policy_list.make_policies(
            features, self._state
        )
        self._interference_model = _interference.InterferenceModel()
        self._backlog = _backlog.Backlog(
            workflow_store, features.learns_run_times
        )
        self._round_planner = _round_planner.PlacementPlanner(
            self._state,
            self._backlog,
            self._interference_model,
            placer
            or _policy_list.make_placer(
                self._state.policies, self._interference_model
            ),
            self._state.policies,
        )
        self._order_planner = _orders.OrderPlanner(self._state, timing)
        self._announcement_handler = _announcing.AnnouncementHandler(
            self._state
        )
        self._reply_handler = _answers.ReplyHandler(
            self._state, self._announcement_handler, self._interference_model
        )
        self._image_pairs_proposed_ms = now_ms
        # Ids of the workers whose withdrawals are not acknowledged yet.
        self._withdrawn_workers = []
        self._last_tick_wall_ms = 0
        self._last_tick_ms = now_ms
        self._effects = []
        self._event_handlers = {
            _events.Tick: self._on_tick,
            _events.WorkerAnnounced: self._on_worker_announced,
            _events.WorkerWithdrawn: self._on_worker_withdrawn,
            _events.ReplyReceived: self._on_reply_received,
            _events.CommandApplied: self._on_command_applied,
            _events.ProposalRejected: self._on_proposal_rejected,
        }
        self._command_handlers = {
            commands.SubmitWorkflow: self._on_workflow_submitted,
            commands.CancelWorkflow: self._on_workflow_cancelled,
            commands.RecordProgress: self._on_progress_recorded,
        }
        self._interference_model.adopt_image_pairs(
            workflow_store.image_pairs.values()
        )
        self._adopt_agreed_runs(silence_times)

    def step(self, event, now_ms):
        """Handles one event; see ``core.Core``."""
        self._state.now_ms = now_ms
        self._event_handlers[type(event)](event)
        if self._may_place and self._state.placement_due:
            self._state.placement_due = False
            for worker in self._round_planner.place_waiting_groups(
                self._wall_now()
            ):
                self._send_due_orders(worker)
        self._acknowledge_withdrawals()
        self._effects += self._state.proposals.propose_items(self._wall_now())
        effects = self._effects
        self._effects = []
        return effects

    def find_refusal(self, submission, now_ms):
        """Decides whether a workflow is refused when it is submitted.

        Nothing is refused before the first tick, which tells the time of day.

        Args:
            submission: the ``commands.SubmitWorkflow``, not proposed yet.
            now_ms: monotonic time.

        Returns:
            The ``commands.RefuseWorkflow`` to propose in its place, or None.
        """
        self._state.now_ms = now_ms
        if not self._last_tick_wall_ms:
            return None
        for policy in self._state.policies:
            refusal = policy.find_refusal(submission, self._wall_now())
            if refusal is not None:
                return refusal
        return None

    @property
    def worker_count(self):
        """Number of the workers that had announced themselves lately."""
        return self._state.worker_count

    @property
    def _may_place(self):
        """False before the first tick, which tells the time of day."""
        return self._last_tick_wall_ms > 0 and self._state.proposals.is_idle

    def _wall_now(self):
        """Returns the time since the epoch, counted on from the last tick."""
        return (
            self._last_tick_wall_ms + self._state.now_ms - self._last_tick_ms
        )

    # Start of the leadership

    def _adopt_agreed_runs(self, silence_times):
        for record in self._state.workflow_store.worker_records.values():
            silent_since_ms = None
            if silence_times is not None:
                silent_since_ms = silence_times.find_ms(record.worker)
            worker = self._state.fleet.adopt_worker(
                record, self._state.now_ms, silent_since_ms
            )
            self._state.update_silence(worker)
        # Best-effort runs come last: what they may disturb is known by then.
        live_runs = sorted(
            self._state.workflow_store.live_runs(), key=self._is_best_effort
        )
        for live_run in live_runs:
            worker = self._state.fleet.get(live_run.worker)
            phase = _Phase.STARTING
            if worker.record.born_ms != live_run.born_ms:
                # The worker's process has restarted since the run was placed.
                # The run is stopped, not recorded as lost: a start order sent
                # by an earlier leader may still reach the new process.
                phase = _Phase.STOPPING
            elif not self._state.should_continue(live_run):
                phase = _Phase.STOPPING
            run = _runs.Run(
                live_run, self._state.find_step(live_run.task), phase
            )
            run.adopted = True
            # Earlier leaders have sent nothing since this one was elected.
            run.starts_over_ms = self._state.now_ms + _driver.MAX_SEND_MS
            run.adopted_soon = self._state.workflow_store.was_placed_recently(
                live_run
            )
            run.adopted_suspected = self._state.workflow_store.is_suspected(
                live_run.task
            )
            if worker.record.born_ms != live_run.born_ms:
                _announcing.prepare_adopted_run(worker, run)
            if run.is_best_effort:
                self._adopt_pace(run, worker)
            worker.add_run(run)
        for worker in self._state.fleet:
            worker.adopt_cpu_sharing()
        LOG.info(
            'dispatch_started',
            extra={
                'token': self._state.token,
                'workers': len(self._state.workflow_store.worker_records),
                'runs': len(self._state.workflow_store.live_runs()),
                'open': len(self._state.workflow_store.open_workflows),
            },
        )

    def _is_best_effort(self, live_run):
        step = self._state.find_step(live_run.task)
        return step is not None and step.fills

    def _adopt_pace(self, run, worker):
        """Has the pace of a best-effort run ordered anew.

        An earlier leader may have halted it.
        """
        run.pace_percent = None
        severity = self._interference_model.worst_severity(
            worker.serving_images, run.step.image
        )
        if severity == _interference.Severity.HEAVY:
            run.limit_pace()

    # Announcements and replies of workers

    def _on_worker_announced(self, event):
        self._announcement_handler.on_worker_announced(event)
        worker = self._state.fleet.get(event.announcement.worker)
        if worker is not None:
            self._send_due_orders(worker)

    def _on_worker_withdrawn(self, event):
        self._announcement_handler.on_worker_withdrawn(event)
        if event.worker not in self._withdrawn_workers:
            self._withdrawn_workers.append(event.worker)
        worker = self._state.fleet.get(event.worker)
        if worker is not None:
            self._send_due_orders(worker)

    def _acknowledge_withdrawals(self):
        now_ms = self._state.now_ms
        for name in list(self._withdrawn_workers):
            worker = self._state.fleet.get(name)
            if not _announcing.may_end_process(worker, now_ms):
                continue
            self._withdrawn_workers.remove(name)
            self._effects.append(_events.AcknowledgeWithdrawal(name))
            if worker is not None and worker.withdrawn_ms is not None:
                LOG.info(
                    'withdrawal_acknowledged',
                    extra={
                        'worker': name,
                        'waited_ms': now_ms - worker.withdrawn_ms,
                        'runs': len(worker.runs),
                    },
                )

    def _on_reply_received(self, event):
        worker = self._reply_handler.handle_reply(event)
        if worker is not None:
            self._send_due_orders(worker)

    # Ticks and due orders

    def _on_tick(self, tick):
        self._last_tick_wall_ms = tick.wall_ms
        self._last_tick_ms = self._state.now_ms
        self._state.placement_due = True
        self._state.worker_count = self._state.fleet.count_present_workers(
            self._state.now_ms
        )
        self._propose_image_pairs()
        self._withhold_leases()
        for worker in self._state.fleet:
            worker.forget_failed_starts(self._state.now_ms)
            self._check_lost_worker(worker)
            self._send_due_orders(worker)

    def _propose_image_pairs(self):
        """Adds changed image pairs to the next proposal.

        The next leader learns of them from the agreed state.
        """
        now_ms = self._state.now_ms
        self._interference_model.decay(now_ms)
        if (
            now_ms - self._image_pairs_proposed_ms
            < IMAGE_PAIR_PROPOSAL_INTERVAL_MS
        ):
            return
        self._image_pairs_proposed_ms = now_ms
        agreed_pairs = self._state.workflow_store.image_pairs
        for pair in self._interference_model.changed_image_pairs(agreed_pairs):
            self._state.proposals.add_image_pair(pair)

    def _withhold_leases(self):
        """Proposes that silent workers with runs get no leases.

        None is proposed while many of them are silent: this process, or the
        way to it, is at fault then, and most will soon be heard again.  They
        would get no lease before that is agreed.
        """
        used_workers = [worker for worker in self._state.fleet if worker.runs]
        silent_workers = [
            worker for worker in used_workers if worker.is_unresponsive
        ]
        if len(silent_workers) > max(
            MIN_SILENT_WORKERS, len(used_workers) * MAX_SILENT_SHARE
        ):
            return
        for worker in silent_workers:
            if not worker.is_lease_withheld:
                self._state.withhold_leases(worker)

    def _check_lost_worker(self, worker):
        """Records the runs of a worker as lost that its lease has ended."""
        if not worker.is_unresponsive:
            return
        for run in list(worker.runs.values()):
            if run.phase == _Phase.PLACED:
                continue
            proof = _run_ends.find_proof_by_lease(
                worker, run, self._state.now_ms
            )
            if proof is not None:
                self._state.record_lost_run(worker, run, proof)

    def _send_due_orders(self, worker):
        self._effects += self._order_planner.due_orders(
            worker, self._state.now_ms
        )

    # Agreed commands and rejected proposals

    def _on_command_applied(self, event):
        handler = self._command_handlers.get(type(event.command))
        if handler is not None:
            handler(event.command)
        for policy in self._state.policies:
            policy.record_command(event.command)
        self._state.placement_due = True

    def _find_workflow_id(self, command):
        documents = self._state.workflow_store.documents
        return documents.resolve_path(command.host, command.path)[1]

    def _on_workflow_submitted(self, command):
        self._backlog.refresh_workflow(self._find_workflow_id(command))

    def _on_workflow_cancelled(self, command):
        workflow_id = self._find_workflow_id(command)
        self._backlog.refresh_workflow(workflow_id)
        workflow = self._state.workflow_store.find_workflow(workflow_id)
        if workflow is not None:
            self._send_due_orders_to(
                self._stop_unwanted_runs(workflow.live_runs(), 'cancelled')
            )

    def _on_progress_recorded(self, command):
        self._state.proposals.end_agreed_proposal(command)
        changed_tasks = collections.defaultdict(set)
        for change in (*command.ends, *command.lost, *command.placed):
            changed_tasks[change.task.workflow_id].add(change.task)
        for workflow_id, task_ids in changed_tasks.items():
            self._backlog.refresh_tasks(workflow_id, task_ids)
        # No order is made before all runs that it may be about are updated.
        worker_names = {run_end.worker for run_end in command.ends}
        for live_run in command.placed:
            self._start_agreed_run(live_run)
            worker_names.add(live_run.worker)
        worker_names |= self._stop_runs_of_ended_tasks(
            (*command.ends, *command.lost)
        )
        for name in command.heard:
            worker = self._state.fleet.get(name)
            if worker is not None:
                self._state.update_silence(worker)
                worker.next_poll_ms = self._state.now_ms
                worker_names.add(name)
        for lost_run in command.lost:
            self._log_given_up_task(lost_run.task)
        self._send_due_orders_to(worker_names)

    def _send_due_orders_to(self, worker_names):
        for name in sorted(worker_names):
            worker = self._state.fleet.get(name)
            if worker is not None:
                self._send_due_orders(worker)

    def _stop_runs_of_ended_tasks(self, ended_runs):
        """Stops other runs that are not wanted as these runs have ended.

        A task that is done needs no other run of it, and a workflow that has
        ended needs no run at all.

        Args:
            ended_runs: ``RunEnd`` and ``RunLost`` values.

        Returns:
            The set of the names of the workers with stopped runs.
        """
        worker_names = set()
        closed_ids = set()
        for ended_run in ended_runs:
            workflow_id = ended_run.task.workflow_id
            workflow = self._state.workflow_store.find_workflow(workflow_id)
            if workflow is None or workflow_id in closed_ids:
                continue
            live_runs = []
            if not workflow.is_open:
                closed_ids.add(workflow_id)
                live_runs = workflow.live_runs()
            elif ended_run.task in workflow.tasks:
                live_runs = workflow.tasks[ended_run.task].live_runs.values()
            worker_names |= self._stop_unwanted_runs(live_runs, 'closed')
        return worker_names

    def _log_given_up_task(self, task_id):
        """Logs that a task is not started again as it crashes its workers."""
        workflow = self._state.workflow_store.find_workflow(
            task_id.workflow_id
        )
        task = workflow.tasks.get(task_id) if workflow else None
        if task is None or not task.crashes_workers:
            return
        metrics.count(GIVEN_UP_TASKS)
        LOG.warning(
            'task_given_up',
            extra={
                'workflow': task_id.workflow_id,
                'task': _runs.format_task_id(task_id),
                'crashes': task.worker_crashes,
                'possible': task.possible_worker_crashes,
                'state': workflow.public_state,
            },
        )

    def _start_agreed_run(self, live_run):
        """Has a run started whose placement was agreed, if it is wanted."""
        worker, run = self._state.find_worker_and_run(live_run)
        if run is None or run.phase != _Phase.PLACED:
            return
        if not self._state.workflow_store.is_live_run(
            live_run.task, live_run.run
        ):
            worker.remove_run(run.key)
        elif worker.record.born_ms != live_run.born_ms:
            self._record_unsent_run(worker, run, 'worker_reborn')
        elif worker.withdrawn_ms is not None:
            self._record_unsent_run(worker, run, 'worker_leaves')
        else:
            run.phase = _Phase.STARTING

    def _record_unsent_run(self, worker, run, reason):
        """Records a run as lost before its start was ordered."""
        self._state.record_lost_run(
            worker, run, _run_ends.Proof.NEVER_SENT, reason
        )

    def _stop_unwanted_runs(self, live_runs, reason):
        """Stops those of some runs that are not wanted any more.

        Args:
            live_runs: the ``LiveRun`` values.
            reason: why, for the log.

        Returns:
            The set of the names of their workers.
        """
        worker_names = set()
        for live_run in live_runs:
            if self._state.should_continue(live_run):
                continue
            worker, run = self._state.find_worker_and_run(live_run)
            if run is not None and run.phase != _Phase.PLACED:
                self._state.end_run(worker, run, reason)
                worker_names.add(worker.name)
        return worker_names

    def _on_proposal_rejected(self, event):
        for live_run in self._state.proposals.requeue_rejected_items(
            event.token
        ):
            worker, run = self._state.find_worker_and_run(live_run)
            if run is not None:
                worker.remove_run(run.key)
        self._state.placement_due = True
