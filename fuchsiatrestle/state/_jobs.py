"""The jobs part of the agreed state: jobs, attempts and workers."""

import msgspec

from fuchsiatrestle.state import _jobs_attempts
from fuchsiatrestle.state import _jobs_model as model
from fuchsiatrestle.state import _jobs_store
from fuchsiatrestle.state import _jobs_submit
from fuchsiatrestle.state import _jobs_views
from fuchsiatrestle.state import _part
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import outcomes
from fuchsiatrestle.state import queries

__all__ = ('JobsPart',)


class _Snapshot(msgspec.Struct, array_like=True):
    jobs: list[model.Job]
    ended: list[model.EndedJob]
    workers: list[model.Worker]
    next_seq: int
    stale_before_ms: int


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_Snapshot)


def _no_teams():
    return {}


class JobsPart(_part.Part):
    """Jobs, their attempts and the reservations on workers.

    Args:
        teams: function without arguments that returns the quotas in force at
            the applied index, a dict of ``messages.Resources`` by team.  An
            empty dict admits every team without a quota.
        max_open: bound on open jobs.
        max_ended: bound on remembered ended jobs.
    """

    name = 'jobs'
    command_kinds = (
        commands.SubmitJobs,
        commands.CancelJobs,
        commands.PlaceAttempts,
        commands.RecordAttempts,
        commands.ParkJobs,
        commands.ResolveJobs,
        commands.RegisterWorkers,
        commands.RetireWorkers,
    )
    query_kinds = (queries.GetJob, queries.ListJobs)

    def __init__(
        self,
        teams=_no_teams,
        max_open=_jobs_store.MAX_OPEN_JOBS,
        max_ended=_jobs_store.MAX_ENDED_JOBS,
    ):
        self._teams = teams
        self._store = _jobs_store.JobStore(max_open, max_ended)
        self._desk = _jobs_submit.JobDesk(self._store, teams)
        self._ledger = _jobs_attempts.AttemptLedger(self._store)
        self._handlers = {
            commands.SubmitJobs: self._submit,
            commands.CancelJobs: self._cancel,
            commands.PlaceAttempts: self._place,
            commands.RecordAttempts: self._record,
            commands.ParkJobs: self._park,
            commands.ResolveJobs: self._resolve,
            commands.RegisterWorkers: self._register,
            commands.RetireWorkers: self._retire,
        }

    # Read access for the scheduler, which must not change anything.

    @property
    def jobs(self):
        """Open jobs by identifier."""
        return self._store.jobs

    @property
    def ended(self):
        """Remembered ended jobs by identifier."""
        return self._store.ended

    @property
    def workers(self):
        """Registered workers by name."""
        return self._store.workers

    def capacities(self):
        """Returns the distinct (capacity, data centre) pairs of workers."""
        return self._store.capacities()

    def quotas(self):
        """Returns the team quotas in force, empty if none is declared."""
        return self._teams()

    def counts(self):
        """Returns the number of jobs by state."""
        return self._store.counts()

    def verify(self):
        """Checks the whole part; raises ``errors.InvariantBreach``."""
        self._store.verify()

    # Part

    def apply(self, index, command):
        """Applies one command; see ``Part.apply``."""
        return self._handlers[type(command)](command)

    def query(self, query):
        """Answers one query; see ``Part.query``."""
        if isinstance(query, queries.GetJob):
            return _jobs_views.view_job(self._store, query.job_id)
        return _jobs_views.list_jobs(self._store, query)

    def snapshot(self):
        """Returns the whole part as bytes."""
        store = self._store
        return _ENCODER.encode(
            _Snapshot(
                list(store.jobs.values()),
                list(store.ended.values()),
                list(store.workers.values()),
                store.next_seq,
                store.stale_before_ms,
            )
        )

    def restore(self, data):
        """Replaces the whole part by what ``snapshot`` returned."""
        snapshot = _DECODER.decode(data)
        self._store.rebuild(
            snapshot.jobs,
            snapshot.ended,
            snapshot.workers,
            snapshot.next_seq,
            snapshot.stale_before_ms,
        )

    # Commands

    def _submit(self, command):
        return _each(self._desk.submit, command.jobs)

    def _cancel(self, command):
        return _each(self._desk.cancel, command.job_ids)

    def _place(self, command):
        return _each(self._ledger.place, command.placements)

    def _record(self, command):
        return _each(self._ledger.record, command.events)

    def _park(self, command):
        return outcomes.JobOutcomes(
            [
                self._desk.park(job_id, command.reason)
                for job_id in command.job_ids
            ]
        )

    def _resolve(self, command):
        if not _jobs_submit.valid_resolution(command):
            return outcomes.Invalid(
                'invalid_resolution',
                'resolution',
                'use done, failed or queued',
            )
        return outcomes.JobOutcomes(
            [
                self._desk.resolve(job_id, command.resolution)
                for job_id in command.job_ids
            ]
        )

    def _register(self, command):
        workers = self._store.workers
        for spec in command.workers:
            known = workers.get(spec.worker)
            if known is None and len(workers) >= _jobs_store.MAX_WORKERS:
                return outcomes.Invalid(
                    'too_many_workers', 'workers', 'start another cell'
                )
            if known is None or known.spec.incarnation <= spec.incarnation:
                self._store.put_worker(spec)
        return outcomes.Done()

    def _retire(self, command):
        for name in command.workers:
            worker = self._store.workers.get(name)
            if worker is not None and not worker.jobs:
                self._store.remove_worker(name)
        return outcomes.Done()


def _each(handle, items):
    return outcomes.JobOutcomes([handle(item) for item in items])
