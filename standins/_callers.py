"""Runs the stand-in callers (``standins.caller``) as a child process."""

import json
import subprocess
import sys

from standins import _ledgers
from standins import _processes

__all__ = ('CallerProcess',)

DEFAULT_CALLER_COUNT = 6
MEAN_PAUSE_MS = 40
# Time allowed for the process to exit after the time of sending, as the last
# requests may be resent.
END_TIMEOUT_S = 120.0


class CallerProcess:
    """Load generator process, started by the constructor.

    Args:
        cluster: the ``Cluster`` whose entries are called.
        name: prefix of the request ids, and name of the ledger file.
        seconds: how long requests are sent, in seconds.
        seed: seed of the kinds of requests and of the pauses.
        mix: name of a mix in ``caller.MIXES``.
        callers: number of concurrent callers.
    """

    def __init__(
        self,
        cluster,
        name,
        *,
        seconds,
        seed,
        mix='mixed',
        callers=DEFAULT_CALLER_COUNT,
    ):
        self._ledger_path = cluster.ledger_path(name)
        argv = [
            sys.executable,
            '-m',
            'standins.caller',
            *(f'--entry={addr}' for addr in cluster.caller_addresses),
            f'--ledger={self._ledger_path}',
            f'--name={name}',
            f'--callers={callers}',
            f'--pause_ms={MEAN_PAUSE_MS}',
            f'--seconds={seconds}',
            f'--seed={seed}',
            f'--mix={mix}',
        ]
        self._seconds = seconds
        self._popen = subprocess.Popen(
            argv,
            cwd=_processes.ROOT,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            text=True,
        )

    def wait(self):
        """Waits until the process exits; returns its report as a dict.

        Raises:
            subprocess.TimeoutExpired: it did not exit in time.
        """
        report_text, _ = self._popen.communicate(
            timeout=self._seconds + END_TIMEOUT_S
        )
        return json.loads(report_text)

    def kill(self):
        """Kills the process if it still runs."""
        if self._popen.poll() is None:
            self._popen.kill()
            self._popen.wait()

    def read_calls(self):
        """Returns the ``CallLine`` values of its ledger."""
        return _ledgers.read_ledger(self._ledger_path, _ledgers.CallLine)
