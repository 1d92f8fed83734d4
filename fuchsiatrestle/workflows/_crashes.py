"""Finds the tasks that may crash their workers, and isolates their starts.

A task may end the process of each worker that starts it, and with it all
other runs there.  Suspected is each run whose worker gave no sign of life for
some time after the start; which of several such runs is to blame shows when
each of their tasks is started alone next time.
"""

from fuchsiatrestle.state import commands
from fuchsiatrestle.workflows import _fleet
from fuchsiatrestle.workflows import _placement
from fuchsiatrestle.workflows import _run_ends
from fuchsiatrestle.workflows import _runs

__all__ = (
    'MAX_TRIAL_WORKER_SHARE',
    'SURVIVAL_MS',
    'TrialRuns',
    'choose_trial_worker',
    'find_start_outcome',
    'has_survived',
)

# Time for which a worker has to run a task until it counts as harmless, by
# the worker's clock.
SURVIVAL_MS = 300
# A process that announces itself so long after a start was sent to it has not
# crashed under that start.
MIN_HEARD_MS = 3000
# Longest time for which a start that is not known to be harmless keeps other
# starts off its worker.
MAX_TRIAL_MS = 3000
# Share of the workers on which suspected tasks may be started alone at a time;
# one worker may be used in any case.
MAX_TRIAL_WORKER_SHARE = 0.5

# Proofs that the process of a worker has ended.
_PROCESS_ENDED_PROOFS = (
    _run_ends.Proof.OTHER_WORKER_THERE,
    _run_ends.Proof.WORKER_REBORN,
)


def find_start_outcome(worker, run, proof):
    """Returns the ``StartOutcome`` of a lost run.

    Args:
        worker: the ``Worker``.
        run: the ``Run`` on it.
        proof: ``Proof`` that it is over.
    """
    if run.earlier_start_outcome:
        return run.earlier_start_outcome
    if has_survived(worker, run):
        return commands.StartOutcome.SURVIVED
    if worker.state != _fleet.READY:
        return commands.StartOutcome.UNKNOWN
    process_ended = proof in _PROCESS_ENDED_PROOFS
    if not process_ended and _was_heard_after_start(worker, run):
        return commands.StartOutcome.UNKNOWN
    if not process_ended and proof != _run_ends.Proof.LEASE_OVER:
        return commands.StartOutcome.UNKNOWN
    if run.started_ms is None:
        is_suspected = (
            run.start_uncertain
            or run.adopted_suspected
            or (run.adopted_soon and process_ended)
        )
    else:
        is_suspected = (
            run.start_sent_ms is not None and run.started_clock_ms is not None
        )
    if not is_suspected:
        return commands.StartOutcome.UNKNOWN
    if (
        process_ended
        and run.start_sent_ms is not None
        and run.started_ms is not None
    ):
        return commands.StartOutcome.CRASHED
    # The worker may have been cut off, or have run the task for long.
    return commands.StartOutcome.MAY_HAVE_CRASHED


def _was_heard_after_start(worker, run):
    """True if the process announced itself well after the start was sent.

    It was cut off from the orders then, and has not crashed.
    """
    if run.start_sent_ms is None or worker.last_announced_ms is None:
        return False
    return worker.last_announced_ms - run.start_sent_ms >= MIN_HEARD_MS


def has_survived(worker, run):
    """True if a worker has shown that a run there is harmless.

    Args:
        worker: the ``Worker``.
        run: the ``Run`` on it.
    """
    if run.started_clock_ms is None or worker.newest_clock_ms is None:
        return False
    return worker.newest_clock_ms - run.started_clock_ms >= SURVIVAL_MS


class TrialRuns:
    """Runs of suspected tasks, each started alone on its worker."""

    def __init__(self):
        # (``Worker``, ``Run``) pairs.
        self._trials = []

    def add(self, worker, run):
        """Adds a run that was placed on a worker to be started alone."""
        run.starts_alone = True
        self._trials.append((worker, run))

    def find_closed_workers(self, fleet, now_ms):
        """Returns the names of the workers on which a trial goes on.

        A trial ends with the process of its worker.

        Args:
            fleet: the ``Fleet``.
            now_ms: monotonic time.
        """
        self._trials = [
            (worker, run)
            for worker, run in self._trials
            if fleet.get(worker.name) is worker
            and run.key in worker.runs
            and _keeps_others_off(worker, run, now_ms)
        ]
        return {worker.name for worker, _ in self._trials}


def choose_trial_worker(group, workers, placer, now_ms):
    """Chooses the worker on which a suspected task is started next.

    Workers that have not crashed under it come first, then warm ones, then
    those that start orders reach, then those with the fewest starts that are
    not known to be harmless, then those with the fewest runs to lose.

    Args:
        group: ``Group`` of the task.
        workers: the candidates.
        placer: ``Placer``.
        now_ms: monotonic time.

    Returns:
        The ``Worker`` and the number of starts on it that have to be waited
        for, or None and 0 if no worker has room.
    """
    task_id = group.waiting_task_ids[0]
    crash_workers = group.workflow.tasks[task_id].crash_workers
    ranked_workers = sorted(
        (
            (
                worker.name in crash_workers,
                worker.is_cold,
                worker.failed_start_count,
                _count_recent_starts(worker, now_ms),
                len(worker.runs),
                position,
            )
            for position, worker in enumerate(workers)
            if _placement.has_room(group.step, task_id, worker)
        )
    )
    for _, _, _, start_count, _, position in ranked_workers:
        worker = workers[position]
        if placer.choose_workers(group, [worker]):
            return worker, start_count
    return None, 0


def _count_recent_starts(worker, now_ms):
    return sum(
        _keeps_others_off(worker, run, now_ms) for run in worker.runs.values()
    )


def _keeps_others_off(worker, run, now_ms):
    """True if a run is not started yet, or recently and may be harmful."""
    if run.phase == _runs.Phase.PLACED:
        return True
    if run.start_sent_ms is None or has_survived(worker, run):
        return False
    return now_ms - run.start_sent_ms < MAX_TRIAL_MS
