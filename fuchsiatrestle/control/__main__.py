"""Entry point of the program ``fuchsiatrestle-control``."""

from fuchsiatrestle import signals

__all__ = ('run',)


def run():
    """Runs the control daemon and exits the process with its exit status."""
    signals.catch_signals()
    # Imported here, as the import of a daemon takes long enough for a signal
    # to arrive meanwhile.
    from fuchsiatrestle.control import program
    from fuchsiatrestle import daemon

    daemon.run(program.PROGRAM)


if __name__ == '__main__':
    run()
