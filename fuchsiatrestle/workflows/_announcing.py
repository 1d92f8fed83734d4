"""Tracks the workers and their processes from their announcements."""

import msgspec

from fuchsiatrestle import logs
from fuchsiatrestle.state import commands
from fuchsiatrestle.workflows import _crashes
from fuchsiatrestle.workflows import _fleet
from fuchsiatrestle.workflows import _run_ends
from fuchsiatrestle.workflows import _runs
from fuchsiatrestle.workflows import _stalls

__all__ = ('AnnouncementHandler', 'may_end_process', 'prepare_adopted_run')

# Longest wait of a withdrawal for its acknowledgement.  The worker takes a
# call as failed after a second, of which the daemon on the way needs a part.
MAX_WITHDRAWAL_WAIT_MS = 600

# Time without new tasks for a process whose predecessor ended under runs; one
# that ends again and again mostly does so within this time.
RESTART_PAUSE_MS = 2500

# Assumed for an ended process if neither its start nor its clock is of use.
MAX_UPTIME_MS = 1_000_000_000_000

LOG = logs.get_logger(__name__)

_Phase = _runs.Phase


class AnnouncementHandler:
    """Handles announcements, withdrawals and restarts of workers.

    Args:
        dispatch_state: ``DispatchState``.
    """

    def __init__(self, dispatch_state):
        self._dispatch_state = dispatch_state
        self._report_timer = _stalls.ReportTimer()

    def on_worker_announced(self, event):
        """Updates or adds a worker; ignores outdated announcements.

        Args:
            event: ``WorkerAnnounced``.
        """
        announcement = event.announcement
        worker = self._dispatch_state.fleet.get(announcement.worker)
        if worker is None:
            worker = self._add_worker(
                _fleet.record_from_announcement(announcement)
            )
        elif self._is_of_other_writer(worker, announcement):
            self._log_ignored_announcement(worker, announcement)
            return
        elif worker.is_of_later_process(announcement.born_ms):
            worker = self.replace_worker(
                worker, _fleet.record_from_announcement(announcement)
            )
        elif announcement.born_ms != worker.record.born_ms:
            worker.earlier_record = _fleet.record_from_announcement(
                announcement
            )
            self._log_ignored_announcement(worker, announcement)
            return
        elif announcement.sequence <= worker.announcement_sequence:
            self._log_ignored_announcement(worker, announcement)
            return
        elif worker.withdrawn_ms is not None:
            return
        self._update_worker(worker, announcement)
        worker.earlier_record = None
        worker.announcement_sequence = announcement.sequence
        worker.cold_until_ms = 0
        if announcement.remaining_cold_ms:
            worker.cold_until_ms = (
                self._dispatch_state.now_ms + announcement.remaining_cold_ms
            )
        worker.last_announced_ms = self._dispatch_state.now_ms
        worker.record_clock(announcement.clock_ms, self._dispatch_state.now_ms)
        worker.life_signs.record_reading(announcement.clock_ms)
        self._dispatch_state.placement_due = True

    def _is_of_other_writer(self, worker, announcement):
        """True if it names another service than a known worker, and none.

        Others may send announcements of their own under any id.  They must
        not take a worker from its service.
        """
        pool = announcement.pool
        documents = self._dispatch_state.workflow_store.documents
        return pool != worker.record.pool and not documents.has_pool(pool)

    def _log_ignored_announcement(self, worker, announcement):
        """Logs an outdated announcement, at most once a second a worker."""
        now_ms = self._dispatch_state.now_ms
        if not self._report_timer.start_interval_if_due(worker.name, now_ms):
            return
        heard_ms = None
        if worker.last_announced_ms is not None:
            heard_ms = now_ms - worker.last_announced_ms
        LOG.info(
            'announcement_ignored',
            extra={
                'worker': worker.name,
                'born_ms': announcement.born_ms,
                'known_born_ms': worker.record.born_ms,
                'pool': announcement.pool,
                'sequence': announcement.sequence,
                'known_sequence': worker.announcement_sequence,
                'heard_ms': heard_ms,
                'runs': len(worker.runs),
            },
        )

    def _update_worker(self, worker, announcement):
        if worker.state != announcement.state:
            LOG.info(
                'worker_state',
                extra={
                    'worker': announcement.worker,
                    'state': announcement.state,
                    'sequence': announcement.sequence,
                    'runs': len(worker.runs),
                },
            )
            worker.state = announcement.state
        record = msgspec.structs.replace(
            _fleet.record_from_announcement(announcement),
            ends_noted=worker.record.ends_noted,
            ended_born_ms=worker.record.ended_born_ms,
        )
        if record != worker.record:
            worker.update_record(record)
            self._dispatch_state.propose_worker_record(worker)

    def _add_worker(self, record):
        worker = self._dispatch_state.fleet.add_worker(
            record, self._dispatch_state.now_ms
        )
        LOG.info(
            'worker_found',
            extra={
                'worker': record.worker,
                'born_ms': record.born_ms,
                'pool': record.pool,
                'address': record.address,
            },
        )
        self._dispatch_state.propose_worker_record(worker)
        return worker

    def replace_worker(self, previous_worker, record):
        """Replaces a worker whose process has restarted.

        A run is over with the ended process if that process has listed it, or
        was alive when the last start order for it had arrived.  Any other may
        have been started by the new process, as accepted starts do not tell
        by which process; it belongs to the new ``Worker`` until its list or
        its lease tells.  A run whose placement is not agreed yet is recorded
        as lost once it is agreed.

        Args:
            previous_worker: ``Worker`` of the ended process.
            record: ``WorkerRecord`` of the new process.

        Returns:
            The ``Worker`` of the new process.
        """
        LOG.warning(
            'worker_reborn',
            extra={
                'worker': previous_worker.name,
                'born_ms': record.born_ms,
                'before_ms': previous_worker.record.born_ms,
                'runs': len(previous_worker.runs),
            },
        )
        worker = self._add_worker(record)
        if previous_worker.runs:
            # What has ended the process may end the next one, too.
            worker.pause_placement(
                self._dispatch_state.now_ms, RESTART_PAUSE_MS
            )
        max_uptime_ms = _find_max_uptime_ms(
            previous_worker, record, self._dispatch_state.now_ms
        )
        for run in list(previous_worker.runs.values()):
            proof = _run_ends.find_proof_by_restart(previous_worker, run)
            if run.phase == _Phase.PLACED:
                worker.add_run(run)
            elif proof is not None:
                self._dispatch_state.record_lost_run(
                    previous_worker, run, proof, 'worker_reborn'
                )
            else:
                _prepare_for_next_process(
                    previous_worker, run, record, max_uptime_ms
                )
                worker.add_run(run)
        return worker

    def replace_by_earlier_start(self, previous_worker):
        """Replaces a worker by a process that names an earlier start.

        The clock of its VM was set back before it started.  Its announcement
        alone proves nothing, as one of an ended process may come late.

        Args:
            previous_worker: ``Worker``, whose address has answered an order
                with the start time in its ``earlier_record``.

        Returns:
            The ``Worker`` of the present process.
        """
        ended_born_ms = max(
            previous_worker.record.born_ms,
            previous_worker.record.ended_born_ms,
        )
        return self.replace_worker(
            previous_worker,
            msgspec.structs.replace(
                previous_worker.earlier_record, ended_born_ms=ended_born_ms
            ),
        )

    def on_worker_withdrawn(self, event):
        """Stops the runs of a worker that will end its process.

        The worker is to list their ends, with their newest checkpoints, before
        it is told that it may end.  A withdrawal that does not name the
        process is taken as one of the current process only if that process
        drains, as all do before they withdraw; any other is ignored.

        Args:
            event: ``WorkerWithdrawn``.
        """
        worker = self._dispatch_state.fleet.get(event.worker)
        if worker is None or worker.withdrawn_ms is not None:
            return
        if not _is_of_current_process(event, worker):
            LOG.warning(
                'withdrawal_ignored',
                extra={
                    'worker': worker.name,
                    'state': worker.state,
                    'born_ms': event.born_ms,
                },
            )
            return
        LOG.info(
            'worker_withdrawn',
            extra={'worker': worker.name, 'runs': len(worker.runs)},
        )
        worker.state = _fleet.WITHDRAWN
        worker.withdrawn_ms = self._dispatch_state.now_ms
        for run in list(worker.runs.values()):
            if run.is_dispatched:
                self._dispatch_state.end_run(worker, run, 'worker_leaves')


def _find_max_uptime_ms(previous_worker, record, now_ms):
    """Returns the longest time for which an ended process can have run.

    Args:
        previous_worker: ``Worker`` of the ended process.
        record: ``WorkerRecord`` of the next process.
        now_ms: monotonic time.
    """
    if previous_worker.is_of_later_process(record.born_ms):
        return record.born_ms - previous_worker.record.born_ms
    # The time of day was set back, so the two starts do not tell.
    max_clock_ms = previous_worker.lease_clock.max_clock_ms(now_ms)
    return MAX_UPTIME_MS if max_clock_ms is None else round(max_clock_ms)


def _prepare_for_next_process(
    previous_worker, run, record, max_uptime_ms=None
):
    """Prepares a run that the next process of a worker may execute.

    Args:
        previous_worker: ``Worker`` of the ended process.
        run: the ``Run``.
        record: ``WorkerRecord`` of the next process.
        max_uptime_ms: longest time for which the ended process can have run,
            None for the time between the two starts.
    """
    if max_uptime_ms is None:
        max_uptime_ms = record.born_ms - previous_worker.record.born_ms
    run.earlier_start_outcome = _crashes.find_start_outcome(
        previous_worker, run, _run_ends.Proof.WORKER_REBORN
    )
    run.is_listed = False
    run.started_clock_ms = None
    run.stopped_ms = None
    run.next_order_ms = 0
    if previous_worker.awaits_start(run.key):
        run.starts_over_ms = None
    if _run_ends.may_still_start(run):
        # The next process has to refuse the start before the run is over.
        run.earlier_lease_end_ms = max(
            run.earlier_lease_end_ms or 0,
            previous_worker.lease_clock.latest_lease_end_ms(max_uptime_ms),
        )
        run.start_uncertain = True
        run.start_sent_ms = None
        run.start_lease_end_ms = None
        run.started_ms = None
        run.phase = _Phase.STOPPING
    run.pending_order = None


def prepare_adopted_run(worker, run):
    """Prepares a run that an earlier leader placed on an earlier process.

    That leader may have sent the start when the present process had followed,
    which may carry it out late.

    Args:
        worker: ``Worker`` of the present process.
        run: the ``Run``.
    """
    # Had the run shown to be harmless, it would be recorded as lost already.
    run.earlier_start_outcome = commands.StartOutcome.MAY_HAVE_CRASHED
    max_uptime_ms = worker.record.born_ms - run.live_run.born_ms
    if max_uptime_ms < 0:
        # The time of day was set back, so the two starts do not tell.
        max_uptime_ms = MAX_UPTIME_MS
    run.earlier_lease_end_ms = worker.lease_clock.latest_lease_end_ms(
        max_uptime_ms
    )


def _is_of_current_process(withdrawal, worker):
    if withdrawal.born_ms:
        return withdrawal.born_ms == worker.record.born_ms
    return worker.state == _fleet.DRAINING


def may_end_process(worker, now_ms):
    """True if a withdrawn worker is to be told that it may end its process.

    That is once it has listed the ends of all its runs and was told that these
    ends are agreed, or takes no orders any more, but after
    ``MAX_WITHDRAWAL_WAIT_MS`` in any case.

    Args:
        worker: the ``Worker``, None if it is not known.
        now_ms: monotonic time.
    """
    if worker is None or worker.withdrawn_ms is None:
        return True
    if worker.unanswered_orders:
        return True
    if now_ms - worker.withdrawn_ms >= MAX_WITHDRAWAL_WAIT_MS:
        return True
    has_run = any(run.is_dispatched for run in worker.runs.values())
    return not has_run and (
        worker.acknowledged_end_number >= worker.collected_end_number
    )
