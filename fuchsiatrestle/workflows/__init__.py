"""Decides, on the leader, where and when the tasks of workflows run.

``Dispatcher`` makes the decisions, as a ``core.Core``, without I/O.  A command
is agreed when it is committed to the replicated log.  The dispatcher is given
the announcements of workers, their replies to its orders and the commands that
were agreed, and returns orders to workers and progress to be agreed.  The
placement of a run is agreed before its start is sent, and the end of the run
is agreed before the worker is told to forget that end, so that a new leader
learns of every run and every end of a run.

A ``Driver`` carries the orders to the workers; there is one implementation
for each protocol that workers speak.
"""

from fuchsiatrestle.workflows import _events
from fuchsiatrestle.workflows import _settings
from fuchsiatrestle.workflows._dispatcher import Dispatcher  # noqa: H306
from fuchsiatrestle.workflows._driver import Driver
from fuchsiatrestle.workflows._driver import MAX_SEND_MS
from fuchsiatrestle.workflows._events import *
from fuchsiatrestle.workflows._settings import *
from fuchsiatrestle.workflows._silence_times import SilenceTimes

__all__ = (
    _events.__all__
    + _settings.__all__
    + ('MAX_SEND_MS', 'Dispatcher', 'Driver', 'SilenceTimes')
)
