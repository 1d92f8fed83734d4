"""Counters of refused and retried jobs; only the leader counts."""

from fuchsiatrestle import metrics
from fuchsiatrestle.state import commands

__all__ = ('count_outcome',)

_REFUSAL_COUNTERS = {
    reason: metrics.declare(f'refused.job_{reason}', text)
    for reason, text in {
        'spec_differs': 'Jobs whose id has another specification.',
        'impossible': 'Jobs larger than every worker.',
        'unknown_team': 'Jobs of a team that is not declared.',
        'unknown_job': 'Calls about a job that is not known.',
        'over_quota': 'Jobs larger than the quota of their team.',
        'stale': 'Jobs submitted before the window of remembered jobs.',
        'cancelled': 'Jobs cancelled before they were submitted.',
        'queue_full': 'Jobs beyond the bound on open jobs.',
        'invalid_spec': 'Jobs with a field out of range.',
        'not_parked': 'Settlements of a job that is not parked.',
        'may_have_run': 'Requeues of a billed job that may have run.',
    }.items()
}
_RETRY_COUNTERS = {
    kind: metrics.declare(f'retry.job_{kind}', text)
    for kind, text in {
        'stopped': 'Attempts that were stopped or evicted, queued again.',
        'failed': 'Attempts that failed, queued again.',
        'refused': 'Attempts that never started, queued again.',
        'expired': 'Attempts whose lease ran out, queued again.',
    }.items()
}


def count_outcome(command, outcome):
    """Counts the jobs that one applied command refused or queued again.

    Args:
        command: an applied command about jobs.
        outcome: its outcome.
    """
    if isinstance(command, commands.RecordAttempts):
        _count_retries(command, outcome)
    elif isinstance(
        command,
        (commands.SubmitJobs, commands.CancelJobs, commands.ResolveJobs),
    ):
        for job in getattr(outcome, 'jobs', ()):
            if job.reason in _REFUSAL_COUNTERS:
                metrics.count(_REFUSAL_COUNTERS[job.reason])


def _count_retries(command, outcome):
    for event, job_result in zip(command.events, outcome.jobs, strict=True):
        is_requeued = job_result.state == 'queued' and not job_result.repeated
        if is_requeued and event.kind in _RETRY_COUNTERS:
            metrics.count(_RETRY_COUNTERS[event.kind])
