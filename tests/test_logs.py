"""Tests of the log format and of the thread that writes the lines."""

import io
import logging
import subprocess
import sys
import threading
import unittest
from unittest import mock

from pythonjsonlogger import json as json_logger

from fuchsiatrestle import logs


class KeyValueFormatterTest(unittest.TestCase):
    def test_one_line_with_quoted_values(self):
        stream = io.StringIO()
        handler = logging.StreamHandler(stream)
        handler.setFormatter(logs.KeyValueFormatter())
        logger = logging.Logger('unit')
        logger.addHandler(handler)
        logger.info('refused', extra={'peer': 'e1', 'why': 'two\nlines "x"'})
        line = stream.getvalue()
        self.assertEqual(1, line.count('\n'))
        self.assertIn(' level=INFO logger=unit event=refused peer=e1 ', line)
        self.assertIn('why="two\\nlines \\"x\\""', line)

    def test_short_way_gives_the_line_of_the_library(self):
        formatter = logs.KeyValueFormatter()
        for number, fields in enumerate(
            (
                {},
                {'peer': 'e1', 'why': 'two\nlines "x"', 'empty': ''},
                {'count': 3, 'share': 0.25, 'flag': True, 'none': None},
                {'list': [1, 'a b'], 'event_id': 'é'},
            )
        ):
            with self.subTest(fields=fields):
                record = logging.LogRecord(
                    'a.b', logging.INFO, 'path', 1, 'an event', (), None
                )
                record.created = 1_700_000_000 + number / 3
                record.msecs = (record.created % 1) * 1000
                vars(record).update(fields)
                expected = json_logger.JsonFormatter.format(formatter, record)
                self.assertEqual(expected, formatter.format(record))

    def test_error_with_traceback_is_one_line(self):
        try:
            raise ValueError('no\nway')
        except ValueError:
            record = logging.LogRecord(
                'a', logging.ERROR, 'p', 1, 'failed', (), sys.exc_info()
            )
        line = logs.KeyValueFormatter().format(record)
        self.assertNotIn('\n', line)
        self.assertIn('ValueError', line)


# Collects garbage all the time, so that finalizers log while their thread is
# inside a logging call.
_FINALIZER_PROGRAM = """
import gc
import io
import threading
from fuchsiatrestle import logs

class Garbage:
    def __init__(self):
        self.itself = self

    def __del__(self):
        LOG.info('collected')

def log_many():
    for number in range(8000):
        Garbage()
        LOG.info('line', extra={'number': number})

logs.configure('info', io.StringIO())
LOG = logs.get_logger('unit')
gc.set_threshold(1)
threads = [threading.Thread(target=log_many) for _ in range(3)]
for thread in threads:
    thread.start()
for thread in threads:
    thread.join()
"""


class _StalledStream(io.StringIO):
    """Stream whose reader stalls: writes block until ``released`` is set."""

    def __init__(self):
        super().__init__()
        self.released = threading.Event()

    def write(self, text):
        """Waits until ``released`` is set, then writes the text."""
        self.released.wait()
        return super().write(text)


class ConfigureTest(unittest.TestCase):
    def setUp(self):
        root = logging.getLogger()
        handlers, level = root.handlers[:], root.level
        self.addCleanup(root.setLevel, level)
        self.addCleanup(root.handlers.__setitem__, slice(None), handlers)

    def test_reader_that_stalls_delays_nothing(self):
        stream = _StalledStream()
        self.addCleanup(stream.released.set)
        with mock.patch.object(logs, 'MAX_WAITING_LINES', 10):
            logs.configure('info', stream)
        for number in range(50):
            logs.get_logger('unit').info('line', extra={'number': number})
        stream.released.set()
        logs.flush()
        logs.get_logger('unit').info('last')
        logs.flush()
        text = stream.getvalue()
        self.assertIn('event=lines_dropped count=', text)
        self.assertIn('event=last', text)
        self.assertLess(text.count('event=line '), 20)

    def test_finalizers_that_log_block_nothing(self):
        subprocess.run(
            [sys.executable, '-c', _FINALIZER_PROGRAM],
            check=True,
            timeout=20,
        )

    def test_level_can_change(self):
        stream = io.StringIO()
        logs.configure('warning', stream)
        logs.get_logger('unit').info('quiet')
        logs.set_level('info')
        logs.get_logger('unit').info('loud')
        logs.flush()
        self.assertNotIn('event=quiet', stream.getvalue())
        self.assertIn('event=loud', stream.getvalue())
