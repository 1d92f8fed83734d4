"""Base class of tests that run the whole system as processes."""

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
    """Starts a configured and ready system for each test.

    Attributes:
        process_counts: the ``ProcessCounts``, None for those of the
            demonstration.
        uses_relay: True to put a relay in front of controls and upstreams.
    """

    process_counts = None
    uses_relay = False

    def setUp(self):
        """Starts the system and waits until it is ready.

        If a process exits meanwhile, the error contains the end of its log.
        """
        folder = tempfile.TemporaryDirectory(prefix='fuchsiatrestle-')
        self.addCleanup(folder.cleanup)
        self.cluster = _cluster.Cluster(
            folder.name, self.process_counts, uses_relay=self.uses_relay
        )
        self.addCleanup(self.cluster.kill)
        self.cluster.start()
        self.cluster.wait_until_in_force(self.cluster.configure())
        self.cluster.wait_for_upstreams()
        self.cluster.wait_for_workers()

    # Callers

    def start_callers(self, name, seconds, mix='mixed', callers=6):
        """Starts a load generator, which is killed at the end of the test."""
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

    def call_entry(self, entry, method, target, body=b'', headers=()):
        """Sends one request through the named entry."""
        address = self.cluster.entry_addresses[entry].callers

        async def send():
            client = http.Client(address, CALL_TIMEOUT_S)
            try:
                return await client.call(method, target, body, headers)
            finally:
                client.close()

        return curio.run(send)

    # Checks

    def read_all_runs(self):
        """Returns the ``RunLine`` values of all upstreams."""
        runs_by_upstream = self.cluster.read_runs_by_upstream()
        return [line for runs in runs_by_upstream.values() for line in runs]

    def assert_no_request_breach(self, calls, faults=()):
        """Fails on any breach in the ledgers of callers and upstreams."""
        runs_by_upstream = self.cluster.read_runs_by_upstream()
        runs = [line for lines in runs_by_upstream.values() for line in lines]
        calls_by_entry = self.cluster.group_calls_by_entry(calls)
        breaches = [
            *_checks.check_run_once(runs),
            *_checks.check_not_run(calls, runs),
            *_checks.check_answers(calls, runs),
            *_checks.check_slots(runs_by_upstream),
            *_checks.check_leaving(runs_by_upstream),
            *_checks.check_planned_stops(calls_by_entry, faults),
        ]
        self.assertEqual([], breaches)

    def assert_no_attempt_breach(self, jobs, faults=()):
        """Fails on any breach in the ledgers of the workers."""
        breaches = _checks.check_attempts(
            self.cluster.read_attempt_lines(),
            jobs,
            faults,
            _cluster.WORKER_CPU_MILLI,
            time.monotonic_ns(),
        )
        self.assertEqual([], breaches)

    def assert_clean_stop(self):
        """Stops all processes and fails on any exit status other than 0."""
        exit_statuses = self.cluster.stop()
        nonzero_statuses = {
            name: status for name, status in exit_statuses.items() if status
        }
        self.assertEqual({}, nonzero_statuses)
