"""Mechanisms switched off one at a time, and a seed that shows each loss.

``python -m tests.scheduling._mutations`` searches seeds anew and prints how
each mutation fails.
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

__all__ = ('MUTATIONS', 'Mutation', 'fails_with')

STEPS = 400
MAX_SEEDS = 2500


class Mutation:
    """One mechanism switched off.

    Attributes:
        name: the mechanism that is missing.
        patch: function that returns a context manager.
        seed: seed with which the harness fails.
    """

    __slots__ = ('name', 'patch', 'seed')

    def __init__(self, name, patch, seed):
        self.name = name
        self.patch = patch
        self.seed = seed


def _swap(target, name, value):
    return lambda: mock.patch.object(target, name, value)


def _load_without_wait(self, now_ms):
    _ORIGINAL_LOAD(self, now_ms)
    leases = self._parts.leases
    leases._end_ms_by_worker = dict.fromkeys(leases._end_ms_by_worker, now_ms)
    leases._heap = [(now_ms, worker) for worker in leases._end_ms_by_worker]


_ORIGINAL_LOAD = _agreed.AgreedChangeHandler.load
_ORIGINAL_EXPIRED = _leases.LeaseTracker.pop_expired


def _early(self, now_ms):
    return _ORIGINAL_EXPIRED(self, now_ms + 4_000)


def _always_refused(self, job, detail):
    self._record_event(job, 'refused', 'never ordered')


def _requeue_all(self, job):
    self._store.set_state(job, _jobs_model.QUEUED)
    job.may_have_run = False


def _start_anywhere(self, job, report):
    if job.state == _jobs_model.PLACED:
        return self._start_order(job)
    return None


def _take_any_answer(self, answer, now_ms):
    self._answered = 0
    self._highest.clear()
    for job_id, run in self._runs.items():
        self._highest[job_id] = run.attempt
    _ORIGINAL_TAKE(self, answer, now_ms)


_ORIGINAL_TAKE = _worker_agent.WorkerAgent.take


def _tick_without_lease(self, now_ms):
    for run in self._runs.values():
        run.lease_until_ms = now_ms + 60_000
    _ORIGINAL_TICK(self, now_ms)


_ORIGINAL_TICK = _worker_agent.WorkerAgent.tick


def _known_nothing(self, spec):
    return None


def _start_from_scratch(self, job):
    order = _ORIGINAL_START(self, job)
    return messages.AttemptOrder(
        'start', order.job_id, order.attempt, order.lease_ms, order.size
    )


_ORIGINAL_START = _attempts.AttemptReconciler._start_order


def _ignore_unknown(self, info, item, now_ms):
    job = self._jobs_part.jobs.get(item.job_id)
    if job is None or not job.is_live or job.attempt != item.attempt:
        return None
    return _ORIGINAL_ITEM(self, info, item, now_ms)


_ORIGINAL_ITEM = _attempts.AttemptReconciler._answer_attempt


MUTATIONS = (
    Mutation(
        'a new leader waits for the leases of its predecessor',
        _swap(_agreed.AgreedChangeHandler, 'load', _load_without_wait),
        367,
    ),
    Mutation(
        'the giver of a lease waits longer than the holder',
        _swap(_leases.LeaseTracker, 'pop_expired', _early),
        768,
    ),
    Mutation(
        'orders go out only while a quorum confirms the leader',
        _swap(_faults.FaultyCell, 'confirmed', lambda self, orders: orders),
        487,
    ),
    Mutation(
        'an attempt whose end is on its way is not renewed',
        _swap(_outbox.Outbox, 'is_ending', lambda self, job_id, n: False),
        26,
    ),
    Mutation(
        'an attempt that may have been ordered counts as run',
        _swap(
            _attempts.AttemptReconciler, 'record_lost_attempt', _always_refused
        ),
        4,
    ),
    Mutation(
        'a billed job that may have run is parked',
        _swap(
            _jobs_attempts.AttemptEventHandler, '_requeue_or_end', _requeue_all
        ),
        1,
    ),
    Mutation(
        'an attempt starts on the agreed incarnation only',
        _swap(
            _attempts.AttemptReconciler,
            '_answer_missing_attempt',
            _start_anywhere,
        ),
        4,
    ),
    Mutation(
        'a worker takes no answer and no start twice',
        _swap(_worker_agent.WorkerAgent, 'take', _take_any_answer),
        51,
    ),
    Mutation(
        'a worker stops when its lease runs out',
        _swap(_worker_agent.WorkerAgent, 'tick', _tick_without_lease),
        33,
    ),
    Mutation(
        'the same job id is the same job',
        _swap(
            _jobs_submit.JobCommandHandler,
            '_outcome_of_known_job',
            _known_nothing,
        ),
        0,
    ),
    Mutation(
        'an attempt resumes from the agreed checkpoint',
        _swap(
            _attempts.AttemptReconciler, '_start_order', _start_from_scratch
        ),
        0,
    ),
    Mutation(
        'runs that are not agreed are stopped, ended ones forgotten',
        _swap(_attempts.AttemptReconciler, '_answer_attempt', _ignore_unknown),
        0,
    ),
    Mutation(
        'what waits is tried again when capacity is freed',
        _swap(
            _dispatch.Dispatcher,
            '_is_round_due',
            lambda self, now_ms: self._round_requested,
        ),
        4,
    ),
    Mutation(
        'silent workers lose their attempts when the lease has run out',
        _swap(
            _scheduler.Scheduler, '_end_expired_lease', lambda self, name: None
        ),
        0,
    ),
    Mutation(
        'a job that fails everywhere is parked',
        _swap(
            _agreed.AgreedChangeHandler, '_park_job', lambda self, job: None
        ),
        0,
    ),
)


def fails_with(mutation, seed):
    """Returns how the harness fails without the mechanism, or empty."""
    with contextlib.ExitStack() as stack:
        stack.enter_context(mutation.patch())
        try:
            _faults.drive(seed, STEPS)
        except (AssertionError, errors.Error, KeyError) as exc:
            return f'{type(exc).__name__}: {exc}'
    return ''


def main():
    """Searches the first failing seed of each mutation."""
    logging.disable(logging.CRITICAL)
    missing = 0
    words = sys.argv[1:]
    for mutation in MUTATIONS:
        if words and not any(word in mutation.name for word in words):
            continue
        for seed in itertools.chain([mutation.seed], range(MAX_SEEDS)):
            found = fails_with(mutation, seed)
            if found:
                break
        missing += not found
        print(f'{mutation.name} | seed {seed} | {found[:90]}', flush=True)
    return 1 if missing else 0


if __name__ == '__main__':
    sys.exit(main())
