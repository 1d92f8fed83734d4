"""The entry daemon with its settings, as its program runs it."""

from fuchsiatrestle import daemon
from fuchsiatrestle.entry import _daemon
from fuchsiatrestle.entry import _settings

__all__ = ('PROGRAM',)

PROGRAM = daemon.Program(
    'fuchsiatrestle-entry', _settings.SECTIONS, _daemon.EntryDaemon
)
