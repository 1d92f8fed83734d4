"""Workers and their runs, as the leader knows them."""

from fuchsiatrestle import logs
from fuchsiatrestle.state import workflows
from fuchsiatrestle.workflows import _capacity
from fuchsiatrestle.workflows import _clock
from fuchsiatrestle.workflows import _events
from fuchsiatrestle.workflows import _runs

__all__ = (
    'Fleet',
    'Worker',
    'has_missed_announcements',
    'record_from_announcement',
)

READY = 'ready'
DRAINING = 'draining'
WITHDRAWN = 'withdrawn'  # its process will end
# Outcome of a poll that an earlier process of the worker answered, or one at
# an address that the worker has left.
FORMER_PROCESS = 'former_process'
# A worker gets no new tasks once its last announcement is older than this many
# announcement intervals.
MAX_MISSED_ANNOUNCEMENTS = 3
# Delays before an order is sent again.  After consecutive orders without a
# reply, the delay is the minimum, doubled once for each of these orders, but
# no longer than the maximum.
RETRY_MIN_MS = 100
RETRY_MAX_MS = 1000
# Time after which it no longer counts that starts have not reached a worker.
FAILED_START_MEMORY_MS = 30_000
# Time without new tasks for a worker that refused or did not answer an order.
PLACEMENT_PAUSE_MS = 1500

# A run is moved if it ends this many times sooner elsewhere.
MIN_GAIN_FACTOR = 2

LOG = logs.get_logger(__name__)


class Worker:
    """One process of a worker, from its start to its end.

    A poll is a ``PollWorker`` order.  Times are monotonic, in milliseconds.

    Attributes:
        record: its ``WorkerRecord``.
        state: ``ready``, ``draining`` or ``withdrawn``.
        last_announced_ms: time of its last announcement to this leader, None
            before the first.
        earlier_record: ``WorkerRecord`` from an announcement that names an
            earlier start and came after the last one of this process, or None.
        announcement_sequence: number of its newest announcement.
        cold_until_ms: time until which it is slow, as it announced last; 0
            before the first announcement.
        is_cold: True if it is to be used only as far as others have no room;
            it gets no serving task.
        withdrawn_ms: when it first announced that its process will end, or
            None.
        lease_clock: ``LeaseClock`` of the worker.
        life_signs: ``LifeSigns`` of the process.
        newest_clock_ms: highest reading of its clock, None before the first.
        is_lease_withheld: True if it gets no leases, as it was silent and it
            is not agreed yet that it is heard again.
        has_seen_token: True once it accepted a poll with the fencing token
            of this leader.
        awaited_orders: all orders to this process that wait for a reply.
        pending_poll: the newest poll while it waits for its reply, or None.
        unanswered_orders: number of consecutive orders without a reply.
        failed_start_count: number of consecutive runs whose start orders have
            not reached it.  It may answer polls, or announce itself, but get
            no starts; tasks are placed on workers with fewer of them first.
        failed_start_ms: time of the last one, 0 before the first.
        last_replied_ms: time of its last reply to this leader, None before
            the first.
        paused_until_ms: time before which it gets no new tasks.
        next_poll_ms: earliest time of the next poll.
        poll_sent_ms: when the newest poll was sent.
        poll_outcome: ``Verdict`` of its newest reply to a poll, or
            ``FORMER_PROCESS``; empty before the first.
        listed_ms: when it listed its runs last, None before the first time.
        collected_end_number: number of the newest end of a run that was
            collected from it, to be proposed.
        acknowledged_end_number: number of the newest end of a run that it was
            told to forget.
        runs: ``Run`` by task id and run number.
        capacity: ``Capacity`` that the runs reserve.
        pace_control: ``PaceControl`` of its best-effort tasks, None before
            the first poll.
        max_run_count: number of runs from which on it gets no new task, None
            for no limit.
    """

    __slots__ = (
        'acknowledged_end_number',
        'capacity',
        'cold_until_ms',
        'collected_end_number',
        'earlier_record',
        'failed_start_count',
        'failed_start_ms',
        'has_seen_token',
        'is_cold',
        'is_lease_withheld',
        'last_announced_ms',
        'last_replied_ms',
        'lease_clock',
        'life_signs',
        'listed_ms',
        'max_run_count',
        'newest_clock_ms',
        'next_poll_ms',
        'pace_control',
        'paused_until_ms',
        'pending_poll',
        'poll_outcome',
        'poll_sent_ms',
        'record',
        'runs',
        'announcement_sequence',
        'awaited_orders',
        'state',
        'unanswered_orders',
        'withdrawn_ms',
    )

    def __init__(self, record, lease_clock):
        self.record = record
        self.state = READY
        self.last_announced_ms = None
        self.earlier_record = None
        self.announcement_sequence = -1
        self.cold_until_ms = 0
        self.is_cold = False
        self.withdrawn_ms = None
        self.lease_clock = lease_clock
        self.life_signs = _clock.LifeSigns()
        self.newest_clock_ms = None
        self.is_lease_withheld = False
        self.has_seen_token = False
        self.awaited_orders = []
        self.pending_poll = None
        self.unanswered_orders = 0
        self.failed_start_count = 0
        self.failed_start_ms = 0
        self.last_replied_ms = None
        self.paused_until_ms = 0
        self.next_poll_ms = 0
        self.poll_sent_ms = 0
        self.poll_outcome = ''
        self.listed_ms = None
        self.collected_end_number = record.ends_noted
        self.acknowledged_end_number = record.ends_noted
        self.runs = {}
        self.capacity = _capacity.Capacity(record)
        self.pace_control = None
        self.max_run_count = None

    @property
    def name(self):
        """Id of the worker."""
        return self.record.worker

    def is_of_later_process(self, born_ms):
        """True if a start time is later than those of all known processes."""
        return born_ms > max(self.record.born_ms, self.record.ended_born_ms)

    # Runs

    def add_run(self, run):
        """Adds a run and reserves its capacity."""
        self.runs[run.key] = run
        self.capacity.reserve(run)

    def remove_run(self, key):
        """Removes a run and frees its capacity.

        Args:
            key: task id and run number.

        Returns:
            The ``Run``, or None if there is none.
        """
        run = self.runs.pop(key, None)
        if run is not None:
            self.capacity.release(run)
        return run

    def lift_pace_limit(self, run):
        """Counts a run with a limited pace as any other best-effort run."""
        self.capacity.release(run)
        run.is_pace_limited = False
        self.capacity.reserve(run)

    def update_cpu_sharing(self, now_ms):
        """Gives runs that share processor time their own, the oldest first.

        One of them at a time claims it, so that other runs keep most of it.

        Args:
            now_ms: monotonic time.
        """
        sharing_runs = [run for run in self.runs.values() if run.shares_cpu]
        for run in sharing_runs:
            self.capacity.release(run)
            if self.capacity.unused_cpu >= run.step.cpu:
                run.end_cpu_sharing()
            elif not self._may_claim_cpu(run):
                run.claims_cpu = False
            self.capacity.reserve(run)
        if any(run.claims_cpu for run in sharing_runs):
            return
        for run in sharing_runs:
            if (
                run.shares_cpu
                and run.is_claim_due(now_ms)
                and self._may_claim_cpu(run)
            ):
                self.capacity.release(run)
                run.claims_cpu = True
                self.capacity.reserve(run)
                return

    def _may_claim_cpu(self, run):
        """True if enough processor time may get free for a run."""
        return (
            run.phase == _runs.Phase.RUNNING
            and run.step.cpu <= self.capacity.best_effort_limit
        )

    def adopt_cpu_sharing(self):
        """Has the newest runs share processor time if there is not enough.

        An earlier leader placed them so.
        """
        newest_runs = sorted(
            (run for run in self.runs.values() if run.is_best_effort),
            key=lambda run: run.live_run.placed_ms,
            reverse=True,
        )
        for run in newest_runs:
            if self.capacity.unused_cpu >= 0:
                return
            if run.takes_cpu:
                self.capacity.release(run)
                run.share_cpu()
                self.capacity.reserve(run)

    def update_record(self, record):
        """Replaces the record by one that the same process has announced."""
        self.record = record
        self.capacity = _capacity.Capacity(record)
        for run in self.runs.values():
            self.capacity.reserve(run)

    # Orders

    @property
    def awaited_run_order_count(self):
        """Number of the orders about runs that wait for a reply."""
        return sum(
            not isinstance(order, _events.PollWorker)
            for order in self.awaited_orders
        )

    def end_wait(self, order):
        """Ends the wait for the reply to an order.

        Returns:
            False if the order was not sent to this process of the worker.
        """
        awaited_count = len(self.awaited_orders)
        self.awaited_orders = [
            awaited_order
            for awaited_order in self.awaited_orders
            if awaited_order is not order
        ]
        return len(self.awaited_orders) < awaited_count

    def awaits_start(self, key):
        """True if a start order for a run waits for its reply.

        Args:
            key: task id and run number.
        """
        return any(
            isinstance(order, _events.StartRun)
            and (order.task, order.run) == key
            for order in self.awaited_orders
        )

    # Availability for placements

    def accepts_placements(self, now_ms, announce_ms):
        """True if new tasks may be placed on the worker.

        Args:
            now_ms: monotonic time.
            announce_ms: interval of the announcements.
        """
        if self.state != READY or self.last_announced_ms is None:
            return False
        if not self.lease_clock.is_clock_known:
            return False
        if now_ms < self.paused_until_ms or self.is_unresponsive:
            return False
        if self.is_lease_withheld:
            return False
        return not has_missed_announcements(
            self.last_announced_ms, now_ms, announce_ms
        )

    @property
    def serving_images(self):
        """Set of the images of its serving tasks."""
        return self.capacity.serving_images()

    @property
    def best_effort_images(self):
        """Set of the images of its best-effort tasks."""
        return {
            run.step.image for run in self.runs.values() if run.is_best_effort
        }

    @property
    def is_tail_calm(self):
        """True unless its serving tasks were disturbed when last measured."""
        return self.pace_control is None or self.pace_control.is_tail_calm

    @property
    def may_add_best_effort_run(self):
        """False while a new best-effort run would be slowed or halted."""
        return self.pace_control is None or self.pace_control.may_add_run

    def is_slow_run(self, run):
        """True if a run would end sooner if it began anew at its full pace.

        Args:
            run: a ``Run`` on the worker whose pace is limited.
        """
        if run.shares_cpu:
            pace_percent = _runs.SHARED_PACE_PERCENT
        elif self.pace_control is not None:
            pace_percent = self.pace_control.find_limit_percent(run.step.image)
        else:
            return False
        remaining_percent = 100 - run.progress_percent
        return remaining_percent > MIN_GAIN_FACTOR * pace_percent

    def record_failed_start(self, now_ms):
        """Counts a run whose start orders have not reached the worker."""
        self.failed_start_count += 1
        self.failed_start_ms = now_ms

    def forget_failed_starts(self, now_ms):
        """Forgets failed starts after a while, as the way may be mended."""
        if now_ms - self.failed_start_ms >= FAILED_START_MEMORY_MS:
            self.failed_start_count = 0

    def record_reply(self, now_ms):
        """Resets the count of orders without a reply."""
        self.unanswered_orders = 0
        self.last_replied_ms = now_ms

    @property
    def is_unresponsive(self):
        """True if it does not answer orders, or refused the newest poll.

        It gets no leases then, so that its runs are over at a known time.
        """
        return bool(self.unanswered_orders) or self.poll_outcome in (
            _events.Verdict.SILENT,
            _events.Verdict.UNHEALTHY,
            _events.Verdict.INVALID,
        )

    def record_clock(self, worker_clock_ms, now_ms):
        """Records a reading of the worker's clock that arrives now.

        Args:
            worker_clock_ms: the reading, None if there is none.
            now_ms: monotonic time.
        """
        self.lease_clock.record_reading(worker_clock_ms, now_ms)
        if worker_clock_ms is not None:
            self.newest_clock_ms = max(
                worker_clock_ms, self.newest_clock_ms or 0
            )

    def silent_ms(self, now_ms):
        """Returns the time since its last reply to this leader, or None."""
        if self.last_replied_ms is None:
            return None
        return now_ms - self.last_replied_ms

    def record_timeout(self, now_ms):
        """Counts an order without a reply and pauses placement.

        Returns:
            Milliseconds to wait before the order is sent again.
        """
        self.unanswered_orders += 1
        if self.unanswered_orders == 1:
            LOG.warning(
                'worker_silent',
                extra={'worker': self.name, 'runs': len(self.runs)},
            )
        retry_delay_ms = min(
            RETRY_MIN_MS * 2**self.unanswered_orders, RETRY_MAX_MS
        )
        self.paused_until_ms = max(
            self.paused_until_ms, now_ms + PLACEMENT_PAUSE_MS
        )
        return retry_delay_ms

    def pause_placement(self, now_ms, duration_ms=PLACEMENT_PAUSE_MS):
        """Gives the worker no new tasks for a while.

        Args:
            now_ms: monotonic time.
            duration_ms: length of the pause.
        """
        self.paused_until_ms = max(self.paused_until_ms, now_ms + duration_ms)


class Fleet:
    """All workers by id.

    Args:
        timing: ``Timing``.
    """

    def __init__(self, timing):
        self._timing = timing
        self._workers = {}

    def __iter__(self):
        return iter(list(self._workers.values()))

    def get(self, name):
        """Returns the newest process of a worker, or None.

        Args:
            name: id of the worker.
        """
        return self._workers.get(name)

    def adopt_worker(self, record, now_ms, silent_since_ms=None):
        """Adds and returns a worker that an earlier leader registered.

        That leader may have given it a lease that still runs.

        Args:
            record: its ``WorkerRecord``.
            now_ms: monotonic time.
            silent_since_ms: see ``SilenceTimes.find_ms``.
        """
        last_lease_ms = now_ms if silent_since_ms is None else silent_since_ms
        lease_clock = self._make_lease_clock(last_lease_ms, now_ms)
        worker = Worker(record, lease_clock)
        self._workers[record.worker] = worker
        return worker

    def add_worker(self, record, now_ms):
        """Adds and returns a new process of a worker, without runs."""
        worker = Worker(record, self._make_lease_clock(None, now_ms))
        previous_worker = self._workers.get(record.worker)
        if previous_worker is not None:
            worker.is_lease_withheld = previous_worker.is_lease_withheld
            worker.lease_clock.record_earlier_process(
                self._timing.longest_lease_ms, now_ms
            )
        self._workers[record.worker] = worker
        return worker

    def count_present_workers(self, now_ms):
        """Returns how many workers have announced themselves lately.

        Args:
            now_ms: monotonic time.
        """
        announce_ms = self._timing.announce_ms
        return sum(
            worker.last_announced_ms is not None
            and not has_missed_announcements(
                worker.last_announced_ms, now_ms, announce_ms
            )
            for worker in self._workers.values()
        )

    def usable_workers(self, pool, now_ms):
        """Returns the workers of a service that accept placements.

        Args:
            pool: name of the service.
            now_ms: monotonic time.
        """
        announce_ms = self._timing.announce_ms
        return [
            worker
            for worker in self._workers.values()
            if worker.record.pool == pool
            and worker.accepts_placements(now_ms, announce_ms)
        ]

    def _make_lease_clock(self, sole_leader_since_ms, alive_by_ms):
        return _clock.LeaseClock(
            self._timing.lease_ms, sole_leader_since_ms, alive_by_ms
        )


def has_missed_announcements(since_ms, now_ms, announce_ms):
    """True if the announced capacity of a worker may be out of date.

    Args:
        since_ms: monotonic time of the worker's last announcement.
        now_ms: monotonic time.
        announce_ms: interval of the announcements.
    """
    return now_ms - since_ms > MAX_MISSED_ANNOUNCEMENTS * announce_ms


def record_from_announcement(announcement):
    """Returns a new ``WorkerRecord`` with the values of an announcement."""
    return workflows.WorkerRecord(
        announcement.worker,
        announcement.born_ms,
        announcement.address,
        announcement.pool,
        announcement.data_centre,
        announcement.cpu,
        announcement.memory_mb,
        announcement.accelerators,
        announcement.labels,
    )
