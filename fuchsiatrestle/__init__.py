"""Scheduler for colocated latency-critical and batch work.

The package has layers.  ``entry``, ``control``, ``ctl`` and ``platform``
contain the programs.  ``agreement``, ``state``, ``membership``,
``scheduling``, ``workflows`` and ``routing`` make the decisions, in cores
without I/O.  ``net`` transports messages, and ``admin`` answers the calls of
operators over HTTP.  ``messages``, ``inbox``, ``settings``,
``signals``, ``logs``, ``metrics``, ``errors`` and ``invariants`` are shared by
all of them.
"""

__all__ = ('__version__',)

__version__ = '0.1.0'
