"""The scheduler core."""

from fuchsiatrestle import core
from fuchsiatrestle import messages
from fuchsiatrestle.scheduling import _attempts
from fuchsiatrestle.scheduling import _dispatch
from fuchsiatrestle.scheduling import _evictions
from fuchsiatrestle.scheduling import _fleet
from fuchsiatrestle.scheduling import _leases
from fuchsiatrestle.scheduling import _outbox
from fuchsiatrestle.scheduling import _placement
from fuchsiatrestle.scheduling import _policy
from fuchsiatrestle.scheduling import _shares
from fuchsiatrestle.scheduling import _sizes
from fuchsiatrestle.scheduling import _values
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import queries

__all__ = ('Scheduler',)


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
        policy = policy or _policy.Policy()
        self._part = part
        self._policy = policy
        self._outbox = _outbox.Outbox(policy.max_batch, policy.max_in_flight)
        self._fleet = _fleet.Fleet(part, policy)
        self._shares = _shares.TeamShares(part.quotas)
        self._leases = _leases.LeaseBook(
            policy.lease_ms + policy.lease_margin_ms, now_ms
        )
        self._evictions = _evictions.Evictions(self._outbox, policy)
        self._desk = _attempts.AttemptDesk(
            part, self._outbox, self._evictions, self._leases, policy
        )
        self._dispatcher = _dispatch.Dispatcher(
            part,
            self._fleet,
            self._shares,
            self._outbox,
            _sizes.DeclaredSizes(),
            _placement.FirstFit(),
            policy,
        )
        self._registering = {}
        self._started_ms = now_ms
        self._next_retire_ms = now_ms + policy.retire_ms
        self._handlers = {
            _values.Reports: self._on_reports,
            _values.Applied: self._on_applied,
            _values.Rejected: self._on_rejected,
            _values.Tick: self._on_tick,
        }
        self._load(now_ms)

    def step(self, event, now_ms):
        """Handles one event; see ``core.Core``."""
        effects = self._handlers[type(event)](event, now_ms)
        effects.extend(self._outbox.flush())
        return effects

    # Queries

    def why(self, job_id):
        """Answers ``GetJobReason`` with a ``JobReason`` or ``NotFound``."""
        view = self._part.query(queries.GetJob(job_id))
        if isinstance(view, queries.NotFound):
            return view
        lines = []
        job = self._part.jobs.get(job_id)
        if job is not None and job.state == 'queued':
            lines.append(self._dispatcher.why(job))
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
        info = self._fleet.info(name)
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
        if self._fleet.is_silent(info, now_ms):
            return 'silent'
        if worker.spec.leaving:
            return 'leaving'
        return 'quarantined' if info.quarantined else 'ready'

    # Events

    def _load(self, now_ms):
        for name, worker in self._part.workers.items():
            self._shares.set_capacity(name, worker.spec.capacity)
            if worker.jobs:
                self._leases.watch(name, now_ms)
        for job_id in self._part.jobs:
            self._refresh(job_id, now_ms)

    def _on_reports(self, event, now_ms):
        orders = []
        for report in event.reports:
            answer = self._answer(report, now_ms)
            if answer is not None:
                orders.append(answer)
        return [_values.AnswerReports(event.entry, event.call_id, orders)]

    def _answer(self, report, now_ms):
        worker = self._part.workers.get(report.worker)
        if worker is not None and (
            report.incarnation < worker.spec.incarnation
        ):
            return None
        info = self._fleet.hear(report, now_ms)
        if info is None:
            return None
        self._register(report, worker)
        orders = self._desk.answer(info, report, now_ms)
        return messages.WorkerOrders(
            report.worker, report.incarnation, report.seq, orders
        )

    def _register(self, report, worker):
        spec = commands.WorkerSpec(
            report.worker,
            report.incarnation,
            report.data_centre,
            report.rack,
            report.capacity,
            report.leaving,
        )
        agreed = worker.spec if worker is not None else None
        if spec in (agreed, self._registering.get(report.worker)):
            return
        self._registering[report.worker] = spec
        self._outbox.register(spec)

    def _on_rejected(self, event, now_ms):
        for placement in self._outbox.rejected(event.token):
            self._dispatcher.settle(placement, now_ms)
            self._refresh(placement.job_id, now_ms)
        return []

    def _on_tick(self, event, now_ms):
        for name in self._fleet.age(now_ms):
            worker = self._part.workers.get(name)
            if worker is not None:
                self._desk.withdraw_unordered(worker)
        for name in self._leases.expired(now_ms):
            self._expire(name)
        if now_ms >= self._next_retire_ms:
            self._retire(now_ms)
        self._dispatcher.run(now_ms)
        return []

    def _retire(self, now_ms):
        self._next_retire_ms = now_ms + self._policy.retire_ms
        for name, worker in self._part.workers.items():
            heard_ms = self._fleet.info(name).heard_ms or self._started_ms
            lost = now_ms - heard_ms >= self._policy.retire_ms
            if lost and not worker.jobs:
                self._outbox.retire(name)

    def _expire(self, name):
        worker = self._part.workers.get(name)
        if worker is None:
            return
        for job_id, attempt in worker.jobs.items():
            if not self._outbox.is_ending(job_id, attempt):
                self._desk.end_lost(self._part.jobs[job_id], 'lease ran out')

    # Agreed commands

    def _on_applied(self, event, now_ms):
        command = event.command
        self._outbox.applied(command)
        if isinstance(command, commands.SubmitJobs):
            self._refresh_all((spec.job_id for spec in command.jobs), now_ms)
        elif isinstance(command, commands.PlaceAttempts):
            self._note_placements(command, event.outcome, now_ms)
        elif isinstance(command, commands.RecordAttempts):
            self._refresh_all((e.job_id for e in command.events), now_ms)
        elif isinstance(command, commands.RegisterWorkers):
            self._note_workers(command, now_ms)
        elif isinstance(command, commands.RetireWorkers):
            self._drop_workers(command)
        elif type(command) in (
            commands.CancelJobs,
            commands.ParkJobs,
            commands.ResolveJobs,
        ):
            self._refresh_all(command.job_ids, now_ms)
        else:
            return []
        self._dispatcher.run(now_ms)
        return []

    def _refresh_all(self, job_ids, now_ms):
        for job_id in job_ids:
            self._refresh(job_id, now_ms)

    def _refresh(self, job_id, now_ms):
        job = self._part.jobs.get(job_id)
        known = job or self._part.ended.get(job_id)
        if job is not None and job.is_live:
            self._shares.hold(job_id, job.spec.team, job.reserved)
        elif known is not None:
            self._shares.release(job_id)
            self._evictions.forget(job_id)
            self._desk.forget(job_id, known.attempt)
        if known is not None and known.worker:
            self._fleet.refresh(known.worker, now_ms)
        self._dispatcher.refresh(job_id)
        self._dispatcher.wake()

    def _note_placements(self, command, outcome, now_ms):
        results = zip(command.placements, outcome.jobs, strict=True)
        for placement, result in results:
            self._dispatcher.settle(placement, now_ms)
            if not result.reason:
                self._desk.note_placed(placement.job_id, placement.attempt)
                self._leases.watch(placement.worker, now_ms)
            self._refresh(placement.job_id, now_ms)

    def _note_workers(self, command, now_ms):
        for spec in command.workers:
            self._registering.pop(spec.worker, None)
            worker = self._part.workers.get(spec.worker)
            if worker is not None:
                self._shares.set_capacity(spec.worker, worker.spec.capacity)
                self._fleet.info(spec.worker)
                self._fleet.refresh(spec.worker, now_ms)
        self._dispatcher.wake()

    def _drop_workers(self, command):
        for name in command.workers:
            if name not in self._part.workers:
                self._shares.set_capacity(name, None)
                self._fleet.drop(name)
