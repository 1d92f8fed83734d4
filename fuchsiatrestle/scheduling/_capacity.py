"""Index of workers by free capacity.

Workers are kept in the buckets of a logarithmic grid over free processor time
and free memory, one grid for each number of free accelerators.  Every worker
in a bucket whose lower bounds cover the need of a job has enough free.  A
worker that is too small is found only in a bucket whose range of processor
time or memory includes the need, and costs one comparison.  The time of a
search therefore grows with the number of buckets, which the grid bounds, and
not with the number of workers.
"""

import sortedcontainers

__all__ = ('FreeCapacityIndex', 'covers')

# A search gives up after it has found this many workers too small.
MAX_TOO_SMALL_WORKERS = 512
# Number of bits below the leading 1 bit of an amount that select its grid
# step: 4 steps for each doubling of the amount.
_GRID_STEP_BITS = 2


def covers(amounts, need):
    """True if amounts are at least as large as a need in each dimension."""
    return all(a >= n for a, n in zip(amounts, need, strict=True))


def _grid_step(amount):
    """Returns the logarithmic grid step of an amount.

    Each doubling of the amount has four steps.
    """
    if amount <= 0:
        return 0
    bits = amount.bit_length()
    if bits <= _GRID_STEP_BITS:
        return amount
    mantissa = (amount >> (bits - 1 - _GRID_STEP_BITS)) & (
        (1 << _GRID_STEP_BITS) - 1
    )
    return (bits << _GRID_STEP_BITS) + mantissa


class FreeCapacityIndex:
    """Finds workers with enough free capacity in every dimension."""

    def __init__(self):
        self._free_by_worker = {}
        # (free accelerators, bucket) of each worker.
        self._location_by_worker = {}
        # The grid for each number of free accelerators; a grid has the names
        # of the workers by bucket.
        self._grids = sortedcontainers.SortedDict()

    def __len__(self):
        return len(self._free_by_worker)

    def __contains__(self, name):
        return name in self._free_by_worker

    def free_capacity(self, name):
        """Returns (cpu_milli, memory_mib, accelerators) free, or None."""
        return self._free_by_worker.get(name)

    def set_free(self, name, free):
        """Sets the free capacity of one worker.

        Args:
            name: the worker.
            free: (cpu_milli, memory_mib, accelerators).
        """
        if self._free_by_worker.get(name) == free:
            return
        location = (free[2], (_grid_step(free[0]), _grid_step(free[1])))
        if self._location_by_worker.get(name) != location:
            self.remove_worker(name)
            grid = self._grids.get(location[0])
            if grid is None:
                grid = sortedcontainers.SortedDict()
                self._grids[location[0]] = grid
            grid.setdefault(location[1], {})[name] = None
            self._location_by_worker[name] = location
        self._free_by_worker[name] = free

    def remove_worker(self, name):
        """Removes a worker from the index, if it is there."""
        location = self._location_by_worker.pop(name, None)
        if location is None:
            return
        del self._free_by_worker[name]
        grid = self._grids[location[0]]
        del grid[location[1]][name]
        if not grid[location[1]]:
            del grid[location[1]]
            if not grid:
                del self._grids[location[0]]

    def iter_workers(self):
        """Yields all workers, in the order of ``iter_fitting``."""
        for grid in list(self._grids.values()):
            for bucket in list(reversed(grid)):
                yield from list(grid[bucket])

    def iter_fitting(self, need):
        """Yields workers with enough free, fewest free accelerators first.

        Among workers with the same number of free accelerators those with
        most free processor time, by grid step, come first.  The search ends
        early after ``MAX_TOO_SMALL_WORKERS`` workers that were too small.

        Args:
            need: required (cpu_milli, memory_mib, accelerators).
        """
        too_small_count = 0
        for accelerators in list(self._grids.irange(minimum=need[2])):
            grid = self._grids[accelerators]
            min_cpu_bucket = (_grid_step(need[0]), 0)
            for bucket in list(
                grid.irange(minimum=min_cpu_bucket, reverse=True)
            ):
                if bucket[1] < _grid_step(need[1]):
                    continue
                for name in list(grid[bucket]):
                    free = self._free_by_worker[name]
                    if need[0] <= free[0] and need[1] <= free[1]:
                        yield name
                        continue
                    too_small_count += 1
                    if too_small_count >= MAX_TOO_SMALL_WORKERS:
                        return

    def insufficient_dimension(self, need):
        """Returns the dimension that no worker has enough of.

        Returns:
            The name of a dimension, ``all dimensions together`` if each alone
            would fit somewhere, or an empty string if the need fits.
        """
        if next(self.iter_fitting(need), None) is not None:
            return ''
        dimensions = ('cpu_milli', 'memory_mib', 'accelerators')
        for position in (2, 1, 0):
            single_need = [0, 0, 0]
            single_need[position] = need[position]
            if next(self.iter_fitting(tuple(single_need)), None) is None:
                return dimensions[position]
        return 'all dimensions together'
