"""Tests of the agreed list of workers that get no leases.

They guard against a worker that is listed for ever, and against one that a
restart or snapshot takes off the list.
"""

import unittest

from fuchsiatrestle import records
from fuchsiatrestle.state import _workflows
from fuchsiatrestle.state import commands
from fuchsiatrestle.state import machine
from fuchsiatrestle.state import workflows

RECORD = workflows.WorkerRecord('w', 1, 'host:1', 'pool', 'dc', 1, 1, 0, [])


class SilentWorkersTest(unittest.TestCase):
    def setUp(self):
        self.machine = machine.StateMachine()
        self._record(workers=[RECORD])

    def _record(self, **changes):
        """Applies a ``RecordProgress``; returns its log index."""
        index = self.machine.applied_index + 1
        self.machine.apply(
            index, commands.RecordProgress(index, index, **changes)
        )
        snapshot = self.machine.snapshot()
        self.machine = machine.StateMachine()
        self.machine.restore(snapshot)
        return index

    def _silent_workers(self):
        return self.machine.workflows.silent_workers

    def test_worker_is_listed_until_it_is_heard(self):
        index = self._record(silent=['w'])
        self.assertEqual({'w': index}, self._silent_workers())
        self._record(silent=['w'])
        self.assertEqual({'w': index}, self._silent_workers())
        self._record(heard=['w'])
        self.assertEqual({}, self._silent_workers())
        self.assertEqual(
            {'w': self._record(silent=['w'])}, self._silent_workers()
        )

    def test_unknown_workers_are_not_listed(self):
        self._record(silent=['x'], heard=['y'])
        self.assertEqual({}, self._silent_workers())

    def test_next_process_of_the_worker_is_listed(self):
        index = self._record(silent=['w'])
        next_record = workflows.WorkerRecord(
            'w', 2, 'host:1', 'pool', 'dc', 1, 1, 0, []
        )
        self._record(workers=[next_record])
        self.assertEqual({'w': index}, self._silent_workers())

    def test_snapshot_of_a_build_without_the_list(self):
        part = self.machine.workflows
        state = records.Codec(_workflows._PartState).decode(part.snapshot())
        fields = [
            getattr(state, name) for name in state.__struct_fields__[:-1]
        ]
        part.restore(
            records.Codec(_workflows._PartState).encode(
                _workflows._PartState(*fields)
            )
        )
        self.assertEqual({}, part.silent_workers)


if __name__ == '__main__':
    unittest.main()
