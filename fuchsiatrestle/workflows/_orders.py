"""Decides which orders a worker gets next."""

from fuchsiatrestle.workflows import _crashes
from fuchsiatrestle.workflows import _events
from fuchsiatrestle.workflows import _fleet
from fuchsiatrestle.workflows import _run_ends
from fuchsiatrestle.workflows import _runs
from fuchsiatrestle.workflows import _stalls

__all__ = ('OrderPlanner',)

_Phase = _runs.Phase
# Largest number of orders about runs that may wait for a worker's reply.
# Polls are not counted, as they ask the worker to delay its reply.
MAX_AWAITED_RUN_ORDERS = 3
# Lease of a worker that drains.  It may end without a word, and its tasks can
# start elsewhere when the lease is over; it outlasts two polls.
DRAINING_LEASE_MS = 2500
# With more workers than this each of them is polled less often: the polls of
# 1,000 take some 13% of the leader's processor.
MANY_WORKERS = 1000
# Longest time for which a start is sent again to a worker that answers polls
# but not the start; it is stopped then, so that its task runs elsewhere.
MAX_START_MS = 3000
# Stops free capacity and paces protect the tasks that serve; starts come last.
_RANK_BY_PHASE = {
    _Phase.STOPPING: 0,
    _Phase.RUNNING: 1,
    _Phase.STARTING: 2,
    _Phase.PLACED: 3,
}


class OrderPlanner:
    """Makes the orders that are due for a worker.

    Args:
        dispatch_state: ``DispatchState``.
        timing: ``Timing``.
    """

    def __init__(self, dispatch_state, timing):
        self._dispatch_state = dispatch_state
        self._timing = timing
        self._leading_since_ms = dispatch_state.now_ms
        self._stall_log = _stalls.StallLog(dispatch_state, timing)

    def due_orders(self, worker, now_ms):
        """Returns the orders to send to a worker now and marks them pending.

        Args:
            worker: the ``Worker``.
            now_ms: monotonic time.

        Returns:
            A list of ``Order``, at most ``MAX_AWAITED_RUN_ORDERS`` about runs
            and one ``PollWorker``.
        """
        self._stall_log.report_if_due(worker, now_ms)
        orders = self._make_run_orders(worker, now_ms)
        orders += self._make_poll_orders(worker, now_ms)
        worker.awaited_orders += orders
        return orders

    def _make_run_orders(self, worker, now_ms):
        """Returns the most urgent orders, as many as the worker may get now.

        The others are made, or not, when the worker has answered earlier ones:
        an order that waited to be sent could be sent when it is not wanted any
        more.
        """
        self._end_futile_starts(worker)
        free_slots = MAX_AWAITED_RUN_ORDERS - worker.awaited_run_order_count
        orders = []
        if free_slots <= 0:
            return orders
        for run in sorted(worker.runs.values(), key=_order_rank):
            if len(orders) == free_slots:
                break
            if run.pending_order is not None or now_ms < run.next_order_ms:
                continue
            order = self._make_run_order(worker, run, now_ms)
            if order is None:
                continue
            run.pending_order = order
            orders.append(order)
            if run.start_sent_ms is None and isinstance(
                order, _events.StartRun
            ):
                run.start_sent_ms = now_ms
        return orders

    def _end_futile_starts(self, worker):
        """Ends the starts that the worker should not get any more.

        A worker that does not answer keeps no task waiting to which no start
        order was sent.
        """
        reason = ''
        if worker.is_unresponsive:
            reason = 'polls_refused'
        if worker.unanswered_orders:
            reason = 'worker_silent'
        if worker.state != _fleet.READY:
            reason = 'worker_drains'
        if not reason:
            return
        for run in list(worker.runs.values()):
            if run.phase != _Phase.STARTING:
                continue
            proof = _run_ends.find_proof_of_no_start(run)
            if proof == _run_ends.Proof.NEVER_SENT:
                self._dispatch_state.record_lost_run(
                    worker, run, proof, reason
                )
            elif worker.state != _fleet.READY and run.pending_order is None:
                self._dispatch_state.end_run(worker, run, reason)

    def _make_run_order(self, worker, run, now_ms):
        """Returns the order that is due for a run, or None."""
        record = worker.record
        if run.phase == _Phase.STARTING and run.started_ms is None:
            if worker.is_unresponsive or worker.is_lease_withheld:
                return None
            if run.adopted and not worker.has_seen_token:
                return None
            if self._has_missed_announcements(worker, now_ms):
                # If this leader has stood still, another one may have started
                # the run.
                self._dispatch_state.stop_run(run, 'unannounced')
            elif worker.last_announced_ms is None:
                return None
            elif self._dispatch_state.find_start_obstacle(worker):
                self._end_barred_start(worker, run)
            elif self._is_start_overdue(worker, run):
                worker.record_failed_start(now_ms)
                self._dispatch_state.stop_run(run, 'start_unanswered')
            elif worker.capacity.is_exceeded_for(run.step):
                self._dispatch_state.end_run(worker, run, 'worker_shrunk')
            elif now_ms - worker.last_announced_ms > self._timing.announce_ms:
                # The order may be carried out late; by then a worker that
                # has shrunk since its last announcement might be exceeded.
                return None
            else:
                return self._make_start_order(worker, run, now_ms)
        if run.phase == _Phase.STOPPING and run.stopped_ms is None:
            return _events.StopRun(
                record.worker,
                record.address,
                *run.key,
                self._dispatch_state.token,
            )
        if (
            run.phase == _Phase.RUNNING
            and run.pace_percent != run.wanted_pace_percent
        ):
            return _events.SetRunPace(
                record.worker,
                record.address,
                *run.key,
                run.wanted_pace_percent,
                self._dispatch_state.token,
            )
        return None

    def _end_barred_start(self, worker, run):
        """Ends a start that may not be ordered, or not again.

        An earlier order may have started the run, and only its answer was
        lost.  So if there is one, the run is stopped only once a list of the
        worker that was asked for after the failure lacks it.
        """
        if run.start_sent_ms is not None and (
            worker.listed_ms is None
            or worker.pending_poll is not None
            or worker.listed_ms < worker.poll_sent_ms
            or worker.poll_sent_ms < run.next_order_ms
        ):
            return
        self._dispatch_state.end_run(
            worker, run, self._dispatch_state.find_start_obstacle(worker)
        )

    @staticmethod
    def _is_start_overdue(worker, run):
        """True if a list of the worker lacks a start of long ago."""
        if not run.start_uncertain or run.start_sent_ms is None:
            return False
        if worker.listed_ms is None:
            return False
        return worker.listed_ms - run.start_sent_ms >= MAX_START_MS

    def _has_missed_announcements(self, worker, now_ms):
        last_announced_ms = worker.last_announced_ms
        if last_announced_ms is None:
            last_announced_ms = self._leading_since_ms
        return _fleet.has_missed_announcements(
            last_announced_ms, now_ms, self._timing.announce_ms
        )

    def _make_start_order(self, worker, run, now_ms):
        """Returns a ``StartRun``, None while the worker's clock is unknown."""
        lease_until_ms = worker.lease_clock.extend_lease(now_ms)
        if lease_until_ms is None:
            return None
        run.start_lease_end_ms = max(
            run.start_lease_end_ms or 0, lease_until_ms
        )
        task_id, run_number = run.key
        workflow = self._dispatch_state.workflow_store.find_workflow(
            task_id.workflow_id
        )
        checkpoint = workflow.tasks[task_id].checkpoint
        if run.step.gang:
            # What other members have saved since is for the next run.
            checkpoint = run.live_run.checkpoint
        return _events.StartRun(
            worker.record.worker,
            worker.record.address,
            task_id,
            run_number,
            workflow.spec.payload,
            lease_until_ms,
            self._dispatch_state.token,
            checkpoint,
            '',
        )

    # Polls

    def _make_poll_orders(self, worker, now_ms):
        if worker.pending_poll is not None or now_ms < worker.next_poll_ms:
            return []
        recorded_end_number = self._dispatch_state.recorded_end_number(worker)
        has_dispatched_runs = any(
            run.is_dispatched for run in worker.runs.values()
        )
        if (
            not has_dispatched_runs
            and recorded_end_number <= worker.acknowledged_end_number
            and not self._must_probe(worker, now_ms)
        ):
            return []
        if (
            recorded_end_number < worker.collected_end_number
            and not self._must_renew_lease(worker, now_ms)
        ):
            # No poll yet: the worker would reply to it at once and list again
            # the run ends that were collected but are not agreed yet.
            return []
        worker.poll_sent_ms = now_ms
        lease_until_ms = None
        if has_dispatched_runs and self._may_extend_lease(worker):
            lease_until_ms = worker.lease_clock.extend_lease(
                now_ms, self._lease_ms(worker)
            )
        worker.pending_poll = _events.PollWorker(
            worker.record.worker,
            worker.record.address,
            lease_until_ms,
            self._dispatch_state.token,
            self._find_end_to_forget(worker, recorded_end_number),
            self._poll_wait_ms(worker, has_dispatched_runs),
        )
        return [worker.pending_poll]

    def _must_probe(self, worker, now_ms):
        """True for a worker that gets no new tasks before it answers a poll.

        It is heard, but has not answered orders or told its clock, and may
        have no runs that it would be polled for.  Or an earlier start than
        that of its process was announced, and its reply tells which one runs.
        """
        if worker.earlier_record is not None:
            return True
        is_usable = (
            not worker.is_unresponsive
            and not worker.is_lease_withheld
            and worker.lease_clock.is_clock_known
        )
        if is_usable or worker.last_announced_ms is None:
            return False
        return not self._has_missed_announcements(worker, now_ms)

    @staticmethod
    def _find_end_to_forget(worker, recorded_end_number):
        """Returns up to which end the worker may forget its ends, 0 for none.

        A process that has just followed the known one would forget ends of its
        own.  So the number is sent once, right after a list of the process.
        """
        if not worker.has_seen_token or worker.unanswered_orders:
            return 0
        if recorded_end_number <= worker.acknowledged_end_number:
            return 0
        return recorded_end_number

    @staticmethod
    def _may_extend_lease(worker):
        """False if the lease of a worker is to run out.

        If each poll extended the lease of a worker that does not reply, or
        refuses the polls, the lease would never count as expired.  The runs of
        one that leaves are to end.
        """
        return (
            not worker.is_unresponsive
            and not worker.is_lease_withheld
            and worker.withdrawn_ms is None
        )

    def _must_renew_lease(self, worker, now_ms):
        if not self._may_extend_lease(worker):
            return False
        remaining_ms = worker.lease_clock.remaining_lease_ms(now_ms)
        return remaining_ms < self._lease_ms(worker) / 2

    def _lease_ms(self, worker):
        """Returns the duration of the lease that a poll gives."""
        if worker.state == _fleet.DRAINING:
            return min(DRAINING_LEASE_MS, self._timing.lease_ms)
        return self._timing.lease_ms

    def _poll_wait_ms(self, worker, has_dispatched_runs):
        if (
            not has_dispatched_runs
            or not worker.has_seen_token
            or worker.is_unresponsive
            or worker.is_lease_withheld
        ):
            return 0
        if any(run.phase == _Phase.STOPPING for run in worker.runs.values()):
            return self._timing.busy_poll_wait_ms
        if any(
            run.starts_alone and not _crashes.has_survived(worker, run)
            for run in worker.runs.values()
        ):
            return _crashes.SURVIVAL_MS
        if worker.capacity.serving_cpu and worker.best_effort_images:
            return self._timing.busy_poll_wait_ms
        if self._dispatch_state.worker_count > MANY_WORKERS:
            return self._timing.long_poll_wait_ms
        return self._timing.poll_wait_ms


def _order_rank(run):
    return _RANK_BY_PHASE[run.phase]
