"""Refuses workflows that can not be served in time, when they are submitted.

It addresses a load that exceeds the capacity for longer than callers can
wait: a burst, or a loss of workers.  A workflow that would be completed after
three times its objective is of no use to its caller.  It is refused at once,
with the time after which to try again.  Nothing is refused while the estimate
is not backed by measurements, see ``AdmissionPolicy.find_refusal``.

The estimates are local to a leader (see ``_load``).  A refusal is agreed
before it is sent; the agreed state decides whether it takes effect.
"""

import collections
import math

from fuchsiatrestle import logs
from fuchsiatrestle import metrics
from fuchsiatrestle.state import commands
from fuchsiatrestle.workflows import _load
from fuchsiatrestle.workflows import _policies

__all__ = ('AdmissionPolicy',)

# A result is of no use once it comes after this multiple of the objective.
USELESS_OBJECTIVE_FACTOR = 3
# Share of the objective that an estimate may reach while a queue is
# overloaded.  The rest is for run times that vary: a step ends with its
# slowest task.
IN_TIME_OBJECTIVE_SHARE = 0.8
# Time in which a refused caller tries again: four calls of up to 3000 ms.
CALLER_RETRY_SPAN_MS = 12_000
# A new leader refuses nothing before this: workers announce themselves every
# 1.5 s, and one of these announcements may be lost.
MIN_LED_MS = 5000
# Time for which work must have waited in a lane of which the share of the
# processor time is not settled otherwise.
MIN_SHORTAGE_MS = 3000
# Time for which a view of the load is used for further submissions.
MAX_VIEW_AGE_MS = 200
VIEW_INTERVAL_MS = 500
# A view takes about 1 ms for each 100 open workflows; beyond this number of
# them, views are made less often.
MAX_FREQUENT_WORKFLOWS = 1600
# An accepted submission that is not agreed after this counts no more.
MAX_PROPOSAL_MS = 3000
# Part of the drain rate that is divided evenly among the queues.
FLOOR_SHARE = 0.2
MIN_RETRY_AFTER_MS = 1000
MAX_RETRY_AFTER_MS = 600_000

LOG = logs.get_logger(__name__)

_REFUSALS = {
    (kind, reason): metrics.declare(
        f'refused.overload_{kind}_{reason}',
        f'Workflows of {kind} tasks refused at submission: {description}.',
    )
    for kind in ('batch', 'best_effort')
    for reason, description in (
        ('useless', 'too late even for three times the objective'),
        ('late', 'too late for the objective while the queue is overloaded'),
    )
}
_ESTIMATED_TIMES = {
    kind: metrics.declare(
        f'admission.{kind}_ms',
        f'Estimated time to completion of the last workflow of {kind} tasks '
        'that was submitted while work waited, in ms.',
    )
    for kind in ('batch', 'best_effort')
}


class _PendingSubmission:
    """Accepted submission that the view of the load may not contain yet."""

    __slots__ = (
        'accepted_ms',
        'demand',
        'is_large_by_lane',
        'latest_start_ms',
    )

    def __init__(self, accepted_ms, demand, is_large_by_lane, latest_start_ms):
        self.accepted_ms = accepted_ms
        self.demand = demand
        self.is_large_by_lane = is_large_by_lane
        self.latest_start_ms = latest_start_ms


class _Estimate:
    """Estimated time to completion of a workflow.

    Attributes:
        lane: lane of the first steps that has the longest wait.
        wait_ms: time until the workflow starts.
        own_ms: time from its start to its completion.
        drain_rate: drain rate of the lane, in thousandths of a core.
        queue_rate: the part of it that the queue can count on.
        work: work of the workflow in the lane.
    """

    __slots__ = (
        'drain_rate',
        'lane',
        'own_ms',
        'queue_rate',
        'wait_ms',
        'work',
    )

    def __init__(self, lane, wait_ms, own_ms, drain_rate, queue_rate, work):
        self.lane = lane
        self.wait_ms = wait_ms
        self.own_ms = own_ms
        self.drain_rate = drain_rate
        self.queue_rate = queue_rate
        self.work = work

    @property
    def total_ms(self):
        """Time to completion."""
        return self.wait_ms + self.own_ms


class AdmissionPolicy(_policies.PlacementPolicy):
    """Judges the submissions of one leader.

    Args:
        dispatch_state: ``DispatchState``.
        learns_run_times: True if estimated run times are corrected by those
            of earlier tasks.
    """

    def __init__(self, dispatch_state, learns_run_times=False):
        self._dispatch_state = dispatch_state
        self._led_since_ms = dispatch_state.now_ms
        workflow_store = dispatch_state.workflow_store
        self._estimates = _load.RunTimeEstimates(
            workflow_store.run_times if learns_run_times else None
        )
        self._drain_meter = _load.DrainMeter(workflow_store, self._estimates)
        # By (name of the queue, lane).
        self._histories = {}
        self._last_refused_ms = {}
        # Time since the epoch of the last refusal that an earlier leader had
        # agreed, by name of the queue and whether it was of best-effort tasks.
        self._adopted_refused_wall_ms = {
            (refusal.queue_name, refusal.is_best_effort): refusal.refused_ms
            for refusal in workflow_store.refusals
        }
        self._next_return_ms = {}
        self._waiting_work_table = _load.WaitingWorkTable(
            workflow_store, self._estimates
        )
        self._pending_by_workflow = {}
        self._view = None
        # (monotonic time, processor time in use by lane), oldest first.
        self._busy_cpu = collections.deque()
        self._waiting_since_ms_by_lane = {}

    # Hooks

    def acts_after_groups(self):
        """Returns False: submissions are judged outside of the rounds."""
        return False

    def start_round(self, ready_groups, wall_ms):
        """Measures the load at intervals."""
        self._refresh_view(wall_ms, VIEW_INTERVAL_MS)

    def record_command(self, command):
        """Follows the changes of workflows and queues."""
        if isinstance(command, commands.PutDocument):
            self._waiting_work_table.clear()
        elif isinstance(command, commands.RecordProgress):
            self._drain_meter.record_progress(command)
            self._waiting_work_table.record_changes(
                changed_run.task.workflow_id
                for changed_runs in (
                    command.ends,
                    command.lost,
                    command.placed,
                )
                for changed_run in changed_runs
            )

    def find_refusal(self, submission, wall_ms):
        """Decides whether a workflow is refused when it is submitted.

        Args:
            submission: the ``commands.SubmitWorkflow``, not proposed yet.
            wall_ms: time since the epoch.

        Returns:
            A ``commands.RefuseWorkflow``; None for a workflow that is known,
            long-running or timed, that may be served in time, or for which
            that is not known.
        """
        workflow_id, demand = self._find_demand(submission)
        if demand is None:
            return None
        now_ms = self._dispatch_state.now_ms
        # A view forgets queues without work, so it is made first.
        self._refresh_view(wall_ms, MAX_VIEW_AGE_MS)
        is_large_by_lane = self._record_submission(workflow_id, demand)
        latest_start_ms = (
            submission.submitted_ms
            + demand.objective_ms
            - demand.longest_path_ms
        )
        estimate = self._estimate(
            demand, latest_start_ms, is_large_by_lane, wall_ms
        )
        if estimate is not None:
            metrics.gauge(
                _ESTIMATED_TIMES[_find_lane_kind(estimate.lane)],
                round(estimate.total_ms),
            )
        reason = self._find_reason(demand, estimate, wall_ms)
        if not reason:
            self._pending_by_workflow[workflow_id] = _PendingSubmission(
                now_ms, demand, is_large_by_lane, latest_start_ms
            )
            return None
        self._last_refused_ms[demand.queue.name, estimate.lane] = now_ms
        retry_after_ms = self._assign_return(demand, estimate)
        self._report_refusal(
            workflow_id, demand, estimate, reason, retry_after_ms
        )
        return commands.RefuseWorkflow(
            submission.host,
            submission.path,
            submission.submitted_ms,
            wall_ms,
            retry_after_ms,
            estimate.lane.fills,
        )

    def _find_demand(self, submission):
        """Returns the id and the ``Demand`` of a workflow to be judged.

        The demand is None for a workflow that is never refused: one that is
        known or already accepted by this leader, that is long-running or
        timed, or that declares no run time.

        Args:
            submission: the ``commands.SubmitWorkflow``.
        """
        workflow_store = self._dispatch_state.workflow_store
        queue, workflow_id = workflow_store.documents.resolve_path(
            submission.host, submission.path
        )
        spec = submission.spec
        if (
            not workflow_id
            or workflow_store.find_public_state(workflow_id) is not None
        ):
            return workflow_id, None
        if spec.occurrences or any(step.lasts for step in spec.steps):
            return workflow_id, None
        demand = _load.Demand(queue, spec, self._estimates)
        if (
            not demand.longest_path_ms
            or workflow_id in self._pending_by_workflow
        ):
            return workflow_id, None
        return workflow_id, demand

    # Measurement

    def _refresh_view(self, wall_ms, max_age_ms):
        """Makes a view of the load if there is none or it is too old."""
        open_count = len(self._dispatch_state.workflow_store.open_workflows)
        if open_count > MAX_FREQUENT_WORKFLOWS:
            max_age_ms *= open_count / MAX_FREQUENT_WORKFLOWS
        if (
            self._view is None
            or self._dispatch_state.now_ms - self._view.made_ms > max_age_ms
        ):
            self._make_view(wall_ms)

    def _make_view(self, wall_ms):
        now_ms = self._dispatch_state.now_ms
        self._drain_meter.remove_old(wall_ms)
        self._forget_idle_queues()
        self._view = _load.LoadView(
            self._dispatch_state,
            self._histories,
            self._waiting_work_table,
            wall_ms,
        )
        self._busy_cpu.append((now_ms, self._view.busy_cpu_by_lane))
        while self._busy_cpu[0][0] < now_ms - _load.BUSY_CPU_MEMORY_MS:
            self._busy_cpu.popleft()
        self._waiting_since_ms_by_lane = {
            lane: self._waiting_since_ms_by_lane.get(lane, now_ms)
            for lane in self._view.waiting_lanes
        }
        open_workflows = self._dispatch_state.workflow_store.open_workflows
        self._pending_by_workflow = {
            workflow_id: pending
            for workflow_id, pending in self._pending_by_workflow.items()
            if workflow_id not in open_workflows
            and now_ms - pending.accepted_ms < MAX_PROPOSAL_MS
        }

    def _forget_idle_queues(self):
        """Forgets queues to which nothing was submitted lately."""
        now_ms = self._dispatch_state.now_ms
        self._histories = {
            key: history
            for key, history in self._histories.items()
            if history.find_demand_rate(now_ms)
        }
        self._last_refused_ms = {
            key: refused_ms
            for key, refused_ms in self._last_refused_ms.items()
            if now_ms - refused_ms < CALLER_RETRY_SPAN_MS
        }
        self._next_return_ms = {
            key: return_ms
            for key, return_ms in self._next_return_ms.items()
            if return_ms > now_ms
        }

    def _record_submission(self, workflow_id, demand):
        """Records a submission; returns whether it is large, by lane."""
        is_large_by_lane = {}
        for lane, work in demand.work_by_lane.items():
            history = self._histories.setdefault(
                (demand.queue.name, lane), _load.SubmissionHistory()
            )
            history.record(workflow_id, work, self._dispatch_state.now_ms)
            is_large_by_lane[lane] = history.is_large(work)
        return is_large_by_lane

    def _find_busy_cpu(self, lane):
        return max(cpu_by_lane[lane] for _, cpu_by_lane in self._busy_cpu)

    def _find_drain_rate(self, lane, wall_ms):
        """Returns the drain rate of a lane, None if it is not known.

        The processor time that the lane uses may still grow unless work has
        waited there for a while, or it has most of what batch tasks use.
        That of best-effort tasks is not reserved, so their throughput is
        measured, over a time in which work waited.
        """
        now_ms = self._dispatch_state.now_ms
        waited_ms = now_ms - self._waiting_since_ms_by_lane.get(lane, now_ms)
        if lane.fills:
            return self._drain_meter.find_throughput(lane, wall_ms, waited_ms)
        busy_cpu = self._find_busy_cpu(lane)
        if waited_ms < MIN_SHORTAGE_MS:
            batch_cpu = sum(
                self._find_busy_cpu(other_lane)
                for other_lane in self._view.busy_cpu_by_lane
                if other_lane.pool == lane.pool and not other_lane.fills
            )
            if lane.is_restricted or 2 * busy_cpu < batch_cpu:
                return None
        speed = self._drain_meter.find_speed(lane)
        if speed is None or not busy_cpu:
            return None
        return speed * busy_cpu

    # Estimates

    def _estimate(self, demand, latest_start_ms, is_large_by_lane, wall_ms):
        """Returns the ``_Estimate`` of a workflow, None if nothing is known.

        It is that of the lane with the longest wait; lanes of which the drain
        rate is not known are taken to have none.
        """
        estimates = []
        for lane in {lane for lane, _ in demand.entry_steps}:
            drain_rate = self._find_drain_rate(lane, wall_ms)
            if drain_rate is None:
                continue
            is_large = is_large_by_lane[lane]
            queue_rate = self._find_queue_rate(demand.queue, lane, drain_rate)
            queue_rate *= self._histories[
                demand.queue.name, lane
            ].find_size_share(is_large)
            work = demand.work_by_lane[lane]
            own_ms = max(demand.longest_path_ms, work / queue_rate)
            if own_ms > USELESS_OBJECTIVE_FACTOR * demand.objective_ms:
                # It would be refused always, also if it did not wait.
                own_ms = min(demand.longest_path_ms, demand.objective_ms)
            work_before, total_work = self._find_waiting_work(
                lane, demand, latest_start_ms, is_large
            )
            wait_ms = work_before / queue_rate
            if wait_ms + own_ms > demand.objective_ms:
                # Once it is late, it goes behind what waits now.
                wait_ms = total_work / queue_rate
            estimates.append(
                _Estimate(lane, wait_ms, own_ms, drain_rate, queue_rate, work)
            )
        return max(
            estimates, key=lambda estimate: estimate.total_ms, default=None
        )

    def _find_waiting_work(self, lane, demand, latest_start_ms, is_large):
        """Returns the waiting work of a queue, of workflows of one size.

        Args:
            lane: the ``Lane``.
            demand: ``Demand`` of a workflow.
            latest_start_ms: latest start of the workflow.
            is_large: True if it is large.

        Returns:
            The work that goes before the workflow if it starts in time, and
            all work that waits.
        """
        work_before = total_work = 0
        queue_load = self._view.find_queue_load(
            lane, demand.queue.name, is_large
        )
        if queue_load is not None:
            work_before = queue_load.find_work_before(latest_start_ms)
            total_work = queue_load.total_work
        for pending in self._pending_by_workflow.values():
            if (
                pending.demand.queue.name == demand.queue.name
                and pending.is_large_by_lane.get(lane) == is_large
            ):
                work = pending.demand.work_by_lane[lane]
                total_work += work
                if pending.latest_start_ms <= latest_start_ms:
                    work_before += work
        return work_before, total_work

    def _find_queue_rate(self, queue, lane, drain_rate):
        """Returns the part of a drain rate that a queue can count on.

        Each queue with work has an equal floor.  The rest goes to the queues
        by priority, up to what was submitted to them, and among queues of one
        priority by the submitted work.

        Args:
            queue: the ``Queue``.
            lane: the ``Lane``.
            drain_rate: drain rate of the lane.
        """
        now_ms = self._dispatch_state.now_ms
        demand_rates = {
            name: history.find_demand_rate(now_ms)
            for (name, other_lane), history in self._histories.items()
            if other_lane == lane
        }
        find_queue = self._dispatch_state.workflow_store.documents.find_queue
        queues = {
            name: find_queue(name)
            for name in (
                self._view.list_waiting_queues(lane) | demand_rates.keys()
            )
            if find_queue(name) is not None
        }
        queues[queue.name] = queue
        floor = FLOOR_SHARE * drain_rate / len(queues)
        wanted_rates = {
            name: max(0, demand_rates.get(name, 0) - floor) for name in queues
        }
        left_rate = (1 - FLOOR_SHARE) * drain_rate
        left_rate -= sum(
            wanted_rates[name]
            for name, other_queue in queues.items()
            if other_queue.priority < queue.priority
        )
        left_rate = max(0, left_rate)
        equal_rate = sum(
            wanted_rates[name]
            for name, other_queue in queues.items()
            if other_queue.priority == queue.priority
        )
        wanted_rate = wanted_rates[queue.name]
        if equal_rate <= left_rate:
            return floor + left_rate - (equal_rate - wanted_rate)
        return floor + left_rate * wanted_rate / equal_rate

    # Decision

    def _find_reason(self, demand, estimate, wall_ms):
        """Returns why a workflow is refused, empty if it is accepted."""
        now_ms = self._dispatch_state.now_ms
        if estimate is None or now_ms - self._led_since_ms < MIN_LED_MS:
            return ''
        reason = ''
        if estimate.total_ms > USELESS_OBJECTIVE_FACTOR * demand.objective_ms:
            reason = 'useless'
        elif estimate.total_ms > _find_target_ms(
            demand, estimate
        ) and self._is_overloaded(demand.queue, estimate.lane, wall_ms):
            reason = 'late'
        if not reason or self._has_free_room(demand, estimate.lane):
            return ''
        return reason

    def _is_overloaded(self, queue, lane, wall_ms):
        """True if callers that were refused may still come back."""
        last_refused_ms = self._last_refused_ms.get((queue.name, lane))
        if last_refused_ms is not None:
            return (
                self._dispatch_state.now_ms - last_refused_ms
                < CALLER_RETRY_SPAN_MS
            )
        adopted_wall_ms = self._adopted_refused_wall_ms.get(
            (queue.name, lane.fills)
        )
        return (
            adopted_wall_ms is not None
            and abs(wall_ms - adopted_wall_ms) < CALLER_RETRY_SPAN_MS
        )

    def _has_free_room(self, demand, lane):
        """True if workers have room that waiting tasks do not take.

        Where best-effort tasks wait, the room that is left is barred to them.
        """
        if lane.fills:
            return False
        pending_task_count = sum(
            step.count
            for pending in self._pending_by_workflow.values()
            for pending_lane, step in pending.demand.entry_steps
            if pending_lane == lane
        )
        return any(
            self._view.has_free_room(lane, step, pending_task_count)
            for step_lane, step in demand.entry_steps
            if step_lane == lane
        )

    def _assign_return(self, demand, estimate):
        """Returns when a refused caller should come back, in ms from now.

        That is when the queue has drained far enough for its workflow, but
        after the callers that were refused before, by the time in which the
        queue works off what they ask for.
        """
        now_ms = self._dispatch_state.now_ms
        drained_ms = (
            now_ms + estimate.total_ms - _find_target_ms(demand, estimate)
        )
        key = demand.queue.name, estimate.lane
        next_ms = self._next_return_ms.get(key, now_ms)
        longest_ms = drained_ms + (
            USELESS_OBJECTIVE_FACTOR * demand.objective_ms
        )
        return_ms = max(drained_ms, min(next_ms, longest_ms))
        self._next_return_ms[key] = (
            return_ms + estimate.work / estimate.queue_rate
        )
        retry_after_ms = 1000 * math.ceil((return_ms - now_ms) / 1000)
        return min(max(retry_after_ms, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS)

    def _report_refusal(
        self, workflow_id, demand, estimate, reason, retry_after_ms
    ):
        kind = _find_lane_kind(estimate.lane)
        metrics.count(_REFUSALS[kind, reason])
        LOG.info(
            'workflow_refused',
            extra={
                'workflow': workflow_id,
                'queue': demand.queue.name,
                'kind': kind,
                'reason': reason,
                'estimated_ms': round(estimate.total_ms),
                'wait_ms': round(estimate.wait_ms),
                'objective_ms': round(demand.objective_ms),
                'drain_rate': round(estimate.drain_rate),
                'queue_rate': round(estimate.queue_rate),
                'retry_after_ms': retry_after_ms,
            },
        )


def _find_target_ms(demand, estimate):
    """Returns the time to completion that is aimed at under an overload.

    It is the objective, or three times the objective for a workflow that
    would miss its objective also if it did not wait.
    """
    target_ms = IN_TIME_OBJECTIVE_SHARE * demand.objective_ms
    if estimate.own_ms <= target_ms:
        return target_ms
    return USELESS_OBJECTIVE_FACTOR * demand.objective_ms


def _find_lane_kind(lane):
    """Returns the kind of the tasks of a lane, as log lines name it."""
    return 'best_effort' if lane.fills else 'batch'
