"""Mutations: each disables one safety mechanism and must be detected.

A mutation comes with a seed for which the random fault run detects it.
``python -m tests.scheduling._mutations`` tries that seed first and then
others, and prints how each mutation fails.
"""

import contextlib
import itertools
import logging
import sys
from unittest import mock

from fuchsiatrestle import errors
from fuchsiatrestle import messages
from fuchsiatrestle.scheduling import _agreed
from fuchsiatrestle.scheduling import _attempts
from fuchsiatrestle.scheduling import _dispatch
from fuchsiatrestle.scheduling import _leases
from fuchsiatrestle.scheduling import _outbox
from fuchsiatrestle.scheduling import _scheduler
from fuchsiatrestle.state import _jobs_attempts
from fuchsiatrestle.state import _jobs_model
from fuchsiatrestle.state import _jobs_submit
from standins import _worker_agent
from tests.scheduling import _faults

__all__ = ('MUTATIONS', 'Mutation', 'find_failure')

STEPS = 400
MAX_SEEDS = 2500


class Mutation:
    """One safety mechanism to disable.

    Attributes:
        name: the rule that the mechanism enforces.
        patch: function that returns a context manager, which disables it.
        seed: seed for which the random fault run fails without it.
    """

    __slots__ = ('name', 'patch', 'seed')

    def __init__(self, name, patch, seed):
        self.name = name
        self.patch = patch
        self.seed = seed


def _replace_attribute(target, name, value):
    return lambda: mock.patch.object(target, name, value)


def _load_without_wait(self, now_ms):
    _ORIGINAL_LOAD_INDEXES(self, now_ms)
    lease_tracker = self._assembly.lease_tracker
    lease_tracker._lease_end_ms_by_worker = dict.fromkeys(
        lease_tracker._lease_end_ms_by_worker, now_ms
    )
    lease_tracker._lease_end_heap = [
        (now_ms, worker) for worker in lease_tracker._lease_end_ms_by_worker
    ]


_ORIGINAL_LOAD_INDEXES = _agreed.AgreedChangeHandler.load_indexes
_ORIGINAL_POP_EXPIRED = _leases.LeaseTracker.pop_expired


def _expire_early(self, now_ms):
    return _ORIGINAL_POP_EXPIRED(self, now_ms + 4_000)


def _record_refused_always(self, job, detail):
    self._record_event(job, 'refused', 'never ordered')


def _requeue_always(self, job):
    self._store.set_state(job, _jobs_model.QUEUED)
    job.may_have_run = False


def _start_anywhere(self, job, report):
    if job.state == _jobs_model.PLACED:
        return self._make_start_order(job)
    return None


def _take_any_answer(self, answer, now_ms):
    self._last_answered_seq = 0
    self._highest_attempts.clear()
    for job_id, run in self._runs.items():
        self._highest_attempts[job_id] = run.attempt
    _ORIGINAL_TAKE(self, answer, now_ms)


_ORIGINAL_TAKE = _worker_agent.WorkerAgent.carry_out_orders


def _tick_without_lease(self, now_ms):
    for run in self._runs.values():
        run.lease_until_ms = now_ms + 60_000
    _ORIGINAL_TICK(self, now_ms)


_ORIGINAL_TICK = _worker_agent.WorkerAgent.tick


def _find_no_known_job(self, spec):
    return None


def _start_from_scratch(self, job):
    order = _ORIGINAL_START(self, job)
    return messages.AttemptOrder(
        'start', order.job_id, order.attempt, order.lease_ms, order.size
    )


_ORIGINAL_START = _attempts.AttemptReconciler._make_start_order


def _ignore_unknown(self, info, attempt_report, now_ms):
    job = self._jobs_part.jobs.get(attempt_report.job_id)
    if job is None or not job.is_live or job.attempt != attempt_report.attempt:
        return None
    return _ORIGINAL_ANSWER_ATTEMPT(self, info, attempt_report, now_ms)


_ORIGINAL_ANSWER_ATTEMPT = _attempts.AttemptReconciler._answer_attempt


MUTATIONS = (
    Mutation(
        'a new leader waits for the leases of its predecessor',
        _replace_attribute(
            _agreed.AgreedChangeHandler, 'load_indexes', _load_without_wait
        ),
        367,
    ),
    Mutation(
        'the giver of a lease waits longer than the holder',
        _replace_attribute(_leases.LeaseTracker, 'pop_expired', _expire_early),
        768,
    ),
    Mutation(
        'orders go out only while a quorum confirms the leader',
        _replace_attribute(
            _faults.FaultyCell, 'filter_confirmed', lambda self, orders: orders
        ),
        487,
    ),
    Mutation(
        'an attempt whose end is on its way is not renewed',
        _replace_attribute(
            _outbox.Outbox, 'is_ending', lambda self, job_id, n: False
        ),
        26,
    ),
    Mutation(
        'an attempt that may have been ordered counts as run',
        _replace_attribute(
            _attempts.AttemptReconciler,
            'record_lost_attempt',
            _record_refused_always,
        ),
        4,
    ),
    Mutation(
        'a billed job that may have run is parked',
        _replace_attribute(
            _jobs_attempts.AttemptEventHandler,
            '_requeue_or_end',
            _requeue_always,
        ),
        1,
    ),
    Mutation(
        'an attempt starts on the agreed incarnation only',
        _replace_attribute(
            _attempts.AttemptReconciler,
            '_answer_unreported_attempt',
            _start_anywhere,
        ),
        4,
    ),
    Mutation(
        'a worker takes no answer and no start twice',
        _replace_attribute(
            _worker_agent.WorkerAgent, 'carry_out_orders', _take_any_answer
        ),
        51,
    ),
    Mutation(
        'a worker stops when its lease runs out',
        _replace_attribute(
            _worker_agent.WorkerAgent, 'tick', _tick_without_lease
        ),
        33,
    ),
    Mutation(
        'the same job id is the same job',
        _replace_attribute(
            _jobs_submit.JobCommandHandler,
            '_outcome_of_known_job',
            _find_no_known_job,
        ),
        0,
    ),
    Mutation(
        'an attempt resumes from the agreed checkpoint',
        _replace_attribute(
            _attempts.AttemptReconciler,
            '_make_start_order',
            _start_from_scratch,
        ),
        0,
    ),
    Mutation(
        'runs that are not agreed are stopped, ended ones forgotten',
        _replace_attribute(
            _attempts.AttemptReconciler, '_answer_attempt', _ignore_unknown
        ),
        0,
    ),
    Mutation(
        'what waits is tried again when capacity is freed',
        _replace_attribute(
            _dispatch.Dispatcher,
            '_is_round_due',
            lambda self, now_ms: self._round_requested,
        ),
        4,
    ),
    Mutation(
        'silent workers lose their attempts when the lease has run out',
        _replace_attribute(
            _scheduler.Scheduler,
            '_end_attempts_without_lease',
            lambda self, name: None,
        ),
        0,
    ),
    Mutation(
        'a job that fails everywhere is parked',
        _replace_attribute(
            _agreed.AgreedChangeHandler, '_park_job', lambda self, job: None
        ),
        0,
    ),
)


def find_failure(mutation, seed):
    """Returns how the run of a seed fails under a mutation, or empty."""
    with contextlib.ExitStack() as stack:
        stack.enter_context(mutation.patch())
        try:
            _faults.run_random_actions(seed, STEPS)
        except (AssertionError, errors.Error, KeyError) as exc:
            return f'{type(exc).__name__}: {exc}'
    return ''


def main():
    """Prints a seed that detects each mutation; arguments filter by name.

    Returns:
        Exit status 1 if no seed detects one of them.
    """
    logging.disable(logging.CRITICAL)
    undetected_count = 0
    name_filters = sys.argv[1:]
    for mutation in MUTATIONS:
        if name_filters and not any(
            name_filter in mutation.name for name_filter in name_filters
        ):
            continue
        for seed in itertools.chain([mutation.seed], range(MAX_SEEDS)):
            failure = find_failure(mutation, seed)
            if failure:
                break
        undetected_count += not failure
        print(f'{mutation.name} | seed {seed} | {failure[:90]}', flush=True)
    return 1 if undetected_count else 0


if __name__ == '__main__':
    sys.exit(main())
