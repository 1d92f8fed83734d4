"""Command ``fuchsiatrestle-control``."""

from fuchsiatrestle.control import _daemon
from fuchsiatrestle.control import _settings
from fuchsiatrestle import daemon

__all__ = ('PROGRAM', 'run')

PROGRAM = daemon.Program(
    'fuchsiatrestle-control', _settings.SECTIONS, _daemon.ControlDaemon
)


def run():
    """Runs the daemon and exits."""
    daemon.run(PROGRAM)


if __name__ == '__main__':
    run()
