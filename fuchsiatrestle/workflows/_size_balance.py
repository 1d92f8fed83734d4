"""Keeps room on large workers for large tasks, without I/O.

Addresses small and large tasks that arrive in waves, on workers of which some
are half as large again as the others.  Best fit alone puts a small task where
the least processor time remains, even if a large task fits nowhere else.
"""

from fuchsiatrestle import logs
from fuchsiatrestle import metrics
from fuchsiatrestle.workflows import _placement
from fuchsiatrestle.workflows import _policies
from fuchsiatrestle.workflows import _task_sizes

__all__ = ('SizeBalancePolicy', 'SizeFit')

# Processor time that remains free counts this many times if no likely task can
# use it.  Two lets a task open another worker only if that leaves less than
# twice as much.
UNUSABLE_CPU_FACTOR = 2
# Shortest time between two measurements, each with a log line.
REPORT_INTERVAL_MS = 1000

UNUSABLE_CPU = metrics.declare(
    'workflows.unusable_cpu',
    'Free processor time that no likely task can use, in thousandths of a'
    ' core.',
)

LOG = logs.get_logger(__name__)


class SizeFit(_placement.BestFit):
    """Prefers, for small tasks, workers on which no large one would fit.

    It orders the workers with room and leaves none of them out.

    Args:
        interference_model: the ``InterferenceModel``.

    Attributes:
        profiles: ``SizeProfile`` by name of the service.
    """

    def __init__(self, interference_model):
        super().__init__(interference_model)
        self.profiles = {}
        # The values for the step and service that were scored last.
        self._step = None
        self._pool = None
        self._larger_sizes = []
        self._likely_sizes = []

    def replace_profiles(self, profiles):
        """Replaces the profiles of the services.

        Args:
            profiles: ``SizeProfile`` by name of the service.
        """
        self.profiles = profiles
        self._step = None

    def _score_room(self, step, worker, allocations):
        """Returns a key of the room for large tasks and of remaining CPU."""
        record = worker.record
        if step is not self._step or record.pool != self._pool:
            self._select_sizes(step, record.pool)
        capacity = worker.capacity
        task_count = allocations.task_count(worker)
        cpu = capacity.free_cpu - task_count * step.cpu
        memory_mb = capacity.free_memory_mb - task_count * step.memory_mb
        accelerators = (
            capacity.free_accelerators - task_count * step.accelerators
        )
        lost_count = 0
        possible_count = 0
        for size in self._larger_sizes:
            if not size.fits(
                record.labels,
                record.cpu - capacity.long_running_cpu,
                record.memory_mb,
                record.accelerators,
            ):
                continue
            possible_count += 1
            if size.cpu <= cpu and size.memory_mb <= memory_mb:
                lost_count += size.count_fitting(
                    cpu, memory_mb, accelerators
                ) - size.count_fitting(
                    cpu - step.cpu,
                    memory_mb - step.memory_mb,
                    accelerators - step.accelerators,
                )
        remaining_cpu = cpu - step.cpu
        memory_mb -= step.memory_mb
        accelerators -= step.accelerators
        for size in self._likely_sizes:
            if size.fits(
                record.labels, remaining_cpu, memory_mb, accelerators
            ):
                return possible_count, lost_count, remaining_cpu
        return (
            possible_count,
            lost_count,
            UNUSABLE_CPU_FACTOR * remaining_cpu,
        )

    def _select_sizes(self, step, pool):
        self._step = step
        self._pool = pool
        profile = self.profiles.get(pool)
        self._larger_sizes = profile.find_larger_sizes(step) if profile else []
        self._likely_sizes = profile.sizes if profile else []


class SizeBalancePolicy(_policies.PlacementPolicy):
    """Learns the sizes of tasks for ``SizeFit`` and measures fragmentation.

    Args:
        dispatch_state: ``DispatchState``.
    """

    def __init__(self, dispatch_state):
        self._dispatch_state = dispatch_state
        self._task_sizes = _task_sizes.TaskSizes(dispatch_state.workflow_store)
        self._placer = None
        self._next_report_ms = 0

    def make_placer(self, interference_model):
        """Returns the ``SizeFit`` that this policy keeps up to date."""
        self._placer = SizeFit(interference_model)
        return self._placer

    def start_round(self, ready_groups, wall_ms):
        """Learns the sizes of new tasks; measures once a second."""
        changed_pools = self._task_sizes.update(ready_groups, wall_ms)
        is_report_due = self._dispatch_state.now_ms >= self._next_report_ms
        if is_report_due:
            changed_pools = {
                worker.record.pool for worker in self._dispatch_state.fleet
            }
        if not changed_pools:
            return
        workers_by_pool = {
            pool: self._dispatch_state.fleet.usable_workers(
                pool, self._dispatch_state.now_ms
            )
            for pool in sorted(changed_pools)
        }
        profiles = {
            pool: self._task_sizes.make_profile(pool, workers)
            for pool, workers in workers_by_pool.items()
        }
        if self._placer is not None:
            self._placer.replace_profiles(
                {**self._placer.profiles, **profiles}
            )
        if is_report_due:
            self._next_report_ms = (
                self._dispatch_state.now_ms + REPORT_INTERVAL_MS
            )
            self._report(workers_by_pool, profiles)

    def _report(self, workers_by_pool, profiles):
        """Sets the gauge; logs the service with the most unusable CPU."""
        unusable_cpu_by_pool = {
            pool: sum(
                find_unusable_cpu(worker, profiles[pool].sizes)
                for worker in workers
            )
            for pool, workers in workers_by_pool.items()
        }
        metrics.gauge(UNUSABLE_CPU, sum(unusable_cpu_by_pool.values()))
        pool = max(
            unusable_cpu_by_pool, key=unusable_cpu_by_pool.get, default=None
        )
        if pool is None or not unusable_cpu_by_pool[pool]:
            return
        profile = profiles[pool]
        largest_size = profile.sizes[-1]
        LOG.info(
            'free_cpu_unusable',
            extra={
                'pool': pool,
                'unusable_cpu': unusable_cpu_by_pool[pool],
                'free_cpu': sum(
                    max(0, worker.capacity.free_cpu)
                    for worker in workers_by_pool[pool]
                ),
                'workers': len(workers_by_pool[pool]),
                'sizes': len(profile.sizes),
                'large_sizes': len(profile.large_sizes),
                'largest_cpu': largest_size.cpu,
                'largest_memory_mb': largest_size.memory_mb,
                'room_for_largest': sum(
                    largest_size.fits(
                        worker.record.labels,
                        worker.capacity.free_cpu,
                        worker.capacity.free_memory_mb,
                        worker.capacity.free_accelerators,
                    )
                    for worker in workers_by_pool[pool]
                ),
            },
        )


def find_unusable_cpu(worker, sizes):
    """Returns the free processor time of a worker that no task can use.

    It is what is left, in thousandths of a core, if the worker is filled with
    tasks of the size that leaves the least; 0 if no size is known.

    Args:
        worker: the ``Worker``.
        sizes: the likely ``TaskSize`` values.
    """
    capacity = worker.capacity
    free = (
        capacity.free_cpu,
        capacity.free_memory_mb,
        capacity.free_accelerators,
    )
    if not sizes or free[0] <= 0:
        return 0
    used_cpu = max(
        (
            size.count_fitting(*free) * size.cpu
            for size in sizes
            if size.fits(worker.record.labels, *free)
        ),
        default=0,
    )
    return free[0] - used_cpu
