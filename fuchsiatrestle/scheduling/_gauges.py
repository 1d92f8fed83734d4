"""Declares and computes the gauges of the scheduler."""

from fuchsiatrestle import metrics

__all__ = ('measure_gauges',)

GAUGE_JOBS = {
    state: metrics.declare(f'jobs.{state}', f'Jobs in state {state}.')
    for state in ('queued', 'placed', 'running', 'evicting', 'parked')
}
GAUGE_WORKERS = metrics.declare('workers.registered', 'Workers registered.')
GAUGE_QUARANTINED = metrics.declare(
    'workers.quarantined', 'Workers in quarantine.'
)
GAUGE_EVICTIONS = metrics.declare(
    'scheduling.evictions', 'Evictions in progress.'
)


def measure_gauges(jobs_part, quarantined_count, eviction_count):
    """Returns the gauge values of one cell, by declared name.

    Args:
        jobs_part: the ``JobsPart`` of the replicated state.
        quarantined_count: number of workers in quarantine.
        eviction_count: number of evictions in progress.
    """
    job_counts = jobs_part.counts_by_state()
    gauge_values = {
        name: job_counts.get(state, 0) for state, name in GAUGE_JOBS.items()
    }
    gauge_values[GAUGE_WORKERS] = len(jobs_part.workers)
    gauge_values[GAUGE_QUARANTINED] = quarantined_count
    gauge_values[GAUGE_EVICTIONS] = eviction_count
    return gauge_values
