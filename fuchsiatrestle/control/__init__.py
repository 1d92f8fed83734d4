"""The control daemon: one replica of the agreed state of a cell.

``python -m fuchsiatrestle.control --config FILE`` runs it.  Tasks:

- the link task receives messages and hands them to their owner;
- the replica task owns the ``agreement`` core;
- the storage thread owns the data folder and groups writes into fsyncs;
- the state task owns the state machine and the leader's services.
"""

from fuchsiatrestle.control._daemon import ControlDaemon
from fuchsiatrestle.control._settings import SECTIONS

__all__ = ('SECTIONS', 'ControlDaemon')
