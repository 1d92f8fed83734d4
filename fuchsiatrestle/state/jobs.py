"""Public interface to the jobs part and the states of a job."""

from fuchsiatrestle.state import _jobs
from fuchsiatrestle.state import _jobs_model

__all__ = (
    'CANCELLED',
    'DONE',
    'ENDED_STATES',
    'EVICTING',
    'FAILED',
    'JobsPart',
    'LIVE_STATES',
    'PARKED',
    'PLACED',
    'QUEUED',
    'RUNNING',
    'STATES',
)

JobsPart = _jobs.JobsPart

QUEUED = _jobs_model.QUEUED
PLACED = _jobs_model.PLACED
RUNNING = _jobs_model.RUNNING
EVICTING = _jobs_model.EVICTING
DONE = _jobs_model.DONE
FAILED = _jobs_model.FAILED
CANCELLED = _jobs_model.CANCELLED
PARKED = _jobs_model.PARKED

STATES = _jobs_model.STATES
LIVE_STATES = _jobs_model.LIVE_STATES
ENDED_STATES = _jobs_model.ENDED_STATES
