"""Learned interference of job classes with latency-critical services.

Model: the logarithm of a service's tail latency is a baseline, which depends
on the service and on how busy the instance is, plus for each job class a
coefficient times the processor time (in cores) that the class used on the
same worker when the latency was measured.  Baselines and coefficients are
learned from late measurements by normalised least mean squares; the
coefficients never go below zero, because work never speeds a neighbour up.
"""

import collections
import math

__all__ = ('InterferenceModel',)

MAX_PAIRS = 65_536
BASELINE_STEP_MILLI = 2_000
BASELINE_RATE = 0.05
PAIR_RATE = 0.2
# Of pairs never seen together, for each core: neither safe nor barred.
PRIOR_PER_CORE = 0.01
MAX_PER_CORE = 1.0
MIN_P99_MS = 0.001
MAX_LOG_RATIO = 5.0


class InterferenceModel:
    """Estimates how much a mix of classes raises a service's tail."""

    def __init__(self):
        self._baselines = {}
        self._pairs = collections.OrderedDict()

    def learn(self, load, mix):
        """Takes one measurement.

        Args:
            load: a ``messages.ServiceLoad``.
            mix: processor time in thousandths of a core, by job class, at
                the time of the measurement.
        """
        cores = {name: milli / 1000 for name, milli in mix.items() if milli}
        observed = math.log(max(load.p99_ms, MIN_P99_MS))
        effect = self.log_ratio(load.service, cores)
        baseline = self._baseline(load, observed - effect)
        error = observed - baseline - effect
        key = _baseline_key(load)
        self._baselines[key] = baseline + BASELINE_RATE * error
        norm = 1.0 + sum(amount * amount for amount in cores.values())
        for name, amount in cores.items():
            self._move(load.service, name, PAIR_RATE * error * amount / norm)

    def per_core(self, service, job_class):
        """Returns the coefficient of a pair, for each core."""
        return self._pairs.get((service, job_class), PRIOR_PER_CORE)

    def log_ratio(self, service, cores):
        """Returns the estimated logarithm of tail over baseline.

        Args:
            service: name of the service.
            cores: processor time in cores, by job class.
        """
        total = sum(
            self.per_core(service, name) * amount
            for name, amount in cores.items()
        )
        return min(total, MAX_LOG_RATIO)

    def ratio(self, load):
        """Returns a measured tail over its learned baseline, 1 if unknown."""
        baseline = self._baselines.get(_baseline_key(load))
        if baseline is None:
            return 1.0
        return max(load.p99_ms, MIN_P99_MS) / math.exp(baseline)

    def _baseline(self, load, first):
        """Returns the baseline, at first taken from a less busy one."""
        service, step = _baseline_key(load)
        known = self._baselines.get((service, step))
        if known is not None:
            return known
        for lower in range(step - 1, -1, -1):
            known = self._baselines.get((service, lower))
            if known is not None:
                return known
        return first

    def _move(self, service, job_class, change):
        key = (service, job_class)
        value = self.per_core(service, job_class) + change
        self._pairs[key] = min(MAX_PER_CORE, max(0.0, value))
        self._pairs.move_to_end(key)
        if len(self._pairs) > MAX_PAIRS:
            self._pairs.popitem(last=False)


def _baseline_key(load):
    return load.service, load.used.cpu_milli // BASELINE_STEP_MILLI
