"""Learns the sizes of the submitted tasks of each service, without I/O.

Addresses loads of small and large tasks on workers of different sizes: room
for a large task is worth keeping only if one is likely to come.  Only tasks
that reserve processor time count.
"""

__all__ = ('SizeProfile', 'TaskSize', 'TaskSizes')

# Sizes are learned from the tasks of the last minutes, in spans that are
# dropped one by one.
SPAN_MS = 30_000
SPAN_COUNT = 4
# Largest number of size groups in a span of a service; tasks of further ones
# are not counted.
MAX_GROUPS_PER_SPAN = 256
# A size is likely if it has this share of the tasks or of their processor
# time, in percent.
LIKELY_PERCENT = 1
# A size is large from this share of the largest worker, in percent.  Four
# tasks below it fit on that worker, so there is often room for one.
LARGE_PERCENT = 25


class TaskSize:
    """What a task reserves.

    Attributes:
        cpu: processor time, in thousandths of a core.
        memory_mb: memory, in MiB.
        accelerators: number of accelerators.
        label: label that the worker must have, or empty.
    """

    __slots__ = ('accelerators', 'cpu', 'label', 'memory_mb')

    def __init__(self, cpu, memory_mb, accelerators, label):
        self.cpu = cpu
        self.memory_mb = memory_mb
        self.accelerators = accelerators
        self.label = label

    def fits(self, labels, cpu, memory_mb, accelerators):
        """True if a task fits into free capacity on a worker.

        Args:
            labels: labels of the worker.
            cpu: processor time, in thousandths of a core.
            memory_mb: memory, in MiB.
            accelerators: number of accelerators.
        """
        return (
            self.cpu <= cpu
            and self.memory_mb <= memory_mb
            and self.accelerators <= accelerators
            and (not self.label or self.label in labels)
        )

    def count_fitting(self, cpu, memory_mb, accelerators):
        """Returns how many tasks fit into capacity, whatever the label.

        Args:
            cpu: processor time, in thousandths of a core, at least 0.
            memory_mb: memory, in MiB, at least 0.
            accelerators: number of accelerators, at least 0.
        """
        count = min(cpu // (self.cpu or 1), memory_mb // (self.memory_mb or 1))
        if self.accelerators:
            return min(count, accelerators // self.accelerators)
        return count


class SizeProfile:
    """Likely sizes of the tasks of a service.

    Args:
        sizes: the likely ``TaskSize`` values.
        max_cpu: processor time of the largest worker, in thousandths of a
            core.
        max_memory_mb: memory of the largest worker, in MiB.

    Attributes:
        sizes: the likely sizes, the smallest first.
        large_sizes: up to three large ones, the smallest first.
    """

    __slots__ = ('_max_cpu', '_max_memory_mb', 'large_sizes', 'sizes')

    def __init__(self, sizes, max_cpu, max_memory_mb):
        self._max_cpu = max(max_cpu, 1)
        self._max_memory_mb = max(max_memory_mb, 1)
        self.sizes = sorted(sizes, key=self._sort_key)
        large_sizes = [
            size
            for size in self.sizes
            if size.cpu <= max_cpu
            and size.memory_mb <= max_memory_mb
            and self._share(size) * 100
            >= LARGE_PERCENT * self._max_cpu * self._max_memory_mb
        ]
        if len(large_sizes) > 3:
            large_sizes = [
                large_sizes[0],
                large_sizes[len(large_sizes) // 2],
                large_sizes[-1],
            ]
        self.large_sizes = large_sizes

    def find_larger_sizes(self, step):
        """Returns the large sizes that are larger than the tasks of a step.

        Args:
            step: the ``Step``.
        """
        share = self._share(step)
        return [size for size in self.large_sizes if self._share(size) > share]

    def _share(self, size):
        """Returns the larger of the shares of CPU and memory of a worker.

        It is multiplied by both capacities, to compare integers.

        Args:
            size: a ``TaskSize`` or ``Step``.
        """
        return max(
            size.cpu * self._max_memory_mb, size.memory_mb * self._max_cpu
        )

    def _sort_key(self, size):
        return (
            self._share(size),
            size.cpu,
            size.memory_mb,
            size.accelerators,
            size.label,
        )


class TaskSizes:
    """Learns sizes from the groups that begin to wait.

    Args:
        workflow_store: the part of the replicated state with the workflows.
    """

    def __init__(self, workflow_store):
        self._workflow_store = workflow_store
        # ``_SizeGroup`` by key, by name of the service, by number of the span.
        self._spans = {}
        # Keys of the groups of tasks that waited in the last round.
        self._waiting_keys = None
        # ``TaskSize`` of the tasks that wait, by its key, by service.
        self._waiting_sizes_by_pool = {}

    def update(self, ready_groups, wall_ms):
        """Counts the tasks that have begun to wait since the last round.

        Args:
            ready_groups: all groups that may start now.
            wall_ms: time since the epoch.

        Returns:
            The set of the services with a waiting size that is new to them.
        """
        span = wall_ms // SPAN_MS
        is_first_round = self._waiting_keys is None
        if is_first_round:
            self._adopt_workflows(wall_ms)
        earlier_keys = self._waiting_keys or set()
        earlier_sizes = self._waiting_sizes_by_pool
        self._waiting_keys = set()
        self._waiting_sizes_by_pool = {}
        for group in ready_groups:
            step = group.step
            if step.fills:
                continue
            key = (
                group.workflow.workflow_id,
                group.occurrence,
                group.step_number,
            )
            self._waiting_keys.add(key)
            pool = self._workflow_store.current_queue(group.workflow).pool
            size_key = step.cpu, step.memory_mb, step.accelerators, step.label
            self._waiting_sizes_by_pool.setdefault(pool, {})[size_key] = step
            if key not in earlier_keys and not is_first_round:
                self._count(span, pool, step, len(group.waiting_task_ids))
        self._drop_old_spans(span)
        return {
            pool
            for pool, sizes in self._waiting_sizes_by_pool.items()
            if not sizes.keys() <= earlier_sizes.get(pool, {}).keys()
        }

    def make_profile(self, pool, workers):
        """Returns the ``SizeProfile`` of a service.

        Args:
            pool: name of the service.
            workers: its workers.
        """
        merged_groups = self._merge_spans(pool)
        task_count = sum(
            size_group.task_count for size_group in merged_groups.values()
        )
        total_cpu = sum(
            size_group.total_cpu for size_group in merged_groups.values()
        )
        likely_groups = {
            key: size_group
            for key, size_group in merged_groups.items()
            if size_group.task_count * 100 >= LIKELY_PERCENT * task_count
            or size_group.total_cpu * 100 >= LIKELY_PERCENT * total_cpu
        }
        for step in self._waiting_sizes_by_pool.get(pool, {}).values():
            likely_groups.setdefault(_group_key(step), _SizeGroup()).add(
                step.cpu, step.memory_mb, 0
            )
        return SizeProfile(
            [
                TaskSize(
                    size_group.cpu,
                    size_group.memory_mb,
                    accelerators,
                    label,
                )
                for (
                    (_, _, accelerators, label),
                    size_group,
                ) in likely_groups.items()
            ],
            max((worker.record.cpu for worker in workers), default=0),
            max((worker.record.memory_mb for worker in workers), default=0),
        )

    def _merge_spans(self, pool):
        """Returns the ``_SizeGroup`` of all spans of a service by key."""
        merged_groups = {}
        for _, size_groups_by_pool in sorted(self._spans.items()):
            for key, size_group in size_groups_by_pool.get(pool, {}).items():
                merged = merged_groups.setdefault(key, _SizeGroup())
                merged.add(
                    size_group.cpu,
                    size_group.memory_mb,
                    size_group.task_count,
                )
        return merged_groups

    def _adopt_workflows(self, wall_ms):
        """Counts the tasks of workflows submitted before this leader."""
        for workflow in self._workflow_store.retained_workflows:
            age_ms = max(0, wall_ms - workflow.submitted_ms)
            if age_ms >= SPAN_COUNT * SPAN_MS:
                continue
            pool = self._workflow_store.current_queue(workflow).pool
            for step in workflow.spec.steps:
                if not step.fills:
                    self._count(
                        (wall_ms - age_ms) // SPAN_MS, pool, step, step.count
                    )

    def _count(self, span, pool, step, task_count):
        size_groups = self._spans.setdefault(span, {}).setdefault(pool, {})
        key = _group_key(step)
        if key not in size_groups:
            if len(size_groups) >= MAX_GROUPS_PER_SPAN:
                return
            size_groups[key] = _SizeGroup()
        size_groups[key].add(step.cpu, step.memory_mb, task_count)

    def _drop_old_spans(self, span):
        """Drops spans that are too old, or begin after the present one."""
        self._spans = {
            number: size_groups_by_pool
            for number, size_groups_by_pool in self._spans.items()
            if span - SPAN_COUNT < number <= span
        }


class _SizeGroup:
    """Tasks of similar sizes; the largest one stands for all of them."""

    __slots__ = ('cpu', 'memory_mb', 'task_count')

    def __init__(self):
        self.cpu = 0
        self.memory_mb = 0
        self.task_count = 0

    @property
    def total_cpu(self):
        """Processor time of all tasks, in thousandths of a core."""
        return self.task_count * self.cpu

    def add(self, cpu, memory_mb, task_count):
        """Adds tasks of one size."""
        self.cpu = max(self.cpu, cpu)
        self.memory_mb = max(self.memory_mb, memory_mb)
        self.task_count += task_count


def _group_key(step):
    """Returns a key that is equal for steps of similar sizes."""
    return (
        _size_class(step.cpu),
        _size_class(step.memory_mb),
        step.accelerators,
        step.label,
    )


def _size_class(quantity):
    """Returns the number of a class; there are four for each doubling."""
    shift = max(0, quantity.bit_length() - 3)
    return 4 * shift + (quantity >> shift)
