"""Exit codes of ``fuchsiatrestle-ctl``."""

import enum

__all__ = ('ExitStatus',)


class ExitStatus(enum.IntEnum):
    """What the exit code of a command says.

    Attributes:
        OK: done as asked.
        REFUSED: refused or not found; nothing was changed by what was
            refused.
        USAGE: the command line, a settings file or a patch file is wrong.
        CONFLICT: the patch builds on a version that is no longer current.
        UNAVAILABLE: no entry could do it; certainly nothing was changed.
        UNKNOWN: an answer was lost; it may have been done.  Send the same
            command again, with the same identifier.
        DAMAGED: the data folder holds a damaged record.
    """

    OK = 0
    REFUSED = 1
    USAGE = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    UNKNOWN = 5
    DAMAGED = 6
