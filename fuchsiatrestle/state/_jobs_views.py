"""Read side of the jobs part."""

import heapq

from fuchsiatrestle.state import _jobs_model as model
from fuchsiatrestle.state import queries

__all__ = (
    'list_jobs',
    'view_job',
)

MAX_PAGE_JOBS = 1000


def _open_reason(job):
    if job.cancelled and job.is_live:
        return 'cancel requested, waiting for the worker to stop it'
    if job.state == model.QUEUED and job.failed_on:
        return 'failed on ' + ', '.join(job.failed_on)
    return job.reason


def _view_open(job):
    spec = job.spec
    return queries.JobView(
        spec.job_id,
        spec.team,
        spec.job_class,
        spec.priority,
        job.state,
        job.attempt,
        job.worker,
        job.checkpoint,
        _open_reason(job),
        [str(line) for line in job.history],
    )


def _view_ended(job):
    return queries.JobView(
        job.job_id,
        job.team,
        job.job_class,
        job.priority,
        job.state,
        job.attempt,
        job.worker,
        job.checkpoint,
        job.reason,
        [str(line) for line in job.history],
    )


def view_job(store, job_id):
    """Returns the ``JobView`` of one job, or ``NotFound``."""
    job = store.jobs.get(job_id)
    if job is not None:
        return _view_open(job)
    ended = store.ended.get(job_id)
    if ended is not None:
        return _view_ended(ended)
    return queries.NotFound(f'job {job_id}')


def list_jobs(store, query):
    """Returns one page of jobs in the order of their identifiers."""
    limit = max(1, min(query.limit, MAX_PAGE_JOBS))
    names = heapq.nsmallest(
        limit + 1,
        (
            name
            for jobs in (store.jobs, store.ended)
            for name, job in jobs.items()
            if name > query.after and _matches(job, query)
        ),
    )
    page = [view_job(store, name) for name in names[:limit]]
    more = page[-1].job_id if len(names) > limit else ''
    return queries.JobList(page, more)


def _matches(job, query):
    if query.state and job.state != query.state:
        return False
    team = job.team if isinstance(job, model.EndedJob) else job.spec.team
    return not query.team or team == query.team
