"""Base of the tests that run the whole system as processes."""

import tempfile
import time
import unittest

import curio

from fuchsiatrestle.net import http
from standins import _callers
from standins import _checks
from standins import _cluster

__all__ = ('SystemTest',)

CALL_TIMEOUT_S = 10.0


class SystemTest(unittest.TestCase):
    """Starts one system for each test, configured and ready.

    Attributes:
        sizes: what to start, the demonstration's sizes by default.
        relayed: True to put a relay before controls and upstreams.
    """

    sizes = None
    relayed = False

    def setUp(self):
        """Starts the system; a failing test shows the ends of its logs."""
        folder = tempfile.TemporaryDirectory(prefix='fuchsiatrestle-')
        self.addCleanup(folder.cleanup)
        self.cluster = _cluster.Cluster(
            folder.name, self.sizes, relayed=self.relayed
        )
        self.addCleanup(self.cluster.kill)
        self.cluster.start()
        self.cluster.wait_in_force(self.cluster.configure())
        self.cluster.wait_for_upstreams()
        self.cluster.wait_for_workers()

    # Callers

    def start_callers(self, name, seconds, mix='mixed', callers=6):
        """Starts a load generator; it is ended with the test."""
        caller = _callers.CallerProcess(
            self.cluster,
            name,
            seconds=seconds,
            seed=1,
            mix=mix,
            callers=callers,
        )
        self.addCleanup(caller.kill)
        return caller

    def call(self, entry, method, target, body=b'', headers=()):
        """Sends one request through the named entry."""
        address = self.cluster.entry_ports[entry].callers

        async def send():
            client = http.Client(address, CALL_TIMEOUT_S)
            try:
                return await client.call(method, target, body, headers)
            finally:
                client.close()

        return curio.run(send)

    # Verdicts

    def all_runs(self):
        """Returns the ``RunLine`` values of all upstreams."""
        by_upstream = self.cluster.runs_by_upstream()
        return [line for runs in by_upstream.values() for line in runs]

    def assert_sound(self, calls, faults=()):
        """Fails on any breach that the ledgers of a load show."""
        by_upstream = self.cluster.runs_by_upstream()
        runs = [line for lines in by_upstream.values() for line in lines]
        by_entry = self.cluster.by_entry(calls)
        breaches = [
            *_checks.check_run_once(runs),
            *_checks.check_not_run(calls, runs),
            *_checks.check_answers(calls, runs),
            *_checks.check_slots(by_upstream),
            *_checks.check_leaving(by_upstream),
            *_checks.check_planned_stops(by_entry, faults),
        ]
        self.assertEqual([], breaches)

    def assert_attempts_sound(self, jobs, faults=()):
        """Fails on any breach that the workers' ledgers show."""
        breaches = _checks.check_attempts(
            self.cluster.attempts(),
            jobs,
            faults,
            _cluster.WORKER_CPU_MILLI,
            time.monotonic_ns(),
        )
        self.assertEqual([], breaches)

    def assert_planned_stop(self):
        """Stops everything and demands exit status 0 of each."""
        statuses = self.cluster.stop()
        failed = {name: code for name, code in statuses.items() if code}
        self.assertEqual({}, failed)
