"""Learned interference of job classes with latency-critical services.

The model is log-linear.  The logarithm of a service's tail latency is the sum
of a baseline, which depends on the service and on how busy the instance is,
and for each job class a coefficient times the processor time (in processor
cores) that the class used on the same worker when the latency was measured.
Baselines and coefficients are learned online by normalised least mean squares,
from measurements that arrive with a delay.  A coefficient is never negative,
because batch work doesn't make a service on the same worker faster.
"""

import collections
import math

__all__ = ('InterferenceModel',)

# Bound on the (service, job class) pairs; the pair updated longest ago is
# dropped.
MAX_COEFFICIENTS = 65_536
# A service has one baseline for each step of its own processor usage.
BASELINE_STEP_CPU_MILLI = 2_000
BASELINE_LEARNING_RATE = 0.05
COEFFICIENT_LEARNING_RATE = 0.2
# For a service and a job class never measured together: not zero, as the class
# isn't known to be harmless, but small enough not to bar placements.
DEFAULT_COEFFICIENT = 0.01
MAX_COEFFICIENT = 1.0
# Lower bound on a measured latency, as the logarithm needs a positive one.
MIN_P99_MS = 0.001
# Bound on the estimated logarithm: e^5 is about 150 times the baseline.
MAX_LOG_TAIL_RATIO = 5.0


class InterferenceModel:
    """Estimates how much batch work raises a service's tail latency."""

    def __init__(self):
        self._baseline_by_usage_step = {}
        self._coefficient_by_service_and_class = collections.OrderedDict()

    def learn_measurement(self, load, cpu_milli_by_class):
        """Updates baseline and coefficients from one measurement.

        Args:
            load: the ``messages.ServiceLoad`` measured for one service.
            cpu_milli_by_class: processor time in thousandths of a core that
                each job class used on the worker when the load was measured.
        """
        cores_by_class = {
            job_class: cpu_milli / 1000
            for job_class, cpu_milli in cpu_milli_by_class.items()
            if cpu_milli
        }
        observed_log_p99 = math.log(max(load.p99_ms, MIN_P99_MS))
        log_increase = self.log_tail_ratio(load.service, cores_by_class)
        baseline = self._find_baseline(load, observed_log_p99 - log_increase)
        log_error = observed_log_p99 - baseline - log_increase
        baseline_key = _baseline_key(load)
        self._baseline_by_usage_step[baseline_key] = (
            baseline + BASELINE_LEARNING_RATE * log_error
        )
        squared_norm = 1.0 + sum(
            cores * cores for cores in cores_by_class.values()
        )
        for job_class, cores in cores_by_class.items():
            self._adjust_coefficient(
                load.service,
                job_class,
                COEFFICIENT_LEARNING_RATE * log_error * cores / squared_norm,
            )

    def coefficient(self, service, job_class):
        """Returns the rise of the log tail latency per processor core.

        The cores are those that the job class uses on the service's worker.
        """
        return self._coefficient_by_service_and_class.get(
            (service, job_class), DEFAULT_COEFFICIENT
        )

    def log_tail_ratio(self, service, cores_by_class):
        """Estimates the logarithm of the ratio of tail latency to baseline.

        Args:
            service: name of the service.
            cores_by_class: processor time in processor cores, by job class.
        """
        log_increase = sum(
            self.coefficient(service, job_class) * cores
            for job_class, cores in cores_by_class.items()
        )
        return min(log_increase, MAX_LOG_TAIL_RATIO)

    def measured_tail_ratio(self, load):
        """Returns the ratio of the measured tail latency to its baseline.

        Without a learned baseline the ratio is 1.
        """
        baseline = self._baseline_by_usage_step.get(_baseline_key(load))
        if baseline is None:
            return 1.0
        return max(load.p99_ms, MIN_P99_MS) / math.exp(baseline)

    def _find_baseline(self, load, default_baseline):
        """Returns the baseline that was learned for a service's usage step.

        A usage step is a range of ``BASELINE_STEP_CPU_MILLI`` of the
        processor time that the service itself used.  If no baseline was
        learned for the step, that of the nearest lower step with a baseline
        is returned, or else ``default_baseline``.

        Args:
            load: the ``messages.ServiceLoad``, which has service and usage.
            default_baseline: baseline to use if none was learned.

        Returns:
            The logarithm of a tail latency in milliseconds.
        """
        service, usage_step = _baseline_key(load)
        baseline = self._baseline_by_usage_step.get((service, usage_step))
        if baseline is not None:
            return baseline
        for lower_step in range(usage_step - 1, -1, -1):
            baseline = self._baseline_by_usage_step.get((service, lower_step))
            if baseline is not None:
                return baseline
        return default_baseline

    def _adjust_coefficient(self, service, job_class, coefficient_change):
        service_and_class = (service, job_class)
        coefficient = self.coefficient(service, job_class) + coefficient_change
        self._coefficient_by_service_and_class[service_and_class] = min(
            MAX_COEFFICIENT, max(0.0, coefficient)
        )
        self._coefficient_by_service_and_class.move_to_end(service_and_class)
        if len(self._coefficient_by_service_and_class) > MAX_COEFFICIENTS:
            self._coefficient_by_service_and_class.popitem(last=False)


def _baseline_key(load):
    return load.service, load.used.cpu_milli // BASELINE_STEP_CPU_MILLI
