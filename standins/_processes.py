"""Child processes that can be frozen, killed, stopped and restarted."""

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
POLL_INTERVAL_S = 0.05

_STARTED_EVENT = re.compile(rb'event=(started|upstream_ready|worker_ready)\b')


def wait_until(condition, timeout_s, description):
    """Waits until ``condition()`` returns a true value; returns that value.

    Args:
        condition: function that is called every ``POLL_INTERVAL_S``.
        timeout_s: longest wait, in seconds.
        description: text that says in errors what was waited for.

    Raises:
        errors.Error: the condition did not become true in time.
    """
    deadline_s = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > deadline_s:
            raise errors.Error(
                f'timed out after {timeout_s} s waiting for: {description}',
                step='wait_until',
            )
        time.sleep(POLL_INTERVAL_S)


class Process:
    """A child process that can be restarted with the same command line.

    Args:
        name: unique name, also of its log file.
        module: module that ``python -m`` runs.
        arguments: command line arguments.
        folder: folder of the log file.

    Attributes:
        name: the name given.
        starts: number of times it was started.
        frozen: True while it is stopped by SIGSTOP.
        log_path: path of the log file, which all starts append to.
    """

    def __init__(self, name, module, arguments, folder):
        self.name = name
        self.starts = 0
        self.frozen = False
        self.log_path = os.path.join(folder, f'{name}.log')
        self._argv = [sys.executable, '-m', module, *arguments]
        self._popen = None
        self._log_offset_bytes = 0

    @property
    def pid(self):
        """Id of the process that was started last."""
        return self._popen.pid

    @property
    def running(self):
        """True if the process was started and has not exited."""
        return self._popen is not None and self._popen.poll() is None

    @property
    def exit_status(self):
        """Exit status of the process started last, None while it runs."""
        return self._popen.poll()

    def start(self):
        """Starts the process; its output is appended to the log file."""
        self.starts += 1
        self.frozen = False
        with open(self.log_path, 'ab') as log:
            self._log_offset_bytes = log.tell()
            self._popen = subprocess.Popen(
                self._argv,
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def has_started(self):
        """Returns True once the started process has logged that it serves."""
        with open(self.log_path, 'rb') as log:
            log.seek(self._log_offset_bytes)
            return _STARTED_EVENT.search(log.read()) is not None

    def kill(self):
        """Sends SIGKILL and waits until the process has exited."""
        self._popen.kill()
        self._popen.wait()
        self.frozen = False

    def freeze(self):
        """Sends SIGSTOP, which suspends the process until ``resume``."""
        self._popen.send_signal(signal.SIGSTOP)
        self.frozen = True

    def resume(self):
        """Sends SIGCONT, which lets a frozen process continue."""
        self._popen.send_signal(signal.SIGCONT)
        self.frozen = False

    def ask_to_stop(self):
        """Sends SIGTERM, after resuming a frozen process."""
        if self.frozen:
            self.resume()
        self._popen.send_signal(signal.SIGTERM)

    def wait(self, timeout_s=STOP_TIMEOUT_S):
        """Waits until the process exits; returns the exit status.

        Raises:
            errors.Error: it did not exit within ``timeout_s`` and was killed.
        """
        try:
            return self._popen.wait(timeout_s)
        except subprocess.TimeoutExpired as exc:
            self.kill()
            raise errors.Error(
                f'did not exit within {timeout_s} s and was killed',
                step='stop',
                peer=self.name,
            ) from exc

    def stop(self, timeout_s=STOP_TIMEOUT_S):
        """Sends SIGTERM and waits; returns the exit status.

        Raises:
            errors.Error: it did not exit within ``timeout_s`` and was killed.
        """
        self.ask_to_stop()
        return self.wait(timeout_s)

    def last_log_lines(self, count=5):
        """Returns the last ``count`` lines of the log, for error messages."""
        with open(self.log_path, encoding='utf-8', errors='replace') as log:
            return ''.join(log.readlines()[-count:])
