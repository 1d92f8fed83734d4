"""Part of the agreed state with the batch jobs, attempts and workers."""

import msgspec

from fuchsiatrestle.state import _cancels
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
    """Stored form of the jobs part; the order of the fields is fixed."""

    jobs: list[model.Job]
    ended: list[model.EndedJob]
    workers: list[model.Worker]
    next_seq: int
    stale_before_ms: int
    cancels: list[_cancels.CancelRow] = []
    cancels_dropped_ms: int = 0


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_Snapshot)


def _no_quotas():
    return {}


class JobsPart(_part.Part):
    """Batch jobs, their attempts and the reservations on workers.

    Args:
        get_quotas: function without arguments that returns the quotas in the
            configuration as of the last applied command, a dict of
            ``messages.Resources`` by team.  If the dict is empty, jobs of
            every team are admitted without a quota.
        max_open_jobs: maximum number of jobs that have not ended.
        max_ended_jobs: maximum number of ended jobs that are stored to
            recognise resent submissions.
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
        get_quotas=_no_quotas,
        max_open_jobs=_jobs_store.MAX_OPEN_JOBS,
        max_ended_jobs=_jobs_store.MAX_ENDED_JOBS,
    ):
        self._get_quotas = get_quotas
        self._store = _jobs_store.JobStore(max_open_jobs, max_ended_jobs)
        self._command_handler = _jobs_submit.JobCommandHandler(
            self._store, get_quotas
        )
        self._event_handler = _jobs_attempts.AttemptEventHandler(self._store)
        self._handlers = {
            commands.SubmitJobs: self._submit_jobs,
            commands.CancelJobs: self._cancel_jobs,
            commands.PlaceAttempts: self._place_attempts,
            commands.RecordAttempts: self._record_attempts,
            commands.ParkJobs: self._park_jobs,
            commands.ResolveJobs: self._resolve_jobs,
            commands.RegisterWorkers: self._register_workers,
            commands.RetireWorkers: self._retire_workers,
        }

    # Read access for the scheduler.  The scheduler must not modify the
    # returned objects: only commands may change the agreed state.

    @property
    def jobs(self):
        """Jobs that have not ended, as ``Job`` by identifier."""
        return self._store.jobs

    @property
    def ended_jobs(self):
        """Ended jobs that are still stored, as ``EndedJob`` by identifier."""
        return self._store.ended_jobs

    @property
    def workers(self):
        """Registered workers, as ``Worker`` by name."""
        return self._store.workers

    def capacities(self):
        """Returns the distinct (capacity, data centre) pairs of workers."""
        return self._store.distinct_worker_capacities()

    def team_quotas(self):
        """Returns the quotas of the current configuration.

        Returns:
            A dict of ``messages.Resources`` by team, empty if the
            configuration declares no team.
        """
        return self._get_quotas()

    def counts_by_state(self):
        """Returns the number of open and stored ended jobs by state."""
        return self._store.counts_by_state()

    def verify(self):
        """Checks that reservations and job states agree.

        Raises:
            errors.InvariantBreach: they do not.
        """
        self._store.verify()

    # Methods of ``_part.Part``

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
                list(store.ended_jobs.values()),
                list(store.workers.values()),
                store.next_seq,
                store.stale_before_ms,
                store.unknown_cancels.to_rows(),
                store.unknown_cancels.dropped_ms,
            )
        )

    def restore(self, data):
        """Replaces the whole part by what ``snapshot`` returned.

        Raises:
            errors.InvariantBreach: reservations and job states do not agree.
        """
        snapshot = _DECODER.decode(data)
        self._store.rebuild(
            snapshot.jobs,
            snapshot.ended,
            snapshot.workers,
            snapshot.next_seq,
            snapshot.stale_before_ms,
            _cancels.CancelTable(
                snapshot.cancels, snapshot.cancels_dropped_ms
            ),
        )

    # Commands

    def _submit_jobs(self, command):
        return _apply_to_each(self._command_handler.submit_job, command.jobs)

    def _cancel_jobs(self, command):
        return outcomes.JobOutcomes(
            [
                self._command_handler.cancel_job(job_id, command.cancelled_ms)
                for job_id in command.job_ids
            ]
        )

    def _place_attempts(self, command):
        return _apply_to_each(
            self._event_handler.place_attempt, command.placements
        )

    def _record_attempts(self, command):
        return _apply_to_each(self._event_handler.record_event, command.events)

    def _park_jobs(self, command):
        return outcomes.JobOutcomes(
            [
                self._command_handler.park_job(job_id, command.reason)
                for job_id in command.job_ids
            ]
        )

    def _resolve_jobs(self, command):
        if not _jobs_submit.is_valid_resolution(command):
            return outcomes.Invalid(
                'invalid_resolution',
                'resolution',
                'use done, failed or queued',
            )
        return outcomes.JobOutcomes(
            [
                self._command_handler.resolve_job(job_id, command.resolution)
                for job_id in command.job_ids
            ]
        )

    def _register_workers(self, command):
        workers = self._store.workers
        for worker_spec in command.workers:
            known_worker = workers.get(worker_spec.worker)
            if (
                known_worker is None
                and len(workers) >= _jobs_store.MAX_WORKERS
            ):
                return outcomes.Invalid(
                    'too_many_workers', 'workers', 'start another cell'
                )
            if (
                known_worker is None
                or known_worker.spec.incarnation <= worker_spec.incarnation
            ):
                self._store.put_worker(worker_spec)
        return outcomes.Done()

    def _retire_workers(self, command):
        for worker_name in command.workers:
            worker = self._store.workers.get(worker_name)
            if worker is not None and not worker.jobs:
                self._store.remove_worker(worker_name)
        return outcomes.Done()


def _apply_to_each(apply_command_item, command_items):
    return outcomes.JobOutcomes(
        [apply_command_item(command_item) for command_item in command_items]
    )
