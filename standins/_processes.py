"""Child processes of the stand-ins: started, frozen, killed, stopped."""

import os
import pathlib
import re
import signal
import subprocess
import sys
import time

from fuchsiatrestle import errors

__all__ = ('Process', 'wait_until')

ROOT = pathlib.Path(__file__).resolve().parent.parent
STOP_TIMEOUT_S = 30.0
POLL_S = 0.05

_STARTED = re.compile(rb'event=(started|upstream_ready|worker_ready)\b')


def wait_until(condition, timeout_s, what):
    """Waits until ``condition()`` is true and returns its value.

    Raises:
        errors.Error: it did not become true in time.
    """
    deadline_s = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > deadline_s:
            raise errors.Error(
                f'not within {timeout_s} s: {what}', step='wait_until'
            )
        time.sleep(POLL_S)


class Process:
    """One child process, restartable with the same command line.

    Args:
        name: unique name, also of its log file.
        module: module that ``python -m`` runs.
        arguments: command line arguments.
        folder: where the log file goes.
    """

    def __init__(self, name, module, arguments, folder):
        self.name = name
        self.starts = 0
        self.frozen = False
        self.log_path = os.path.join(folder, f'{name}.log')
        self._argv = [sys.executable, '-m', module, *arguments]
        self._popen = None
        self._log_start = 0

    @property
    def pid(self):
        """Process id of the latest start."""
        return self._popen.pid

    @property
    def running(self):
        """True unless it was never started or has ended."""
        return self._popen is not None and self._popen.poll() is None

    @property
    def exit_status(self):
        """Exit status of the latest start, None while it runs."""
        return self._popen.poll()

    def start(self):
        """Starts it; the log file is appended to."""
        self.starts += 1
        self.frozen = False
        with open(self.log_path, 'ab') as log:
            self._log_start = log.tell()
            self._popen = subprocess.Popen(
                self._argv,
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def has_started(self):
        """True once the latest start has logged that it is at work."""
        with open(self.log_path, 'rb') as log:
            log.seek(self._log_start)
            return _STARTED.search(log.read()) is not None

    def kill(self):
        """Kills it without warning."""
        self._popen.kill()
        self._popen.wait()
        self.frozen = False

    def freeze(self):
        """Stops it from running until ``resume``."""
        self._popen.send_signal(signal.SIGSTOP)
        self.frozen = True

    def resume(self):
        """Lets a frozen process go on."""
        self._popen.send_signal(signal.SIGCONT)
        self.frozen = False

    def ask_to_stop(self):
        """Sends SIGTERM."""
        if self.frozen:
            self.resume()
        self._popen.send_signal(signal.SIGTERM)

    def wait(self, timeout_s=STOP_TIMEOUT_S):
        """Waits for the end; returns the exit status, killing it if late.

        Raises:
            errors.Error: it did not end in time and was killed.
        """
        try:
            return self._popen.wait(timeout_s)
        except subprocess.TimeoutExpired as exc:
            self.kill()
            raise errors.Error(
                f'did not end within {timeout_s} s, killed',
                step='stop',
                peer=self.name,
            ) from exc

    def stop(self, timeout_s=STOP_TIMEOUT_S):
        """Asks it to stop and waits; returns the exit status."""
        self.ask_to_stop()
        return self.wait(timeout_s)

    def last_log_lines(self, count=5):
        """Returns the end of the log, for error messages."""
        with open(self.log_path, encoding='utf-8', errors='replace') as log:
            return ''.join(log.readlines()[-count:])
