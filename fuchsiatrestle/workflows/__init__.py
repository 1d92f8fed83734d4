"""Runs the tasks of workflows on workers: what the leader decides.

``Dispatcher`` is the core.  It takes announcements of workers, answers to its
orders and what was agreed, and returns orders for workers and progress to be
agreed.  A run is agreed before it is started and an end is agreed before the
worker is told to forget it, so that a new leader finds all of both.

A ``Driver`` carries the orders to the workers; it is a port with one
implementation for each protocol that workers speak.
"""

from fuchsiatrestle.workflows import _events
from fuchsiatrestle.workflows import _settings
from fuchsiatrestle.workflows._dispatcher import Dispatcher  # noqa: H306
from fuchsiatrestle.workflows._driver import Driver
from fuchsiatrestle.workflows._events import *
from fuchsiatrestle.workflows._settings import *

__all__ = _events.__all__ + _settings.__all__ + ('Dispatcher', 'Driver')
