"""Entry point of the program ``fuchsiatrestle-entry``."""

from fuchsiatrestle import daemon
from fuchsiatrestle.entry import _daemon
from fuchsiatrestle.entry import _settings

__all__ = ('run',)

PROGRAM = daemon.Program(
    'fuchsiatrestle-entry', _settings.SECTIONS, _daemon.EntryDaemon
)


def run():
    """Runs the entry daemon and exits the process with its exit status."""
    daemon.run(PROGRAM)


if __name__ == '__main__':
    run()
