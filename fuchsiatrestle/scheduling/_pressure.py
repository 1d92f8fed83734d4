"""Answers measured pressure on a worker: throttle, then evict.

A worker with services is hot while a tail is far above its learned baseline
or the processors are full.  It takes two hot measurements in a row to act, one
action at a time with a pause in which late measurements can show its effect,
and a long calm before a throttle is lifted by one step.  Memory can not be
throttled, so memory pressure evicts at once.
"""

from fuchsiatrestle import messages

__all__ = ('PressureControl',)

HOT_CPU_SHARE = 0.97
CALM_CPU_SHARE = 0.9
HOT_MEMORY_SHARE = 0.95
CALM_MEMORY_SHARE = 0.9
HOT_STRIKES = 2
# Throttled as far as it goes, a worker evicts only above so many times hot.
SEVERE = 1.5
SETTLE_MS = 8_000
CALM_MS = 20_000
THROTTLE_FACTOR = 0.5
# Below this share of its usage an attempt is evicted, not throttled further.
LEAST_THROTTLE_SHARE = 0.25
LEAST_THROTTLE_MILLI = 100


class _Throttle:
    """A throttled attempt."""

    __slots__ = ('attempt', 'full_milli', 'job_id', 'milli')

    def __init__(self, job, full_milli):
        self.job_id = job.spec.job_id
        self.attempt = job.attempt
        self.full_milli = max(full_milli, LEAST_THROTTLE_MILLI)
        self.milli = self.full_milli

    @property
    def is_lowest(self):
        """True if the throttle can not go further down."""
        return self.milli <= self.full_milli * LEAST_THROTTLE_SHARE


class _Worker:
    """Pressure on one worker."""

    __slots__ = (
        'action_ms',
        'calm_since_ms',
        'measured_ms',
        'strikes',
        'throttles',
    )

    def __init__(self):
        self.strikes = 0
        self.calm_since_ms = None
        self.action_ms = 0
        self.measured_ms = {}
        self.throttles = {}


class PressureControl:
    """Throttles and evicts batch attempts on hot workers.

    Args:
        part: the jobs part, read only.
        usage: the ``UsageBook``.
        model: the ``InterferenceModel``.
        victims: the ``Victims``.
        evictions: the ``Evictions``.
        policy: the ``Policy``.
    """

    def __init__(self, part, usage, model, victims, evictions, policy):
        self._part = part
        self._usage = usage
        self._model = model
        self._victims = victims
        self._evictions = evictions
        self._policy = policy
        self._workers = {}

    def drop(self, worker):
        """Forgets a worker."""
        self._workers.pop(worker, None)

    def judge(self, report, now_ms):
        """Takes a report into account; returns throttle orders."""
        state = self._workers.get(report.worker)
        if state is None:
            state = self._workers[report.worker] = _Worker()
        fresh = self._fresh_loads(state, report, now_ms)
        tail = max((self._model.ratio(load) for load in fresh), default=None)
        cpu = self._unplanned_share(report, 'cpu_milli')
        memory = self._unplanned_share(report, 'memory_mib')
        if memory > HOT_MEMORY_SHARE:
            self._relieve_memory(report, now_ms)
        if cpu > HOT_CPU_SHARE or (tail or 0) > self._policy.hot_tail_ratio:
            severe = (tail or 0) > SEVERE * self._policy.hot_tail_ratio
            self._heat(state, report, severe, now_ms)
        elif (
            cpu < CALM_CPU_SHARE and (tail or 1) < self._policy.calm_tail_ratio
        ):
            self._cool(state, now_ms)
        elif tail is not None:
            state.strikes = 0
            state.calm_since_ms = None
        return self._orders(state)

    def _unplanned_share(self, report, dimension):
        """Returns the used share of a dimension, 0 if all is as reserved.

        Reservations that are kept may fill a worker; only usage above them,
        or services that grew into them, count as pressure.
        """
        worker = self._part.workers.get(report.worker)
        if worker is None or not report.services and dimension == 'cpu_milli':
            return 0.0
        reserved = getattr(worker, dimension)
        services = _sum_used(report.services, dimension)
        attempts = _sum_used(report.attempts, dimension)
        capacity = max(1, getattr(report.capacity, dimension))
        if attempts <= reserved and services + reserved <= capacity:
            return 0.0
        return (services + attempts) / capacity

    # Heat

    def _heat(self, state, report, severe, now_ms):
        state.calm_since_ms = None
        state.strikes += 1
        if state.strikes < HOT_STRIKES or now_ms < state.action_ms:
            return
        state.action_ms = now_ms + SETTLE_MS
        job = self._worst(state, report)
        if job is not None:
            self._throttle_more(state, job)
            return
        jobs = self._victims.cheapest(report.worker, now_ms)
        if severe and jobs:
            self._evictions.begin(jobs[0], now_ms, 'pressure on the worker')

    def _worst(self, state, report):
        """Returns the job that harms most and can be throttled further."""
        worst, most = None, 0.0
        for item in report.attempts:
            job = self._part.jobs.get(item.job_id)
            if item.state != 'running' or job is None or not job.is_live:
                continue
            throttle = state.throttles.get(item.job_id)
            if throttle is not None and throttle.is_lowest:
                continue
            harm = self._harm(job, item, report.services)
            if harm > most:
                worst, most = job, harm
        return worst

    def _harm(self, job, item, services):
        cores = item.used.cpu_milli / 1000
        over = max(0, item.used.cpu_milli - job.reserved.cpu_milli) / 1000
        effect = sum(
            self._model.per_core(load.service, job.spec.job_class)
            for load in services
        )
        return cores * effect + over

    def _throttle_more(self, state, job):
        job_id = job.spec.job_id
        throttle = state.throttles.get(job_id)
        if throttle is None or throttle.attempt != job.attempt:
            used = self._usage.get(job_id)
            full = used.used.cpu_milli if used else job.reserved.cpu_milli
            throttle = state.throttles[job_id] = _Throttle(job, full)
        throttle.milli = max(
            LEAST_THROTTLE_MILLI, int(throttle.milli * THROTTLE_FACTOR)
        )

    def _relieve_memory(self, report, now_ms):
        capacity = report.capacity.memory_mib
        spare = capacity * CALM_MEMORY_SHARE
        spare -= _sum_used(report.services, 'memory_mib')
        spare -= _sum_used(report.attempts, 'memory_mib')
        for job in self._victims.cheapest(report.worker, now_ms):
            if spare >= 0:
                return
            usage = self._usage.get(job.spec.job_id)
            spare += usage.used.memory_mib if usage is not None else 0
            self._evictions.begin(job, now_ms, 'memory of the worker is full')

    # Calm

    def _cool(self, state, now_ms):
        state.strikes = 0
        if state.calm_since_ms is None:
            state.calm_since_ms = now_ms
        if now_ms - state.calm_since_ms < CALM_MS or not state.throttles:
            return
        state.calm_since_ms = now_ms
        job_id = next(reversed(state.throttles))
        throttle = state.throttles[job_id]
        throttle.milli = int(throttle.milli / THROTTLE_FACTOR)
        if throttle.milli >= throttle.full_milli:
            del state.throttles[job_id]

    # Orders

    def _orders(self, state):
        orders = []
        for job_id, throttle in list(state.throttles.items()):
            job = self._part.jobs.get(job_id)
            if job is None or not job.is_live:
                del state.throttles[job_id]
            elif job.attempt != throttle.attempt:
                del state.throttles[job_id]
            else:
                orders.append(self._order(throttle))
        return orders

    def _order(self, throttle):
        # The throttle ends with this lease unless it is repeated, so that a
        # new leader does not leave it behind.
        return messages.AttemptOrder(
            'throttle',
            throttle.job_id,
            throttle.attempt,
            self._policy.lease_ms,
            throttle_milli=throttle.milli,
        )

    @staticmethod
    def _fresh_loads(state, report, now_ms):
        fresh = []
        for load in report.services:
            measured_ms = now_ms - load.age_ms
            if measured_ms > state.measured_ms.get(load.service, -1):
                state.measured_ms[load.service] = measured_ms
                fresh.append(load)
        return fresh


def _sum_used(items, dimension):
    return sum(
        getattr(item.used, dimension)
        for item in items
        if getattr(item, 'state', 'running') == 'running'
    )
