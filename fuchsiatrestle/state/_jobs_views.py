"""Answers to queries about jobs."""

import heapq

from fuchsiatrestle.state import _jobs_model as model
from fuchsiatrestle.state import queries

__all__ = (
    'list_jobs',
    'view_job',
)

MAX_PAGE_JOBS = 1000


def _reason_of_open_job(job):
    """Returns why an open job is in its state, for operators."""
    if job.cancelled and job.is_live:
        return 'cancel requested, waiting for the worker to stop it'
    if job.state == model.QUEUED and job.failed_on:
        return 'failed on ' + ', '.join(job.failed_on)
    return job.reason


def _view_open_job(job):
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
        _reason_of_open_job(job),
        [str(line) for line in job.history],
    )


def _view_ended_job(job):
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
    """Returns the ``queries.JobView`` of one job, or ``queries.NotFound``.

    Args:
        store: the ``JobStore``.
        job_id: identifier of the job, open or ended.
    """
    job = store.jobs.get(job_id)
    if job is not None:
        return _view_open_job(job)
    ended_job = store.ended_jobs.get(job_id)
    if ended_job is not None:
        return _view_ended_job(ended_job)
    return queries.NotFound(f'job {job_id}')


def list_jobs(store, query):
    """Returns one page of jobs in the order of their identifiers.

    Args:
        store: the ``JobStore``.
        query: the ``queries.ListJobs``; a page has at most
            ``MAX_PAGE_JOBS`` jobs.

    Returns:
        A ``queries.JobList`` of open and ended jobs.
    """
    page_size = max(1, min(query.limit, MAX_PAGE_JOBS))
    # One job more than the page holds, to know whether another page follows.
    job_ids = heapq.nsmallest(
        page_size + 1,
        (
            job_id
            for jobs in (store.jobs, store.ended_jobs)
            for job_id, job in jobs.items()
            if job_id > query.after and _matches_query(job, query)
        ),
    )
    page = [view_job(store, job_id) for job_id in job_ids[:page_size]]
    next_after = page[-1].job_id if len(job_ids) > page_size else ''
    return queries.JobList(page, next_after)


def _matches_query(job, query):
    if query.state and job.state != query.state:
        return False
    team = job.team if isinstance(job, model.EndedJob) else job.spec.team
    return not query.team or team == query.team
