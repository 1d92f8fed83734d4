"""Structured logging: one line of key=value pairs for each event.

The machinery is python-json-logger's; only its final serialisation is
replaced.  Use the standard call with the fields in ``extra``::

    LOG = logs.get_logger(__name__)
    LOG.info('lease_granted', extra={'peer': 'e1', 'lease_ms': 2000})
"""

import logging
import re
import sys

from pythonjsonlogger import json as json_logger

__all__ = (
    'LEVELS',
    'KeyValueFormatter',
    'configure',
    'get_logger',
)

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


def configure(level='info', stream=None):
    """Directs the root logger to ``stream`` (standard error by default)."""
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    # Its informational lines are free text about streams that ended.
    logging.getLogger('grpclib').setLevel(logging.WARNING)


def get_logger(name):
    """Returns the standard logger called ``name``."""
    return logging.getLogger(name)
