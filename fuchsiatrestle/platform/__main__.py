"""Command ``python -m fuchsiatrestle.platform entry|control``."""

import os
import sys

from fuchsiatrestle import daemon
from fuchsiatrestle.platform import _programs

__all__ = ('main',)

SETTINGS_VARIABLE = 'FUCHSIATRESTLE_BOOT'
USAGE_STATUS = 2


def main(argv):
    """Runs a program with the settings file that the platform names."""
    name = argv[1] if len(argv) > 1 else ''
    program = _programs.PROGRAMS.get(name)
    if program is None:
        print(f'usage: {argv[0]} {"|".join(_programs.PROGRAMS)}')
        sys.exit(USAGE_STATUS)
    path = os.environ.get(SETTINGS_VARIABLE)
    config = [f'--config={path}'] if path else []
    sys.argv = [argv[0], *config, *argv[2:]]
    daemon.run(program)


if __name__ == '__main__':
    main(sys.argv)
