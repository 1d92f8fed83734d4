"""Submission, cancellation, parking and resolution of jobs."""

from fuchsiatrestle.state import _denials
from fuchsiatrestle.state import _jobs_model as model
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import outcomes

__all__ = ('JobCommandHandler',)

MAX_ID_CHARS = 200
MAX_PRIORITY = 9
RESOURCE_DIMENSIONS = ('cpu_milli', 'memory_mib', 'accelerators')


def _refused_outcome(job_id, reason, detail):
    return outcomes.JobOutcome(job_id, '', reason, detail=detail)


def _first_invalid_field(spec):
    """Returns the path of the first invalid field, empty if all are valid."""
    if not 0 < len(spec.job_id) <= MAX_ID_CHARS:
        return 'job_id'
    if not spec.team:
        return 'team'
    if not 0 <= spec.priority <= MAX_PRIORITY:
        return 'priority'
    if min(spec.size.cpu_milli, spec.size.memory_mib) <= 0:
        return 'size'
    if spec.size.accelerators < 0:
        return 'size.accelerators'
    return ''


class JobCommandHandler:
    """Applies the commands about whole jobs to a ``JobStore``.

    Each command has one ``outcomes.JobOutcome`` for each job; a job for which
    the command is refused stays unchanged.

    Args:
        store: the ``JobStore`` with the jobs and the workers.
        get_quotas: function without arguments that returns the quotas, a dict
            of ``messages.Resources`` by team; empty if no team is declared.
    """

    def __init__(self, store, get_quotas):
        self._store = store
        self._get_quotas = get_quotas

    # Submission

    def submit_job(self, spec):
        """Queues a new job, unless it is refused or already known.

        Args:
            spec: a ``commands.JobSpec``.

        Returns:
            An ``outcomes.JobOutcome``; it is marked ``repeated`` if the same
            job was submitted before.
        """
        known_outcome = self._outcome_of_known_job(spec)
        if known_outcome is not None:
            return known_outcome
        refusal = self._submission_refusal(spec)
        if refusal is not None:
            return refusal
        job = self._store.add_job(spec)
        return outcomes.JobOutcome(spec.job_id, job.state)

    def _outcome_of_known_job(self, spec):
        """Returns the outcome for an identifier in use, or None."""
        job = self._store.jobs.get(spec.job_id)
        if job is not None:
            is_same_spec = model.fingerprint_spec(
                job.spec
            ) == model.fingerprint_spec(spec)
            known_state = job.state
        else:
            ended_job = self._store.ended_jobs.get(spec.job_id)
            if ended_job is None:
                return None
            is_same_spec = ended_job.fingerprint == model.fingerprint_spec(
                spec
            )
            known_state = ended_job.state
        if not is_same_spec:
            return _refused_outcome(
                spec.job_id,
                'spec_differs',
                'a job of this id was submitted with another specification',
            )
        return outcomes.JobOutcome(spec.job_id, known_state, repeated=True)

    def _submission_refusal(self, spec):
        """Returns the outcome that refuses a new job, or None."""
        field = _first_invalid_field(spec)
        if field:
            return _refused_outcome(
                spec.job_id, 'invalid_spec', f'check {field}'
            )
        stale_before_ms = self._store.stale_before_ms
        if stale_before_ms and spec.submitted_ms <= stale_before_ms:
            return _refused_outcome(
                spec.job_id,
                'stale',
                'submitted before the window of remembered jobs; check '
                'whether it ran and submit it under a new id',
            )
        if self._store.unknown_cancels.denies(
            _denials.make_key(spec.job_id), spec.submitted_ms
        ):
            return _refused_outcome(
                spec.job_id,
                'cancelled',
                'cancelled before it was submitted; submit it under a new id',
            )
        if len(self._store.jobs) >= self._store.max_open_jobs:
            return _refused_outcome(
                spec.job_id, 'queue_full', 'wait until open jobs have ended'
            )
        return self._quota_refusal(spec) or self._capacity_refusal(spec)

    def _quota_refusal(self, spec):
        """Returns a refusal if the team is unknown or its quota too small.

        Only the size of this job is compared with the quota, without the
        other jobs of the team.  It returns None if the configuration declares
        no team.
        """
        quotas = self._get_quotas()
        if not quotas:
            return None
        quota = quotas.get(spec.team)
        if quota is None:
            return _refused_outcome(
                spec.job_id,
                'unknown_team',
                f'declare team {spec.team!r} in the configuration',
            )
        for dimension in RESOURCE_DIMENSIONS:
            if getattr(spec.size, dimension) > getattr(quota, dimension):
                return _refused_outcome(
                    spec.job_id,
                    'over_quota',
                    f'{dimension} {getattr(spec.size, dimension)} is above '
                    f'the quota {getattr(quota, dimension)} of team '
                    f'{spec.team!r}',
                )
        return None

    def _capacity_refusal(self, spec):
        """Returns a refusal if no registered worker is large enough.

        It returns None as long as no worker is registered.
        """
        distinct_capacities = self._store.distinct_worker_capacities()
        if not distinct_capacities:
            return None
        usable_capacities = [
            capacity
            for capacity, data_centre in distinct_capacities
            if spec.data_centre in ('', data_centre)
        ]
        if any(
            _fits_capacity(spec.size, capacity)
            for capacity in usable_capacities
        ):
            return None
        return _refused_outcome(
            spec.job_id,
            'impossible',
            _missing_capacity_detail(spec, usable_capacities),
        )

    # Cancellation, parking and resolution

    def cancel_job(self, job_id, cancelled_ms):
        """Cancels a job.

        A job with a live attempt is only marked; it ends as cancelled when the
        attempt has ended without being done.  One that is not known is not
        accepted any more.

        Args:
            job_id: identifier of the job.
            cancelled_ms: time of the cancel, since the epoch; 0 if it is not
                known.

        Returns:
            An ``outcomes.JobOutcome`` with the state after the command.
        """
        store = self._store
        job = store.jobs.get(job_id)
        if job is None:
            if job_id not in store.ended_jobs:
                store.unknown_cancels.add(
                    _denials.make_key(job_id), cancelled_ms
                )
            return self._outcome_of_ended_job(job_id)
        if job.is_live:
            job.cancelled = True
            return outcomes.JobOutcome(job_id, job.state)
        reason = 'cancelled'
        if job.may_have_run and not job.spec.idempotent:
            reason = 'cancelled, may have run'
        store.end_job(job, model.CANCELLED, reason)
        return outcomes.JobOutcome(job_id, model.CANCELLED)

    def resolve_job(self, job_id, resolution):
        """Ends a parked job, or queues it again.

        Args:
            job_id: identifier of the job.
            resolution: ``done``, ``failed`` or ``queued``.  A job that is not
                idempotent and may have run is not queued again.

        Returns:
            An ``outcomes.JobOutcome``.
        """
        job = self._store.jobs.get(job_id)
        if job is None:
            return self._outcome_of_ended_job(job_id)
        if job.state != model.PARKED:
            return _refused_outcome(job_id, 'not_parked', f'it is {job.state}')
        if resolution != model.QUEUED:
            self._store.end_job(job, resolution, f'settled as {resolution}')
            return outcomes.JobOutcome(job_id, resolution)
        if job.may_have_run and not job.spec.idempotent:
            return _refused_outcome(
                job_id,
                'may_have_run',
                'settle it as done or failed, or submit it under a new id',
            )
        job.reason = ''
        job.failed_on = []
        job.reset_crash_counts()
        self._store.set_state(job, model.QUEUED)
        return outcomes.JobOutcome(job_id, model.QUEUED)

    def park_job(self, job_id, reason):
        """Parks a queued job until an operator resolves it.

        Args:
            job_id: identifier of the job.
            reason: text shown to operators.

        Returns:
            An ``outcomes.JobOutcome``.
        """
        job = self._store.jobs.get(job_id)
        if job is None:
            return self._outcome_of_ended_job(job_id)
        if job.state != model.QUEUED:
            return _refused_outcome(job_id, 'not_queued', f'it is {job.state}')
        job.reason = reason
        self._store.set_state(job, model.PARKED)
        return outcomes.JobOutcome(job_id, model.PARKED)

    def _outcome_of_ended_job(self, job_id):
        ended_job = self._store.ended_jobs.get(job_id)
        if ended_job is None:
            return _refused_outcome(job_id, 'unknown_job', 'no such job')
        return outcomes.JobOutcome(job_id, ended_job.state, repeated=True)


def _fits_capacity(size, capacity):
    return all(
        getattr(size, dimension) <= getattr(capacity, dimension)
        for dimension in RESOURCE_DIMENSIONS
    )


def _missing_capacity_detail(spec, usable_capacities):
    """Returns why a job fits none of the capacities it may use."""
    if not usable_capacities:
        return f'no worker is known in data centre {spec.data_centre!r}'
    for dimension in RESOURCE_DIMENSIONS:
        largest_amount = max(
            getattr(capacity, dimension) for capacity in usable_capacities
        )
        if getattr(spec.size, dimension) > largest_amount:
            return (
                f'{dimension} {getattr(spec.size, dimension)} is above the '
                f'largest worker, which has {largest_amount}'
            )
    return 'no single worker has enough in all dimensions together'


RESOLUTIONS = (model.DONE, model.FAILED, model.QUEUED)


def is_valid_resolution(command):
    """Tells whether a command is a ``ResolveJobs`` with a valid resolution."""
    return isinstance(command, commands.ResolveJobs) and (
        command.resolution in RESOLUTIONS
    )
