"""Keeps the heap of the process small after bodies of clients."""

import ctypes

__all__ = ('limit_growth',)

# Parameters of glibc's ``mallopt``.
_M_MMAP_THRESHOLD = -3
_M_ARENA_MAX = -8

# Larger blocks are mapped one by one and returned to the system when freed.
# glibc raises this size by itself when such a block is freed; bodies then
# fragment the heap, which took 40 MB for 16 MB of bodies.
MMAP_THRESHOLD_BYTES = 32768
# Arenas of further threads keep what was freed in them.
MAX_ARENAS = 2


def limit_growth():
    """Makes the allocator return large blocks; does nothing without glibc.

    Returns:
        True if the allocator has these parameters.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except AttributeError:
        return False
    return bool(
        mallopt(_M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
        and mallopt(_M_ARENA_MAX, MAX_ARENAS)
    )
