"""Command ``MODULE PROGRAM [ARG ...]``: runs a program that is told to stop.

``PROGRAM`` runs like ``python -m PROGRAM``; the process sends SIGTERM to
itself right before it first imports ``MODULE``.
"""

import importlib.abc
import os
import runpy
import signal
import sys

__all__ = ('main',)


class _SignallingFinder(importlib.abc.MetaPathFinder):
    """Sends SIGTERM to this process once a module is looked for.

    Args:
        module_name: name of the module.
    """

    def __init__(self, module_name):
        self._module_name = module_name

    def find_spec(self, fullname, path, target=None):
        """Finds nothing; the other finders find the module."""
        if fullname == self._module_name:
            os.kill(os.getpid(), signal.SIGTERM)
        return None


def main(argv):
    """Runs the program that the command line names."""
    module_name, program_name, *args = argv[1:]
    sys.meta_path.insert(0, _SignallingFinder(module_name))
    sys.argv = [program_name, *args]
    runpy.run_module(program_name, run_name='__main__', alter_sys=True)


if __name__ == '__main__':
    main(sys.argv)
