"""Exit codes of ``fuchsiatrestle-ctl``."""

import enum

__all__ = ('ExitStatus',)


class ExitStatus(enum.IntEnum):
    """Exit code of a command.

    Attributes:
        OK: the command was carried out.
        REFUSED: the command, or a job in it, was refused or not found; what
            was refused changed nothing.
        USAGE: the command line, a settings file or a patch file is wrong.
        CONFLICT: the patch builds on a version that is no longer current.
        UNAVAILABLE: no entry carried the call out; certainly nothing was
            changed.
        UNKNOWN: an answer was lost, so that the command may have been carried
            out.  The same command may be sent again, with the same
            identifier.
        DAMAGED: the data folder holds a damaged record.
    """

    OK = 0
    REFUSED = 1
    USAGE = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    UNKNOWN = 5
    DAMAGED = 6
