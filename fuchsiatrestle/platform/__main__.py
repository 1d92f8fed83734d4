"""Command ``python -m fuchsiatrestle.platform entry|control``."""

import os
import sys

from fuchsiatrestle import signals

__all__ = ('main',)

SETTINGS_VARIABLE = 'FUCHSIATRESTLE_BOOT'
USAGE_STATUS = 2


def main(argv):
    """Runs one of ``_programs.PROGRAMS``; ends the process.

    The path of the settings file is taken from ``SETTINGS_VARIABLE`` in the
    environment; without it the flags in ``argv`` have to name the file.

    Args:
        argv: command line of the process; its second word is the program.
    """
    signals.catch_signals()
    # Imported here, as the import of the programs takes long enough for a
    # signal to arrive meanwhile.
    from fuchsiatrestle import daemon
    from fuchsiatrestle.platform import _programs

    program_name = argv[1] if len(argv) > 1 else ''
    program = _programs.PROGRAMS.get(program_name)
    if program is None:
        print(f'usage: {argv[0]} {"|".join(_programs.PROGRAMS)}')
        sys.exit(USAGE_STATUS)
    settings_path = os.environ.get(SETTINGS_VARIABLE)
    config_flags = [f'--config={settings_path}'] if settings_path else []
    sys.argv = [argv[0], *config_flags, *argv[2:]]
    daemon.run(program)


if __name__ == '__main__':
    main(sys.argv)
