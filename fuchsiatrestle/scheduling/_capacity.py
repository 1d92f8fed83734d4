"""Index of workers by free capacity.

Workers are kept in cells of a logarithmic grid over free processor time and
memory, one grid for each number of free accelerators.  A cell whose lower
corner covers the need holds only workers that fit; only the cells on the
boundary are checked one worker at a time.  The cost of a search depends on
the number of cells, which is bounded by the grid, and not on the number of
workers.
"""

import sortedcontainers

__all__ = ('FreeIndex',)

MAX_CHECKED_WORKERS = 512
_STEP_BITS = 2


def _step(amount):
    """Returns the grid step of an amount; four steps a doubling."""
    if amount <= 0:
        return 0
    bits = amount.bit_length()
    if bits <= _STEP_BITS:
        return amount
    mantissa = (amount >> (bits - 1 - _STEP_BITS)) & ((1 << _STEP_BITS) - 1)
    return (bits << _STEP_BITS) + mantissa


class FreeIndex:
    """Finds workers with enough free capacity in every dimension."""

    def __init__(self):
        self._free = {}
        self._cell_of = {}
        self._grids = sortedcontainers.SortedDict()

    def __len__(self):
        return len(self._free)

    def __contains__(self, name):
        return name in self._free

    def free(self, name):
        """Returns (cpu_milli, memory_mib, accelerators), or None."""
        return self._free.get(name)

    def update(self, name, free):
        """Sets the free capacity of one worker.

        Args:
            name: the worker.
            free: (cpu_milli, memory_mib, accelerators).
        """
        if self._free.get(name) == free:
            return
        cell = (free[2], (_step(free[0]), _step(free[1])))
        if self._cell_of.get(name) != cell:
            self.remove(name)
            grid = self._grids.get(cell[0])
            if grid is None:
                grid = sortedcontainers.SortedDict()
                self._grids[cell[0]] = grid
            grid.setdefault(cell[1], {})[name] = None
            self._cell_of[name] = cell
        self._free[name] = free

    def remove(self, name):
        """Takes a worker out of the index."""
        cell = self._cell_of.pop(name, None)
        if cell is None:
            return
        del self._free[name]
        grid = self._grids[cell[0]]
        del grid[cell[1]][name]
        if not grid[cell[1]]:
            del grid[cell[1]]
            if not grid:
                del self._grids[cell[0]]

    def fitting(self, need):
        """Yields workers that fit, fewest free accelerators first.

        Among workers of as many free accelerators those with most free
        processor time come first.

        Args:
            need: (cpu_milli, memory_mib, accelerators).
        """
        checked = 0
        for accelerators in list(self._grids.irange(minimum=need[2])):
            grid = self._grids[accelerators]
            lowest = (_step(need[0]), 0)
            for cell in list(grid.irange(minimum=lowest, reverse=True)):
                if cell[1] < _step(need[1]):
                    continue
                for name in list(grid[cell]):
                    free = self._free[name]
                    if need[0] <= free[0] and need[1] <= free[1]:
                        yield name
                        continue
                    checked += 1
                    if checked >= MAX_CHECKED_WORKERS:
                        return

    def short_dimension(self, need):
        """Returns what a need lacks everywhere, empty if it fits."""
        if next(self.fitting(need), None) is not None:
            return ''
        names = ('cpu_milli', 'memory_mib', 'accelerators')
        for position in (2, 1, 0):
            lone = [0, 0, 0]
            lone[position] = need[position]
            if next(self.fitting(tuple(lone)), None) is None:
                return names[position]
        return 'all dimensions together'
