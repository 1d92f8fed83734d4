"""``fuchsiatrestle-ctl``: the operators' command line.

Most commands call the administration API of an entry; those of ``snapshot``
and ``log`` read the data folder of a control replica on the same machine.
``ExitStatus`` documents the exit codes.
"""

from fuchsiatrestle.ctl._client import AdminClient
from fuchsiatrestle.ctl._client import CallFailed
from fuchsiatrestle.ctl._client import Reply
from fuchsiatrestle.ctl._exits import ExitStatus

__all__ = (
    'AdminClient',
    'CallFailed',
    'ExitStatus',
    'Reply',
)
