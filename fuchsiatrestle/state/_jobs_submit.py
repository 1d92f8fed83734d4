"""Submission, cancellation and settlement of jobs by operators."""

from fuchsiatrestle.state import _jobs_model as model
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import outcomes

__all__ = ('JobDesk',)

MAX_ID_CHARS = 200
MAX_PRIORITY = 9
DIMENSIONS = ('cpu_milli', 'memory_mib', 'accelerators')


def _refused(job_id, reason, detail):
    return outcomes.JobOutcome(job_id, '', reason, detail=detail)


def _invalid_field(spec):
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


class JobDesk:
    """Applies the commands of operators to a ``JobStore``.

    Args:
        store: the store.
        teams: function without arguments that returns the quotas, a dict of
            ``messages.Resources`` by team; empty if no team is declared.
    """

    def __init__(self, store, teams):
        self._store = store
        self._teams = teams

    # Submission

    def submit(self, spec):
        """Returns the outcome of submitting one job."""
        known = self._known(spec)
        if known is not None:
            return known
        refusal = self._refusal(spec)
        if refusal is not None:
            return refusal
        job = self._store.add(spec)
        return outcomes.JobOutcome(spec.job_id, job.state)

    def _known(self, spec):
        job = self._store.jobs.get(spec.job_id)
        if job is not None:
            same = model.fingerprint(job.spec) == model.fingerprint(spec)
            state = job.state
        else:
            ended = self._store.ended.get(spec.job_id)
            if ended is None:
                return None
            same = ended.fingerprint == model.fingerprint(spec)
            state = ended.state
        if not same:
            return _refused(
                spec.job_id,
                'spec_differs',
                'a job of this id was submitted with another specification',
            )
        return outcomes.JobOutcome(spec.job_id, state, repeated=True)

    def _refusal(self, spec):
        field = _invalid_field(spec)
        if field:
            return _refused(spec.job_id, 'invalid_spec', f'check {field}')
        floor_ms = self._store.stale_before_ms
        if floor_ms and spec.submitted_ms <= floor_ms:
            return _refused(
                spec.job_id,
                'stale',
                'submitted before the window of remembered jobs; check '
                'whether it ran and submit it under a new id',
            )
        if len(self._store.jobs) >= self._store.max_open:
            return _refused(
                spec.job_id, 'queue_full', 'wait until open jobs have ended'
            )
        return self._quota_refusal(spec) or self._impossible(spec)

    def _quota_refusal(self, spec):
        teams = self._teams()
        if not teams:
            return None
        quota = teams.get(spec.team)
        if quota is None:
            return _refused(
                spec.job_id,
                'unknown_team',
                f'declare team {spec.team!r} in the configuration',
            )
        for name in DIMENSIONS:
            if getattr(spec.size, name) > getattr(quota, name):
                return _refused(
                    spec.job_id,
                    'over_quota',
                    f'{name} {getattr(spec.size, name)} is above the quota '
                    f'{getattr(quota, name)} of team {spec.team!r}',
                )
        return None

    def _impossible(self, spec):
        capacities = self._store.capacities()
        if not capacities:
            return None
        usable = [
            capacity
            for capacity, data_centre in capacities
            if spec.data_centre in ('', data_centre)
        ]
        if any(_fits(spec.size, capacity) for capacity in usable):
            return None
        return _refused(
            spec.job_id, 'impossible', _impossible_detail(spec, usable)
        )

    # Cancellation and settlement

    def cancel(self, job_id):
        """Returns the outcome of cancelling one job."""
        store = self._store
        job = store.jobs.get(job_id)
        if job is None:
            return self._ended_outcome(job_id)
        if job.is_live:
            job.cancelled = True
            return outcomes.JobOutcome(job_id, job.state)
        reason = 'cancelled'
        if job.may_have_run and not job.spec.idempotent:
            reason = 'cancelled, may have run'
        store.end(job, model.CANCELLED, reason)
        return outcomes.JobOutcome(job_id, model.CANCELLED)

    def resolve(self, job_id, resolution):
        """Returns the outcome of settling one parked job."""
        job = self._store.jobs.get(job_id)
        if job is None:
            return self._ended_outcome(job_id)
        if job.state != model.PARKED:
            return _refused(job_id, 'not_parked', f'it is {job.state}')
        if resolution != model.QUEUED:
            self._store.end(job, resolution, f'settled as {resolution}')
            return outcomes.JobOutcome(job_id, resolution)
        if job.may_have_run and not job.spec.idempotent:
            return _refused(
                job_id,
                'may_have_run',
                'settle it as done or failed, or submit it under a new id',
            )
        job.reason = ''
        job.failed_on = []
        self._store.set_state(job, model.QUEUED)
        return outcomes.JobOutcome(job_id, model.QUEUED)

    def park(self, job_id, reason):
        """Returns the outcome of parking one queued job."""
        job = self._store.jobs.get(job_id)
        if job is None:
            return self._ended_outcome(job_id)
        if job.state != model.QUEUED:
            return _refused(job_id, 'not_queued', f'it is {job.state}')
        job.reason = reason
        self._store.set_state(job, model.PARKED)
        return outcomes.JobOutcome(job_id, model.PARKED)

    def _ended_outcome(self, job_id):
        ended = self._store.ended.get(job_id)
        if ended is None:
            return _refused(job_id, 'unknown_job', 'no such job')
        return outcomes.JobOutcome(job_id, ended.state, repeated=True)


def _fits(size, capacity):
    return all(
        getattr(size, name) <= getattr(capacity, name) for name in DIMENSIONS
    )


def _impossible_detail(spec, capacities):
    if not capacities:
        return f'no worker is known in data centre {spec.data_centre!r}'
    for name in DIMENSIONS:
        largest = max(getattr(capacity, name) for capacity in capacities)
        if getattr(spec.size, name) > largest:
            return (
                f'{name} {getattr(spec.size, name)} is above the largest '
                f'worker, which has {largest}'
            )
    return 'no single worker has enough in all dimensions together'


RESOLUTIONS = (model.DONE, model.FAILED, model.QUEUED)


def valid_resolution(command):
    """Returns True if a ``ResolveJobs`` names a known resolution."""
    return isinstance(command, commands.ResolveJobs) and (
        command.resolution in RESOLUTIONS
    )
