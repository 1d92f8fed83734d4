"""Scheduler for colocated latency-critical and batch work.

The package is layered: ``entry``, ``control`` and ``ctl`` are the programs;
``agreement``, ``state``, ``scheduling`` and ``routing`` are decision cores
without I/O; ``net`` carries messages; ``messages``, ``settings``, ``logs``,
``metrics``, ``errors`` and ``invariants`` are shared by all of them.
"""

__all__ = ('__version__',)

__version__ = '0.1.0'
