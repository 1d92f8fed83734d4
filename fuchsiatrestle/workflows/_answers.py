"""Updates workers and runs from the workers' replies to orders."""

import msgspec

from fuchsiatrestle import logs
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import workflows
from fuchsiatrestle.workflows import _crashes
from fuchsiatrestle.workflows import _events
from fuchsiatrestle.workflows import _fleet
from fuchsiatrestle.workflows import _pacing
from fuchsiatrestle.workflows import _run_ends
from fuchsiatrestle.workflows import _runs

__all__ = ('ReplyHandler',)

LOG = logs.get_logger(__name__)

_Phase = _runs.Phase
_Verdict = _events.Verdict
# Verdicts by which a worker tells that it has not carried out the order.
_REFUSAL_VERDICTS = (
    _Verdict.NO_ROOM,
    _Verdict.NO_TICKET,
    _Verdict.UNHEALTHY,
    _Verdict.INVALID,
)


class ReplyHandler:
    """Handles the replies to orders.

    An order without a reply proves nothing: the worker may have carried it out
    or may still do so.

    Args:
        dispatch_state: ``DispatchState``.
        announcement_handler: ``AnnouncementHandler``, which is called when a
            reply shows that a worker's process has restarted.
        interference_model: ``InterferenceModel``, which learns from the tail
            latencies that workers list.
    """

    def __init__(
        self, dispatch_state, announcement_handler, interference_model
    ):
        self._dispatch_state = dispatch_state
        self._announcement_handler = announcement_handler
        self._interference_model = interference_model
        self._reply_handlers = {
            _events.StartRun: self._on_start_reply,
            _events.StopRun: self._on_stop_reply,
            _events.SetRunPace: self._on_pace_reply,
        }

    def handle_reply(self, event):
        """Handles the reply to an order.

        Args:
            event: ``ReplyReceived``.

        Returns:
            The ``Worker``, or None if it is not known or the reply is from
            an earlier process of the worker.
        """
        order, reply = event.order, event.reply
        worker = self._dispatch_state.fleet.get(order.worker)
        if worker is None:
            return None
        if not worker.end_wait(order) and not worker.is_of_later_process(
            reply.born_ms
        ):
            # The order was sent to an earlier process.
            return None
        if worker.record.address != order.address:
            self._end_order_to_former_process(worker, order)
            return worker
        if _names_announced_start(worker, reply):
            worker = self._announcement_handler.replace_by_earlier_start(
                worker
            )
            worker.record_clock(reply.clock_ms, self._dispatch_state.now_ms)
            return worker
        if isinstance(order, _events.PollWorker):
            worker.earlier_record = None
        if 0 < reply.born_ms < worker.record.born_ms:
            self._end_order_to_former_process(worker, order)
            return None
        if reply.verdict == _Verdict.SILENT:
            retry_delay_ms = worker.record_timeout(self._dispatch_state.now_ms)
        else:
            retry_delay_ms = 0
            worker.record_reply(self._dispatch_state.now_ms)
            if reply.verdict != _Verdict.OTHER_PROCESS and reply.born_ms in (
                0,
                worker.record.born_ms,
            ):
                worker.record_clock(
                    reply.clock_ms, self._dispatch_state.now_ms
                )
        if reply.born_ms > worker.record.born_ms:
            record = msgspec.structs.replace(
                worker.record, born_ms=reply.born_ms, ends_noted=0
            )
            sent_ms = worker.poll_sent_ms
            was_pending = order is worker.pending_poll
            worker = self._announcement_handler.replace_worker(worker, record)
            worker.record_clock(reply.clock_ms, self._dispatch_state.now_ms)
            if was_pending:
                self._record_life_sign(worker, reply, sent_ms)
        elif reply.verdict == _Verdict.OTHER_PROCESS:
            worker.pending_poll = None
            worker.pause_placement(self._dispatch_state.now_ms)
            worker.next_poll_ms = (
                self._dispatch_state.now_ms + _fleet.RETRY_MAX_MS
            )
            self._record_replaced_worker(worker)
        elif isinstance(order, _events.PollWorker):
            self._on_poll_reply(worker, order, reply, retry_delay_ms)
        else:
            self._on_run_reply(worker, order, reply, retry_delay_ms)
        return worker

    def _record_replaced_worker(self, worker):
        """Records all runs of a worker whose address another worker has."""
        for run in list(worker.runs.values()):
            if run.phase != _Phase.PLACED:
                self._dispatch_state.record_lost_run(
                    worker, run, _run_ends.Proof.OTHER_WORKER_THERE
                )

    def _end_order_to_former_process(self, worker, order):
        """Ends the wait for an order that the worker's process did not answer.

        It was sent to an address that the worker has left, or an earlier
        process of the worker answered; such a reply proves nothing.
        """
        if not isinstance(order, _events.PollWorker):
            silent_reply = _events.Reply(
                _Verdict.SILENT, None, 0, [], [], False
            )
            self._on_run_reply(
                worker, order, silent_reply, _fleet.RETRY_MIN_MS
            )
        elif order is worker.pending_poll:
            worker.pending_poll = None
            worker.poll_outcome = _fleet.FORMER_PROCESS
            worker.next_poll_ms = (
                self._dispatch_state.now_ms + _fleet.RETRY_MIN_MS
            )

    def _on_run_reply(self, worker, order, reply, retry_delay_ms):
        run = worker.runs.get((order.task, order.run))
        if run is not None and isinstance(order, _events.StartRun):
            run.starts_over_ms = max(
                self._dispatch_state.now_ms, run.starts_over_ms or 0
            )
        if run is None or run.pending_order is not order:
            # What a superseded start order did is told by a list.
            return
        run.pending_order = None
        self._reply_handlers[type(order)](
            worker, run, order, reply, retry_delay_ms
        )

    def _on_start_reply(self, worker, run, order, reply, retry_delay_ms):
        verdict = reply.verdict
        if verdict in (_Verdict.ACCEPTED, _Verdict.OUTDATED):
            worker.failed_start_count = 0
            run.record_start(self._dispatch_state.now_ms, reply.clock_ms)
            if run.phase == _Phase.STARTING:
                run.phase = _Phase.RUNNING
            if verdict == _Verdict.ACCEPTED:
                self._dispatch_state.record_begin(run)
        elif verdict == _Verdict.SILENT:
            run.start_uncertain = True
            run.next_order_ms = self._dispatch_state.now_ms + retry_delay_ms
        elif verdict in _REFUSAL_VERDICTS:
            worker.pause_placement(self._dispatch_state.now_ms)
            self._on_start_refused(worker, run, verdict)
        elif verdict == _Verdict.FENCED:
            run.next_order_ms = (
                self._dispatch_state.now_ms + _fleet.RETRY_MAX_MS
            )
        self._dispatch_state.log_run(
            'run_start_answered', run, verdict=verdict
        )

    def _on_start_refused(self, worker, run, verdict):
        if _run_ends.may_still_start(run):
            # An earlier start order may still arrive at the worker, or may
            # already have started the run.
            run.phase = _Phase.STOPPING
        else:
            self._dispatch_state.record_lost_run(
                worker, run, _run_ends.Proof.REFUSED, verdict
            )

    def _on_stop_reply(self, worker, run, order, reply, retry_delay_ms):
        if reply.verdict in (_Verdict.ACCEPTED, _Verdict.OUTDATED):
            run.stopped_ms = self._dispatch_state.now_ms
            worker.next_poll_ms = self._dispatch_state.now_ms
        else:
            retry_delay_ms = retry_delay_ms or _fleet.RETRY_MIN_MS
            run.next_order_ms = self._dispatch_state.now_ms + retry_delay_ms
        self._dispatch_state.log_run(
            'run_stop_answered', run, verdict=reply.verdict
        )

    def _on_pace_reply(self, worker, run, order, reply, retry_delay_ms):
        if reply.verdict == _Verdict.ACCEPTED:
            run.pace_percent = order.percent
            if run.stops_once_halted and not run.pace_percent:
                self._dispatch_state.stop_run(run, 'disturbs')
        else:
            # The worker may have changed the pace, and only its answer is
            # lost.
            run.pace_percent = None
            run.next_order_ms = self._dispatch_state.now_ms + (
                retry_delay_ms or _fleet.RETRY_MIN_MS
            )

    def _on_poll_reply(self, worker, order, reply, retry_delay_ms):
        if order is not worker.pending_poll:
            # A later poll was sent; this one's lists may be out of date.
            return
        worker.pending_poll = None
        worker.poll_outcome = reply.verdict
        if reply.verdict != _Verdict.ACCEPTED:
            worker.next_poll_ms = self._dispatch_state.now_ms + (
                retry_delay_ms or _fleet.RETRY_MAX_MS
            )
            return
        if reply.born_ms == worker.record.born_ms:
            self._record_life_sign(worker, reply, worker.poll_sent_ms)
        worker.next_poll_ms = self._dispatch_state.now_ms
        if worker.is_lease_withheld:
            self._dispatch_state.resume_leases(worker)
        if worker.is_lease_withheld:
            worker.next_poll_ms += _fleet.RETRY_MIN_MS
        worker.listed_ms = self._dispatch_state.now_ms
        _update_acknowledged_end(worker, order, reply)
        if not worker.has_seen_token:
            worker.has_seen_token = True
            worker.lease_clock.record_fencing(self._dispatch_state.now_ms)
        listed_keys = set()
        for row in reply.listed_runs:
            listed_keys.add((row.task, row.run))
            self._update_listed_run(worker, row, reply.clock_ms)
        for row in sorted(reply.listed_ends, key=lambda end: end.number):
            listed_keys.add((row.task, row.run))
            self._record_run_end(worker, row)
        if _run_ends.is_whole_list(worker, reply):
            for run in list(worker.runs.values()):
                if run.key not in listed_keys:
                    self._check_unlisted_run(worker, run, reply)
        else:
            self._log_partial_list(worker, reply)
        self._update_paces(worker)

    def _record_life_sign(self, worker, reply, sent_ms):
        """Records what the answer to a poll proves by its time.

        Args:
            worker: ``Worker`` of the process that has given it.
            reply: the ``Reply``.
            sent_ms: monotonic time at which the poll was made.
        """
        worker.life_signs.record_answer(reply.clock_ms, sent_ms)
        listed_keys = {(row.task, row.run) for row in reply.listed_runs}
        listed_keys |= {(row.task, row.run) for row in reply.listed_ends}
        for run in list(worker.runs.values()):
            proof = _run_ends.find_proof_by_birth(worker, run)
            if proof is not None and run.key not in listed_keys:
                self._dispatch_state.record_lost_run(worker, run, proof)

    def _log_partial_list(self, worker, reply):
        """Logs a list that proves nothing about the runs that it lacks."""
        LOG.info(
            'partial_list',
            extra={
                'worker': worker.name,
                'ends': len(reply.listed_ends),
                'born_ms': reply.born_ms,
                'known_born_ms': worker.record.born_ms,
            },
        )

    def _update_listed_run(self, worker, listed_run, worker_clock_ms):
        run = worker.runs.get((listed_run.task, listed_run.run))
        if run is None:
            run = self._add_stray_run(worker, listed_run)
        if run.phase == _Phase.STARTING:
            worker.failed_start_count = 0
            run.phase = _Phase.RUNNING
        run.record_listing(self._dispatch_state.now_ms, worker_clock_ms)
        self._dispatch_state.record_begin(run)
        if run.live_run.born_ms != worker.record.born_ms:
            self._record_moved_run(worker, run)
        self._record_survival(worker, run)
        run.checkpoint = listed_run.checkpoint or run.checkpoint
        run.progress_percent = listed_run.percent
        run.measurement = listed_run.measurement

    def _record_moved_run(self, worker, run):
        """Records a run with the process that has started it."""
        run.live_run = msgspec.structs.replace(
            run.live_run, born_ms=worker.record.born_ms
        )
        self._dispatch_state.proposals.add_moved_run(run.live_run)
        self._dispatch_state.log_run(
            'run_moved', run, born_ms=worker.record.born_ms
        )

    def _record_survival(self, worker, run):
        """Records once that a run of a suspected task is harmless.

        The next leader would else suspect the task again.
        """
        store = self._dispatch_state.workflow_store
        if run.survival_recorded or not _crashes.has_survived(worker, run):
            return
        run.survival_recorded = True
        if store.is_suspected(run.live_run.task):
            self._dispatch_state.proposals.add_survived_run(run.live_run)

    def _add_stray_run(self, worker, listed_run):
        """Adds a run that a worker lists unexpectedly, to be stopped."""
        live_run = workflows.LiveRun(
            listed_run.task, listed_run.run, worker.name, worker.record.born_ms
        )
        run = _runs.Run(
            live_run,
            self._dispatch_state.find_step(listed_run.task),
            _Phase.STOPPING,
        )
        run.start_uncertain = True
        worker.add_run(run)
        self._dispatch_state.log_run('run_stray', run, warn=True)
        return run

    def _record_run_end(self, worker, listed_end):
        run = worker.remove_run((listed_end.task, listed_end.run))
        if listed_end.number <= worker.collected_end_number:
            return
        worker.collected_end_number = listed_end.number
        self._dispatch_state.placement_due = True
        self._dispatch_state.proposals.add_run_end(
            commands.RunEnd(
                worker.name,
                worker.record.born_ms,
                listed_end.number,
                listed_end.task,
                listed_end.run,
                listed_end.outcome,
                listed_end.checkpoint or (run.checkpoint if run else ''),
            )
        )
        LOG.info(
            'run_ended',
            extra={
                'workflow': listed_end.task.workflow_id,
                'task': _runs.format_task_id(listed_end.task),
                'run': listed_end.run,
                'worker': worker.name,
                'how': listed_end.outcome,
                'number': listed_end.number,
            },
        )

    def _check_unlisted_run(self, worker, run, reply):
        """Records a run as lost, or stops it, if a list lacks it.

        A run that the worker accepted, does not list and may start again is
        stopped, so that the worker refuses it from then on.
        """
        if run.phase == _Phase.PLACED:
            return
        proof = _run_ends.find_proof_by_list(worker, run, reply)
        if proof is not None:
            self._dispatch_state.record_lost_run(worker, run, proof)
        elif run.phase == _Phase.RUNNING and (
            run.started_ms < worker.poll_sent_ms
        ):
            self._dispatch_state.stop_run(run, 'not_listed')

    def _update_paces(self, worker):
        running_runs = [
            run
            for run in worker.runs.values()
            if run.phase == _Phase.RUNNING and run.step is not None
        ]
        if worker.pace_control is None:
            worker.pace_control = _pacing.PaceControl(
                self._interference_model, worker.name
            )
        worker.update_cpu_sharing(self._dispatch_state.now_ms)
        for run in worker.pace_control.decide_paces(
            running_runs, worker.record.cpu, self._dispatch_state.now_ms
        ):
            self._dispatch_state.stop_run(run, 'disturbs')
        for run in worker.pace_control.find_unlimited_runs(running_runs):
            worker.lift_pace_limit(run)


def _names_announced_start(worker, reply):
    """True if a reply names an earlier start that was announced, too.

    The process at the address is then one whose clock was set back.

    Args:
        worker: the ``Worker``, which was awaiting the ``Reply``.
        reply: the ``Reply``.
    """
    return (
        worker.earlier_record is not None
        and reply.born_ms == worker.earlier_record.born_ms
        and worker.earlier_record.address == worker.record.address
    )


def _update_acknowledged_end(worker, order, reply):
    """Records up to which end a worker has forgotten its ends.

    Args:
        worker: the ``Worker``.
        order: the ``PollWorker`` that it accepted.
        reply: its ``Reply``.
    """
    worker.acknowledged_end_number = max(
        worker.acknowledged_end_number, order.ends_noted
    )
    if reply.listed_ends:
        first_listed = min(end.number for end in reply.listed_ends)
        # An earlier leader may not have told the worker to forget it.
        worker.acknowledged_end_number = min(
            worker.acknowledged_end_number, first_listed - 1
        )
