"""Protocol logic of the stand-in worker, without I/O.

The stand-in process and the randomised tests share it, so that what the tests
show about the protocol holds for the process too.
"""

import collections

from fuchsiatrestle import messages

__all__ = (
    'AgentOptions',
    'LedgerLine',
    'WorkerAgent',
)

MAX_SENT_REPORTS = 64
# An answer takes one round trip to a quorum; after this time without one, the
# report or its answer is assumed to be lost.
RESEND_DELAY_MS = 300
MAX_REMEMBERED_JOBS = 4096

# ``FAIL`` is also the first word of a command whose attempts fail.
FAIL = 'fail'
SLOW = 'slow'
NOISY = 'noisy'
SLOW_FACTOR = 4
NOISE_MS_PER_ATTEMPT = 30.0
# Reported usage is capped: if it always equalled the reservation, the
# scheduler would learn nothing but its own reservations.
MAX_USED_CPU_MILLI = 1000


class AgentOptions:
    """Identity, capacity and behaviour of a stand-in worker.

    Attributes:
        name: name of the worker.
        data_centre: name of its data centre.
        rack: name of its rack within the data centre.
        capacity: its ``messages.Resources``.
        mode: ``fail`` (every attempt fails), ``slow`` (an attempt takes
            ``SLOW_FACTOR`` times as long), ``noisy`` (the p99 latency of its
            service rises with the number of running attempts) or empty for
            none of these.
        run_ms: run time of a job whose command names none, in milliseconds.
        checkpoint_ms: time between two checkpoints, in milliseconds.
        service: name of the latency-critical service on it, or empty.
    """

    __slots__ = (
        'capacity',
        'checkpoint_ms',
        'data_centre',
        'mode',
        'name',
        'rack',
        'run_ms',
        'service',
    )

    def __init__(
        self,
        name,
        data_centre,
        rack,
        capacity,
        mode='',
        run_ms=2000,
        checkpoint_ms=1000,
        service='',
    ):
        self.name = name
        self.data_centre = data_centre
        self.rack = rack
        self.capacity = capacity
        self.mode = mode
        self.run_ms = run_ms
        self.checkpoint_ms = checkpoint_ms
        self.service = service


class LedgerLine:
    """Line of the in-memory ledger: an attempt that the worker has started.

    Attributes:
        worker: name of the worker.
        incarnation: incarnation of the worker.
        job_id: identifier of the job.
        attempt: number of the attempt.
        size: ``messages.Resources`` that the attempt reserves.
        resumed_from: the attempt and the number of its checkpoint that this
            attempt resumes from, a tuple.
        start_ms: when it started, by the worker's clock, in milliseconds.
        end_ms: when it ended, by the worker's clock, in milliseconds, None
            while it runs.
        why: reason of its end, empty while it runs.
    """

    __slots__ = (
        'attempt',
        'end_ms',
        'incarnation',
        'job_id',
        'resumed_from',
        'size',
        'start_ms',
        'why',
        'worker',
    )

    def __init__(self, worker, incarnation, order, start_ms):
        self.worker = worker
        self.incarnation = incarnation
        self.job_id = order.job_id
        self.attempt = order.attempt
        self.size = order.size
        self.resumed_from = (order.resume_attempt, order.resume_from)
        self.start_ms = start_ms
        self.end_ms = None
        self.why = ''

    def __repr__(self):
        return (
            f'LedgerLine({self.worker}/{self.incarnation} {self.job_id}'
            f'#{self.attempt} {self.start_ms}-{self.end_ms} {self.why})'
        )


class _Run:
    """An attempt that the worker lists in its reports.

    It runs, has ended or was refused.  It is listed until the leader orders
    the worker to forget it.

    Attributes:
        attempt: number of the attempt.
        state: ``running``, ``done``, ``failed``, ``stopped`` or ``refused``.
        size: ``messages.Resources`` that it reserves, None if its order names
            none.
        lease_until_ms: when its lease ends and it has to be stopped.
        start_ms: when it started.
        finish_ms: when its work is done.
        checkpoint: number of the last checkpoint, 0 for none.
        checkpoint_at_ms: when that checkpoint was written, or the start.
        throttle_milli: processor limit in thousandths of a core, 0 for none.
        throttle_until_ms: when the limit ends.
        ledger_line: its ``LedgerLine``, None if it was refused.
        detail: reason of its end in the report, or empty.
        will_fail: True if the command makes it fail.
    """

    __slots__ = (
        'attempt',
        'checkpoint',
        'checkpoint_at_ms',
        'detail',
        'finish_ms',
        'lease_until_ms',
        'ledger_line',
        'size',
        'start_ms',
        'state',
        'throttle_milli',
        'throttle_until_ms',
        'will_fail',
    )

    def __init__(self, order, lease_until_ms, now_ms, run_ms, ledger_line):
        self.attempt = order.attempt
        self.state = 'running'
        self.size = order.size
        self.lease_until_ms = lease_until_ms
        self.start_ms = now_ms
        self.finish_ms = now_ms + run_ms
        self.checkpoint = order.resume_from
        self.checkpoint_at_ms = now_ms
        self.throttle_milli = 0
        self.throttle_until_ms = 0
        self.ledger_line = ledger_line
        self.detail = ''
        self.will_fail = order.command.startswith(FAIL)


class WorkerAgent:
    """One incarnation of a stand-in worker.

    Times are milliseconds of the worker's own clock.

    Args:
        options: the ``AgentOptions``.
        incarnation: number higher than that of every earlier process of this
            worker.
        ledger: list to which the agent appends a ``LedgerLine`` for each
            attempt that it starts.

    Attributes:
        options: the ``AgentOptions`` given.
        incarnation: the number given.
        ledger: the list given.
        leaving: True if reports say that the worker takes no new work.
    """

    def __init__(self, options, incarnation, ledger):
        self.options = options
        self.incarnation = incarnation
        self.ledger = ledger
        self.leaving = False
        self._last_seq = 0
        self._last_answered_seq = 0
        self._sent_ms_by_seq = collections.OrderedDict()
        self._runs = {}
        self._highest_attempts = collections.OrderedDict()
        self._has_unreported_change = True
        self._order_handlers = {
            'start': self._start_attempt,
            'renew': self._renew_leases,
            'throttle': self._throttle_attempt,
            'checkpoint': self._force_checkpoint,
            'stop': self._stop_attempt,
            'forget': self._forget_attempt,
        }

    @property
    def has_unreported_change(self):
        """True if the next report will say something new.

        That is after a change, or if no report was made yet.
        """
        return self._has_unreported_change

    @property
    def reported_attempt_count(self):
        """Number of attempts that the next report will list."""
        return len(self._runs)

    def is_report_due(self, now_ms):
        """Returns True if a report should be sent at once.

        That is after a change, or if the last report has had no answer for
        ``RESEND_DELAY_MS``.
        """
        if self._has_unreported_change:
            return True
        sent_ms = self._sent_ms_by_seq.get(self._last_seq)
        if sent_ms is None or self._last_answered_seq >= self._last_seq:
            return False
        return now_ms - sent_ms >= RESEND_DELAY_MS

    @property
    def running_job_ids(self):
        """Identifiers of the jobs with a running attempt, a list."""
        return [
            job_id
            for job_id, run in self._runs.items()
            if run.state == 'running'
        ]

    # Time

    def tick(self, now_ms):
        """Ends attempts whose work is done or whose lease has ended.

        Also writes the checkpoints that are due by ``now_ms``.
        """
        for job_id, run in self._runs.items():
            if run.state != 'running':
                continue
            if now_ms >= run.lease_until_ms:
                self._end_run(run, 'stopped', now_ms, 'lease ran out')
            elif now_ms >= run.finish_ms:
                will_fail = run.will_fail or self.options.mode == FAIL
                self._end_run(
                    run, 'failed' if will_fail else 'done', now_ms, ''
                )
            elif now_ms - run.checkpoint_at_ms >= self.options.checkpoint_ms:
                self._write_checkpoint(run, now_ms)

    def crash(self, now_ms):
        """Ends every running attempt, as when the VM dies."""
        for run in self._runs.values():
            if run.state == 'running':
                self._end_run(run, 'stopped', now_ms, 'crashed')

    # Reports

    def make_report(self, now_ms):
        """Returns a new ``messages.WorkerReport`` with the next number."""
        self.tick(now_ms)
        self._last_seq += 1
        self._has_unreported_change = False
        self._sent_ms_by_seq[self._last_seq] = now_ms
        while len(self._sent_ms_by_seq) > MAX_SENT_REPORTS:
            self._sent_ms_by_seq.popitem(last=False)
        options = self.options
        return messages.WorkerReport(
            options.name,
            self.incarnation,
            self._last_seq,
            options.data_centre,
            options.rack,
            options.capacity,
            [
                self._make_attempt_report(job_id, run, now_ms)
                for job_id, run in self._runs.items()
            ],
            self._make_service_loads(),
            self.leaving,
        )

    def _make_attempt_report(self, job_id, run, now_ms):
        used = self._estimate_usage(run, now_ms)
        duration_ms = max(1, run.finish_ms - run.start_ms)
        progress = min(1000, 1000 * (now_ms - run.start_ms) // duration_ms)
        return messages.AttemptReport(
            job_id,
            run.attempt,
            run.state,
            used,
            0,
            run.checkpoint,
            progress,
            run.detail,
        )

    @staticmethod
    def _estimate_usage(run, now_ms):
        if run.size is None:
            return messages.Resources(0, 0)
        cpu_milli = min(run.size.cpu_milli, MAX_USED_CPU_MILLI)
        if run.throttle_milli and now_ms < run.throttle_until_ms:
            cpu_milli = min(cpu_milli, run.throttle_milli)
        return messages.Resources(
            cpu_milli, run.size.memory_mib, run.size.accelerators
        )

    def _make_service_loads(self):
        if not self.options.service:
            return []
        used = messages.Resources(
            self.options.capacity.cpu_milli // 4,
            self.options.capacity.memory_mib // 4,
        )
        p99_ms = 10.0
        if self.options.mode == NOISY:
            p99_ms += NOISE_MS_PER_ATTEMPT * len(self.running_job_ids)
        return [messages.ServiceLoad(self.options.service, used, p99_ms, 1000)]

    # Orders

    def carry_out_orders(self, answer, now_ms):
        """Carries out the orders in the answer to one report.

        Ignores the answer if it is for another incarnation, for a report that
        is not known (any more), or for one no newer than a report that was
        answered before.  Leases count from the time at which the report was
        sent.

        Args:
            answer: the ``messages.WorkerOrders``.
            now_ms: time on the worker's clock.
        """
        self.tick(now_ms)
        sent_ms = self._sent_ms_by_seq.get(answer.seq)
        if (
            answer.incarnation != self.incarnation
            or sent_ms is None
            or answer.seq <= self._last_answered_seq
        ):
            return
        self._last_answered_seq = answer.seq
        stopped_job_ids = {
            order.job_id for order in answer.orders if order.kind == 'stop'
        }
        for order in answer.orders:
            self._order_handlers[order.kind](
                order, sent_ms, stopped_job_ids, now_ms
            )

    def _start_attempt(self, order, sent_ms, stopped_job_ids, now_ms):
        """Starts an attempt, unless it is not new or its lease has ended.

        An older attempt of the same job that still runs is stopped.
        """
        lease_until_ms = sent_ms + order.lease_ms
        if order.attempt <= self._highest_attempts.get(order.job_id, 0):
            return
        if now_ms >= lease_until_ms:
            return
        previous_run = self._runs.get(order.job_id)
        if previous_run is not None and previous_run.state == 'running':
            self._end_run(previous_run, 'stopped', now_ms, 'superseded')
        self._record_highest_attempt(order)
        ledger_line = LedgerLine(
            self.options.name, self.incarnation, order, now_ms
        )
        self.ledger.append(ledger_line)
        run_ms = _parse_run_ms(order.command, self.options.run_ms)
        if self.options.mode == SLOW:
            run_ms *= SLOW_FACTOR
        self._runs[order.job_id] = _Run(
            order, lease_until_ms, now_ms, run_ms, ledger_line
        )
        self._has_unreported_change = True

    def _renew_leases(self, order, sent_ms, stopped_job_ids, now_ms):
        # Covers the attempts that the answered report listed; one that
        # started later has the lease of its start order.
        lease_until_ms = sent_ms + order.lease_ms
        for job_id, run in self._runs.items():
            is_covered = order.job_id in ('', job_id)
            if (
                is_covered
                and job_id not in stopped_job_ids
                and run.start_ms <= sent_ms
            ):
                run.lease_until_ms = max(run.lease_until_ms, lease_until_ms)

    def _throttle_attempt(self, order, sent_ms, stopped_job_ids, now_ms):
        run = self._find_run(order)
        if run is not None:
            run.throttle_milli = order.throttle_milli
            run.throttle_until_ms = sent_ms + order.lease_ms

    def _force_checkpoint(self, order, sent_ms, stopped_job_ids, now_ms):
        run = self._find_run(order)
        if run is not None and run.state == 'running':
            self._write_checkpoint(run, now_ms)
            self._has_unreported_change = True

    def _stop_attempt(self, order, sent_ms, stopped_job_ids, now_ms):
        """Stops an attempt.

        One that has not started is recorded and reported as refused, so that
        a start order that arrives later has no effect.
        """
        run = self._find_run(order)
        if run is not None:
            if run.state == 'running':
                self._end_run(run, 'stopped', now_ms, 'ordered')
            return
        if order.attempt <= self._highest_attempts.get(order.job_id, 0):
            return
        self._record_highest_attempt(order)
        run = _Run(order, now_ms, now_ms, 0, None)
        run.state = 'refused'
        run.detail = 'never started'
        self._runs[order.job_id] = run
        self._has_unreported_change = True

    def _forget_attempt(self, order, sent_ms, stopped_job_ids, now_ms):
        run = self._find_run(order)
        if run is not None and run.state != 'running':
            del self._runs[order.job_id]

    # Runs

    def _find_run(self, order):
        """Returns the ``_Run`` of the attempt that an order names, or None."""
        run = self._runs.get(order.job_id)
        if run is None or run.attempt != order.attempt:
            return None
        return run

    def _record_highest_attempt(self, order):
        self._highest_attempts[order.job_id] = order.attempt
        self._highest_attempts.move_to_end(order.job_id)
        while len(self._highest_attempts) > MAX_REMEMBERED_JOBS:
            self._highest_attempts.popitem(last=False)

    def _write_checkpoint(self, run, now_ms):
        run.checkpoint += 1
        run.checkpoint_at_ms = now_ms

    def _end_run(self, run, state, now_ms, detail):
        run.state = state
        run.detail = detail
        run.ledger_line.end_ms = now_ms
        run.ledger_line.why = detail or state
        self._has_unreported_change = True


def _parse_run_ms(command, default_ms):
    """Returns the run time of a command, in milliseconds.

    It is the second of two words if that is a number, as in ``sleep 1500``
    and ``fail 1500``; any other command runs for ``default_ms``.
    """
    words = command.split()
    if len(words) == 2 and words[1].isdigit():
        return int(words[1])
    return default_ms
