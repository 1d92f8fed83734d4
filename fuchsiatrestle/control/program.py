"""The control daemon and its settings, as programs run it.

This module is apart from the package's ``__init__``, which
``python -m fuchsiatrestle.control`` imports before its first line runs.
"""

from fuchsiatrestle.control._daemon import ControlDaemon
from fuchsiatrestle.control._settings import SECTIONS
from fuchsiatrestle import daemon

__all__ = ('PROGRAM', 'SECTIONS', 'ControlDaemon')

PROGRAM = daemon.Program('fuchsiatrestle-control', SECTIONS, ControlDaemon)
