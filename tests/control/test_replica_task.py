"""Tests of the task that owns the agreement core."""

import unittest

import curio

from fuchsiatrestle.control import _events
from fuchsiatrestle.control import _replica_task
from fuchsiatrestle import errors
from tests.fakes import stops


class ReplicaTaskTest(unittest.TestCase):
    def test_a_stop_between_run_and_put_does_not_hang(self):
        def make_queue():
            task = _replica_task.ReplicaTask(None, None, curio.Queue(), None)
            # An event that needs no replica.
            event = _events.DataFolderFailed(errors.Error('disk', step='sync'))

            def put_event():
                task.inbox.put(event)

            return task.run, put_event

        self.assertEqual([], stops.find_hanging_stops(make_queue))
