"""Logs what keeps runs waiting on workers that say nothing new about them.

A worker lists its runs with each poll that it accepts, about once a second.  A
run of which no list tells keeps its task waiting until a proof shows that the
run is over; the log lines show which proof, or which step before the start, is
waited for and since when.
"""

from fuchsiatrestle import logs
from fuchsiatrestle.workflows import _events
from fuchsiatrestle.workflows import _runs

__all__ = ('Awaited', 'ReportTimer', 'StallLog')

# Shortest time between two reports about a worker.
REPORT_INTERVAL_MS = 1000
# Waits that have lasted for less are not reported.
MIN_REPORTED_WAIT_MS = 3000
# A driver reports the reply to a poll, or that there was none, within this
# time after the delay that the poll asks for.
MAX_REPLY_MS = 2000

LOG = logs.get_logger(__name__)

_Phase = _runs.Phase


class Awaited:
    """What a worker's runs wait for."""

    # For the runs of a worker that has listed none for some time.
    POLL_REPLY = 'poll_reply'  # neither a reply nor its lack was reported
    LEASE = 'lease'  # the end of all leases, as the worker does not reply
    CLOCK = 'clock'  # a reading of the clock, to tell if the lease is over
    EARLIER_START = 'earlier_start'  # the lease in a start under way
    ACCEPTED_POLL = 'accepted_poll'  # the worker replies, but refuses polls
    AGREEMENT = 'agreement'  # ends were collected that are not agreed yet
    POLL = 'poll'  # the next poll
    # For a run that is to start or to stop.
    ORDER_REPLY = 'order_reply'
    RETRY = 'retry'  # the order was refused or not answered
    ANNOUNCEMENT = 'announcement'  # the last one is too old for a start
    END = 'end'  # the stop was accepted, but the end is not listed
    ORDER = 'order'  # the next order


class ReportTimer:
    """Limits the reports about each worker to one in an interval."""

    def __init__(self):
        self._next_report_ms_by_worker = {}

    def start_interval_if_due(self, worker_name, now_ms):
        """Returns True if a report is due, and starts the next interval.

        Args:
            worker_name: name of the worker.
            now_ms: monotonic time.
        """
        if now_ms < self._next_report_ms_by_worker.get(worker_name, now_ms):
            return False
        self._next_report_ms_by_worker[worker_name] = (
            now_ms + REPORT_INTERVAL_MS
        )
        return True


class StallLog:
    """Reports workers whose runs wait, at most once a second each.

    Args:
        dispatch_state: ``DispatchState``.
        timing: ``Timing``.
    """

    def __init__(self, dispatch_state, timing):
        self._dispatch_state = dispatch_state
        self._timing = timing
        self._report_timer = ReportTimer()
        # By name of the worker, since when it has had dispatched runs.
        self._dispatched_since_ms = {}
        # By name of the worker, then by run and phase: when the run was first
        # found in the phase.
        self._unsettled_since_ms = {}

    def report_if_due(self, worker, now_ms):
        """Logs what the runs of a worker wait for if they wait for long.

        Args:
            worker: the ``Worker``.
            now_ms: monotonic time.
        """
        if not self._report_timer.start_interval_if_due(worker.name, now_ms):
            return
        dispatched_runs = [
            run for run in worker.runs.values() if run.is_dispatched
        ]
        unlisted_ms = self._update_unlisted_time(
            worker, dispatched_runs, now_ms
        )
        waits_and_runs = self._update_unsettled_runs(
            worker, dispatched_runs, now_ms
        )
        if not dispatched_runs:
            return
        if unlisted_ms >= MIN_REPORTED_WAIT_MS:
            awaited = self._find_awaited_of_worker(worker, now_ms)
            run = waits_and_runs[0][1] if waits_and_runs else None
            self._report(
                worker, run or dispatched_runs[0], awaited, unlisted_ms
            )
        elif waits_and_runs and waits_and_runs[0][0] >= MIN_REPORTED_WAIT_MS:
            wait_ms, run = waits_and_runs[0]
            awaited = self._find_awaited_of_run(worker, run, now_ms)
            self._report(worker, run, awaited, wait_ms)

    def _update_unlisted_time(self, worker, dispatched_runs, now_ms):
        """Returns for how long no list has told of the runs of a worker."""
        if not dispatched_runs:
            self._dispatched_since_ms.pop(worker.name, None)
            return 0
        since_ms = self._dispatched_since_ms.setdefault(worker.name, now_ms)
        return now_ms - max(since_ms, worker.listed_ms or since_ms)

    def _update_unsettled_runs(self, worker, dispatched_runs, now_ms):
        """Returns (wait in ms, ``Run``) pairs, the longest wait first.

        They are the runs that are to start or to stop.
        """
        earlier_since_ms = self._unsettled_since_ms.pop(worker.name, {})
        unsettled_runs = [
            run
            for run in dispatched_runs
            if run.phase in (_Phase.STARTING, _Phase.STOPPING)
        ]
        since_ms = {
            (run.key, run.phase): earlier_since_ms.get(
                (run.key, run.phase), now_ms
            )
            for run in unsettled_runs
        }
        if since_ms:
            self._unsettled_since_ms[worker.name] = since_ms
        return sorted(
            (
                (now_ms - since_ms[run.key, run.phase], run)
                for run in unsettled_runs
            ),
            key=lambda wait_and_run: wait_and_run[0],
            reverse=True,
        )

    def _find_awaited_of_worker(self, worker, now_ms):
        poll = worker.pending_poll
        if poll is not None and (
            now_ms - worker.poll_sent_ms > poll.wait_ms + MAX_REPLY_MS
        ):
            return Awaited.POLL_REPLY
        if worker.unanswered_orders:
            if not worker.lease_clock.has_surely_expired(now_ms):
                return Awaited.LEASE
            if not worker.lease_clock.is_clock_known:
                return Awaited.CLOCK
            return Awaited.EARLIER_START
        if worker.poll_outcome not in ('', _events.Verdict.ACCEPTED):
            return Awaited.ACCEPTED_POLL
        recorded_end_number = self._dispatch_state.recorded_end_number(worker)
        if recorded_end_number < worker.collected_end_number:
            return Awaited.AGREEMENT
        return Awaited.POLL

    def _find_awaited_of_run(self, worker, run, now_ms):
        if run.pending_order is not None:
            return Awaited.ORDER_REPLY
        if run.phase == _Phase.STOPPING and run.stopped_ms is not None:
            return Awaited.END
        if worker.unanswered_orders or run.next_order_ms:
            return Awaited.RETRY
        if run.phase == _Phase.STARTING:
            if worker.last_announced_ms is None or (
                now_ms - worker.last_announced_ms > self._timing.announce_ms
            ):
                return Awaited.ANNOUNCEMENT
            if not worker.lease_clock.is_clock_known:
                return Awaited.CLOCK
        return Awaited.ORDER

    def _report(self, worker, run, awaited, waited_ms):
        now_ms = self._dispatch_state.now_ms
        heard_ms = None
        if worker.last_announced_ms is not None:
            heard_ms = now_ms - worker.last_announced_ms
        self._dispatch_state.log_run(
            'runs_wait',
            run,
            phase=run.phase,
            waits_for=awaited,
            waited_ms=waited_ms,
            runs=len(worker.runs),
            poll_outcome=worker.poll_outcome,
            poll_age_ms=now_ms - worker.poll_sent_ms,
            silent_ms=worker.silent_ms(now_ms),
            lease_left_ms=round(worker.lease_clock.remaining_lease_ms(now_ms)),
            heard_ms=heard_ms,
            state=worker.state,
        )
