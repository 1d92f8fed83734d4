"""Decision part of the stand-in worker, without I/O.

The stand-in process and the randomised tests share it: what the tests prove
of the protocol holds for the process.
"""

import collections

from fuchsiatrestle import messages

__all__ = (
    'AgentOptions',
    'LedgerLine',
    'WorkerAgent',
)

MAX_SENT_REPORTS = 64
# An answer takes one round to a quorum; after this long it was likely lost.
RESEND_MS = 300
MAX_REMEMBERED_JOBS = 4096

FAIL_ALL = 'fail'
SLOW = 'slow'
NOISY = 'noisy'
SLOW_FACTOR = 4
NOISE_MS = 30.0
# Usage must not follow the reservation, or the scheduler learns from itself.
MAX_USED_MILLI = 1000


class AgentOptions:
    """What a stand-in worker is.

    Attributes:
        name: name of the worker.
        data_centre: where it stands.
        rack: rack within the data centre.
        capacity: ``messages.Resources``.
        mode: empty, ``fail`` (every attempt fails), ``slow`` (takes four
            times as long) or ``noisy`` (its service's tail rises with batch).
        run_ms: run time of a job whose command names none.
        checkpoint_ms: time between two checkpoints.
        service: name of the latency-critical service it carries, or empty.
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
    """One run of one attempt, as the worker itself saw it.

    Attributes:
        resumed_from: (attempt, checkpoint) it resumed from.
        end_ms: None while it runs.
        why: how it ended.
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
    """An attempt that the worker runs, or has ended and still reports."""

    __slots__ = (
        'attempt',
        'checkpoint',
        'checkpoint_at_ms',
        'detail',
        'fails',
        'finish_ms',
        'lease_until_ms',
        'line',
        'size',
        'start_ms',
        'state',
        'throttle_milli',
        'throttle_until_ms',
    )

    def __init__(self, order, lease_until_ms, now_ms, run_ms, line):
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
        self.line = line
        self.detail = ''
        self.fails = order.command.startswith(FAIL_ALL)


class WorkerAgent:
    """One incarnation of a stand-in worker.

    Args:
        options: the ``AgentOptions``.
        incarnation: higher than that of every earlier process.
        ledger: list of ``LedgerLine`` that this agent appends to.
    """

    def __init__(self, options, incarnation, ledger):
        self.options = options
        self.incarnation = incarnation
        self.ledger = ledger
        self.leaving = False
        self._seq = 0
        self._answered = 0
        self._sent_ms = collections.OrderedDict()
        self._runs = {}
        self._highest = collections.OrderedDict()
        self._changed = True
        self._handlers = {
            'start': self._start,
            'renew': self._renew,
            'throttle': self._throttle,
            'checkpoint': self._checkpoint,
            'stop': self._stop,
            'forget': self._forget,
        }

    @property
    def changed(self):
        """True if a report should go out at once."""
        return self._changed

    @property
    def kept(self):
        """Number of attempts it runs, or has ended and still reports."""
        return len(self._runs)

    def wants_report(self, now_ms):
        """True after a change, or if the last report got no answer."""
        if self._changed:
            return True
        sent_ms = self._sent_ms.get(self._seq)
        if sent_ms is None or self._answered >= self._seq:
            return False
        return now_ms - sent_ms >= RESEND_MS

    @property
    def running(self):
        """Identifiers of the jobs it runs."""
        return [
            job_id
            for job_id, run in self._runs.items()
            if run.state == 'running'
        ]

    # Time

    def tick(self, now_ms):
        """Ends attempts whose lease ran out or that finished."""
        for job_id, run in self._runs.items():
            if run.state != 'running':
                continue
            if now_ms >= run.lease_until_ms:
                self._end(run, 'stopped', now_ms, 'lease ran out')
            elif now_ms >= run.finish_ms:
                fails = run.fails or self.options.mode == FAIL_ALL
                self._end(run, 'failed' if fails else 'done', now_ms, '')
            elif now_ms - run.checkpoint_at_ms >= self.options.checkpoint_ms:
                self._write_checkpoint(run, now_ms)

    def crash(self, now_ms):
        """Ends every run, as when the VM dies."""
        for run in self._runs.values():
            if run.state == 'running':
                self._end(run, 'stopped', now_ms, 'crashed')

    # Reports

    def report(self, now_ms):
        """Returns the next ``messages.WorkerReport``."""
        self.tick(now_ms)
        self._seq += 1
        self._changed = False
        self._sent_ms[self._seq] = now_ms
        while len(self._sent_ms) > MAX_SENT_REPORTS:
            self._sent_ms.popitem(last=False)
        options = self.options
        return messages.WorkerReport(
            options.name,
            self.incarnation,
            self._seq,
            options.data_centre,
            options.rack,
            options.capacity,
            [
                self._report_run(job_id, run, now_ms)
                for job_id, run in self._runs.items()
            ],
            self._report_services(),
            self.leaving,
        )

    def _report_run(self, job_id, run, now_ms):
        used = self._used(run, now_ms)
        span_ms = max(1, run.finish_ms - run.start_ms)
        progress = min(1000, 1000 * (now_ms - run.start_ms) // span_ms)
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
    def _used(run, now_ms):
        if run.size is None:
            return messages.Resources(0, 0)
        cpu_milli = min(run.size.cpu_milli, MAX_USED_MILLI)
        if run.throttle_milli and now_ms < run.throttle_until_ms:
            cpu_milli = min(cpu_milli, run.throttle_milli)
        return messages.Resources(
            cpu_milli, run.size.memory_mib, run.size.accelerators
        )

    def _report_services(self):
        if not self.options.service:
            return []
        used = messages.Resources(
            self.options.capacity.cpu_milli // 4,
            self.options.capacity.memory_mib // 4,
        )
        p99_ms = 10.0
        if self.options.mode == NOISY:
            p99_ms += NOISE_MS * len(self.running)
        return [messages.ServiceLoad(self.options.service, used, p99_ms, 1000)]

    # Orders

    def take(self, answer, now_ms):
        """Carries out the orders that answer one report."""
        self.tick(now_ms)
        sent_ms = self._sent_ms.get(answer.seq)
        if (
            answer.incarnation != self.incarnation
            or sent_ms is None
            or answer.seq <= self._answered
        ):
            return
        self._answered = answer.seq
        stops = {
            order.job_id for order in answer.orders if order.kind == 'stop'
        }
        for order in answer.orders:
            self._handlers[order.kind](order, sent_ms, stops, now_ms)

    def _start(self, order, sent_ms, stops, now_ms):
        lease_until_ms = sent_ms + order.lease_ms
        if order.attempt <= self._highest.get(order.job_id, 0):
            return
        if now_ms >= lease_until_ms:
            return
        former = self._runs.get(order.job_id)
        if former is not None and former.state == 'running':
            self._end(former, 'stopped', now_ms, 'superseded')
        self._note_highest(order)
        line = LedgerLine(self.options.name, self.incarnation, order, now_ms)
        self.ledger.append(line)
        run_ms = _run_ms(order.command, self.options.run_ms)
        if self.options.mode == SLOW:
            run_ms *= SLOW_FACTOR
        self._runs[order.job_id] = _Run(
            order, lease_until_ms, now_ms, run_ms, line
        )
        self._changed = True

    def _renew(self, order, sent_ms, stops, now_ms):
        # Covers what the answered report gave as running; an attempt that
        # started later got its own lease with the start order.
        until_ms = sent_ms + order.lease_ms
        for job_id, run in self._runs.items():
            named = order.job_id in ('', job_id)
            if named and job_id not in stops and run.start_ms <= sent_ms:
                run.lease_until_ms = max(run.lease_until_ms, until_ms)

    def _throttle(self, order, sent_ms, stops, now_ms):
        run = self._current(order)
        if run is not None:
            run.throttle_milli = order.throttle_milli
            run.throttle_until_ms = sent_ms + order.lease_ms

    def _checkpoint(self, order, sent_ms, stops, now_ms):
        run = self._current(order)
        if run is not None and run.state == 'running':
            self._write_checkpoint(run, now_ms)
            self._changed = True

    def _stop(self, order, sent_ms, stops, now_ms):
        run = self._current(order)
        if run is not None:
            if run.state == 'running':
                self._end(run, 'stopped', now_ms, 'ordered')
            return
        if order.attempt <= self._highest.get(order.job_id, 0):
            return
        self._note_highest(order)
        run = _Run(order, now_ms, now_ms, 0, None)
        run.state = 'refused'
        run.detail = 'never started'
        self._runs[order.job_id] = run
        self._changed = True

    def _forget(self, order, sent_ms, stops, now_ms):
        run = self._current(order)
        if run is not None and run.state != 'running':
            del self._runs[order.job_id]

    # Helpers

    def _current(self, order):
        run = self._runs.get(order.job_id)
        if run is None or run.attempt != order.attempt:
            return None
        return run

    def _note_highest(self, order):
        self._highest[order.job_id] = order.attempt
        self._highest.move_to_end(order.job_id)
        while len(self._highest) > MAX_REMEMBERED_JOBS:
            self._highest.popitem(last=False)

    def _write_checkpoint(self, run, now_ms):
        run.checkpoint += 1
        run.checkpoint_at_ms = now_ms

    def _end(self, run, state, now_ms, detail):
        run.state = state
        run.detail = detail
        run.line.end_ms = now_ms
        run.line.why = detail or state
        self._changed = True


def _run_ms(command, default_ms):
    """Returns the run time that ``sleep 1500`` or ``fail 1500`` names."""
    words = command.split()
    if len(words) == 2 and words[1].isdigit():
        return int(words[1])
    return default_ms
