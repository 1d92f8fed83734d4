"""``fuchsiatrestle-ctl``: the operators' command line.

Online commands call the administration API of an entry; ``snapshot`` and
``log`` read a data folder in place.  ``ExitStatus`` documents the exit codes.
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
