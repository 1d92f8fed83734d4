"""Signals of a program, caught before the rest of the program is imported.

A signal that arrives while the program starts waits in a pipe until the
program reads it.  Only the interpreter's own start, before the first line of
the program, is not covered: the default action of the signal ends it then.

This module imports as little as possible, as its import is not covered either.
"""

import functools
import signal
import socket

__all__ = ('STOP_SIGNALS', 'catch_signals')

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class _SignalPipe:
    """Catches the signals of this process.

    Attributes:
        reader: socket that receives the number of each signal as a byte.
        is_stop_requested: True once one of ``STOP_SIGNALS`` has arrived.
    """

    __slots__ = ('is_stop_requested', 'reader')

    def __init__(self):
        self.is_stop_requested = False
        self.reader, writer = socket.socketpair()
        writer.setblocking(False)
        signal.set_wakeup_fd(writer.detach())
        for signum in (*STOP_SIGNALS, signal.SIGHUP):
            signal.signal(signum, self._handle_signal)

    def _handle_signal(self, signum, frame):
        if signum in STOP_SIGNALS:
            self.is_stop_requested = True


@functools.cache
def catch_signals():
    """Catches the signals of this process from now on.

    Returns:
        The only ``_SignalPipe`` of the process.
    """
    return _SignalPipe()
