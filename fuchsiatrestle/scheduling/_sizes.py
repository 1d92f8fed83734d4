"""Reservation sizes: as declared, or corrected by measured usage."""

import abc
import collections

import sortedcontainers

from fuchsiatrestle import messages

__all__ = (
    'DeclaredSizes',
    'LearnedSizes',
    'SizeRule',
)

# Bound on the job classes with samples; the class sampled longest ago is
# dropped.
MAX_CLASSES = 4096
# Number of newest attempts of a class whose peak usage is remembered.
WINDOW_ATTEMPTS = 64
# More than declared is reserved only if at least MIN_GROW_SAMPLES attempts of
# the class are remembered, and less than declared only if at least
# MIN_SHRINK_SAMPLES are.
MIN_GROW_SAMPLES = 4
MIN_SHRINK_SAMPLES = 8
# Quantile of the remembered attempts' usage ratios that is reserved.
RESERVED_QUANTILE = 0.9
# Added to the learned size, in thousandths of it, because usage is
# measured with a delay and the samples may miss its latest rise.
SIZE_MARGIN_MILLI = 50
# Bound on the ratio of used to declared size, and so on a learned size.
MAX_USAGE_RATIO = 8.0
# Learned sizes are rounded up to multiples of these.
ROUNDING_CPU_MILLI = 100
ROUNDING_MEMORY_MIB = 64


class SizeRule(abc.ABC):
    """Interface of a rule that decides how much to reserve for a job."""

    @abc.abstractmethod
    def reservation_size(self, spec):
        """Returns the ``messages.Resources`` to reserve."""

    def record_peak(self, spec, peak):
        """Records the peak usage of an ended attempt; ignored by default.

        Args:
            spec: the ``commands.JobSpec`` of the job.
            peak: largest ``messages.Resources`` measured.
        """


class DeclaredSizes(SizeRule):
    """Reserves the declared size."""

    def reservation_size(self, spec):
        """Returns the declared size."""
        return spec.size


class _UsageRatios:
    """Peak usage over declared size, for the last attempts of a class."""

    __slots__ = ('_recent_ratios', '_sorted_ratios')

    def __init__(self):
        self._recent_ratios = collections.deque()
        self._sorted_ratios = sortedcontainers.SortedList()

    def __len__(self):
        return len(self._recent_ratios)

    def add(self, ratio):
        """Adds the ratio of one attempt; keeps ``WINDOW_ATTEMPTS`` ratios."""
        self._recent_ratios.append(ratio)
        self._sorted_ratios.add(ratio)
        if len(self._recent_ratios) > WINDOW_ATTEMPTS:
            self._sorted_ratios.remove(self._recent_ratios.popleft())

    def reserved_quantile(self):
        """Returns the ``RESERVED_QUANTILE`` of the ratios in the window."""
        position = min(
            len(self._sorted_ratios) - 1, int(len(self) * RESERVED_QUANTILE)
        )
        return self._sorted_ratios[position]


class LearnedSizes(SizeRule):
    """Reserves the larger of the declared and the learned size.

    With ``shrink_cpu`` the learned processor time is reserved even if it is
    less than declared.

    The learned size is the declared size times a high quantile, over the last
    attempts of the job's class, of peak usage relative to declared size.  It
    is limited to the largest worker that the declared size fits on, and to the
    team's quota, so that a job which could be placed as declared still can be.

    Args:
        get_worker_capacities: function that returns the distinct (capacity,
            data centre) pairs of the workers.
        get_team_quotas: function that returns the team quotas in force.
        shrink_cpu: True to reserve less processor time than declared if the
            class used less.  Processor time can be throttled, so a wrong
            estimate costs speed and not safety.
    """

    def __init__(
        self, get_worker_capacities, get_team_quotas, shrink_cpu=False
    ):
        self._shrink_cpu = shrink_cpu
        self._get_worker_capacities = get_worker_capacities
        self._get_team_quotas = get_team_quotas
        # (processor time, memory), each a ``_UsageRatios``, by job class.
        self._usage_ratios_by_class = collections.OrderedDict()

    def record_peak(self, spec, peak):
        """Adds the peak usage of an ended attempt to its class."""
        usage_ratios = self._usage_ratios_by_class.get(spec.job_class)
        if usage_ratios is None:
            usage_ratios = (_UsageRatios(), _UsageRatios())
            self._usage_ratios_by_class[spec.job_class] = usage_ratios
            if len(self._usage_ratios_by_class) > MAX_CLASSES:
                self._usage_ratios_by_class.popitem(last=False)
        self._usage_ratios_by_class.move_to_end(spec.job_class)
        usage_ratios[0].add(
            min(MAX_USAGE_RATIO, peak.cpu_milli / spec.size.cpu_milli)
        )
        usage_ratios[1].add(
            min(MAX_USAGE_RATIO, peak.memory_mib / spec.size.memory_mib)
        )

    def reservation_size(self, spec):
        """Returns the ``messages.Resources`` to reserve."""
        usage_ratios = self._usage_ratios_by_class.get(spec.job_class)
        if usage_ratios is None or len(usage_ratios[0]) < MIN_GROW_SAMPLES:
            return spec.size
        cpu_milli = _learned_amount(
            spec.size.cpu_milli, usage_ratios[0], ROUNDING_CPU_MILLI
        )
        if self._shrink_cpu and len(usage_ratios[0]) >= MIN_SHRINK_SAMPLES:
            cpu_milli = _shrunk_amount(
                spec.size.cpu_milli, usage_ratios[0], ROUNDING_CPU_MILLI
            )
        memory_mib = _learned_amount(
            spec.size.memory_mib, usage_ratios[1], ROUNDING_MEMORY_MIB
        )
        return self._clamp_size(spec, cpu_milli, memory_mib)

    def _clamp_size(self, spec, cpu_milli, memory_mib):
        """Limits a learned size to a worker's capacity and the team's quota.

        The worker is the largest on which the declared size fits; if it fits
        on none, the declared size is returned.  Memory is never less than
        declared.
        """
        fitting_capacities = [
            capacity
            for capacity, data_centre in self._get_worker_capacities()
            if spec.data_centre in ('', data_centre)
            and spec.size.cpu_milli <= capacity.cpu_milli
            and spec.size.memory_mib <= capacity.memory_mib
            and spec.size.accelerators <= capacity.accelerators
        ]
        if not fitting_capacities:
            return spec.size
        largest_capacity = max(
            fitting_capacities,
            key=lambda size: (size.cpu_milli, size.memory_mib),
        )
        quota = self._get_team_quotas().get(spec.team)
        if quota is not None:
            cpu_milli = min(cpu_milli, quota.cpu_milli)
            memory_mib = min(memory_mib, quota.memory_mib)
        return messages.Resources(
            min(cpu_milli, largest_capacity.cpu_milli),
            max(
                spec.size.memory_mib,
                min(memory_mib, largest_capacity.memory_mib),
            ),
            spec.size.accelerators,
        )


def _shrunk_amount(declared_amount, usage_ratios, rounding_multiple):
    """Returns the learned amount, which may be less than declared.

    An amount below the declared one includes the margin and is rounded up to
    a multiple of ``rounding_multiple``, but not above the declared one.
    """
    ratio = usage_ratios.reserved_quantile()
    if ratio > 1.0:
        return _learned_amount(
            declared_amount, usage_ratios, rounding_multiple
        )
    amount = max(
        int(declared_amount * ratio * (1000 + SIZE_MARGIN_MILLI) / 1000),
        rounding_multiple,
    )
    return min(
        declared_amount, -(-amount // rounding_multiple) * rounding_multiple
    )


def _learned_amount(declared_amount, usage_ratios, rounding_multiple):
    """Returns the declared amount, or more if earlier attempts used more.

    A larger amount includes the margin and is rounded up to a multiple of
    ``rounding_multiple``.
    """
    ratio = usage_ratios.reserved_quantile()
    if ratio <= 1.0:
        return declared_amount
    amount = int(declared_amount * ratio * (1000 + SIZE_MARGIN_MILLI) / 1000)
    return -(-amount // rounding_multiple) * rounding_multiple
