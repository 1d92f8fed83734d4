"""The scheduler core."""

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

GAUGES_MS = 1_000


class Scheduler(core.Core):
    """Schedules the batch jobs of one cell, at its ready leader only.

    A new leader builds a new scheduler from the agreed state.  It assumes
    that every worker with a reservation was granted a full lease right
    before its start, and ends no attempt of a silent worker earlier.

    Args:
        part: the cell's ``JobsPart``; read, never changed.
        now_ms: monotonic time of this process.
        policy: the ``Policy``.
    """

    def __init__(self, part, now_ms, policy=None):
        self._part = part
        self._policy = policy or _policy.Policy()
        self._parts = _assembly.Assembly(part, self._policy, now_ms)
        self._agreed = _agreed.AgreedChanges(self._parts)
        self._started_ms = now_ms
        self._next_retire_ms = now_ms + self._policy.retire_ms
        self._next_gauges_ms = now_ms
        self._handlers = {
            _values.Reports: self._on_reports,
            _values.Applied: self._on_applied,
            _values.Rejected: self._on_rejected,
            _values.Tick: self._on_tick,
        }
        self._agreed.load(now_ms)

    def step(self, event, now_ms):
        """Handles one event; see ``core.Core``."""
        effects = self._handlers[type(event)](event, now_ms)
        effects.extend(self._parts.outbox.flush())
        return effects

    # Queries

    def why(self, job_id):
        """Answers ``GetJobReason`` with a ``JobReason`` or ``NotFound``."""
        view = self._part.query(queries.GetJob(job_id))
        if isinstance(view, queries.NotFound):
            return view
        lines = []
        job = self._part.jobs.get(job_id)
        if job is not None and job.state == states.QUEUED:
            lines.append(self._parts.dispatcher.why(job))
        if view.reason:
            lines.append(view.reason)
        lines.extend(reversed(view.history))
        lines = [line for line in lines if line]
        return queries.JobReason(job_id, view.state, lines)

    def workers(self, now_ms):
        """Answers ``GetWorkers`` with a ``WorkerList``."""
        names = sorted(self._part.workers)
        return queries.WorkerList(
            [self._view_worker(name, now_ms) for name in names]
        )

    def _view_worker(self, name, now_ms):
        worker = self._part.workers[name]
        info = self._parts.fleet.info(name)
        age_ms = now_ms - (info.heard_ms or self._started_ms)
        return queries.WorkerView(
            name,
            worker.spec.data_centre,
            worker.spec.rack,
            self._worker_state(worker, info, now_ms),
            len(worker.jobs),
            worker.cpu_milli,
            worker.spec.capacity.cpu_milli,
            age_ms,
        )

    def _worker_state(self, worker, info, now_ms):
        if self._parts.fleet.is_silent(info, now_ms):
            return 'silent'
        if worker.spec.leaving:
            return 'leaving'
        return 'quarantined' if info.quarantined else 'ready'

    # Reports

    def _on_reports(self, event, now_ms):
        answers = [self._answer(report, now_ms) for report in event.reports]
        orders = [answer for answer in answers if answer is not None]
        return [_values.AnswerReports(event.entry, event.call_id, orders)]

    def _answer(self, report, now_ms):
        parts = self._parts
        worker = self._part.workers.get(report.worker)
        if worker is not None and (
            report.incarnation < worker.spec.incarnation
        ):
            return None
        info = parts.fleet.hear(report, now_ms)
        if info is None:
            return None
        self._register(report)
        self._measure(report, now_ms)
        if report.leaving:
            self._empty(report.worker, now_ms)
        orders = parts.desk.answer(info, report, now_ms)
        if self._policy.control_pressure:
            orders.extend(parts.pressure.judge(report, now_ms))
        return messages.WorkerOrders(
            report.worker, report.incarnation, report.seq, orders
        )

    def _register(self, report):
        self._agreed.register(
            commands.WorkerSpec(
                report.worker,
                report.incarnation,
                report.data_centre,
                report.rack,
                report.capacity,
                report.leaving,
            )
        )

    def _measure(self, report, now_ms):
        parts = self._parts
        parts.usage.take(report, now_ms)
        for load in report.services:
            mix = parts.usage.mix_at(report.worker, now_ms - load.age_ms)
            parts.model.learn(load, mix)

    def _empty(self, worker, now_ms):
        for job in self._parts.victims.evictable(worker):
            self._parts.evictions.begin(job, now_ms, 'the worker leaves')

    # Agreement

    def _on_applied(self, event, now_ms):
        if self._agreed.take(event.command, event.outcome, now_ms):
            self._dispatch(now_ms)
        return []

    def _on_rejected(self, event, now_ms):
        parts = self._parts
        for placement in parts.outbox.rejected(event.token):
            parts.dispatcher.settle(placement, now_ms)
            self._agreed.refresh(placement.job_id, now_ms)
        return []

    # Time

    def _on_tick(self, event, now_ms):
        parts = self._parts
        for name in parts.fleet.age(now_ms):
            worker = self._part.workers.get(name)
            if worker is not None:
                parts.desk.withdraw_unordered(worker)
        for name in parts.leases.expired(now_ms):
            self._expire(name)
        if now_ms >= self._next_retire_ms:
            self._retire(now_ms)
        self._dispatch(now_ms)
        return self._gauges(now_ms)

    def _dispatch(self, now_ms):
        # Probes go first: on a cell with room nothing would be left for them.
        parts = self._parts
        for name in parts.quarantine.due_probes(now_ms):
            self._probe(name, now_ms)
        for job in parts.dispatcher.run(now_ms):
            self._agreed.park_if_barred(job, now_ms)
            if job.spec.urgent:
                need = parts.dispatcher.need(job)
                parts.preemptor.make_room(job, need, now_ms)

    def _expire(self, name):
        worker = self._part.workers.get(name)
        if worker is None:
            return
        for job_id, attempt in worker.jobs.items():
            if not self._parts.outbox.is_ending(job_id, attempt):
                job = self._part.jobs[job_id]
                self._parts.desk.end_lost(job, 'lease ran out')

    def _probe(self, name, now_ms):
        parts = self._parts
        worker = self._part.workers.get(name)
        info = parts.fleet.known(name)
        if worker is None or info is None:
            return
        if not parts.fleet.accepts_probe(worker, info, now_ms):
            return
        job_id = parts.dispatcher.probe(name, now_ms)
        if job_id is not None:
            parts.quarantine.begin_probe(name, job_id)

    def _retire(self, now_ms):
        self._next_retire_ms = now_ms + self._policy.retire_ms
        for name, worker in self._part.workers.items():
            heard_ms = self._parts.fleet.info(name).heard_ms
            silent_ms = now_ms - (heard_ms or self._started_ms)
            if silent_ms >= self._policy.retire_ms and not worker.jobs:
                self._parts.outbox.retire(name)

    def _gauges(self, now_ms):
        if now_ms < self._next_gauges_ms:
            return []
        self._next_gauges_ms = now_ms + GAUGES_MS
        parts = self._parts
        values = _gauges.measure(
            self._part, len(parts.quarantine), len(parts.evictions)
        )
        return [_values.SetGauges(values)]
