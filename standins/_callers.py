"""The stand-in callers as a child process."""

import json
import subprocess
import sys

from standins import _ledgers
from standins import _processes

__all__ = ('CallerProcess',)

CALLERS = 6
PAUSE_MS = 40
GRACE_S = 120.0


class CallerProcess:
    """A load generator, started at once.

    Args:
        cluster: the ``Cluster`` whose entries it calls.
        name: prefix of its request ids, and of its ledger file.
        seconds: how long it sends.
        seed: of its kinds and pauses.
        mix: one of ``caller.MIXES``.
        callers: callers at once.
    """

    def __init__(
        self, cluster, name, *, seconds, seed, mix='mixed', callers=CALLERS
    ):
        self._ledger = cluster.ledger_path(name)
        argv = [
            sys.executable,
            '-m',
            'standins.caller',
            *(f'--entry={addr}' for addr in cluster.caller_addresses),
            f'--ledger={self._ledger}',
            f'--name={name}',
            f'--callers={callers}',
            f'--pause_ms={PAUSE_MS}',
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
        """Waits for its end; returns its report, a dict."""
        text, _ = self._popen.communicate(timeout=self._seconds + GRACE_S)
        return json.loads(text)

    def kill(self):
        """Ends it if it still runs."""
        if self._popen.poll() is None:
            self._popen.kill()
            self._popen.wait()

    def lines(self):
        """Returns its ``CallLine`` values."""
        return _ledgers.read_ledger(self._ledger, _ledgers.CallLine)
