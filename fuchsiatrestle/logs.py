"""Structured logging: one line of key=value pairs for each event.

The machinery is python-json-logger's; only its final serialisation is
replaced.  Use the standard call with the fields in ``extra``::

    LOG = logs.get_logger(__name__)
    LOG.info('lease_granted', extra={'peer': 'e1', 'lease_ms': 2000})
"""

import logging
import queue
import re
import sys
import threading

from pythonjsonlogger import json as json_logger

__all__ = (
    'LEVELS',
    'KeyValueFormatter',
    'configure',
    'flush',
    'get_logger',
    'set_level',
)

MAX_WAITING_LINES = 10_000
FLUSH_TIMEOUT_S = 1.0

LEVELS = ('debug', 'info', 'warning', 'error')

_FIELDS = '%(asctime)s %(levelname)s %(name)s %(message)s'
_RENAMED = {
    'asctime': 'time',
    'levelname': 'level',
    'name': 'logger',
    'message': 'event',
}
_PLAIN_VALUE = re.compile(r'[^\s"=\\]+')


def _quote(value):
    text = str(value)
    if _PLAIN_VALUE.fullmatch(text):
        return text
    escaped = text.replace('\\', '\\\\').replace('"', '\\"')
    escaped = escaped.replace('\r', '\\r').replace('\n', '\\n')
    return f'"{escaped}"'


class KeyValueFormatter(json_logger.JsonFormatter):
    """Formats a record as ``key=value`` pairs in place of JSON."""

    def __init__(self):
        super().__init__(_FIELDS, rename_fields=_RENAMED)

    def jsonify_log_record(self, log_record):
        """Serialises the collected fields of one record."""
        return ' '.join(
            f'{key}={_quote(value)}' for key, value in log_record.items()
        )


class _Writer(threading.Thread):
    """Writes formatted lines to a stream that may block."""

    def __init__(self, stream):
        super().__init__(name='log-writer', daemon=True)
        self._stream = stream
        # Finalizers log in the middle of any statement, so that a lock that
        # its own thread can not take again would block all threads for good.
        self._lines = queue.SimpleQueue()
        self._most_waiting = MAX_WAITING_LINES
        self._dropped = 0

    def put(self, line):
        """Takes a line; drops and counts it while too many wait."""
        if self._lines.qsize() >= self._most_waiting:
            self._dropped += 1
        else:
            self._lines.put(line)

    def flush(self):
        """Waits for a short time until all lines are written."""
        written = threading.Event()
        self.put(written.set)
        written.wait(FLUSH_TIMEOUT_S)

    def run(self):
        """Writes until the process ends."""
        while True:
            self._write(self._lines.get())

    def _write(self, line):
        if callable(line):
            line()
            return
        dropped, self._dropped = self._dropped, 0
        if dropped:
            line = f'level=WARNING event=lines_dropped count={dropped}\n{line}'
        try:
            self._stream.write(line + '\n')
            self._stream.flush()
        except (OSError, ValueError):
            # Nobody reads the log any more; the process goes on.
            self._dropped += 1


class _QueueHandler(logging.Handler):
    """Formats in the calling thread and never blocks it."""

    def __init__(self, writer):
        super().__init__()
        self._writer = writer

    def emit(self, record):
        """Hands one line to the writer."""
        try:
            self._writer.put(self.format(record))
        except Exception:
            self.handleError(record)

    def flush(self):
        """Waits until the lines are written."""
        self._writer.flush()


def configure(level='info', stream=None):
    """Directs the root logger to ``stream`` (standard output by default).

    A thread writes the lines, so that a reader that stalls delays nothing;
    what does not fit into its queue is dropped and counted in the log.
    """
    writer = _Writer(stream or sys.stdout)
    writer.start()
    handler = _QueueHandler(writer)
    handler.setFormatter(KeyValueFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    set_level(level)
    # Its informational lines are free text about streams that ended.
    logging.getLogger('grpclib').setLevel(logging.WARNING)


def set_level(level):
    """Sets the lowest level that is logged, one of ``LEVELS``."""
    logging.getLogger().setLevel(level.upper())


def flush():
    """Waits for a short time until all lines are written."""
    for handler in logging.getLogger().handlers:
        handler.flush()


def get_logger(name):
    """Returns the standard logger called ``name``."""
    return logging.getLogger(name)
