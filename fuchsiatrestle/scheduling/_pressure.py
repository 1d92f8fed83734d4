"""Throttles, then evicts, batch attempts on workers under pressure.

A worker that runs latency-critical services is hot while the tail latency of
a service is above ``Policy.hot_tail_ratio`` times its learned baseline, or the
used share of the processors is above ``HOT_CPU_SHARE``.  The controller acts
after two hot reports without a calm one in between, takes one action at a time
and then pauses for ``ACTION_PAUSE_MS``, so that delayed measurements can show
the effect.  It relaxes a throttle by one step only after the worker was calm
for ``CALM_BEFORE_RELAX_MS``.  Memory can't be throttled, so one report with a
used share of memory above ``HOT_MEMORY_SHARE`` is enough to evict attempts.
"""

from fuchsiatrestle import messages

__all__ = ('PressureController',)

# A worker is hot if the used share of its processors is above HOT_CPU_SHARE.
# It can be calm only if that share is below CALM_CPU_SHARE.
HOT_CPU_SHARE = 0.97
CALM_CPU_SHARE = 0.9
# If the used share of memory is above HOT_MEMORY_SHARE, attempts are evicted
# to bring the share down to CALM_MEMORY_SHARE.
HOT_MEMORY_SHARE = 0.95
CALM_MEMORY_SHARE = 0.9
# One hot report may be noise.
HOT_REPORTS_TO_ACT = 2
# Once no attempt can be throttled further, one is evicted only if the ratio of
# a tail latency to its baseline exceeds this multiple of
# Policy.hot_tail_ratio.
SEVERE_TAIL_FACTOR = 1.5
# Delayed measurements show the effect of an action within this time.
ACTION_PAUSE_MS = 8_000
# A throttle is relaxed by one step after each calm period of this length.
CALM_BEFORE_RELAX_MS = 20_000
# A step multiplies the processor limit of an attempt by this to tighten its
# throttle, or divides the limit by this to relax the throttle.
THROTTLE_STEP_FACTOR = 0.5
# An attempt at or below this share of its unthrottled usage isn't throttled
# further, and no limit is lower than MIN_THROTTLE_CPU_MILLI.
MIN_THROTTLE_SHARE = 0.25
MIN_THROTTLE_CPU_MILLI = 100


class _Throttle:
    """Processor limit of one throttled attempt.

    Attributes:
        job_id: the job.
        attempt: attempt number.
        unthrottled_milli: processor time used before the throttle, in
            thousandths of a core; the throttle ends when its limit
            has risen to this again.
        limit_milli: current limit, in thousandths of a core.
    """

    __slots__ = ('attempt', 'job_id', 'limit_milli', 'unthrottled_milli')

    def __init__(self, job, unthrottled_milli):
        self.job_id = job.spec.job_id
        self.attempt = job.attempt
        self.unthrottled_milli = max(unthrottled_milli, MIN_THROTTLE_CPU_MILLI)
        self.limit_milli = self.unthrottled_milli

    @property
    def is_at_minimum(self):
        """True if the limit must not be lowered further."""
        return self.limit_milli <= self.unthrottled_milli * MIN_THROTTLE_SHARE


class _WorkerPressure:
    """Pressure seen on one worker, and its throttles.

    Attributes:
        hot_report_count: number of hot reports since the last report that was
            calm, or that had a new latency measurement and was not hot.
        calm_since_ms: start of the calm period, or time of the last relaxed
            throttle in it; None if not calm.
        next_action_ms: before this time no throttle is tightened and no
            attempt evicted, unless memory runs out.
        measured_ms_by_service: time of the newest measurement, by service.
        throttles: the ``_Throttle`` by job id, oldest first.
    """

    __slots__ = (
        'calm_since_ms',
        'hot_report_count',
        'measured_ms_by_service',
        'next_action_ms',
        'throttles',
    )

    def __init__(self):
        self.hot_report_count = 0
        self.calm_since_ms = None
        self.next_action_ms = 0
        self.measured_ms_by_service = {}
        self.throttles = {}


class PressureController:
    """Decides on throttles and evictions for workers under pressure.

    Args:
        jobs_part: the ``JobsPart`` of the replicated state, read only.
        usage_tracker: the ``UsageTracker``.
        interference_model: the ``InterferenceModel``.
        victim_selector: the ``VictimSelector``.
        evictions: the ``Evictions``.
        policy: the ``Policy``.
    """

    def __init__(
        self,
        jobs_part,
        usage_tracker,
        interference_model,
        victim_selector,
        evictions,
        policy,
    ):
        self._jobs_part = jobs_part
        self._usage_tracker = usage_tracker
        self._interference_model = interference_model
        self._victim_selector = victim_selector
        self._evictions = evictions
        self._policy = policy
        self._pressure_by_worker = {}

    def drop_worker(self, worker_name):
        """Discards the state of a worker that left the cell."""
        self._pressure_by_worker.pop(worker_name, None)

    def handle_report(self, report, now_ms):
        """Updates the worker's pressure from its report.

        Evictions are begun as a side effect.

        Args:
            report: a ``messages.WorkerReport``.
            now_ms: monotonic time in milliseconds.

        Returns:
            One ``throttle`` order for each throttled attempt of the worker.
        """
        pressure = self._pressure_by_worker.get(report.worker)
        if pressure is None:
            pressure = self._pressure_by_worker[report.worker] = (
                _WorkerPressure()
            )
        new_loads = self._select_new_loads(pressure, report, now_ms)
        tail_ratio = max(
            (
                self._interference_model.measured_tail_ratio(load)
                for load in new_loads
            ),
            default=None,
        )
        cpu_share = self._pressure_share(report, 'cpu_milli')
        memory_share = self._pressure_share(report, 'memory_mib')
        if memory_share > HOT_MEMORY_SHARE:
            self._evict_for_memory(report, now_ms)
        if (
            cpu_share > HOT_CPU_SHARE
            or (tail_ratio or 0) > self._policy.hot_tail_ratio
        ):
            is_severe = (
                tail_ratio or 0
            ) > SEVERE_TAIL_FACTOR * self._policy.hot_tail_ratio
            self._handle_hot_report(pressure, report, is_severe, now_ms)
        elif (
            cpu_share < CALM_CPU_SHARE
            and (tail_ratio or 1) < self._policy.calm_tail_ratio
        ):
            self._handle_calm_report(pressure, now_ms)
        elif tail_ratio is not None:
            pressure.hot_report_count = 0
            pressure.calm_since_ms = None
        return self._make_throttle_orders(pressure)

    def _pressure_share(self, report, dimension):
        """Returns the used share of a worker's capacity in one dimension.

        Attempts that stay within their reservations may fill a worker.  The
        share is therefore 0 unless the attempts exceed the reservations, or
        services and reservations together exceed the capacity.  For
        processor time it is also 0 if the worker runs no services.
        """
        worker = self._jobs_part.workers.get(report.worker)
        if worker is None or not report.services and dimension == 'cpu_milli':
            return 0.0
        reserved_amount = getattr(worker, dimension)
        service_usage = _sum_used(report.services, dimension)
        attempt_usage = _sum_used(report.attempts, dimension)
        capacity = max(1, getattr(report.capacity, dimension))
        if (
            attempt_usage <= reserved_amount
            and service_usage + reserved_amount <= capacity
        ):
            return 0.0
        return (service_usage + attempt_usage) / capacity

    # Hot reports

    def _handle_hot_report(self, pressure, report, is_severe, now_ms):
        pressure.calm_since_ms = None
        pressure.hot_report_count += 1
        if (
            pressure.hot_report_count < HOT_REPORTS_TO_ACT
            or now_ms < pressure.next_action_ms
        ):
            return
        pressure.next_action_ms = now_ms + ACTION_PAUSE_MS
        job = self._find_most_harmful_job(pressure, report)
        if job is not None:
            self._tighten_throttle(pressure, job)
            return
        evictable_jobs = self._victim_selector.rank_by_loss(
            report.worker, now_ms
        )
        if is_severe and evictable_jobs:
            self._evictions.begin_eviction(
                evictable_jobs[0], now_ms, 'pressure on the worker'
            )

    def _find_most_harmful_job(self, pressure, report):
        """Returns the most harmful job that can be throttled further."""
        worst_job, max_harm = None, 0.0
        for attempt_report in report.attempts:
            job = self._jobs_part.jobs.get(attempt_report.job_id)
            if (
                attempt_report.state != 'running'
                or job is None
                or not job.is_live
            ):
                continue
            throttle = pressure.throttles.get(attempt_report.job_id)
            if throttle is not None and throttle.is_at_minimum:
                continue
            harm = self._estimate_harm(job, attempt_report, report.services)
            if harm > max_harm:
                worst_job, max_harm = job, harm
        return worst_job

    def _estimate_harm(self, job, attempt_report, services):
        """Returns a rating of the harm that an attempt does to the services.

        It is the processor cores used times the sum of the coefficients, plus
        the cores used beyond the reservation.
        """
        cores = attempt_report.used.cpu_milli / 1000
        excess_cores = (
            max(0, attempt_report.used.cpu_milli - job.reserved.cpu_milli)
            / 1000
        )
        coefficient_sum = sum(
            self._interference_model.coefficient(
                load.service, job.spec.job_class
            )
            for load in services
        )
        return cores * coefficient_sum + excess_cores

    def _tighten_throttle(self, pressure, job):
        job_id = job.spec.job_id
        throttle = pressure.throttles.get(job_id)
        if throttle is None or throttle.attempt != job.attempt:
            usage = self._usage_tracker.get(job_id)
            unthrottled_milli = (
                usage.used.cpu_milli if usage else job.reserved.cpu_milli
            )
            throttle = pressure.throttles[job_id] = _Throttle(
                job, unthrottled_milli
            )
        throttle.limit_milli = max(
            MIN_THROTTLE_CPU_MILLI,
            int(throttle.limit_milli * THROTTLE_STEP_FACTOR),
        )

    def _evict_for_memory(self, report, now_ms):
        capacity = report.capacity.memory_mib
        spare_mib = capacity * CALM_MEMORY_SHARE
        spare_mib -= _sum_used(report.services, 'memory_mib')
        spare_mib -= _sum_used(report.attempts, 'memory_mib')
        for job in self._victim_selector.rank_by_loss(report.worker, now_ms):
            if spare_mib >= 0:
                return
            usage = self._usage_tracker.get(job.spec.job_id)
            spare_mib += usage.used.memory_mib if usage is not None else 0
            self._evictions.begin_eviction(
                job, now_ms, 'memory of the worker is full'
            )

    # Calm reports

    def _handle_calm_report(self, pressure, now_ms):
        pressure.hot_report_count = 0
        if pressure.calm_since_ms is None:
            pressure.calm_since_ms = now_ms
        if (
            now_ms - pressure.calm_since_ms < CALM_BEFORE_RELAX_MS
            or not pressure.throttles
        ):
            return
        pressure.calm_since_ms = now_ms
        # The throttle that was added last is relaxed first.
        job_id = next(reversed(pressure.throttles))
        throttle = pressure.throttles[job_id]
        throttle.limit_milli = int(throttle.limit_milli / THROTTLE_STEP_FACTOR)
        if throttle.limit_milli >= throttle.unthrottled_milli:
            del pressure.throttles[job_id]

    # Orders

    def _make_throttle_orders(self, pressure):
        orders = []
        for job_id, throttle in list(pressure.throttles.items()):
            job = self._jobs_part.jobs.get(job_id)
            if job is None or not job.is_live:
                del pressure.throttles[job_id]
            elif job.attempt != throttle.attempt:
                del pressure.throttles[job_id]
            else:
                orders.append(self._make_throttle_order(throttle))
        return orders

    def _make_throttle_order(self, throttle):
        # A throttle expires with its lease unless a later order repeats it.
        # A new leader doesn't know its predecessor's throttles and couldn't
        # lift them.
        return messages.AttemptOrder(
            'throttle',
            throttle.job_id,
            throttle.attempt,
            self._policy.lease_ms,
            throttle_milli=throttle.limit_milli,
        )

    @staticmethod
    def _select_new_loads(pressure, report, now_ms):
        """Returns the loads of services that were measured again."""
        new_loads = []
        for load in report.services:
            measured_ms = now_ms - load.age_ms
            if measured_ms > pressure.measured_ms_by_service.get(
                load.service, -1
            ):
                pressure.measured_ms_by_service[load.service] = measured_ms
                new_loads.append(load)
        return new_loads


def _sum_used(loads_or_attempts, dimension):
    return sum(
        getattr(load_or_attempt.used, dimension)
        for load_or_attempt in loads_or_attempts
        if getattr(load_or_attempt, 'state', 'running') == 'running'
    )
