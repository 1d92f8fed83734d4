"""Structured logging: one line of key=value pairs for each event.

The formatter is that of python-json-logger, apart from the last step, which
writes pairs in place of JSON, and from a shorter way for plain events, as a
leader logs hundreds of them a second.  Events are logged by the standard
calls, with fields in ``extra``::

    LOG = logs.get_logger(__name__)
    LOG.info('lease_granted', extra={'peer': 'e1', 'lease_ms': 2000})
"""

import logging
import queue
import re
import sys
import threading

from pythonjsonlogger import core as json_core
from pythonjsonlogger import json as json_logger

__all__ = (
    'LEVELS',
    'KeyValueFormatter',
    'configure',
    'flush',
    'get_logger',
    'set_level',
)

# Lines that may wait for the writer; further ones are dropped.
MAX_WAITING_LINES = 10_000
# Longer lines lose their middle, as clients choose some of what is logged and
# waiting lines take memory.
MAX_LINE_CHARS = 4096
FLUSH_TIMEOUT_S = 1.0

LEVELS = ('debug', 'info', 'warning', 'error')

_RECORD_FORMAT = '%(asctime)s %(levelname)s %(name)s %(message)s'
_KEY_BY_ATTRIBUTE = {
    'asctime': 'time',
    'levelname': 'level',
    'name': 'logger',
    'message': 'event',
}
_UNQUOTED_VALUE = re.compile(r'[^\s"=\\]+')
# Attributes that each log record has; all others are fields of the event.
_RECORD_ATTRIBUTES = frozenset(
    vars(logging.LogRecord('', 0, '', 0, '', (), None))
) | {'message', 'asctime', *json_core.RESERVED_ATTRS}


def _quote_value(value):
    """Returns a value as text, in quotes and escaped where needed."""
    text = str(value)
    if _UNQUOTED_VALUE.fullmatch(text):
        return text
    escaped = text.replace('\\', '\\\\').replace('"', '\\"')
    escaped = escaped.replace('\r', '\\r').replace('\n', '\\n')
    return f'"{escaped}"'


class KeyValueFormatter(json_logger.JsonFormatter):
    """Formats a log record as one line of ``key=value`` pairs."""

    def __init__(self):
        super().__init__(_RECORD_FORMAT, rename_fields=_KEY_BY_ATTRIBUTE)
        # Second of the last record and its text.
        self._time_text = (None, '')

    def format(self, record):
        """Returns the line for a log record.

        Args:
            record: the ``logging.LogRecord``.
        """
        is_plain = (
            isinstance(record.msg, str)
            and not record.args
            and not record.exc_info
            and not record.exc_text
            and not record.stack_info
        )
        if not is_plain:
            return super().format(record)
        fields = [
            f'time="{self._format_time(record)}"',
            f'level={record.levelname}',
            f'logger={record.name}',
            f'event={_quote_value(record.msg)}',
        ]
        for key, value in vars(record).items():
            if key not in _RECORD_ATTRIBUTES:
                fields.append(f'{key}={_quote_value(value)}')
        return ' '.join(fields)

    def _format_time(self, record):
        """Returns the same text as ``formatTime``, with a date a second."""
        second = int(record.created)
        if second != self._time_text[0]:
            date = self.formatTime(record, self.default_time_format)
            self._time_text = (second, date)
        return f'{self._time_text[1]},{int(record.msecs):03d}'

    def jsonify_log_record(self, log_record):
        """Returns the line for the fields of one log record.

        Args:
            log_record: values of the fields, by key.
        """
        return ' '.join(
            f'{key}={_quote_value(value)}' for key, value in log_record.items()
        )


class _LineWriter(threading.Thread):
    """Thread that writes formatted lines to a stream that may block.

    Args:
        stream: the text stream.
    """

    def __init__(self, stream):
        super().__init__(name='log-writer', daemon=True)
        self._stream = stream
        # A finalizer may run, and log, in a thread that is inside ``put``.
        # With a lock that is not reentrant, as in ``queue.Queue``, all threads
        # that log would deadlock; ``SimpleQueue`` is reentrant.
        self._items = queue.SimpleQueue()
        self._max_waiting_items = MAX_WAITING_LINES
        self._dropped_count = 0

    def put(self, item):
        """Queues an item; drops and counts it while too many are waiting.

        Args:
            item: a line, or a function that is called after the lines before
                it have been written.
        """
        if self._items.qsize() >= self._max_waiting_items:
            self._dropped_count += 1
        else:
            if isinstance(item, str) and len(item) > MAX_LINE_CHARS:
                item = ' [cut] '.join(
                    (item[: MAX_LINE_CHARS // 2], item[-MAX_LINE_CHARS // 2 :])
                )
            self._items.put(item)

    def flush(self):
        """Waits until all lines are written, at most FLUSH_TIMEOUT_S."""
        written_event = threading.Event()
        self.put(written_event.set)
        written_event.wait(FLUSH_TIMEOUT_S)

    def run(self):
        """Writes queued lines until the process ends."""
        while True:
            self._write_item(self._items.get())

    def _write_item(self, item):
        if callable(item):
            item()
            return
        dropped_count, self._dropped_count = self._dropped_count, 0
        if dropped_count:
            item = (
                f'level=WARNING event=lines_dropped count={dropped_count}\n'
                f'{item}'
            )
        try:
            self._stream.write(item + '\n')
            self._stream.flush()
        except (OSError, ValueError):
            # The stream is closed or has no reader any more.  The line is
            # dropped; the process goes on.
            self._dropped_count += 1


class _QueueHandler(logging.Handler):
    """Formats lines in the calling thread and queues them without blocking."""

    def __init__(self, writer):
        super().__init__()
        self._writer = writer

    def emit(self, record):
        """Formats a log record and passes the line to the writer."""
        try:
            self._writer.put(self.format(record))
        except Exception:
            self.handleError(record)

    def flush(self):
        """Waits until all lines are written, at most FLUSH_TIMEOUT_S."""
        self._writer.flush()


def configure(level='info', stream=None):
    """Makes all loggers write to ``stream``.

    A thread of its own writes the lines, so that a stalled reader does not
    delay the process.  Lines that do not fit into its queue are dropped; the
    next line written is preceded by one that gives their number.

    Args:
        level: lowest level that is logged, one of ``LEVELS``.
        stream: text stream to write to, standard output if None.
    """
    # No line contains these; finding them would cost time for each line.
    logging._srcfile = None
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
    writer = _LineWriter(stream or sys.stdout)
    writer.start()
    handler = _QueueHandler(writer)
    handler.setFormatter(KeyValueFormatter())
    root_logger = logging.getLogger()
    root_logger.handlers[:] = [handler]
    set_level(level)
    # The info messages of grpclib are free text about ended streams, not
    # events.
    logging.getLogger('grpclib').setLevel(logging.WARNING)


def set_level(level):
    """Sets the lowest level that is logged, one of ``LEVELS``."""
    logging.getLogger().setLevel(level.upper())


def flush():
    """Waits until all lines are written, at most FLUSH_TIMEOUT_S a handler."""
    for handler in logging.getLogger().handlers:
        handler.flush()


def get_logger(name):
    """Returns the standard logger called ``name``."""
    return logging.getLogger(name)
