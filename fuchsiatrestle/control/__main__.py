"""Entry point of the program ``fuchsiatrestle-control``."""

from fuchsiatrestle.control import _daemon
from fuchsiatrestle.control import _settings
from fuchsiatrestle import daemon

__all__ = ('PROGRAM', 'run')

PROGRAM = daemon.Program(
    'fuchsiatrestle-control', _settings.SECTIONS, _daemon.ControlDaemon
)


def run():
    """Runs the control daemon and exits the process with its exit status."""
    daemon.run(PROGRAM)


if __name__ == '__main__':
    run()
