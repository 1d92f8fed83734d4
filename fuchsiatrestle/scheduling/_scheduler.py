"""Decision core of the scheduler: passes events to the objects that decide."""

from fuchsiatrestle import core
from fuchsiatrestle import messages
from fuchsiatrestle.scheduling import _agreed
from fuchsiatrestle.scheduling import _assembly
from fuchsiatrestle.scheduling import _gauges
from fuchsiatrestle.scheduling import _policy
from fuchsiatrestle.scheduling import _values
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import jobs as states
from fuchsiatrestle.state import queries

__all__ = ('Scheduler',)

GAUGES_INTERVAL_MS = 1_000


class Scheduler(core.Core):
    """Schedules the batch jobs of one cell, at its ready leader only.

    A new leader builds a new scheduler from the replicated state.  It assumes
    that every worker with a reservation was granted a full lease right
    before the new term, and ends no attempt of a silent worker before that
    lease would have ended.

    Args:
        jobs_part: the cell's ``JobsPart`` of the replicated state, read only.
        now_ms: monotonic time of this process in milliseconds.
        policy: the ``Policy``; None for the defaults.
    """

    def __init__(self, jobs_part, now_ms, policy=None):
        self._jobs_part = jobs_part
        self._policy = policy or _policy.Policy()
        self._assembly = _assembly.Assembly(jobs_part, self._policy, now_ms)
        self._change_handler = _agreed.AgreedChangeHandler(self._assembly)
        self._started_ms = now_ms
        self._next_retirement_check_ms = now_ms + self._policy.retire_ms
        self._next_gauges_ms = now_ms
        self._event_handlers = {
            _values.ReportsReceived: self._on_reports_received,
            _values.CommandApplied: self._on_command_applied,
            _values.ProposalRejected: self._on_proposal_rejected,
            _values.Tick: self._on_tick,
        }
        self._change_handler.load_indexes(now_ms)

    def step(self, event, now_ms):
        """Handles one event and returns effects; see ``core.Core``."""
        effects = self._event_handlers[type(event)](event, now_ms)
        effects.extend(self._assembly.outbox.flush_proposals())
        return effects

    # Queries

    def find_job_reason(self, job_id):
        """Returns ``JobReason`` or ``NotFound`` to answer ``GetJobReason``."""
        job_view = self._jobs_part.query(queries.GetJob(job_id))
        if isinstance(job_view, queries.NotFound):
            return job_view
        reason_lines = []
        job = self._jobs_part.jobs.get(job_id)
        if job is not None and job.state == states.QUEUED:
            reason_lines.append(self._assembly.dispatcher.waiting_reason(job))
        if job_view.reason:
            reason_lines.append(job_view.reason)
        reason_lines.extend(reversed(job_view.history))
        reason_lines = [line for line in reason_lines if line]
        return queries.JobReason(job_id, job_view.state, reason_lines)

    def list_workers(self, now_ms):
        """Returns the ``WorkerList`` that answers ``GetWorkers``."""
        worker_names = sorted(self._jobs_part.workers)
        return queries.WorkerList(
            [self._make_worker_view(name, now_ms) for name in worker_names]
        )

    def _make_worker_view(self, worker_name, now_ms):
        worker = self._jobs_part.workers[worker_name]
        info = self._assembly.fleet.worker_info(worker_name)
        age_ms = now_ms - (info.last_report_ms or self._started_ms)
        return queries.WorkerView(
            worker_name,
            worker.spec.data_centre,
            worker.spec.rack,
            self._worker_state(worker, info, now_ms),
            len(worker.jobs),
            worker.cpu_milli,
            worker.spec.capacity.cpu_milli,
            age_ms,
        )

    def _worker_state(self, worker, info, now_ms):
        if self._assembly.fleet.is_silent(info, now_ms):
            return 'silent'
        if worker.spec.leaving:
            return 'leaving'
        return 'quarantined' if info.quarantined else 'ready'

    # Reports

    def _on_reports_received(self, event, now_ms):
        answers = [
            self._answer_report(report, now_ms) for report in event.reports
        ]
        worker_orders = [answer for answer in answers if answer is not None]
        return [
            _values.AnswerReports(event.entry, event.call_id, worker_orders)
        ]

    def _answer_report(self, report, now_ms):
        assembly = self._assembly
        worker = self._jobs_part.workers.get(report.worker)
        if worker is not None and (
            report.incarnation < worker.spec.incarnation
        ):
            return None
        info = assembly.fleet.record_report(report, now_ms)
        if info is None:
            return None
        self._register_worker(report)
        self._learn_from_report(report, now_ms)
        if report.leaving:
            self._evict_all_jobs(report.worker, now_ms)
        orders = assembly.reconciler.answer_report(info, report, now_ms)
        if self._policy.control_pressure:
            orders.extend(
                assembly.pressure_controller.handle_report(report, now_ms)
            )
        return messages.WorkerOrders(
            report.worker, report.incarnation, report.seq, orders
        )

    def _register_worker(self, report):
        self._change_handler.register_worker(
            commands.WorkerSpec(
                report.worker,
                report.incarnation,
                report.data_centre,
                report.rack,
                report.capacity,
                report.leaving,
            )
        )

    def _learn_from_report(self, report, now_ms):
        assembly = self._assembly
        assembly.usage_tracker.record_report(report, now_ms)
        for load in report.services:
            cpu_milli_by_class = assembly.usage_tracker.class_usage_at(
                report.worker, now_ms - load.age_ms
            )
            assembly.interference_model.learn_measurement(
                load, cpu_milli_by_class
            )

    def _evict_all_jobs(self, worker_name, now_ms):
        for job in self._assembly.victim_selector.evictable_jobs(worker_name):
            self._assembly.evictions.begin_eviction(
                job, now_ms, 'the worker leaves'
            )

    # Applied and rejected commands

    def _on_command_applied(self, event, now_ms):
        if self._change_handler.handle_applied_command(
            event.command, event.outcome, now_ms
        ):
            self._place_queued_jobs(now_ms)
        return []

    def _on_proposal_rejected(self, event, now_ms):
        assembly = self._assembly
        for placement in assembly.outbox.handle_rejected_proposal(event.token):
            assembly.dispatcher.end_pending_placement(placement, now_ms)
            assembly.quarantine.end_probe(placement.worker, placement.job_id)
            self._change_handler.refresh_job(placement.job_id, now_ms)
        return []

    # Ticks and placement

    def _on_tick(self, event, now_ms):
        assembly = self._assembly
        assembly.dispatcher.record_wall_time(event.wall_ms, now_ms)
        for name in assembly.fleet.update_availability(now_ms):
            worker = self._jobs_part.workers.get(name)
            if worker is not None:
                assembly.reconciler.end_never_ordered_attempts(worker)
        for name in assembly.lease_tracker.pop_expired(now_ms):
            self._end_attempts_without_lease(name)
        if now_ms >= self._next_retirement_check_ms:
            self._retire_silent_workers(now_ms)
        self._place_queued_jobs(now_ms)
        return self._measure_gauges(now_ms)

    def _place_queued_jobs(self, now_ms):
        # Quarantined workers are probed before the placement round: if the
        # cell has enough free capacity, the round places every queued job and
        # leaves none to use as a probe.
        assembly = self._assembly
        for name in assembly.quarantine.due_probes(now_ms):
            self._place_probe(name, now_ms)
        for job in assembly.dispatcher.run_round(now_ms):
            self._change_handler.park_if_no_worker_left(job, now_ms)
            if job.spec.urgent:
                self._make_room_for_shape(job, now_ms)

    def _make_room_for_shape(self, job, now_ms):
        """Makes room for all urgent jobs of the shape of an unplaced job."""
        assembly = self._assembly
        if job.spec.job_id not in assembly.dispatcher:
            return
        need = assembly.dispatcher.reservation_for(job)
        for urgent_job in assembly.dispatcher.iter_urgent_alike(job):
            assembly.preemptor.make_room(urgent_job, need, now_ms)

    def _end_attempts_without_lease(self, worker_name):
        worker = self._jobs_part.workers.get(worker_name)
        if worker is None:
            return
        for job_id, attempt in worker.jobs.items():
            if not self._assembly.outbox.is_ending(job_id, attempt):
                job = self._jobs_part.jobs[job_id]
                self._assembly.reconciler.record_lost_attempt(
                    job, 'lease ran out'
                )

    def _place_probe(self, worker_name, now_ms):
        assembly = self._assembly
        worker = self._jobs_part.workers.get(worker_name)
        info = assembly.fleet.find_worker_info(worker_name)
        if worker is None or info is None:
            return
        if not assembly.fleet.accepts_probe(worker, info, now_ms):
            return
        job_id = assembly.dispatcher.place_probe(
            worker_name,
            now_ms,
            long_due=assembly.quarantine.is_probe_long_due(
                worker_name, now_ms
            ),
        )
        if job_id is not None:
            assembly.quarantine.begin_probe(worker_name, job_id)

    def _retire_silent_workers(self, now_ms):
        self._next_retirement_check_ms = now_ms + self._policy.retire_ms
        for name, worker in self._jobs_part.workers.items():
            last_report_ms = self._assembly.fleet.worker_info(
                name
            ).last_report_ms
            silence_ms = now_ms - (last_report_ms or self._started_ms)
            if silence_ms >= self._policy.retire_ms and not worker.jobs:
                self._assembly.outbox.add_retirement(name)

    def _measure_gauges(self, now_ms):
        if now_ms < self._next_gauges_ms:
            return []
        self._next_gauges_ms = now_ms + GAUGES_INTERVAL_MS
        assembly = self._assembly
        gauge_values = _gauges.measure_gauges(
            self._jobs_part, len(assembly.quarantine), len(assembly.evictions)
        )
        return [_values.SetGauges(gauge_values)]
